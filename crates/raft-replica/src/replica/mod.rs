//! The replica: its inputs and outputs, and the loop that advances the library after each input.

mod leadership;
mod log;
mod membership;
mod open;

use crate::image::Save;
use crate::log_store::LogStore;
use crate::state::State;
use ironstair::Millis;
use ironstair_coordination::leader::{Command, Refusal};
use ironstair_coordination::{Heartbeat, HeartbeatResponse, Leader, Policy};
use leadership::{LeadershipCheck, WaitingHeartbeat};
use membership::JoinRequest;
use protobuf::Message as _;
use raft::prelude::{Message, MessageType};
use raft::{RawNode, StateRole};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;

/// How often [`Replica::tick`] has to be called, in ms.
pub const TICK: Millis = 50.0;
/// Limit of the heartbeats that wait for the next leadership check.
const MAX_WAITING_HEARTBEATS: usize = 4096;

/// An action for the caller. The outputs of one call must be handled in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<D> {
    /// Write this to the disk, then call [`Replica::save_completed`]. At most one write is in progress at a time.
    Save(Save),
    /// Send these bytes to the replica of that name.
    Send(String, Vec<u8>),
    /// Answer the heartbeat with that token.
    HeartbeatResponse(u64, HeartbeatResponse<D>),
    /// Answer the heartbeat with that token that this replica can't answer it as the leader, and name the replica to
    /// which it should be sent, if that is known.
    NotLeader(u64, Option<String>),
    /// The disk lacks entries that it has confirmed to the leader: it is an older copy, and must not be used any more.
    DiskOutdated,
}

/// A replica of the log.
pub struct Replica<D> {
    name: String,
    id: u64,
    node: RawNode<LogStore>,
    state: State<D>,
    /// The index of the last entry that `state` includes.
    applied: u64,
    /// Set while this replica is the leader.
    leader: Option<LeaderTerm<D>>,
    lease: Millis,
    now: Millis,
    /// The number of the library's output whose write is in progress.
    ready_in_progress: Option<u64>,
    /// Messages that must not be sent before the write in progress is complete.
    messages_after_save: Vec<Message>,
    /// Heartbeats that wait for the next leadership check.
    heartbeats: Vec<WaitingHeartbeat>,
    leadership_check: Option<LeadershipCheck>,
    /// The number of the last leadership check.
    last_check_number: u64,
    /// The latest join request of each blank replica, by name.
    join_requests: BTreeMap<String, JoinRequest>,
    /// When each unacknowledged snapshot was first seen as sent, by the id of the receiver.
    snapshots_sent_at: BTreeMap<u64, Millis>,
    /// The sender of the last message that this replica received while it was blank.
    last_sender: Option<Sender>,
    /// Whether the leader has to look for a record to propose. It does not do so after each heartbeat, because the search
    /// visits all members, of which there may be hundreds.
    is_proposal_due: bool,
    /// Whether the log has to be compacted after a membership change: a new replica must find itself among the members in
    /// the snapshot.
    is_compaction_due: bool,
    outputs: Vec<Output<D>>,
}

/// The leader's state in one term of the library.
struct LeaderTerm<D> {
    term: u64,
    leader: Leader<D>,
}

/// The sender of a message.
struct Sender {
    id: u64,
    name: String,
}

impl<D: Policy + Serialize + DeserializeOwned> Replica<D> {
    /// The state that this replica has applied.
    pub fn state(&self) -> &State<D> {
        &self.state
    }

    /// The name of the leader, if this replica knows it.
    pub fn leader_name(&self) -> Option<&str> {
        let leader_id = self.node.raft.leader_id;
        let mut voters = self.state.voters.iter();
        let (name, _) = voters.find(|(_, id)| **id == leader_id)?;
        Some(name)
    }

    /// The leader's state, if this replica is the leader.
    pub fn leader(&self) -> Option<&Leader<D>> {
        self.leader.as_ref().map(|leader_term| &leader_term.leader)
    }

    /// Whether this replica is not a voter: it has not been admitted yet, or its id was replaced.
    pub fn is_blank(&self) -> bool {
        !self.state.voters.values().any(|id| *id == self.id)
    }

    /// Advances the library's time by one tick. Must be called every [`TICK`].
    pub fn tick(&mut self, now: Millis) -> Vec<Output<D>> {
        self.now = now;
        self.node.tick();
        self.is_proposal_due = true;
        self.retry_lost_snapshots();
        self.advance()
    }

    /// Handles a message of the library from the replica of that name. A message that can't be decoded or is addressed to
    /// another id is dropped.
    pub fn handle_message(&mut self, now: Millis, from: &str, bytes: &[u8]) -> Vec<Output<D>> {
        self.now = now;
        if let Ok(message) = Message::parse_from_bytes(bytes) {
            // A message to another id is for a previous replica of this name, whose disk was lost.
            if message.to == self.id {
                self.step(from, message);
            }
        }
        self.advance()
    }

    fn step(&mut self, from: &str, message: Message) {
        if self.is_blank() {
            // A blank replica may have no list of voters: it keeps the sender's name for the answer.
            self.last_sender = Some(Sender {
                id: message.from,
                name: from.to_owned(),
            });
        }
        // The library panics if the leader counts on entries that this disk had confirmed and no longer contains.
        // Consensus depends on them, too: such a replica must start blank, as if its disk were lost.
        let last_index = self.node.raft.raft_log.last_index();
        let is_heartbeat = message.get_msg_type() == MessageType::MsgHeartbeat;
        let is_current = message.term >= self.node.raft.term;
        if is_heartbeat && is_current && message.commit > last_index {
            self.outputs.push(Output::DiskOutdated);
        } else {
            // A message that the library rejects is treated as lost.
            let _ = self.node.step(message);
        }
    }

    /// Handles a member's heartbeat. The answer is an output with that token, of this call or a later one.
    pub fn heartbeat(&mut self, now: Millis, token: u64, heartbeat: Heartbeat) -> Vec<Output<D>> {
        self.now = now;
        let is_leader = self.node.raft.state == StateRole::Leader;
        if is_leader && self.heartbeats.len() < MAX_WAITING_HEARTBEATS {
            self.heartbeats.push(WaitingHeartbeat { token, heartbeat });
        } else {
            let leader = self.leader_name().map(String::from);
            self.outputs.push(Output::NotLeader(token, leader));
        }
        self.advance()
    }

    /// Submits an operator's command. Its outcome becomes visible in the state.
    ///
    /// # Errors
    /// Fails if the command does not fit the state, or this replica is not the leader.
    pub fn submit(&mut self, now: Millis, command: Command<D>) -> Result<Vec<Output<D>>, Refusal> {
        self.now = now;
        let leader_term = self.leader.as_mut().ok_or(Refusal::NotBootstrapped)?;
        leader_term.leader.submit(&self.state.fleet, command)?;
        self.is_proposal_due = true;
        Ok(self.advance())
    }

    /// Must be called when the write of [`Output::Save`] is complete.
    pub fn save_completed(&mut self, now: Millis) -> Vec<Output<D>> {
        self.now = now;
        if let Some(number) = self.ready_in_progress.take() {
            self.handle_persisted(number);
        }
        self.advance()
    }

    /// Advances the library until it has no output, or a write is in progress.
    fn advance(&mut self) -> Vec<Output<D>> {
        loop {
            self.update_leadership();
            self.start_leadership_check();
            self.propose_next();
            if self.ready_in_progress.is_some() || !self.node.has_ready() {
                return std::mem::take(&mut self.outputs);
            }
            self.handle_ready();
        }
    }
}
