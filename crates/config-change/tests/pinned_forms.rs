//! The serialized forms of this package: the settings document as JSON, the records of the revision journal as JSON
//! and as bytes, and the paths, times of effect and violations of a planned change. The files under `pinned` were
//! written by an earlier version. Journals on disk and clients hold the same forms, so they must be read and written
//! unchanged.

use ironstair_config_change::journal::{decode, encode, Decoded};
use ironstair_config_change::{
    plan, ClassRegistry, Document, FieldChange, NameIndex, PersistedState, Record, TakesEffect,
};
use ironstair_pinned_forms::{hex, json_text, PinnedForms};
use serde_json::Value;

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

fn document(name: &str) -> Document {
    serde_json::from_str(&FORMS.text(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn name_index() -> NameIndex {
    NameIndex {
        zones: vec!["a".into(), "b".into()],
        machine_types: vec!["std".into(), "big".into()],
    }
}

#[test]
fn documents_are_read_and_written_in_the_pinned_json() {
    for (read, written) in [
        ("document-full.json", "document-full.json"),
        ("document-lend.json", "document-lend.json"),
        ("document-least.json", "document-defaults.json"),
        ("document-defaults.json", "document-defaults.json"),
    ] {
        FORMS.assert_same(written, &json_text(&document(read)));
        assert_eq!(document(read).violations(&name_index()).len(), 0, "{read}");
    }
}

#[test]
fn document_with_an_unknown_field_is_refused_with_its_name() {
    let full: Value = FORMS.json("document-full.json");
    let mut count = 0;
    for pointer in [
        "",
        "/band/0",
        "/ration",
        "/cold",
        "/cells",
        "/cells/cell/0",
        "/cells/engine/0",
        "/cells/tenant/0",
        "/log",
    ] {
        let mut invalid = full.clone();
        invalid.pointer_mut(pointer).unwrap()["unknown-field"] = 1.into();
        let reason = serde_json::from_value::<Document>(invalid)
            .unwrap_err()
            .to_string();
        assert!(
            reason.contains("unknown field `unknown-field`"),
            "{pointer}: {reason}"
        );
        count += 1;
    }
    assert_eq!(count, 9);
}

#[test]
fn document_with_a_missing_field_is_refused_with_its_name() {
    let full: Value = FORMS.json("document-full.json");
    let mut count = 0;
    for (pointer, field) in [
        ("", "band"),
        ("", "gateways"),
        ("", "forwards-most"),
        ("", "cold"),
        ("/band/0", "name"),
        ("/band/0", "expected"),
        ("/band/0", "hard-limit"),
        ("/band/0", "payoff"),
        ("/band/0", "repeat"),
        ("/ration", "spare"),
        ("/ration", "share"),
        ("/ration", "span"),
        ("/cold", "from"),
        ("/cold", "warm-after"),
        ("/cold", "multiple"),
        ("/cold", "span"),
        ("/cells", "cell"),
        ("/cells/cell/0", "name"),
        ("/cells/engine/0", "name"),
        ("/cells/engine/0", "cell"),
        ("/cells/tenant/0", "name"),
    ] {
        let mut invalid = full.clone();
        invalid
            .pointer_mut(pointer)
            .unwrap()
            .as_object_mut()
            .unwrap()
            .remove(field)
            .unwrap();
        let reason = serde_json::from_value::<Document>(invalid)
            .unwrap_err()
            .to_string();
        assert!(
            reason.contains(&format!("missing field `{field}`")),
            "{pointer}/{field}: {reason}"
        );
        count += 1;
    }
    assert_eq!(count, 21);
}

#[test]
fn journal_records_are_read_and_written_in_the_pinned_json_and_bytes() {
    let json: Vec<Value> = serde_json::from_str(&FORMS.text("journal.json")).unwrap();
    let read: Vec<Record<Document>> = json
        .iter()
        .map(|record| serde_json::from_value(record.clone()).unwrap())
        .collect();
    FORMS.assert_same("journal.json", &json_text(&read));
    let kinds: Vec<&str> = json
        .iter()
        .flat_map(|record| record.as_object().unwrap().keys())
        .map(String::as_str)
        .collect();
    assert_eq!(
        kinds,
        ["whole", "set", "set", "confirmed", "set", "taken-back"]
    );

    let written: Vec<u8> = read
        .iter()
        .flat_map(|record| encode(record).unwrap())
        .collect();
    FORMS.assert_same("journal.hex", &format!("{}\n", hex(&written)));
    let bytes = FORMS.bytes("journal.hex");
    assert_eq!(
        decode::<Document>(&bytes),
        Decoded {
            records: read.clone(),
            valid_bytes: bytes.len(),
            error: None
        }
    );

    let (persisted, _) = PersistedState::replay(read, document("document-least.json"));
    FORMS.assert_same("journal-opened.json", &json_text(&persisted));
}

#[test]
fn planned_change_has_the_pinned_paths_times_of_effect_and_violations() {
    let (full, lend) = (
        document("document-full.json"),
        document("document-lend.json"),
    );
    let change_text = |change: &FieldChange| {
        let value = |value: &Option<String>| match value {
            None => "none".to_owned(),
            // A test in `plan.rs` covers this text.
            Some(_) if change.path == "/settings/cells" => "some".to_owned(),
            Some(text) => format!("{text:?}"),
        };
        let takes_effect = match change.takes_effect {
            TakesEffect::Immediately => "at once",
            TakesEffect::ForNewRequests => "for new ones only",
            TakesEffect::AfterOpenRequests => "when those open are over",
        };
        format!(
            "{}: {} -> {}, {takes_effect}\n",
            change.path,
            value(&change.from),
            value(&change.to)
        )
    };
    let plan_text = |from: &Document, to: &Document| match plan(
        from,
        to,
        &ClassRegistry::from_document(from),
        &name_index(),
    ) {
        Ok(plan) => plan.changes.iter().map(change_text).collect(),
        Err(violations) => violations
            .iter()
            .map(|violation| format!("refused {}\n", violation.path))
            .collect::<String>(),
    };
    FORMS.assert_same("plan-forth.txt", &plan_text(&full, &lend));
    FORMS.assert_same("plan-back.txt", &plan_text(&lend, &full));
    let mut other = full.clone();
    for class in &mut other.classes {
        class.threads += 1;
        class.preserves_key_order = !class.preserves_key_order;
        class.zones = vec!["elsewhere".into()];
    }
    FORMS.assert_same("plan-refused.txt", &plan_text(&full, &other));
}
