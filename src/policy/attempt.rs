//! The start of an attempt.

use super::pace::PRIOR_WEIGHT;
use super::Gateway;
use crate::state::{Attempt, PossibleRun, ProgressMark, SentWork};
use crate::{Actions, Millis};

/// How many standard deviations a memory grant lies above the estimate. A query that spills to disk
/// costs more than some unused memory.
const GRANT_DEVIATIONS: f64 = 1.0;

impl Gateway {
    /// Sends an attempt of the request to the engine.
    pub(super) fn start_attempt(&mut self, index: usize, engine: usize, actions: &mut dyn Actions) {
        let pending = &self.requests[index];
        // A deduplicated request must start within the window of its earlier attempts, and every
        // request before its deadline and within the lease.
        let start_before = self
            .dedup_window_end(pending)
            .min(pending.deadline)
            .min(self.lease_until);
        let is_retry = pending.attempts > 0;
        self.record_start(index, engine);
        self.count_against_retry_budget(is_retry);
        self.occupy_engine(index, engine);
        if !is_retry {
            self.set_priority(index, actions);
        }
        actions.start_attempt(index, engine, start_before);
    }

    /// Records the attempt in flight in the request and in its class.
    fn record_start(&mut self, index: usize, engine: usize) {
        let now = self.now;
        let endpoint = self.engines[engine].endpoint;
        let pending = &mut self.requests[index];
        pending.attempts += 1;
        pending.possible_runs.push(PossibleRun {
            zone: endpoint.zone,
            dedup_domain: endpoint.dedup_domain,
            sent_at: now,
        });
        pending.in_flight_attempt = Some(Attempt {
            engine,
            sent_at: now,
            progress: ProgressMark {
                at: now,
                share: 0.0,
            },
            is_overdue: false,
        });
        self.in_flight.push(index);
        let class_index = pending.request.class;
        let class = &mut self.classes[class_index];
        class.queue.retain(|&queued| queued != index);
        let threads = self.config.classes[class_index].threads;
        class.running.start(threads, now);
    }

    /// Counts a retry, and drops retries older than the window of the retry budget.
    fn count_against_retry_budget(&mut self, is_retry: bool) {
        if is_retry {
            self.retries.push_back(self.now);
        }
        let window: Millis = self.config.retry_budget.map_or(0.0, |budget| budget.window);
        let window_start = self.now - window;
        self.retries.retain(|&at| at >= window_start);
    }

    /// Adds the attempt's threads and work to the engine. On an ejected engine the attempt is a
    /// recovery probe, and the next one is due an interval later.
    fn occupy_engine(&mut self, index: usize, engine: usize) {
        let class_index = self.class_of(index);
        let now = self.now;
        let work = self.typical_work(class_index);
        let window_start = now - self.config.overload_window;
        let engine = &mut self.engines[engine];
        engine.threads += self.config.classes[class_index].threads;
        engine
            .recently_sent
            .push_back(SentWork { sent_at: now, work });
        engine
            .recently_sent
            .retain(|sent| sent.sent_at >= window_start);
        engine.ejection = engine.ejection.map(|ejection| ejection.after_probe(now));
    }

    /// Sets priority and memory grant for all attempts of the request, if engines honor either.
    fn set_priority(&self, index: usize, actions: &mut dyn Actions) {
        if !self.config.honors_priorities && !self.config.honors_memory_grants {
            return;
        }
        let priority = self.priority(self.class_of(index));
        actions.set_priority(index, priority, self.memory_grant(index));
    }

    /// The memory grant in MB, at most a share of the smallest machine type's memory; 0 leaves it
    /// to the engine.
    fn memory_grant(&self, index: usize) -> f64 {
        let request = &self.requests[index].request;
        let memory = self
            .config
            .machine_types
            .iter()
            .map(|machine| machine.memory_mb);
        let smallest_memory = memory.fold(f64::INFINITY, f64::min);
        let grant = if self.config.honors_memory_grants && request.memory_mb > 0.0 {
            let estimator = &self.classes[request.class].memory_estimator;
            estimator.corrected(request.memory_mb, PRIOR_WEIGHT, |deviation| {
                GRANT_DEVIATIONS * deviation
            })
        } else {
            0.0
        };
        grant.min(smallest_memory * self.config.max_memory_grant)
    }
}
