//! Reads fields of a JSON object by path.

use crate::error::SettingsError;
use ironstair::Millis;
use serde_json::Value;

const NANOSECONDS_PER_MS: f64 = 1e6;

/// The value at a path of names separated by dots; `None` if it is missing or null.
pub(crate) fn at<'a>(value: &'a Value, path: &str) -> Option<&'a Value> {
    let found = path
        .split('.')
        .try_fold(value, |table, key| table.get(key))?;
    (!found.is_null()).then_some(found)
}

pub(crate) fn number(value: &Value, path: &str) -> Result<f64, SettingsError> {
    let found = at(value, path).ok_or_else(|| SettingsError::Missing { path: path.into() })?;
    found
        .as_f64()
        .filter(|x| x.is_finite() && *x >= 0.0)
        .ok_or_else(|| SettingsError::NotANumber { path: path.into() })
}

pub(crate) fn number_or(value: &Value, path: &str, absent: f64) -> Result<f64, SettingsError> {
    at(value, path).map_or(Ok(absent), |_| number(value, path))
}

/// Reads a duration in nanoseconds, and returns it in ms.
pub(crate) fn duration(value: &Value, path: &str) -> Result<Millis, SettingsError> {
    Ok(number(value, path)? / NANOSECONDS_PER_MS)
}

/// Reads a flag, which is false if it is missing.
pub(crate) fn flag(value: &Value, path: &str) -> Result<bool, SettingsError> {
    flag_or(value, path, false)
}

pub(crate) fn flag_or(value: &Value, path: &str, absent: bool) -> Result<bool, SettingsError> {
    let not_a_bool = || SettingsError::NotABool { path: path.into() };
    at(value, path).map_or(Ok(absent), |field| field.as_bool().ok_or_else(not_a_bool))
}

/// Reads a mandatory string.
///
/// # Errors
/// Fails if the field is missing or not a string.
pub fn required_string<'a>(value: &'a Value, path: &str) -> Result<&'a str, SettingsError> {
    at(value, path)
        .and_then(Value::as_str)
        .ok_or_else(|| SettingsError::NotAString { path: path.into() })
}

pub(crate) fn list<'a>(value: &'a Value, path: &str) -> Result<&'a Vec<Value>, SettingsError> {
    at(value, path)
        .and_then(Value::as_array)
        .ok_or_else(|| SettingsError::NotAList { path: path.into() })
}

/// The length of a list; 0 if there is no list.
pub(crate) fn list_length(value: &Value, path: &str) -> usize {
    at(value, path)
        .and_then(Value::as_array)
        .map_or(0, Vec::len)
}

/// Reads a list of names.
pub(crate) fn names(value: &Value, path: &str) -> Result<Vec<String>, SettingsError> {
    let name = |n: &Value| {
        n.as_str()
            .map(String::from)
            .ok_or_else(|| SettingsError::NotAStringItem { path: path.into() })
    };
    list(value, path)?.iter().map(name).collect()
}

/// Reads a list of indices; `None` if it is missing.
pub(crate) fn indices(value: &Value, path: &str) -> Result<Option<Vec<u16>>, SettingsError> {
    if at(value, path).is_none() {
        return Ok(None);
    }
    let index = |x: &Value| {
        x.as_u64()
            .and_then(|x| u16::try_from(x).ok())
            .ok_or_else(|| SettingsError::NotAnIndex { path: path.into() })
    };
    list(value, path)?
        .iter()
        .map(index)
        .collect::<Result<_, _>>()
        .map(Some)
}

/// Reads one item of a list, a number of at least 1. Returns `absent` if there is no list, or it has fewer items.
pub(crate) fn number_of_list(
    value: &Value,
    path: &str,
    index: usize,
    absent: f64,
) -> Result<f64, SettingsError> {
    if at(value, path).is_none() {
        return Ok(absent);
    }
    let Some(found) = list(value, path)?.get(index) else {
        return Ok(absent);
    };
    let path = path.to_owned();
    found
        .as_f64()
        .filter(|x| x.is_finite() && *x >= 1.0)
        .ok_or(SettingsError::BelowOne { path, index })
}

/// Reads the flag of one class from a list; false if there is no list.
pub(crate) fn flag_of_class(
    value: &Value,
    path: &str,
    index: usize,
) -> Result<bool, SettingsError> {
    let Some(all) = at(value, path) else {
        return Ok(false);
    };
    let path = path.to_owned();
    all.get(index)
        .and_then(Value::as_bool)
        .ok_or(SettingsError::NotABoolItem { path, index })
}

pub(crate) fn unknown(path: &str, value: &str) -> SettingsError {
    SettingsError::UnknownChoice {
        path: path.into(),
        value: value.into(),
    }
}
