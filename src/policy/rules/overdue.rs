//! Rule: judge engines by attempts that take too long, and repeat attempts whose answer was lost.

use crate::policy::engine_health::LOST_ANSWER_FACTOR;
use crate::policy::Gateway;
use crate::state::ProgressMark;
use crate::{Actions, Millis};

/// An attempt in flight that counts as overdue, lost, or both.
struct OverdueAttempt {
    engine: usize,
    class_index: usize,
    /// The attempt's number, counted from 0.
    number: u8,
    /// Thread time since its engine's pace was last learned from it, in ms.
    thread_time: Millis,
    /// Whether it has taken longer than the latency objective.
    missed_objective: bool,
    /// Whether an attempt sent to the same engine much later was answered on time.
    was_overtaken: bool,
    /// Whether its answer is taken for lost and another attempt may follow.
    should_repeat: bool,
}

impl Gateway {
    /// Prevents two failures. An engine that accepts work and never answers has no outcomes by
    /// which to judge it, so an attempt that passes its latency objective counts as a failure. And
    /// an answer may get lost on the way: an attempt that was overtaken, and has taken five times
    /// as long as usual, is withdrawn and repeated.
    ///
    /// Reads all attempts in flight; changes the judgment and the pace of their engines. Each
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

    /// The request's attempt, if it has become overdue or lost.
    fn overdue_attempt(&self, index: usize) -> Option<OverdueAttempt> {
        let pending = &self.requests[index];
        let attempt = pending
            .in_flight_attempt
            .filter(|attempt| !attempt.is_overdue)?;
        let class_index = pending.request.class;
        let elapsed = self.now - attempt.sent_at;
        // Sent in the later half of this attempt's time.
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

    /// Marks the attempt as overdue, and records what it says of its engine.
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
        // Other attempts were fast meanwhile: a lost answer says nothing of the engine's pace.
        let thread_time = if overdue.was_overtaken {
            0.0
        } else {
            overdue.thread_time
        };
        self.learn_pace(overdue.engine, overdue.class_index, thread_time, 0.0);
    }
}
