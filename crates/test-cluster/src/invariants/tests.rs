use super::{violations, AnswerKind, CallId, LogEntry, Observation, Violation};

fn id(call: u64) -> CallId {
    CallId {
        client: 0,
        connection: 1,
        call,
    }
}

fn requested(call: u64) -> Observation {
    let id = id(call);
    let class = "post";
    Observation::Requested { id, class }
}

fn answered(call: u64) -> Observation {
    let id = id(call);
    let kind = AnswerKind::Rows;
    Observation::Answered { id, kind }
}

fn attempted(request_id: &str, engine: usize) -> Observation {
    Observation::AttemptReceived {
        gateway: 2,
        engine,
        request_id: request_id.into(),
        class: "post".into(),
    }
}

const FORBIDDEN: Observation = Observation::EngineForbidden {
    engine: 1,
    class: "post",
};
const ALLOWED: Observation = Observation::EngineAllowed {
    engine: 1,
    class: "post",
};
const CLOSED: Observation = Observation::ConnectionClosed {
    client: 0,
    connection: 1,
};
const KILLED: Observation = Observation::GatewayKilled { gateway: 0 };

/// Checks a log in which the observations are one millisecond apart.
fn assert_violations(observations: Vec<Observation>, expected: &[Violation]) {
    let entries: Vec<LogEntry> = observations
        .into_iter()
        .enumerate()
        .map(|(index, observation)| LogEntry {
            at_ms: index as f64,
            observation,
        })
        .collect();
    assert_eq!(violations(&entries, &["post"]), expected, "{entries:?}");
}

#[test]
fn clean_run_has_no_violation() {
    assert_violations(vec![requested(1), attempted("x", 1), answered(1)], &[]);
}

#[test]
fn second_or_unrequested_answer_is_a_duplicate_answer() {
    let duplicate = |call| Violation::DuplicateAnswer { client: 0, call };
    assert_violations(
        vec![requested(1), answered(1), answered(1)],
        &[duplicate(1)],
    );
    assert_violations(vec![answered(7)], &[duplicate(7)]);
}

#[test]
fn call_without_answer_is_a_missing_answer_unless_its_gateway_was_killed() {
    let missing = [Violation::MissingAnswer { client: 0, call: 1 }];
    assert_violations(vec![requested(1), requested(2), answered(2)], &missing);
    assert_violations(vec![requested(1), CLOSED], &missing);
    assert_violations(vec![requested(1), KILLED, CLOSED], &[]);
}

#[test]
fn second_attempt_of_an_exactly_once_class_is_a_duplicate_execution() {
    let request_id = "x".into();
    assert_violations(
        vec![attempted("x", 0), attempted("x", 1)],
        &[Violation::DuplicateExecution { request_id }],
    );
}

#[test]
fn attempt_at_a_forbidden_engine_is_a_stale_policy_until_it_is_allowed_again() {
    let stale = Violation::StalePolicy {
        gateway: 2,
        at_ms: 3.0,
        replaced_at_ms: 1.0,
    };
    assert_violations(
        vec![
            attempted("x", 0),
            FORBIDDEN,
            attempted("y", 0),
            attempted("z", 1),
        ],
        &[stale],
    );
    assert_violations(vec![FORBIDDEN, ALLOWED, attempted("z", 1)], &[]);
}
