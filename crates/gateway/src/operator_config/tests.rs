use super::*;

#[test]
fn the_example_under_deploy_is_read() {
    let example = include_bytes!("../../../../deploy/operator.json");
    assert!(decode(example).unwrap().management.is_some());
    assert!(decode(b"{}").unwrap().management.is_none());
}

fn fleet(management: &str, fleet: &str) -> String {
    let management = match management {
        "" => String::new(),
        more => format!(r#""management": {{"listen": "127.0.0.1:1"{more}}}, "#),
    };
    let voters = r#""keepers": {"a": "127.0.0.1:2", "b": "127.0.0.1:3", "c": "127.0.0.1:4"}"#;
    format!(
        r#"{{{management}"fleet": {{"name": "f", "listen": "127.0.0.1:2", {voters}, {fleet}}}}}"#
    )
}

#[test]
fn a_fleet_is_checked_whole_and_the_platform_runs_without_one() {
    // Against a gateway that is half in a fleet, and one that is in one by accident.
    let read = |more: &str| {
        decode(fleet(r#", "streams": 1"#, more).as_bytes())
            .unwrap()
            .fleet
            .unwrap()
    };
    let voter = fleet_config(&read(r#""state": "s""#), "a").unwrap();
    assert_eq!(
        (voter.lease, voter.steady, voter.is_voter()),
        (3000.0, false, true)
    );
    assert!(!fleet_config(&read(r#""cut_off": "steady""#), "d")
        .unwrap()
        .is_voter());
    for (more, name, why) in [
        (r#""lease_ms": 999"#, "d", "fleet.lease_ms: 999"),
        (
            r#""state": "s""#,
            "d",
            "fleet.state: d is not among the voters",
        ),
        (r#""lease_ms": 3000"#, "a", "fleet.state: a is a voter"),
        (r#""lease_ms": 3000"#, "", "fleet: the gateway's own name"),
        (
            r#""count": "members", "cut_off": "steady""#,
            "d",
            "fleet.count: a steady gateway",
        ),
    ] {
        let error = fleet_config(&read(more), name).unwrap_err().to_string();
        assert!(error.starts_with(why), "{more}: {error}");
    }
    let mut two = read(r#""state": "s""#);
    two.voters.insert("c".into(), two.voters["b"]);
    assert!(fleet_config(&two, "a")
        .unwrap_err()
        .to_string()
        .starts_with("fleet.keepers.b: 127.0.0.1:3 is also the address of another voter"));
    two.voters.remove("c");
    assert_eq!(
        fleet_config(&two, "a").unwrap_err().to_string(),
        "fleet.keepers: expected 3 or 5 voters, found 2"
    );
    let platform = include_str!("../../../../deploy/balancer.toml");
    assert!(platform.contains("ironstair serve") && !platform.contains("operator"));
}

/// The refusal names the field first, then the reason.
#[track_caller]
fn assert_refused(text: &str, reason: &str) {
    let error = decode(text.as_bytes()).unwrap_err().to_string();
    assert!(error.starts_with(reason), "{text}: {error}");
}

#[test]
fn invalid_operators_file_is_refused() {
    assert_refused("", "the file: EOF");
    assert_refused("[]", "the file: invalid length 0");
    assert_refused(
        r#"{"managment": {}}"#,
        "managment: unknown field `managment`",
    );
    assert_refused(r#"{"recovery": {}}"#, "recovery: missing field `state`");
    assert_refused("{} {}", "trailing characters");
}

#[test]
fn invalid_management_section_is_refused_by_its_field() {
    assert_refused(
        r#"{"management": {}}"#,
        "management: missing field `listen`",
    );
    assert_refused(
        r#"{"management": {"listen": 5}}"#,
        "management.listen: invalid type",
    );
    assert_refused(
        r#"{"management": {"listen": "here"}}"#,
        "management.listen: invalid socket address",
    );
    assert_refused(
        r#"{"management": {"listen": "0.0.0.0:1"}}"#,
        "management.listen: without TLS",
    );
    assert_refused(
        r#"{"management": {"listen": "[::1]:1", "streams": 0}}"#,
        "management.streams: 0",
    );
    assert_refused(
        r#"{"management": {"listen": "[::1]:1", "state": 1}}"#,
        "management.state: invalid type",
    );
    assert_refused(
        r#"{"management": {"listen": "[::1]:1", "tls": {}}}"#,
        "management.tls: missing field `certificate`",
    );
    assert_refused(
        r#"{"management": {"listen": "0.0.0.0:1", "tls": {"certificate": "", "key": "", "clients": ""}}}"#,
        "management.tls: neither",
    );
}

#[test]
fn invalid_cells_section_is_refused_by_its_field() {
    assert_refused(
        r#"{"cells": {"names": {}}}"#,
        "cells: /settings/cells/cell: there is no cell",
    );
    assert_refused(
        r#"{"cells": {"names": {"a": -1}}}"#,
        "cells.names.a: is no share",
    );
    assert_refused(
        r#"{"cells": {"names": {"a": 1}, "shard": 2}}"#,
        "cells: /settings/cells/shard: a tenant",
    );
    assert_refused(
        r#"{"cells": {"names": {"a": 1}, "engines": {"e1": "b"}}}"#,
        "cells: /settings/cells/engine[name=e1]/cell: there is no cell b",
    );
    assert_refused(
        r#"{"cells": {"names": {"a": 1}, "tenants": {"t": []}}}"#,
        "cells: /settings/cells/tenant[name=t]/cell: a tenant",
    );
    assert_refused(
        r#"{"cells": {"names": {"a": 1}, "without": {"lend": 2}}}"#,
        "cells.without: is no",
    );
}

#[test]
fn invalid_fleet_section_is_refused_by_its_field() {
    assert_refused(r#"{"fleet": {}}"#, "fleet: missing field `name`");
    assert_refused(
        &fleet("", r#""lease_ms": 3000"#),
        "fleet: it is shown and changed by management",
    );
    assert_refused(
        &fleet(r#", "state": "s""#, r#""lease_ms": 3000"#),
        "management.state: in a fleet",
    );
    assert_refused(
        &fleet(r#", "streams": 1"#, r#""cut_off": "maybe""#),
        "fleet.cut_off: unknown variant",
    );
}

#[test]
fn the_schema_names_every_field() {
    let schema = schema();
    for field in [
        "management",
        "listen",
        "state",
        "streams",
        "tls",
        "change",
        "read",
        "clients",
        "recovery",
    ] {
        assert!(schema.contains(&format!("\"{field}\"")), "{field}");
    }
}
