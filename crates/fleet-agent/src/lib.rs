//! The fleet's actor, on management's thread: the one owner of the links to other gateways and of a keeper's disk.
//! It hands beats, messages, asks and the ends of writes to the decisions (`ironstair-coordination`, `ironstair-raft-replica`)
//! and carries out what they want; it decides nothing itself but whom to speak to next.
//!
//! [`charter`] is what it is told at start, [`way`] a link to one keeper, [`serve`] the listener, [`actor`] the
//! owner, [`shown`] what operators see, [`variant`] what
//! tests take out.

pub mod actor;
pub mod charter;
pub mod serve;
pub mod shown;
pub mod variant;
pub mod way;

pub use actor::{Actor, Leave, Opened};
pub use charter::Charter;

/// The messages and the service, from `proto/`.
pub mod proto {
    #![allow(clippy::all, missing_docs)]
    tonic::include_proto!("ironstair.fleet");
}

/// How bodies are written.
pub const FORM: u32 = 1;
