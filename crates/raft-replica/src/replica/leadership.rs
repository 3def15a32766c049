//! The leader's part of a replica: it answers heartbeats once a quorum has confirmed its leadership, and proposes
//! records.

use super::{LeaderTerm, Output, Replica};
use ironstair::Millis;
use ironstair_coordination::{Heartbeat, Leader, Policy};
use raft::StateRole;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// A member's heartbeat that waits for a leadership check, and the token of its answer.
pub(super) struct WaitingHeartbeat {
    pub(super) token: u64,
    pub(super) heartbeat: Heartbeat,
}

/// A request to the voters to confirm that this replica is still the leader.
pub(super) struct LeadershipCheck {
    number: u64,
    started_at: Millis,
    /// The heartbeats to answer once a quorum has confirmed the leadership.
    heartbeats: Vec<WaitingHeartbeat>,
}

impl<D: Policy + Serialize + DeserializeOwned> Replica<D> {
    /// Creates or drops the leader's state when the library begins or ends this replica's leadership.
    pub(super) fn update_leadership(&mut self) {
        let term = self.node.raft.term;
        let is_leader = self.node.raft.state == StateRole::Leader;
        self.leader = self
            .leader
            .take()
            .filter(|leader_term| is_leader && leader_term.term == term);
        if is_leader && self.leader.is_none() {
            let leader = Leader::new(self.now, self.lease);
            self.leader = Some(LeaderTerm { term, leader });
        }
        if !is_leader {
            self.abandon_leadership_check();
            let heartbeats = std::mem::take(&mut self.heartbeats);
            self.reject_heartbeats(heartbeats);
        }
    }

    /// Whether the replica has applied the whole log, including everything that earlier leaders committed.
    fn has_applied_all(&self) -> bool {
        let raft = &self.node.raft;
        raft.commit_to_current_term() && self.applied == raft.raft_log.committed
    }

    /// Asks the voters to confirm the leadership if heartbeats wait for that: after a pause or a partition the other
    /// voters may have elected another leader.
    pub(super) fn start_leadership_check(&mut self) {
        if self.leader.is_none() || self.heartbeats.is_empty() {
            return;
        }
        let check = self.leadership_check.as_ref();
        if check.is_some_and(|check| self.now < check.started_at + self.lease) {
            return;
        }
        if !self.node.raft.commit_to_current_term() {
            return;
        }
        // The heartbeats of an overdue check are rejected, and their members send new ones.
        self.abandon_leadership_check();
        self.last_check_number += 1;
        self.leadership_check = Some(LeadershipCheck {
            number: self.last_check_number,
            started_at: self.now,
            heartbeats: std::mem::take(&mut self.heartbeats),
        });
        self.node.read_index(check_context(self.last_check_number));
    }

    fn abandon_leadership_check(&mut self) {
        if let Some(check) = self.leadership_check.take() {
            self.reject_heartbeats(check.heartbeats);
        }
    }

    fn reject_heartbeats(&mut self, heartbeats: Vec<WaitingHeartbeat>) {
        let outputs = heartbeats
            .into_iter()
            .map(|waiting| Output::NotLeader(waiting.token, None));
        self.outputs.extend(outputs);
    }

    /// Answers the heartbeats of the leadership check with that context, which a quorum has confirmed.
    pub(super) fn handle_leadership_confirmed(&mut self, context: &[u8]) {
        let confirmed = self
            .leadership_check
            .take_if(|check| check_context(check.number) == context);
        let Some(check) = confirmed else {
            return;
        };
        let has_applied_all = self.has_applied_all();
        let Some(leader_term) = self.leader.as_mut() else {
            return;
        };
        for WaitingHeartbeat { token, heartbeat } in check.heartbeats {
            self.outputs.push(if has_applied_all {
                let fleet = &self.state.fleet;
                let response = leader_term.leader.heartbeat(self.now, fleet, &heartbeat);
                Output::HeartbeatResponse(token, response)
            } else {
                // This leader has not applied all committed records yet. The member is sent back to this replica, which
                // answers a later heartbeat.
                Output::NotLeader(token, Some(self.name.clone()))
            });
        }
    }

    /// Proposes the leader's next record and the next membership change, if there are any and a proposal is due.
    pub(super) fn propose_next(&mut self) {
        if !self.has_applied_all() || !std::mem::take(&mut self.is_proposal_due) {
            return;
        }
        let Some(leader_term) = self.leader.as_mut() else {
            return;
        };
        if let Some(record) = leader_term.leader.next_record(self.now, &self.state.fleet) {
            let is_proposed = serde_json::to_vec(&record)
                .is_ok_and(|bytes| self.node.propose(Vec::new(), bytes).is_ok());
            if !is_proposed {
                leader_term.leader.record_settled();
            }
        }
        self.admit_joining_replica();
    }
}

/// The context of a check, which the library returns with the confirmation.
fn check_context(number: u64) -> Vec<u8> {
    number.to_le_bytes().to_vec()
}
