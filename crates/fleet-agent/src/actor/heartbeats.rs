//! The heartbeats that this gateway sends to the leader, and those of members that it answers as a voter.

use super::{Actor, HeartbeatSource};
use crate::error::NoLeader;
use crate::fault_injection::{is_disabled, Guard};
use crate::leader_search::LeaderSearch;
use crate::message::{AgentMessage, HeartbeatAnswer, HeartbeatReply, LeaderHint};
use ironstair_coordination::member::Input;
use ironstair_coordination::{Heartbeat, HeartbeatResponse};
use serde_json::Value as Json;
use slog::warn;
use tokio::sync::oneshot;

/// Limit of this gateway's heartbeats in flight while a leader is known.
const MAX_HEARTBEATS_IN_FLIGHT: usize = 4;
/// Limit of this gateway's heartbeats in flight while no leader is known. It is smaller, because hundreds of members may
/// search for a leader at the same time.
const MAX_HEARTBEATS_WITHOUT_LEADER: usize = 1;

impl Actor {
    /// Handles a member's heartbeat, which this voter answers if it is the leader.
    pub(super) fn handle_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        response: oneshot::Sender<HeartbeatReply>,
    ) {
        if self.voter.is_none() {
            let _ = response.send(Err(LeaderHint::default()));
            return;
        }
        self.note_generation(heartbeat.generation);
        self.submit_heartbeat(heartbeat, HeartbeatSource::Remote(response));
    }

    /// Handles the outcome of a heartbeat of this gateway.
    pub(super) fn handle_heartbeat_answer(&mut self, result: Result<HeartbeatAnswer, NoLeader>) {
        self.heartbeats_in_flight -= 1;
        match result {
            Ok(answer) => {
                self.last_responder = Some(answer.leader);
                self.last_search_error = None;
                self.handle_heartbeat_response(answer.response);
            }
            Err(error) => {
                self.last_responder = None;
                self.log_search_error(error);
            }
        }
    }

    /// Logs why no leader answered, if the lease has expired: once per reason, and not for each heartbeat.
    fn log_search_error(&mut self, error: NoLeader) {
        let is_known = self.last_search_error.as_ref() == Some(&error);
        if is_known || self.member.has_lease(self.clock.now()) {
            return;
        }
        warn!(self.log, "no leader of the fleet found"; "error" => %error);
        self.last_search_error = Some(error);
    }

    /// Handles the leader's response to a heartbeat of this gateway.
    pub(super) fn handle_heartbeat_response(&mut self, response: HeartbeatResponse<Json>) {
        self.drive_member(Input::Answered(response));
        if let Some(left) = self.leave_response.take() {
            let _ = left.send(());
        }
    }

    /// Sends this gateway's heartbeat to the leader, over the network unless this gateway is the leader.
    pub(super) fn send_heartbeat(&mut self, mut heartbeat: Heartbeat) {
        heartbeat.steady &= !is_disabled(Guard::SteadyReported);
        if self.is_leader() {
            return self.submit_heartbeat(heartbeat, HeartbeatSource::Local);
        }
        let limit = match self.leader_name() {
            Some(_) => MAX_HEARTBEATS_IN_FLIGHT,
            None => MAX_HEARTBEATS_WITHOUT_LEADER,
        };
        if self.heartbeats_in_flight >= limit {
            return;
        }
        self.heartbeats_in_flight += 1;
        let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
        let envelope = self.identity.envelope(body);
        let search = self.leader_search();
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let result = search.heartbeat(envelope).await;
            let _ = handle.send(AgentMessage::HeartbeatAnswered(result)).await;
        });
    }

    fn is_leader(&self) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|voter| voter.replica.leader_name() == Some(&self.config.name))
    }

    /// A search that begins with the leader known here.
    pub(super) fn leader_search(&self) -> LeaderSearch {
        let last_leader = self
            .leader_name()
            .filter(|name| self.connections.contains_key(name));
        LeaderSearch {
            identity: self.identity.clone(),
            connections: self.connections.clone(),
            last_leader,
            clock: self.clock,
            lease: self.config.lease,
        }
    }

    /// Passes a heartbeat to this voter's replica.
    fn submit_heartbeat(&mut self, heartbeat: Heartbeat, source: HeartbeatSource) {
        let Some(voter) = &mut self.voter else { return };
        self.last_token += 1;
        let token = self.last_token;
        self.pending_heartbeats.insert(token, source);
        let outputs = voter.replica.heartbeat(self.clock.now(), token, heartbeat);
        self.execute(outputs);
    }
}
