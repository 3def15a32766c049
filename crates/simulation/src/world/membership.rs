//! The fleet's leader and members: heartbeats, leases and shares.

use super::World;
use crate::day;
use crate::event::{Event, ProcessId};
use crate::fleet::{GatewayCount, TICK, VOTER_COUNT};
use crate::network::NETWORK_DELAY;
use ironstair::Millis;
use ironstair_coordination::member::{Action, Input};
use ironstair_coordination::{Heartbeat, HeartbeatResponse, Member, Share, Validation};

/// How many times in the duration of a lease a member that finds no leader looks for one.
const LEADER_POLLS_PER_LEASE: f64 = 10.0;
/// Time from a heartbeat's arrival at the leader to the response's arrival at the member: one round trip between the
/// leader and a majority of the voters, and one delay for the response.
const RESPONSE_DELAY: Millis = 3.0 * NETWORK_DELAY;
/// Tolerated rounding error of a sum of shares.
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
        if self.scenario.fleet == day::FleetMode::Members {
            self.check_shares();
        }
    }

    /// Records a violation if the shares that members with a lease use exceed the fleet's limits together.
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
            self.metrics.record_violation(format!(
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

    /// Calls a gateway's member, carries out the actions that it requests, and schedules its next heartbeat.
    fn call_member(&mut self, gateway: usize, input: Input<GatewayCount>) {
        let now = self.clock.now();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(member) = self.gateways[gateway].member.as_mut() else {
                return;
            };
            for action in member.handle(now, input) {
                inputs.extend(self.carry_out_member_action(gateway, action));
            }
        }
        let member = self.gateways[gateway].member.as_ref();
        let Some(next_heartbeat_at) = member.map(Member::next_heartbeat_at) else {
            return;
        };
        let gateway_state = &mut self.gateways[gateway];
        gateway_state.latest_heartbeat += 1;
        let event = Event::HeartbeatDue {
            process: gateway_state.process,
            heartbeat: gateway_state.latest_heartbeat,
        };
        let delay = (next_heartbeat_at - now).max(0.0);
        self.clock.schedule_after(delay, event);
    }

    /// Carries out an action of a gateway's member. Returns the result as the member's next input, if the action has
    /// one.
    fn carry_out_member_action(
        &mut self,
        gateway: usize,
        action: Action<GatewayCount>,
    ) -> Option<Input<GatewayCount>> {
        match action {
            Action::Heartbeat(heartbeat) => {
                let now = self.clock.now();
                self.metrics.second_mut(now).heartbeats += 1;
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

    /// Passes the lease, and the share if it has changed, to a gateway's policy.
    fn set_lease(&mut self, gateway: usize, lease_until: Millis, share: Share) {
        let share = Share {
            is_granted: share.is_granted || !self.scenario.waits_for_share,
            ..share
        };
        let gateway_state = &mut self.gateways[gateway];
        let is_changed = self.scenario.fleet == day::FleetMode::Members
            && gateway_state
                .share
                .is_none_or(|previous| share.differs(previous));
        let policy_config = is_changed.then(|| share.apply_to(&gateway_state.policy_config));
        if is_changed {
            gateway_state.share = Some(share);
        }
        self.call_policy(gateway, |policy, now, actions| {
            if let Some(policy_config) = policy_config {
                policy.update_config(now, policy_config, actions);
            }
            policy.renew_lease(now, lease_until, actions);
        });
    }

    /// A heartbeat reaches the leader. Without a leader the member looks for one again, until the duration of a lease
    /// has passed since the heartbeat was sent.
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
        let lease = self.scenario.lease_ms as f64;
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
