//! Retries: when a request may be attempted again, and the retry budget.

use super::Gateway;
use crate::state::PendingRequest;
use crate::{Effect, Millis};

impl Gateway {
    /// Whether the settings allow another attempt, or the first one. Prevents a request from
    /// running twice where that has an effect: a non-idempotent one is not repeated if an earlier
    /// attempt may have run, a deduplicated one only within its window. The retry budget is checked
    /// separately.
    pub(super) fn may_attempt_again(&self, pending: &PendingRequest) -> bool {
        let max_attempts = self.config.max_attempts.min(pending.max_attempts);
        if pending.attempts >= max_attempts {
            return false;
        }
        match self.config.classes[pending.request.class].effect {
            Effect::NonIdempotent => pending.possible_runs.is_empty(),
            Effect::Idempotent | Effect::Deduplicated(_) => {
                self.now <= self.dedup_window_end(pending)
            }
        }
    }

    /// Whether the attempt in flight may be withdrawn and another one sent now.
    pub(super) fn may_repeat_now(&self, pending: &PendingRequest) -> bool {
        self.config.may_withdraw
            && pending.is_open
            && self.now < self.lease_until
            && self.may_attempt_again(pending)
            && self.has_retry_budget()
    }

    /// Until when engines recognize another attempt as a repeat of every one that may have run;
    /// infinite if they do not have to. The shorter of the windows in the settings on arrival and
    /// now applies.
    pub(super) fn dedup_window_end(&self, pending: &PendingRequest) -> Millis {
        let policy = &self.config.classes[pending.request.class];
        if !matches!(policy.effect, Effect::Deduplicated(_)) {
            return Millis::INFINITY;
        }
        let window = pending.class_policy.dedup_window.min(policy.dedup_window);
        let ends = pending.possible_runs.iter().map(|run| run.sent_at + window);
        ends.fold(Millis::INFINITY, f64::min)
    }

    /// Whether the retry budget allows one more retry. Prevents retries from amplifying an
    /// overload. Counts the retries and arrivals within the budget's window exactly.
    pub(super) fn has_retry_budget(&self) -> bool {
        let Some(budget) = self.config.retry_budget else {
            return true;
        };
        let window_start = self.now - budget.window;
        let retries = self
            .retries
            .iter()
            .filter(|&&at| at >= window_start)
            .count() as f64;
        let arrivals = self
            .arrivals
            .iter()
            .filter(|&&at| at > window_start)
            .count() as f64;
        retries + 1.0 <= budget.min_retries + budget.retry_ratio * arrivals
    }
}
