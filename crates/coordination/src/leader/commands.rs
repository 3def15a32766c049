//! Operators' commands, and the rules by which a leader accepts them.

use super::Leader;
use crate::fleet::Fleet;
use crate::record::ChangeProposal;
use crate::Policy;
use serde::{Deserialize, Serialize};

/// The maximum number of accepted commands that wait for the log.
const MAX_WAITING_COMMANDS: usize = 16;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command<D> {
    /// Starts this change.
    Change(ChangeProposal<D>),
    /// Confirms the running revision.
    Confirm {
        /// The id given with the change.
        id: String,
    },
    /// Drops the change in progress, or rolls back the revision pending confirmation.
    Cancel {
        /// The id given with the change; `None` for any change.
        id: Option<String>,
        /// The operator.
        #[serde(rename = "who")]
        author: String,
    },
}

/// Why a command can't be carried out.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The fleet has no generation, or no leader.
    #[error("the fleet is not bootstrapped yet, or has no leader")]
    NotBootstrapped,
    /// Another change is in progress, or pending confirmation.
    #[error("revision {number} by {author} is in progress, or pending confirmation")]
    InProgress {
        /// Its revision number.
        number: u64,
        /// Its author.
        author: String,
    },
    /// The change is based on a policy that is no longer the current one.
    #[error("the change is not based on the running revision {running}: read that revision and propose the change again")]
    StaleBaseRevision {
        /// The number of the running revision.
        running: u64,
    },
    /// The running and the proposed policy have no intersection that this version can compute.
    #[error("no policy is at least as strict as both the running and the proposed one, or this version can't read one of them: make the change in two steps")]
    NoIntersection,
    /// No change or revision matches the command.
    #[error("no matching change is in progress or pending confirmation: it may have been confirmed or rolled back already")]
    NothingPending,
    /// Too many commands wait for the log.
    #[error("too many commands are waiting: try again later")]
    Busy,
}

impl<D: Policy> Leader<D> {
    /// Whether a command still waits for the log, or the record in flight may contain it.
    pub fn is_pending(&self, command: &Command<D>) -> bool {
        self.record_in_flight || self.commands.contains(command)
    }

    /// Accepts a command and queues it for the log.
    ///
    /// # Errors
    /// Fails if the command doesn't fit the replicated state, or too many commands wait.
    pub fn submit(&mut self, fleet: &Fleet<D>, command: Command<D>) -> Result<(), Refusal> {
        self.check(fleet, &command)?;
        if self.commands.len() >= MAX_WAITING_COMMANDS {
            return Err(Refusal::Busy);
        }
        self.commands.push(command);
        Ok(())
    }

    /// Checks a command against the replicated state.
    pub(super) fn check(&self, fleet: &Fleet<D>, command: &Command<D>) -> Result<(), Refusal> {
        let (number, policy) = fleet.running.as_ref().ok_or(Refusal::NotBootstrapped)?;
        match command {
            Command::Change(proposal) => {
                self.check_no_change_waits(fleet, command)?;
                check_no_change_in_progress(fleet)?;
                if proposal.base_revision != fleet.policy_index {
                    return Err(Refusal::StaleBaseRevision { running: *number });
                }
                match policy.intersection(&proposal.document) {
                    Some(_) => Ok(()),
                    None => Err(Refusal::NoIntersection),
                }
            }
            Command::Confirm { id } => check_confirm(fleet, id),
            Command::Cancel { id, .. } => check_cancel(fleet, id.as_deref()),
        }
    }

    /// Fails if another change waits before this one. The first waiting change itself passes: it is checked again
    /// before its record is written.
    fn check_no_change_waits(&self, fleet: &Fleet<D>, command: &Command<D>) -> Result<(), Refusal> {
        let first = self
            .commands
            .iter()
            .find(|waiting| matches!(waiting, Command::Change(_)));
        match first {
            Some(waiting @ Command::Change(proposal)) if waiting != command => {
                Err(Refusal::InProgress {
                    number: fleet.next_number,
                    author: proposal.author.clone(),
                })
            }
            _ => Ok(()),
        }
    }
}

fn check_no_change_in_progress<D>(fleet: &Fleet<D>) -> Result<(), Refusal> {
    let number = match (&fleet.change, &fleet.pending_confirmation) {
        (Some(change), _) => change.number,
        (None, Some(_)) => fleet.running_number(),
        (None, None) => return Ok(()),
    };
    let author = fleet
        .revision(number)
        .map(|revision| revision.author.clone());
    Err(Refusal::InProgress {
        number,
        author: author.unwrap_or_default(),
    })
}

fn check_confirm<D>(fleet: &Fleet<D>, id: &str) -> Result<(), Refusal> {
    match &fleet.pending_confirmation {
        Some(pending) if pending.id == id => Ok(()),
        _ => Err(Refusal::NothingPending),
    }
}

fn check_cancel<D>(fleet: &Fleet<D>, id: Option<&str>) -> Result<(), Refusal> {
    let pending_id = fleet
        .pending_confirmation
        .as_ref()
        .map(|pending| pending.id.as_str());
    let change_commit = fleet
        .change
        .as_ref()
        .and_then(|change| change.commit.as_ref());
    let change_id = change_commit.map(|(id, _)| id.as_str());
    let is_meant = id.is_none() || id == pending_id || id == change_id;
    let has_cancellable_change = fleet
        .change
        .as_ref()
        .is_some_and(|change| !change.is_rollback);
    if is_meant && (has_cancellable_change || pending_id.is_some()) {
        Ok(())
    } else {
        Err(Refusal::NothingPending)
    }
}
