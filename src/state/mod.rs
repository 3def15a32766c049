//! The state of engines, requests, classes and keys. These types make no decisions and contain no
//! tuned values.

mod class;
mod engine;
mod gateway;
mod key_queue;
mod request;

pub(crate) use class::ClassState;
pub use engine::LoadReport;
pub(crate) use engine::{Ejection, Engine, SentWork};
pub(crate) use gateway::ArrivalCount;
pub use gateway::Gateway;
pub(crate) use key_queue::KeyQueue;
pub(crate) use request::{Attempt, PendingRequest, PossibleRun, ProgressMark};
