//! Disaster recovery: after the disks of most voters were lost, a new cluster generation begins with the state that
//! this voter still has. It is refused while a leader answers.

use super::Actor;
use crate::envelope::Identity;
use crate::error::{refuse, BootstrapError, StorageError};
use crate::handle::AgentHandle;
use crate::leader_search::LeaderSearch;
use crate::message::{AgentMessage, CommandResponse, FleetCommand, RecoveryRequest};
use crate::peer::VoterConnection;
use crate::prepared::random_number;
use ironstair::Millis;
use ironstair_coordination::generation::successor;
use ironstair_coordination::{grace_period, RevisionState, RevisionSummary};
use ironstair_raft_replica::Replica;
use ironstair_runtime::clock::duration;
use serde_json::Value as Json;
use slog::warn;
use std::collections::BTreeMap;
use tokio::time::sleep;

/// A search for a leader, and the delay in ms that follows it.
struct LeaderCheck {
    search: LeaderSearch,
    delay_after: Millis,
}

/// The initial state of a new cluster generation.
struct RecoveryPlan {
    generation: u64,
    document: Json,
    revision: RevisionSummary,
}

impl Actor {
    /// Searches for a leader, and asks all other voters for their cluster generation.
    /// [`Actor::finish_disaster_recovery`] continues with the results.
    pub(super) fn start_disaster_recovery(&self, request: RecoveryRequest) {
        if self.voter.is_none() {
            return refuse(request.responder, BootstrapError::RecoveryNotVoter);
        }
        let lease = self.config.lease;
        // The search runs twice. The delay between the searches covers the longest lease that a leader which has just
        // ended may have granted.
        let checks = [grace_period(lease), 0.0].map(|delay_after| LeaderCheck {
            search: self.leader_search(),
            delay_after,
        });
        let connections = self.connections.clone();
        let identity = self.identity.clone();
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let result = match find_leader(checks, &handle, lease).await {
                Some(leader) => Err(BootstrapError::LeaderExists(leader)),
                None => Ok(known_generations(&connections, &identity, lease).await),
            };
            let message = AgentMessage::RecoveryChecked { request, result };
            let _ = handle.send(message).await;
        });
    }

    /// Begins a new cluster generation, unless a leader was found.
    pub(super) fn finish_disaster_recovery(
        &mut self,
        request: RecoveryRequest,
        result: Result<Vec<u64>, BootstrapError>,
    ) {
        let RecoveryRequest {
            document,
            author,
            responder,
        } = request;
        match result.and_then(|known| self.recover(&known, document, author)) {
            Ok(()) => drop(responder.send(Ok(0))),
            Err(error) => refuse(responder, error),
        }
    }

    fn recover(
        &mut self,
        known: &[u64],
        document: Json,
        author: String,
    ) -> Result<(), BootstrapError> {
        let plan = self.plan_recovery(known, document, author)?;
        let summary = plan.revision.summary.clone();
        let author = plan.revision.author.clone();
        let replica_id = random_number();
        let image = Replica::bootstrap_image(
            &self.config.name,
            replica_id,
            plan.generation,
            plan.document,
            Some(plan.revision),
        )
        .map_err(StorageError::new)?;
        let mut storage = self
            .voter
            .as_mut()
            .and_then(|voter| voter.storage.take())
            .ok_or(BootstrapError::DiskBusy)?;
        let written = storage
            .quarantine(replica_id)
            .and_then(|_| storage.reset(image))
            .map_err(StorageError::new);
        self.reopen_voter(storage, written)?;
        let generation = format!("{:016x}", plan.generation);
        warn!(self.log, "disaster recovery done, new cluster generation begins";
            "author" => author, "summary" => summary, "generation" => generation);
        Ok(())
    }

    /// Plans the new generation. `known` has one cluster generation for each voter that answered; `document` is used if
    /// this voter's log has no state.
    fn plan_recovery(
        &self,
        known: &[u64],
        document: Json,
        author: String,
    ) -> Result<RecoveryPlan, BootstrapError> {
        let voter = self.voter.as_ref().ok_or(BootstrapError::NoLongerVoter)?;
        if voter.replica.leader().is_some() {
            return Err(BootstrapError::LeaderExists("this voter".into()));
        }
        let remaining = &voter.replica.state().fleet;
        let remembered = self.member.applied_state().generation;
        let mut generations = known.to_vec();
        generations.extend([remaining.generation, remembered, self.latest_generation]);
        let generation = successor(generations.iter().copied(), random_number())
            .map_err(|error| BootstrapError::Generation(error.to_string()))?;
        let (document, policy_source) = match &remaining.running {
            Some((number, running)) => (running.clone(), format!("revision {number}")),
            None => (
                document,
                "the settings that this gateway started with".to_owned(),
            ),
        };
        let latest = generations.iter().copied().max().unwrap_or(0);
        let unanswered = self.connections.len().saturating_sub(known.len());
        let revision = RevisionSummary {
            number: 0,
            token: 0,
            author,
            created_at: self.clock.now(),
            summary: format!(
                "disaster recovery after generation {latest:016x} with {policy_source}: what was decided after that is lost; {unanswered} voters did not answer"
            ),
            state: RevisionState::Running,
            commit: None,
            refused: None,
        };
        Ok(RecoveryPlan {
            generation,
            document,
            revision,
        })
    }
}

/// Runs the searches for a leader in order, and returns the name of the first that answers.
async fn find_leader(
    checks: [LeaderCheck; 2],
    handle: &AgentHandle,
    lease: Millis,
) -> Option<String> {
    for LeaderCheck {
        search,
        delay_after,
    } in checks
    {
        let response = search
            .command(handle.clone(), FleetCommand::Show, lease)
            .await;
        if let CommandResponse::Shown(status) = response {
            return Some(
                status["chair"]
                    .as_str()
                    .unwrap_or("another voter")
                    .to_owned(),
            );
        }
        sleep(duration(delay_after)).await;
    }
    None
}

/// Asks the other voters for their cluster generations, with a timeout in ms. Returns one for each that answers.
async fn known_generations(
    connections: &BTreeMap<String, VoterConnection>,
    identity: &Identity,
    within: Millis,
) -> Vec<u64> {
    let mut known = Vec::new();
    for connection in connections.values() {
        known.extend(connection.known_generation(identity, within).await.ok());
    }
    known
}
