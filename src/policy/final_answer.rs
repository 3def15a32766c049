//! The final answer to a request, and its removal from the queues.

use super::Gateway;
use crate::state::PendingRequest;
use crate::{Actions, DedupScope, Effect, Millis};

impl Gateway {
    /// Gives the final answer to a request that gets no result: rejected, to be retried after
    /// `retry_after`, if a repeat has no second effect; otherwise failed.
    pub(super) fn reject_or_fail(
        &mut self,
        index: usize,
        retry_after: Millis,
        actions: &mut dyn Actions,
    ) {
        if self.is_safe_to_repeat(&self.requests[index]) {
            actions.reject(index, retry_after);
        } else {
            actions.fail(index);
        }
        self.close(index, actions);
    }

    /// Whether the client may send the request again, to any gateway and any engine.
    fn is_safe_to_repeat(&self, pending: &PendingRequest) -> bool {
        match self.config.classes[pending.request.class].effect {
            Effect::Idempotent | Effect::Deduplicated(DedupScope::AllEngines) => {
                self.now <= self.dedup_window_end(pending)
            }
            Effect::NonIdempotent
            | Effect::Deduplicated(DedupScope::Zone | DedupScope::DedupDomain) => {
                pending.possible_runs.is_empty()
            }
        }
    }

    /// Closes a request that has its answer or whose client is gone. An attempt in flight is
    /// withdrawn if the settings allow it; the index becomes free only when the attempt has ended.
    pub(super) fn close(&mut self, index: usize, actions: &mut dyn Actions) {
        let pending = &mut self.requests[index];
        pending.is_open = false;
        let queue = &mut self.classes[pending.request.class].queue;
        queue.retain(|&queued| queued != index);
        if pending.in_flight_attempt.is_some() {
            if self.config.may_withdraw {
                actions.withdraw_attempt(index, pending.attempts - 1);
            }
            return;
        }
        self.leave_key_queue(index);
        actions.forget(index);
    }

    /// Removes the request from the queue of its key, and drops the queues of all keys that have
    /// neither a request nor a quarantine.
    fn leave_key_queue(&mut self, index: usize) {
        if !self.is_keyed(index) {
            return;
        }
        let key = self.requests[index].request.key;
        let queue = self.key_queues.entry(key).or_default();
        queue.waiting.retain(|&waiting| waiting != index);
        let now = self.now;
        self.key_queues
            .retain(|_, queue| !queue.waiting.is_empty() || queue.quarantined_until > now);
    }
}
