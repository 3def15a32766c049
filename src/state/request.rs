//! The state of one request and of its attempt in flight.

use crate::random::{mix, to_unit_interval};
use crate::{ClassPolicy, Millis, Request};
use std::sync::Arc;

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Default)]
pub(crate) struct Attempt {
    pub(crate) engine: usize,
    pub(crate) sent_at: Millis,
    /// The progress up to which the engine's pace has been learned from this attempt.
    pub(crate) progress: ProgressMark,
    /// Whether the attempt has already been counted as overdue or lost; it counts only once.
    pub(crate) is_overdue: bool,
}

/// The progress of an attempt at a point in time.
#[derive(Clone, Copy, Default)]
pub(crate) struct ProgressMark {
    pub(crate) at: Millis,
    /// The share that was done, from 0 to 1.
    pub(crate) share: f64,
}

/// An attempt that is running, or may have run before it ended.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    /// The zone of its engine when it was sent. The engine's entry may since be that of another
    /// process, in another zone or deduplication domain.
    pub(crate) zone: u16,
    /// The deduplication domain of its engine when it was sent.
    pub(crate) dedup_domain: u16,
    pub(crate) sent_at: Millis,
}

/// A request from its arrival until its index is free again.
#[derive(Default)]
pub(crate) struct PendingRequest {
    /// As its client sent it.
    pub(crate) request: Request,
    /// Its work in ms on a thread: estimated until an engine reports it.
    pub(crate) work: Millis,
    /// Whether its client still waits for an answer.
    pub(crate) is_open: bool,
    /// The time after which its latency objective is missed.
    pub(crate) objective: Millis,
    /// The time at which its client gives up.
    pub(crate) deadline: Millis,
    /// The number of attempts started.
    pub(crate) attempts: u8,
    /// The settings of its class when it arrived.
    pub(crate) class_policy: Arc<ClassPolicy>,
    /// The most attempts by the settings when it arrived; lowered when its client closes the
    /// connection.
    pub(crate) max_attempts: u8,
    pub(crate) in_flight_attempt: Option<Attempt>,
    /// All attempts except those that certainly never ran.
    pub(crate) possible_runs: Vec<PossibleRun>,
    /// The engines of its ended attempts.
    pub(crate) tried_engines: Vec<usize>,
    /// A random value drawn on arrival, from which all its random choices derive.
    pub(crate) draw_seed: u64,
}

impl PendingRequest {
    /// A number in [0, 1) drawn for this request and `subject`. Repeated draws for the same subject
    /// return the same number, so that evaluating a rule again gives the request no second chance.
    pub(crate) fn draw_for(&self, subject: u64) -> f64 {
        to_unit_interval(mix(self.draw_seed ^ subject))
    }
}
