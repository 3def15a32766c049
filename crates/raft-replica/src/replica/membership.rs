//! Membership changes: a blank replica asks to join, receives the log as a learner, and then becomes a voter in place of
//! the previous id of its name.

use super::Replica;
use crate::state::MembershipChange;
use ironstair::Millis;
use ironstair_coordination::Policy;
use raft::prelude::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use raft::{ProgressState, SnapshotStatus};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// How long a join request is valid, in ms. A blank replica repeats its request.
const JOIN_REQUEST_VALIDITY: Millis = 3000.0;
/// Limit of the stored join requests. Replicas with the name of a voter are exempt.
const MAX_JOIN_REQUESTS: usize = 64;
/// The time in ms after which a snapshot that was not acknowledged is sent again.
const SNAPSHOT_TIMEOUT: Millis = 2000.0;

/// A blank replica's request to join.
pub(super) struct JoinRequest {
    id: u64,
    received_at: Millis,
}

impl<D: Policy + Serialize + DeserializeOwned> Replica<D> {
    /// Whether a replica is joining or a voter is being replaced. Until that is complete, the loss of another disk may
    /// lose the quorum.
    pub fn is_replacing_voter(&self) -> bool {
        let conf_state = self.node.raft.prs().conf().to_conf_state();
        !self.state.joining.is_empty() || !conf_state.get_voters_outgoing().is_empty()
    }

    /// The name and id that this replica must send to the others as its join request, as long as it is blank.
    pub fn join_request(&self) -> Option<(String, u64)> {
        self.is_blank().then(|| (self.name.clone(), self.id))
    }

    /// Stores the join request of a blank replica.
    pub fn handle_join_request(&mut self, name: String, id: u64) {
        let voter = self.state.voters.get(&name);
        let has_room = voter.is_some() || self.join_requests.len() < MAX_JOIN_REQUESTS;
        if has_room && voter != Some(&id) {
            let received_at = self.now;
            self.join_requests
                .insert(name, JoinRequest { id, received_at });
        }
    }

    /// Admits one replica at a time: it first receives the log as a learner, then becomes a voter in place of the previous
    /// id of its name.
    pub(super) fn admit_joining_replica(&mut self) {
        self.drop_stale_join_requests();
        if self.node.raft.has_pending_conf() {
            return;
        }
        let Some((name, request)) = self.join_requests.first_key_value() else {
            return;
        };
        let id = request.id;
        let is_learner = self.state.joining.get(name) == Some(&id);
        let matched = self
            .node
            .raft
            .prs()
            .get(id)
            .map_or(0, |progress| progress.matched);
        let has_log = matched + 1 >= self.node.raft.raft_log.committed;
        if is_learner && !has_log {
            return;
        }
        let change = MembershipChange {
            name: name.clone(),
            id,
            votes: is_learner,
        };
        self.propose_membership(&change);
    }

    /// Drops the requests of ids that vote now, and those that were not repeated in time: no replica has such an id any
    /// more, and its admission would block the others.
    fn drop_stale_join_requests(&mut self) {
        let voters = &self.state.voters;
        let now = self.now;
        self.join_requests.retain(|name, request| {
            let is_voter = voters.get(name) == Some(&request.id);
            !is_voter && now < request.received_at + JOIN_REQUEST_VALIDITY
        });
    }

    fn propose_membership(&mut self, change: &MembershipChange) {
        let (replaced, kind) = if change.votes {
            (self.state.voters.get(&change.name), ConfChangeType::AddNode)
        } else {
            let joining = self.state.joining.get(&change.name);
            (joining, ConfChangeType::AddLearnerNode)
        };
        let removal = replaced.map(|id| single_change(*id, ConfChangeType::RemoveNode));
        let addition = single_change(change.id, kind);
        let changes: Vec<ConfChangeSingle> = removal.into_iter().chain([addition]).collect();
        let mut conf_change = ConfChangeV2::default();
        conf_change.set_changes(changes.into());
        let context = serde_json::to_vec(change).unwrap_or_default();
        conf_change.set_context(context.into());
        // If the library rejects the proposal, the next proposal repeats it.
        let _ = self.node.propose_conf_change(Vec::new(), conf_change);
    }

    /// Reports a snapshot as failed if it was not acknowledged in time. The snapshot or its acknowledgement may have
    /// been lost, and the library sends nothing else to that replica until it gets a report.
    pub(super) fn retry_lost_snapshots(&mut self) {
        let pending_ids: Vec<u64> = self
            .node
            .raft
            .prs()
            .iter()
            .filter(|(_, progress)| progress.state == ProgressState::Snapshot)
            .map(|(id, _)| *id)
            .collect();
        self.snapshots_sent_at
            .retain(|id, _| pending_ids.contains(id));
        for id in pending_ids {
            let sent_at = *self.snapshots_sent_at.entry(id).or_insert(self.now);
            if self.now >= sent_at + SNAPSHOT_TIMEOUT {
                self.snapshots_sent_at.remove(&id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }
}

fn single_change(id: u64, kind: ConfChangeType) -> ConfChangeSingle {
    let mut change = ConfChangeSingle::default();
    change.set_node_id(id);
    change.set_change_type(kind);
    change
}
