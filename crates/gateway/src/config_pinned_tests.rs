//! The values decoded from the pinned configuration file, beyond those that `ironstair check` prints.

use super::*;

#[test]
fn pinned_configuration_file_decodes_to_the_pinned_values() {
    let config = decode(include_bytes!("../tests/pinned/told.json")).unwrap();
    let address = |text: &str| text.parse::<SocketAddr>().unwrap();
    assert_eq!(
        (config.name.as_str(), config.listen, config.name_service),
        ("n0", address("127.0.0.1:8080"), address("127.0.0.1:53"))
    );
    assert_eq!(
        (config.seed, config.memory_mb, config.descriptors),
        (0x8c1f_30d2_7a5b_e964, 256.5, 2048)
    );
    assert_eq!(
        config.class_names,
        ["lookup", "post", "mark", "all", "once"]
    );
    assert_eq!(config.hard_limits, [5000.0, 9000.0, 8.0, 2.0, 8.0]);
    assert_eq!(config.name_index.zones, ["a", "b"]);
    assert_eq!(config.name_index.machine_types, ["std", "big"]);
    let first = DiscoveredEndpoint {
        address: address("10.1.0.1:9001"),
        zone: 0,
        machine_type: 0,
        dedup_domain: 2,
        state: EndpointState::Ready,
        started_at: 1.75e12,
    };
    let third = DiscoveredEndpoint {
        address: address("[fd00::3]:9003"),
        zone: 1,
        machine_type: 1,
        dedup_domain: 5,
        state: EndpointState::Draining,
        started_at: 1.75e12,
    };
    // The last change of the list removes the second endpoint.
    assert_eq!(
        config.endpoints,
        BTreeMap::from([("e-1".to_owned(), first), ("e-3".to_owned(), third)])
    );
    assert_eq!(config.endpoint_serial, 7);
}
