//! Compatibility of the scenario and metrics files. The files under `pinned` were written by an earlier version of the
//! program. Stored scenarios, here under `days` and elsewhere, must still be read with the same values and written back
//! unchanged, for every kind of fault, and the JSON Schema without descriptions must not change.

use ironstair_pinned_forms::{json_text, schema_without_descriptions, PinnedForms};
use ironstair_simulation::{RunMetrics, Scenario};
use serde_json::Value;
use std::path::Path;

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

fn pinned_scenario(name: &str) -> Scenario {
    Scenario::decode(FORMS.text(name).as_bytes()).unwrap_or_else(|error| panic!("{name}: {error}"))
}

#[test]
fn scenarios_are_read_and_written_in_the_pinned_json() {
    for (read, written) in [
        ("day-full.json", "day-full.json"),
        ("day-told.json", "day-told.json"),
        ("day-least.json", "day-defaults.json"),
        ("day-defaults.json", "day-defaults.json"),
    ] {
        FORMS.assert_same(written, &json_text(&pinned_scenario(read)));
    }
}

#[test]
fn scenarios_in_the_days_folder_are_read_with_the_pinned_values() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("days");
    let mut scenarios: Vec<(String, Scenario)> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .map(|path| {
            (
                path.file_name().unwrap().to_str().unwrap().to_owned(),
                Scenario::read(&path).unwrap(),
            )
        })
        .collect();
    scenarios.sort_by(|left, right| left.0.cmp(&right.0));
    FORMS.assert_same("days-kept.json", &json_text(&scenarios));
}

#[test]
fn invalid_scenarios_are_refused_with_the_pinned_field() {
    let full: Value = serde_json::from_str(&FORMS.text("day-full.json")).unwrap();
    for (pointer, value, expected) in [
        ("/seconds", 1.into(), "seconds: "),
        ("/gateways", 0.into(), "gateways: "),
        ("/engines", 0.into(), "engines: "),
        ("/load", 9.into(), "load: "),
        ("/lease_ms", 1.into(), "lease_ms: "),
        ("/ignore_advice", 2.into(), "ignore_advice: "),
        ("/fleet", "other".into(), "fleet: unknown variant"),
        ("/faults/0/at_s", 99.into(), "faults[0].at_s: "),
        (
            "/faults/0/what/kill_gateways/share",
            2.into(),
            "faults[0].what.share: ",
        ),
        (
            "/faults/1/what/stop_gateways/for_s",
            4000.into(),
            "faults[1].what.for_s: ",
        ),
        (
            "/faults/3/what/kill_keepers/back_s",
            4000.into(),
            "faults[3].what.back_s: ",
        ),
    ] {
        let mut invalid = full.clone();
        *invalid.pointer_mut(pointer).unwrap() = value;
        let message = Scenario::decode(invalid.to_string().as_bytes())
            .unwrap_err()
            .to_string();
        assert!(message.starts_with(expected), "{pointer}: {message}");
    }
}

#[test]
fn schema_without_descriptions_is_the_pinned_one() {
    let schema: Value = serde_json::from_str(&Scenario::schema()).unwrap();
    FORMS.assert_same(
        "schema.json",
        &json_text(&schema_without_descriptions(&schema)),
    );
}

#[test]
fn metrics_are_read_and_written_in_the_pinned_json() {
    let metrics: RunMetrics = serde_json::from_str(&FORMS.text("figures.json")).unwrap();
    FORMS.assert_same("figures.json", &json_text(&metrics));
    assert_eq!(
        (
            metrics.engine_crash_count(),
            metrics.violation_count,
            metrics.first_fault_s
        ),
        (3, 1, Some(1.5))
    );
    FORMS.assert_same(
        "figures.csv",
        &ironstair_simulation::report::csv(&[metrics]),
    );
}
