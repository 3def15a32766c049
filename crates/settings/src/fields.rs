//! Reads fields of a JSON object by path.

use crate::error::SettingsError;
use ironstair::Millis;
use serde_json::Value;

const NANOSECONDS_PER_MS: f64 = 1e6;

/// The value at a path of keys separated by dots; `None` if it is missing or null.
pub(crate) fn lookup<'a>(value: &'a Value, path: &str) -> Option<&'a Value> {
    let found = path
        .split('.')
        .try_fold(value, |object, key| object.get(key))?;
    (!found.is_null()).then_some(found)
}

/// Reads a mandatory number of at least 0.
pub(crate) fn number(value: &Value, path: &str) -> Result<f64, SettingsError> {
    let field = lookup(value, path).ok_or_else(|| SettingsError::Missing { path: path.into() })?;
    field
        .as_f64()
        .filter(|number| number.is_finite() && *number >= 0.0)
        .ok_or_else(|| SettingsError::NotANumber { path: path.into() })
}

/// Reads a number of at least 0; `default` if it is missing.
pub(crate) fn number_or(value: &Value, path: &str, default: f64) -> Result<f64, SettingsError> {
    lookup(value, path).map_or(Ok(default), |_| number(value, path))
}

/// Reads a mandatory duration in nanoseconds and returns it in ms.
pub(crate) fn duration(value: &Value, path: &str) -> Result<Millis, SettingsError> {
    Ok(number(value, path)? / NANOSECONDS_PER_MS)
}

/// Reads a flag; false if it is missing.
pub(crate) fn flag(value: &Value, path: &str) -> Result<bool, SettingsError> {
    flag_or(value, path, false)
}

/// Reads a flag; `default` if it is missing.
pub(crate) fn flag_or(value: &Value, path: &str, default: bool) -> Result<bool, SettingsError> {
    let not_a_bool = || SettingsError::NotABool { path: path.into() };
    lookup(value, path).map_or(Ok(default), |field| field.as_bool().ok_or_else(not_a_bool))
}

/// Reads a mandatory string.
///
/// # Errors
/// Fails if the field is missing or not a string.
pub fn required_string<'a>(value: &'a Value, path: &str) -> Result<&'a str, SettingsError> {
    lookup(value, path)
        .and_then(Value::as_str)
        .ok_or_else(|| SettingsError::NotAString { path: path.into() })
}

/// Reads a mandatory list.
pub(crate) fn list<'a>(value: &'a Value, path: &str) -> Result<&'a Vec<Value>, SettingsError> {
    lookup(value, path)
        .and_then(Value::as_array)
        .ok_or_else(|| SettingsError::NotAList { path: path.into() })
}

/// The length of a list; 0 if it is missing.
pub(crate) fn list_length(value: &Value, path: &str) -> usize {
    lookup(value, path)
        .and_then(Value::as_array)
        .map_or(0, Vec::len)
}

/// Reads a mandatory list of names.
pub(crate) fn names(value: &Value, path: &str) -> Result<Vec<String>, SettingsError> {
    let name = |item: &Value| {
        item.as_str()
            .map(String::from)
            .ok_or_else(|| SettingsError::NotAStringItem { path: path.into() })
    };
    list(value, path)?.iter().map(name).collect()
}

/// Reads a list of indices; `None` if it is missing.
pub(crate) fn indices(value: &Value, path: &str) -> Result<Option<Vec<u16>>, SettingsError> {
    if lookup(value, path).is_none() {
        return Ok(None);
    }
    let index = |item: &Value| {
        item.as_u64()
            .and_then(|index| u16::try_from(index).ok())
            .ok_or_else(|| SettingsError::NotAnIndex { path: path.into() })
    };
    list(value, path)?
        .iter()
        .map(index)
        .collect::<Result<_, _>>()
        .map(Some)
}

/// Reads one item of a list, a number of at least 1. Returns `default` if the list is missing or has fewer items.
pub(crate) fn number_in_list(
    value: &Value,
    path: &str,
    index: usize,
    default: f64,
) -> Result<f64, SettingsError> {
    if lookup(value, path).is_none() {
        return Ok(default);
    }
    let Some(item) = list(value, path)?.get(index) else {
        return Ok(default);
    };
    let path = path.to_owned();
    item.as_f64()
        .filter(|number| number.is_finite() && *number >= 1.0)
        .ok_or(SettingsError::BelowOne { path, index })
}

/// Reads the flag of one class from a list with an item per class; false if the list is missing.
pub(crate) fn flag_of_class(
    value: &Value,
    path: &str,
    index: usize,
) -> Result<bool, SettingsError> {
    let Some(flags) = lookup(value, path) else {
        return Ok(false);
    };
    let path = path.to_owned();
    flags
        .get(index)
        .and_then(Value::as_bool)
        .ok_or(SettingsError::NotABoolItem { path, index })
}

/// The error of a field whose value is not one of the `allowed` ones.
pub(crate) fn unknown_choice(path: &str, value: &str, allowed: &'static str) -> SettingsError {
    SettingsError::UnknownChoice {
        path: path.into(),
        value: value.into(),
        allowed,
    }
}
