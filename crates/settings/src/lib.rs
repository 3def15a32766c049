//! Reads the settings object that every host of the decisions is given. A figure that a rule rests on is
//! never guessed: without it, no start.

use ironstair::{ClassPolicy, Effect, Kind, Load, Ms, PolicyConfig, RetryBudget, Within};
use serde_json::Value;

const NS: f64 = 1e6;

fn at<'a>(v: &'a Value, path: &str) -> Option<&'a Value> {
    let found = path.split('.').try_fold(v, |v, key| v.get(key))?;
    (!found.is_null()).then_some(found)
}

fn number(v: &Value, path: &str) -> Result<f64, String> {
    let found = at(v, path).ok_or_else(|| format!("{path} is missing"))?;
    found
        .as_f64()
        .filter(|x| x.is_finite() && *x >= 0.0)
        .ok_or_else(|| format!("{path} is not a number"))
}

fn time(v: &Value, path: &str) -> Result<Ms, String> {
    Ok(number(v, path)? / NS)
}

fn number_or(v: &Value, path: &str, absent: f64) -> Result<f64, String> {
    at(v, path).map_or(Ok(absent), |_| number(v, path))
}

fn flag(v: &Value, path: &str) -> Result<bool, String> {
    at(v, path).map_or(Ok(false), |f| {
        f.as_bool()
            .ok_or_else(|| format!("{path} is not true or false"))
    })
}

/// A text that must be there.
pub fn text<'a>(v: &'a Value, path: &str) -> Result<&'a str, String> {
    at(v, path)
        .and_then(Value::as_str)
        .ok_or_else(|| format!("{path} is missing or no text"))
}

fn list<'a>(v: &'a Value, path: &str) -> Result<&'a Vec<Value>, String> {
    at(v, path)
        .and_then(Value::as_array)
        .ok_or_else(|| format!("{path} is missing or no list"))
}

fn numbers(v: &Value, path: &str) -> Result<Option<Vec<u16>>, String> {
    if at(v, path).is_none() {
        return Ok(None);
    }
    let all = list(v, path)?
        .iter()
        .map(|x| x.as_u64().and_then(|x| u16::try_from(x).ok()));
    all.collect::<Option<_>>()
        .map(Some)
        .ok_or_else(|| format!("{path} holds what is no index"))
}

fn terms(c: &Value, threads: f64, holds: bool) -> Result<ClassPolicy, String> {
    let within = match at(c, "group").and_then(Value::as_str) {
        None | Some("all") => Within::All,
        Some("zone") => Within::Zone,
        Some("cell") => Within::MarkGroup,
        Some(other) => return Err(format!("group {other} is unknown")),
    };
    let repeat = match text(c, "semantics")? {
        "pure" => Effect::Idempotent,
        "token" => Effect::Deduplicated(within),
        "side_effect" => Effect::NonIdempotent,
        other => return Err(format!("semantics {other} is unknown")),
    };
    let window = match repeat {
        Effect::Deduplicated(_) => time(c, "window_ns")?,
        _ => 0.0,
    };
    Ok(ClassPolicy {
        expected: time(c, "slo_ns")?,
        expected_stretch: number_or(c, "aim_stretch", 0.0)?,
        value: number(c, "worth")?,
        threads,
        repeat,
        window,
        in_order: flag(c, "by_arrival")?,
        holds,
        zones: numbers(c, "dcs_allowed")?,
        kinds: numbers(c, "machine_types_allowed")?,
        closed: false,
    })
}

/// One figure of a list, of 1 or more; where there is no list, or it ends before, what stands for it.
fn one_of(v: &Value, path: &str, i: usize, absent: f64) -> Result<f64, String> {
    match at(v, path)
        .map(|_| list(v, path))
        .transpose()?
        .and_then(|l| l.get(i))
    {
        None => Ok(absent),
        Some(x) => x
            .as_f64()
            .filter(|x| x.is_finite() && *x >= 1.0)
            .ok_or_else(|| format!("{path}[{i}] is no number of 1 or more")),
    }
}

/// What `family_info` says of one class; no where it says nothing.
fn by_class(v: &Value, key: &str, class: usize) -> Result<bool, String> {
    let path = format!("family_info.{key}");
    match at(v, &path) {
        None => Ok(false),
        Some(all) => all
            .get(class)
            .and_then(Value::as_bool)
            .ok_or_else(|| format!("{path}[{class}] is missing or not true or false")),
    }
}

/// What the carrying goes by: how long to connect, how long an idle connection lives, how many attempts share
/// one, how many requests may be open, the longest hard limit, and what an engine's report names.
#[derive(Clone, Debug, PartialEq)]
pub struct TransportConfig {
    pub connect_timeout: Ms,
    pub idle: Ms,
    pub streams: usize,
    pub max_open_requests: usize,
    pub longest: Ms,
    pub reports: Vec<String>,
}

pub fn transport_config(v: &Value) -> Result<TransportConfig, String> {
    Ok(TransportConfig {
        connect_timeout: time(v, "policy_limits.connect_timeout_ns")?,
        idle: time(v, "policy_limits.keepalive_ns")?,
        streams: number(v, "policy_limits.multiplex")?.max(1.0) as usize,
        max_open_requests: number_or(v, "policy_limits.max_open", f64::MAX)? as usize,
        reports: names(v, "report.fields").unwrap_or_default(),
        longest: list(v, "classes")?
            .iter()
            .try_fold(0.0, |l, c| Ok::<_, String>(time(c, "give_up_ns")?.max(l)))?,
    })
}

/// The classes' hard limits, in the order of the classes.
pub fn limits(v: &Value) -> Result<Vec<Ms>, String> {
    list(v, "classes")?
        .iter()
        .map(|c| time(c, "give_up_ns"))
        .collect()
}

/// The names that a protocol uses for what the decisions know by index.
pub fn classes(v: &Value) -> Result<Vec<String>, String> {
    list(v, "classes")?
        .iter()
        .map(|c| text(c, "name").map(String::from))
        .collect()
}

pub fn zones(v: &Value) -> Result<Vec<String>, String> {
    names(v, "dcs")
}

pub fn kinds(v: &Value) -> Result<Vec<String>, String> {
    names(v, "machine_types")
}

fn names(v: &Value, path: &str) -> Result<Vec<String>, String> {
    let text = |n: &Value| {
        n.as_str()
            .map(String::from)
            .ok_or_else(|| format!("{path} holds what is no text"))
    };
    list(v, path)?.iter().map(text).collect()
}

pub fn read(text: &[u8]) -> Result<PolicyConfig, String> {
    policy_config(&serde_json::from_slice(text).map_err(|e| e.to_string())?)
}

pub fn policy_config(v: &Value) -> Result<PolicyConfig, String> {
    let classes = list(v, "classes")?.iter().enumerate();
    let classes = classes
        .map(|(i, c)| {
            let holds = by_class(v, "class_load", i);
            let threads = one_of(v, "family_info.threads_by_class", i, 1.0)?;
            let terms = terms(c, threads, holds?).map_err(|e| format!("classes[{i}]: {e}"))?;
            for (field, told, names) in [
                ("dcs_allowed", &terms.zones, "dcs"),
                ("machine_types_allowed", &terms.kinds, "machine_types"),
            ] {
                let known = at(v, names).and_then(Value::as_array).map_or(0, Vec::len);
                if let Some(past) = told.iter().flatten().find(|x| **x as usize >= known) {
                    return Err(format!(
                        "classes[{i}]: {field} names {past}, and {names} has {known}"
                    ));
                }
            }
            Ok(terms)
        })
        .collect::<Result<Vec<_>, String>>()?;
    let kinds = at(v, "machine_types")
        .and_then(Value::as_array)
        .map_or(0, Vec::len);
    let kinds = (0..kinds).map(|i| {
        Ok(Kind {
            cores: one_of(v, "family_info.size_cores", i, 1.0)?,
            memory_mb: one_of(v, "family_info.ram_of_kind_mb", i, 0.0)?,
        })
    });
    let retry_budget = match at(v, "guarantees.budget_span_ns") {
        None => None,
        Some(_) => Some(RetryBudget {
            spare: number(v, "guarantees.spare_attempts")?,
            share: number(v, "guarantees.repeat_ratio")?,
            span: time(v, "guarantees.budget_span_ns")?,
        }),
    };
    let reports = at(v, "report.fields")
        .and_then(Value::as_array)
        .into_iter()
        .flatten();
    let reports = reports.map(|f| match f.as_str() {
        Some("load_share" | "x0" | "x1") => Load::Share,
        Some("concurrent") => Load::Held,
        _ => Load::Other,
    });
    let ordered = classes.iter().any(|b| b.in_order);
    let key_quarantine = if ordered {
        time(v, "guarantees.settle_after_doubt_ns")?
    } else {
        0.0
    };
    let advised = flag(v, "policy_limits.retry_after")?;
    Ok(PolicyConfig {
        gateways: number(v, "fleet_size")?.max(1.0),
        classes,
        kinds: kinds.collect::<Result<_, String>>()?,
        most_grant: number_or(v, "family_info.largest_share", 1.0)?,
        grants_heeded: flag(v, "family_info.takes_grants")?,
        priorities_heeded: flag(v, "family_info.lanes_count")?,
        lines_up: match at(v, "family_info.when_short") {
            None => true,
            Some(_) => match text(v, "family_info.when_short")? {
                "line_up" => true,
                "cut" | "overcommit" => false,
                other => return Err(format!("family_info.when_short {other} is unknown")),
            },
        },
        tries_marked: at(v, "callers.marks_retry").is_none() || flag(v, "callers.marks_retry")?,
        may_withdraw: flag(v, "policy_limits.may_cancel")?,
        may_probe: flag(v, "policy_limits.probes")?,
        reports: reports.collect(),
        max_retry_after: if advised {
            time(v, "policy_limits.max_retry_after_ns")?
        } else {
            0.0
        },
        max_attempts: number(v, "policy_limits.max_attempts")?.clamp(0.0, 255.0) as u8,
        must_subscribe: text(v, "registry_mode")? == "subscribe",
        slow_start_from: number(v, "guarantees.cold_from")?,
        slow_start_duration: time(v, "guarantees.warm_after_ns")?,
        fall_multiple: number(v, "guarantees.overload_factor")?,
        fall_span: time(v, "guarantees.fall_ns")?,
        retry_budget,
        key_quarantine,
        tick: time(v, "resolution_ns")?,
    })
}
