//! Engines that fail are ejected, and return when they have recovered.

use crate::common::{endpoint_at, request_with, RecordedActions};
use crate::support::{send_request, start_gateway, two_classes};
use ironstair::policy::Gateway;
use ironstair::{Endpoint, Millis, Outcome, Request};

/// Sends this many requests, each once the one before has ended. `attempt_end` is given the request's number and the
/// engine, and returns how long the attempt takes and how it ends. Returns all actions as text.
fn send_one_by_one(
    gateway: &mut Gateway,
    now: &mut Millis,
    count: u64,
    mut attempt_end: impl FnMut(u64, usize) -> (Millis, Outcome),
) -> String {
    let mut action_log = String::new();
    for nth in 0..count {
        let mut actions = RecordedActions::default();
        gateway.on_request(
            *now,
            0,
            Request {
                table_group: nth % 9,
                ..request_with(0, 100.0)
            },
            &mut actions,
        );
        while let Some((slot, engine)) = actions.attempts().last().copied() {
            action_log += &format!("{:?}", std::mem::take(&mut actions.0));
            let (duration, outcome) = attempt_end(nth, engine);
            *now += duration;
            gateway.on_attempt_ended(
                *now,
                slot,
                outcome,
                outcome == Outcome::Completed(None),
                &mut actions,
            );
        }
    }
    action_log
}

#[test]
fn failing_engine_is_ejected_and_returns_by_recovery_probes() {
    let (mut gateway, mut now) = (start_gateway(two_classes(), 3), 1.0);
    let (mut failed_attempts, mut attempts_after_recovery) = (0, 0);
    let action_log = send_one_by_one(&mut gateway, &mut now, 430, |nth, engine| {
        attempts_after_recovery += (engine == 1 && nth >= 400) as u32;
        if engine != 1 || nth >= 200 {
            return (50.0, Outcome::Completed(None));
        }
        failed_attempts += 1;
        (10.0, Outcome::EngineError)
    });
    assert!(action_log.contains(" ejected: "), "{action_log}");
    assert!(
        failed_attempts < 20,
        "{failed_attempts} attempts on the failing engine"
    );
    assert!(
        attempts_after_recovery > 3,
        "the engine gets attempts again"
    );
}

#[test]
fn connection_lost_by_a_peer_attempt_ejects_no_engine_and_a_replaced_engine_is_not_ejected() {
    let (mut gateway, mut now) = (start_gateway(two_classes(), 3), 1.0);
    let engine_1_ends_with = |outcome| {
        move |_, engine| {
            (
                10.0,
                if engine == 1 {
                    outcome
                } else {
                    Outcome::Completed(None)
                },
            )
        }
    };
    let action_log = send_one_by_one(
        &mut gateway,
        &mut now,
        200,
        engine_1_ends_with(Outcome::ConnectionLostByPeerAttempt),
    );
    assert!(!action_log.contains(" ejected: "), "{action_log}");
    let action_log = send_one_by_one(
        &mut gateway,
        &mut now,
        60,
        engine_1_ends_with(Outcome::ConnectionLost),
    );
    assert!(action_log.contains(" ejected: "), "{action_log}");
    gateway.update_endpoints(
        now,
        false,
        &[Endpoint {
            id: 99,
            ..endpoint_at(1)
        }],
        &mut RecordedActions::default(),
    );
    let mut attempts_on_replacement = 0;
    send_one_by_one(&mut gateway, &mut now, 9, |_, engine| {
        attempts_on_replacement += (engine == 1) as u32;
        (10.0, Outcome::Completed(None))
    });
    assert!(
        attempts_on_replacement > 1,
        "a new engine with the index of an ejected one"
    );
}

#[test]
fn unreachable_half_of_the_engines_is_ejected() {
    let (mut gateway, mut now, mut late_failures) = (start_gateway(two_classes(), 4), 1.0, 0);
    send_one_by_one(&mut gateway, &mut now, 200, |nth, engine| {
        late_failures += (engine % 2 == 0 && nth >= 100) as u32;
        [
            (250.0, Outcome::ConnectFailed),
            (100.0, Outcome::Completed(None)),
        ][engine % 2]
    });
    assert!(
        late_failures < 15,
        "{late_failures} attempts of the last 100 requests on an unreachable engine"
    );
}

#[test]
fn outcomes_of_an_earlier_process_of_an_engine_do_not_count_against_the_new_one() {
    let mut gateway = start_gateway(two_classes(), 2);
    let sent: Vec<(usize, usize)> = (0..40)
        .flat_map(|slot| send_request(&mut gateway, 1.0, slot, request_with(0, 100.0)))
        .collect();
    let endpoints: Vec<Endpoint> = (0..2)
        .map(|engine| Endpoint {
            started_at: 5.0,
            ..endpoint_at(engine)
        })
        .collect();
    gateway.update_endpoints(6.0, true, &endpoints, &mut RecordedActions::default());
    for (slot, _) in sent {
        gateway.on_attempt_ended(
            7.0,
            slot,
            Outcome::ConnectionLost,
            true,
            &mut RecordedActions::default(),
        );
    }
    let views: Vec<_> = (0..2)
        .map(|engine| gateway.engine_view(engine).unwrap())
        .collect();
    assert!(
        views
            .iter()
            .all(|view| (view.outcomes_seen, view.threads) == (0, 0.0)),
        "{views:?}"
    );
}
