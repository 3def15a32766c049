//! Errors of the agent. Errors of the packages that it uses are carried as text.

use ironstair_management::fleet_channel::Responder;
use ironstair_management::Refused;
use std::net::SocketAddr;

/// Why the agent can't be prepared or started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The listener's address can't be used.
    #[error("fleet.listen: can't listen on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The listener's socket can't be kept open until the process ends.
    #[error("fleet.listen: can't duplicate the listening socket: {0}")]
    HoldListener(#[source] std::io::Error),
    /// The folder of the log can't be used.
    #[error("fleet.state: {0}")]
    Log(StorageError),
    /// The replica can't start with the content of the log.
    #[error(transparent)]
    Replica(StorageError),
    /// No connection can be made to a voter's address.
    #[error("fleet.keepers.{voter}: {source}")]
    VoterAddress {
        /// The voter's name.
        voter: String,
        /// The transport's error.
        source: tonic::transport::Error,
    },
}

/// Why the log or its disk can't be used, as the text of the replica's or the storage's error.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct StorageError(pub(crate) String);

impl StorageError {
    pub(crate) fn new(cause: impl std::fmt::Display) -> Self {
        StorageError(cause.to_string())
    }
}

/// Why no leader answered a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoLeader {
    /// No voter answered as the leader.
    #[error("no voter answered as the leader")]
    NotFound,
    /// A voter rejected the heartbeat; the text is its reason.
    #[error("{0}")]
    Rejected(String),
}

/// Why this gateway can't apply a policy of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicyError {
    /// The policy names a field that this version does not know.
    #[error("this version can't read the policy: unknown field `{0}`")]
    UnknownField(&'static str),
    /// Management rejected the policy; the text is its error.
    #[error("{0}")]
    Rejected(String),
}

impl PolicyError {
    pub(crate) fn rejected(cause: impl std::fmt::Display) -> Self {
        PolicyError::Rejected(cause.to_string())
    }
}

/// Why a bootstrap or a disaster recovery was refused.
#[derive(Debug, thiserror::Error)]
pub enum BootstrapError {
    /// This gateway is not a voter, and has no log.
    #[error("only a voter can bootstrap the fleet")]
    NotVoter,
    /// Only the named voter may bootstrap the fleet.
    #[error("the fleet can be bootstrapped only at voter {0}")]
    OtherVoter(String),
    /// The log here has a cluster generation.
    #[error("the fleet is bootstrapped already")]
    AlreadyBootstrapped,
    /// Another voter knows a cluster generation.
    #[error(
        "{0} knows a cluster generation: the fleet was bootstrapped before, and this voter's log is missing"
    )]
    GenerationKnown(String),
    /// Another voter did not answer.
    #[error("voter {voter} did not answer, which a bootstrap requires: {reason}")]
    NoAnswer {
        /// The voter's name.
        voter: String,
        /// The call's status message.
        reason: String,
    },
    /// Another voter's answer can't be decoded.
    #[error("the answer of voter {voter} can't be decoded: {source}")]
    Undecodable {
        /// The voter's name.
        voter: String,
        /// The decoder's error.
        source: serde_json::Error,
    },
    /// A write to the disk is in progress.
    #[error("a write to the fleet log is in progress, try again")]
    DiskBusy,
    /// This gateway is not a voter, and has no log to recover from.
    #[error("only a voter can start a disaster recovery")]
    RecoveryNotVoter,
    /// This gateway lost its log while the request was in progress.
    #[error("this gateway is no longer a voter")]
    NoLongerVoter,
    /// The fleet has a leader.
    #[error("{0} is the leader: the fleet's state is not lost")]
    LeaderExists(String),
    /// No further cluster generation can be numbered; the text is the reason.
    #[error("{0}")]
    Generation(String),
    /// The log or its disk can't be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// Sends an operator the refusal of a request, with its reason.
pub(crate) fn refuse(responder: Responder, reason: impl std::fmt::Display) {
    let _ = responder.send(Err(Refused::Fleet(reason.to_string())));
}
