//! Rule: ask the host for a timer event while anything is pending.

use crate::policy::Gateway;
use crate::Actions;

/// The time between timer events, in units of the host's clock resolution.
const RESOLUTIONS_BETWEEN_TIMERS: f64 = 2.0;

impl Gateway {
    /// Asks for one timer event at a time while requests are queued, attempts are in flight or a
    /// subscription is pending. Prevents deadlines from passing unnoticed while no other event
    /// happens.
    pub(in crate::policy) fn request_timer(&mut self, actions: &mut dyn Actions) -> bool {
        let has_queued = self.classes.iter().any(|class| !class.queue.is_empty());
        let has_work = has_queued || self.resubscribe_at.is_some() || !self.in_flight.is_empty();
        if self.next_wake_at <= self.now && has_work {
            let delay = RESOLUTIONS_BETWEEN_TIMERS * self.config.clock_resolution;
            self.next_wake_at = self.now + delay;
            actions.wake_after(delay);
        }
        false
    }
}
