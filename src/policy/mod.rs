//! Every decision of one gateway, without input or output.
//!
//! A host creates a [`Gateway`] from its settings and hands over each event with the time at which
//! it happened. Every event is handled in two steps: its handler records what is new, then the
//! rules below are applied. The decisions leave at once, as calls of [`Actions`].
//!
//! | event | handler |
//! | --- | --- |
//! | a request arrives, its client cancels it or closes the connection | `events/request.rs` |
//! | an attempt ends | `events/attempt_ended.rs` |
//! | an engine reports how far an attempt is | `events/progress.rs` |
//! | an engine reports its load | `events/load_report.rs` |
//! | discovery delivers endpoints, or loses its connection | `events/endpoints.rs` |
//! | the settings change, or are confirmed for some time more | `events/config.rs` |
//! | the process is about to end | `events/shutdown.rs` |
//! | the timer fires | [`Gateway::on_timer`] |
//!
//! The other files hold what rules and handlers share, by concern.

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

/// A rule looks at the whole state. It returns true if it acted in a way that the rules before it
/// may have to see.
type Rule = fn(&mut Gateway, &mut dyn Actions) -> bool;

/// The rules in order of precedence. After a rule that acted, all of them are applied again, from
/// the first one on.
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
    /// The timer fired, or time has passed: applies the rules.
    pub fn on_timer(&mut self, now: Millis, actions: &mut dyn Actions) {
        self.now = now;
        while RULES.iter().any(|rule| rule(self, actions)) {}
    }
}
