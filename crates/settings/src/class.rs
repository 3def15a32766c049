//! Reads the settings of the classes of requests.

use crate::error::SettingsError;
use crate::fields::{
    duration, flag, flag_of_class, indices, list, list_length, number, number_in_list, number_or,
    required_string, unknown_choice,
};
use ironstair::{ClassPolicy, DedupScope, Effect, Millis};
use serde_json::Value;

/// The threads of a request of a class for which the settings state no number.
const DEFAULT_THREADS: f64 = 1.0;

/// The names of the classes, in order.
///
/// # Errors
/// Fails if there is no list of classes, or a class has no name.
pub fn class_names(settings: &Value) -> Result<Vec<String>, SettingsError> {
    let name = |class| required_string(class, "name").map(String::from);
    list(settings, "classes")?.iter().map(name).collect()
}

/// The hard limits of the classes in ms, in order.
///
/// # Errors
/// Fails if there is no list of classes, or a class has no hard limit.
pub fn hard_limits(settings: &Value) -> Result<Vec<Millis>, SettingsError> {
    let limit = |class| duration(class, "give_up_ns");
    list(settings, "classes")?.iter().map(limit).collect()
}

pub(crate) fn class_policies(settings: &Value) -> Result<Vec<ClassPolicy>, SettingsError> {
    let classes = list(settings, "classes")?.iter().enumerate();
    classes
        .map(|(index, class)| {
            let pins_table_group = flag_of_class(settings, "family_info.class_load", index);
            let path = "family_info.threads_by_class";
            let threads = number_in_list(settings, path, index, DEFAULT_THREADS)?;
            let pins_table_group = pins_table_group?;
            let in_class = |error| SettingsError::Class {
                index,
                source: Box::new(error),
            };
            let policy = class_policy(class, threads, pins_table_group).map_err(in_class)?;
            check_indices(settings, &policy).map_err(in_class)?;
            Ok(policy)
        })
        .collect()
}

fn class_policy(
    class: &Value,
    threads: f64,
    pins_table_group: bool,
) -> Result<ClassPolicy, SettingsError> {
    let effect = effect(class)?;
    let dedup_window = match effect {
        Effect::Deduplicated(_) => duration(class, "window_ns")?,
        _ => 0.0,
    };
    Ok(ClassPolicy {
        base_objective: duration(class, "slo_ns")?,
        objective_per_work: number_or(class, "aim_stretch", 0.0)?,
        value: number(class, "worth")?,
        threads,
        effect,
        dedup_window,
        preserves_key_order: flag(class, "by_arrival")?,
        pins_table_group,
        zones: indices(class, "dcs_allowed")?,
        machine_types: indices(class, "machine_types_allowed")?,
        out_of_service: false,
    })
}

fn effect(class: &Value) -> Result<Effect, SettingsError> {
    let scope = match class.get("group").and_then(Value::as_str) {
        None | Some("all") => DedupScope::AllEngines,
        Some("zone") => DedupScope::Zone,
        Some("cell") => DedupScope::DedupDomain,
        Some(other) => return Err(unknown_choice("group", other, "all, zone, cell")),
    };
    match required_string(class, "semantics")? {
        "pure" => Ok(Effect::Idempotent),
        "token" => Ok(Effect::Deduplicated(scope)),
        "side_effect" => Ok(Effect::NonIdempotent),
        other => Err(unknown_choice(
            "semantics",
            other,
            "pure, token, side_effect",
        )),
    }
}

/// Checks that all zones and machine types to which a class is restricted are in the settings.
fn check_indices(settings: &Value, policy: &ClassPolicy) -> Result<(), SettingsError> {
    check_restriction(settings, "dcs_allowed", &policy.zones, "dcs")?;
    check_restriction(
        settings,
        "machine_types_allowed",
        &policy.machine_types,
        "machine_types",
    )
}

/// Checks that no index of a class's restriction is beyond the end of the list of names.
fn check_restriction(
    settings: &Value,
    path: &str,
    indices: &Option<Vec<u16>>,
    names: &str,
) -> Result<(), SettingsError> {
    let count = list_length(settings, names);
    match indices
        .iter()
        .flatten()
        .find(|index| **index as usize >= count)
    {
        None => Ok(()),
        Some(&index) => Err(SettingsError::IndexOutOfRange {
            path: path.into(),
            index,
            names: names.into(),
            count,
        }),
    }
}
