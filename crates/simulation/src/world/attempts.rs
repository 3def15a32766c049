//! Attempts between gateways and engines.

use super::World;
use crate::engine::{Admission, AttemptId};
use crate::event::{AttemptEnd, Event};
use crate::network::NETWORK_DELAY;
use ironstair::{Cost, Millis, Outcome};

/// An answer that is later than the request's deadline by more than this is recorded as a violation.
const DEADLINE_TOLERANCE: Millis = 20.0;
/// Time until a crashed engine restarts.
const RESTART_AFTER_CRASH: Millis = 3000.0;

impl World {
    pub(super) fn start_attempt(&mut self, gateway: usize, slot: usize, engine: usize) {
        let process = self.gateways[gateway].process;
        let Some(slot_use) = self.gateways[gateway].slots.get_mut(slot) else {
            return;
        };
        slot_use.engine = Some(engine);
        let attempt = AttemptId {
            process,
            slot,
            use_number: slot_use.use_number,
        };
        let engine_process = self.engines[engine].process;
        let now = self.clock.now();
        self.metrics.second_mut(now).attempts += 1;
        let event = Event::AttemptArrives {
            attempt,
            engine,
            engine_process,
        };
        self.clock.schedule_after(NETWORK_DELAY, event);
    }

    pub(super) fn withdraw_attempt(&mut self, gateway: usize, slot: usize) {
        let process = self.gateways[gateway].process;
        let Some(slot_use) = self.gateways[gateway].slots.get(slot) else {
            return;
        };
        let attempt = AttemptId {
            process,
            slot,
            use_number: slot_use.use_number,
        };
        if let Some(engine) = slot_use.engine {
            self.clock
                .schedule_after(NETWORK_DELAY, Event::WithdrawalArrives { attempt, engine });
        }
    }

    /// An attempt reaches an engine.
    pub(super) fn receive_attempt(
        &mut self,
        attempt: AttemptId,
        engine: usize,
        engine_process: u32,
    ) {
        let slots = &self.gateways[attempt.process.gateway].slots;
        let slot_use = slots
            .get(attempt.slot)
            .filter(|slot_use| slot_use.use_number == attempt.use_number);
        // If the gateway's process was replaced in the meantime, its connections are closed and its attempts are lost.
        let Some(request) = slot_use.map(|slot_use| slot_use.request) else {
            return;
        };
        let engine_state = &mut self.engines[engine];
        if !engine_state.is_up || engine_state.process != engine_process {
            return self.send_attempt_end(attempt, AttemptEnd::ConnectionRefused);
        }
        let now = self.clock.now();
        let query = self.clients.requests[request].query();
        match engine_state.admit(now, attempt, query) {
            Admission::Running => {
                self.count_execution(request);
                self.schedule_engine_tick(engine);
            }
            Admission::QueueFull => self.send_attempt_end(attempt, AttemptEnd::QueueFull),
            Admission::Crash => {
                self.metrics.second_mut(now).engine_crashes += 1;
                self.send_attempt_end(attempt, AttemptEnd::ConnectionLost);
                self.end_engine(engine, RESTART_AFTER_CRASH);
            }
        }
    }

    fn count_execution(&mut self, request: usize) {
        let request_state = &mut self.clients.requests[request];
        request_state.executions += 1;
        if request_state.is_non_idempotent() && request_state.executions > 1 {
            let violation = format!("submission {request}, which may run once, was out twice");
            self.metrics.record_violation(violation);
        }
    }

    pub(super) fn receive_withdrawal(&mut self, attempt: AttemptId, engine: usize) {
        let now = self.clock.now();
        if self.engines[engine].withdraw(now, attempt) {
            self.send_attempt_end(attempt, AttemptEnd::Withdrawn);
            self.schedule_engine_tick(engine);
        }
    }

    pub(super) fn tick_engine(&mut self, engine: usize, tick: u64) {
        if self.engines[engine].latest_tick != tick {
            return;
        }
        let now = self.clock.now();
        for attempt in self.engines[engine].take_completed(now) {
            self.send_attempt_end(attempt, AttemptEnd::Completed);
        }
        self.schedule_engine_tick(engine);
    }

    /// Schedules an engine's next tick after a change of its queries. Ticks that were scheduled before become obsolete.
    fn schedule_engine_tick(&mut self, engine: usize) {
        let now = self.clock.now();
        let engine_state = &mut self.engines[engine];
        engine_state.latest_tick += 1;
        let tick = engine_state.latest_tick;
        if let Some(at) = engine_state.next_tick_at(now) {
            self.clock
                .schedule_after(at - now, Event::EngineTick { engine, tick });
        }
    }

    /// Ends an engine's process, and schedules its restart.
    pub(super) fn end_engine(&mut self, engine: usize, restart_after: Millis) {
        for attempt in self.engines[engine].terminate() {
            self.send_attempt_end(attempt, AttemptEnd::ConnectionLost);
        }
        self.engines[engine].latest_tick += 1;
        self.clock
            .schedule_after(restart_after, Event::EngineRestarted { engine });
        self.schedule_endpoint_discovery();
    }

    /// The result of an attempt reaches its gateway.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) {
        if !self.is_running(attempt.process) {
            return;
        }
        let gateway = attempt.process.gateway;
        let Some(slot_use) = self.gateways[gateway].slots.get_mut(attempt.slot) else {
            return;
        };
        if slot_use.use_number != attempt.use_number {
            return;
        }
        slot_use.engine = None;
        let request = slot_use.request;
        let was_answered = slot_use.is_answered;
        let is_settled = end == AttemptEnd::Completed && !was_answered;
        if is_settled {
            slot_use.is_answered = true;
            self.settle_request(gateway, request);
        }
        let outcome = match end {
            AttemptEnd::Completed => Outcome::Completed(Some(Cost {
                work: self.clients.requests[request].work,
                memory_mb: 0.0,
            })),
            AttemptEnd::QueueFull => Outcome::Rejected,
            AttemptEnd::ConnectionRefused => Outcome::ConnectFailed,
            AttemptEnd::ConnectionLost => Outcome::ConnectionLost,
            AttemptEnd::Withdrawn => Outcome::Withdrawn,
        };
        let is_closed = is_settled || was_answered;
        let slot = attempt.slot;
        self.call_policy(gateway, |policy, now, actions| {
            policy.on_attempt_ended(now, slot, outcome, is_closed, actions);
        });
    }

    fn settle_request(&mut self, gateway: usize, request: usize) {
        let now = self.clock.now();
        let request_state = &mut self.clients.requests[request];
        request_state.is_finished = true;
        if request_state.is_within_objective(now) {
            self.metrics.second_mut(now).served += request_state.value();
        }
        // A gateway that was paused answers late, when it resumes, as a real process would. This is no violation.
        let was_paused = self.gateways[gateway].paused_until > request_state.created_at;
        if now > request_state.deadline + DEADLINE_TOLERANCE && !was_paused {
            let lateness = now - request_state.deadline;
            self.metrics.record_violation(format!(
                "submission {request} was answered {lateness:.0} ms after its hard limit"
            ));
        }
        self.metrics.extend_digest(&(request as u64).to_le_bytes());
    }
}
