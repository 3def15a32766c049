//! The values decoded from the pinned operator files, beyond those that `ironstair check` prints.

use super::*;

#[test]
fn pinned_operator_file_decodes_to_the_pinned_values() {
    let operator = decode(include_bytes!("../tests/pinned/operator.json")).unwrap();
    let address = |text: &str| text.parse::<SocketAddr>().unwrap();
    let management = operator.management.unwrap();
    assert_eq!(
        (management.listen, management.state, management.streams),
        (address("127.0.0.1:9339"), None, 7)
    );
    let tls = management.tls.unwrap();
    let files = [tls.certificate, tls.key, tls.clients];
    assert_eq!(
        files,
        ["/k/own.pem", "/k/own.key", "/k/clients.pem"].map(PathBuf::from)
    );
    assert_eq!(tls.change, ["op", "deploy-*"]);
    assert_eq!(tls.read, ["*"]);
    let cells = operator.cells.unwrap();
    assert_eq!(
        cells.names,
        BTreeMap::from([("n".to_owned(), 1.5), ("s".to_owned(), 1.0)])
    );
    assert_eq!((cells.shard, cells.named_by_clients), (2, true));
    assert_eq!(
        cells.engines,
        BTreeMap::from([("e-1".to_owned(), "n".to_owned())])
    );
    assert_eq!(cells.tenants["t 1"], ["s", "n"]);
    assert!(
        matches!(cells.no_ready_engine, NoReadyEngine::Reject(500)),
        "{:?}",
        cells.no_ready_engine
    );
    let fleet = operator.fleet.unwrap();
    assert_eq!(
        (fleet.name.as_str(), fleet.listen, fleet.lease_ms),
        ("north", address("127.0.0.1:9340"), 2500)
    );
    assert_eq!(
        (fleet.voters.len(), fleet.voters["n1"]),
        (3, address("127.0.0.1:9341"))
    );
    assert_eq!(
        (fleet.cut_off, fleet.count),
        (CutOff::Strict, Count::Members)
    );
    assert_eq!(fleet.state, Some(PathBuf::from("/var/lib/fleet")));
    assert_eq!(
        operator.recovery.unwrap().state,
        PathBuf::from("/var/lib/recovery")
    );
}

#[test]
fn fields_missing_in_the_pinned_operator_file_have_the_pinned_defaults() {
    let operator = decode(include_bytes!("../tests/pinned/operator-least.json")).unwrap();
    let management = operator.management.unwrap();
    assert_eq!(
        (management.state, management.streams),
        (Some(PathBuf::from("/var/lib/ironstair")), 64)
    );
    assert!(management.tls.is_none() && operator.fleet.is_none() && operator.recovery.is_none());
    let cells = operator.cells.unwrap();
    assert_eq!(
        (
            cells.shard,
            cells.named_by_clients,
            cells.engines.len(),
            cells.tenants.len()
        ),
        (1, false, 0, 0)
    );
    assert!(
        matches!(cells.no_ready_engine, NoReadyEngine::Lend(share) if share == 0.25),
        "{:?}",
        cells.no_ready_engine
    );
}
