//! The messages to the actor, and what an operator's command and its response are.

use ironstair_coordination::leader::Command;
use ironstair_coordination::{Heartbeat, HeartbeatResponse};
use ironstair_management::fleet_channel::Responder;
use ironstair_raft_replica::Save;
use ironstair_raft_storage::Storage;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;
use tokio::sync::{mpsc, oneshot};

/// What an operator asks of the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetCommand {
    #[serde(rename = "ask")]
    Command(Command<Json>),
    Show,
}

/// Another voter may be the leader.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LeaderHint {
    #[serde(rename = "chair")]
    pub leader: Option<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandResponse {
    Done(u64),
    Refused(String),
    Shown(Json),
    #[serde(rename = "elsewhere")]
    NotLeader(LeaderHint),
}

/// To the actor.
pub enum AgentMessage {
    Heartbeat(
        Heartbeat,
        oneshot::Sender<Result<HeartbeatResponse<Json>, LeaderHint>>,
    ),
    RaftMessage(String, Vec<u8>),
    /// A voter and its voter's number, or 0 where it asks for the history alone.
    JoinRequest(String, u64, oneshot::Sender<u64>),
    Command(FleetCommand, oneshot::Sender<CommandResponse>),
    /// A heartbeat of this gateway came back, and from whom; or why not.
    HeartbeatAnswered(Result<(String, HeartbeatResponse<Json>), String>),
    PolicyApplied(u64, Result<(), String>),
    PolicyValidated(u64, Result<(), String>),
    SaveFinished(Box<SaveOutcome>),
    /// The histories that the other voters know, before one begins here.
    BootstrapChecked(Result<(), String>, Json, Responder),
    /// The same before one begins anew: what was found, and by whose word with what.
    RecoveryChecked(Result<Vec<u64>, String>, RecoveryRequest),
    /// A history that another voter knows.
    GenerationHeard(u64),
    Leave(oneshot::Sender<()>),
}

/// A history that is to begin anew.
pub struct RecoveryRequest {
    pub(crate) document: Json,
    pub(crate) who: String,
    pub(crate) answer: Responder,
}

pub struct SaveOutcome {
    pub(crate) storage: Storage,
    pub(crate) save: Save,
    pub(crate) how: Result<(), String>,
}

/// Says that the process ends, once all is answered; told when the fleet knows.
pub type Leave = mpsc::Sender<AgentMessage>;
