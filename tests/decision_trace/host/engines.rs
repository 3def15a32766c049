//! Changes of engines, and the ends of attempts that they run.

use super::Host;
use crate::model::{Call, Event};
use ironstair::{Cost, EndpointState, Outcome};

impl Host<'_> {
    /// An engine becomes slow, fails, drains, leaves the list, restarts, or another engine gets its
    /// index. An engine that is not ready is more likely to return than another is to change.
    pub(crate) fn change_engine(&mut self) {
        let next = self.random.between(100.0, 900.0);
        self.schedule(next, Event::EngineChanges);
        let unavailable = self
            .engines
            .iter()
            .position(|engine| engine.endpoint.state != EndpointState::Ready);
        let any = self.random.below(self.engines.len() as u64) as usize;
        let returning = unavailable.filter(|_| self.random.chance(0.6));
        let index = returning.unwrap_or(any);
        let (change, now, serial) = (self.random.below(8), self.now, self.next_serial());
        let engine = &mut self.engines[index];
        match change {
            _ if returning.is_some() => {
                let is_same_process =
                    engine.endpoint.state == EndpointState::Draining && change < 4;
                engine.endpoint.state = EndpointState::Ready;
                (engine.slowdown, engine.failure_rate) = (1.0, 0.0);
                if !is_same_process {
                    engine.endpoint.started_at = now;
                }
            }
            0 | 1 => (engine.slowdown, engine.failure_rate) = (1.0, 0.0),
            2 => engine.slowdown = self.random.between(2.0, 9.0),
            3 => engine.failure_rate = self.random.between(0.5, 1.0),
            4 => engine.endpoint.state = EndpointState::Draining,
            5 => engine.endpoint.state = EndpointState::Gone,
            6 => engine.endpoint.started_at = now,
            _ => {
                engine.endpoint.id = 100_000 + serial;
                engine.endpoint.started_at = now;
            }
        }
        let (endpoint, loses_connections) = (engine.endpoint, change >= 5);
        if loses_connections {
            for request_index in 0..self.requests.len() {
                let Some(request) = self.requests[request_index].as_mut() else {
                    continue;
                };
                let attempt = request.running.as_mut();
                if let Some(attempt) = attempt.filter(|attempt| attempt.engine == index) {
                    (attempt.outcome, attempt.ends_at) = (Outcome::ConnectionLost, now + 1.0);
                    let serial = attempt.serial;
                    self.schedule(1.0, Event::AttemptEnds(request_index, serial));
                }
            }
        }
        if self.random.chance(0.9) {
            self.call(Call::UpdateEndpoints(false, vec![endpoint]));
        } else {
            self.handle_event(Event::FullEndpointList);
        }
    }

    /// Draws how long an attempt takes, and how it ends.
    pub(crate) fn draw_attempt_end(
        &mut self,
        index: usize,
        engine_index: usize,
        start_before: f64,
    ) -> (f64, Outcome) {
        let request = self.requests[index]
            .as_ref()
            .expect("the request has an attempt")
            .request;
        let (class, random, engine) = (
            &self.config.classes[request.class],
            &mut self.random,
            &self.engines[engine_index],
        );
        let machine_type = engine.endpoint.machine_type as usize;
        let cores = self.config.machine_types[machine_type].cores;
        let threads_per_core = engine.busy_threads as f64 / cores;
        if start_before < self.now || random.chance(0.02) {
            return (random.between(0.5, 3.0), Outcome::Unsent);
        }
        let is_full = random.chance(0.1 * (threads_per_core - 1.0).clamp(0.0, 5.0));
        if is_full {
            return (random.between(0.5, 3.0), Outcome::Rejected);
        }
        if random.chance(engine.failure_rate) || random.chance(0.04) {
            return match random.below(6) {
                0 => (random.between(1.0, 60.0), Outcome::EngineError),
                1 => (random.between(1.0, 5.0), Outcome::Rejected),
                2 => (random.between(300.0, 2000.0), Outcome::TimedOut),
                3 => (random.between(1.0, 30.0), Outcome::ConnectFailed),
                4 => (random.between(1.0, 300.0), Outcome::ConnectionLost),
                _ => (
                    random.between(1.0, 300.0),
                    Outcome::ConnectionLostByPeerAttempt,
                ),
            };
        }
        // Some answers get lost.
        if random.chance(0.02) {
            return (15_000.0, Outcome::ConnectionLostByPeerAttempt);
        }
        let estimate = request
            .work
            .unwrap_or(class.base_objective * class.threads / 4.0);
        let work =
            estimate * random.between(0.5, 2.0) * if random.chance(0.03) { 12.0 } else { 1.0 };
        let slowdown = threads_per_core.max(1.0) * engine.slowdown;
        let memory_mb = request.memory_mb * random.between(0.5, 1.5);
        let reported = random.chance(0.75).then_some(Cost { work, memory_mb });
        (
            work / class.threads * slowdown,
            Outcome::Completed(reported),
        )
    }
}
