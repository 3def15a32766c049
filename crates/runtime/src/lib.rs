//! The messages that the gateway's actors exchange, and the state that all of them share.
//!
//! Front ends and management depend on no other part of the gateway: they send a [`DispatcherMessage`] to the
//! dispatcher and receive a [`Reply`].

mod attempt;
pub mod clock;
mod hash;
mod messages;
pub mod pool;
pub mod receive_memory;
mod shared;
pub mod state_watch;
mod statement;
mod used_connections;
pub mod wait;

pub use attempt::Attempt;
pub use hash::fnv1a_64;
pub use messages::{
    DiscoveredEndpoint, DispatcherMessage, EngineMessage, NewRequest, Reply, RequestId,
};
pub use shared::{Metrics, Shared};
pub use statement::{Statement, StatementMemory};
pub use used_connections::{ConnectionNumbers, UsedConnections};
