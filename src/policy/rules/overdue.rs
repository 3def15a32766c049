//! Rule: count overdue attempts as failures of their engines, and repeat attempts whose answer was
//! lost.

use crate::policy::engine_health::LOST_ANSWER_FACTOR;
use crate::policy::Gateway;
use crate::state::ProgressMark;
use crate::{Actions, Millis};

/// An attempt in flight that missed its latency objective, whose answer counts as lost, or both.
struct OverdueAttempt {
    engine: usize,
    class_index: usize,
    /// The attempt's number, counted from 0.
    number: u8,
    /// Thread time since the engine's pace was last updated from it, in ms.
    thread_time: Millis,
    /// Whether it has taken longer than the latency objective.
    missed_objective: bool,
    /// Whether an attempt of the same class, sent to the same engine in the second half of this
    /// attempt's time, was answered on time.
    was_overtaken: bool,
    /// Whether its answer is assumed lost and another attempt is allowed.
    should_repeat: bool,
}

impl Gateway {
    /// Handles two failures. An engine that accepts work and never answers produces no outcomes,
    /// so an attempt that exceeds its latency objective counts as a failure. And an answer may get
    /// lost on the way: an attempt that was overtaken, and has taken `LOST_ANSWER_FACTOR` (five)
    /// times as long as usual, is withdrawn and repeated.
    ///
    /// Reads all attempts in flight; updates the outcomes and the pace of their engines. Each
    /// attempt counts once.
    pub(in crate::policy) fn handle_overdue_attempts(&mut self, actions: &mut dyn Actions) -> bool {
        for position in 0..self.in_flight.len() {
            let index = self.in_flight[position];
            if let Some(overdue) = self.overdue_attempt(index) {
                self.record_overdue_attempt(index, &overdue);
                if overdue.should_repeat {
                    actions.withdraw_attempt(index, overdue.number);
                }
            }
        }
        false
    }

    /// The request's attempt in flight, if it has just missed its objective or its answer is to be
    /// treated as lost.
    fn overdue_attempt(&self, index: usize) -> Option<OverdueAttempt> {
        let pending = &self.requests[index];
        let attempt = pending
            .in_flight_attempt
            .filter(|attempt| !attempt.is_overdue)?;
        let class_index = pending.request.class;
        let elapsed = self.now - attempt.sent_at;
        // An attempt has overtaken this one if it was sent in the second half of this one's time.
        let latest_on_time = self.engines[attempt.engine].latest_on_time_sent_at[class_index];
        let was_overtaken = latest_on_time > (attempt.sent_at + self.now) / 2.0;
        let service_time = self.service_time(class_index, pending.request.cells, pending.work);
        let is_lost = was_overtaken && elapsed > LOST_ANSWER_FACTOR * service_time;
        let should_repeat = is_lost && self.may_repeat_now(pending);
        let objective = pending.class_policy.latency_objective(pending.work);
        let missed_objective = elapsed > objective;
        if !should_repeat && !missed_objective {
            return None;
        }
        Some(OverdueAttempt {
            engine: attempt.engine,
            class_index,
            number: pending.attempts - 1,
            thread_time: (self.now - attempt.progress.at)
                * self.config.classes[class_index].threads,
            missed_objective,
            was_overtaken,
            should_repeat,
        })
    }

    /// Marks the attempt as overdue, and updates the outcomes and the pace of its engine.
    fn record_overdue_attempt(&mut self, index: usize, overdue: &OverdueAttempt) {
        let now = self.now;
        if let Some(attempt) = &mut self.requests[index].in_flight_attempt {
            attempt.is_overdue = true;
            attempt.progress = ProgressMark {
                at: now,
                ..attempt.progress
            };
        }
        if overdue.missed_objective {
            self.engines[overdue.engine].record_outcome(now, false);
        }
        // Later attempts were answered on time, so the answer was lost: its delay says nothing
        // about the engine's pace.
        let thread_time = if overdue.was_overtaken {
            0.0
        } else {
            overdue.thread_time
        };
        self.learn_pace(overdue.engine, overdue.class_index, thread_time, 0.0);
    }
}
