//! What a gateway persists for its next process ([`Snapshot`]), what that process may use of it ([`recover()`]), and how
//! far it has come back ([`stage()`]): without I/O, clock or thread. What is guaranteed is said in
//! `docs/design/recovery.md`.

#![warn(missing_docs, clippy::too_many_lines, clippy::missing_errors_doc)]

mod recover;
mod snapshot;
mod stage;

pub use recover::{recover, RecoveredList, Recovery, MAX_LIST_AGE};
pub use snapshot::{decode, encode, DecodeError, EncodeError, Engine, Snapshot, MAX_BYTES};
pub use stage::{stage, Facts, Stage};
