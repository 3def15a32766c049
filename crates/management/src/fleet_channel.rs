//! What the manager and the fleet's actor say to each other: a gateway in a fleet takes its settings from that alone.

use crate::actor::Refused;
use ironstair::Ms;
use ironstair_data_tree::state;
use serde_json::Value as Json;
use tokio::sync::{mpsc, oneshot, watch};

pub type Responder = oneshot::Sender<Result<u64, Refused>>;

/// From the manager to the fleet's actor.
pub enum FleetRequest {
    /// `base_revision` is the mark that the gateway held when it made the document of what was asked for.
    Change {
        who: String,
        what: String,
        document: Json,
        base_revision: u64,
        commit: Option<(String, Ms)>,
        answer: Responder,
    },
    Confirm {
        id: String,
        answer: Responder,
    },
    Cancel {
        id: String,
        who: String,
        answer: Responder,
    },
    /// A history begins with what this gateway was told.
    Bootstrap {
        document: Json,
        answer: Responder,
    },
    /// One begins anew, after most voters' disks were lost: with what is left here, else with that document.
    RecoverFromDisaster {
        document: Json,
        who: String,
        answer: Responder,
    },
    /// What the leader knows.
    Show(oneshot::Sender<Result<Json, Refused>>),
}

/// The manager's end.
pub struct FleetChannel {
    pub wanted: mpsc::Sender<FleetRequest>,
    pub shown: watch::Receiver<state::Fleet>,
}

/// What the fleet has this gateway hold.
pub struct Held {
    pub mark: u64,
    pub number: u64,
    pub document: ironstair_config_change::Document,
}
