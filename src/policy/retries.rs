//! Retries: when a request may be attempted again, and the retry budget.

use super::Gateway;
use crate::state::{ArrivalCount, PendingRequest};
use crate::{Effect, Millis};

/// The number of arrivals within the window of the retry budget up to which each has an entry of its
/// own. Beyond it, arrivals less than an even part of the window apart share one, which bounds the
/// memory under a flood of requests.
const EXACT_ARRIVALS: usize = 4096;

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
    /// overload. Counts the retries within the budget's window exactly, and arrivals never too
    /// high.
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
        let in_window = self.arrivals.iter().filter(|entry| entry.at > window_start);
        let arrivals: f64 = in_window.map(|entry| entry.count).sum();
        retries + 1.0 <= budget.min_retries + budget.retry_ratio * arrivals
    }

    /// Counts a request that arrives, and drops arrivals older than the window of the retry budget.
    pub(super) fn record_arrival(&mut self) {
        let Some(budget) = self.config.retry_budget else {
            return;
        };
        let window_start = self.now - budget.window;
        while self
            .arrivals
            .front()
            .is_some_and(|entry| entry.at < window_start)
        {
            self.arrivals.pop_front();
        }
        let is_crowded = self.arrivals.len() >= EXACT_ARRIVALS;
        let min_distance = budget.window / EXACT_ARRIVALS as f64;
        match self.arrivals.back_mut() {
            // Counts at the time of an earlier arrival, and therefore leaves the window too early rather than too late.
            Some(last) if is_crowded && self.now - last.at < min_distance => last.count += 1.0,
            _ => self.arrivals.push_back(ArrivalCount {
                at: self.now,
                count: 1.0,
            }),
        }
    }
}
