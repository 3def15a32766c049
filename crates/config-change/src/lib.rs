//! Changes of a gateway's settings, decided without input, output, clock or thread.
//!
//! [`document`] is the settings document, [`plan`] says what a change of it does and when, or why it can't be,
//! [`revisions`] which document runs, and [`journal`] how revisions outlive the process.

pub mod document;
pub mod journal;
pub mod plan;
pub mod renewal;
pub mod revisions;
mod stricter;

pub use document::{
    Cell, Cells, Class, Cold, Decimal, Document, EnginePin, Fault, Frame, Log, RetryBudget,
    TenantPin,
};
