//! Reports this gateway's membership in the fleet to operators, by log lines and by the state that the manager shows.

use super::Actor;
use crate::outcome::state_name;
use crate::status;
use ironstair_coordination::RevisionSummary;
use ironstair_data_tree::state;
use slog::{info, warn};

impl Actor {
    /// Logs when this voter obtains a vote.
    pub(super) fn log_vote(&mut self) {
        let has_vote = self
            .voter
            .as_ref()
            .is_some_and(|voter| !voter.replica.is_blank());
        if has_vote && !self.vote_logged {
            info!(self.log, "this voter has a vote");
        }
        self.vote_logged = has_vote;
    }

    /// Logs when a lease begins or expires.
    pub(super) fn log_lease(&mut self) {
        let holds_lease = self.member.has_lease(self.clock.now());
        if holds_lease == self.lease_logged {
            return;
        }
        self.lease_logged = holds_lease;
        if holds_lease {
            let revision = self.member.applied_state().revision;
            info!(self.log, "lease held, fleet policy in force"; "revision" => revision);
        } else {
            warn!(self.log, "lease expired, rejecting new requests");
        }
    }

    /// Publishes the state of the fleet to the manager if it has changed.
    pub(super) fn publish_status(&self) {
        let applied = self.member.applied_state();
        let voter = self.voter.as_ref();
        let current = state::Fleet {
            name: self.config.fleet.clone(),
            generation: applied.generation,
            revision: applied.revision,
            lease_end: self.member.lease_end(),
            steady: self.config.steady,
            is_voter: voter.is_some(),
            leader: self.leader_name().unwrap_or_default(),
            share: self.config.counts_members.then(|| self.member.share()),
            members: voter.map_or(Vec::new(), |voter| status::members(&voter.replica)),
        };
        self.status.send_if_modified(|published| {
            let has_changed = *published != current;
            *published = current;
            has_changed
        });
    }

    /// Logs each new state of a revision, at every voter.
    pub(super) fn log_revision_changes(&mut self) {
        let Some(voter) = &self.voter else { return };
        let revisions = &voter.replica.state().fleet.revisions;
        if *revisions == self.logged_revisions {
            return;
        }
        let is_new = |revision: &&RevisionSummary| !self.logged_revisions.contains(revision);
        for revision in revisions.iter().filter(is_new) {
            let (refused_by, reason) = revision.refused.clone().unwrap_or_default();
            info!(self.log, "fleet policy change"; "state" => state_name(revision.state),
                "revision" => revision.number, "author" => &revision.author, "summary" => &revision.summary,
                "refused_by" => refused_by, "reason" => reason);
        }
        self.logged_revisions = revisions.clone();
    }
}
