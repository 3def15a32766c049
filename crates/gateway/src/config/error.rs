//! Errors in the gateway's configuration file.

use ironstair_settings::SettingsError;
use std::io;
use std::path::PathBuf;

/// Why the configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read configuration file {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The contents of the file are invalid.
    #[error("invalid configuration file {}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The invalid field and the reason.
        source: Box<DecodeError>,
    },
}

/// Why the contents of the configuration file are invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DecodeError {
    /// The file is not valid JSON.
    #[error("not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field outside `settings`, or a list of names in `settings`.
    #[error("{0}")]
    Field(#[from] SettingsError),
    /// A field of `settings`.
    #[error("settings: {0}")]
    Settings(#[source] SettingsError),
    /// A field is not an IP address with a port.
    #[error("{field}: {text:?} is not an IP address with a port")]
    Address {
        /// The name of the field.
        field: &'static str,
        /// The value of the field.
        text: String,
    },
    /// The seed is not a 64-bit number in hexadecimal digits.
    #[error("seed: {0:?} is not a 64-bit hexadecimal number")]
    Seed(String),
}
