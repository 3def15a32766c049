//! Checks the policy with the referee on generated events.

use crate::common::mixed_policy_config;
use crate::event_player::{EventPlayer, GeneratedEvent};
use ironstair::{LoadMetric, PolicyConfig};
use quickcheck::{Gen, QuickCheck, TestResult};

/// One of four deployments, selected by two bits. The first bit selects few gateways or hundreds. The second one selects
/// engines that allow withdrawals and queue for memory, or engines that do neither; then clients do not mark retries,
/// and the non-idempotent class keeps key order, pins its table groups and is restricted to one machine type.
fn deployment(bits: u8) -> PolicyConfig {
    let mut config = mixed_policy_config();
    config.gateway_count = if bits & 1 == 0 { 2.0 } else { 300.0 };
    if bits & 2 != 0 {
        config.may_withdraw = false;
        config.queues_when_memory_full = false;
        config.retries_are_marked = false;
        config.honors_memory_grants = true;
        config.may_probe = true;
        config.report_fields = vec![LoadMetric::HeldQueries];
        let non_idempotent = &mut config.classes[1];
        non_idempotent.preserves_key_order = true;
        non_idempotent.pins_table_group = true;
        non_idempotent.zones = None;
        non_idempotent.machine_types = Some(vec![1]);
    }
    config
}

fn keeps_the_rules(events: Vec<GeneratedEvent>, deployment_bits: u8) -> TestResult {
    let mut player = EventPlayer::new(deployment(deployment_bits));
    let checked = events
        .into_iter()
        .try_for_each(|event| player.play(event))
        .and_then(|()| player.finish());
    match checked {
        Ok(()) => TestResult::passed(),
        Err(violation) => TestResult::error(format!("{violation:?}")),
    }
}

#[test]
fn policy_keeps_the_rules_on_generated_events() {
    let generator = Gen::from_size_and_seed(400, 11);
    let check = keeps_the_rules as fn(Vec<GeneratedEvent>, u8) -> TestResult;
    QuickCheck::new()
        .rng(generator)
        .tests(200)
        .quickcheck(check);
}
