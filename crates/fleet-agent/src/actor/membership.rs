//! The voters of the fleet, and the cluster generations that they know.

use super::Actor;
use crate::fault_injection::{is_disabled, Guard};
use crate::message::{AgentMessage, JoinRequest};
use ironstair::Millis;
use ironstair_coordination::generation::supersedes;

/// The interval in ms at which a blank voter asks to join.
const JOIN_REQUEST_INTERVAL: Millis = 500.0;
/// The timeout of a request to join in ms.
const JOIN_REQUEST_TIMEOUT: Millis = JOIN_REQUEST_INTERVAL * 0.8;
/// The interval in ms at which each voter asks the others for their cluster generations.
const GENERATION_CHECK_INTERVAL: Millis = 2000.0;
/// The timeout of a query for the cluster generation in ms.
const GENERATION_CHECK_TIMEOUT: Millis = GENERATION_CHECK_INTERVAL;

impl Actor {
    /// Handles a voter's request to join, or its query for the cluster generation.
    pub(super) fn handle_join_request(&mut self, request: JoinRequest) {
        if let (Some(voter), Some(replica_id)) = (&mut self.voter, request.replica_id) {
            if self.config.voters.contains_key(&request.voter) {
                voter.replica.handle_join_request(request.voter, replica_id);
            }
        }
        let _ = request.response.send(self.known_generation());
    }

    /// The cluster generation that is known here, 0 if none. A voter that lost its disk, and is blank, may still know it
    /// as a member.
    fn known_generation(&self) -> u64 {
        match self.generation_on_disk() {
            0 => self.member.applied_state().generation,
            generation => generation,
        }
    }

    /// The cluster generation of this voter's log, 0 if none.
    fn generation_on_disk(&self) -> u64 {
        self.voter
            .as_ref()
            .map_or(0, |voter| voter.replica.state().fleet.generation)
    }

    /// Handles a cluster generation that another voter knows. If it supersedes that of this voter's log, the log is
    /// quarantined.
    pub(super) fn handle_generation(&mut self, generation: u64) {
        self.note_generation(generation);
        let own = self.generation_on_disk();
        if own != 0 && supersedes(generation, own) && !is_disabled(Guard::GenerationCheck) {
            self.quarantine_log("disaster recovery took place without this voter");
        }
    }

    /// Remembers the latest cluster generation that any gateway reported.
    pub(super) fn note_generation(&mut self, generation: u64) {
        if self.latest_generation == 0 || supersedes(generation, self.latest_generation) {
            self.latest_generation = generation;
        }
    }

    /// The name of the leader, if this gateway knows it.
    pub(super) fn leader_name(&self) -> Option<String> {
        match &self.voter {
            Some(voter) => voter.replica.leader_name().map(String::from),
            None => self.last_responder.clone(),
        }
    }

    /// Advances the clock of this voter's replica by a tick, and sends what is due to the other voters.
    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        let Some(voter) = &mut self.voter else { return };
        let outputs = voter.replica.tick(now);
        let join_request = voter.replica.join_request();
        if let Some((_, replica_id)) = join_request.filter(|_| now >= voter.join_request_due) {
            voter.join_request_due = now + JOIN_REQUEST_INTERVAL;
            self.request_join(replica_id);
        }
        self.check_generations(now);
        self.execute(outputs);
    }

    /// Asks all other voters to admit this one under the id of its replica.
    fn request_join(&self, replica_id: u64) {
        let envelope = self.identity.envelope(replica_id.to_string().into_bytes());
        for connection in self.connections.values() {
            let connection = connection.clone();
            let envelope = envelope.clone();
            tokio::spawn(async move {
                let _ = connection
                    .request_join(envelope, JOIN_REQUEST_TIMEOUT)
                    .await;
            });
        }
    }

    /// Asks all other voters for their cluster generations, if that is due.
    fn check_generations(&mut self, now: Millis) {
        let Some(voter) = &mut self.voter else { return };
        if now < voter.generation_check_due {
            return;
        }
        voter.generation_check_due = now + GENERATION_CHECK_INTERVAL;
        for connection in self.connections.values() {
            let connection = connection.clone();
            let identity = self.identity.clone();
            let handle = self.handle.clone();
            tokio::spawn(async move {
                let known = connection
                    .known_generation(&identity, GENERATION_CHECK_TIMEOUT)
                    .await;
                if let Ok(generation) = known {
                    let _ = handle
                        .send(AgentMessage::GenerationReported(generation))
                        .await;
                }
            });
        }
    }
}
