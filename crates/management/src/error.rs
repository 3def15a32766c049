//! Errors of the manager.

use crate::journal::MAX_FILE_BYTES;
use ironstair_config_change::journal::EncodeError;
use ironstair_config_change::{Refusal, Violation};
use ironstair_data_tree::schema::{SchemaError, ValidationError};
use std::io;
use std::path::PathBuf;

/// Why a change was rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refused {
    /// Paths or values are invalid. Each sentence names a path and the reason.
    #[error("{}", .0.join("; "))]
    Invalid(Vec<String>),
    /// The revision tracker refused the change, since it does not fit the state of the revisions or can't be persisted.
    #[error(transparent)]
    Tracker(Refusal),
    /// The fleet rejected the change, or the scope of the change does not fit this gateway.
    #[error("{0}")]
    Fleet(String),
    /// The gateway is shutting down.
    #[error("the gateway is shutting down")]
    ShuttingDown,
}

/// Why this gateway can't apply a policy of the fleet.
#[derive(Debug, thiserror::Error)]
pub enum PolicyError {
    /// The policy has a form that this version does not support.
    #[error("this version can't read the policy: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The policy does not fit the settings tree.
    #[error("{0}")]
    Tree(ValidationError),
    /// The policy violates rules, or the running settings can't be changed to it.
    #[error("{}", join(.0))]
    Violations(Vec<Violation>),
    /// The dispatcher did not apply the settings in time.
    #[error("the gateway did not apply the policy in time")]
    NotAppliedYet,
    /// The gateway is shutting down.
    #[error("the gateway is shutting down")]
    ShuttingDown,
}

/// Why management can't start.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The built-in YANG module can't be read.
    #[error("{0}")]
    Schema(#[from] SchemaError),
    /// The configured settings do not fit the settings tree.
    #[error("the configured settings do not fit the settings tree: {0}")]
    Tree(ValidationError),
    /// The configured settings violate rules.
    #[error("the configured settings are invalid: {}", join(.0))]
    Violations(Vec<Violation>),
    /// The state folder or the journal in it can't be used.
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// Why the journal can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// An operation on a file or folder failed.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error.
        source: io::Error,
    },
    /// The file is larger than a journal can be.
    #[error(
        "{}: the file of {bytes} bytes exceeds the limit of {MAX_FILE_BYTES} bytes for a revision journal",
        path.display()
    )]
    TooLong {
        /// The file.
        path: PathBuf,
        /// Its size.
        bytes: u64,
    },
    /// A record can't be encoded.
    #[error("a record of the revision journal can't be encoded: {0}")]
    Encode(#[from] EncodeError),
    /// The journal must be rewritten first.
    #[error("{}: the revision journal is not open", path.display())]
    NotOpen {
        /// The file.
        path: PathBuf,
    },
}

fn join(violations: &[Violation]) -> String {
    let sentences: Vec<String> = violations.iter().map(Violation::to_string).collect();
    sentences.join("; ")
}
