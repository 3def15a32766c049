//! Rule: subscribe to the endpoint list when the subscription is due.

use crate::policy::Gateway;
use crate::Actions;

impl Gateway {
    /// Subscribes once `resubscribe_at` is reached, and clears it. Without this rule, the gateway
    /// would have no endpoint list at its start, and an outdated one after losing discovery.
    pub(in crate::policy) fn subscribe_to_endpoints(&mut self, actions: &mut dyn Actions) -> bool {
        let is_due = self.resubscribe_at.is_some_and(|at| at <= self.now);
        if is_due {
            self.resubscribe_at = None;
            actions.subscribe();
        }
        is_due
    }
}
