use super::*;
use serde_json::json;

#[test]
fn initial_endpoint_list_is_the_result_of_all_changes_in_the_file() {
    let engine = |name: &str, state: &str, port: u16| {
        json!({"instanceId": name, "hostPort": format!("10.1.0.9:{port}"), "zone": "b", "machineType": "new",
            "cell": 2, "lifecycle": state, "startedAtMs": 5})
    };
    let index = NameIndex {
        zones: vec!["a".into(), "b".into()],
        machine_types: vec!["std".into()],
    };
    let mut endpoints = BTreeMap::from([(
        "left-over".to_owned(),
        DiscoveredEndpoint {
            address: ([10, 1, 0, 1], 1).into(),
            zone: 0,
            machine_type: 0,
            dedup_domain: 0,
            state: EndpointState::Ready,
            started_at: 0.0,
        },
    )]);
    let first =
        json!({"reset": true, "instances": [engine("S-1", "ready", 1), engine("s-2", "ready", 2)]});
    let second = json!({"reset": false, "instances": [engine("s-2", "gone", 2), engine("s-1", "draining", 3)]});
    apply_change(&mut endpoints, &first, &index).unwrap();
    apply_change(&mut endpoints, &second, &index).unwrap();
    let expected = DiscoveredEndpoint {
        address: ([10, 1, 0, 9], 3).into(),
        zone: 1,
        machine_type: u16::MAX,
        dedup_domain: 2,
        state: EndpointState::Draining,
        started_at: 5.0,
    };
    assert_eq!(endpoints, BTreeMap::from([("s-1".to_owned(), expected)]));
    assert!(apply_change(
        &mut endpoints,
        &json!({"instances": [{"instanceId": "s-3"}]}),
        &index
    )
    .is_err());
}
