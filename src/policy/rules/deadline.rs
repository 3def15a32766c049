//! Rule: answer a request shortly before its deadline.

use crate::policy::Gateway;
use crate::Actions;

/// How long before the deadline the answer is given, in units of the host's clock resolution. The
/// timer may fire late by one unit, and the answer has to reach the client before it gives up.
const RESOLUTIONS_BEFORE_DEADLINE: f64 = 2.0;

impl Gateway {
    /// Gives one request that is close to its deadline the final answer. Without this rule, a
    /// request whose last attempt never ends would never be answered. Reads the deadlines of all
    /// open requests, queued or in flight.
    pub(in crate::policy) fn answer_at_the_deadline(&mut self, actions: &mut dyn Actions) -> bool {
        let queued = self.classes.iter().flat_map(|class| &class.queue);
        let due = queued.chain(&self.in_flight).copied().find(|&index| {
            let pending = &self.requests[index];
            let answer_at =
                pending.deadline - RESOLUTIONS_BEFORE_DEADLINE * self.config.clock_resolution;
            pending.is_open && self.now >= answer_at
        });
        let Some(index) = due else { return false };
        self.reject_or_fail(index, 0.0, actions);
        true
    }
}
