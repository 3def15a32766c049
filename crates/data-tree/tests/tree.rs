//! The settings tree with the schema of the shipped YANG module: values, edits, patterns, and conversion from and to
//! JSON.

use ironstair_config_change::Document;
use ironstair_data_tree::leaves::{nodes, select};
use ironstair_data_tree::{Edit, LeafMap, Path, Pattern, Schema, Value};
use proptest::prelude::*;
use serde_json::{json, Value as Json};

/// Settings with two classes, as JSON of the tree.
fn initial_settings() -> Json {
    json!({
        "band": [
            {"name": "lookup", "expected": 1000, "hard-limit": 5000, "payoff": "1.0", "repeat": "repeatable"},
            {"name": "post", "expected": 4000, "expected-stretch": "2.5", "hard-limit": 20000, "payoff": "6.25",
             "threads": 4, "repeat": "tagged", "within": "mark-group", "window": 3000, "zone": ["a", "b"]}],
        "gateways": 3, "forwards-most": 6,
        "ration": {"spare": 10, "share": "0.1", "span": 10000},
        "cold": {"from": "0.34", "warm-after": 15000, "multiple": "4.0", "span": 1000}})
}

fn initial_tree() -> (Schema, LeafMap) {
    let schema = Schema::shipped().unwrap();
    let leaves = schema
        .leaves(&path("/settings"), &initial_settings())
        .unwrap();
    (schema, leaves)
}

fn pattern(text: &str) -> Pattern {
    Pattern::read(text).unwrap()
}

fn path(text: &str) -> Path {
    pattern(text).stem()
}

/// The errors of the edits, or of the document that they result in.
fn edit_errors(edits: &[Edit]) -> String {
    let (schema, leaves) = initial_tree();
    match schema.edit(&leaves, edits) {
        Err(error) => error.to_string(),
        Ok(edited) => schema
            .document(&edited)
            .unwrap_err()
            .iter()
            .map(|error| error.to_string())
            .collect(),
    }
}

/// The document that results from the edits.
fn edited_document(edits: &[Edit]) -> Document {
    let (schema, leaves) = initial_tree();
    schema
        .document(&schema.edit(&leaves, edits).unwrap())
        .unwrap()
}

#[test]
fn document_is_unchanged_after_conversion_to_leaves_and_json() {
    let (schema, leaves) = initial_tree();
    let document = schema.document(&leaves).unwrap();
    assert_eq!(
        (document.classes[1].value.get(), document.classes[0].threads),
        (6.25, 1)
    );
    let converted = schema.settings(&document).unwrap();
    assert_eq!(schema.document(&converted).unwrap(), document);
    assert_eq!(
        converted.get(&path("/settings/log/level")),
        Some(&Value::text("info")),
        "leaves of a document include the defaults"
    );
    let json = schema.json(
        &path("/settings"),
        select(&converted, &pattern("/settings")),
    );
    assert_eq!(json["ironstair-gateway:band"][1]["zone"], json!(["a", "b"]));
    assert_eq!(schema.leaves(&path("/settings"), &json).unwrap(), converted);
}

fn update_edit(at: &str, value: Json) -> Vec<Edit> {
    vec![Edit::Update(pattern(at), value)]
}

/// The path of a leaf of the class `lookup`.
fn lookup_leaf(leaf: &str) -> String {
    format!("/settings/band[name=lookup]/{leaf}")
}

/// Asserts that the edits are rejected. The error names the path first, then the reason.
#[track_caller]
fn assert_rejected(edits: &[Edit], reason: &str) {
    let reported = edit_errors(edits);
    assert!(reported.starts_with(reason), "{reason}: {reported}");
}

#[test]
fn invalid_values_are_rejected_with_their_path() {
    assert_rejected(
        &update_edit(&lookup_leaf("expected"), json!(0)),
        "/settings/band[name=lookup]/expected: 0 is outside 1 to 3600000",
    );
    assert_rejected(
        &update_edit(&lookup_leaf("expected"), json!(-1)),
        "/settings/band[name=lookup]/expected: -1 is not an unsigned integer",
    );
    assert_rejected(
        &update_edit(&lookup_leaf("payoff"), json!("1.0000001")),
        "/settings/band[name=lookup]/payoff: \"1.0000001\" is not a decimal number with at most",
    );
    assert_rejected(
        &update_edit(&lookup_leaf("repeat"), json!("twice")),
        "/settings/band[name=lookup]/repeat: \"twice\" is not one of repeatable",
    );
    assert_rejected(
        &update_edit(&lookup_leaf("in-order"), json!(1)),
        "/settings/band[name=lookup]/in-order: 1 is not a boolean",
    );
    assert_rejected(
        &update_edit(&lookup_leaf("zone"), json!(["a", "a"])),
        "/settings/band[name=lookup]/zone: a occurs more than once",
    );
    assert_rejected(
        &update_edit(&lookup_leaf("zone"), json!(["?"])),
        "/settings/band[name=lookup]/zone: \"?\" does not match the pattern",
    );
}

#[test]
fn invalid_paths_and_entries_are_rejected_with_their_path() {
    assert_rejected(
        &update_edit("/settings/bnd", json!({})),
        "/settings/bnd: unknown node, expected one of band, gateways",
    );
    assert_rejected(
        &update_edit("/settings", json!({"bnd": 1})),
        "/settings: unknown member bnd, expected one of band, gateways",
    );
    assert_rejected(
        &update_edit("/settings", json!({"other:band": 1})),
        "/settings: unknown module other",
    );
    assert_rejected(
        &update_edit("/settings/gateways", json!({"a": 1})),
        "/settings/gateways: {\"a\":1} is not an unsigned integer",
    );
    assert_rejected(
        &update_edit("/settings/band[nam=x]/payoff", json!("1")),
        "/settings/band[nam=x]: the key of the list is name, not nam",
    );
    assert_rejected(
        &update_edit("/settings/band/payoff", json!("1")),
        "/settings/band/payoff: the path of a change must denote a single node",
    );
    assert_rejected(
        &update_edit("/settings/band[name=lookup]", json!({"name": "post"})),
        "/settings/band[name=lookup]: the entry has the name post, expected lookup",
    );
    assert_rejected(
        &update_edit("/settings/band", json!([{"payoff": "1"}])),
        "/settings/band: an entry has no key leaf name",
    );
    assert_rejected(
        &update_edit("/settings/ration", json!({})),
        "/settings/ration: the container is empty",
    );
    assert_rejected(
        &update_edit("/settings", json!({"cells": {"cell": []}})),
        "/settings/cells: the container is empty",
    );
    assert_rejected(
        &update_edit("/state/process/name", json!("x")),
        "/state/process/name: only paths below /settings",
    );
}

#[test]
fn incomplete_settings_are_rejected_with_their_path() {
    assert_rejected(
        &update_edit("/settings/band[name=new]", json!({"payoff": "1.0"})),
        "/settings/band[name=new]/expected: the mandatory setting is missing",
    );
    assert_rejected(
        &[Edit::Delete(pattern(&lookup_leaf("name")))],
        "/settings/band[name=lookup]/name: the key of an entry can only be deleted",
    );
    assert_rejected(
        &[Edit::Delete(pattern("/settings/cold/span"))],
        "/settings/cold/span: the mandatory setting is missing",
    );
    assert_rejected(
        &[Edit::Delete(pattern("/settings/band"))],
        "/settings/band: the list has 0 entries, 1 to 64",
    );
    assert_rejected(
        &[Edit::Delete(pattern("/"))],
        "/settings/band: the list has 0 entries",
    );
}

#[test]
fn deletions_come_first_then_replacements_then_updates() {
    let document = edited_document(&[
        Edit::Update(pattern("/settings/band[name=lookup]/expected"), json!(900)),
        Edit::Replace(
            pattern("/settings/band[name=lookup]"),
            json!({"expected": 800, "hard-limit": 4000, "payoff": "2", "repeat": "repeatable"}),
        ),
        Edit::Delete(pattern("/settings/band")),
    ]);
    assert_eq!(
        (
            document.classes.len(),
            document.classes[0].base_objective,
            document.classes[0].hard_limit
        ),
        (1, 900, 4000)
    );
    let document = edited_document(&[
        Edit::Delete(pattern("/settings/ration")),
        Edit::Delete(pattern("/settings/.../zone")),
    ]);
    assert!(
        document.retry_budget.is_none()
            && document.classes.iter().all(|class| class.zones.is_empty())
    );
    let document = edited_document(&[Edit::Delete(pattern("/settings/band[name=post]/threads"))]);
    assert_eq!(
        document.classes[1].threads, 1,
        "a deleted setting returns to its default"
    );
}

#[test]
fn wildcards_and_lists_without_a_key_match_every_entry() {
    let (schema, leaves) = initial_tree();
    let matched = |text: &str| {
        let resolved = schema.resolve(&pattern(text)).unwrap();
        nodes(&leaves, &resolved)
            .iter()
            .map(|path| path.to_string())
            .collect::<Vec<_>>()
    };
    let values = [
        "/settings/band[name=lookup]/payoff",
        "/settings/band[name=post]/payoff",
    ];
    assert_eq!(matched("/settings/band[name=*]/payoff"), values);
    assert_eq!(matched("/settings/band/payoff"), values);
    assert_eq!(matched("/.../payoff"), values);
    assert_eq!(
        matched("/settings/band"),
        ["/settings/band[name=lookup]", "/settings/band[name=post]"]
    );
    assert_eq!(matched("/*"), ["/settings"]);
    assert!(schema.resolve(&pattern("/state/nothing")).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..Default::default() })]

    /// Compares edits of classes with a model that holds the value of `expected` of each class, and whether all of its
    /// mandatory settings are present.
    #[test]
    fn edits_of_classes_agree_with_a_model(
        edits in proptest::collection::vec((0..3u8, 0..3usize, 1..5000u32), 1..8)
    ) {
        let (schema, leaves) = initial_tree();
        let names = ["lookup", "post", "new"];
        let complete_class = |expected: u32| {
            json!({"expected": expected, "hard-limit": 9000, "payoff": "1.0", "repeat": "repeatable"})
        };
        let class_path = |index: usize| format!("/settings/band[name={}]", names[index]);
        let all: Vec<Edit> = edits.iter().map(|&(operation, index, expected)| match operation {
            0 => Edit::Delete(pattern(&class_path(index))),
            1 => Edit::Replace(pattern(&class_path(index)), complete_class(expected)),
            _ => Edit::Update(pattern(&format!("{}/expected", class_path(index))), json!(expected)),
        }).collect();
        let mut model: std::collections::BTreeMap<&str, (Option<u32>, bool)> =
            [("lookup", (Some(1000), true)), ("post", (Some(4000), true))].into();
        // Deletions are applied first, then replacements, then updates.
        for current in 0..3 {
            for &(operation, index, expected) in edits.iter().filter(|edit| edit.0 == current) {
                match operation {
                    0 => drop(model.remove(names[index])),
                    1 => drop(model.insert(names[index], (Some(expected), true))),
                    _ => model.entry(names[index]).or_insert((None, false)).0 = Some(expected),
                }
            }
        }
        let edited = schema.edit(&leaves, &all).unwrap();
        let is_complete = !model.is_empty() && model.values().all(|class| class.1);
        match schema.document(&edited) {
            Ok(document) => {
                prop_assert!(is_complete);
                let actual: Vec<_> =
                    document.classes.iter().map(|class| (class.name.as_str(), Some(class.base_objective))).collect();
                let modelled: Vec<_> = model.iter().map(|(name, class)| (*name, class.0)).collect();
                prop_assert_eq!(actual, modelled);
            }
            Err(_) => prop_assert!(!is_complete),
        }
    }

    #[test]
    fn arbitrary_json_is_accepted_or_rejected_without_a_panic(
        at in "(/|/settings|/settings/band|/settings/band\\[name=[a-z]{1,3}\\]|/settings/cold|/settings/band\\[name=a\\]/zone)",
        text in "[\\[\\]{}\":,a-z0-9. -]{0,40}"
    ) {
        let (schema, leaves) = initial_tree();
        let json = serde_json::from_str(&text).unwrap_or(json!(text));
        let edits = [Edit::Update(pattern(&at), json.clone()), Edit::Replace(pattern(&at), json)];
        if let Ok(edited) = schema.edit(&leaves, &edits) {
            let _ = schema.document(&edited);
        }
    }

    #[test]
    fn arbitrary_text_is_accepted_or_rejected_as_a_path_without_a_panic(text in "[/\\[\\]=*.a-z\\\\]{0,30}") {
        if let Ok(pattern) = Pattern::read(&text) {
            let (schema, leaves) = initial_tree();
            if let Ok(resolved) = schema.resolve(&pattern) {
                prop_assert!(nodes(&leaves, &resolved).len() <= leaves.len());
            }
        }
    }
}
