//! Tests of single mechanisms of the policy: each passes events to a gateway and asserts its actions.

#[path = "../common/mod.rs"]
mod common;

mod cells;
mod cold_engines;
mod config_changes;
mod ejection;
mod engine_order;
mod fairness;
mod load_reports;
mod pressure;
mod rejection;
mod support;
mod withdrawal;
