//! What the manager and the fleet's actor say to each other: a gateway in a fleet takes its settings from that alone.

use crate::desk::Refused;
use ironstair::Ms;
use ironstair_data_tree::state;
use serde_json::Value as Json;
use tokio::sync::{mpsc, oneshot, watch};

pub type Answer = oneshot::Sender<Result<u64, Refused>>;

/// From the manager to the fleet's actor.
pub enum Wanted {
    /// `upon` is the mark that the gateway held when it made the document of what was asked for.
    Change {
        who: String,
        what: String,
        document: Json,
        upon: u64,
        commit: Option<(String, Ms)>,
        answer: Answer,
    },
    Confirm {
        id: String,
        answer: Answer,
    },
    Cancel {
        id: String,
        who: String,
        answer: Answer,
    },
    /// A history begins with what this gateway was told.
    Begin {
        document: Json,
        answer: Answer,
    },
    /// One begins anew, after most keepers' disks were lost: with what is left here, else with that document.
    Anew {
        document: Json,
        who: String,
        answer: Answer,
    },
    /// What the chair knows.
    Show(oneshot::Sender<Result<Json, Refused>>),
}

/// The manager's end.
pub struct Fleetward {
    pub wanted: mpsc::Sender<Wanted>,
    pub shown: watch::Receiver<state::Fleet>,
}

/// What the fleet has this gateway hold.
pub struct Held {
    pub mark: u64,
    pub number: u64,
    pub document: ironstair_config_change::Document,
}
