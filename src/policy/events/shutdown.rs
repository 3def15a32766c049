//! Event: the process is about to end.

use crate::policy::Gateway;
use crate::{Actions, Millis};

impl Gateway {
    /// The process will end at the time `at`: deadlines beyond it are brought forward to it.
    pub fn begin_shutdown(&mut self, now: Millis, at: Millis, actions: &mut dyn Actions) {
        for pending in &mut self.requests {
            pending.deadline = pending.deadline.min(at);
        }
        self.on_timer(now, actions);
    }
}
