//! The commands that this leader has submitted to the log, until their outcome is known.

use super::{Actor, PendingCommand};
use crate::message::CommandResponse;
use crate::outcome::{outcome, Outcome};
use crate::status;
use ironstair::Millis;

/// The progress of a pending command.
enum Progress {
    Finished(CommandResponse),
    Waiting,
    /// The leader dropped the command, since an earlier record made it invalid.
    Dropped,
}

impl Actor {
    /// Answers the commands whose outcome is known or whose deadline has passed, and submits dropped ones again.
    pub(super) fn answer_pending_commands(&mut self) {
        let now = self.clock.now();
        let mut dropped = Vec::new();
        for pending in std::mem::take(&mut self.pending_commands) {
            match self.progress(now, &pending) {
                Progress::Finished(response) => drop(pending.response.send(response)),
                Progress::Waiting => self.pending_commands.push(pending),
                Progress::Dropped => dropped.push(pending),
            }
        }
        for pending in dropped {
            self.submit_again(now, pending);
        }
    }

    fn progress(&self, now: Millis, pending: &PendingCommand) -> Progress {
        let Some(voter) = &self.voter else {
            return Progress::Finished(self.not_leader());
        };
        let Some(leader) = voter.replica.leader() else {
            return Progress::Finished(self.not_leader());
        };
        let fleet = &voter.replica.state().fleet;
        let is_overdue = now >= pending.deadline;
        match outcome(fleet, &pending.command) {
            // A client that receives this answer must find the change in force at every gateway.
            Outcome::Final(CommandResponse::Done(_))
                if !is_overdue && !leader.have_all_applied(now, fleet) =>
            {
                Progress::Waiting
            }
            Outcome::Final(response) => Progress::Finished(response),
            Outcome::Unknown if !leader.is_pending(&pending.command) => Progress::Dropped,
            _ if is_overdue => {
                let names = status::waits_for(now, fleet, leader).join(", ");
                let reason = format!(
                    "the command is still in progress and waits for {names}: it continues, and can be cancelled"
                );
                Progress::Finished(CommandResponse::Refused(reason))
            }
            _ => Progress::Waiting,
        }
    }

    fn submit_again(&mut self, now: Millis, pending: PendingCommand) {
        let Some(voter) = &mut self.voter else { return };
        match voter.replica.submit(now, pending.command.clone()) {
            Ok(outputs) => {
                self.execute(outputs);
                self.pending_commands.push(pending);
            }
            Err(refusal) => {
                let refused = CommandResponse::Refused(refusal.to_string());
                let _ = pending.response.send(refused);
            }
        }
    }
}
