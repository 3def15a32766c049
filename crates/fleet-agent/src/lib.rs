//! The fleet's actor, on management's thread: the one owner of the links to other gateways and of a voter's disk.
//! It hands heartbeats, messages, asks and the ends of writes to the decisions (`ironstair-coordination`, `ironstair-raft-replica`)
//! and carries out what they want; it decides nothing itself but whom to speak to next.
//!
//! [`config`] is what it is told at start, [`way`] a link to one voter, [`serve`] the listener, [`actor`] the
//! owner, [`shown`] what operators see, [`variant`] what
//! tests take out.

pub mod actor;
pub mod config;
pub mod fault_injection;
mod leader_search;
pub mod message;
mod outcome;
pub mod peer;
pub mod prepared;
pub mod server;
pub mod status;

pub use actor::Actor;
pub use config::FleetConfig;
pub use message::Leave;
pub use prepared::PreparedAgent;

/// The messages and the service, from `proto/`.
pub mod proto {
    #![allow(clippy::all, missing_docs)]
    tonic::include_proto!("ironstair.fleet");
}

/// How bodies are written.
pub const FORMAT_VERSION: u32 = 1;
