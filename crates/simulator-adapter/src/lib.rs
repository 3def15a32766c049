//! Runs the policy behind the simulator's binary protocol. Input frames become events for the policy, and its actions
//! become reply frames.
//!
//! The package makes no decisions. [`serve`] reads batches of records and passes them to the simulated gateways.

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
