//! Checks that the referee reports each rule that a script of actions breaks. A referee that accepts everything would
//! let every policy pass.

use crate::common::{endpoint_at, mixed_policy_config, request_with, Action};
use crate::referee::Referee;
use ironstair::{Endpoint, EndpointState, Outcome, Request};

/// An event before an action of a script.
#[derive(Clone, Copy)]
enum Event {
    Nothing,
    /// A request of this class with key 1.
    RequestOfClass(usize),
    AttemptFailed,
    EngineDrains,
    /// The engine has just started, and a request of 1000 s of work arrives.
    EngineStartsThenHugeRequest,
}

impl Event {
    fn apply(self, referee: &mut Referee, now: f64, slot: usize) {
        match self {
            Event::Nothing => {}
            Event::RequestOfClass(class) => {
                let request = Request {
                    key: 1,
                    ..request_with(class, 100.0)
                };
                referee.on_request(now, slot, request);
            }
            Event::AttemptFailed => {
                referee.on_attempt_ended(now, 0, Outcome::EngineError);
            }
            Event::EngineDrains => {
                let draining = Endpoint {
                    state: EndpointState::Draining,
                    ..endpoint_at(0)
                };
                referee.on_endpoints(now - 0.5, &[draining]);
            }
            Event::EngineStartsThenHugeRequest => {
                let cold = Endpoint {
                    started_at: 0.5,
                    ..endpoint_at(0)
                };
                referee.on_endpoints(now, &[cold]);
                referee.on_request(now, 0, request_with(0, 1e6));
            }
        }
    }
}

/// Each rule, with a script whose last action breaks it.
fn scripts() -> [(u8, Vec<(Event, Action)>); 7] {
    use Event::{
        AttemptFailed, EngineDrains, EngineStartsThenHugeRequest, Nothing, RequestOfClass,
    };
    let attempt_on = |engine| Action::Attempt(0, engine);
    [
        (
            1,
            vec![
                (RequestOfClass(0), Action::Fail(0)),
                (Nothing, Action::Fail(0)),
            ],
        ),
        (
            2,
            vec![
                (RequestOfClass(1), attempt_on(0)),
                (AttemptFailed, attempt_on(2)),
            ],
        ),
        (
            3,
            vec![
                (RequestOfClass(0), Action::Other("")),
                (EngineDrains, attempt_on(0)),
            ],
        ),
        (4, vec![(EngineStartsThenHugeRequest, attempt_on(0))]),
        (
            5,
            vec![
                (RequestOfClass(0), Action::Other("")),
                (RequestOfClass(0), Action::Attempt(1, 0)),
            ],
        ),
        (6, vec![(RequestOfClass(1), attempt_on(1))]),
        (
            7,
            vec![
                (RequestOfClass(0), attempt_on(0)),
                (AttemptFailed, attempt_on(1)),
                (AttemptFailed, attempt_on(2)),
                (AttemptFailed, attempt_on(4)),
                (AttemptFailed, attempt_on(5)),
            ],
        ),
    ]
}

#[test]
fn referee_reports_each_rule_that_a_script_breaks() {
    for (rule, script) in scripts() {
        let mut referee = Referee::new(mixed_policy_config());
        let endpoints: Vec<Endpoint> = (0..6).map(endpoint_at).collect();
        referee.on_endpoints(0.0, &endpoints);
        let mut checked = Ok(());
        for (step, (event, action)) in script.iter().enumerate() {
            let now = 1.0 + step as f64;
            event.apply(&mut referee, now, step);
            checked = checked.and(referee.check_action(now, action));
        }
        let violation = checked.expect_err("the script breaks a rule");
        assert_eq!(violation.rule(), Some(rule), "rule {rule}: {violation:?}");
    }
}
