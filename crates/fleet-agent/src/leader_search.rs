//! The search for the leader among the voters, to send it a heartbeat or an operator's command.

use crate::envelope::Identity;
use crate::error::NoLeader;
use crate::handle::{AgentHandle, RequestError};
use crate::message::{
    AgentMessage, CommandResponse, FleetCommand, HeartbeatAnswer, HeartbeatReply, LeaderHint,
};
use crate::peer::{CallError, VoterConnection};
use crate::proto::Envelope;
use ironstair::Millis;
use ironstair_runtime::clock::{duration, Clock};
use std::collections::BTreeMap;
use std::future::Future;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tonic::Code;

/// Attempts per lease and voter while no leader is known.
const ATTEMPTS_PER_LEASE: f64 = 10.0;
/// The delay in ms before an operator's command is sent again.
const COMMAND_RETRY_DELAY: Millis = 50.0;

/// One search for the leader.
pub(crate) struct LeaderSearch {
    pub(crate) identity: Identity,
    pub(crate) connections: BTreeMap<String, VoterConnection>,
    /// The last known leader, unless it is this gateway.
    pub(crate) last_leader: Option<String>,
    pub(crate) clock: Clock,
    /// The lease's length in ms.
    pub(crate) lease: Millis,
}

/// A voter's answer to a heartbeat.
struct Attempt {
    voter: String,
    result: Result<HeartbeatReply, CallError>,
}

/// The step after an attempt to send a command to a voter.
enum NextStep {
    Respond(CommandResponse),
    /// The voter to try next; `None` if there is no other.
    Try(Option<String>),
}

impl LeaderSearch {
    /// The next voter in the order of names. The last one, or `None`, is followed by the first.
    fn voter_after(&self, voter: Option<&String>) -> Option<String> {
        let later = voter.and_then(|voter| self.connections.keys().find(|name| *name > voter));
        later.or(self.connections.keys().next()).cloned()
    }

    /// Sends a heartbeat to the last known leader first. If that does not answer as the leader, sends it to all voters,
    /// and again to each that does not answer as the leader. A slow voter's answer is awaited for the whole lease.
    pub(crate) async fn heartbeat(self, envelope: Envelope) -> Result<HeartbeatAnswer, NoLeader> {
        let deadline = self.clock.now() + self.lease;
        let mut error = NoLeader::NotFound;
        let mut attempts = JoinSet::new();
        match &self.last_leader {
            Some(leader) => {
                attempts.spawn(self.attempt(leader, &envelope, self.lease / 2.0, 0.0));
            }
            None => self.attempt_all(&mut attempts, &envelope, self.lease),
        }
        while let Some(Ok(attempt)) = attempts.join_next().await {
            match attempt.result {
                Ok(Ok(response)) => {
                    return Ok(HeartbeatAnswer {
                        leader: attempt.voter,
                        response,
                    })
                }
                // The reason for a rejection is more useful to the operator than the fact that no leader was found.
                Err(CallError::Status(status)) if status.code() == Code::FailedPrecondition => {
                    error = NoLeader::Rejected(status.message().to_owned());
                }
                _ => {}
            }
            let remaining = deadline - self.clock.now();
            if remaining <= 0.0 {
                break;
            }
            if attempts.is_empty() && self.last_leader.as_ref() == Some(&attempt.voter) {
                self.attempt_all(&mut attempts, &envelope, remaining);
            } else {
                let delay = self.lease / ATTEMPTS_PER_LEASE;
                attempts.spawn(self.attempt(&attempt.voter, &envelope, remaining, delay));
            }
        }
        Err(error)
    }

    fn attempt_all(&self, attempts: &mut JoinSet<Attempt>, envelope: &Envelope, within: Millis) {
        for voter in self.connections.keys() {
            attempts.spawn(self.attempt(voter, envelope, within, 0.0));
        }
    }

    /// Sends one heartbeat to one voter after a delay; both times are in ms.
    fn attempt(
        &self,
        voter: &str,
        envelope: &Envelope,
        within: Millis,
        delay: Millis,
    ) -> impl Future<Output = Attempt> + Send + 'static {
        let connection = self.connections[voter].clone();
        let voter = voter.to_owned();
        let envelope = envelope.clone();
        async move {
            sleep(duration(delay)).await;
            let result = connection.heartbeat(envelope, within).await;
            Attempt { voter, result }
        }
    }

    /// Sends a command to the leader and waits for its outcome, within a time in ms. This gateway is tried first, as it
    /// may be the leader.
    pub(crate) async fn command(
        self,
        local: AgentHandle,
        command: FleetCommand,
        within: Millis,
    ) -> CommandResponse {
        let deadline = self.clock.now() + within;
        let body = serde_json::to_vec(&command).unwrap_or_default();
        let mut candidate = self.last_leader.clone();
        let mut last_error = String::from("no voter answered");
        while self.clock.now() < deadline {
            match self.submit_locally(&local, &command, candidate).await {
                Some(NextStep::Respond(response)) => return response,
                Some(NextStep::Try(next)) => candidate = next,
                None => break,
            }
            let Some(voter) = candidate else { break };
            let remaining = deadline - self.clock.now();
            let envelope = self.identity.envelope(body.clone());
            let answer = self.connections[&voter].command(envelope, remaining).await;
            // Sending the command again is safe, because the log recognizes it by its token.
            if let Err(CallError::Status(status)) = &answer {
                last_error = format!("{voter}: {}", status.message());
            }
            match self.step_after(&voter, answer) {
                NextStep::Respond(response) => return response,
                NextStep::Try(next) => candidate = next,
            }
            sleep(duration(COMMAND_RETRY_DELAY)).await;
        }
        CommandResponse::Refused(format!(
            "no leader of the fleet answered ({last_error}): `ironstair fleet` shows whether the command took effect"
        ))
    }

    /// Passes the command to this gateway's own actor; `None` if the actor has ended.
    async fn submit_locally(
        &self,
        local: &AgentHandle,
        command: &FleetCommand,
        candidate: Option<String>,
    ) -> Option<NextStep> {
        let (response, answered) = oneshot::channel();
        let message = AgentMessage::Command {
            command: command.clone(),
            response,
        };
        local.send(message).await.ok()?;
        let step = match answered.await.map_err(|_| RequestError::Dropped) {
            Ok(CommandResponse::NotLeader(LeaderHint { leader })) => {
                // The candidate found earlier takes precedence: the leader named by this gateway may be one that it has
                // lost contact with.
                let hinted = leader.filter(|name| self.connections.contains_key(name));
                NextStep::Try(candidate.or(hinted).or_else(|| self.voter_after(None)))
            }
            Ok(response) => NextStep::Respond(response),
            Err(_) => NextStep::Try(candidate),
        };
        Some(step)
    }

    /// The step that follows a voter's answer to a command.
    fn step_after(&self, voter: &String, answer: Result<CommandResponse, CallError>) -> NextStep {
        match answer {
            Ok(CommandResponse::NotLeader(LeaderHint { leader })) => {
                let other =
                    leader.filter(|name| name != voter && self.connections.contains_key(name));
                NextStep::Try(other.or_else(|| self.voter_after(Some(voter))))
            }
            Ok(response) => NextStep::Respond(response),
            Err(CallError::Body(error)) => NextStep::Respond(CommandResponse::Refused(format!(
                "the answer of voter {voter} can't be decoded: {error}"
            ))),
            Err(CallError::Status(_)) => NextStep::Try(self.voter_after(Some(voter))),
        }
    }
}
