//! The settings object that a gateway receives at start, as JSON: the value that is read from each key, and the default
//! of a missing one; `refusals.rs` tests the errors. The files under `pinned` are settings objects that an earlier
//! version reads. Programs outside this project write such objects, so no key may change.

use ironstair::{
    ClassPolicy, DedupScope, Effect, LoadMetric, MachineType, PolicyConfig, RetryBudget,
};
use ironstair_pinned_forms::PinnedForms;
use ironstair_settings::{
    class_names, hard_limits, machine_type_names, policy_config, read_policy_config,
    transport_config, zone_names, TransportConfig,
};
use serde_json::{json, Value};

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

fn all_classes() -> Vec<ClassPolicy> {
    let class_policy =
        |base_objective: f64, value: f64, threads: f64, effect: Effect| ClassPolicy {
            base_objective,
            objective_per_work: 0.0,
            value,
            threads,
            effect,
            dedup_window: 0.0,
            preserves_key_order: false,
            pins_table_group: false,
            zones: None,
            machine_types: None,
            out_of_service: false,
        };
    let deduplicated = Effect::Deduplicated;
    vec![
        ClassPolicy {
            objective_per_work: 2.5,
            preserves_key_order: true,
            zones: Some(vec![0, 1]),
            machine_types: Some(vec![1]),
            ..class_policy(1000.0, 1.25, 1.0, Effect::Idempotent)
        },
        ClassPolicy {
            dedup_window: 3000.0,
            pins_table_group: true,
            ..class_policy(2000.0, 6.0, 4.0, deduplicated(DedupScope::Zone))
        },
        ClassPolicy {
            dedup_window: 4.0,
            ..class_policy(3.0, 0.5, 2.0, deduplicated(DedupScope::DedupDomain))
        },
        ClassPolicy {
            dedup_window: 5.0,
            ..class_policy(1e-6, 1.0, 1.0, deduplicated(DedupScope::AllEngines))
        },
        ClassPolicy {
            pins_table_group: true,
            ..class_policy(7.0, 3.0, 1.0, Effect::NonIdempotent)
        },
    ]
}

fn all_settings() -> PolicyConfig {
    PolicyConfig {
        gateway_count: 3.0,
        classes: all_classes(),
        machine_types: vec![
            MachineType {
                cores: 8.0,
                memory_mb: 1024.0,
            },
            MachineType {
                cores: 16.0,
                memory_mb: 32768.5,
            },
        ],
        max_memory_grant: 0.75,
        honors_memory_grants: true,
        honors_priorities: true,
        queues_when_memory_full: false,
        retries_are_marked: false,
        may_withdraw: true,
        may_probe: true,
        report_fields: vec![
            LoadMetric::HeldQueries,
            LoadMetric::Utilization,
            LoadMetric::Utilization,
            LoadMetric::Utilization,
            LoadMetric::Other,
        ],
        max_retry_after: 70.0,
        max_attempts: 6,
        must_subscribe: true,
        slow_start_from: 0.34,
        slow_start_duration: 15_000.0,
        overload_factor: 4.5,
        overload_window: 1000.0,
        retry_budget: Some(RetryBudget {
            min_retries: 12.0,
            retry_ratio: 0.1,
            window: 10_000.0,
        }),
        key_quarantine: 250.0,
        clock_resolution: 1.0,
    }
}

#[test]
fn every_key_is_read_with_the_pinned_value() {
    let settings = FORMS.json("settings.json");
    assert_eq!(policy_config(&settings).unwrap(), all_settings());
    assert_eq!(
        read_policy_config(settings.to_string().as_bytes()).unwrap(),
        all_settings()
    );
    let strings = |all: &[&str]| all.iter().map(|text| text.to_string()).collect::<Vec<_>>();
    assert_eq!(
        class_names(&settings).unwrap(),
        strings(&["lookup", "post", "mark", "all", "once"])
    );
    assert_eq!(zone_names(&settings).unwrap(), strings(&["a", "b"]));
    assert_eq!(
        machine_type_names(&settings).unwrap(),
        strings(&["std", "big"])
    );
    assert_eq!(
        hard_limits(&settings).unwrap(),
        vec![5000.0, 9000.0, 8.0, 1e-6, 6.0]
    );
    let expected = TransportConfig {
        connect_timeout: 250.0,
        idle_timeout: 30_000.0,
        max_attempts_per_connection: 32,
        max_open_requests: 5000,
        max_deadline: 9000.0,
        report_fields: ["concurrent", "load_share", "x0", "x1", "disk"]
            .map(String::from)
            .to_vec(),
    };
    assert_eq!(transport_config(&settings).unwrap(), expected);
}

#[test]
fn missing_keys_have_the_pinned_defaults() {
    let settings = FORMS.json("settings-least.json");
    let class_policy = ClassPolicy {
        base_objective: 1.0,
        value: 1.0,
        threads: 1.0,
        effect: Effect::Idempotent,
        ..ClassPolicy::default()
    };
    let expected = PolicyConfig {
        gateway_count: 1.0,
        classes: vec![class_policy],
        machine_types: vec![MachineType {
            cores: 1.0,
            memory_mb: 0.0,
        }],
        max_memory_grant: 1.0,
        honors_memory_grants: false,
        honors_priorities: false,
        queues_when_memory_full: true,
        retries_are_marked: true,
        may_withdraw: false,
        may_probe: false,
        report_fields: Vec::new(),
        max_retry_after: 0.0,
        max_attempts: 255,
        must_subscribe: false,
        slow_start_from: 0.5,
        slow_start_duration: 3.0,
        overload_factor: 4.0,
        overload_window: 5.0,
        retry_budget: None,
        key_quarantine: 0.0,
        clock_resolution: 2.0,
    };
    assert_eq!(policy_config(&settings).unwrap(), expected);
    let max_open_requests = f64::MAX as usize;
    let expected = TransportConfig {
        connect_timeout: 6.0,
        idle_timeout: 7.0,
        max_attempts_per_connection: 1,
        max_open_requests,
        max_deadline: 2.0,
        report_fields: Vec::new(),
    };
    assert_eq!(transport_config(&settings).unwrap(), expected);
}

#[test]
fn enumerated_values_are_read_as_pinned() {
    let config_with = |pointer: &str, value: Value| {
        let mut settings = FORMS.json("settings.json");
        *settings.pointer_mut(pointer).unwrap() = value;
        policy_config(&settings).unwrap()
    };
    for (text, queues) in [("line_up", true), ("cut", false), ("overcommit", false)] {
        assert_eq!(
            config_with("/family_info/when_short", json!(text)).queues_when_memory_full,
            queues,
            "{text}"
        );
    }
    for (text, must_subscribe) in [("subscribe", true), ("automatic", false)] {
        assert_eq!(
            config_with("/registry_mode", json!(text)).must_subscribe,
            must_subscribe,
            "{text}"
        );
    }
    assert_eq!(
        config_with("/policy_limits/retry_after", json!(false)).max_retry_after,
        0.0
    );
    assert_eq!(
        config_with("/classes/0/by_arrival", json!(false)).key_quarantine,
        0.0
    );
}
