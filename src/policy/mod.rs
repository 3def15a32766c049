//! The policy: makes every decision of one gateway and performs no input or output.
//!
//! A host creates a [`Gateway`] from the settings and passes it each event with the time at which
//! it happened. An event is processed in two steps: its handler updates the state, then the rules
//! below are applied. Decisions take effect immediately, as calls of [`Actions`].
//!
//! | event | handler |
//! | --- | --- |
//! | a request arrives, its client cancels it or closes the connection | `events/request.rs` |
//! | an attempt ends | `events/attempt_ended.rs` |
//! | an engine reports how far an attempt is | `events/progress.rs` |
//! | an engine reports its load | `events/load_report.rs` |
//! | discovery delivers endpoints, or loses its connection | `events/endpoints.rs` |
//! | the settings change, or the lease on them is renewed | `events/config.rs` |
//! | the process is about to end | `events/shutdown.rs` |
//! | the timer fires | [`Gateway::on_timer`] |
//!
//! The other files hold the code that rules and handlers share, one concern per file.

use crate::{Actions, Millis};

pub use crate::state::{Gateway, LoadReport};
pub use view::{ClassView, EngineView};

mod attempt;
mod capacity;
mod engine_health;
mod events;
mod fair_queueing;
mod final_answer;
mod key_order;
mod pace;
mod retries;
mod routing;
mod rules;
mod slow_start;
mod view;

/// A rule reads and updates the whole state. It returns true if it acted in a way to which earlier
/// rules may have to react.
type Rule = fn(&mut Gateway, &mut dyn Actions) -> bool;

/// The rules in order of precedence. When a rule returns true, evaluation restarts at the first
/// one.
const RULES: [Rule; 9] = [
    Gateway::subscribe_to_endpoints,
    Gateway::reject_without_lease,
    Gateway::answer_at_the_deadline,
    Gateway::handle_overdue_attempts,
    Gateway::eject_outlier,
    Gateway::probe_engines,
    Gateway::dispatch_request,
    Gateway::shed_load,
    Gateway::request_timer,
];

impl Gateway {
    /// Applies the rules: the timer has fired, or time has passed.
    pub fn on_timer(&mut self, now: Millis, actions: &mut dyn Actions) {
        self.now = now;
        while RULES.iter().any(|rule| rule(self, actions)) {}
    }
}
