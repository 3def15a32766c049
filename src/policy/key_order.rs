//! The order of requests that share a key.

use super::Gateway;
use crate::state::{KeyQueue, PendingRequest};

impl Gateway {
    /// Whether the request may be attempted now, by its earlier attempts, the retry budget and the
    /// order of its key.
    pub(super) fn may_start(&self, index: usize) -> bool {
        let pending = &self.requests[index];
        let is_retry = pending.attempts > 0;
        self.may_attempt_again(pending)
            && (!is_retry || self.has_retry_budget())
            && (!self.is_keyed(index) || self.is_next_of_key(index, pending))
    }

    /// Whether the request is first in the order of its key, and the key is not quarantined.
    /// Prevents requests of a key from running out of order: after an attempt of unknown outcome,
    /// an engine may still be running the previous request.
    fn is_next_of_key(&self, index: usize, pending: &PendingRequest) -> bool {
        if self.now < self.keys_quarantined_until {
            return false;
        }
        let may_start_from = |queue: &KeyQueue| {
            // A retry does not have to wait for the quarantine that the request's own earlier
            // attempt caused.
            let is_quarantined = pending.attempts == 0 && self.now < queue.quarantined_until;
            queue.waiting.front() == Some(&index) && !is_quarantined
        };
        let queue = self.key_queues.get(&pending.request.key);
        queue.is_none_or(may_start_from)
    }
}
