//! The rules for changes of a gateway's settings, without I/O, clock or thread.
//!
//! [`Document`] is the settings document. [`plan()`] determines the effects of a change, or the reasons why it is not
//! possible. [`RevisionTracker`] determines which document is running, and [`journal`] encodes revisions for the disk.
//! [`RunningConfig`] handles a replaced configuration file.

mod command;
mod decimal;
mod document;
mod intersection;
pub mod journal;
mod origin;
mod plan;
mod record;
mod registry;
mod replay;
mod revision;
mod running_config;
mod tracker;

pub use command::{
    confirm_within, Action, Command, ConfirmWithinError, Confirmation, Input, Refusal, WriteError,
};
pub use decimal::Decimal;
pub use document::{
    Cell, Cells, Class, DeduplicationScope, Document, EnginePin, Level, Log, NameIndex,
    RepeatSafety, RetryBudget, SlowStart, TenantPin, Violation,
};
pub use origin::Origin;
pub use plan::{plan, FieldChange, Plan, TakesEffect};
pub use record::{PersistedState, Record};
pub use registry::{ClassRegistry, ClassSlot, MAX_CLASSES};
pub use replay::StartOutcome;
pub use revision::{RevisionState, RevisionSummary, MAX_REVISIONS};
pub use running_config::{ConfigFile, ReloadError, RunningConfig};
pub use tracker::RevisionTracker;
