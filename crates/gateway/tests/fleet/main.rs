//! Tests of the guarantees in `docs/design/fleet.md`, with a fleet of gateway processes whose links, processes and
//! disks fail.
//!
//! A test whose name begins with `control` disables the guard behind a guarantee and asserts that the failure then
//! occurs. Without it, a test that can't detect the failure would pass as well.

mod changes;
mod disks;
mod foreign_gateways;
mod leader_loss;
mod leases;
mod majority_loss;
mod random_schedules;
mod refusals;
mod settings_sources;
mod support;
