//! Translates paths and values between gNMI's messages and the tree.

use crate::proto::gnmi::{self, typed_value, TypedValue};
use ironstair_data_tree::path::{key_name, StepPattern};
use ironstair_data_tree::schema::MODULE_NAME;
use ironstair_data_tree::{Path, Pattern, Value};
use ironstair_management::Scope;
use serde_json::Value as Json;
use tonic::Status;

/// The limit on values in a leaf-list that a client sends.
const MAX_LIST_VALUES: usize = 1024;

/// The origin of paths that address the fleet's settings instead of this gateway's.
pub const FLEET: &str = "fleet";

/// The origins under which this gateway's own tree is served.
const OWN_ORIGINS: [&str; 3] = ["", MODULE_NAME, "rfc7951"];

/// Whose settings a request addresses.
pub(crate) fn scope(prefix: Option<&gnmi::Path>) -> Scope {
    match prefix {
        Some(prefix) if prefix.origin == FLEET => Scope::Fleet,
        _ => Scope::Gateway,
    }
}

/// The prefix without the origin that addresses the fleet.
pub(crate) fn without_scope(mut prefix: gnmi::Path) -> gnmi::Path {
    if prefix.origin == FLEET {
        prefix.origin.clear();
    }
    prefix
}

/// A command to bootstrap the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BootstrapCommand {
    /// Bootstraps a fleet that has decided nothing yet.
    Initial,
    /// Starts a new generation after the state of most voters was lost.
    NewGeneration,
}

/// The bootstrap command that a path denotes.
pub(crate) fn bootstrap_command(path: &gnmi::Path) -> Option<BootstrapCommand> {
    match path.elem.as_slice() {
        [element] if element.name == "begin" => Some(BootstrapCommand::Initial),
        [element] if element.name == "begin-anew" => Some(BootstrapCommand::NewGeneration),
        _ => None,
    }
}

/// The pattern of a path with its prefix. `gateway` is the only target that is accepted.
pub(crate) fn pattern(
    prefix: Option<&gnmi::Path>,
    path: &gnmi::Path,
    gateway: &str,
) -> Result<Pattern, Status> {
    for part in prefix.into_iter().chain([path]) {
        check_addressee(part, gateway)?;
    }
    let elements = prefix.into_iter().chain([path]).flat_map(|part| &part.elem);
    let steps = elements.map(step).collect::<Result<_, Status>>()?;
    Pattern(steps)
        .checked()
        .map_err(|error| Status::invalid_argument(error.to_string()))
}

fn check_addressee(path: &gnmi::Path, gateway: &str) -> Result<(), Status> {
    if !OWN_ORIGINS.contains(&path.origin.as_str()) {
        let origin = &path.origin;
        return Err(Status::invalid_argument(format!(
            "origin {origin:?} is unknown, expected {MODULE_NAME:?}"
        )));
    }
    if !path.target.is_empty() && path.target != gateway {
        let target = &path.target;
        return Err(Status::invalid_argument(format!(
            "target {target:?} is not this gateway, expected {gateway:?}"
        )));
    }
    #[expect(deprecated, reason = "paths in the deprecated form are refused")]
    let has_deprecated_elements = !path.element.is_empty();
    if has_deprecated_elements {
        return Err(Status::invalid_argument(
            "the path uses the field element, which is deprecated since gNMI 0.4; expected elem",
        ));
    }
    Ok(())
}

fn step(element: &gnmi::PathElem) -> Result<StepPattern, Status> {
    if element.name.is_empty() {
        return Err(Status::invalid_argument(
            "the path has an elem without a name",
        ));
    }
    if element.key.len() > 1 {
        let name = &element.name;
        return Err(Status::invalid_argument(format!(
            "{name}: the elem has {} keys, at most one is allowed",
            element.key.len()
        )));
    }
    let key = element.key.iter().next();
    let key = key.map(|(name, value)| (name.as_str(), value.as_str()));
    Ok(StepPattern::of(&element.name, key))
}

/// A path of the tree as a gNMI message.
pub(crate) fn path(path: &Path) -> gnmi::Path {
    let elements = path.0.iter().map(|step| {
        let key = step.key.iter();
        gnmi::PathElem {
            name: step.name.to_string(),
            key: key
                .map(|value| (key_name(&step.name).to_owned(), value.to_string()))
                .collect(),
        }
    });
    gnmi::Path {
        elem: elements.collect(),
        ..Default::default()
    }
}

/// A client's value as JSON of the tree.
pub(crate) fn json(value: Option<&TypedValue>, at: &Pattern) -> Result<Json, Status> {
    use typed_value::Value as Typed;
    let invalid = |reason: &str| Status::invalid_argument(format!("{at}: {reason}"));
    let Some(value) = value.and_then(|typed| typed.value.as_ref()) else {
        return Err(invalid("the value is missing"));
    };
    match value {
        Typed::JsonVal(bytes) | Typed::JsonIetfVal(bytes) => serde_json::from_slice(bytes)
            .map_err(|error| invalid(&format!("the value is not valid JSON: {error}"))),
        Typed::StringVal(text) | Typed::AsciiVal(text) => Ok(Json::String(text.clone())),
        Typed::IntVal(number) => Ok((*number).into()),
        Typed::UintVal(number) => Ok((*number).into()),
        Typed::BoolVal(is_true) => Ok((*is_true).into()),
        Typed::DoubleVal(number) => serde_json::Number::from_f64(*number)
            .map(Json::Number)
            .ok_or_else(|| invalid(&format!("double_val is {number}, expected a finite number"))),
        // As a string: a float converted to a double would show digits that the client did not send.
        Typed::FloatVal(number) => Ok(Json::String(number.to_string())),
        Typed::DecimalVal(decimal) => match decimal.precision {
            0..=18 => Ok(Json::String(
                Value::Decimal(decimal.digits, decimal.precision as u8).to_string(),
            )),
            precision => Err(invalid(&format!(
                "decimal_val has the precision {precision}, at most 18 is allowed"
            ))),
        },
        Typed::LeaflistVal(list) if list.element.len() <= MAX_LIST_VALUES => list
            .element
            .iter()
            .map(|element| json(Some(element), at))
            .collect(),
        Typed::LeaflistVal(list) => Err(invalid(&format!(
            "leaflist_val has {} values, at most {MAX_LIST_VALUES} are allowed",
            list.element.len()
        ))),
        Typed::BytesVal(_) | Typed::ProtoBytes(_) => Err(invalid(
            "bytes_val and proto_bytes are not supported, expected JSON or a scalar",
        )),
    }
}

/// A leaf's value as one typed value, for the encoding PROTO.
fn scalar(value: &Value) -> TypedValue {
    use typed_value::Value as Typed;
    let value = match value {
        Value::Bool(is_true) => Typed::BoolVal(*is_true),
        Value::Uint(number) | Value::Uint64(number) => Typed::UintVal(*number),
        Value::Decimal(units, digits) => {
            Typed::DoubleVal(*units as f64 / 10f64.powi(i32::from(*digits)))
        }
        Value::Text(text) => Typed::StringVal(text.to_string()),
        Value::List(values) => Typed::LeaflistVal(gnmi::ScalarArray {
            element: values.iter().map(scalar).collect(),
        }),
    };
    TypedValue { value: Some(value) }
}

/// The encoding of values that a client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Encoding {
    Json,
    JsonIetf,
    /// One typed value for each leaf.
    Proto,
}

impl Encoding {
    /// The encoding that a request names.
    pub(crate) fn of(encoding: i32) -> Result<Encoding, Status> {
        match gnmi::Encoding::try_from(encoding) {
            Ok(gnmi::Encoding::Json) => Ok(Encoding::Json),
            Ok(gnmi::Encoding::JsonIetf) => Ok(Encoding::JsonIetf),
            Ok(gnmi::Encoding::Proto) => Ok(Encoding::Proto),
            Ok(other) => {
                let name = other.as_str_name();
                Err(Status::unimplemented(format!(
                    "encoding {name} is not supported, expected JSON, JSON_IETF or PROTO"
                )))
            }
            Err(_) => Err(Status::invalid_argument(format!(
                "encoding {encoding} is unknown"
            ))),
        }
    }

    /// A subtree as one value. PROTO has no encoding of subtrees, so that JSON_IETF is used.
    pub(crate) fn subtree(self, json: &Json) -> TypedValue {
        let bytes = json.to_string().into_bytes();
        let value = match self {
            Encoding::Json => typed_value::Value::JsonVal(bytes),
            Encoding::JsonIetf | Encoding::Proto => typed_value::Value::JsonIetfVal(bytes),
        };
        TypedValue { value: Some(value) }
    }

    /// One leaf's value.
    pub(crate) fn leaf(self, value: &Value) -> TypedValue {
        match self {
            Encoding::Proto => scalar(value),
            Encoding::Json | Encoding::JsonIetf => self.subtree(&value.json()),
        }
    }
}
