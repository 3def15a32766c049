//! A voting replica of a fleet's replicated log. The `raft` library implements consensus; this package drives it without
//! I/O, clock or thread. Its inputs are messages, heartbeats, commands and completed writes; its outputs are messages,
//! responses and writes.
//!
//! A replica's disk and its voter id belong together: a replica that starts without its disk draws a new id, and votes
//! only once the others have admitted it under that id. Therefore a replica that lost its disk never votes twice in a
//! term.

mod error;
mod image;
mod log_store;
mod replica;
mod state;

pub use error::ReplicaError;
pub use image::{Image, Save};
pub use replica::{Output, Replica, TICK};
pub use state::State;
