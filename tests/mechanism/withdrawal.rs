//! Attempts that are withdrawn and retried, and the latest time at which an attempt may start.

use crate::common::{class, policy_config, request_with, Action, RecordedActions};
use crate::support::{complete_requests, patient_request, send_request, start_gateway};
use ironstair::policy::Gateway;
use ironstair::{Cost, DedupScope, Effect, Outcome, PolicyConfig};

#[test]
fn overtaken_attempt_slows_no_other_and_is_retried_where_its_class_allows() {
    // An answer that gets lost must neither make its engine look overloaded nor keep its client waiting in vain.
    for effect in [Effect::Idempotent, Effect::NonIdempotent] {
        let config = PolicyConfig {
            may_withdraw: true,
            ..policy_config(vec![class(1.0, 1.0, effect)])
        };
        let (mut gateway, mut actions, mut now) =
            (start_gateway(config, 1), RecordedActions::default(), 1.0);
        let request = patient_request(0, 100.0);
        assert_eq!(send_request(&mut gateway, now, 0, request).len(), 1);
        while now < 900.0 && !actions.contains(&Action::Other("withdraw")) {
            gateway.on_request(now, 1, request, &mut actions);
            now += 50.0;
            gateway.on_attempt_ended(now, 1, Outcome::Completed(None), true, &mut actions);
        }
        assert_eq!(
            actions.contains(&Action::Other("withdraw")),
            effect == Effect::Idempotent
        );
        let in_time = 250.0..700.0;
        assert!(
            effect != Effect::Idempotent || in_time.contains(&now),
            "withdrawn after five times its usual 50 ms, in time for a retry: {now}"
        );
        if effect == Effect::Idempotent {
            let mut actions = RecordedActions::default();
            gateway.on_attempt_ended(now, 0, Outcome::Withdrawn, false, &mut actions);
            assert_eq!(
                actions.attempts(),
                [(0, 0)],
                "a late attempt is still useful without pressure"
            );
        }
        let sent = (2..40)
            .map(|slot| send_request(&mut gateway, now, slot, request).len())
            .sum::<usize>();
        assert_eq!(sent, 38, "the engine is not under pressure");
    }
}

#[test]
fn attempt_with_a_bad_plan_is_withdrawn_by_its_progress_and_slows_no_other() {
    // An engine plans each attempt anew, and one with a bad plan takes many times as long. It must not hold the engine's
    // threads, miss its deadline and make the engine look overloaded.
    for (may_withdraw, effect) in [
        (true, Effect::Idempotent),
        (true, Effect::NonIdempotent),
        (false, Effect::Idempotent),
    ] {
        let config = PolicyConfig {
            may_withdraw,
            ..policy_config(vec![class(1.0, 1.0, effect)])
        };
        let mut gateway = start_gateway(config, 2);
        let now = complete_requests(
            &mut gateway,
            30,
            |_| request_with(0, 100.0),
            |_| Cost {
                work: 100.0,
                memory_mb: 0.0,
            },
        );
        let request = patient_request(0, 1000.0);
        assert_eq!(send_request(&mut gateway, now, 1, request).len(), 1);
        let mut actions = RecordedActions::default();
        gateway.on_progress(now + 300.0, 1, 0.3, &mut actions);
        assert!(
            !actions.contains(&Action::Other("withdraw")),
            "as fast as other attempts"
        );
        gateway.on_progress(now + 301.0, 1, 0.0, &mut actions);
        gateway.on_progress(now + 600.0, 1, f64::NAN, &mut actions);
        assert!(
            !actions.contains(&Action::Other("withdraw")),
            "reports of no progress, or without a number"
        );
        gateway.on_attempt_ended(now + 900.0, 1, Outcome::Completed(None), true, &mut actions);
        let engine = send_request(&mut gateway, now + 1000.0, 2, request)[0].1;
        let slowdown = |gateway: &Gateway| gateway.engine_view(engine).unwrap().slowdown;
        let slowdown_before = slowdown(&gateway);
        gateway.on_progress(now + 1300.0, 2, 0.02, &mut actions);
        let is_retried = may_withdraw && effect == Effect::Idempotent;
        assert_eq!(
            actions.contains(&Action::Other("withdraw")),
            is_retried,
            "{effect:?}"
        );
        if is_retried {
            let mut actions = RecordedActions::default();
            assert!(
                slowdown(&gateway) <= slowdown_before,
                "not counted in the engine's pace"
            );
            gateway.on_attempt_ended(now + 1301.0, 2, Outcome::Withdrawn, false, &mut actions);
            assert_eq!(actions.attempts().len(), 1);
        }
    }
}

// Rule 2: an attempt that is decided in time may be delayed until its deduplication window, its lease or its deadline
// has ended. So it carries the latest time at which it may start.
#[test]
fn attempt_carries_the_latest_time_at_which_it_may_start() {
    let start_before = |actions: &RecordedActions| {
        actions.0.iter().find_map(|action| {
            if let Action::StartBefore(time) = action {
                Some(*time)
            } else {
                None
            }
        })
    };
    for (effect, lease_until, expected) in [
        (Effect::Deduplicated(DedupScope::AllEngines), 1e9, 1001.0),
        (Effect::Idempotent, 1e9, 3001.0),
        (Effect::Idempotent, 700.0, 700.0),
        (Effect::Deduplicated(DedupScope::AllEngines), 700.0, 700.0),
    ] {
        let mut gateway = start_gateway(policy_config(vec![class(1.0, 1.0, effect)]), 2);
        let mut actions = RecordedActions::default();
        gateway.on_request(1.0, 0, request_with(0, 100.0), &mut actions);
        assert_eq!(
            start_before(&actions),
            Some(3001.0),
            "a first attempt may start until the deadline"
        );
        gateway.renew_lease(2.0, lease_until, &mut RecordedActions::default());
        let mut actions = RecordedActions::default();
        gateway.on_attempt_ended(100.0, 0, Outcome::EngineError, false, &mut actions);
        assert_eq!(
            start_before(&actions),
            Some(expected),
            "{effect:?}, lease until {lease_until}"
        );
    }
}
