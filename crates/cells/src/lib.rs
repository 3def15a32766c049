//! Cells are disjoint groups of engines. A tenant's requests run only in the tenant's cells, so that a fault in one
//! cell affects only its tenants. This crate assigns engines and tenants to cells, tracks tenants that migrate under
//! traffic, detects degraded cells, and places requests whose cells have no ready engine.
//!
//! All decisions are pure functions of their inputs: the crate performs no I/O, reads no clock and starts no thread.
//! See `docs/design/cells.md`.

pub mod assignment;
pub mod cell_health;
mod cells;
pub mod directory;
pub mod migration;
pub mod overflow;
pub mod release;

pub use assignment::{Assignment, AssignmentError, CellWeight};
pub use cells::{Cells, MAX_CELLS};
pub use directory::CellDirectory;
pub use overflow::{NoCapacityPolicy, Placement};
