//! Passes the same events to the policy and the referee, and every action of the policy to the referee.

use crate::common::{class, endpoint_at, request_with, Action, RecordedActions};
use crate::referee::Referee;
use crate::violation::{CheckResult, Violation};
use ironstair::policy::Gateway;
use ironstair::{
    Cost, Effect, Endpoint, EndpointState, Millis, Outcome, PolicyConfig, Request, RetryBudget,
};

const ENGINES: usize = 6;
/// The time for which a stalled gateway makes no progress, in ms.
const STALL_DURATION: Millis = 1500.0;
/// The interval of the timer, in ms.
const TIMER_INTERVAL: Millis = 10.0;

const OUTCOMES: [Outcome; 8] = [
    Outcome::Completed(Some(Cost {
        work: 60.0,
        memory_mb: 90.0,
    })),
    Outcome::EngineError,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::Withdrawn,
    Outcome::Unsent,
];

/// A generated event: its kind, and two numbers from which its parameters are derived.
pub(crate) type GeneratedEvent = (u8, u8, u8);

/// The longest pause that one event causes, with 63 calls of the timer.
const LONG_PAUSE: GeneratedEvent = (7, 63, 0);

pub(crate) struct EventPlayer {
    now: Millis,
    gateway: Gateway,
    referee: Referee,
    /// The slots of requests with an attempt in flight.
    in_flight: Vec<usize>,
    free_slots: Vec<usize>,
    next_slot: usize,
}

impl EventPlayer {
    pub(crate) fn new(config: PolicyConfig) -> EventPlayer {
        let mut player = EventPlayer {
            now: 1000.0,
            gateway: Gateway::new(config.clone(), 7),
            referee: Referee::new(config),
            in_flight: vec![],
            free_slots: vec![],
            next_slot: 0,
        };
        let endpoints: Vec<Endpoint> = (0..ENGINES).map(endpoint_at).collect();
        player
            .update_endpoints(&endpoints)
            .expect("an endpoint list without requests breaks no rule");
        player
    }

    pub(crate) fn play(&mut self, (kind, first, second): GeneratedEvent) -> CheckResult {
        match kind % 11 {
            0..=2 => self.request(first, second),
            3..=5 if !self.in_flight.is_empty() => self.end_attempt(first, second),
            6 if second >= 224 => self.restart_all_engines_but_one(),
            6 => self.change_engine(first, second),
            7 if second >= 192 => self.stall(),
            8 => self.change_config(first, second),
            9 if !self.in_flight.is_empty() => self.report_progress(first, second),
            10 => self.report_load(first, second),
            _ => self.pause(first),
        }
    }

    /// Lets time pass until every request must have an answer, and checks that it has.
    pub(crate) fn finish(&mut self) -> CheckResult {
        for _ in 0..7 {
            self.play(LONG_PAUSE)?;
        }
        match self.referee.unanswered_count() {
            0 => Ok(()),
            requests => Err(Violation::Unanswered { requests }),
        }
    }

    fn check(&mut self, actions: RecordedActions) -> CheckResult {
        for action in &actions.0 {
            self.referee.check_action(self.now, action)?;
            match action {
                Action::Attempt(slot, _) => self.in_flight.push(*slot),
                Action::Forget(slot) => self.free_slots.push(*slot),
                _ => {}
            }
        }
        Ok(())
    }

    fn update_endpoints(&mut self, endpoints: &[Endpoint]) -> CheckResult {
        let mut actions = RecordedActions::default();
        self.referee.on_endpoints(self.now, endpoints);
        self.gateway
            .update_endpoints(self.now, false, endpoints, &mut actions);
        self.check(actions)
    }

    fn request(&mut self, first: u8, second: u8) -> CheckResult {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.next_slot += 1;
            self.next_slot - 1
        });
        let class = first as usize % self.referee.config.classes.len();
        let request = Request {
            key: u64::from(second % 4),
            time_remaining: 400.0 + 10.0 * f64::from(second),
            cells: [0, 0, 1, 2, 5][second as usize % 5],
            table_group: u64::from(second / 8),
            ..request_with(class, 100.0)
        };
        let mut actions = RecordedActions::default();
        self.referee.on_request(self.now, slot, request);
        self.gateway
            .on_request(self.now, slot, request, &mut actions);
        self.check(actions)
    }

    fn end_attempt(&mut self, first: u8, second: u8) -> CheckResult {
        let slot = self.in_flight.remove(first as usize % self.in_flight.len());
        let outcome = OUTCOMES[second as usize % OUTCOMES.len()];
        let is_answered = self.referee.on_attempt_ended(self.now, slot, outcome);
        let mut actions = RecordedActions::default();
        self.gateway
            .on_attempt_ended(self.now, slot, outcome, is_answered, &mut actions);
        self.check(actions)
    }

    fn restart_all_engines_but_one(&mut self) -> CheckResult {
        let restarted = |engine| Endpoint {
            started_at: self.now,
            ..endpoint_at(engine)
        };
        let endpoints: Vec<Endpoint> = (1..ENGINES).map(restarted).collect();
        self.update_endpoints(&endpoints)
    }

    fn change_engine(&mut self, first: u8, second: u8) -> CheckResult {
        let states = [
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Gone,
        ];
        let endpoint = Endpoint {
            state: states[second as usize % 3],
            started_at: if second >= 128 { self.now } else { 0.0 },
            ..endpoint_at(first as usize % ENGINES)
        };
        self.update_endpoints(&[endpoint])
    }

    /// The gateway makes no progress for a while. Requests whose deadline passes meanwhile are answered late, but only
    /// once: their deadlines are extended.
    fn stall(&mut self) -> CheckResult {
        self.now += STALL_DURATION;
        let requests = self.referee.requests.iter_mut();
        requests
            .filter(|record| !record.is_answered())
            .for_each(|record| record.extend_deadline(STALL_DURATION));
        let mut actions = RecordedActions::default();
        self.gateway.on_timer(self.now, &mut actions);
        self.check(actions)
    }

    /// Reports the progress of an attempt: none, little, any share, or NaN.
    fn report_progress(&mut self, first: u8, second: u8) -> CheckResult {
        let share = [0.0, 0.02, f64::from(second) / 255.0, f64::NAN][first as usize % 4];
        let slot = self.in_flight[first as usize % self.in_flight.len()];
        let mut actions = RecordedActions::default();
        self.gateway
            .on_progress(self.now, slot, share, &mut actions);
        self.check(actions)
    }

    /// Reports up to three load values, of which two are invalid.
    fn report_load(&mut self, first: u8, second: u8) -> CheckResult {
        let values = [f64::from(second) / 8.0, f64::NAN, -1.0];
        let values = &values[..second as usize % 4];
        let mut actions = RecordedActions::default();
        self.gateway
            .on_load_report(self.now, first as usize % ENGINES, values, &mut actions);
        self.check(actions)
    }

    /// Calls the timer at every interval during a pause.
    fn pause(&mut self, first: u8) -> CheckResult {
        for _ in 0..first % 64 {
            self.now += TIMER_INTERVAL;
            let mut actions = RecordedActions::default();
            self.gateway.on_timer(self.now, &mut actions);
            self.check(actions)?;
        }
        Ok(())
    }

    fn change_config(&mut self, first: u8, second: u8) -> CheckResult {
        let config = changed_config(&self.referee.config, first, second);
        let mut actions = RecordedActions::default();
        self.referee.config = config.clone();
        self.gateway.update_config(self.now, config, &mut actions);
        self.check(actions)
    }
}

/// The configuration after a change: tighter or looser limits, a class out of service or back, or a further class.
fn changed_config(config: &PolicyConfig, first: u8, second: u8) -> PolicyConfig {
    let mut config = config.clone();
    let classes = config.classes.len();
    let changed = &mut config.classes[first as usize % classes];
    match second % 8 {
        0 => changed.out_of_service = !changed.out_of_service,
        1 => changed.dedup_window = [100.0, 1000.0, 5000.0][first as usize % 3],
        2 => changed.zones = [None, Some(vec![0]), Some(vec![1])][first as usize % 3].clone(),
        3 => {
            let choices = [None, Some(vec![0]), Some(vec![1])];
            changed.machine_types = choices[first as usize / 8 % 3].clone();
        }
        4 => {
            changed.value = 1.0 + f64::from(first);
            changed.base_objective = 100.0 + 10.0 * f64::from(first);
        }
        5 => {
            config.max_attempts = 1 + first % 5;
            config.gateway_count = changed_gateway_count(config.gateway_count, first);
        }
        6 => {
            config.retry_budget = config.retry_budget.map(|budget| RetryBudget {
                min_retries: f64::from(first % 4),
                retry_ratio: 0.05 * f64::from(first % 3),
                ..budget
            });
        }
        _ if classes < 8 => {
            let further = class(1.0 + f64::from(first), 1.0, Effect::NonIdempotent);
            config.classes.push(further);
        }
        _ => config.slow_start_from = 0.3 + f64::from(first % 7) / 10.0,
    }
    config
}

/// Few gateways stay few, and hundreds stay hundreds: the referee checks the slow-start share only of few gateways, and
/// without the warm-up.
fn changed_gateway_count(gateway_count: f64, first: u8) -> f64 {
    let others = if gateway_count < 100.0 {
        f64::from(first % 2)
    } else {
        199.0 + f64::from(first)
    };
    1.0 + others
}
