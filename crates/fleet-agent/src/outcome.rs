//! The outcome of a command according to the replicated log.

use crate::message::CommandResponse;
use ironstair_coordination::leader::Command;
use ironstair_coordination::{Fleet, RevisionState, RevisionSummary};
use serde_json::Value as Json;

/// The outcome of a command, as far as the log shows it.
pub(crate) enum Outcome {
    /// The command has ended, with this response.
    Final(CommandResponse),
    /// The log contains the command, which is still in progress.
    InProgress,
    /// The log does not contain the command.
    Unknown,
}

/// Determines the outcome of a command from the revisions in the log.
pub(crate) fn outcome(fleet: &Fleet<Json>, command: &Command<Json>) -> Outcome {
    let Some(revision) = revision_of(fleet, command) else {
        return Outcome::Unknown;
    };
    let done = Outcome::Final(CommandResponse::Done(revision.number));
    let rollback_ended = fleet
        .change
        .as_ref()
        .is_none_or(|change| !change.is_rollback);
    match (command, revision.state) {
        (Command::Change(_), RevisionState::Staged | RevisionState::Binding) => Outcome::InProgress,
        (Command::Change(_), RevisionState::Refused) => refused(revision),
        (Command::Change(_), _) => done,
        (Command::Confirm { .. }, RevisionState::Running) => done,
        (Command::Cancel { .. }, RevisionState::RolledBack) if rollback_ended => done,
        (Command::Cancel { .. }, RevisionState::RolledBack) => Outcome::InProgress,
        (Command::Cancel { .. }, RevisionState::Refused) => done,
        _ => Outcome::Unknown,
    }
}

/// The revision that the command made, or that it confirms or cancels.
fn revision_of<'a>(fleet: &'a Fleet<Json>, command: &Command<Json>) -> Option<&'a RevisionSummary> {
    let revisions = &fleet.revisions;
    let latest_with_id = |id: &String| {
        let mut newest_first = revisions.iter().rev();
        newest_first.find(|revision| revision.commit.as_ref() == Some(id))
    };
    match command {
        Command::Change(proposal) => revisions
            .iter()
            .find(|revision| revision.token == proposal.token),
        Command::Confirm { id } => latest_with_id(id),
        Command::Cancel { id, .. } => id.as_ref().and_then(latest_with_id),
    }
}

fn refused(revision: &RevisionSummary) -> Outcome {
    let (refused_by, reason) = revision.refused.clone().unwrap_or_default();
    let number = revision.number;
    Outcome::Final(CommandResponse::Refused(format!(
        "revision {number} was refused by {refused_by}: {reason}"
    )))
}

/// The name of a revision's state in log lines.
pub(crate) fn state_name(state: RevisionState) -> &'static str {
    match state {
        RevisionState::Staged => "staged",
        RevisionState::Binding => "binding",
        RevisionState::Running => "running",
        RevisionState::Unconfirmed => "unconfirmed",
        RevisionState::Replaced => "replaced",
        RevisionState::RolledBack => "rolled back",
        RevisionState::Refused => "refused",
    }
}
