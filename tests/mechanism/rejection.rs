//! Requests that are rejected or failed without a further attempt.

use crate::common::{class, policy_config, request_with, Action, RecordedActions};
use crate::support::{
    patient_request, put_under_pressure, send_request, start_gateway, two_classes,
};
use ironstair::policy::Gateway;
use ironstair::{Effect, Millis, Outcome, PolicyConfig, Request};

#[test]
fn request_without_an_engine_is_rejected_with_the_time_after_which_to_retry() {
    let mut config = two_classes();
    config.max_retry_after = 700.0;
    let mut gateway = Gateway::new(config, 1);
    let mut actions = RecordedActions::default();
    gateway.on_request(0.0, 0, request_with(0, 100.0), &mut actions);
    gateway.on_timer(650.0, &mut actions);
    assert!(
        actions.contains(&Action::Reject(0, 700.0)),
        "{:?}",
        actions.0
    );
}

#[test]
fn open_requests_are_answered_before_the_gateway_shuts_down() {
    let mut gateway = start_gateway(two_classes(), 2);
    assert_eq!(
        send_request(&mut gateway, 1.0, 0, patient_request(1, 4000.0)).len(),
        1
    );
    let mut actions = RecordedActions::default();
    gateway.begin_shutdown(2.0, 3000.0, &mut actions);
    assert_eq!(actions.rejections(), 0, "not earlier than necessary");
    gateway.on_timer(2995.0, &mut actions);
    assert!(actions.contains(&Action::Reject(0, 0.0)), "{:?}", actions.0);
}

/// The times after which rejected clients may retry, in ms.
fn retry_delays(actions: &RecordedActions) -> Vec<Millis> {
    let retry_delay = |action: &Action| match action {
        Action::Reject(_, retry_after) => Some(*retry_after),
        _ => None,
    };
    actions.0.iter().filter_map(retry_delay).collect()
}

/// The number of rejections with a retry delay between half of the longest one, 700 ms, and all of it.
fn rejections_with_spread_delay(actions: &RecordedActions) -> usize {
    let delays = retry_delays(actions);
    let in_range = delays
        .iter()
        .filter(|delay| (350.0..=700.0).contains(*delay));
    in_range.count()
}

#[test]
fn queued_requests_are_rejected_when_the_lease_ends_and_running_ones_continue() {
    let mut gateway = start_gateway(
        PolicyConfig {
            max_retry_after: 700.0,
            may_withdraw: true,
            ..two_classes()
        },
        1,
    );
    let now = put_under_pressure(&mut gateway, 0..8);
    // While this process was stalled and ran no timer, its configuration may have been replaced.
    gateway.renew_lease(now, now + 100.0, &mut RecordedActions::default());
    let sent: Vec<usize> = (0..20)
        .flat_map(|slot| send_request(&mut gateway, now, slot, request_with(0, 100.0)))
        .map(|attempt| attempt.0)
        .collect();
    assert!(
        (1..20).contains(&sent.len()),
        "{sent:?} run, the others are queued"
    );
    let mut actions = RecordedActions::default();
    gateway.on_request(now + 100.0, 20, request_with(0, 100.0), &mut actions);
    assert_eq!(
        (
            actions.attempts().len(),
            rejections_with_spread_delay(&actions)
        ),
        (0, 21 - sent.len()),
        "{:?}",
        actions.0
    );
    // The delays are spread, so that the clients do not all retry at the same moment.
    let delays = retry_delays(&actions);
    let shortest = delays.iter().copied().fold(700.0, f64::min);
    let longest = delays.iter().copied().fold(0.0, f64::max);
    assert!(longest - shortest > 100.0, "{delays:?}");
    // Without a lease a failed attempt is not retried: its client is answered at once.
    let mut actions = RecordedActions::default();
    gateway.on_attempt_ended(
        now + 101.0,
        sent[0],
        Outcome::EngineError,
        false,
        &mut actions,
    );
    assert_eq!(
        (
            actions.attempts().len(),
            rejections_with_spread_delay(&actions)
        ),
        (0, 1),
        "{:?}",
        actions.0
    );
    gateway.renew_lease(now + 102.0, now + 200.0, &mut RecordedActions::default());
    assert_eq!(
        send_request(&mut gateway, now + 103.0, 30, request_with(0, 100.0)).len(),
        1,
        "requests are accepted with a new lease"
    );
}

#[test]
fn keys_are_quarantined_after_a_start_without_a_snapshot_and_nothing_else_waits() {
    let mut config = two_classes();
    config.classes[0].preserves_key_order = true;
    let mut gateway = start_gateway(config, 1);
    gateway.quarantine_keys(500.0);
    let keyed = Request {
        key: 7,
        ..request_with(0, 100.0)
    };
    assert_eq!(
        send_request(&mut gateway, 10.0, 0, keyed),
        [],
        "an earlier process of the gateway may have left an attempt in flight"
    );
    assert_eq!(
        send_request(&mut gateway, 11.0, 1, request_with(0, 100.0)).len(),
        1
    );
    let mut actions = RecordedActions::default();
    gateway.on_timer(499.0, &mut actions);
    assert_eq!(actions.attempts(), []);
    gateway.on_timer(500.0, &mut actions);
    assert_eq!(actions.attempts().len(), 1);
}

#[test]
fn no_further_attempt_starts_for_a_closed_client() {
    for (is_in_flight, final_answer) in [(false, Action::Reject(0, 0.0)), (true, Action::Fail(0))] {
        let mut gateway = start_gateway(
            policy_config(vec![class(1.0, 1.0, Effect::NonIdempotent)]),
            2,
        );
        if !is_in_flight {
            // All engines are full: the request is queued.
            for slot in 10..18 {
                send_request(&mut gateway, 1.0, slot, request_with(0, 100.0));
            }
            (10..18).for_each(|slot| {
                gateway.on_attempt_ended(
                    2.0,
                    slot,
                    Outcome::Rejected,
                    false,
                    &mut RecordedActions::default(),
                );
            });
        }
        assert_eq!(
            send_request(&mut gateway, 3.0, 0, request_with(0, 100.0)).len(),
            is_in_flight as usize
        );
        let mut actions = RecordedActions::default();
        gateway.on_client_closed(4.0, 0, &mut actions);
        assert_eq!(
            actions.contains(&final_answer),
            !is_in_flight,
            "an attempt in flight may still be answered: {:?}",
            actions.0
        );
        gateway.on_attempt_ended(5.0, 0, Outcome::EngineError, false, &mut actions);
        assert!(
            actions.contains(&final_answer)
                && actions.attempts().iter().all(|attempt| attempt.0 != 0),
            "{:?}",
            actions.0
        );
    }
}
