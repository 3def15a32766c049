//! Rule: reject queued requests while there is no lease on the settings.

use crate::policy::Gateway;
use crate::Actions;

/// The subject of the draw that spreads the clients' retries over time.
const RETRY_DELAY_DRAW: u64 = 0;

impl Gateway {
    /// Rejects one queued request if the lease has expired. Prevents decisions based on settings
    /// that the other gateways may have replaced. Attempts in flight continue.
    pub(in crate::policy) fn reject_without_lease(&mut self, actions: &mut dyn Actions) -> bool {
        if self.now < self.lease_until {
            return false;
        }
        let Some(&index) = self.classes.iter().flat_map(|class| &class.queue).next() else {
            return false;
        };
        // Uniform between half of the longest delay and all of it, so that the clients of all
        // gateways do not retry at the same time.
        let draw = self.requests[index].draw_for(RETRY_DELAY_DRAW);
        let retry_after = self.config.max_retry_after * (1.0 + draw) / 2.0;
        self.reject_or_fail(index, retry_after, actions);
        true
    }
}
