//! Runs the policy behind the simulator's binary protocol: frames in, events to the policy, its actions in frames out.
//!
//! The package decides nothing. [`serve`] reads batches of records and hands them to the simulated gateways.

mod action_writer;
mod error;
mod event;
mod frame;
mod host;
mod instance;
mod serve;
mod time;

pub use error::{AdapterError, RecordError};
pub use ironstair_settings::read_policy_config;
pub use serve::serve;
