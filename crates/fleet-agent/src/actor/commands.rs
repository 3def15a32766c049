//! Operators' commands: this gateway relays those of its manager to the leader, which writes them to the log.

use super::{Actor, PendingCommand};
use crate::error::refuse;
use crate::fault_injection::{is_disabled, Guard};
use crate::message::{
    BootstrapRequest, CommandResponse, FleetCommand, LeaderHint, RecoveryRequest,
};
use crate::outcome::{outcome, Outcome};
use crate::prepared::random_number;
use crate::status;
use ironstair::Millis;
use ironstair_coordination::leader::{Command, Refusal};
use ironstair_coordination::record::ChangeProposal;
use ironstair_management::fleet_channel::{FleetRequest, Responder};
use ironstair_management::Refused;
use serde_json::Value as Json;
use tokio::sync::oneshot;

/// Limit of the commands that wait for their outcome at this leader.
const MAX_PENDING_COMMANDS: usize = 64;
/// The timeout for the outcome of a command, in leases.
const OUTCOME_TIMEOUT_LEASES: f64 = 5.0;
/// The shortest timeout for the outcome of a command, in ms.
const MIN_OUTCOME_TIMEOUT: Millis = 15_000.0;
/// The timeout in ms of a call that does not wait for an outcome. A call that does has this time in addition to the
/// timeout for the outcome.
pub(super) const CALL_TIMEOUT: Millis = MIN_OUTCOME_TIMEOUT / 3.0;

impl Actor {
    /// Handles a request of this gateway's manager.
    pub(super) fn handle_manager_request(&mut self, request: FleetRequest) {
        match request {
            FleetRequest::Change {
                author,
                summary,
                document,
                base_revision,
                commit,
                answer,
            } => {
                let proposal = ChangeProposal {
                    token: random_number(),
                    author,
                    created_at: self.clock.now(),
                    summary,
                    base_revision,
                    document,
                    commit: commit.filter(|_| !is_disabled(Guard::ConfirmTimeout)),
                };
                self.relay_command(Command::Change(proposal), answer);
            }
            FleetRequest::Confirm { id, answer } => {
                self.relay_command(Command::Confirm { id }, answer);
            }
            FleetRequest::Cancel { id, author, answer } => {
                let command = Command::Cancel {
                    id: Some(id),
                    author,
                };
                self.relay_command(command, answer);
            }
            FleetRequest::Show(answer) => self.relay_status_request(answer),
            FleetRequest::RecoverFromDisaster {
                document,
                author,
                answer,
            } => self.start_disaster_recovery(RecoveryRequest {
                document,
                author,
                responder: answer,
            }),
            FleetRequest::Bootstrap { document, answer } => {
                self.start_bootstrap(BootstrapRequest {
                    document,
                    responder: answer,
                });
            }
        }
    }

    /// Sends a command to the leader and returns the outcome to the responder.
    fn relay_command(&self, command: Command<Json>, responder: Responder) {
        let search = self.leader_search();
        let handle = self.handle.clone();
        let within = self.outcome_timeout() + CALL_TIMEOUT;
        tokio::spawn(async move {
            let command = FleetCommand::Command(command);
            match search.command(handle, command, within).await {
                CommandResponse::Done(number) => drop(responder.send(Ok(number))),
                CommandResponse::Refused(reason) => refuse(responder, reason),
                _ => refuse(responder, "no leader of the fleet answered"),
            }
        });
    }

    /// Requests the fleet's status from the leader.
    fn relay_status_request(&self, responder: oneshot::Sender<Result<Json, Refused>>) {
        let search = self.leader_search();
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let response = search
                .command(handle, FleetCommand::Show, CALL_TIMEOUT)
                .await;
            let _ = responder.send(match response {
                CommandResponse::Shown(status) => Ok(status),
                CommandResponse::Refused(reason) => Err(Refused::Fleet(reason)),
                _ => Err(Refused::Fleet("no leader of the fleet answered".into())),
            });
        });
    }

    /// The timeout in ms for the outcome of a command.
    fn outcome_timeout(&self) -> Millis {
        (OUTCOME_TIMEOUT_LEASES * self.config.lease).max(MIN_OUTCOME_TIMEOUT)
    }

    /// Handles a command. The leader writes it to the log and answers when its outcome is known; other voters name the
    /// leader.
    pub(super) fn handle_command(
        &mut self,
        command: FleetCommand,
        response: oneshot::Sender<CommandResponse>,
    ) {
        let now = self.clock.now();
        let leadership = self.voter.as_ref().and_then(|voter| {
            let leader = voter.replica.leader()?;
            Some((voter, leader))
        });
        let Some((voter, leader)) = leadership else {
            let _ = response.send(self.not_leader());
            return;
        };
        let command = match command {
            FleetCommand::Command(command) => command,
            FleetCommand::Show => {
                let shown = status::fleet_json(now, &self.config.name, &voter.replica, leader);
                let _ = response.send(CommandResponse::Shown(shown));
                return;
            }
        };
        match self.submit_command(command) {
            Ok(command) => self.pending_commands.push(PendingCommand {
                command,
                deadline: now + self.outcome_timeout(),
                response,
            }),
            Err(refusal) => {
                let _ = response.send(CommandResponse::Refused(refusal.to_string()));
            }
        }
    }

    /// Submits a command to the replica unless the log contains it already.
    fn submit_command(&mut self, mut command: Command<Json>) -> Result<Command<Json>, Refusal> {
        if self.pending_commands.len() >= MAX_PENDING_COMMANDS {
            return Err(Refusal::Busy);
        }
        let Some(voter) = &mut self.voter else {
            return Err(Refusal::NotBootstrapped);
        };
        let fleet = &voter.replica.state().fleet;
        if let Command::Change(proposal) = &mut command {
            if is_disabled(Guard::BaseRevision) {
                proposal.base_revision = fleet.policy_index;
            }
        }
        // The log may already contain the command: a gateway that got no answer sends it again.
        if matches!(outcome(fleet, &command), Outcome::Unknown) {
            let outputs = voter.replica.submit(self.clock.now(), command.clone())?;
            self.execute(outputs);
        }
        Ok(command)
    }

    /// The response of a voter that is not the leader.
    pub(super) fn not_leader(&self) -> CommandResponse {
        CommandResponse::NotLeader(LeaderHint {
            leader: self.leader_name(),
        })
    }
}
