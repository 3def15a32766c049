//! The values that pinned operators' files are read as, beyond what the command line shows of them.

use super::*;

#[test]
fn the_pinned_operators_file_is_read_with_the_pinned_values() {
    let all = decode(include_bytes!("../tests/pinned/operator.json")).unwrap();
    let at = |text: &str| text.parse::<SocketAddr>().unwrap();
    let m = all.management.unwrap();
    assert_eq!(
        (m.listen, m.state, m.streams),
        (at("127.0.0.1:9339"), None, 7)
    );
    let tls = m.tls.unwrap();
    let files = [tls.certificate, tls.key, tls.clients];
    assert_eq!(
        files,
        ["/k/own.pem", "/k/own.key", "/k/clients.pem"].map(PathBuf::from)
    );
    assert_eq!(tls.change, ["op", "deploy-*"]);
    assert_eq!(tls.read, ["*"]);
    let c = all.cells.unwrap();
    assert_eq!(
        c.names,
        BTreeMap::from([("n".to_string(), 1.5), ("s".to_string(), 1.0)])
    );
    assert_eq!((c.shard, c.named_by_clients), (2, true));
    assert_eq!(
        c.engines,
        BTreeMap::from([("e-1".to_string(), "n".to_string())])
    );
    assert_eq!(c.tenants["t 1"], ["s", "n"]);
    assert!(
        matches!(c.without, Without::TurnBack(500)),
        "{:?}",
        c.without
    );
    let f = all.fleet.unwrap();
    assert_eq!(
        (f.name.as_str(), f.listen, f.lease_ms),
        ("north", at("127.0.0.1:9340"), 2500)
    );
    assert_eq!((f.voters.len(), f.voters["n1"]), (3, at("127.0.0.1:9341")));
    assert_eq!((f.cut_off, f.count), (CutOff::Strict, Count::Members));
    assert_eq!(f.state, Some(PathBuf::from("/var/lib/fleet")));
    assert_eq!(
        all.recovery.unwrap().state,
        PathBuf::from("/var/lib/recovery")
    );
}

#[test]
fn what_a_pinned_operators_file_does_not_say_has_the_pinned_value() {
    let all = decode(include_bytes!("../tests/pinned/operator-least.json")).unwrap();
    let m = all.management.unwrap();
    assert_eq!(
        (m.state, m.streams),
        (Some(PathBuf::from("/var/lib/ironstair")), 64)
    );
    assert!(m.tls.is_none() && all.fleet.is_none() && all.recovery.is_none());
    let c = all.cells.unwrap();
    assert_eq!(
        (
            c.shard,
            c.named_by_clients,
            c.engines.len(),
            c.tenants.len()
        ),
        (1, false, 0, 0)
    );
    assert!(
        matches!(c.without, Without::Lend(share) if share == 0.25),
        "{:?}",
        c.without
    );
}
