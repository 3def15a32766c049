//! Tests of the guarantees in `docs/design/recovery.md`, with gateway processes that are killed, paused or lose what
//! they stored.
//!
//! A test whose name begins with `control` disables the guard behind a guarantee and asserts that the failure then
//! occurs.

mod disaster_recovery;
mod membership_count;
mod restarts;
mod snapshot_folder;
