//! Order of requests that share a key, and the quarantine of a key after an unknown outcome.

use super::Gateway;
use crate::Ms;
use std::collections::VecDeque;

impl Gateway {
    /// Until that time, in ms, nothing of a key goes out.
    pub fn quarantine_keys(&mut self, until: Ms) {
        self.keys_quarantined_until = until;
    }

    pub(super) fn keyed(&self, sub: usize) -> bool {
        let of = &self.subs[sub].of;
        of.key != 0 && self.m.classes[of.class].in_order
    }

    pub(super) fn may_go(&self, sub: usize) -> bool {
        let s = &self.subs[sub];
        // Order per key, and rest after an outcome that leaves an engine perhaps still at it.
        let turn =
            |k: &(VecDeque<usize>, Ms)| k.0.front() == Some(&sub) && (s.attempts > 0 || self.now >= k.1);
        self.may_attempt_again(s)
            && (s.attempts == 0 || self.rationed())
            && (!self.keyed(sub)
                || self.now >= self.keys_quarantined_until && self.keys.get(&s.of.key).is_none_or(turn))
    }
}
