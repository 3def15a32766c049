//! The serialized forms of this package: the settings document as JSON, the records of the revision journal as JSON
//! and as bytes, and the paths, moments and refusals of a planned change. The files under `pinned` were written by an
//! earlier version of the program; journals on disk and clients hold the same forms, so they have to be read and
//! written without a difference.

use ironstair_config_change::journal::{decode, encode, Decoded};
use ironstair_config_change::{
    plan, ClassRegistry, Document, FieldChange, NameIndex, PersistedState, Record, TakesEffect,
};
use ironstair_pinned_forms::{hex, json_text, PinnedForms};
use serde_json::Value;

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

fn document(name: &str) -> Document {
    serde_json::from_str(&FORMS.text(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
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
fn a_document_with_an_unknown_field_is_refused_by_its_name() {
    let full: Value = FORMS.json("document-full.json");
    let mut seen = 0;
    for at in [
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
        let mut spoilt = full.clone();
        spoilt.pointer_mut(at).unwrap()["unknown-field"] = 1.into();
        let reason = serde_json::from_value::<Document>(spoilt)
            .unwrap_err()
            .to_string();
        assert!(
            reason.contains("unknown field `unknown-field`"),
            "{at}: {reason}"
        );
        seen += 1;
    }
    assert_eq!(seen, 9);
}

#[test]
fn a_document_with_a_missing_field_is_refused_by_its_name() {
    let full: Value = FORMS.json("document-full.json");
    let mut seen = 0;
    for (at, field) in [
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
        let mut spoilt = full.clone();
        spoilt
            .pointer_mut(at)
            .unwrap()
            .as_object_mut()
            .unwrap()
            .remove(field)
            .unwrap();
        let reason = serde_json::from_value::<Document>(spoilt)
            .unwrap_err()
            .to_string();
        assert!(
            reason.contains(&format!("missing field `{field}`")),
            "{at}/{field}: {reason}"
        );
        seen += 1;
    }
    assert_eq!(seen, 21);
}

#[test]
fn journal_records_are_read_and_written_in_the_pinned_json_and_bytes() {
    let json: Vec<Value> = serde_json::from_str(&FORMS.text("journal.json")).unwrap();
    let read: Vec<Record<Document>> = json
        .iter()
        .map(|r| serde_json::from_value(r.clone()).unwrap())
        .collect();
    FORMS.assert_same("journal.json", &json_text(&read));
    let kinds: Vec<&str> = json
        .iter()
        .flat_map(|r| r.as_object().unwrap().keys())
        .map(String::as_str)
        .collect();
    assert_eq!(
        kinds,
        ["whole", "set", "set", "confirmed", "set", "taken-back"]
    );

    let written: Vec<u8> = read.iter().flat_map(|r| encode(r).unwrap()).collect();
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
fn a_planned_change_has_the_pinned_paths_moments_and_refusals() {
    let (full, least) = (
        document("document-full.json"),
        document("document-lend.json"),
    );
    let step = |s: &FieldChange| {
        let value = |v: &Option<String>| match v {
            None => "none".to_owned(),
            // Its text has a test of its own, in `plan.rs`.
            Some(_) if s.path == "/settings/cells" => "some".to_owned(),
            Some(text) => format!("{text:?}"),
        };
        let takes_effect = match s.takes_effect {
            TakesEffect::Immediately => "at once",
            TakesEffect::ForNewRequests => "for new ones only",
            TakesEffect::AfterOpenRequests => "when those open are over",
        };
        format!(
            "{}: {} -> {}, {takes_effect}\n",
            s.path,
            value(&s.from),
            value(&s.to)
        )
    };
    let shown = |from: &Document, to: &Document| match plan(
        from,
        to,
        &ClassRegistry::from_document(from),
        &name_index(),
    ) {
        Ok(plan) => plan.changes.iter().map(step).collect(),
        Err(violations) => violations
            .iter()
            .map(|f| format!("refused {}\n", f.path))
            .collect::<String>(),
    };
    FORMS.assert_same("plan-forth.txt", &shown(&full, &least));
    FORMS.assert_same("plan-back.txt", &shown(&least, &full));
    let mut other = full.clone();
    for b in &mut other.classes {
        b.threads += 1;
        b.preserves_key_order = !b.preserves_key_order;
        b.zones = vec!["elsewhere".into()];
    }
    FORMS.assert_same("plan-refused.txt", &shown(&full, &other));
}
