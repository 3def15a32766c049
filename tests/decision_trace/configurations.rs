//! The classes and policy configurations of the scenarios.

use crate::random::Random;
use ironstair::{
    ClassPolicy, DedupScope, Effect, LoadMetric, MachineType, PolicyConfig, RetryBudget,
};

pub(crate) fn class_policy(
    value: f64,
    threads: f64,
    base_objective: f64,
    effect: Effect,
) -> ClassPolicy {
    ClassPolicy {
        base_objective,
        objective_per_work: 2.0,
        value,
        threads,
        effect,
        dedup_window: 1500.0,
        ..Default::default()
    }
}

/// Two gateways with three machine types, a retry budget and a subscription to discovery; the
/// engines honor priorities, queue for memory and allow withdrawals.
pub(crate) fn base_config(classes: Vec<ClassPolicy>) -> PolicyConfig {
    let machine_types = [(8.0, 8192.0), (16.0, 32768.0), (4.0, 4096.0)];
    PolicyConfig {
        gateway_count: 2.0,
        classes,
        machine_types: machine_types
            .map(|(cores, memory_mb)| MachineType { cores, memory_mb })
            .to_vec(),
        max_memory_grant: 0.5,
        honors_priorities: true,
        queues_when_memory_full: true,
        retries_are_marked: true,
        may_withdraw: true,
        max_retry_after: 700.0,
        max_attempts: 4,
        must_subscribe: true,
        slow_start_from: 0.3,
        slow_start_duration: 8000.0,
        overload_factor: 3.0,
        overload_window: 1000.0,
        retry_budget: Some(RetryBudget {
            min_retries: 3.0,
            retry_ratio: 0.1,
            window: 2000.0,
        }),
        key_quarantine: 300.0,
        clock_resolution: 5.0,
        ..Default::default()
    }
}

/// A class of each effect, with key order, zones and machine types.
pub(crate) fn classes_of_each_effect() -> PolicyConfig {
    let mut config = base_config(vec![
        class_policy(1.0, 1.0, 400.0, Effect::Idempotent),
        class_policy(6.0, 4.0, 3000.0, Effect::NonIdempotent),
        class_policy(
            2.0,
            1.0,
            500.0,
            Effect::Deduplicated(DedupScope::AllEngines),
        ),
        class_policy(2.0, 2.0, 500.0, Effect::Deduplicated(DedupScope::Zone)),
        class_policy(
            3.0,
            1.0,
            600.0,
            Effect::Deduplicated(DedupScope::DedupDomain),
        ),
    ]);
    config.classes[0].preserves_key_order = true;
    config.classes[2].preserves_key_order = true;
    config.classes[1].zones = Some(vec![0]);
    config.classes[3].machine_types = Some(vec![1, 2]);
    config
}

/// Engines that honor priorities and memory grants, and no retry budget.
pub(crate) fn priorities_and_grants() -> PolicyConfig {
    let mut config = base_config(vec![
        class_policy(1.0, 1.0, 300.0, Effect::Idempotent),
        class_policy(9.0, 4.0, 4000.0, Effect::Idempotent),
        class_policy(4.0, 2.0, 1000.0, Effect::NonIdempotent),
    ]);
    config.gateway_count = 3.0;
    config.honors_memory_grants = true;
    config.max_memory_grant = 0.25;
    config.classes[2].pins_table_group = true;
    config.retry_budget = None;
    config
}

/// Engines that do not queue for memory, ignore priorities and allow no withdrawals; clients do not
/// mark retries.
pub(crate) fn without_memory_queue() -> PolicyConfig {
    let mut config = base_config(vec![
        class_policy(1.0, 1.0, 300.0, Effect::Idempotent),
        class_policy(5.0, 6.0, 3000.0, Effect::Deduplicated(DedupScope::Zone)),
        class_policy(2.0, 2.0, 800.0, Effect::NonIdempotent),
    ]);
    config.gateway_count = 4.0;
    config.queues_when_memory_full = false;
    config.retries_are_marked = false;
    config.may_withdraw = false;
    config.must_subscribe = false;
    config.honors_priorities = false;
    config.honors_memory_grants = true;
    config.max_attempts = 3;
    config.classes[2].preserves_key_order = true;
    config.classes[2].machine_types = Some(vec![0, 1]);
    config.report_fields = vec![LoadMetric::HeldQueries, LoadMetric::Other];
    config
}

/// Each of 300 gateways has a small share of the engines and may probe them.
pub(crate) fn hundreds_of_gateways() -> PolicyConfig {
    let mut config = base_config(vec![
        class_policy(1.0, 1.0, 400.0, Effect::Idempotent),
        class_policy(
            8.0,
            4.0,
            4000.0,
            Effect::Deduplicated(DedupScope::AllEngines),
        ),
        class_policy(2.0, 2.0, 900.0, Effect::NonIdempotent),
    ]);
    config.gateway_count = 300.0;
    config.may_probe = true;
    config.honors_memory_grants = true;
    config.report_fields = vec![
        LoadMetric::Utilization,
        LoadMetric::Other,
        LoadMetric::HeldQueries,
    ];
    config.classes[0].preserves_key_order = true;
    config
}

/// The configuration after a change: a class out of service or back, other limits, or a further
/// class.
pub(crate) fn changed_config(mut config: PolicyConfig, random: &mut Random) -> PolicyConfig {
    let class_count = config.classes.len();
    let has_many_gateways = config.gateway_count >= 100.0;
    let class_index = random.below(class_count as u64) as usize;
    let class = &mut config.classes[class_index];
    match random.below(10) {
        0 | 1 => class.out_of_service = !class.out_of_service,
        2 => class.dedup_window = random.between(100.0, 4000.0),
        3 => {
            class.zones = [None, Some(vec![0]), Some(vec![1])][random.below(3) as usize].clone();
        }
        4 => {
            class.machine_types =
                [None, Some(vec![0, 2]), Some(vec![1])][random.below(3) as usize].clone();
        }
        5 => {
            class.value = random.between(0.5, 9.0);
            class.objective_per_work = random.between(1.5, 4.0);
        }
        6 => {
            config.gateway_count = if has_many_gateways {
                random.between(200.0, 400.0)
            } else {
                random.between(1.0, 6.0)
            }
            .floor();
        }
        7 => {
            config.max_attempts = 1 + random.below(5) as u8;
            config.retry_budget = random.chance(0.8).then(|| RetryBudget {
                min_retries: 2.0,
                retry_ratio: random.between(0.0, 0.3),
                window: 1500.0,
            });
        }
        8 if class_count < 8 => {
            let further = class_policy(2.0, 1.0, 700.0, Effect::Idempotent);
            config.classes.push(further);
        }
        8 => {
            config.may_withdraw = random.chance(0.7);
            config.queues_when_memory_full = random.chance(0.7);
        }
        _ => {
            config.slow_start_from = random.between(0.2, 0.8);
            config.machine_types[0].cores = random.between(6.0, 12.0).floor();
        }
    }
    // At least half of the classes stay in service.
    let out_of_service = config.classes.iter().filter(|class| class.out_of_service);
    if out_of_service.count() * 2 > config.classes.len() {
        for class in &mut config.classes {
            class.out_of_service = false;
        }
    }
    config
}
