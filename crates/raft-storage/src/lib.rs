//! A replica's disk: a file to which each write of the log is appended and synced before anything depends on it, and
//! which is now and then rewritten as a whole ([`storage`]). `format.rs` has the form of its records.

#![warn(missing_docs, clippy::too_many_lines, clippy::missing_errors_doc)]

pub mod error;
mod format;
pub mod storage;

pub use error::StorageError;
pub use storage::{Opened, Storage};
