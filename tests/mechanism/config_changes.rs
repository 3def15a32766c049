//! Changes of the configuration apply to open requests.

use crate::common::{class, policy_config, request_with, Action, RecordedActions};
use crate::support::{put_under_pressure, send_request, start_gateway, two_classes};
use ironstair::policy::Gateway;
use ironstair::{DedupScope, Effect, Millis, Outcome, RetryBudget};

#[test]
fn tighter_retry_budget_applies_at_once_and_a_looser_one_still_counts_earlier_retries() {
    let mut config = two_classes();
    config.retry_budget = Some(RetryBudget {
        min_retries: 2.0,
        retry_ratio: 0.0,
        window: 2000.0,
    });
    config.max_attempts = 9;
    let mut gateway = start_gateway(config.clone(), 4);
    let mut actions = RecordedActions::default();
    let mut fail_attempt = |gateway: &mut Gateway, now: Millis| {
        let before = actions.attempts().len();
        gateway.on_attempt_ended(now, 0, Outcome::EngineError, false, &mut actions);
        actions.attempts().len() - before
    };
    send_request(&mut gateway, 1.0, 0, request_with(0, 100.0));
    assert_eq!(fail_attempt(&mut gateway, 2.0), 1);
    config.retry_budget = Some(RetryBudget {
        min_retries: 1.0,
        retry_ratio: 0.0,
        window: 2000.0,
    });
    gateway.update_config(3.0, config.clone(), &mut RecordedActions::default());
    assert_eq!(
        fail_attempt(&mut gateway, 4.0),
        0,
        "the budget allows one retry within the window, and it is used"
    );
    config.retry_budget = Some(RetryBudget {
        min_retries: 2.0,
        retry_ratio: 0.0,
        window: 2000.0,
    });
    let mut actions = RecordedActions::default();
    gateway.update_config(5.0, config, &mut actions);
    assert_eq!(
        actions.attempts().len(),
        1,
        "of the two allowed retries the first one still counts"
    );
    gateway.on_attempt_ended(6.0, 0, Outcome::EngineError, false, &mut actions);
    assert_eq!(actions.attempts().len(), 1);
}

#[test]
fn class_out_of_service_rejects_new_requests_and_keeps_its_queued_ones() {
    let mut config = two_classes();
    let mut gateway = start_gateway(config.clone(), 1);
    let now = put_under_pressure(&mut gateway, 0..8);
    let sent: usize = (0..12)
        .map(|slot| send_request(&mut gateway, now, slot, request_with(0, 100.0)).len())
        .sum();
    assert_eq!(sent, 10, "two are queued");
    config.classes[0].out_of_service = true;
    let mut actions = RecordedActions::default();
    gateway.update_config(now, config.clone(), &mut actions);
    gateway.on_request(now, 12, request_with(0, 100.0), &mut actions);
    assert_eq!(
        (
            actions.rejections(),
            actions.contains(&Action::Reject(12, 0.0))
        ),
        (1, true)
    );
    gateway.on_attempt_ended(now + 1.0, 0, Outcome::Completed(None), true, &mut actions);
    assert_eq!(actions.attempts().len(), 1, "queued requests continue");
    config.classes[0].out_of_service = false;
    gateway.update_config(now + 2.0, config, &mut actions);
    gateway.on_request(now + 2.0, 12, request_with(0, 100.0), &mut actions);
    assert_eq!(
        actions.rejections(),
        1,
        "accepts again once it is back in service"
    );
}

#[test]
fn deduplication_window_is_the_shorter_of_old_and_new() {
    for (old_window, new_window, retries) in
        [(1000.0, 1000.0, 1), (1000.0, 100.0, 0), (100.0, 1000.0, 0)]
    {
        let mut config = policy_config(vec![class(
            1.0,
            1.0,
            Effect::Deduplicated(DedupScope::AllEngines),
        )]);
        config.classes[0].dedup_window = old_window;
        let mut gateway = start_gateway(config.clone(), 2);
        send_request(&mut gateway, 1.0, 0, request_with(0, 100.0));
        config.classes[0].dedup_window = new_window;
        let mut actions = RecordedActions::default();
        gateway.update_config(2.0, config, &mut actions);
        gateway.on_attempt_ended(500.0, 0, Outcome::EngineError, false, &mut actions);
        assert_eq!(
            actions.attempts().len(),
            retries,
            "window changed from {old_window} ms to {new_window} ms"
        );
    }
}
