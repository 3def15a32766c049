//! The tree over the shipped module: values, changes, and JSON there and back.

use ironstair_config_change::Document;
use ironstair_data_tree::leaves::{nodes, select};
use ironstair_data_tree::{Edit, LeafMap, Path, Pattern, Schema, Value};
use proptest::prelude::*;
use serde_json::{json, Value as Json};

fn settings() -> Json {
    json!({
        "band": [
            {"name": "lookup", "expected": 1000, "hard-limit": 5000, "payoff": "1.0", "repeat": "repeatable"},
            {"name": "post", "expected": 4000, "expected-stretch": "2.5", "hard-limit": 20000, "payoff": "6.25",
             "threads": 4, "repeat": "tagged", "within": "mark-group", "window": 3000, "zone": ["a", "b"]}],
        "gateways": 3, "forwards-most": 6,
        "ration": {"spare": 10, "share": "0.1", "span": 10000},
        "cold": {"from": "0.34", "warm-after": 15000, "multiple": "4.0", "span": 1000}})
}

fn start() -> (Schema, LeafMap) {
    let schema = Schema::shipped().unwrap();
    let leaves = schema.leaves(&path("/settings"), &settings()).unwrap();
    (schema, leaves)
}

fn pattern(text: &str) -> Pattern {
    Pattern::read(text).unwrap()
}

fn path(text: &str) -> Path {
    pattern(text).stem()
}

fn faults(edits: &[Edit]) -> String {
    let (schema, leaves) = start();
    match schema.edit(&leaves, edits) {
        Err(e) => e.to_string(),
        Ok(new) => schema
            .document(&new)
            .unwrap_err()
            .iter()
            .map(|m| m.to_string())
            .collect(),
    }
}

fn changed(edits: &[Edit]) -> Document {
    let (schema, leaves) = start();
    schema
        .document(&schema.edit(&leaves, edits).unwrap())
        .unwrap()
}

#[test]
fn a_document_is_the_same_there_and_back() {
    let (schema, leaves) = start();
    let document = schema.document(&leaves).unwrap();
    assert_eq!(
        (document.classes[1].value.get(), document.classes[0].threads),
        (6.25, 1)
    );
    let again = schema.settings(&document).unwrap();
    assert_eq!(schema.document(&again).unwrap(), document);
    assert_eq!(
        again.get(&path("/settings/log/level")),
        Some(&Value::text("info")),
        "defaults are there"
    );
    let json = schema.json(&path("/settings"), select(&again, &pattern("/settings")));
    assert_eq!(json["ironstair-gateway:band"][1]["zone"], json!(["a", "b"]));
    assert_eq!(schema.leaves(&path("/settings"), &json).unwrap(), again);
}

fn update(at: &str, value: Json) -> Vec<Edit> {
    vec![Edit::Update(pattern(at), value)]
}

fn lookup(leaf: &str) -> String {
    format!("/settings/band[name=lookup]/{leaf}")
}

/// The refusal names the path first, then the reason.
#[track_caller]
fn assert_refused(edits: &[Edit], reason: &str) {
    let reported = faults(edits);
    assert!(reported.starts_with(reason), "{reason}: {reported}");
}

#[test]
fn invalid_values_are_refused_with_their_path() {
    assert_refused(
        &update(&lookup("expected"), json!(0)),
        "/settings/band[name=lookup]/expected: 0 is outside 1 to 3600000",
    );
    assert_refused(
        &update(&lookup("expected"), json!(-1)),
        "/settings/band[name=lookup]/expected: -1 is no whole number",
    );
    assert_refused(
        &update(&lookup("payoff"), json!("1.0000001")),
        "/settings/band[name=lookup]/payoff: \"1.0000001\" is no decimal",
    );
    assert_refused(
        &update(&lookup("repeat"), json!("twice")),
        "/settings/band[name=lookup]/repeat: \"twice\" is none of repeatable",
    );
    assert_refused(
        &update(&lookup("in-order"), json!(1)),
        "/settings/band[name=lookup]/in-order: 1 is neither",
    );
    assert_refused(
        &update(&lookup("zone"), json!(["a", "a"])),
        "/settings/band[name=lookup]/zone: a is there twice",
    );
    assert_refused(
        &update(&lookup("zone"), json!(["?"])),
        "/settings/band[name=lookup]/zone: \"?\" is not of the form",
    );
}

#[test]
fn invalid_paths_and_entries_are_refused_with_their_path() {
    assert_refused(
        &update("/settings/bnd", json!({})),
        "/settings/bnd: there is no such node; there are band, gateways",
    );
    assert_refused(
        &update("/settings", json!({"bnd": 1})),
        "/settings: bnd is unknown here",
    );
    assert_refused(
        &update("/settings", json!({"other:band": 1})),
        "/settings: other is no module",
    );
    assert_refused(
        &update("/settings/gateways", json!({"a": 1})),
        "/settings/gateways: {\"a\":1} is no whole number",
    );
    assert_refused(
        &update("/settings/band[nam=x]/payoff", json!("1")),
        "/settings/band[nam=x]: the list's key is name",
    );
    assert_refused(
        &update("/settings/band/payoff", json!("1")),
        "/settings/band/payoff: a change needs one path",
    );
    assert_refused(
        &update("/settings/band[name=lookup]", json!({"name": "post"})),
        "/settings/band[name=lookup]: the entry says",
    );
    assert_refused(
        &update("/settings/band", json!([{"payoff": "1"}])),
        "/settings/band: an entry without its name",
    );
    assert_refused(
        &update("/settings/ration", json!({})),
        "/settings/ration: is there with nothing in it",
    );
    assert_refused(
        &update("/settings", json!({"cells": {"cell": []}})),
        "/settings/cells: is there with nothing in it",
    );
    assert_refused(
        &update("/state/process/name", json!("x")),
        "/state/process/name: only settings",
    );
}

#[test]
fn incomplete_settings_are_refused_with_their_path() {
    assert_refused(
        &update("/settings/band[name=new]", json!({"payoff": "1.0"})),
        "/settings/band[name=new]/expected: is missing",
    );
    assert_refused(
        &[Edit::Delete(pattern(&lookup("name")))],
        "/settings/band[name=lookup]/name: a key goes",
    );
    assert_refused(
        &[Edit::Delete(pattern("/settings/cold/span"))],
        "/settings/cold/span: is missing",
    );
    assert_refused(
        &[Edit::Delete(pattern("/settings/band"))],
        "/settings/band: 0 entries; 1 to 64",
    );
    assert_refused(&[Edit::Delete(pattern("/"))], "/settings/band: 0 entries");
}

#[test]
fn deletions_come_first_then_replacements_then_updates() {
    let d = changed(&[
        Edit::Update(pattern("/settings/band[name=lookup]/expected"), json!(900)),
        Edit::Replace(
            pattern("/settings/band[name=lookup]"),
            json!({"expected": 800, "hard-limit": 4000, "payoff": "2", "repeat": "repeatable"}),
        ),
        Edit::Delete(pattern("/settings/band")),
    ]);
    assert_eq!(
        (
            d.classes.len(),
            d.classes[0].base_objective,
            d.classes[0].hard_limit
        ),
        (1, 900, 4000)
    );
    let d = changed(&[
        Edit::Delete(pattern("/settings/ration")),
        Edit::Delete(pattern("/settings/.../zone")),
    ]);
    assert!(d.retry_budget.is_none() && d.classes.iter().all(|b| b.zones.is_empty()));
    let d = changed(&[Edit::Delete(pattern("/settings/band[name=post]/threads"))]);
    assert_eq!(
        d.classes[1].threads, 1,
        "what is taken out goes back to its default"
    );
}

#[test]
fn wildcards_mean_every_entry_and_a_list_its_entries() {
    let (schema, leaves) = start();
    let found = |text: &str| {
        let wanted = schema.resolve(&pattern(text)).unwrap();
        nodes(&leaves, &wanted)
            .iter()
            .map(|p| p.to_string())
            .collect::<Vec<_>>()
    };
    let values = [
        "/settings/band[name=lookup]/payoff",
        "/settings/band[name=post]/payoff",
    ];
    assert_eq!(found("/settings/band[name=*]/payoff"), values);
    assert_eq!(found("/settings/band/payoff"), values);
    assert_eq!(found("/.../payoff"), values);
    assert_eq!(
        found("/settings/band"),
        ["/settings/band[name=lookup]", "/settings/band[name=post]"]
    );
    assert_eq!(found("/*"), ["/settings"]);
    assert!(schema.resolve(&pattern("/state/nothing")).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..Default::default() })]

    /// A slow plain model of edits on nested JSON: the leaves agree with it.
    #[test]
    fn edits_of_classes_agree_with_a_plain_model(
        edits in proptest::collection::vec((0..3u8, 0..3usize, 1..5000u32), 1..8)
    ) {
        let (schema, leaves) = start();
        let names = ["lookup", "post", "new"];
        let whole = |v: u32| json!({"expected": v, "hard-limit": 9000, "payoff": "1.0", "repeat": "repeatable"});
        let at = |n: usize| format!("/settings/band[name={}]", names[n]);
        let all: Vec<Edit> = edits.iter().map(|&(what, n, v)| match what {
            0 => Edit::Delete(pattern(&at(n))),
            1 => Edit::Replace(pattern(&at(n)), whole(v)),
            _ => Edit::Update(pattern(&format!("{}/expected", at(n))), json!(v)),
        }).collect();
        let mut model: std::collections::BTreeMap<&str, (Option<u32>, bool)> =
            [("lookup", (Some(1000), true)), ("post", (Some(4000), true))].into();
        for turn in 0..3 {
            for &(what, n, v) in edits.iter().filter(|e| e.0 == turn) {
                match what {
                    0 => drop(model.remove(names[n])),
                    1 => drop(model.insert(names[n], (Some(v), true))),
                    _ => model.entry(names[n]).or_insert((None, false)).0 = Some(v),
                }
            }
        }
        let new = schema.edit(&leaves, &all).unwrap();
        let whole = !model.is_empty() && model.values().all(|b| b.1);
        match schema.document(&new) {
            Ok(d) => {
                prop_assert!(whole);
                let got: Vec<_> = d.classes.iter().map(|b| (b.name.as_str(), Some(b.base_objective))).collect();
                let want: Vec<_> = model.iter().map(|(n, b)| (*n, b.0)).collect();
                prop_assert_eq!(got, want);
            }
            Err(_) => prop_assert!(!whole),
        }
    }

    #[test]
    fn any_json_anywhere_is_taken_or_refused_without_a_panic(
        at in "(/|/settings|/settings/band|/settings/band\\[name=[a-z]{1,3}\\]|/settings/cold|/settings/band\\[name=a\\]/zone)",
        text in "[\\[\\]{}\":,a-z0-9. -]{0,40}"
    ) {
        let (schema, leaves) = start();
        let json = serde_json::from_str(&text).unwrap_or(json!(text));
        let edits = [Edit::Update(pattern(&at), json.clone()), Edit::Replace(pattern(&at), json)];
        if let Ok(new) = schema.edit(&leaves, &edits) {
            let _ = schema.document(&new);
        }
    }

    #[test]
    fn any_text_is_a_path_or_none_without_a_panic(text in "[/\\[\\]=*.a-z\\\\]{0,30}") {
        if let Ok(p) = Pattern::read(&text) {
            let (schema, leaves) = start();
            if let Ok(found) = schema.resolve(&p) {
                prop_assert!(nodes(&leaves, &found).len() <= leaves.len());
            }
        }
    }
}
