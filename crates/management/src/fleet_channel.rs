//! Messages between the manager and the fleet's actor. A gateway in a fleet receives its settings only from the fleet.

use crate::error::Refused;
use ironstair::Millis;
use ironstair_data_tree::state;
use serde_json::Value as Json;
use tokio::sync::{mpsc, oneshot, watch};

/// Receives the outcome of a change: the number of the revision that is running after it.
pub type Responder = oneshot::Sender<Result<u64, Refused>>;

/// A request of the manager to the fleet's actor.
pub enum FleetRequest {
    /// Proposes a change.
    Change {
        /// The author.
        author: String,
        /// The summary of the change.
        summary: String,
        /// The settings document after the change.
        document: Json,
        /// The applied index of the policy that the change is based on.
        base_revision: u64,
        /// The id by which the change must be confirmed, and the time in ms within which; `None` for a permanent
        /// change.
        commit: Option<(String, Millis)>,
        /// Receives the outcome.
        answer: Responder,
    },
    /// Makes the unconfirmed change permanent.
    Confirm {
        /// The id of the change.
        id: String,
        /// Receives the outcome.
        answer: Responder,
    },
    /// Rolls the unconfirmed change back.
    Cancel {
        /// The id of the change.
        id: String,
        /// The author of the command.
        author: String,
        /// Receives the outcome.
        answer: Responder,
    },
    /// Bootstraps the fleet with the configured settings of this gateway.
    Bootstrap {
        /// The configured settings document.
        document: Json,
        /// Receives the outcome.
        answer: Responder,
    },
    /// Starts a new cluster generation after the disks of most voters were lost. It begins with the state that this
    /// voter's log still holds, or with the document if there is none.
    RecoverFromDisaster {
        /// The settings document that this gateway is configured with.
        document: Json,
        /// The author of the command.
        author: String,
        /// Receives the outcome.
        answer: Responder,
    },
    /// Reads the leader's view of the fleet.
    Show(oneshot::Sender<Result<Json, Refused>>),
}

/// The manager's side of the channel.
pub struct FleetChannel {
    /// The queue of the fleet's actor.
    pub requests: mpsc::Sender<FleetRequest>,
    /// The state of the fleet as the actor knows it.
    pub status: watch::Receiver<state::Fleet>,
}
