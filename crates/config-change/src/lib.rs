//! Changes of a gateway's settings, decided without input, output, clock or thread.
//!
//! [`document`] is the settings document, [`plan`] says what a change of it does and when, or why it can't be,
//! [`revisions`] which document runs, and [`journal`] how revisions outlive the process.

pub mod document;
mod intersection;
pub mod journal;
pub mod plan;
pub mod revisions;
pub mod running_config;

pub use document::{
    Cell, Cells, Class, Decimal, Document, EnginePin, Log, NameIndex, RetryBudget, SlowStart,
    TenantPin, Violation,
};
