//! The state that a gateway persists for its next process ([`Snapshot`]), the rules by which that process uses it
//! ([`recover()`]), and the stage of a gateway's recovery ([`stage()`]). The package has no I/O, clock or thread.
//! `docs/design/recovery.md` states the guarantees.

mod recover;
mod snapshot;
mod stage;

pub use recover::{recover, RecoveredList, Recovery, MAX_LIST_AGE};
pub use snapshot::{decode, encode, DecodeError, EncodeError, Engine, Snapshot, MAX_BYTES};
pub use stage::{stage, Stage, StageInputs};
