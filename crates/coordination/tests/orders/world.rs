//! The state of the model: the replicated state, the record in flight, the leader, the gateways, and the remaining
//! budget of moves.

use crate::support::{hash_by_debug_text, Gateway, TestPolicy};
use ironstair_coordination::member::Input;
use ironstair_coordination::{Fleet, Leader, Record};

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct World {
    pub now: f64,
    pub fleet: Fleet<TestPolicy>,
    /// When the policy that members must apply last changed.
    pub policy_changed_at: f64,
    pub leader: Leader<TestPolicy>,
    /// The record that the leader has written and the log has not committed.
    pub record_in_flight: Option<Record<TestPolicy>>,
    pub gateways: Vec<Option<Gateway>>,
    pub processes_started: u64,
    /// The numbers of the policies that were ever decided.
    pub decided: Vec<u8>,
    /// The numbers of the policies that were refused.
    pub refused: Vec<u8>,
    pub remaining: Budget,
}

/// How often each move may still happen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Budget {
    pub ticks: u8,
    pub leader_losses: u8,
    pub crashes: u8,
    pub commands: u8,
    pub cancels: u8,
    pub duplicates: u8,
    pub pauses: u8,
}

hash_by_debug_text!(World);

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Move {
    Tick,
    /// A gateway's heartbeat arrives at the leader, which responds: a new heartbeat, or the last one again if the flag
    /// is set.
    Heartbeat(usize, bool),
    /// A gateway receives a response. If the flag is set, the same response may arrive again.
    Deliver(usize, bool),
    /// The leader writes its next record.
    WriteRecord,
    /// The log applies the record in flight.
    Commit,
    /// The leader is lost; the flag states whether the log contains the record in flight.
    LoseLeader(bool),
    Crash(usize),
    Start(usize),
    Propose,
    Cancel,
    /// A gateway is paused, or continues.
    TogglePause(usize),
}

/// The guard that is removed, to verify that a property fails without it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RemovedGuard {
    Nothing,
    /// Without it, a new leader ignores the leases of an earlier one.
    GracePeriod,
    /// Without it, a lease runs from the arrival of the response and not from the sending of the heartbeat.
    LeaseFromSending,
    /// Without it, a change is decided before all members that may decide have applied it.
    WaitForAllMembers,
    /// Without it, a timer and not the clock determines whether a lease is valid.
    LeaseByClock,
}

pub(crate) struct ChangeModel {
    pub gateways: usize,
    pub budget: Budget,
    pub removed: RemovedGuard,
}

impl World {
    pub(crate) fn handle_input(&mut self, index: usize, input: Input<TestPolicy>) {
        let now = self.now;
        self.gateways[index]
            .iter_mut()
            .for_each(|gateway| gateway.handle(now, index, input.clone()));
    }

    /// Applies the record in flight.
    pub(crate) fn commit(&mut self) {
        let Some(record) = self.record_in_flight.take() else {
            return;
        };
        let policy_index = self.fleet.policy_index;
        let change = self.fleet.change.clone();
        let is_refusal = matches!(record, Record::Refused { .. });
        if self.fleet.apply(record) && is_refusal {
            self.refused.extend(change.map(|change| change.document.1));
        }
        self.decided
            .extend(self.fleet.running.iter().map(|(_, policy)| policy.0));
        self.decided.dedup();
        if self.fleet.policy_index != policy_index {
            self.policy_changed_at = self.now;
        }
        self.leader.record_settled();
    }

    /// The gateways that may decide now.
    pub(crate) fn deciding(&self, removed: RemovedGuard) -> impl Iterator<Item = &Gateway> {
        self.gateways
            .iter()
            .flatten()
            .filter(move |gateway| gateway.decides(self.now, removed == RemovedGuard::LeaseByClock))
    }
}
