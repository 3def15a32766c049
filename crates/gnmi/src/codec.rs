//! Paths and values between gNMI's messages and the tree's.

use crate::proto::gnmi::{self, typed_value, TypedValue};
use ironstair_data_tree::path::{key_name, Wanted};
use ironstair_data_tree::schema::MODULE_NAME;
use ironstair_data_tree::{Path, Pattern, Value};
use ironstair_management::Scope;
use serde_json::Value as Json;
use tonic::Status;

/// Values within a leaf-list, and bytes of one value as JSON.
const LIST_MOST: usize = 1024;

/// The origin of paths that mean the fleet's settings, not this gateway's.
pub const FLEET: &str = "fleet";

/// Whose settings are meant.
pub fn scope(prefix: Option<&gnmi::Path>) -> Scope {
    match prefix {
        Some(p) if p.origin == FLEET => Scope::Fleet,
        _ => Scope::Gateway,
    }
}

pub fn without_scope(mut prefix: gnmi::Path) -> gnmi::Path {
    if prefix.origin == FLEET {
        prefix.origin.clear();
    }
    prefix
}

/// Whether a path asks for the fleet's history to begin, and whether anew.
pub fn begins(path: &gnmi::Path) -> Option<bool> {
    match path.elem.as_slice() {
        [one] if one.name == "begin" => Some(false),
        [one] if one.name == "begin-anew" => Some(true),
        _ => None,
    }
}

/// A path as it is asked for, behind its prefix; `target` is this gateway's name, where it is given.
pub fn pattern(
    prefix: Option<&gnmi::Path>,
    path: &gnmi::Path,
    name: &str,
) -> Result<Pattern, Status> {
    let wrong = Status::invalid_argument;
    for p in prefix.into_iter().chain([path]) {
        if !["", MODULE_NAME, "rfc7951"].contains(&p.origin.as_str()) {
            return Err(wrong(format!(
                "origin {:?} is not served; {MODULE_NAME} is",
                p.origin
            )));
        }
        if !p.target.is_empty() && p.target != name {
            return Err(wrong(format!(
                "target {:?} is not this gateway, which is {name:?}",
                p.target
            )));
        }
        #[allow(deprecated)]
        if !p.element.is_empty() {
            return Err(wrong(
                "paths come as elem; element is of before gNMI 0.4".to_string(),
            ));
        }
    }
    let steps = prefix.into_iter().chain([path]).flat_map(|p| &p.elem);
    let steps = steps.map(|e| {
        if e.name.is_empty() {
            return Err(wrong("a step of a path has no name".to_string()));
        }
        if e.key.len() > 1 {
            return Err(wrong(format!("{}: a list here has one key", e.name)));
        }
        let key = e.key.iter().next().map(|(k, v)| (k.as_str(), v.as_str()));
        Ok(Wanted::of(&e.name, key))
    });
    Pattern(steps.collect::<Result<_, _>>()?)
        .checked()
        .map_err(wrong)
}

pub fn path(path: &Path) -> gnmi::Path {
    let elem = path.0.iter().map(|s| {
        let key = s
            .key
            .iter()
            .map(|k| (key_name(&s.name).to_string(), k.to_string()));
        gnmi::PathElem {
            name: s.name.to_string(),
            key: key.collect(),
        }
    });
    gnmi::Path {
        elem: elem.collect(),
        ..Default::default()
    }
}

/// A value as a client sent it, in the tree's JSON.
pub fn json(value: Option<&TypedValue>, at: &Pattern) -> Result<Json, Status> {
    use typed_value::Value as V;
    let wrong = |why: &str| Status::invalid_argument(format!("{at}: {why}"));
    let text = |x: f64| {
        let number = serde_json::Number::from_f64(x);
        number
            .map(Json::Number)
            .ok_or_else(|| wrong("a number that is none"))
    };
    match value.and_then(|v| v.value.as_ref()) {
        Some(V::JsonVal(bytes) | V::JsonIetfVal(bytes)) => {
            serde_json::from_slice(bytes).map_err(|e| wrong(&format!("the value is no JSON: {e}")))
        }
        Some(V::StringVal(s) | V::AsciiVal(s)) => Ok(Json::String(s.clone())),
        Some(V::IntVal(n)) => Ok((*n).into()),
        Some(V::UintVal(n)) => Ok((*n).into()),
        Some(V::BoolVal(b)) => Ok((*b).into()),
        Some(V::DoubleVal(x)) => text(*x),
        // As written, not as the nearest double shows.
        Some(V::FloatVal(x)) => Ok(Json::String(x.to_string())),
        Some(V::DecimalVal(d)) => match d.precision {
            0..=18 => Ok(Json::String(
                Value::Decimal(d.digits, d.precision as u8).to_string(),
            )),
            _ => Err(wrong("a decimal with more than 18 digits")),
        },
        Some(V::LeaflistVal(all)) if all.element.len() <= LIST_MOST => {
            all.element.iter().map(|v| json(Some(v), at)).collect()
        }
        Some(V::LeaflistVal(_)) => Err(wrong("too many values")),
        Some(V::BytesVal(_) | V::ProtoBytes(_)) => Err(wrong("bytes are no value here")),
        None => Err(wrong("the value is missing")),
    }
}

/// A leaf's value by itself, for the encoding PROTO.
pub fn scalar(value: &Value) -> TypedValue {
    use typed_value::Value as V;
    let value = match value {
        Value::Bool(b) => V::BoolVal(*b),
        Value::Uint(n) | Value::Wide(n) => V::UintVal(*n),
        Value::Decimal(units, digits) => V::DoubleVal(*units as f64 / 10f64.powi(*digits as i32)),
        Value::Text(t) => V::StringVal(t.to_string()),
        Value::List(all) => V::LeaflistVal(gnmi::ScalarArray {
            element: all.iter().map(scalar).collect(),
        }),
    };
    TypedValue { value: Some(value) }
}

pub fn ietf(json: &Json) -> TypedValue {
    TypedValue {
        value: Some(typed_value::Value::JsonIetfVal(
            json.to_string().into_bytes(),
        )),
    }
}

/// How a client wants values written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    Json,
    JsonIetf,
    Scalars,
}

impl Written {
    pub fn of(encoding: i32) -> Result<Written, Status> {
        match gnmi::Encoding::try_from(encoding) {
            Ok(gnmi::Encoding::Json) => Ok(Written::Json),
            Ok(gnmi::Encoding::JsonIetf) => Ok(Written::JsonIetf),
            Ok(gnmi::Encoding::Proto) => Ok(Written::Scalars),
            Ok(other) => Err(Status::unimplemented(format!(
                "encoding {} is not served",
                other.as_str_name()
            ))),
            Err(_) => Err(Status::invalid_argument(format!(
                "encoding {encoding} is unknown"
            ))),
        }
    }

    pub fn json(self, json: &Json) -> TypedValue {
        match self {
            Written::Json => TypedValue {
                value: Some(typed_value::Value::JsonVal(json.to_string().into_bytes())),
            },
            _ => ietf(json),
        }
    }

    /// One leaf's value.
    pub fn leaf(self, value: &Value) -> TypedValue {
        match self {
            Written::Scalars => scalar(value),
            _ => self.json(&value.json()),
        }
    }
}
