//! Calls of the policy: each is folded into the hash, and its actions are carried out.

use super::Host;
use crate::model::{Call, Event, RunningAttempt};
use crate::recorded_actions::{Action, RecordedActions};
use ironstair::{EndpointState, Outcome};

impl Host<'_> {
    #[expect(clippy::too_many_lines, reason = "one arm for each kind")]
    /// Calls the gateway, and carries out its actions.
    pub(crate) fn call(&mut self, call: Call) {
        let (mut actions, now) = (RecordedActions::default(), self.now);
        let gateway = &mut self.gateway;
        let is_progress = matches!(call, Call::Progress(..));
        let mut outcome_label = None;
        let call_label = match call {
            Call::UpdateEndpoints(is_full, endpoints) => {
                gateway.update_endpoints(now, is_full, &endpoints, &mut actions);
                ["call update_endpoints", "call update_endpoints, full"][is_full as usize]
            }
            Call::EndpointWatchLost => {
                gateway.endpoint_watch_lost(now, &mut actions);
                "call endpoint_watch_lost"
            }
            Call::Request(index, request) => {
                gateway.on_request(now, index, request, &mut actions);
                "call on_request"
            }
            Call::RestrictToCells(index, cells) => {
                gateway.restrict_to_cells(index, cells);
                "call restrict_to_cells"
            }
            Call::AttemptEnded(index, outcome, is_answered) => {
                gateway.on_attempt_ended(now, index, outcome, is_answered, &mut actions);
                outcome_label = Some(match outcome {
                    Outcome::Completed(Some(_)) => "outcome Completed, cost reported",
                    Outcome::Completed(None) => "outcome Completed, cost unknown",
                    Outcome::EngineError => "outcome EngineError",
                    Outcome::Rejected => "outcome Rejected",
                    Outcome::TimedOut => "outcome TimedOut",
                    Outcome::ConnectFailed => "outcome ConnectFailed",
                    Outcome::ConnectionLost => "outcome ConnectionLost",
                    Outcome::ConnectionLostByPeerAttempt => "outcome ConnectionLostByPeerAttempt",
                    Outcome::Withdrawn => "outcome Withdrawn",
                    Outcome::Unsent => "outcome Unsent",
                });
                "call on_attempt_ended"
            }
            Call::Progress(index, share) => {
                gateway.on_progress(now, index, share, &mut actions);
                "call on_progress"
            }
            Call::LoadReport(engine, values) => {
                gateway.on_load_report(now, engine, &values, &mut actions);
                "call on_load_report"
            }
            Call::Cancel(index) => {
                gateway.on_cancel(now, index, &mut actions);
                "call on_cancel"
            }
            Call::ClientClosed(index) => {
                gateway.on_client_closed(now, index, &mut actions);
                "call on_client_closed"
            }
            Call::BeginShutdown(at) => {
                gateway.begin_shutdown(now, at, &mut actions);
                "call begin_shutdown"
            }
            Call::RenewLease(until) => {
                gateway.renew_lease(now, until, &mut actions);
                "call renew_lease"
            }
            Call::QuarantineKeys(until) => {
                gateway.quarantine_keys(until);
                "call quarantine_keys"
            }
            Call::UpdateConfig(config) => {
                gateway.update_config(now, config, &mut actions);
                "call update_config"
            }
            Call::Timer => {
                gateway.on_timer(now, &mut actions);
                "call on_timer"
            }
        };
        self.count(call_label);
        if let Some(label) = outcome_label {
            self.count(label);
        }
        for action in actions.0 {
            self.hash.fold_action(self.now, &action);
            self.carry_out(action, is_progress);
        }
    }

    pub(crate) fn carry_out(&mut self, action: Action, is_progress: bool) {
        match action {
            Action::Attempt(index, engine, start_before) => {
                self.start_attempt(index, engine, start_before);
            }
            Action::Withdraw(index, _) => self.withdraw_attempt(index, is_progress),
            Action::SetPriority(..) => self.count("action set_priority"),
            Action::Reject(index, retry_after) => self.reject(index, retry_after),
            Action::Fail(index) => {
                self.count("action fail");
                self.record_answer(index);
            }
            Action::Subscribe => {
                self.count("action subscribe");
                self.schedule(20.0, Event::FullEndpointList);
            }
            Action::Probe(engine) => {
                self.count("action probe");
                if self.random.chance(0.9) {
                    let delay = self.random.between(0.5, 40.0);
                    self.schedule(delay, Event::LoadReport(engine, true));
                }
            }
            Action::WakeAfter(delay) => {
                self.count("action wake_after");
                self.schedule(delay, Event::Timer);
            }
            Action::Log(_) => self.count("action log"),
            Action::Forget(index) => self.forget(index),
        }
    }

    /// Starts an attempt with a drawn end.
    fn start_attempt(&mut self, index: usize, engine: usize, start_before: f64) {
        self.count("action start_attempt");
        self.check_engine_ready(engine);
        let (duration, outcome) = self.draw_attempt_end(index, engine, start_before);
        let (serial, sent_at) = (self.next_serial(), self.now);
        let request = self.requests[index].as_mut().expect("it was sent");
        assert!(
            request.running.is_none() && !request.is_over,
            "{}: request {index}",
            self.scenario.name
        );
        request.attempts += 1;
        let is_further = request.attempts > 1;
        self.engines[engine].busy_threads +=
            self.config.classes[request.request.class].threads as u64;
        let ends_at = sent_at + duration;
        request.running = Some(RunningAttempt {
            serial,
            engine,
            sent_at,
            ends_at,
            outcome,
            is_withdrawn: false,
        });
        if is_further {
            self.count("seen further attempt");
        }
        self.schedule(duration, Event::AttemptEnds(index, serial));
        if self.random.chance(0.4) {
            let first = self.random.between(20.0, 300.0);
            self.schedule(first, Event::Progress(index, serial));
        }
    }

    /// Withdraws the attempt that runs, unless it ends before the command arrives.
    fn withdraw_attempt(&mut self, index: usize, is_progress: bool) {
        self.count("action withdraw_attempt");
        let request = self.requests[index].as_ref().expect("it was sent");
        let (is_over, deadline) = (request.is_over, request.deadline);
        if !is_over && is_progress {
            self.count("seen withdrawal at a progress report");
        } else if !is_over && self.now < deadline - 2.0 * self.config.clock_resolution {
            self.count("rule handle_overdue_attempts");
        }
        // Some attempts end before they can be withdrawn.
        let delay = self.random.between(0.5, 20.0);
        let reaches_engine = self.random.chance(0.9);
        let (serial, now) = (self.next_serial(), self.now);
        let attempt = self.requests[index]
            .as_mut()
            .and_then(|request| request.running.as_mut())
            .expect("an attempt runs");
        if reaches_engine && !attempt.is_withdrawn && now + delay < attempt.ends_at {
            attempt.is_withdrawn = true;
            attempt.outcome = Outcome::Withdrawn;
            attempt.ends_at = now + delay;
            attempt.serial = serial;
            self.schedule(delay, Event::AttemptEnds(index, serial));
        }
    }

    /// Answers the client with a rejection; some clients send the request again.
    fn reject(&mut self, index: usize, retry_after: f64) {
        self.count("action reject");
        let is_late = self.record_answer(index);
        let mut request = self.requests[index].as_ref().expect("it was sent").request;
        let max_retry_after = self.config.max_retry_after;
        match retry_after {
            _ if self.now >= self.lease_until => {}
            0.0 => assert!(is_late, "{}: request {index}", self.scenario.name),
            _ if retry_after != max_retry_after => {
                panic!(
                    "{}: request {index} may be retried after {retry_after} ms, expected \
                     {max_retry_after} ms",
                    self.scenario.name
                )
            }
            _ if self.config.classes[request.class].out_of_service => {}
            _ => self.count("rule shed_load"),
        }
        if retry_after > 0.0 && self.random.chance(0.3) {
            request.is_retry = true;
            request.time_remaining *= 0.7;
            self.schedule(retry_after, Event::RetryArrives(request));
        }
    }

    /// Frees the index of a request.
    fn forget(&mut self, index: usize) {
        self.count("action forget");
        let request = self.requests[index].take().expect("it was sent");
        assert!(
            request.is_over && request.running.is_none(),
            "{}: request {index}",
            self.scenario.name
        );
        self.free_indices.push(index);
    }

    /// Records the request's final answer, and returns whether it came at the deadline.
    pub(crate) fn record_answer(&mut self, index: usize) -> bool {
        let request = self.requests[index].as_mut().expect("it was sent");
        assert!(
            !request.is_over,
            "{}: request {index} has two answers",
            self.scenario.name
        );
        request.is_over = true;
        let is_late = self.now >= request.deadline - 2.0 * self.config.clock_resolution;
        let rule = match is_late {
            _ if self.now >= self.lease_until => Some("rule reject_without_lease"),
            true => Some("rule answer_at_the_deadline"),
            false => None,
        };
        if let Some(rule) = rule {
            self.count(rule);
        }
        is_late
    }

    /// Asserts that an engine that gets an attempt is listed and ready, and counts recovery probes.
    pub(crate) fn check_engine_ready(&mut self, engine: usize) {
        let view = self
            .gateway
            .engine_view(engine)
            .expect("the engine is listed");
        assert_eq!(
            view.state,
            EndpointState::Ready,
            "{}: engine {engine}",
            self.scenario.name
        );
        if view.next_probe_at.is_some() {
            self.count("seen recovery probe of an ejected engine");
        }
    }

    pub(crate) fn fold_views(&mut self) {
        for index in 0..self.engines.len() {
            let view = self
                .gateway
                .engine_view(index)
                .expect("the engine is listed");
            self.hash.fold_engine_view(index, &view);
            if view
                .slow_start_allowance
                .is_some_and(|allowance| allowance < 50.0)
            {
                self.count("seen cold engine with its allowance used up");
            }
        }
        for index in 0..self.config.classes.len() {
            let view = self
                .gateway
                .class_view(index)
                .expect("the class is configured");
            self.hash.fold_class_view(index, &view);
        }
    }
}
