//! Errors of the commands, and the exit code for each.

use ironstair_data_tree::path::PatternError;
use ironstair_data_tree::schema::SchemaError;
use std::io;
use std::path::PathBuf;
use tonic::codegen::http::uri::InvalidUri;
use tonic::{Code, Status};

/// The command succeeded, or the reader of its output closed the pipe.
const SUCCESS: u8 = 0;
/// Any error without a code of its own.
const FAILED: u8 = 1;
/// An argument is invalid.
const USAGE: u8 = 2;
/// The gateway rejected the request; nothing changed.
const REFUSED: u8 = 3;
/// No gateway responds at the address, or it is shutting down.
const UNREACHABLE: u8 = 4;
/// The data tree has nothing at the path.
const NOT_FOUND: u8 = 5;

/// Why a command failed; `Display` is the message for the user.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The argument is not a valid path.
    #[error("invalid path: {0}")]
    InvalidPath(#[source] PatternError),
    /// The argument `--at` is not a valid address.
    #[error("invalid address {address:?} in --at: {source}")]
    InvalidAddress {
        /// The address, as given.
        address: String,
        /// Why it is not valid.
        source: InvalidUri,
    },
    /// The file of a key or certificate cannot be read.
    #[error("cannot read TLS key or certificate {}: {source}", path.display())]
    ReadPem {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The keys and certificates are not PEM, or do not match.
    #[error("invalid TLS key or certificate in --ca, --cert or --key: {}", innermost(.0))]
    InvalidKeys(#[source] tonic::transport::Error),
    /// Connecting failed.
    #[error(
        "cannot connect to the management interface at {address}: {}",
        innermost(source)
    )]
    Unreachable {
        /// The gateway's address, as given.
        address: String,
        /// The transport's error.
        source: tonic::transport::Error,
    },
    /// The gateway responded with an error status.
    #[error("{}", .0.message())]
    Status(#[from] Status),
    /// The response contains no fleet state: the gateway may not be in a fleet.
    #[error("the gateway reported no fleet state")]
    NoFleetState,
    /// No change is waiting for confirmation.
    #[error("no change is waiting for confirmation")]
    NothingUnconfirmed,
    /// The built-in YANG module cannot be parsed.
    #[error("cannot parse the built-in YANG module: {0}")]
    Schema(#[source] SchemaError),
    /// The async runtime cannot be started.
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("cannot write to standard output: {0}")]
    Output(#[source] io::Error),
    /// The reader of standard output, such as `head`, closed the pipe. This counts as success: it has read what it
    /// needs.
    #[error("standard output is closed")]
    OutputClosed,
}

impl CommandError {
    /// The exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::InvalidPath(_)
            | CommandError::InvalidAddress { .. }
            | CommandError::ReadPem { .. }
            | CommandError::InvalidKeys(_) => USAGE,
            CommandError::Unreachable { .. } => UNREACHABLE,
            CommandError::Status(status) => exit_code_of_status(status.code()),
            CommandError::NothingUnconfirmed => REFUSED,
            CommandError::NoFleetState
            | CommandError::Schema(_)
            | CommandError::Runtime(_)
            | CommandError::Output(_) => FAILED,
            CommandError::OutputClosed => SUCCESS,
        }
    }

    /// Whether the gateway responded that it has nothing at the path.
    pub(super) fn is_not_found(&self) -> bool {
        matches!(self, CommandError::Status(status) if status.code() == Code::NotFound)
    }
}

fn exit_code_of_status(code: Code) -> u8 {
    match code {
        Code::Unavailable | Code::Cancelled | Code::DeadlineExceeded => UNREACHABLE,
        Code::NotFound => NOT_FOUND,
        Code::Unknown | Code::Internal => FAILED,
        _ => REFUSED,
    }
}

/// The message of the innermost cause; the errors around it only say that the transport failed.
fn innermost(error: &dyn std::error::Error) -> String {
    error.source().map_or_else(|| error.to_string(), innermost)
}

/// The result of a command.
pub(crate) type CommandResult = Result<(), CommandError>;
