//! Values of leaves, their types, and their JSON encoding (RFC 7951).

use regex::Regex;
use serde_json::{json, Value as Json};
use std::fmt;
use std::ops::RangeInclusive;
use std::sync::Arc;

/// Limit on the characters of a rejected value that an error quotes, because clients may send values of any length.
const MAX_QUOTED_CHARACTERS: usize = 60;

/// The value of a leaf.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Value {
    /// A boolean.
    Bool(bool),
    /// An unsigned integer of at most 32 bits, a number in JSON.
    Uint(u64),
    /// A uint64, which is a string in JSON.
    Uint64(u64),
    /// A decimal64: the number in units of the last fraction digit, and the number of fraction digits.
    Decimal(i64, u8),
    /// A string, or the name of a member of an enumeration.
    Text(Arc<str>),
    /// A leaf-list, in its order.
    List(Vec<Value>),
}

impl Value {
    /// A [`Value::Text`].
    pub fn text(text: impl AsRef<str>) -> Value {
        Value::Text(text.as_ref().into())
    }

    /// The decimal with `digits` fraction digits that is nearest to the number.
    pub fn decimal(number: f64, digits: u8) -> Value {
        let units = (number * 10f64.powi(i32::from(digits))).round() as i64;
        Value::Decimal(units, digits)
    }

    /// The JSON of the value as RFC 7951 encodes it: 64-bit integers and decimals are strings.
    pub fn json(&self) -> Json {
        match self {
            Value::Bool(flag) => json!(flag),
            Value::Uint(number) => json!(number),
            Value::List(values) => Json::Array(values.iter().map(Value::json).collect()),
            other => json!(other.to_string()),
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Value::Bool(flag) => write!(f, "{flag}"),
            Value::Uint(number) | Value::Uint64(number) => write!(f, "{number}"),
            Value::Text(text) => f.write_str(text),
            Value::Decimal(units, digits) => write_decimal(f, *units, *digits),
            Value::List(values) => write_list(f, values),
        }
    }
}

/// Writes the canonical form of a decimal64: at least one fraction digit, and otherwise no trailing zeros.
fn write_decimal(formatter: &mut fmt::Formatter, units: i64, digits: u8) -> fmt::Result {
    let units_per_one = 10u64.pow(u32::from(digits));
    let sign = if units < 0 { "-" } else { "" };
    let whole = units.unsigned_abs() / units_per_one;
    let fraction = units.unsigned_abs() % units_per_one;
    let padded = format!("{fraction:0width$}", width = digits as usize);
    let fraction = match padded.trim_end_matches('0') {
        "" => "0",
        digits => digits,
    };
    write!(formatter, "{sign}{whole}.{fraction}")
}

fn write_list(formatter: &mut fmt::Formatter, values: &[Value]) -> fmt::Result {
    for (index, value) in values.iter().enumerate() {
        if index > 0 {
            formatter.write_str(" ")?;
        }
        write!(formatter, "{value}")?;
    }
    Ok(())
}

/// The type of a leaf, with its restrictions.
#[derive(Clone, Debug)]
pub enum LeafType {
    /// `boolean`.
    Bool,
    /// An unsigned integer.
    Uint {
        /// Whether it is a uint64, which is a string in JSON.
        is_64_bit: bool,
        /// The ranges, one of which contains the value.
        ranges: Vec<RangeInclusive<u64>>,
    },
    /// `decimal64`.
    Decimal {
        /// The number of fraction digits.
        digits: u8,
        /// The ranges, one of which contains the value, in units of the last fraction digit.
        ranges: Vec<RangeInclusive<i64>>,
    },
    /// `string`.
    Text {
        /// The allowed ranges of the length in characters; empty if any length is allowed.
        lengths: Vec<RangeInclusive<u64>>,
        /// The patterns; the text must match all of them.
        patterns: Vec<Regex>,
    },
    /// `enumeration`: the names of its members.
    Enum(Vec<Arc<str>>),
}

/// Why a JSON value is not of a leaf's type. Values are quoted as JSON and truncated.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// The value is not a boolean.
    #[error("{0} is not a boolean, expected true or false")]
    NotBoolean(String),
    /// The value is not an unsigned integer.
    #[error("{0} is not an unsigned integer")]
    NotUnsigned(String),
    /// The value is not a decimal, or has too many fraction digits.
    #[error("{value} is not a decimal number with at most {digits} fraction digits")]
    NotDecimal {
        /// The rejected value.
        value: String,
        /// The number of fraction digits of the type.
        digits: u8,
    },
    /// The value is not a string.
    #[error("{0} is not a string")]
    NotText(String),
    /// The text does not match a pattern of its type.
    #[error("{0} does not match the pattern that its type requires")]
    PatternMismatch(String),
    /// The value is not a member of the enumeration.
    #[error("{value} is not one of {names}")]
    NotInEnumeration {
        /// The rejected value.
        value: String,
        /// The names of the members of the enumeration, separated by commas.
        names: String,
    },
    /// The value is in none of the ranges of its type.
    #[error("{value} is outside {ranges}")]
    OutOfRange {
        /// The rejected value or length.
        value: String,
        /// The ranges as text.
        ranges: String,
    },
}

impl LeafType {
    /// The value that the JSON encodes. Numbers and booleans are accepted as such and as strings, whichever of the two
    /// RFC 7951 requires.
    pub(crate) fn value(&self, json: &Json) -> Result<Value, ValueError> {
        match self {
            LeafType::Bool => boolean(json),
            LeafType::Uint { is_64_bit, ranges } => unsigned(json, *is_64_bit, ranges),
            LeafType::Decimal { digits, ranges } => decimal(json, *digits, ranges),
            LeafType::Text { lengths, patterns } => string(json, lengths, patterns),
            LeafType::Enum(names) => enumeration(json, names),
        }
    }
}

fn boolean(json: &Json) -> Result<Value, ValueError> {
    match (json, json.as_str()) {
        (Json::Bool(flag), _) => Ok(Value::Bool(*flag)),
        (_, Some("true")) => Ok(Value::Bool(true)),
        (_, Some("false")) => Ok(Value::Bool(false)),
        _ => Err(ValueError::NotBoolean(quoted(json))),
    }
}

fn unsigned(
    json: &Json,
    is_64_bit: bool,
    ranges: &[RangeInclusive<u64>],
) -> Result<Value, ValueError> {
    let number = number_text(json)
        .and_then(|text| text.parse::<u64>().ok())
        .ok_or_else(|| ValueError::NotUnsigned(quoted(json)))?;
    check_range(number, ranges, |bound| bound.to_string())?;
    Ok(if is_64_bit {
        Value::Uint64(number)
    } else {
        Value::Uint(number)
    })
}

fn decimal(json: &Json, digits: u8, ranges: &[RangeInclusive<i64>]) -> Result<Value, ValueError> {
    let units = number_text(json)
        .and_then(|text| decimal_units(&text, digits))
        .ok_or_else(|| ValueError::NotDecimal {
            value: quoted(json),
            digits,
        })?;
    check_range(units, ranges, |bound| {
        Value::Decimal(bound, digits).to_string()
    })?;
    Ok(Value::Decimal(units, digits))
}

fn string(
    json: &Json,
    lengths: &[RangeInclusive<u64>],
    patterns: &[Regex],
) -> Result<Value, ValueError> {
    let Json::String(text) = json else {
        return Err(ValueError::NotText(quoted(json)));
    };
    let length = text.chars().count() as u64;
    check_range(length, lengths, |bound| format!("{bound} characters"))?;
    if patterns.iter().any(|pattern| !pattern.is_match(text)) {
        return Err(ValueError::PatternMismatch(quoted(json)));
    }
    Ok(Value::text(text))
}

fn enumeration(json: &Json, names: &[Arc<str>]) -> Result<Value, ValueError> {
    let member = json
        .as_str()
        .and_then(|text| names.iter().find(|name| ***name == *text));
    match member {
        Some(name) => Ok(Value::Text(name.clone())),
        None => Err(ValueError::NotInEnumeration {
            value: quoted(json),
            names: names.join(", "),
        }),
    }
}

/// The text of a number, whether it is a JSON number or a string.
fn number_text(json: &Json) -> Option<String> {
    match json {
        Json::String(text) => Some(text.clone()),
        Json::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

/// The JSON as text, truncated to [`MAX_QUOTED_CHARACTERS`].
fn quoted(json: &Json) -> String {
    let text = json.to_string();
    let start: String = text.chars().take(MAX_QUOTED_CHARACTERS).collect();
    if start.len() < text.len() {
        format!("{start}…")
    } else {
        start
    }
}

/// The decimal in units of the last of `digits` fraction digits. `None` if the text is not a decimal, has more fraction
/// digits, or does not fit 64 bits.
pub(crate) fn decimal_units(text: &str, digits: u8) -> Option<i64> {
    let (sign, unsigned) = match text.strip_prefix('-') {
        Some(rest) => (-1, rest),
        None => (1, text.strip_prefix('+').unwrap_or(text)),
    };
    let (whole, fraction) = unsigned.split_once('.').unwrap_or((unsigned, ""));
    let is_digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
    if whole.is_empty() || unsigned.ends_with('.') {
        return None;
    }
    if !is_digits(whole) || !is_digits(fraction) {
        return None;
    }
    let fraction = fraction.trim_end_matches('0');
    if fraction.len() > digits as usize {
        return None;
    }
    let units = format!("{whole}{fraction:0<width$}", width = digits as usize);
    units.parse::<i64>().ok()?.checked_mul(sign)
}

/// Fails if ranges are given and none of them contains the value. `show` formats the value and the bounds for errors.
fn check_range<T: PartialOrd + Copy>(
    value: T,
    ranges: &[RangeInclusive<T>],
    show: impl Fn(T) -> String,
) -> Result<(), ValueError> {
    if ranges.is_empty() || ranges.iter().any(|range| range.contains(&value)) {
        return Ok(());
    }
    let ranges: Vec<String> = ranges
        .iter()
        .map(|range| format!("{} to {}", show(*range.start()), show(*range.end())))
        .collect();
    Err(ValueError::OutOfRange {
        value: show(value),
        ranges: ranges.join(" or "),
    })
}
