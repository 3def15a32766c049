//! Conversion of paths and values between gNMI messages, JSON and text.

use super::error::CommandError;
use ironstair_data_tree::path::StepPattern;
use ironstair_data_tree::{Pattern, Schema};
use ironstair_gnmi::proto::gnmi::{self, typed_value, TypedValue};
use serde_json::{json, Value as Json};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::{Duration, SystemTime};

/// The wildcard for one step's name or key.
const ANY: &str = "*";
/// The wildcard for any number of steps.
const ANY_DEPTH: &str = "...";

/// Parses a path from the command line; `*` and `...` are wildcards.
///
/// # Errors
/// The text is not a valid path.
pub(super) fn parse_path(text: &str) -> Result<gnmi::Path, CommandError> {
    let pattern = Pattern::read(text).map_err(CommandError::InvalidPath)?;
    Ok(gnmi::Path {
        elem: pattern.0.iter().map(path_element).collect(),
        ..Default::default()
    })
}

fn path_element(step: &StepPattern) -> gnmi::PathElem {
    match step {
        StepPattern::AnySteps => gnmi::PathElem {
            name: ANY_DEPTH.into(),
            ..Default::default()
        },
        StepPattern::Step {
            name,
            key,
            key_name,
        } => {
            let key = key.as_ref().map_or(ANY.into(), |key| key.to_string());
            gnmi::PathElem {
                name: name.as_ref().map_or(ANY.into(), |name| name.to_string()),
                key: key_name
                    .iter()
                    .map(|key_name| (key_name.to_string(), key.clone()))
                    .collect(),
            }
        }
    }
}

/// Formats a path as text, with the keys in the order of their names.
pub(super) fn path_text(prefix: Option<&gnmi::Path>, path: Option<&gnmi::Path>) -> String {
    let mut text = String::new();
    for element in prefix.into_iter().chain(path).flat_map(|path| &path.elem) {
        let _ = write!(text, "/{}", element.name);
        let keys: BTreeMap<&String, &String> = element.key.iter().collect();
        for (name, value) in keys {
            let _ = write!(text, "[{name}={value}]");
        }
    }
    if text.is_empty() {
        "/".into()
    } else {
        text
    }
}

/// Converts a gNMI value to JSON; a missing value, or one of a type that the gateway does not send, becomes `null`.
pub(super) fn json_value(typed: Option<&TypedValue>) -> Json {
    use typed_value::Value;
    match typed.and_then(|typed| typed.value.as_ref()) {
        Some(Value::StringVal(text) | Value::AsciiVal(text)) => json!(text),
        Some(Value::IntVal(number)) => json!(number),
        Some(Value::UintVal(number)) => json!(number),
        Some(Value::BoolVal(flag)) => json!(flag),
        Some(Value::DoubleVal(number)) => json!(number),
        Some(Value::LeaflistVal(list)) => list
            .element
            .iter()
            .map(|element| json_value(Some(element)))
            .collect(),
        Some(Value::JsonVal(bytes) | Value::JsonIetfVal(bytes)) => {
            serde_json::from_slice(bytes).unwrap_or(Json::Null)
        }
        _ => Json::Null,
    }
}

/// Formats a JSON value for people: strings without quotes, the elements of a list separated by spaces.
pub(super) fn plain_text(value: &Json) -> String {
    match value {
        Json::String(text) => text.clone(),
        Json::Array(list) => list.iter().map(plain_text).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

/// Converts a duration to the protobuf type.
pub(super) fn proto_duration(duration: Duration) -> prost_types::Duration {
    prost_types::Duration {
        seconds: duration.as_secs() as i64,
        nanos: duration.subsec_nanos() as i32,
    }
}

/// Formats Unix milliseconds as an RFC 3339 time; 0, which stands for "never", becomes `-`.
pub(super) fn format_time(unix_ms: u64) -> String {
    if unix_ms == 0 {
        return "-".into();
    }
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(unix_ms);
    humantime::format_rfc3339_millis(time).to_string()
}

/// The schema of the data tree, from the built-in YANG module.
///
/// # Errors
/// The module cannot be parsed.
pub(super) fn schema() -> Result<Schema, CommandError> {
    Schema::shipped().map_err(CommandError::Schema)
}
