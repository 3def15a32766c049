//! The rig for failures: processes of the built gateway on loopback with stub engines, a name service and
//! clients, links between them that can be cut, slowed and reset, and an oracle that counts what became of each
//! request and what each gateway decided by. For tests and tools; nothing of it is in the gateway.

pub mod cluster;
pub mod invariants;
pub mod link;
pub mod schedule;
pub mod stub;
