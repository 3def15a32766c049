//! The rig for failures: processes of the built gateway on loopback with stand-in engines, a name service and
//! clients, links between them that can be cut, slowed and reset, and an oracle that counts what became of each
//! request and what each gateway decided by. For tests and tools; nothing of it is in the gateway.

pub mod link;
pub mod oracle;
pub mod rig;
pub mod schedule;
pub mod stand;
