//! What a reload changes: the limits of client connections and the engine list. It does not change the cells, nor any
//! settings while management is on.

use crate::reload::{other_settings, LoggedGateway, RELOAD_LOG_LINE};
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
fn connection_limit_that_the_policy_does_not_read_is_reloaded() {
    // A file whose changes do not concern the policy must not be taken for an unchanged file.
    let (engine_address, _) = engine_with_latency(Duration::from_millis(300));
    let classes = json!([idempotent_class("lookup")]);
    let (config, name_answer) = gateway_config(1, classes, &[("e1", engine_address)]);
    let logged_gateway = LoggedGateway::start("connection-limit", &config, name_answer, None);
    let mut client = Client::connect(&logged_gateway.gateway);
    let mut one_open = config["settings"].clone();
    one_open["policy_limits"]["max_open"] = json!(1);

    logged_gateway.reload_settings(&config, &one_open);
    assert!(logged_gateway.eventually_reloads(1));
    (1..3).for_each(|call| client.send_call(call));
    assert_eq!(
        client.receive()["error"]["code"],
        -32014,
        "the limit is one open call"
    );
    assert_eq!(client.receive_rows().0, 1);

    logged_gateway.reload_settings(&config, &config["settings"]);
    assert!(logged_gateway.eventually_reloads(2));
    (3..5).for_each(|call| client.send_call(call));
    assert_eq!([client.receive_rows().0, client.receive_rows().0], [3, 4]);
}

#[test]
fn reload_changes_only_the_name_service_when_management_is_on() {
    // The settings of the file must not override what was committed over gNMI.
    let (engine_address, _) = engine_with_rows(ROW);
    let classes = json!([idempotent_class("lookup"), idempotent_class("report")]);
    let (config, name_answer) = gateway_config(1, classes, &[("e1", engine_address)]);
    let operator = json!({"management": {"listen": allocate_address().to_string()}});
    let logged_gateway =
        LoggedGateway::start("managed-switch", &config, name_answer, Some(operator));
    let mut client = Client::connect(&logged_gateway.gateway);

    logged_gateway.reload_settings(&config, &other_settings(&config["settings"]));

    let ignored = "settings of the configuration file ignored: they are changed over gNMI";
    let changed = "name service settings updated";
    assert!(becomes_true(
        || logged_gateway.log_count(ignored) == 1 && logged_gateway.log_count(changed) == 1
    ));
    client.send_call_of_class("load", 1);
    assert_eq!(
        client.receive()["error"]["code"],
        -32601,
        "class load is unknown, so the settings are unchanged"
    );
    client.send_call_of_class("lookup", 2);
    assert_eq!(client.receive_rows().0, 2);
    assert_eq!(logged_gateway.log_count(RELOAD_LOG_LINE), 0);
}

/// The calls of which an engine received an attempt.
fn received_calls(recorded_lines: &RecordedLines) -> Vec<u64> {
    let recorded_lines = recorded_lines.lock().unwrap();
    let fetches = recorded_lines
        .iter()
        .filter(|line| line.starts_with("fetch"));
    fetches
        .map(|line| u64::from_str_radix(request_id(line), 16).unwrap())
        .collect()
}

#[test]
fn cells_of_the_operator_file_stay_in_force_after_a_reload() {
    // The configuration file says nothing about cells. A reload that dropped them would let a tenant's requests reach
    // the engines of another cell.
    let engines = [engine_with_rows(ROW), engine_with_rows(ROW)];
    let classes = json!([idempotent_class("lookup")]);
    let listed = [("e1", engines[0].0), ("e2", engines[1].0)];
    let (config, name_answer) = gateway_config(1, classes, &listed);
    let cells = json!({"cells": {"names": {"a": 1, "b": 1}, "named_by_clients": true,
        "engines": {"e1": "a", "e2": "b"}, "tenants": {"t1": ["a"], "t2": ["b"]}, "without": {"turn_back": 500}}});
    let logged_gateway = LoggedGateway::start("cells-switch", &config, name_answer, Some(cells));
    let mut client = Client::connect(&logged_gateway.gateway);

    logged_gateway.reload_settings(&config, &other_settings(&config["settings"]));
    assert!(logged_gateway.eventually_reloads(1));
    for call in 1..20u64 {
        let tenant = ["t1", "t2"][call as usize % 2];
        let fields =
            format!(r#""id":"{call:016x}","wait":4000,"bytes":"c2VsZWN0IDE=","tenant":"{tenant}""#);
        client.send(&call_with_fields(call, "lookup", &fields));
        assert_eq!(client.receive_rows().0, call);
    }

    for (index, (_, recorded_lines)) in engines.iter().enumerate() {
        let calls = received_calls(recorded_lines);
        assert!(
            !calls.is_empty() && calls.iter().all(|call| *call as usize % 2 == index),
            "engine {index}: {calls:?}"
        );
    }
}

/// A class list of one class, which may run on one machine type.
fn class_on_machine_type(index: u16) -> Value {
    let mut class = idempotent_class("lookup");
    class["machine_types_allowed"] = json!([index]);
    json!([class])
}

/// An engine list of one engine, which replaces the whole former list.
fn list_of_one_engine(revision: u32, name: &str, address: SocketAddr, machine_type: &str) -> Value {
    let engine = json!({"instanceId": name, "hostPort": address.to_string(), "zone": "a", "machineType": machine_type,
        "cell": 0, "lifecycle": "ready", "startedAtMs": 0});
    let pool = json!({"reset": true, "instances": [engine]});
    json!({"rev": revision, "notices": [{"rev": revision, "pool": pool}]})
}

#[test]
fn engine_list_that_changes_with_the_settings_is_read_with_the_new_machine_types() {
    // Classes and engines refer to machine types by index. With the indices of the former file, a class would find no
    // engine or a wrong one.
    let (old_rows, new_rows) = ("old\t\t\n", "new\t\t\n");
    let (old_engine, _) = engine_with_rows(old_rows);
    let (new_engine, _) = engine_with_rows(new_rows);
    let (config, name_answer) = gateway_config(1, class_on_machine_type(0), &[("e1", old_engine)]);
    let logged_gateway = LoggedGateway::start("list-switch", &config, name_answer, None);
    let mut client = Client::connect(&logged_gateway.gateway);
    let mut changed = config.clone();
    changed["settings"]["machine_types"] = json!(["new", "m"]);
    changed["settings"]["family_info"]["size_cores"] = json!([4, 16]);
    changed["settings"]["classes"] = class_on_machine_type(0);
    changed["known"] = list_of_one_engine(2, "e9", new_engine, "new");
    let mut restored = config.clone();
    restored["known"] = list_of_one_engine(3, "e1", old_engine, "m");

    let mut call = 0;
    for (config_file, rows) in [
        (&config, old_rows),
        (&changed, new_rows),
        (&restored, old_rows),
    ] {
        logged_gateway.reload_settings(config_file, &config_file["settings"]);
        assert!(becomes_true(|| {
            call += 1;
            client.send_call(call);
            let answer = client.receive();
            let bytes = answer["result"]["bytes"].as_str();
            bytes.is_some_and(|text| STANDARD.decode(text).unwrap() == rows.as_bytes())
        }));
    }
}
