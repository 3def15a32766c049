//! A voting replica of a fleet's replicated log. Agreement is the `raft` library's; this package drives it without I/O,
//! clock or thread: messages, heartbeats, commands and completed writes come in, messages, responses and writes go out.
//!
//! A replica's disk and its voter id belong together: a replica that starts without its disk draws another id, and
//! votes only once the others have let it in under that. So a replica that lost its disk never votes twice in a term.

#![warn(missing_docs, clippy::too_many_lines, clippy::missing_errors_doc)]

mod error;
mod image;
mod log_store;
mod replica;
mod state;

pub use error::ReplicaError;
pub use image::{Image, Save};
pub use replica::{Output, Replica, TICK};
pub use state::State;
