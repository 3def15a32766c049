//! Test cluster: real gateway processes on loopback with stub engines, a stub name service and stub clients. Links
//! between gateways can be cut, delayed and reset. An invariant checker verifies every request and attempt of a run
//! against the guarantees of the design. Only tests and benchmarks use this crate, never the gateway itself.

pub mod cluster;
pub mod environment;
pub mod invariants;
pub mod link;
pub mod schedule;
pub mod stub;
