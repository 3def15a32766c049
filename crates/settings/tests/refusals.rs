//! The error of an invalid settings object names the field, so that operators can find it.

use ironstair_settings::{
    class_names, machine_type_names, policy_config, transport_config, zone_names,
};
use serde_json::Value;
use std::path::Path;

/// The key to change as a JSON pointer, its new JSON (`None` removes the key), and the field that the error names.
type Case = (&'static str, Option<&'static str>, &'static str);

/// A string that is invalid for every number, flag and choice in the cases.
const INVALID_STRING: &str = "\"x\"";

const CASES: [Case; 45] = [
    ("/classes", None, "classes"),
    ("/classes/1/semantics", None, "classes[1]: semantics"),
    (
        "/classes/1/semantics",
        Some("\"other\""),
        "classes[1]: semantics",
    ),
    ("/classes/1/group", Some("\"other\""), "classes[1]: group"),
    ("/classes/1/window_ns", None, "classes[1]: window_ns"),
    ("/classes/0/slo_ns", None, "classes[0]: slo_ns"),
    ("/classes/0/worth", None, "classes[0]: worth"),
    (
        "/classes/0/aim_stretch",
        Some(INVALID_STRING),
        "classes[0]: aim_stretch",
    ),
    (
        "/classes/0/by_arrival",
        Some(INVALID_STRING),
        "classes[0]: by_arrival",
    ),
    (
        "/classes/0/dcs_allowed",
        Some("[2]"),
        "classes[0]: dcs_allowed",
    ),
    (
        "/classes/0/dcs_allowed",
        Some("[\"a\"]"),
        "classes[0]: dcs_allowed",
    ),
    (
        "/classes/0/machine_types_allowed",
        Some("[2]"),
        "classes[0]: machine_types_allowed",
    ),
    (
        "/family_info/class_load",
        Some("[true]"),
        "family_info.class_load[1]",
    ),
    (
        "/family_info/threads_by_class",
        Some("[0]"),
        "family_info.threads_by_class[0]",
    ),
    (
        "/family_info/size_cores",
        Some("[8, 0]"),
        "family_info.size_cores[1]",
    ),
    (
        "/family_info/ram_of_kind_mb",
        Some("[0.5]"),
        "family_info.ram_of_kind_mb[0]",
    ),
    (
        "/family_info/largest_share",
        Some(INVALID_STRING),
        "family_info.largest_share",
    ),
    (
        "/family_info/takes_grants",
        Some(INVALID_STRING),
        "family_info.takes_grants",
    ),
    (
        "/family_info/lanes_count",
        Some(INVALID_STRING),
        "family_info.lanes_count",
    ),
    (
        "/family_info/when_short",
        Some(INVALID_STRING),
        "family_info.when_short",
    ),
    ("/fleet_size", None, "fleet_size"),
    ("/registry_mode", None, "registry_mode"),
    ("/resolution_ns", None, "resolution_ns"),
    (
        "/callers/marks_retry",
        Some(INVALID_STRING),
        "callers.marks_retry",
    ),
    ("/guarantees/cold_from", None, "guarantees.cold_from"),
    (
        "/guarantees/warm_after_ns",
        None,
        "guarantees.warm_after_ns",
    ),
    (
        "/guarantees/overload_factor",
        None,
        "guarantees.overload_factor",
    ),
    ("/guarantees/fall_ns", None, "guarantees.fall_ns"),
    (
        "/guarantees/budget_span_ns",
        Some(INVALID_STRING),
        "guarantees.budget_span_ns",
    ),
    (
        "/guarantees/spare_attempts",
        None,
        "guarantees.spare_attempts",
    ),
    ("/guarantees/repeat_ratio", None, "guarantees.repeat_ratio"),
    (
        "/guarantees/settle_after_doubt_ns",
        None,
        "guarantees.settle_after_doubt_ns",
    ),
    (
        "/policy_limits/max_attempts",
        None,
        "policy_limits.max_attempts",
    ),
    (
        "/policy_limits/may_cancel",
        Some(INVALID_STRING),
        "policy_limits.may_cancel",
    ),
    (
        "/policy_limits/probes",
        Some(INVALID_STRING),
        "policy_limits.probes",
    ),
    (
        "/policy_limits/retry_after",
        Some(INVALID_STRING),
        "policy_limits.retry_after",
    ),
    (
        "/policy_limits/max_retry_after_ns",
        None,
        "policy_limits.max_retry_after_ns",
    ),
    (
        "/policy_limits/connect_timeout_ns",
        None,
        "policy_limits.connect_timeout_ns",
    ),
    (
        "/policy_limits/keepalive_ns",
        None,
        "policy_limits.keepalive_ns",
    ),
    ("/policy_limits/multiplex", None, "policy_limits.multiplex"),
    (
        "/policy_limits/max_open",
        Some(INVALID_STRING),
        "policy_limits.max_open",
    ),
    ("/classes/0/give_up_ns", None, "give_up_ns"),
    ("/classes/0/name", None, "name"),
    ("/dcs", None, "dcs"),
    ("/machine_types", Some("[1]"), "machine_types"),
];

fn pinned_settings() -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/pinned/settings.json");
    let text = std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    serde_json::from_slice(&text).unwrap()
}

#[test]
fn error_of_an_invalid_value_names_the_pinned_field() {
    for (pointer, value, field) in CASES {
        let mut settings = pinned_settings();
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        let members = settings
            .pointer_mut(parent)
            .unwrap()
            .as_object_mut()
            .unwrap();
        assert!(members.remove(key).is_some(), "{pointer}");
        if let Some(value) = value {
            members.insert(key.into(), serde_json::from_str(value).unwrap());
        }
        let errors = [
            zone_names(&settings).err(),
            machine_type_names(&settings).err(),
            policy_config(&settings).err(),
            transport_config(&settings).err(),
            class_names(&settings).err(),
        ];
        let error = errors
            .into_iter()
            .flatten()
            .next()
            .unwrap_or_else(|| panic!("{pointer}: {value:?} is accepted"))
            .to_string();
        assert!(error.starts_with(field), "{pointer}: {error}");
    }
}
