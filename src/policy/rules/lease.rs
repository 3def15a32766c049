//! Rule: without a lease on the settings, reject what is queued.

use crate::policy::Gateway;
use crate::Actions;

/// The subject of the draw that spreads retries out.
const RETRY_DELAY_DRAW: u64 = 0;

impl Gateway {
    /// Prevents decisions by settings that the other gateways have replaced. Reads the lease;
    /// rejects one queued request. Attempts in flight continue.
    pub(in crate::policy) fn reject_without_lease(&mut self, actions: &mut dyn Actions) -> bool {
        if self.now < self.lease_until {
            return false;
        }
        let Some(&index) = self.classes.iter().flat_map(|class| &class.queue).next() else {
            return false;
        };
        // Spread over half of the longest delay, so that the clients of all gateways do not return
        // together.
        let draw = self.requests[index].draw_for(RETRY_DELAY_DRAW);
        let retry_after = self.config.max_retry_after * (1.0 + draw) / 2.0;
        self.reject_or_fail(index, retry_after, actions);
        true
    }
}
