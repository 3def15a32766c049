//! Simulates fault scenarios (called "days" in files and reports) for hundreds of gateways in virtual time. The
//! gateways run the production code of the policy and of the fleet's leader and members. Engines, name service, clients
//! and network are models that follow `docs/design`, with constants of their own. The same scenario and seed always
//! give the same metrics.
//!
//! [`day`] defines the scenario file, [`world`] runs a scenario, [`clients`], [`engine`] and [`fleet`] are the models,
//! [`figures`] holds the metrics of a run, and [`report`] writes tables and charts of them.

pub mod clients;
mod clock;
pub mod day;
pub mod engine;
mod event;
pub mod figures;
pub mod fleet;
mod gateway;
mod network;
pub mod report;
pub mod world;

pub use day::{Scenario, ScenarioError};
pub use figures::RunMetrics;
