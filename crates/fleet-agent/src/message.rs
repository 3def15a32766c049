//! The messages to the actor, and the commands and responses that gateways of one fleet exchange.

use crate::error::{BootstrapError, NoLeader, PolicyError, StorageError};
use ironstair_coordination::leader::Command;
use ironstair_coordination::{Heartbeat, HeartbeatResponse};
use ironstair_management::fleet_channel::Responder;
use ironstair_raft_replica::Save;
use ironstair_raft_storage::Storage;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;
use tokio::sync::oneshot;

/// A command of an operator to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetCommand {
    /// A change of the fleet's policy, or its confirmation or cancellation.
    #[serde(rename = "ask")]
    Command(Command<Json>),
    /// The fleet's status.
    Show,
}

/// What a voter that is not the leader answers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LeaderHint {
    /// The name of the leader, if the voter knows it.
    #[serde(rename = "chair")]
    pub leader: Option<String>,
}

/// The outcome of a [`FleetCommand`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandResponse {
    /// All members that may decide have applied the revision of that number.
    Done(u64),
    /// The command was refused, with the reason as a sentence.
    Refused(String),
    /// The fleet's status.
    Shown(Json),
    /// The voter that received the command is not the leader.
    #[serde(rename = "elsewhere")]
    NotLeader(LeaderHint),
}

/// A voter's reply to a heartbeat: the leader's response, or another voter's hint at the leader.
pub type HeartbeatReply = Result<HeartbeatResponse<Json>, LeaderHint>;

/// A message to the actor.
pub enum AgentMessage {
    /// A member's heartbeat.
    Heartbeat {
        /// The member's report.
        heartbeat: Heartbeat,
        /// Receives the reply.
        response: oneshot::Sender<HeartbeatReply>,
    },
    /// A message of the Raft library.
    RaftMessage {
        /// The sending voter's name.
        from: String,
        /// The message as the library encodes it.
        bytes: Vec<u8>,
    },
    /// A voter requests to join, or asks for the cluster generation known here.
    JoinRequest(JoinRequest),
    /// An operator's command, received by this or by another gateway.
    Command {
        /// The command.
        command: FleetCommand,
        /// Receives the outcome.
        response: oneshot::Sender<CommandResponse>,
    },
    /// The outcome of a heartbeat of this gateway.
    HeartbeatAnswered(Result<HeartbeatAnswer, NoLeader>),
    /// The gateway has applied a policy of the fleet, or has failed to.
    PolicyApplied {
        /// The index of the policy.
        applied_index: u64,
        /// Why it can't be applied.
        result: Result<(), PolicyError>,
    },
    /// This gateway has validated a policy that the fleet is about to decide on.
    PolicyValidated {
        /// The revision's number.
        revision: u64,
        /// Why the policy is not valid here.
        result: Result<(), PolicyError>,
    },
    /// A write to the log's disk has ended.
    SaveFinished(Box<SaveOutcome>),
    /// The other voters have been asked for their cluster generations before a bootstrap.
    BootstrapChecked {
        /// The operator's request.
        request: BootstrapRequest,
        /// Why the fleet can't be bootstrapped.
        result: Result<(), BootstrapError>,
    },
    /// A leader has been searched for, and the other voters have been asked for their cluster generations, before a
    /// disaster recovery.
    RecoveryChecked {
        /// The operator's request.
        request: RecoveryRequest,
        /// The generations that the other voters know, one for each that answered; or why recovery is refused.
        result: Result<Vec<u64>, BootstrapError>,
    },
    /// Another voter has reported the cluster generation that it knows; 0 if it knows none.
    GenerationReported(u64),
    /// This process is about to end. The sender is notified once the fleet knows.
    Leave(oneshot::Sender<()>),
}

/// A voter's request to join, or its query for the cluster generation.
pub struct JoinRequest {
    /// The requesting gateway's name.
    pub voter: String,
    /// The id of the voter's replica; `None` if it asks for the generation only.
    pub replica_id: Option<u64>,
    /// Receives the cluster generation that is known here; 0 if there is none.
    pub response: oneshot::Sender<u64>,
}

/// The leader's response to a heartbeat of this gateway.
pub struct HeartbeatAnswer {
    /// The voter that responded.
    pub leader: String,
    /// Its response.
    pub response: HeartbeatResponse<Json>,
}

/// An operator's request to bootstrap the fleet.
pub struct BootstrapRequest {
    pub(crate) document: Json,
    pub(crate) responder: Responder,
}

/// An operator's request for a disaster recovery: a new cluster generation from the state that this voter still has.
pub struct RecoveryRequest {
    /// The policy to begin with if this voter has no state.
    pub(crate) document: Json,
    pub(crate) author: String,
    pub(crate) responder: Responder,
}

/// The result of a write to the log's disk, with the disk that the task returns.
pub struct SaveOutcome {
    pub(crate) storage: Storage,
    pub(crate) save: Save,
    pub(crate) result: Result<(), StorageError>,
}
