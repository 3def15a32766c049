//! The fleet's leader and members: heartbeats, leases and shares.

use super::World;
use crate::day;
use crate::event::{Event, ProcessId};
use crate::fleet::{GatewayCount, TICK, VOTER_COUNT};
use crate::network::NETWORK_DELAY;
use ironstair::Millis;
use ironstair_coordination::member::{Action, Input};
use ironstair_coordination::{Heartbeat, HeartbeatResponse, Member, Share, Validation};

/// How often in a lease a member that finds no leader searches again.
const LEADER_POLLS_PER_LEASE: f64 = 10.0;
/// From a heartbeat's arrival to its response's: the leader asks a majority of the voters and gets their answers, and
/// the response travels.
const RESPONSE_DELAY: Millis = 3.0 * NETWORK_DELAY;
/// Rounding error of a sum of shares.
const SHARE_TOLERANCE: f64 = 1e-6;

impl World {
    pub(super) fn tick_fleet(&mut self) {
        let now = self.clock.now();
        let running_voters: [bool; VOTER_COUNT] = std::array::from_fn(|voter| {
            let gateway = &self.gateways[voter];
            gateway.is_up && gateway.paused_until <= now
        });
        if let Some(fleet_log) = &mut self.fleet_log {
            fleet_log.tick(now, running_voters);
        }
        self.clock.schedule_after(TICK, Event::FleetTick);
        if self.day.fleet == day::Fleet::Members {
            self.check_shares();
        }
    }

    /// The shares that are in use by members with a lease must not exceed the whole.
    fn check_shares(&mut self) {
        let now = self.clock.now();
        let sum: f64 = self
            .gateways
            .iter()
            .filter(|gateway| gateway.is_up && gateway.has_lease(now))
            .filter_map(|gateway| gateway.share)
            .filter(|share| share.is_granted)
            .map(|share| 1.0 / share.gateway_count)
            .sum();
        if sum > 1.0 + SHARE_TOLERANCE {
            self.figures.record_violation(format!(
                "shares come to {sum:.3} of the whole at {now:.0} ms"
            ));
        }
    }

    pub(super) fn send_heartbeat(&mut self, process: ProcessId, heartbeat: u64) {
        let is_latest = self.gateways[process.gateway].latest_heartbeat == heartbeat;
        if self.is_running(process) && is_latest {
            self.call_member(process.gateway, Input::Due);
        }
    }

    pub(super) fn receive_heartbeat_response(
        &mut self,
        process: ProcessId,
        response: HeartbeatResponse<GatewayCount>,
    ) {
        if self.is_running(process) {
            self.call_member(process.gateway, Input::Answered(response));
        }
    }

    /// Calls a gateway's member, carries out the actions that it asks for, and schedules its next heartbeat.
    fn call_member(&mut self, gateway: usize, input: Input<GatewayCount>) {
        let now = self.clock.now();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(member) = self.gateways[gateway].member.as_mut() else {
                return;
            };
            for action in member.handle(now, input) {
                inputs.extend(self.carry_out_for_member(gateway, action));
            }
        }
        let member = self.gateways[gateway].member.as_ref();
        let Some(next_heartbeat_at) = member.map(Member::next_heartbeat_at) else {
            return;
        };
        let calling = &mut self.gateways[gateway];
        calling.latest_heartbeat += 1;
        let event = Event::HeartbeatDue {
            process: calling.process,
            heartbeat: calling.latest_heartbeat,
        };
        let delay = (next_heartbeat_at - now).max(0.0);
        self.clock.schedule_after(delay, event);
    }

    /// Returns the input by which the member learns the action's result, if it has one.
    fn carry_out_for_member(
        &mut self,
        gateway: usize,
        action: Action<GatewayCount>,
    ) -> Option<Input<GatewayCount>> {
        match action {
            Action::Heartbeat(heartbeat) => {
                let now = self.clock.now();
                self.figures.second_mut(now).heartbeats += 1;
                let event = Event::HeartbeatArrives {
                    process: self.gateways[gateway].process,
                    heartbeat: Box::new(heartbeat),
                    sent_at: now,
                };
                self.clock.schedule_after(NETWORK_DELAY, event);
                None
            }
            Action::Apply { policy_index, .. } => Some(Input::Applied { policy_index }),
            Action::Validate { number, .. } => Some(Input::Validated(Validation::accepted(number))),
            Action::SetLease(lease_until, share) => {
                self.set_lease(gateway, lease_until, share);
                None
            }
            Action::LogWarning(_) => None,
        }
    }

    /// Gives a gateway's policy its lease, and its share if that has changed.
    fn set_lease(&mut self, gateway: usize, lease_until: Millis, share: Share) {
        let share = Share {
            is_granted: share.is_granted || !self.day.shares_wait,
            ..share
        };
        let leased = &mut self.gateways[gateway];
        let is_changed = self.day.fleet == day::Fleet::Members
            && leased.share.is_none_or(|previous| share.differs(previous));
        let policy_config = is_changed.then(|| share.apply_to(&leased.policy_config));
        if is_changed {
            leased.share = Some(share);
        }
        self.call_policy(gateway, |policy, now, actions| {
            if let Some(policy_config) = policy_config {
                policy.update_config(now, policy_config, actions);
            }
            policy.renew_lease(now, lease_until, actions);
        });
    }

    /// A heartbeat reaches the leader. Without a leader the member searches again, until a lease after it was sent.
    pub(super) fn receive_heartbeat(
        &mut self,
        process: ProcessId,
        heartbeat: Box<Heartbeat>,
        sent_at: Millis,
    ) {
        let now = self.clock.now();
        let Some(fleet_log) = self.fleet_log.as_mut() else {
            return;
        };
        if let Some(response) = fleet_log.heartbeat(now, &heartbeat) {
            let response = Box::new(response);
            let event = Event::HeartbeatAnswered { process, response };
            return self.clock.schedule_after(RESPONSE_DELAY, event);
        }
        let lease = self.day.lease_ms as f64;
        if now < sent_at + lease {
            let event = Event::HeartbeatArrives {
                process,
                heartbeat,
                sent_at,
            };
            self.clock
                .schedule_after(lease / LEADER_POLLS_PER_LEASE, event);
        }
    }
}
