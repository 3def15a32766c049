//! Requests to the manager.

use crate::error::{PolicyError, Refused};
use crate::fleet_channel::Responder;
use crate::tree::Tree;
use ironstair_config_change::{Command, Confirmation, Document};
use ironstair_data_tree::Edit;
use serde_json::Value as Json;
use std::sync::Arc;
use tokio::sync::oneshot;

/// The gateways that a request concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The settings of this gateway, which is in no fleet.
    Gateway,
    /// The settings of all gateways of the fleet.
    Fleet,
}

/// A change of the settings.
#[derive(Clone, Debug)]
pub struct Change {
    /// The operations on the tree.
    pub edits: Vec<Edit>,
    /// The author.
    pub author: String,
    /// A summary of the change for operators.
    pub summary: String,
    /// How the change must be confirmed; `None` for a permanent change.
    pub confirmation: Option<Confirmation>,
    /// The gateways whose settings change.
    pub scope: Scope,
}

/// A policy of the fleet that this gateway should apply.
pub(crate) struct FleetPolicy {
    /// The applied index of the fleet's log after the policy.
    pub applied_index: u64,
    /// The revision's number.
    pub number: u64,
    /// The settings document.
    pub document: Json,
}

/// A request of a handle, with the channel for its answer.
pub(crate) enum Request {
    ReadTree(oneshot::Sender<Arc<Tree>>),
    Change(Box<Change>, Responder),
    Command {
        command: Box<Command<Document>>,
        author: String,
        scope: Scope,
        answer: Responder,
    },
    Bootstrap {
        is_disaster_recovery: bool,
        author: String,
        answer: Responder,
    },
    FleetState(oneshot::Sender<Result<Json, Refused>>),
    Validate(Json, oneshot::Sender<Result<(), PolicyError>>),
    Apply(FleetPolicy, oneshot::Sender<Result<(), PolicyError>>),
}
