//! A gateway with ready engines, and traffic that brings it into a known state.

use crate::common::{class, endpoint_at, policy_config, request_with, RecordedActions};
use ironstair::policy::Gateway;
use ironstair::{Cost, Effect, Millis, Outcome, PolicyConfig, Request};

/// A gateway with this number of ready engines.
pub(crate) fn start_gateway(config: PolicyConfig, engine_count: usize) -> Gateway {
    let mut gateway = Gateway::new(config, 1);
    gateway.update_endpoints(
        0.0,
        true,
        &(0..engine_count).map(endpoint_at).collect::<Vec<_>>(),
        &mut RecordedActions::default(),
    );
    gateway
}

pub(crate) fn two_classes() -> PolicyConfig {
    policy_config(vec![
        class(1.0, 1.0, Effect::Idempotent),
        class(6.0, 4.0, Effect::Idempotent),
    ])
}

/// Completes requests in these slots quickly at first, then slowly, so that the engines are under pressure. Returns the
/// time at the end.
pub(crate) fn put_under_pressure(gateway: &mut Gateway, slots: std::ops::Range<usize>) -> Millis {
    let (mut now, mut actions) = (1.0, RecordedActions::default());
    for duration in [100.0, 100.0, 100.0, 400.0, 400.0] {
        slots
            .clone()
            .for_each(|slot| gateway.on_request(now, slot, request_with(0, 100.0), &mut actions));
        now += duration;
        slots.clone().for_each(|slot| {
            gateway.on_attempt_ended(now, slot, Outcome::Completed(None), true, &mut actions);
        });
        now += 1.0;
    }
    now
}

/// Passes one request to the gateway, and returns the slot and the engine of each attempt that starts.
pub(crate) fn send_request(
    gateway: &mut Gateway,
    now: Millis,
    slot: usize,
    request: Request,
) -> Vec<(usize, usize)> {
    let mut actions = RecordedActions::default();
    gateway.on_request(now, slot, request, &mut actions);
    actions.attempts()
}

/// Completes this many requests one after the other, so that pace, work and memory are known. Returns the time at the
/// end.
pub(crate) fn complete_requests(
    gateway: &mut Gateway,
    count: usize,
    request: impl Fn(usize) -> Request,
    cost: impl Fn(usize) -> Cost,
) -> Millis {
    let (mut now, mut actions) = (1.0, RecordedActions::default());
    for nth in 0..count {
        gateway.on_request(now, 0, request(nth), &mut actions);
        now += 60.0;
        gateway.on_attempt_ended(
            now,
            0,
            Outcome::Completed(Some(cost(nth))),
            true,
            &mut actions,
        );
    }
    now
}

/// A request with 20 s until its deadline.
pub(crate) fn patient_request(class: usize, work: Millis) -> Request {
    Request {
        time_remaining: 20_000.0,
        ..request_with(class, work)
    }
}
