//! The state of one class.

use crate::stats::{DecayingMean, Estimator};
use crate::{ClassPolicy, Millis};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is known of a class, and its queue.
pub(crate) struct ClassState {
    /// Its present settings.
    pub(crate) policy: Arc<ClassPolicy>,
    /// Indices of the requests that wait for an attempt, in order of arrival.
    pub(crate) queue: Vec<usize>,
    /// Thread time of ended attempts over the class's weight, in ms.
    pub(crate) charged: f64,
    pub(crate) running: RunningThreads,
    /// The work of a request, in ms on a thread.
    pub(crate) work: DecayingMean,
    /// Corrects the clients' estimates of work.
    pub(crate) work_estimator: Estimator,
    /// Corrects the clients' estimates of memory.
    pub(crate) memory_estimator: Estimator,
    /// Time on threads per work, by the cells of the engines that it was learned from.
    pub(crate) pooled_pace_by_cells: BTreeMap<u64, DecayingMean>,
    /// The lowest pace of an engine; infinite while none is known.
    pub(crate) best_pace: f64,
    pub(crate) best_pace_updated_at: Millis,
    /// The time remaining with which requests usually arrive; 0 before the first one.
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

/// Threads of attempts in flight, and since when they run.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunningThreads {
    threads: f64,
    /// The sum over attempts of threads times start, so that the time used until now is one
    /// subtraction.
    threads_times_start: f64,
}

impl RunningThreads {
    /// An attempt starts.
    pub(crate) fn start(&mut self, threads: f64, started_at: Millis) {
        self.threads += threads;
        self.threads_times_start += threads * started_at;
    }

    /// An attempt that started `at` has ended.
    pub(crate) fn end(&mut self, threads: f64, started_at: Millis) {
        self.threads -= threads;
        self.threads_times_start -= threads * started_at;
    }

    /// How many threads are in use.
    pub(crate) fn threads(&self) -> f64 {
        self.threads
    }

    /// The time that all of them have used until now, in ms on a thread.
    pub(crate) fn thread_time(&self, now: Millis) -> Millis {
        self.threads * now - self.threads_times_start
    }
}
