//! Invalid fields of the operator's section `fleet`, and the errors that name them.

use ironstair_fleet_agent::FleetConfig;
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A member that is not a voter.
fn member() -> FleetConfig {
    FleetConfig {
        fleet: "north".into(),
        name: "g4".into(),
        listen: address(4),
        voters: BTreeMap::from([
            ("g1".into(), address(1)),
            ("g2".into(), address(2)),
            ("g3".into(), address(3)),
        ]),
        lease: 5000.0,
        steady: false,
        counts_members: false,
        log_folder: None,
    }
}

fn voter() -> FleetConfig {
    FleetConfig {
        name: "g1".into(),
        log_folder: Some("log".into()),
        ..member()
    }
}

#[test]
fn member_and_voter_are_valid_up_to_the_bounds() {
    for lease in [1000.0, 60_000.0] {
        let config = FleetConfig { lease, ..member() };
        assert_eq!(config.clone().validated(), Ok(config));
    }
    let longest_name = FleetConfig {
        name: "n".repeat(64),
        ..member()
    };
    assert!(longest_name.validated().is_ok());
    assert!(voter().is_voter() && !member().is_voter());
    assert_eq!(voter().validated(), Ok(voter()));
}

fn assert_invalid<const N: usize>(cases: [(FleetConfig, &str); N]) {
    for (config, expected) in cases {
        let error = config.validated().expect_err(expected);
        assert_eq!(error.to_string(), expected);
    }
}

#[test]
fn invalid_name_is_rejected_with_its_field_and_value() {
    let fleet_named = |fleet: &str| FleetConfig {
        fleet: fleet.into(),
        ..member()
    };
    let long_own_name = FleetConfig {
        name: "n".repeat(65),
        ..member()
    };
    let own_name_error = "fleet: the gateway's own name must have 1 to 64 bytes";
    assert_invalid([
        (
            fleet_named(""),
            r#"fleet.name: the name "" must have 1 to 64 bytes and no control characters"#,
        ),
        (
            fleet_named("a\nb"),
            r#"fleet.name: the name "a\nb" must have 1 to 64 bytes and no control characters"#,
        ),
        (long_own_name, own_name_error),
    ]);
}

#[test]
fn too_few_voters_or_a_shared_address_are_rejected() {
    let mut two_voters = member();
    two_voters.voters.remove("g3");
    let mut shared_address = member();
    shared_address.voters.insert("g2".into(), address(1));
    assert_invalid([
        (two_voters, "fleet.keepers: expected 3 or 5 voters, found 2"),
        (
            shared_address,
            "fleet.keepers.g1: 127.0.0.1:1 is also the address of another voter",
        ),
    ]);
}

#[test]
fn unsuitable_lease_count_or_folder_is_rejected() {
    let short_lease = FleetConfig {
        lease: 999.0,
        ..member()
    };
    let steady_counts = FleetConfig {
        steady: true,
        counts_members: true,
        ..member()
    };
    let no_folder = FleetConfig {
        log_folder: None,
        ..voter()
    };
    let unused_folder = FleetConfig {
        log_folder: Some("log".into()),
        ..member()
    };
    assert_invalid([
        (
            short_lease,
            "fleet.lease_ms: 999 is outside the range 1000 to 60000",
        ),
        (
            steady_counts,
            r#"fleet.count: a steady gateway can't count members; it requires "told""#,
        ),
        (
            no_folder,
            "fleet.state: g1 is a voter and requires a folder for its log",
        ),
        (
            unused_folder,
            "fleet.state: g4 is not among the voters and must not have a folder for a log",
        ),
    ]);
}
