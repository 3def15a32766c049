//! What became of a command, by the fleet's log.

use crate::message::CommandResponse;
use ironstair_coordination::leader::Command;
use ironstair_coordination::RevisionState;
use serde_json::Value as Json;

pub(crate) enum Outcome {
    Final(CommandResponse),
    /// It stands in the log, and goes on.
    InProgress,
    Unknown,
}

/// What became of an ask, by the log.
pub(crate) fn outcome(fleet: &ironstair_coordination::Fleet<Json>, ask: &Command<Json>) -> Outcome {
    let line = match ask {
        Command::Change(proposal) => fleet.lines.iter().find(|l| l.token == proposal.token),
        Command::Confirm { id } => fleet
            .lines
            .iter()
            .rev()
            .find(|l| l.commit.as_ref() == Some(id)),
        Command::Cancel { id: Some(id), .. } => fleet
            .lines
            .iter()
            .rev()
            .find(|l| l.commit.as_ref() == Some(id)),
        Command::Cancel { id: None, .. } => None,
    };
    let Some(l) = line else {
        return Outcome::Unknown;
    };
    let refused = || {
        let (by, why) = l.refused.clone().unwrap_or_default();
        Outcome::Final(CommandResponse::Refused(format!(
            "revision {} was refused by {by}: {why}",
            l.number
        )))
    };
    let done = Outcome::Final(CommandResponse::Done(l.number));
    let back_over = fleet.change.as_ref().is_none_or(|c| !c.back);
    match (ask, l.state) {
        (Command::Change(_), RevisionState::Staged | RevisionState::Binding) => Outcome::InProgress,
        (Command::Change(_), RevisionState::Refused) => refused(),
        (Command::Change(_), _) => done,
        (Command::Confirm { .. }, RevisionState::Running) => done,
        (Command::Cancel { .. }, RevisionState::RolledBack) if back_over => done,
        (Command::Cancel { .. }, RevisionState::RolledBack) => Outcome::InProgress,
        (Command::Cancel { .. }, RevisionState::Refused) => done,
        _ => Outcome::Unknown,
    }
}

pub(crate) fn step_name(of: RevisionState) -> &'static str {
    match of {
        RevisionState::Staged => "staged",
        RevisionState::Binding => "binding",
        RevisionState::Running => "running",
        RevisionState::Unconfirmed => "unconfirmed",
        RevisionState::Replaced => "replaced",
        RevisionState::RolledBack => "taken back",
        RevisionState::Refused => "refused",
    }
}
