//! The state of one class.

use crate::stats::{DecayingMean, Estimator};
use crate::{ClassPolicy, Millis};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The settings, statistics and queue of a class.
pub(crate) struct ClassState {
    /// Its current settings.
    pub(crate) policy: Arc<ClassPolicy>,
    /// Indices of the requests that wait for an attempt, in order of arrival; a request that is to
    /// be attempted again joins at the end.
    pub(crate) queue: Vec<usize>,
    /// Thread time of ended attempts, divided by the class's weight, in ms.
    pub(crate) charged: f64,
    pub(crate) running: RunningThreads,
    /// The work of a request, in ms on a thread.
    pub(crate) work: DecayingMean,
    /// Corrects the clients' estimates of work.
    pub(crate) work_estimator: Estimator,
    /// Corrects the clients' estimates of memory.
    pub(crate) memory_estimator: Estimator,
    /// Thread time per unit of work, by the cells of the engines from which it was learned.
    pub(crate) pooled_pace_by_cells: BTreeMap<u64, DecayingMean>,
    /// The lowest pace of an engine, which expires slowly; infinite while none is known.
    pub(crate) best_pace: f64,
    pub(crate) best_pace_updated_at: Millis,
    /// The time remaining with which requests typically arrive; 0 before the first one.
    pub(crate) typical_time_remaining: Millis,
}

impl Default for ClassState {
    fn default() -> Self {
        ClassState {
            policy: Arc::default(),
            queue: Vec::new(),
            charged: 0.0,
            running: RunningThreads::default(),
            work: DecayingMean::default(),
            work_estimator: Estimator::default(),
            memory_estimator: Estimator::default(),
            pooled_pace_by_cells: BTreeMap::new(),
            best_pace: f64::INFINITY,
            best_pace_updated_at: 0.0,
            typical_time_remaining: 0.0,
        }
    }
}

/// Threads of attempts in flight, and the time that they have used.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunningThreads {
    threads: f64,
    /// The sum over attempts of threads times start time, so that the time used until now takes one
    /// subtraction.
    threads_times_start: f64,
}

impl RunningThreads {
    /// An attempt starts at `started_at`.
    pub(crate) fn start(&mut self, threads: f64, started_at: Millis) {
        self.threads += threads;
        self.threads_times_start += threads * started_at;
    }

    /// An attempt that started at `started_at` has ended.
    pub(crate) fn end(&mut self, threads: f64, started_at: Millis) {
        self.threads -= threads;
        self.threads_times_start -= threads * started_at;
    }

    /// The number of threads in use.
    pub(crate) fn threads(&self) -> f64 {
        self.threads
    }

    /// The time that all of these threads have used until now, in ms on a thread.
    pub(crate) fn thread_time(&self, now: Millis) -> Millis {
        self.threads * now - self.threads_times_start
    }
}
