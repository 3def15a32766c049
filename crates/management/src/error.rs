//! Errors of the manager.

use ironstair_config_change::journal::EncodeError;
use ironstair_config_change::{Refusal, Violation};
use ironstair_data_tree::schema::{SchemaError, ValidationError};
use std::io;
use std::path::PathBuf;

/// Why a change was rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refused {
    /// Paths or values are invalid: one sentence for each, which names the path.
    #[error("{}", .0.join("; "))]
    Invalid(Vec<String>),
    /// The change does not fit the current state of the revisions.
    #[error(transparent)]
    Tracker(Refusal),
    /// The fleet rejected the change, or the scope of the change does not fit this gateway.
    #[error("{0}")]
    Fleet(String),
    /// The gateway is about to end.
    #[error("the gateway is about to end")]
    ShuttingDown,
}

/// Why this gateway can't apply a policy of the fleet.
#[derive(Debug, thiserror::Error)]
pub enum PolicyError {
    /// The policy was written by another version.
    #[error("this version can't read it: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The policy does not fit the tree.
    #[error("{0}")]
    Tree(ValidationError),
    /// The policy must not follow the running settings.
    #[error("{}", join(.0))]
    Violations(Vec<Violation>),
    /// The dispatcher did not apply the settings in time.
    #[error("the gateway has not applied the previous settings yet")]
    NotAppliedYet,
    /// The gateway is about to end.
    #[error("the gateway is shutting down")]
    ShuttingDown,
}

/// Why management can't start.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The YANG module can't be read.
    #[error("{0}")]
    Schema(#[from] SchemaError),
    /// The configured settings do not fit the tree.
    #[error("the settings do not fit the tree: {0}")]
    Tree(ValidationError),
    /// The configured settings violate rules.
    #[error("the settings do not fit the tree: {}", join(.0))]
    Violations(Vec<Violation>),
    /// The state folder can't be used.
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// Why the journal can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The system reports an error.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error.
        source: io::Error,
    },
    /// The file is larger than a journal can be.
    #[error("{}: {bytes} bytes are no journal", path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
        /// Its size.
        bytes: u64,
    },
    /// A record can't be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// The journal needs a rewrite first.
    #[error("the journal is not open")]
    NotOpen,
}

fn join(violations: &[Violation]) -> String {
    let sentences: Vec<String> = violations.iter().map(Violation::to_string).collect();
    sentences.join("; ")
}
