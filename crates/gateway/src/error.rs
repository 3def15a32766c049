//! Errors at the start of the gateway.

use crate::config::ConfigError;
use crate::management::ManagementError;
use crate::operator_config::{OperatorError, OperatorFieldError};
use std::io;
use std::net::SocketAddr;

/// Why the gateway cannot start, or one of its files cannot be used; `Display` is the message for the user.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// The configuration file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator file cannot be used.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// A section of the operator file is invalid.
    #[error(transparent)]
    Section(#[from] OperatorFieldError),
    /// Management cannot start.
    #[error(transparent)]
    Management(#[from] ManagementError),
    /// The signal handlers cannot be registered.
    #[error("cannot register signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The address for clients cannot be bound.
    #[error("cannot listen for clients on {address} (listen): {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The dispatcher's queue, which is new and empty, does not accept the endpoint list.
    #[error("cannot queue the endpoint list for the dispatcher")]
    DispatcherQueue,
}
