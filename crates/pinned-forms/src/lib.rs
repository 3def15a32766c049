//! Test support: reads the files under `tests/pinned` of a package. They contain serialized forms that an earlier
//! version of the program wrote. Later versions must read and write the same forms, so that the files are never edited.

use serde::Serialize;
use serde_json::{Map, Value};
use std::path::{Path, PathBuf};

/// Members of a JSON schema that only document it.
const ANNOTATIONS: [&str; 2] = ["description", "title"];
/// Members of a JSON schema that refer to definitions or contain them.
const DEFINITIONS: [&str; 2] = ["$ref", "$defs"];

/// The pinned files of one package.
#[derive(Clone, Copy, Debug)]
pub struct PinnedForms {
    manifest_dir: &'static str,
}

impl PinnedForms {
    /// The files of the package whose manifest is in this directory, which tests state as `env!("CARGO_MANIFEST_DIR")`.
    pub const fn of_package(manifest_dir: &'static str) -> PinnedForms {
        PinnedForms { manifest_dir }
    }

    /// The path of a file.
    pub fn path(&self, name: &str) -> PathBuf {
        Path::new(self.manifest_dir).join("tests/pinned").join(name)
    }

    /// The text of a file.
    ///
    /// # Panics
    /// If the file can't be read.
    pub fn text(&self, name: &str) -> String {
        let path = self.path(name);
        std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
    }

    /// The JSON of a file.
    ///
    /// # Panics
    /// If the file can't be read, or is not JSON.
    pub fn json(&self, name: &str) -> Value {
        serde_json::from_str(&self.text(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
    }

    /// The bytes of a file that contains them as hexadecimal digits.
    ///
    /// # Panics
    /// If the file can't be read, or contains anything but pairs of hexadecimal digits.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        bytes_of_hex(&self.text(name))
    }

    /// Asserts that `written` is exactly the text of a file.
    ///
    /// # Panics
    /// If the texts differ, or the file can't be read.
    #[track_caller]
    pub fn assert_same(&self, name: &str, written: &str) {
        assert_eq!(written, self.text(name), "{name}");
    }
}

/// Encodes bytes as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes bytes from hexadecimal digits. White space around the digits is ignored.
///
/// # Panics
/// If the text contains anything else than pairs of hexadecimal digits.
pub fn bytes_of_hex(text: &str) -> Vec<u8> {
    let digits = text.trim();
    (0..digits.len())
        .step_by(2)
        .map(|start| {
            u8::from_str_radix(&digits[start..start + 2], 16).expect("pairs of hexadecimal digits")
        })
        .collect()
}

/// The value as indented JSON that ends in a line feed.
///
/// # Panics
/// If the value can't be serialized as JSON.
pub fn json_text(value: &impl Serialize) -> String {
    format!("{}\n", serde_json::to_string_pretty(value).unwrap())
}

/// A JSON schema without descriptions and titles, and with each reference replaced by its definition: texts and the
/// names of definitions do not affect the serialized form.
///
/// # Panics
/// If a definition is missing or not an object.
pub fn schema_without_descriptions(schema: &Value) -> Value {
    inlined(schema, &schema["$defs"])
}

fn inlined(schema: &Value, definitions: &Value) -> Value {
    match schema {
        Value::Object(members) => Value::Object(inlined_members(members, definitions)),
        Value::Array(elements) => elements
            .iter()
            .map(|value| inlined(value, definitions))
            .collect(),
        other => other.clone(),
    }
}

fn inlined_members(members: &Map<String, Value>, definitions: &Value) -> Map<String, Value> {
    let mut inline = Map::new();
    let reference = members.get("$ref").and_then(Value::as_str);
    if let Some(name) = reference.and_then(|reference| reference.strip_prefix("#/$defs/")) {
        let Value::Object(definition) = inlined(&definitions[name], definitions) else {
            panic!("{name} is not defined as an object")
        };
        inline.extend(definition);
    }
    for (name, value) in members {
        let is_annotation = value.is_string() && ANNOTATIONS.contains(&name.as_str());
        if !is_annotation && !DEFINITIONS.contains(&name.as_str()) {
            inline.insert(name.clone(), inlined(value, definitions));
        }
    }
    inline
}
