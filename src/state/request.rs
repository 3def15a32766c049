//! The state of one request and of its attempt in flight.

use crate::random::{mix, to_unit_interval};
use crate::{ClassPolicy, Millis, Request};
use std::sync::Arc;

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Default)]
pub(crate) struct Attempt {
    pub(crate) engine: usize,
    pub(crate) sent_at: Millis,
    /// Up to which point the engine's pace has been learned from this attempt.
    pub(crate) progress: ProgressMark,
    /// Whether the attempt has counted as overdue or lost; it does so once.
    pub(crate) is_overdue: bool,
}

/// How far an attempt was at a time.
#[derive(Clone, Copy, Default)]
pub(crate) struct ProgressMark {
    pub(crate) at: Millis,
    /// The share that was done, from 0 to 1.
    pub(crate) share: f64,
}

/// An attempt that runs, or may have run before it ended.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub(crate) engine: usize,
    pub(crate) sent_at: Millis,
}

/// A request from its arrival until its index is free again.
#[derive(Default)]
pub(crate) struct PendingRequest {
    /// As its client sent it.
    pub(crate) request: Request,
    /// Its work in ms on a thread: estimated, and as reported once that is known.
    pub(crate) work: Millis,
    /// Whether its client still waits for an answer.
    pub(crate) is_open: bool,
    /// When its latency objective is missed.
    pub(crate) objective: Millis,
    /// When its client gives up.
    pub(crate) deadline: Millis,
    /// Attempts that were started.
    pub(crate) attempts: u8,
    /// The settings of its class on arrival.
    pub(crate) class_policy: Arc<ClassPolicy>,
    /// The most attempts, as of its arrival.
    pub(crate) max_attempts: u8,
    pub(crate) in_flight_attempt: Option<Attempt>,
    /// All attempts but those that certainly never ran.
    pub(crate) possible_runs: Vec<PossibleRun>,
    /// Engines of its ended attempts.
    pub(crate) tried_engines: Vec<usize>,
    /// Drawn on arrival; all its random choices derive from it.
    pub(crate) draw_seed: u64,
}

impl PendingRequest {
    /// A number in [0, 1) drawn for this request and `subject`. The same question always has the
    /// same answer, so that a request that repeats a question does not get a second chance.
    pub(crate) fn draw_for(&self, subject: u64) -> f64 {
        to_unit_interval(mix(self.draw_seed ^ subject))
    }
}
