//! Fault scenarios in virtual time: runs are reproducible, faults violate no guarantee, and an error in a scenario
//! names the field.

use ironstair_simulation::world::simulate;
use ironstair_simulation::{RunMetrics, Scenario};

/// A small scenario with additional fields.
fn scenario_with(fields: &str) -> Scenario {
    let text = format!(
        r#"{{"name": "d", "seconds": 25, "gateways": 20, "engines": 6, "load": 0.5, {fields}}}"#
    );
    Scenario::decode(text.as_bytes()).unwrap()
}

fn assert_no_violation_or_crash(metrics: &RunMetrics) {
    assert_eq!(
        (metrics.violation_count, metrics.engine_crash_count()),
        (0, 0),
        "seed {}: {:?}",
        metrics.seed,
        metrics.violations
    );
}

#[test]
fn same_seed_gives_the_same_metrics_and_another_seed_different_ones() {
    let scenario = scenario_with(
        r#""fleet": "members", "faults": [{"at_s": 8, "what": {"kill_gateways": {"share": 0.7, "back_s": 1}}}]"#,
    );
    let (first_run, repeated_run, other_seed) = (
        simulate(&scenario, 3),
        simulate(&scenario, 3),
        simulate(&scenario, 4),
    );
    assert_eq!(first_run, repeated_run);
    assert_ne!(first_run.digest, other_seed.digest);
}

#[test]
fn faults_violate_no_guarantee_and_service_recovers() {
    let kill_gateways = r#"{"at_s": 8, "what": {"kill_gateways": {"share": 0.7, "back_s": 1}}}"#;
    let kill_engines = r#"{"at_s": 8, "what": {"kill_engines": {"share": 0.34, "back_s": 1}}}"#;
    let pause_gateways = r#"{"at_s": 8, "what": {"stop_gateways": {"share": 0.5, "for_s": 4}}}"#;
    let kill_voters = r#"{"at_s": 8, "what": {"kill_keepers": {"back_s": 5}}}"#;
    let name_service_down = r#"{"at_s": 7, "what": {"names_down": {"for_s": 5}}}"#;
    for fleet in ["none", "told", "members"] {
        for (faults, must_recover) in [
            (kill_gateways.to_owned(), true),
            (format!("{kill_gateways}, {kill_engines}"), false),
            (pause_gateways.to_owned(), true),
            (format!("{kill_voters}, {name_service_down}"), true),
        ] {
            let scenario = scenario_with(&format!(
                r#""fleet": "{fleet}", "ignore_advice": 0.33, "faults": [{faults}]"#
            ));
            let metrics = simulate(&scenario, 1);
            assert_no_violation_or_crash(&metrics);
            assert!(
                !must_recover || metrics.seconds_to_full_service().is_some(),
                "{scenario:?}: {:?}",
                metrics.seconds
            );
        }
    }
    // Without a fault nearly all value is served.
    let without_fault = simulate(&scenario_with(r#""faults": []"#), 1);
    assert_no_violation_or_crash(&without_fault);
    assert!(
        without_fault.served_share() > 0.9,
        "{}",
        without_fault.served_share()
    );
}

#[test]
fn shares_exceed_the_limits_only_if_members_do_not_wait_for_them() {
    // The control case disables the wait, which shows that the check finds the violation that the wait prevents.
    let long_outage = r#""faults": [{"at_s": 4, "what": {"kill_gateways": {"share": 0.7, "back_s": 15, "but_keepers": true}}}]"#;
    for (waits, is_violated) in [(true, false), (false, true)] {
        let metrics = simulate(
            &scenario_with(&format!(
                r#""fleet": "members", "shares_wait": {waits}, {long_outage}"#
            )),
            1,
        );
        assert_eq!(
            metrics.violation_count > 0,
            is_violated,
            "{:?}",
            metrics.violations
        );
        assert!(
            !is_violated || metrics.violations[0].starts_with("shares come to"),
            "{:?}",
            metrics.violations
        );
    }
}

#[test]
fn error_in_a_scenario_names_its_field() {
    for (text, expected) in [
        ("", "scenario: EOF"),
        (r#"{"name": "d"}"#, "scenario: missing field `gateways`"),
        (
            r#"{"name": "d", "gateways": 0, "engines": 1, "load": 1}"#,
            "gateways: 0 is outside 1 to 1000",
        ),
        (
            r#"{"name": "d", "gateways": 2, "engines": 1, "load": 1, "fleet": "told"}"#,
            "fleet: requires at least 3 gateways",
        ),
        (
            r#"{"name": "d", "gateways": 2, "engines": 1, "load": 9}"#,
            "load: 9 is outside",
        ),
        (
            r#"{"name": "d", "gateways": 2, "engines": 1, "load": 1, "seed": 1}"#,
            "seed: unknown field `seed`",
        ),
        (
            r#"{"name": "d", "gateways": 2, "engines": 1, "load": 1, "faults": [{"at_s": 1, "what": {"kill_engines": {"share": 2, "back_s": 1}}}]}"#,
            "faults[0].what.share: 2 is outside 0 to 1",
        ),
        (
            r#"{"name": "d", "gateways": 2, "engines": 1, "load": 1, "faults": [{"at_s": 99, "what": {"names_down": {"for_s": 1}}}]}"#,
            "faults[0].at_s: 99 is outside 0 to 60",
        ),
    ] {
        let message = Scenario::decode(text.as_bytes()).unwrap_err().to_string();
        assert!(message.starts_with(expected), "{text}: {message}");
    }
    assert!(Scenario::schema().contains("kill_gateways"));
}
