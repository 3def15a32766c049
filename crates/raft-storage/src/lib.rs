//! The disk of a replica: a file to which each write of the log is appended, and synced before anything depends on it.
//! The file is rewritten when it has grown too large ([`storage`]). `format.rs` defines the format of its records.

pub mod error;
mod format;
pub mod storage;

pub use error::StorageError;
pub use storage::{Opened, Storage};
