//! Fair queueing: which class goes first, and the weights of classes.

use crate::common::{class, policy_config, request_with, RecordedActions};
use crate::support::{put_under_pressure, send_request, start_gateway, two_classes};
use ironstair::policy::Gateway;
use ironstair::{ClassPolicy, Effect, Outcome};

#[test]
fn class_with_least_work_over_weight_goes_first_and_then_the_next_that_fits() {
    let mut config = two_classes();
    config.classes[1].zones = Some(vec![1]);
    let mut gateway = start_gateway(config, 1);
    let now = put_under_pressure(&mut gateway, 0..8);
    for slot in 10..20 {
        assert_eq!(
            send_request(&mut gateway, now, slot, request_with(0, 100.0)).len(),
            1
        );
    }
    assert_eq!(
        send_request(&mut gateway, now, 20, request_with(1, 100.0)).len(),
        0,
        "no engine in its zone"
    );
    assert_eq!(
        send_request(&mut gateway, now, 21, request_with(0, 100.0)).len(),
        0,
        "the engine has reached its thread limit"
    );
    let mut actions = RecordedActions::default();
    gateway.on_attempt_ended(now + 10.0, 10, Outcome::Completed(None), true, &mut actions);
    assert_eq!(
        actions.attempts(),
        [(21, 0)],
        "class 1 was charged less, but no engine is in its zone"
    );
}

#[test]
fn idle_time_of_a_class_is_not_saved_up() {
    let mut gateway = start_gateway(
        policy_config(vec![class(1.0, 1.0, Effect::Idempotent); 2]),
        1,
    );
    let now = put_under_pressure(&mut gateway, 0..8);
    for slot in 10..26 {
        send_request(&mut gateway, now, slot, request_with(slot % 2, 100.0));
    }
    let (mut attempts_by_class, mut actions) = ([0, 0], RecordedActions::default());
    for slot in 10..18 {
        gateway.on_attempt_ended(
            now + 200.0,
            slot,
            Outcome::Completed(None),
            true,
            &mut actions,
        );
    }
    for (slot, _) in actions.attempts() {
        attempts_by_class[slot % 2] += 1;
    }
    // Class 0 ran alone before, and class 1 was idle: if idle time were saved up, class 1 would get all attempts.
    assert!(
        attempts_by_class[0] >= 3 && attempts_by_class[1] >= 3,
        "{attempts_by_class:?}"
    );
}

#[test]
fn class_without_requests_so_far_leaves_the_other_weights_unchanged() {
    // While the work of one class is unknown, the weights must still follow the work of the others.
    let mut config = two_classes();
    let mut gateway = start_gateway(config.clone(), 2);
    send_request(&mut gateway, 1.0, 0, request_with(0, 100.0));
    send_request(&mut gateway, 1.0, 1, request_with(1, 4000.0));
    let weights = |gateway: &Gateway| {
        (0..2)
            .map(|class| gateway.class_view(class).unwrap().weight)
            .collect::<Vec<_>>()
    };
    let before = weights(&gateway);
    config.classes.push(class(1.0, 1.0, Effect::Idempotent));
    gateway.update_config(2.0, config, &mut RecordedActions::default());
    assert_eq!((weights(&gateway), before[0]), (before, 0.01));
    send_request(&mut gateway, 3.0, 2, request_with(2, 300.0));
    assert!(
        (gateway.class_view(2).unwrap().typical_work - 300.0).abs() < 0.1,
        "its first request sets the mean"
    );
}

#[test]
fn class_out_of_service_from_the_start_leaves_the_other_weights_by_work() {
    // After a restart a class that is out of service never has a request.
    let mut config = two_classes();
    config.classes.push(ClassPolicy {
        out_of_service: true,
        ..class(1.0, 1.0, Effect::Idempotent)
    });
    let mut gateway = start_gateway(config, 2);
    send_request(&mut gateway, 1.0, 0, request_with(0, 100.0));
    send_request(&mut gateway, 1.0, 1, request_with(1, 4000.0));
    assert_eq!(
        (0..2)
            .map(|class| gateway.class_view(class).unwrap().weight)
            .collect::<Vec<_>>(),
        [0.01, 0.0015]
    );
}
