//! Injects the scenario's faults.

use super::World;
use crate::clients::random_index;
use crate::day::FaultKind;
use crate::event::{Event, ProcessId};
use crate::fleet::VOTER_COUNT;
use ironstair::Millis;

fn seconds_to_millis(seconds: f64) -> Millis {
    seconds * 1000.0
}

impl World {
    pub(super) fn inject_fault(&mut self, index: usize) {
        match self.scenario.faults[index].kind.clone() {
            FaultKind::KillGateways {
                share,
                restart_after_s,
                except_voters,
            } => {
                for gateway in self.random_subset(self.gateways.len(), share) {
                    let is_spared = except_voters && gateway < VOTER_COUNT;
                    if !is_spared {
                        self.kill_gateway(gateway, seconds_to_millis(restart_after_s));
                    }
                }
            }
            FaultKind::KillVoters { restart_after_s } => {
                let voter_count = VOTER_COUNT.min(self.gateways.len());
                (0..voter_count)
                    .for_each(|voter| self.kill_gateway(voter, seconds_to_millis(restart_after_s)));
            }
            FaultKind::PauseGateways { share, duration_s } => {
                let paused_until = self.clock.now() + seconds_to_millis(duration_s);
                for gateway in self.random_subset(self.gateways.len(), share) {
                    self.gateways[gateway].paused_until = paused_until;
                }
            }
            FaultKind::KillEngines {
                share,
                restart_after_s,
            } => {
                for engine in self.random_subset(self.engines.len(), share) {
                    if self.engines[engine].is_up {
                        self.end_engine(engine, seconds_to_millis(restart_after_s));
                    }
                }
            }
            FaultKind::NameServiceDown { duration_s } => {
                self.network.name_service_down_until =
                    self.clock.now() + seconds_to_millis(duration_s);
            }
        }
    }

    /// A random subset of the indices below `count` that contains the given share of them.
    fn random_subset(&mut self, count: usize, share: f64) -> Vec<usize> {
        let mut remaining: Vec<usize> = (0..count).collect();
        let subset_size = (count as f64 * share).round() as usize;
        let mut subset = Vec::new();
        while subset.len() < subset_size.min(count) {
            let position = random_index(&mut self.random, remaining.len());
            subset.push(remaining.swap_remove(position));
        }
        subset
    }

    /// Ends a gateway's process and schedules its restart. Its clients retry their open requests at other gateways.
    /// Queries that run at engines continue, although no process waits for them.
    fn kill_gateway(&mut self, gateway: usize, restart_after: Millis) {
        if !std::mem::replace(&mut self.gateways[gateway].is_up, false) {
            return;
        }
        for slot_use in self.gateways[gateway].slots.unanswered() {
            let request_state = &mut self.clients.requests[slot_use.request];
            let may_have_run = slot_use.engine.is_some() || request_state.executions > 0;
            if request_state.is_non_idempotent() && may_have_run {
                // The client cannot know whether the request was executed, so it must not retry it.
                request_state.is_finished = true;
                continue;
            }
            self.reconnect(slot_use.request, gateway);
        }
        self.clock
            .schedule_after(restart_after, Event::GatewayRestarted { gateway });
    }

    pub(super) fn restart_gateway(&mut self, gateway: usize) {
        let process = self.gateways[gateway].process.process + 1;
        self.gateways[gateway] = self.new_process(ProcessId { gateway, process });
        self.initialize_process(gateway);
    }
}
