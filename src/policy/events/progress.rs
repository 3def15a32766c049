//! Event: an engine reports how far an attempt is.

use crate::policy::engine_health::LOST_ANSWER_FACTOR;
use crate::policy::Gateway;
use crate::state::ProgressMark;
use crate::{Actions, Millis};

/// The smallest share by which the elapsed time is divided, so that a report of no progress yields
/// a long projected time and not an infinite one.
const MIN_SHARE_DONE: f64 = 1e-6;

impl Gateway {
    /// An engine reports which share of the request's attempt is done, from 0 to 1. A share below
    /// the last one, or NaN, counts as no progress; one above 1 counts as 1.
    pub fn on_progress(
        &mut self,
        now: Millis,
        index: usize,
        share: f64,
        actions: &mut dyn Actions,
    ) {
        self.now = now;
        self.record_progress(index, share, actions);
        self.on_timer(now, actions);
    }

    /// Learns the engine's pace from the progress, or withdraws the attempt. An attempt that is
    /// projected to take more than `LOST_ANSWER_FACTOR` (five) times as long as usual probably has
    /// a bad query plan; the next attempt gets another plan.
    fn record_progress(&mut self, index: usize, share: f64, actions: &mut dyn Actions) {
        let now = self.now;
        let Some(attempt) = &mut self.requests[index].in_flight_attempt else {
            return;
        };
        let before = attempt.progress;
        let done = share.max(before.share).min(1.0);
        attempt.progress = ProgressMark {
            at: now,
            share: done,
        };
        let attempt = *attempt;

        let pending = &self.requests[index];
        let class_index = pending.request.class;
        let projected_time = (now - attempt.sent_at) / done.max(MIN_SHARE_DONE);
        let service_time = self.service_time(class_index, pending.request.cells, pending.work);
        let has_bad_plan = projected_time > LOST_ANSWER_FACTOR * service_time;
        if has_bad_plan && self.may_repeat_now(pending) {
            actions.withdraw_attempt(index, pending.attempts - 1);
        } else {
            let work_done = (done - before.share) * pending.work;
            let thread_time = (now - before.at) * self.config.classes[class_index].threads;
            self.learn_pace(attempt.engine, class_index, thread_time, work_done);
        }
    }
}
