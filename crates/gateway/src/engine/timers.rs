//! What the engine's actor does when time passes: ends attempts past their deadlines, and closes idle or stalled
//! connections.

use super::answers::EngineReplyError;
use super::connections::Connection;
use super::Engine;
use ironstair::{Millis, Outcome};
use ironstair_runtime::{Attempt, RequestId};
use std::rc::Rc;

/// Idle connections are closed after this fraction of the engine's idle timeout. Otherwise an attempt could be sent
/// while the engine closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;

impl Engine {
    /// When a connection without attempts is closed: after the idle timeout, or at once if it is silent.
    fn idle_deadline(&self, connection: &Connection) -> Option<Millis> {
        let timeout = match connection.is_silent {
            true => 0.0,
            false => self.shared.transport_config().idle_timeout * IDLE_TIMEOUT_FRACTION,
        };
        let is_idle = connection.stream.is_some() && connection.open_attempts == 0;
        is_idle.then_some(connection.idle_since + timeout)
    }

    /// When a partial reply counts as invalid. Engines write each reply at once: if the rest does not arrive within the
    /// connect timeout, it never will.
    fn partial_deadline(&self, connection: &Connection) -> Option<Millis> {
        let partial = connection.partial.as_ref()?;
        Some(partial.since + self.shared.transport_config().connect_timeout)
    }

    /// The next time at which [`Engine::on_timer`] has something to do.
    pub(super) fn next_deadline(&self) -> Option<Millis> {
        let connections = self.connections.values();
        let of_connections = connections.flat_map(|connection| {
            let idle = self.idle_deadline(connection);
            let partial = self.partial_deadline(connection);
            [idle, partial].into_iter().flatten()
        });
        let of_attempts = self.in_flight.values().map(|in_flight| {
            let attempt = &in_flight.attempt;
            match attempt.started.get() {
                true => attempt.deadline,
                false => attempt.start_before.get().min(attempt.deadline),
            }
        });
        of_attempts.chain(of_connections).min_by(f64::total_cmp)
    }

    /// Ends the attempts that wait to be written but may no longer start.
    pub(super) fn end_unstartable_attempts(&mut self) {
        let now = self.shared.clock.now();
        let is_unstartable =
            |attempt: &Rc<Attempt>| !attempt.started.get() && !attempt.may_start(now);
        let attempts = self.in_flight.values().map(|sent| &sent.attempt);
        let unstartable = attempts.filter(|attempt| is_unstartable(attempt));
        let unstartable: Vec<RequestId> = unstartable.map(|attempt| attempt.id).collect();
        for id in unstartable {
            self.end_attempt(&id, Outcome::Unsent, None);
        }
    }

    pub(super) fn on_timer(&mut self) {
        self.end_unstartable_attempts();
        self.end_late_attempts();
        self.close_stalled_connections();
        self.close_idle_connections();
    }

    fn end_late_attempts(&mut self) {
        let now = self.shared.clock.now();
        let attempts = self.in_flight.values().map(|sent| &sent.attempt);
        let late = attempts.filter(|attempt| attempt.deadline <= now);
        let late: Vec<RequestId> = late.map(|attempt| attempt.id).collect();
        for id in late {
            self.end_attempt(&id, Outcome::TimedOut, None);
        }
    }

    fn close_stalled_connections(&mut self) {
        for number in self.connections_due(Engine::partial_deadline) {
            self.close_after_invalid_reply(number, &EngineReplyError::IncompleteReply);
        }
    }

    fn close_idle_connections(&mut self) {
        for number in self.connections_due(Engine::idle_deadline) {
            self.drop_connection(number, Outcome::ConnectionLost);
        }
    }

    /// The numbers of the connections for which this deadline has passed.
    fn connections_due(&self, deadline: fn(&Engine, &Connection) -> Option<Millis>) -> Vec<u64> {
        let now = self.shared.clock.now();
        let is_due = |connection: &Connection| {
            let deadline = deadline(self, connection);
            deadline.is_some_and(|deadline| deadline <= now)
        };
        let connections = self.connections.iter();
        let due = connections.filter(|(_, connection)| is_due(connection));
        due.map(|(number, _)| *number).collect()
    }
}
