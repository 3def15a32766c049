use super::*;

#[test]
fn operator_file_under_deploy_is_valid() {
    let example = include_bytes!("../../../../deploy/operator.json");
    assert!(decode(example).unwrap().management.is_some());
    assert!(decode(b"{}").unwrap().management.is_none());
}

/// The text of an operator file with a fleet of three voters. `management` are further fields of the section
/// `management`, which is left out if that is empty; `fleet` are further fields of the section `fleet`.
fn operator_with_fleet(management: &str, fleet: &str) -> String {
    let management = match management {
        "" => String::new(),
        fields => format!(r#""management": {{"listen": "127.0.0.1:1"{fields}}}, "#),
    };
    let voters = r#""keepers": {"a": "127.0.0.1:2", "b": "127.0.0.1:3", "c": "127.0.0.1:4"}"#;
    format!(
        r#"{{{management}"fleet": {{"name": "f", "listen": "127.0.0.1:2", {voters}, {fleet}}}}}"#
    )
}

#[test]
fn fleet_section_is_validated_and_platform_manifest_configures_none() {
    // Guards against a gateway that joins a fleet with an incomplete section, or without one being intended.
    let fleet_section = |fields: &str| {
        decode(operator_with_fleet(r#", "streams": 1"#, fields).as_bytes())
            .unwrap()
            .fleet
            .unwrap()
    };
    let voter = fleet_config(&fleet_section(r#""state": "s""#), "a").unwrap();
    assert_eq!(
        (voter.lease, voter.steady, voter.is_voter()),
        (3000.0, false, true)
    );
    assert!(!fleet_config(&fleet_section(r#""cut_off": "steady""#), "d")
        .unwrap()
        .is_voter());
    for (fields, name, reason) in [
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
        let error = fleet_config(&fleet_section(fields), name)
            .unwrap_err()
            .to_string();
        assert!(error.starts_with(reason), "{fields}: {error}");
    }
    let mut section = fleet_section(r#""state": "s""#);
    section.voters.insert("c".into(), section.voters["b"]);
    assert!(fleet_config(&section, "a")
        .unwrap_err()
        .to_string()
        .starts_with("fleet.keepers.b: 127.0.0.1:3 is also the address of another voter"));
    section.voters.remove("c");
    assert_eq!(
        fleet_config(&section, "a").unwrap_err().to_string(),
        "fleet.keepers: expected 3 or 5 voters, found 2"
    );
    let platform = include_str!("../../../../deploy/balancer.toml");
    assert!(platform.contains("ironstair serve") && !platform.contains("operator"));
}

/// Asserts that decoding fails with a message that begins with `reason`: the field, then what is wrong with it.
#[track_caller]
fn assert_rejected(text: &str, reason: &str) {
    let error = decode(text.as_bytes()).unwrap_err().to_string();
    assert!(error.starts_with(reason), "{text}: {error}");
}

#[test]
fn invalid_operator_file_is_rejected() {
    assert_rejected("", "top level: EOF");
    assert_rejected("[]", "top level: invalid length 0");
    assert_rejected(
        r#"{"managment": {}}"#,
        "managment: unknown field `managment`",
    );
    assert_rejected(r#"{"recovery": {}}"#, "recovery: missing field `state`");
    assert_rejected("{} {}", "text after the JSON object: trailing characters");
}

#[test]
fn invalid_management_section_is_rejected_with_the_field() {
    assert_rejected(
        r#"{"management": {}}"#,
        "management: missing field `listen`",
    );
    assert_rejected(
        r#"{"management": {"listen": 5}}"#,
        "management.listen: invalid type",
    );
    assert_rejected(
        r#"{"management": {"listen": "here"}}"#,
        "management.listen: invalid socket address",
    );
    assert_rejected(
        r#"{"management": {"listen": "0.0.0.0:1"}}"#,
        "management.listen: 0.0.0.0:1 is not a loopback address",
    );
    assert_rejected(
        r#"{"management": {"listen": "[::1]:1", "streams": 0}}"#,
        "management.streams: 0",
    );
    assert_rejected(
        r#"{"management": {"listen": "[::1]:1", "state": 1}}"#,
        "management.state: invalid type",
    );
    assert_rejected(
        r#"{"management": {"listen": "[::1]:1", "tls": {}}}"#,
        "management.tls: missing field `certificate`",
    );
    assert_rejected(
        r#"{"management": {"listen": "0.0.0.0:1", "tls": {"certificate": "", "key": "", "clients": ""}}}"#,
        "management.tls: change and read are both empty",
    );
}

#[test]
fn invalid_cells_section_is_rejected_with_the_field() {
    assert_rejected(
        r#"{"cells": {"names": {}}}"#,
        "cells: /settings/cells/cell: no cell is configured, at least one is required",
    );
    assert_rejected(
        r#"{"cells": {"names": {"a": -1}}}"#,
        "cells.names.a: -1 is not a finite number of at least 0",
    );
    assert_rejected(
        r#"{"cells": {"names": {"a": 1}, "shard": 2}}"#,
        "cells: /settings/cells/shard: a tenant",
    );
    assert_rejected(
        r#"{"cells": {"names": {"a": 1}, "engines": {"e1": "b"}}}"#,
        "cells: /settings/cells/engine[name=e1]/cell: cell b does not exist",
    );
    assert_rejected(
        r#"{"cells": {"names": {"a": 1}, "tenants": {"t": []}}}"#,
        "cells: /settings/cells/tenant[name=t]/cell: a tenant",
    );
    assert_rejected(
        r#"{"cells": {"names": {"a": 1}, "without": {"lend": 2}}}"#,
        "cells.without.lend: 2 is not between 0 and 1",
    );
}

#[test]
fn invalid_fleet_section_is_rejected_with_the_field() {
    assert_rejected(r#"{"fleet": {}}"#, "fleet: missing field `name`");
    assert_rejected(
        &operator_with_fleet("", r#""lease_ms": 3000"#),
        "fleet: requires the section management",
    );
    assert_rejected(
        &operator_with_fleet(r#", "state": "s""#, r#""lease_ms": 3000"#),
        "management.state: not allowed with the section fleet",
    );
    assert_rejected(
        &operator_with_fleet(r#", "streams": 1"#, r#""cut_off": "maybe""#),
        "fleet.cut_off: unknown variant",
    );
}

#[test]
fn schema_contains_the_fields_of_management_and_recovery() {
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
