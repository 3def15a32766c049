//! Reads the configuration of the policy.

use crate::class::class_policies;
use crate::error::SettingsError;
use crate::fields::{
    duration, flag, flag_or, list_length, lookup, names, number, number_in_list, number_or,
    required_string, unknown_choice,
};
use ironstair::{ClassPolicy, LoadMetric, MachineType, Millis, PolicyConfig, RetryBudget};
use serde_json::Value;

/// The largest limit of attempts per request. Larger settings are lowered to it.
const MAX_ATTEMPTS: f64 = 255.0;

/// The names of the zones, by index.
///
/// # Errors
/// Fails if there is no list of names.
pub fn zone_names(settings: &Value) -> Result<Vec<String>, SettingsError> {
    names(settings, "dcs")
}

/// The names of the machine types, by index.
///
/// # Errors
/// Fails if there is no list of names.
pub fn machine_type_names(settings: &Value) -> Result<Vec<String>, SettingsError> {
    names(settings, "machine_types")
}

/// Reads the configuration of the policy from the JSON text of a settings object.
///
/// # Errors
/// Fails if the text is not JSON, or a field is missing or invalid.
pub fn read_policy_config(json: &[u8]) -> Result<PolicyConfig, SettingsError> {
    policy_config(&serde_json::from_slice(json)?)
}

/// Reads the configuration of the policy from a settings object.
///
/// # Errors
/// Fails if a field is missing or invalid.
pub fn policy_config(settings: &Value) -> Result<PolicyConfig, SettingsError> {
    let classes = class_policies(settings)?;
    let retry_budget = retry_budget(settings)?;
    let key_quarantine = key_quarantine(settings, &classes)?;
    let is_retry_after_sent = flag(settings, "policy_limits.retry_after")?;
    Ok(PolicyConfig {
        gateway_count: number(settings, "fleet_size")?.max(1.0),
        classes,
        machine_types: machine_types(settings)?,
        max_memory_grant: number_or(settings, "family_info.largest_share", 1.0)?,
        honors_memory_grants: flag(settings, "family_info.takes_grants")?,
        honors_priorities: flag(settings, "family_info.lanes_count")?,
        queues_when_memory_full: queues_when_memory_full(settings)?,
        retries_are_marked: flag_or(settings, "callers.marks_retry", true)?,
        may_withdraw: flag(settings, "policy_limits.may_cancel")?,
        may_probe: flag(settings, "policy_limits.probes")?,
        report_fields: report_fields(settings),
        max_retry_after: if is_retry_after_sent {
            duration(settings, "policy_limits.max_retry_after_ns")?
        } else {
            0.0
        },
        max_attempts: number(settings, "policy_limits.max_attempts")?.clamp(0.0, MAX_ATTEMPTS)
            as u8,
        must_subscribe: required_string(settings, "registry_mode")? == "subscribe",
        slow_start_from: number(settings, "guarantees.cold_from")?,
        slow_start_duration: duration(settings, "guarantees.warm_after_ns")?,
        overload_factor: number(settings, "guarantees.overload_factor")?,
        overload_window: duration(settings, "guarantees.fall_ns")?,
        retry_budget,
        key_quarantine,
        clock_resolution: duration(settings, "resolution_ns")?,
    })
}

fn retry_budget(settings: &Value) -> Result<Option<RetryBudget>, SettingsError> {
    if lookup(settings, "guarantees.budget_span_ns").is_none() {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        min_retries: number(settings, "guarantees.spare_attempts")?,
        retry_ratio: number(settings, "guarantees.repeat_ratio")?,
        window: duration(settings, "guarantees.budget_span_ns")?,
    }))
}

/// The time in ms for which a key is quarantined after an unknown outcome. It is mandatory if a class preserves the
/// order of the requests of a key, and not read otherwise.
fn key_quarantine(settings: &Value, classes: &[ClassPolicy]) -> Result<Millis, SettingsError> {
    if classes.iter().any(|class| class.preserves_key_order) {
        duration(settings, "guarantees.settle_after_doubt_ns")
    } else {
        Ok(0.0)
    }
}

fn machine_types(settings: &Value) -> Result<Vec<MachineType>, SettingsError> {
    let machine_type = |index| {
        Ok(MachineType {
            cores: number_in_list(settings, "family_info.size_cores", index, 1.0)?,
            memory_mb: number_in_list(settings, "family_info.ram_of_kind_mb", index, 0.0)?,
        })
    };
    (0..list_length(settings, "machine_types"))
        .map(machine_type)
        .collect()
}

/// Whether an engine that is short of memory queues queries; true if the settings do not state it.
fn queues_when_memory_full(settings: &Value) -> Result<bool, SettingsError> {
    let path = "family_info.when_short";
    if lookup(settings, path).is_none() {
        return Ok(true);
    }
    match required_string(settings, path)? {
        "line_up" => Ok(true),
        "cut" | "overcommit" => Ok(false),
        other => Err(unknown_choice(path, other, "line_up, cut, overcommit")),
    }
}

/// The meaning of each value of an engine's load report.
fn report_fields(settings: &Value) -> Vec<LoadMetric> {
    let names = lookup(settings, "report.fields")
        .and_then(Value::as_array)
        .into_iter()
        .flatten();
    names
        .map(|name| match name.as_str() {
            Some("load_share" | "x0" | "x1") => LoadMetric::Utilization,
            Some("concurrent") => LoadMetric::HeldQueries,
            _ => LoadMetric::Other,
        })
        .collect()
}
