//! The classes of requests.

use crate::error::SettingsError;
use crate::fields::{
    duration, flag, flag_of_class, indices, list, list_length, number, number_of_list, number_or,
    required_string, unknown,
};
use ironstair::{ClassPolicy, DedupScope, Effect, Millis};
use serde_json::Value;

/// The threads of a request if the settings do not state those of its class.
const DEFAULT_THREADS: f64 = 1.0;

/// The names of the classes, in their order.
///
/// # Errors
/// Fails if there is no list of classes, or one has no name.
pub fn class_names(settings: &Value) -> Result<Vec<String>, SettingsError> {
    let name = |class| required_string(class, "name").map(String::from);
    list(settings, "classes")?.iter().map(name).collect()
}

/// The hard limits of the classes in ms, in their order.
///
/// # Errors
/// Fails if there is no list of classes, or one has no hard limit.
pub fn hard_limits(settings: &Value) -> Result<Vec<Millis>, SettingsError> {
    let limit = |class| duration(class, "give_up_ns");
    list(settings, "classes")?.iter().map(limit).collect()
}

pub(crate) fn class_policies(settings: &Value) -> Result<Vec<ClassPolicy>, SettingsError> {
    let classes = list(settings, "classes")?.iter().enumerate();
    classes
        .map(|(index, class)| {
            let holds = flag_of_class(settings, "family_info.class_load", index);
            let path = "family_info.threads_by_class";
            let threads = number_of_list(settings, path, index, DEFAULT_THREADS)?;
            let holds = holds?;
            let in_class = |error| SettingsError::Class {
                index,
                source: Box::new(error),
            };
            let policy = class_policy(class, threads, holds).map_err(in_class)?;
            check_indices(settings, &policy).map_err(in_class)?;
            Ok(policy)
        })
        .collect()
}

fn class_policy(class: &Value, threads: f64, holds: bool) -> Result<ClassPolicy, SettingsError> {
    let repeat = effect(class)?;
    let window = match repeat {
        Effect::Deduplicated(_) => duration(class, "window_ns")?,
        _ => 0.0,
    };
    Ok(ClassPolicy {
        base_objective: duration(class, "slo_ns")?,
        objective_per_work: number_or(class, "aim_stretch", 0.0)?,
        value: number(class, "worth")?,
        threads,
        effect: repeat,
        dedup_window: window,
        preserves_key_order: flag(class, "by_arrival")?,
        pins_table_group: holds,
        zones: indices(class, "dcs_allowed")?,
        machine_types: indices(class, "machine_types_allowed")?,
        out_of_service: false,
    })
}

fn effect(class: &Value) -> Result<Effect, SettingsError> {
    let within = match class.get("group").and_then(Value::as_str) {
        None | Some("all") => DedupScope::AllEngines,
        Some("zone") => DedupScope::Zone,
        Some("cell") => DedupScope::DedupDomain,
        Some(other) => return Err(unknown("group", other)),
    };
    match required_string(class, "semantics")? {
        "pure" => Ok(Effect::Idempotent),
        "token" => Ok(Effect::Deduplicated(within)),
        "side_effect" => Ok(Effect::NonIdempotent),
        other => Err(unknown("semantics", other)),
    }
}

/// Checks that the settings contain all zones and machine types that a class allows.
fn check_indices(settings: &Value, policy: &ClassPolicy) -> Result<(), SettingsError> {
    check(settings, "dcs_allowed", &policy.zones, "dcs")?;
    check(
        settings,
        "machine_types_allowed",
        &policy.machine_types,
        "machine_types",
    )
}

fn check(
    settings: &Value,
    path: &str,
    indices: &Option<Vec<u16>>,
    names: &str,
) -> Result<(), SettingsError> {
    let count = list_length(settings, names);
    match indices.iter().flatten().find(|x| **x as usize >= count) {
        None => Ok(()),
        Some(&index) => Err(SettingsError::IndexOutOfRange {
            path: path.into(),
            index,
            names: names.into(),
            count,
        }),
    }
}
