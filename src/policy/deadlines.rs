//! Deadlines: the hard limit of a request, the end of the lease, the end of the process.

use super::Gateway;
use crate::state::PendingRequest;
use crate::{Actions, Ms};

impl Gateway {
    pub fn ending(&mut self, now: Ms, at: Ms, out: &mut dyn Actions) {
        self.subs.iter_mut().for_each(|s| s.limit = s.limit.min(at));
        self.due(now, out);
    }

    pub fn renew_lease(&mut self, now: Ms, until: Ms, out: &mut dyn Actions) {
        self.until = until;
        self.due(now, out);
    }

    // Against terms that others have left behind: what waits is answered at once, what runs goes on.
    pub(super) fn reject_without_lease(&mut self, out: &mut dyn Actions) -> bool {
        let waits = self.classes.iter().flat_map(|b| &b.line).next().copied();
        // Not all that wait at all gateways together are to come back together.
        let Some(s) = waits.filter(|_| self.now >= self.until) else { return false };
        self.end(s, self.m.max_retry_after * (1.0 + self.subs[s].chance(0)) / 2.0, out)
    }

    // Against a last outcome that never comes, and answers that cross the client's leaving.
    pub(super) fn answer_at_the_hard_limit(&mut self, out: &mut dyn Actions) -> bool {
        let mut held = self.classes.iter().flat_map(|b| &b.line).chain(&self.in_flight).copied();
        let late = |s: &PendingRequest| s.open && self.now >= s.limit - 2.0 * self.m.tick;
        held.find(|&s| late(&self.subs[s])).is_some_and(|s| self.end(s, 0.0, out))
    }
}
