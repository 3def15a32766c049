//! Events: a request arrives, its client cancels it or closes the connection, its cells change.

use crate::policy::pace::{MIN_WORK, PRIOR_WEIGHT, WORK_HALF_LIFE};
use crate::policy::Gateway;
use crate::state::PendingRequest;
use crate::{Actions, Millis, Request};
use std::sync::Arc;

/// A class whose attempts in flight use more threads than this is active.
const ACTIVE_THREADS: f64 = 0.5;
/// While neither the client nor the class has an estimate of a request's work, the work is assumed
/// to fill the class's base objective divided by this.
const UNKNOWN_WORK_DIVISOR: f64 = 4.0;
/// By what share of the difference the typical time remaining rises when a request arrives with
/// more.
const TYPICAL_TIME_RISE: f64 = 0.1;
/// By what share of the latency objective the typical time remaining falls with every other
/// request.
const TYPICAL_TIME_FALL: f64 = 0.01;
/// The number of table groups whose work and engine order are remembered. One more clears all of
/// them, which bounds the memory.
const MAX_TABLE_GROUPS: usize = 256;
/// Probe tokens that each request adds, and the most that accumulate. Tokens limit the probes,
/// because each probe costs the engines work.
const PROBE_TOKENS_PER_REQUEST: f64 = 0.7;
const MAX_PROBE_TOKENS: f64 = 10.0;

impl Gateway {
    /// A request arrives. `index` is not in use, and belongs to the request until the policy calls
    /// [`Actions::forget`].
    pub fn on_request(
        &mut self,
        now: Millis,
        index: usize,
        request: Request,
        actions: &mut dyn Actions,
    ) {
        self.now = now;
        self.advance_idle_class(request.class);
        let work = self.learn_estimate(&request);
        let time = self.config.classes[request.class].latency_objective(work);
        let objective = now + time - self.time_spent_earlier(&request, time);
        self.store_request(index, request, work, objective);
        self.join_key_queue(index);
        self.record_table_group(request.table_group, work);
        self.record_arrival();
        self.probe_tokens = (self.probe_tokens + PROBE_TOKENS_PER_REQUEST).min(MAX_PROBE_TOKENS);
        if self.config.classes[request.class].out_of_service {
            self.reject_or_fail(index, self.config.max_retry_after, actions);
        }
        self.on_timer(now, actions);
    }

    /// The client cancels the request.
    pub fn on_cancel(&mut self, now: Millis, index: usize, actions: &mut dyn Actions) {
        self.close(index, actions);
        self.on_timer(now, actions);
    }

    /// The client has closed the connection, or only its sending half (the two look the same until
    /// the host writes). The attempt in flight may still be answered; no new attempt starts.
    pub fn on_client_closed(&mut self, now: Millis, index: usize, actions: &mut dyn Actions) {
        let pending = &mut self.requests[index];
        pending.max_attempts = pending.attempts;
        self.on_timer(now, actions);
    }

    /// From its next attempt on, the request goes to engines of these cells only (a bit each; 0 for
    /// all cells).
    pub fn restrict_to_cells(&mut self, index: usize, cells: u64) {
        if let Some(pending) = self.requests.get_mut(index) {
            pending.request.cells = cells;
        }
    }

    /// Raises the charge of an idle class that becomes active to that of the active class with the
    /// least charged work. Prevents a class from accumulating a claim to the engines while it is
    /// idle.
    fn advance_idle_class(&mut self, class_index: usize) {
        if self.is_active(class_index) {
            return;
        }
        let least_charged = (0..self.classes.len())
            .filter(|&other| self.is_active(other))
            .map(|other| self.charged_work(other))
            .reduce(f64::min);
        if let Some(least_charged) = least_charged {
            let class = &mut self.classes[class_index];
            class.charged = least_charged.max(class.charged);
        }
    }

    /// Whether the class has queued requests or attempts in flight.
    fn is_active(&self, class_index: usize) -> bool {
        let class = &self.classes[class_index];
        !class.queue.is_empty() || class.running.threads() > ACTIVE_THREADS
    }

    /// The request's work in ms on a thread: its client's estimate, corrected, or the typical work
    /// of its class. Adds the corrected estimate to the class's typical work.
    fn learn_estimate(&mut self, request: &Request) -> Millis {
        let policy = &self.config.classes[request.class];
        let class = &mut self.classes[request.class];
        let estimate = request.work.map(|estimate| {
            // The logarithm of a log-normal distribution's mean lies half a variance above that of
            // its median.
            let estimator = &class.work_estimator;
            estimator.corrected(estimate, PRIOR_WEIGHT, |deviation| {
                deviation * deviation / 2.0
            })
        });
        if let Some(work) = estimate {
            class.work.add(self.now, WORK_HALF_LIFE, work, 1.0);
        }
        estimate
            .or(class.work.mean())
            .unwrap_or(policy.base_objective * policy.threads / UNKNOWN_WORK_DIVISOR)
            .max(MIN_WORK)
    }

    /// How much time the client has probably spent on earlier tries, in ms: by how much the
    /// request's time remaining is below the typical one of its class. `objective` is its latency
    /// objective.
    fn time_spent_earlier(&mut self, request: &Request, objective: Millis) -> Millis {
        self.update_typical_time_remaining(request, objective);
        // Where clients do not mark retries, a time remaining below the typical one indicates them.
        // But a time remaining below the latency objective is no such sign: it only means that the
        // client is impatient.
        let is_unmarked_retry =
            !self.config.retries_are_marked && request.time_remaining > objective;
        if !request.is_retry && !is_unmarked_retry {
            return 0.0;
        }
        let typical = self.classes[request.class].typical_time_remaining;
        (typical - request.time_remaining).max(0.0)
    }

    /// Tracks the time remaining of first tries. It rises quickly and falls slowly, because
    /// retries, and requests that waited in a gateway that made no progress, arrive with less time.
    fn update_typical_time_remaining(&mut self, request: &Request, objective: Millis) {
        let typical = &mut self.classes[request.class].typical_time_remaining;
        let change = if *typical == 0.0 {
            request.time_remaining
        } else if request.time_remaining > *typical {
            TYPICAL_TIME_RISE * (request.time_remaining - *typical)
        } else {
            -TYPICAL_TIME_FALL * objective
        };
        *typical += change;
    }

    /// Stores the request and appends it to its class's queue.
    fn store_request(&mut self, index: usize, request: Request, work: Millis, objective: Millis) {
        let class = &mut self.classes[request.class];
        class.queue.push(index);
        if self.requests.len() <= index {
            self.requests
                .resize_with(index + 1, PendingRequest::default);
        }
        self.requests[index] = PendingRequest {
            request,
            work,
            is_open: true,
            objective,
            deadline: self.now + request.time_remaining,
            class_policy: Arc::clone(&class.policy),
            max_attempts: self.config.max_attempts,
            draw_seed: self.random.draw(),
            ..Default::default()
        };
    }

    /// Appends the request to the queue of its key, if it has to keep the order of its key.
    fn join_key_queue(&mut self, index: usize) {
        if self.is_keyed(index) {
            let key = self.requests[index].request.key;
            let queue = self.key_queues.entry(key).or_default();
            queue.waiting.push_back(index);
        }
    }

    /// Adds the request's work to that of its table group, which determines how many home engines
    /// the group has.
    fn record_table_group(&mut self, table_group: u64, work: Millis) {
        let is_known = self.work_by_table_group.contains_key(&table_group);
        if !is_known && self.work_by_table_group.len() >= MAX_TABLE_GROUPS {
            self.work_by_table_group = Default::default();
            self.engine_order_by_table_group = Default::default();
        }
        let group = self.work_by_table_group.entry(table_group).or_default();
        group.add(self.now, WORK_HALF_LIFE, work, 0.0);
    }
}
