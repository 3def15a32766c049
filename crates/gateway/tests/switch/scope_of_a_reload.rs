//! Which parts of a gateway a reload changes: limits of its connections and the list of engines, not its cells, and no
//! settings where management is on.

use crate::reload::{other_settings, LoggedGateway, RELOADED};
use crate::support::{
    call_with_fields, engine_with_latency, engine_with_rows, idempotent_class, ROW,
};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use ironstair_test_cluster::stub::{
    allocate_address, becomes_true, gateway_config, request_id, Client, RecordedLines,
};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

#[test]
fn limit_that_the_policy_does_not_read_is_reloaded_too() {
    // A file that changes nothing for the policy must not be taken for an unchanged file.
    let (at, _) = engine_with_latency(Duration::from_millis(300));
    let classes = json!([idempotent_class("lookup")]);
    let (config, name_answer) = gateway_config(1, classes, &[("e1", at)]);
    let logged = LoggedGateway::start("carriage", &config, name_answer, None);
    let mut client = Client::connect(&logged.gateway);
    let mut one_open = config["settings"].clone();
    one_open["policy_limits"]["max_open"] = json!(1);

    logged.reload_settings(&config, &one_open);
    assert!(logged.reloads_soon(1));
    (1..3).for_each(|call| client.send_call(call));
    assert_eq!(client.receive()["error"]["code"], -32014, "one may be open");
    assert_eq!(client.receive_rows().0, 1);

    logged.reload_settings(&config, &config["settings"]);
    assert!(logged.reloads_soon(2));
    (3..5).for_each(|call| client.send_call(call));
    assert_eq!([client.receive_rows().0, client.receive_rows().0], [3, 4]);
}

#[test]
fn reload_under_management_moves_the_name_service_only() {
    // A commit by management and the settings of the file must not contradict each other.
    let (at, _) = engine_with_rows(ROW);
    let classes = json!([idempotent_class("lookup"), idempotent_class("report")]);
    let (config, name_answer) = gateway_config(1, classes, &[("e1", at)]);
    let operator = json!({"management": {"listen": allocate_address().to_string()}});
    let logged = LoggedGateway::start("managed-switch", &config, name_answer, Some(operator));
    let mut client = Client::connect(&logged.gateway);

    logged.reload_settings(&config, &other_settings(&config["settings"]));

    let ignored = "settings of the configuration file ignored: they are changed over gNMI";
    let moved = "name service settings updated";
    assert!(becomes_true(
        || logged.log_count(ignored) == 1 && logged.log_count(moved) == 1
    ));
    client.send_call_of_class("load", 1);
    assert_eq!(client.receive()["error"]["code"], -32601, "never known");
    client.send_call_of_class("lookup", 2);
    assert_eq!(client.receive_rows().0, 2);
    assert_eq!(logged.log_count(RELOADED), 0);
}

/// The calls that an engine received.
fn calls_received(seen: &RecordedLines) -> Vec<u64> {
    let seen = seen.lock().unwrap();
    let fetches = seen.iter().filter(|l| l.starts_with("fetch"));
    fetches
        .map(|l| u64::from_str_radix(request_id(l), 16).unwrap())
        .collect()
}

#[test]
fn cells_of_the_operators_file_are_kept_by_a_reload() {
    let engines = [engine_with_rows(ROW), engine_with_rows(ROW)];
    let classes = json!([idempotent_class("lookup")]);
    let listed = [("e1", engines[0].0), ("e2", engines[1].0)];
    let (config, name_answer) = gateway_config(1, classes, &listed);
    let cells = json!({"cells": {"names": {"a": 1, "b": 1}, "named_by_clients": true,
        "engines": {"e1": "a", "e2": "b"}, "tenants": {"t1": ["a"], "t2": ["b"]}, "without": {"turn_back": 500}}});
    let logged = LoggedGateway::start("cells-switch", &config, name_answer, Some(cells));
    let mut client = Client::connect(&logged.gateway);

    logged.reload_settings(&config, &other_settings(&config["settings"]));
    assert!(logged.reloads_soon(1));
    for call in 1..20u64 {
        let tenant = ["t1", "t2"][call as usize % 2];
        let fields =
            format!(r#""id":"{call:016x}","wait":4000,"bytes":"c2VsZWN0IDE=","tenant":"{tenant}""#);
        client.send(&call_with_fields(call, "lookup", &fields));
        assert_eq!(client.receive_rows().0, call);
    }

    for (nth, (_, seen)) in engines.iter().enumerate() {
        let calls = calls_received(seen);
        assert!(
            !calls.is_empty() && calls.iter().all(|c| *c as usize % 2 == nth),
            "engine {nth}: {calls:?}"
        );
    }
}

/// The class list with one class that may run on one machine type.
fn class_on_machine_type(index: u16) -> Value {
    let mut class = idempotent_class("lookup");
    class["machine_types_allowed"] = json!([index]);
    json!([class])
}

/// A list with one engine, in place of the whole former list.
fn list_of_one_engine(revision: u32, name: &str, at: SocketAddr, machine_type: &str) -> Value {
    let engine = json!({"instanceId": name, "hostPort": at.to_string(), "zone": "a", "machineType": machine_type,
        "cell": 0, "lifecycle": "ready", "startedAtMs": 0});
    let pool = json!({"reset": true, "instances": [engine]});
    json!({"rev": revision, "notices": [{"rev": revision, "pool": pool}]})
}

#[test]
fn engine_list_that_changes_with_the_settings_is_read_by_the_new_machine_types() {
    // Machine types are indices: read by the former file's, a class would find no engine, or a wrong one.
    let (old_rows, new_rows) = ("old\t\t\n", "new\t\t\n");
    let (old, _) = engine_with_rows(old_rows);
    let (new, _) = engine_with_rows(new_rows);
    let (config, name_answer) = gateway_config(1, class_on_machine_type(0), &[("e1", old)]);
    let logged = LoggedGateway::start("list-switch", &config, name_answer, None);
    let mut client = Client::connect(&logged.gateway);
    let mut moved = config.clone();
    moved["settings"]["machine_types"] = json!(["new", "m"]);
    moved["settings"]["family_info"]["size_cores"] = json!([4, 16]);
    moved["settings"]["classes"] = class_on_machine_type(0);
    moved["known"] = list_of_one_engine(2, "e9", new, "new");
    let mut back = config.clone();
    back["known"] = list_of_one_engine(3, "e1", old, "m");

    let mut call = 0;
    for (file, rows) in [(&config, old_rows), (&moved, new_rows), (&back, old_rows)] {
        logged.reload_settings(file, &file["settings"]);
        assert!(becomes_true(|| {
            call += 1;
            client.send_call(call);
            let answer = client.receive();
            let bytes = answer["result"]["bytes"].as_str();
            bytes.is_some_and(|text| STANDARD.decode(text).unwrap() == rows.as_bytes())
        }));
    }
}
