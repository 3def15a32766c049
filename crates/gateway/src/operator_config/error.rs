//! Errors in the operator file.

use ironstair_config_change::Violation;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the operator file cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OperatorError {
    /// The file cannot be read.
    #[error("cannot read operator file {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The contents of the file are invalid.
    #[error("invalid operator file {}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The invalid field and the reason.
        source: Box<OperatorFieldError>,
    },
}

/// Why the contents of the operator file are invalid; the message begins with the path of the field.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OperatorFieldError {
    /// The file is not valid JSON, or a field is unknown, missing or of the wrong type.
    #[error("{}: {}", field_name(.0), .0.inner())]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The JSON object is followed by more text.
    #[error("text after the JSON object: {0}")]
    TrailingText(#[source] serde_json::Error),
    /// The share of a cell is negative or not finite.
    #[error("cells.names.{cell}: {share} is not a finite number of at least 0")]
    CellShare {
        /// The name of the cell.
        cell: String,
        /// The configured share.
        share: f64,
    },
    /// The share of requests that may use other cells is out of range.
    #[error("cells.without.lend: {0} is not between 0 and 1")]
    LentShare(f64),
    /// A name, a pin or the shard of the cells is invalid.
    #[error("cells: {0}")]
    Cells(#[source] Violation),
    /// A fleet is configured without management.
    #[error("fleet: requires the section management, which is missing")]
    FleetWithoutManagement,
    /// A folder for revisions is configured in a fleet, whose voters persist the revisions.
    #[error(
        "management.state: not allowed with the section fleet, whose voters (fleet.keepers) store the revisions"
    )]
    StateInFleet,
    /// Management without TLS would be reachable from other machines.
    #[error("management.listen: {0} is not a loopback address, which is required without management.tls")]
    ListenWithoutTls(SocketAddr),
    /// TLS is configured, but no client has a role.
    #[error("management.tls: change and read are both empty, at least one must name a client")]
    NoRoles,
    /// The maximum number of subscriptions is out of range.
    #[error("management.streams: {0} is not between 1 and 10000")]
    Streams(usize),
}

/// The path of the field; the error library writes that of the root as a dot.
fn field_name(error: &serde_path_to_error::Error<serde_json::Error>) -> String {
    match error.path().to_string().as_str() {
        "." => "top level".into(),
        path => path.into(),
    }
}
