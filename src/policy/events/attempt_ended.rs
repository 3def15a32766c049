//! Event: an attempt has ended.

use crate::policy::engine_health::SLOW_ANSWER_FACTOR;
use crate::policy::pace::{MIN_WORK, WORK_HALF_LIFE};
use crate::policy::Gateway;
use crate::state::Attempt;
use crate::{Actions, Cost, Millis, Outcome};

impl Outcome {
    /// Whether the attempt certainly never ran.
    fn never_ran(&self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Unsent
        )
    }

    /// Whether the engine may still be running the attempt.
    fn may_still_run(&self) -> bool {
        matches!(
            self,
            Outcome::TimedOut
                | Outcome::ConnectionLost
                | Outcome::ConnectionLostByPeerAttempt
                | Outcome::Withdrawn
        )
    }
}

impl Gateway {
    /// The request's attempt has ended. `is_final` means that the client has its answer or is gone;
    /// otherwise the request may be attempted again. An outcome for a request without an attempt in
    /// flight is ignored.
    pub fn on_attempt_ended(
        &mut self,
        now: Millis,
        index: usize,
        outcome: Outcome,
        is_final: bool,
        actions: &mut dyn Actions,
    ) {
        self.now = now;
        let pending = self.requests.get_mut(index);
        let Some(attempt) = pending.and_then(|pending| pending.in_flight_attempt.take()) else {
            return;
        };
        self.release_threads(index, &attempt);
        self.charge_thread_time(index, &attempt);
        self.record_attempt(index, &attempt, outcome);
        self.refund_unsent_retry(index, &attempt, outcome);
        self.quarantine_key(index, outcome);
        self.learn_cost(index, outcome);
        self.record_engine_outcome(index, &attempt, outcome);
        self.requeue_or_close(index, is_final, actions);
        self.on_timer(now, actions);
    }

    /// Removes the attempt's threads from those in use on its engine and by its class.
    fn release_threads(&mut self, index: usize, attempt: &Attempt) {
        let class_index = self.class_of(index);
        let threads = self.config.classes[class_index].threads;
        self.in_flight.retain(|&other| other != index);
        let running = &mut self.classes[class_index].running;
        running.end(threads, attempt.sent_at);
        self.engines[attempt.engine].threads -= threads;
    }

    /// Charges the class for the thread time of the attempt, regardless of its outcome.
    fn charge_thread_time(&mut self, index: usize, attempt: &Attempt) {
        let class_index = self.class_of(index);
        let elapsed = self.now - attempt.sent_at;
        let thread_time = self.config.classes[class_index].threads * elapsed;
        self.classes[class_index].charged += thread_time / self.weight(class_index);
        self.threads_per_attempt
            .add(self.now, WORK_HALF_LIFE, thread_time, elapsed);
    }

    /// Records the engine as tried, and drops the possible run if the attempt certainly never ran.
    fn record_attempt(&mut self, index: usize, attempt: &Attempt, outcome: Outcome) {
        let pending = &mut self.requests[index];
        pending.tried_engines.push(attempt.engine);
        if outcome.never_ran() {
            // The last entry belongs to this attempt. Earlier entries stay, even if they were sent
            // at the same time.
            pending.possible_runs.pop();
        }
    }

    /// Returns a retry that was never sent to the retry budget.
    fn refund_unsent_retry(&mut self, index: usize, attempt: &Attempt, outcome: Outcome) {
        let is_retry = self.requests[index].attempts > 1;
        if !is_retry || outcome != Outcome::Unsent {
            return;
        }
        let sent_at = attempt.sent_at;
        if let Some(position) = self.retries.iter().rposition(|&at| at == sent_at) {
            self.retries.remove(position);
        }
    }

    /// Quarantines the request's key if the engine may still be running this attempt. Other
    /// requests of the key wait until the quarantine ends.
    fn quarantine_key(&mut self, index: usize, outcome: Outcome) {
        if outcome.may_still_run() && self.is_keyed(index) {
            let key = self.requests[index].request.key;
            let queue = self.key_queues.entry(key).or_default();
            queue.quarantined_until = self.now + self.config.key_quarantine;
        }
    }

    /// Learns from the reported cost: corrects future estimates of the clients, or updates the
    /// class's typical work if the client gave no estimate.
    fn learn_cost(&mut self, index: usize, outcome: Outcome) {
        let Outcome::Completed(Some(Cost { work, memory_mb })) = outcome else {
            return;
        };
        let now = self.now;
        let pending = &mut self.requests[index];
        let class = &mut self.classes[pending.request.class];
        match pending.request.work {
            Some(estimate) => class
                .work_estimator
                .add(now, WORK_HALF_LIFE, estimate, work),
            None => class.work.add(now, WORK_HALF_LIFE, work, 1.0),
        }
        let memory_estimate = pending.request.memory_mb;
        class
            .memory_estimator
            .add(now, WORK_HALF_LIFE, memory_estimate, memory_mb);
        pending.work = work.max(MIN_WORK);
    }

    /// Updates the engine's health by the outcome. An attempt sent before the engine's last restart
    /// says nothing about the present process and is ignored.
    fn record_engine_outcome(&mut self, index: usize, attempt: &Attempt, outcome: Outcome) {
        let engine = &mut self.engines[attempt.engine];
        if attempt.sent_at < engine.endpoint.started_at {
            return;
        }
        match outcome {
            Outcome::Completed(_) => self.record_answer(index, attempt),
            Outcome::Rejected => {
                self.engines[attempt.engine].full_until = self.now + self.full_engine_backoff();
            }
            Outcome::EngineError | Outcome::ConnectFailed | Outcome::ConnectionLost => {
                engine.record_outcome(self.now, false);
            }
            Outcome::TimedOut
            | Outcome::ConnectionLostByPeerAttempt
            | Outcome::Withdrawn
            | Outcome::Unsent => {}
        }
    }

    /// Updates the engine's outcomes and pace by the time that an answer took. An answer counts as
    /// a success if it is not much slower than usual. Unless the engine is ejected, an answer
    /// within the objective counts as a success, too. An attempt that has counted as overdue is not
    /// counted again.
    fn record_answer(&mut self, index: usize, attempt: &Attempt) {
        let now = self.now;
        let pending = &self.requests[index];
        let class_index = pending.request.class;
        let service_time = self.service_time(class_index, pending.request.cells, pending.work);
        let is_in_time = now <= pending.objective;
        let is_fast = now - attempt.sent_at < SLOW_ANSWER_FACTOR * service_time;
        let work_done = pending.work * (1.0 - attempt.progress.share);

        let engine = &mut self.engines[attempt.engine];
        if !attempt.is_overdue {
            let latest = &mut engine.latest_on_time_sent_at[class_index];
            *latest = latest.max(attempt.sent_at);
            let is_success = is_fast || is_in_time && engine.ejection.is_none();
            engine.record_outcome(now, is_success);
        }
        let threads = self.config.classes[class_index].threads;
        let thread_time = (now - attempt.progress.at) * threads;
        self.learn_pace(attempt.engine, class_index, thread_time, work_done);
    }

    /// Closes the request if its client has the answer or is gone; otherwise queues it for another
    /// attempt.
    fn requeue_or_close(&mut self, index: usize, is_final: bool, actions: &mut dyn Actions) {
        if is_final || !self.requests[index].is_open {
            self.close(index, actions);
        } else {
            let class_index = self.class_of(index);
            self.classes[class_index].queue.push(index);
        }
    }
}
