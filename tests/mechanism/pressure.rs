//! Engines under pressure: the thread limit, and requests that cannot meet their objective.

use crate::common::{endpoint_at, request_with, Action, RecordedActions};
use crate::support::{
    patient_request, put_under_pressure, send_request, start_gateway, two_classes,
};
use ironstair::{Outcome, PolicyConfig, Request};

#[test]
fn thread_limit_of_an_engine_applies_only_under_pressure() {
    for (under_pressure, expected) in [(false, 20), (true, 10)] {
        let mut gateway = start_gateway(two_classes(), 1);
        let now = if under_pressure {
            put_under_pressure(&mut gateway, 0..8)
        } else {
            1.0
        };
        let sent: usize = (0..20)
            .map(|slot| send_request(&mut gateway, now, slot, request_with(0, 100.0)).len())
            .sum();
        assert_eq!(sent, expected, "under pressure 8 cores x 2.5 / 2 gateways");
    }
}

#[test]
fn other_ready_engines_come_first_under_pressure_and_one_request_may_always_run() {
    let mut gateway = start_gateway(two_classes(), 1);
    let now = put_under_pressure(&mut gateway, 0..8);
    let heavy = patient_request(1, 4000.0);
    assert_eq!(
        send_request(&mut gateway, now, 10, heavy).len(),
        1,
        "no request of this gateway runs there"
    );
    assert_eq!(
        send_request(&mut gateway, now, 11, heavy).len(),
        1,
        "4 of 10 threads run"
    );
    assert_eq!(
        send_request(&mut gateway, now, 12, heavy).len(),
        1,
        "8 of 10 threads run"
    );
    assert_eq!(
        send_request(&mut gateway, now, 14, heavy).len(),
        0,
        "the engine has reached its thread limit"
    );
    gateway.update_endpoints(
        now,
        false,
        &[endpoint_at(1)],
        &mut RecordedActions::default(),
    );
    assert_eq!(
        send_request(&mut gateway, now, 13, heavy)
            .first()
            .map(|attempt| attempt.1),
        Some(1),
        "another engine is ready"
    );
}

#[test]
fn request_that_cannot_meet_its_objective_under_pressure_is_rejected_at_once() {
    let mut gateway = start_gateway(two_classes(), 1);
    let (now, mut actions) = (
        put_under_pressure(&mut gateway, 0..8),
        RecordedActions::default(),
    );
    gateway.on_request(
        now,
        9,
        Request {
            time_remaining: 600.0,
            ..request_with(0, 2000.0)
        },
        &mut actions,
    );
    assert_eq!(
        actions.attempts(),
        [],
        "it would keep the engine overloaded"
    );
    assert!(
        actions.contains(&Action::Reject(9, 0.0)),
        "rejected at once"
    );
    for slot in 10..20 {
        send_request(&mut gateway, now, slot, request_with(0, 100.0));
    }
    let short = Request {
        time_remaining: 1000.0,
        ..request_with(0, 100.0)
    };
    gateway.on_request(now, 20, short, &mut actions);
    gateway.on_request(
        now + 5.0,
        21,
        Request {
            is_retry: true,
            ..short
        },
        &mut actions,
    );
    assert!(
        !actions.contains(&Action::Reject(20, 0.0)),
        "a first try with little time remaining is queued"
    );
    assert!(
        actions.contains(&Action::Reject(21, 0.0)),
        "a retry has used up its objective"
    );
}

#[test]
fn gateway_keeps_to_its_thread_share_over_all_engines_without_a_memory_queue() {
    // Many gateways must not each send one query to every engine on which none of their own queries run.
    for (queues_when_memory_full, expected) in [(true, 10), (false, 5)] {
        let mut gateway = start_gateway(
            PolicyConfig {
                gateway_count: 40.0,
                queues_when_memory_full,
                ..two_classes()
            },
            10,
        );
        let (mut now, mut actions) = (1.0, RecordedActions::default());
        for duration in [100.0, 100.0, 100.0, 400.0, 400.0] {
            (0..30).for_each(|slot| {
                gateway.on_request(
                    now,
                    slot,
                    Request {
                        table_group: slot as u64,
                        ..request_with(0, 100.0)
                    },
                    &mut actions,
                );
            });
            now += duration;
            (0..30).for_each(|slot| {
                gateway.on_attempt_ended(now, slot, Outcome::Completed(None), true, &mut actions);
            });
            now += 1.0;
        }
        let request = |nth: usize| Request {
            table_group: nth as u64,
            ..request_with(0, 100.0)
        };
        let sent: usize = (0..60)
            .map(|slot| send_request(&mut gateway, now, slot, request(slot)).len())
            .sum();
        assert!(
            sent <= expected + 1 && sent >= expected - 1,
            "{sent} sent, expected {expected} by 80 cores x 2.5 / 40 gateways"
        );
        if !queues_when_memory_full {
            // Where engines have no priorities, the class of highest weight must not wait behind those that use up the share.
            assert_eq!(
                send_request(&mut gateway, now, 70, request_with(1, 100.0)).len(),
                1,
                "six times the weight"
            );
        }
    }
}

#[test]
fn missing_time_counts_as_spent_where_clients_do_not_mark_retries() {
    // Requests that waited while the gateway made no progress must not displace those that can meet their objective.
    // Clients with short deadlines send less time than the objective from the start, and are served.
    let mut gateway = start_gateway(
        PolicyConfig {
            retries_are_marked: false,
            ..two_classes()
        },
        1,
    );
    let now = put_under_pressure(&mut gateway, 0..8);
    for slot in 10..20 {
        send_request(&mut gateway, now, slot, request_with(0, 100.0));
    }
    let mut actions = RecordedActions::default();
    gateway.on_request(
        now,
        20,
        Request {
            time_remaining: 1500.0,
            ..request_with(0, 100.0)
        },
        &mut actions,
    );
    assert!(
        actions.contains(&Action::Reject(20, 0.0)),
        "1.5 s of 3 s are spent, the objective is 0.7 s"
    );
    gateway.on_request(
        now,
        21,
        Request {
            time_remaining: 2900.0,
            ..request_with(0, 100.0)
        },
        &mut actions,
    );
    gateway.on_request(
        now,
        22,
        Request {
            time_remaining: 600.0,
            ..request_with(0, 100.0)
        },
        &mut actions,
    );
    assert!(
        !actions.contains(&Action::Reject(21, 0.0)) && !actions.contains(&Action::Reject(22, 0.0))
    );
}
