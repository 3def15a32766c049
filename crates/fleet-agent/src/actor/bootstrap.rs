//! The bootstrap of a fleet: the first cluster generation begins with one voter, and the other voters join it.

use super::commands::CALL_TIMEOUT;
use super::Actor;
use crate::envelope::Identity;
use crate::error::{refuse, BootstrapError, StorageError};
use crate::message::{AgentMessage, BootstrapRequest};
use crate::peer::{CallError, VoterConnection};
use crate::prepared::random_number;
use ironstair_coordination::generation::first;
use ironstair_raft_replica::Replica;
use ironstair_raft_storage::Storage;
use serde_json::Value as Json;
use std::collections::BTreeMap;

impl Actor {
    /// Asks all other voters whether they know a cluster generation. [`Actor::finish_bootstrap`] continues with the
    /// result.
    pub(super) fn start_bootstrap(&self, request: BootstrapRequest) {
        if let Err(error) = self.check_local_preconditions() {
            return refuse(request.responder, error);
        }
        let connections = self.connections.clone();
        let identity = self.identity.clone();
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let result = check_no_generation_known(&connections, &identity).await;
            let message = AgentMessage::BootstrapChecked { request, result };
            let _ = handle.send(message).await;
        });
    }

    fn check_local_preconditions(&self) -> Result<(), BootstrapError> {
        let voter = self.voter.as_ref().ok_or(BootstrapError::NotVoter)?;
        // Only the first voter may bootstrap the fleet: bootstraps at two voters would begin two clusters.
        let first_voter = self.config.voters.keys().next();
        if first_voter != Some(&self.config.name) {
            let name = first_voter.cloned().unwrap_or_default();
            return Err(BootstrapError::OtherVoter(name));
        }
        if !voter.replica.is_blank() || voter.storage.is_none() {
            return Err(BootstrapError::AlreadyBootstrapped);
        }
        Ok(())
    }

    /// Bootstraps the fleet if no other voter knows a cluster generation.
    pub(super) fn finish_bootstrap(
        &mut self,
        request: BootstrapRequest,
        result: Result<(), BootstrapError>,
    ) {
        let BootstrapRequest {
            document,
            responder,
        } = request;
        match result.and_then(|()| self.bootstrap(document)) {
            Ok(()) => drop(responder.send(Ok(0))),
            Err(error) => refuse(responder, error),
        }
    }

    fn bootstrap(&mut self, document: Json) -> Result<(), BootstrapError> {
        let voter = self
            .voter
            .as_mut()
            .filter(|voter| voter.replica.is_blank())
            .ok_or(BootstrapError::AlreadyBootstrapped)?;
        let mut storage = voter.storage.take().ok_or(BootstrapError::DiskBusy)?;
        // The replica keeps the id that it has already sent to others.
        let replica_id = storage.image().id;
        let generation = first(random_number());
        let name = &self.config.name;
        let image = Replica::bootstrap_image(name, replica_id, generation, document, None)
            .map_err(StorageError::new)?;
        let written = storage.reset(image).map_err(StorageError::new);
        self.reopen_voter(storage, written)?;
        Ok(())
    }

    /// Opens the voter with the content of its disk, after a new log was written to it, and returns the error of either.
    pub(super) fn reopen_voter(
        &mut self,
        storage: Storage,
        written: Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        self.voter = None;
        self.open_voter(storage).and(written)
    }
}

/// Asks all voters, and returns the error for the first one that prevents a bootstrap.
async fn check_no_generation_known(
    connections: &BTreeMap<String, VoterConnection>,
    identity: &Identity,
) -> Result<(), BootstrapError> {
    let mut result = Ok(());
    for (voter, connection) in connections {
        let known = connection.known_generation(identity, CALL_TIMEOUT).await;
        result = result.and(check_answer(voter, known));
    }
    result
}

fn check_answer(voter: &str, known: Result<u64, CallError>) -> Result<(), BootstrapError> {
    let voter = voter.to_owned();
    match known {
        Ok(0) => Ok(()),
        Ok(_) => Err(BootstrapError::GenerationKnown(voter)),
        Err(CallError::Body(source)) => Err(BootstrapError::Undecodable { voter, source }),
        Err(CallError::Status(status)) => Err(BootstrapError::NoAnswer {
            voter,
            reason: status.message().to_owned(),
        }),
    }
}
