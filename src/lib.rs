//! Keeps short and long queries apart on shared engines.
//!
//! [`policy`] makes every decision and performs no input or output. A host (the gateway on sockets,
//! the adapter to a simulator, the simulation) maps ids to indices with [`interner`], calls the
//! policy on each event, and carries out the [`Actions`] that the policy requests. The other types
//! of this package are exchanged between the two.

mod actions;
mod config;
mod endpoint;
pub mod interner;
pub mod policy;
pub mod random;
mod request;
mod state;
mod stats;

pub use actions::Actions;
pub use config::{
    ClassPolicy, DedupScope, Effect, LoadMetric, MachineType, PolicyConfig, RetryBudget,
};
pub use endpoint::{Endpoint, EndpointState};
pub use request::{Cost, Outcome, Request};

/// Milliseconds, with fractions. As a point in time, milliseconds of the host's monotonic clock.
pub type Millis = f64;
