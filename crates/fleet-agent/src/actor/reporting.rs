//! What others see of this gateway's part in the fleet: the log's lines and the tree.

use super::Actor;
use crate::outcome::step_name;
use crate::status;
use ironstair_coordination::member::Input;
use ironstair_coordination::RevisionSummary;
use ironstair_data_tree::state;
use slog::{info, warn};

impl Actor {
    /// What is due, and what others are to see.
    pub(super) fn advance(&mut self) {
        let now = self.clock.now();
        if now >= self.member.due() {
            self.drive_member(Input::Due);
        }
        self.answer_pending_commands();
        self.log_revision_changes();
        let votes = self.voter.as_ref().is_some_and(|k| !k.replica.is_blank());
        if votes && !std::mem::replace(&mut self.vote_logged, votes) {
            info!(self.log, "this keeper has a vote");
        }
        self.vote_logged = votes;
        let held = self.member.holds(now);
        if held != self.lease_logged {
            self.lease_logged = held;
            match held {
                true => {
                    info!(self.log, "the fleet's policy is held"; "revision" => self.member.held().2)
                }
                false => {
                    warn!(
                        self.log,
                        "the fleet was not heard for a lease: nothing is forwarded until it is"
                    );
                }
            }
        }
        let (history, _, revision) = self.member.held();
        let is = state::Fleet {
            name: self.config.fleet.clone(),
            history,
            revision,
            until: self.member.until(),
            steady: self.config.steady,
            voter: self.voter.is_some(),
            leader: self.leader().unwrap_or_default(),
            share: self.config.counts.then(|| self.member.share()),
            members: self
                .voter
                .as_ref()
                .map_or(Vec::new(), |k| status::members(&k.replica)),
        };
        self.status.send_if_modified(|was| {
            let other = *was != is;
            *was = is;
            other
        });
    }

    /// A line in the log for each step of a change, at each voter.
    pub(super) fn log_revision_changes(&mut self) {
        let Some(k) = &self.voter else { return };
        let lines = &k.replica.state().fleet.lines;
        if *lines == self.logged_revisions {
            return;
        }
        let known = |l: &&RevisionSummary| !self.logged_revisions.iter().any(|was| was == *l);
        for l in lines.iter().filter(known) {
            let (by, why) = l.refused.clone().unwrap_or_default();
            info!(self.log, "a change of the fleet's policy"; "step" => step_name(l.state), "revision" => l.number,
                "who" => &l.who, "what" => &l.what, "refused_by" => by, "why" => why);
        }
        self.logged_revisions = lines.clone();
    }
}
