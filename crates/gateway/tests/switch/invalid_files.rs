//! A reload of a configuration file with an invalid member changes nothing, and the log names the member.

use crate::reload::{other_settings, LoggedGateway, RELOAD_LOG_LINE};
use crate::support::{engine_with_rows, idempotent_class, ROW};
use ironstair_test_cluster::stub::{gateway_config, Client};
use serde_json::{json, Value};

/// JSON pointers to members, an invalid value of each, and the text with which the log names the member.
fn invalid_members() -> Vec<(&'static str, Value, &'static str)> {
    vec![
        (
            "/classes/0/semantics",
            json!("sometimes"),
            "classes[0]: semantics: unknown value sometimes",
        ),
        (
            "/classes/1/machine_types_allowed",
            json!([5]),
            "classes[1]: machine_types_allowed contains index 5",
        ),
        (
            "/classes/2/worth",
            json!("much"),
            "classes[2]: worth is not a number",
        ),
        (
            "/family_info/threads_by_class",
            json!([1, "x", 1]),
            "family_info.threads_by_class[1]",
        ),
        (
            "/family_info/size_cores",
            json!([0, 4]),
            "family_info.size_cores[0]",
        ),
        (
            "/family_info/class_load",
            json!([true]),
            "family_info.class_load[1]",
        ),
        (
            "/family_info/when_short",
            json!("beg"),
            "family_info.when_short: unknown value beg",
        ),
        (
            "/guarantees/settle_after_doubt_ns",
            Value::Null,
            "guarantees.settle_after_doubt_ns is missing",
        ),
    ]
}

#[test]
fn invalid_file_leaves_the_settings_unchanged_and_the_log_names_the_member() {
    // A file that is applied up to its first invalid member would leave the gateway with settings of two files. The
    // classes of the valid file show which settings are in force: only that file has the class `load`.
    let (engine_address, _) = engine_with_rows(ROW);
    let classes = json!([idempotent_class("lookup"), idempotent_class("report")]);
    let (config, name_answer) = gateway_config(2, classes, &[("e1", engine_address)]);
    let logged_gateway = LoggedGateway::start("invalid-files", &config, name_answer, None);
    let mut client = Client::connect(&logged_gateway.gateway);
    let valid = other_settings(&config["settings"]);
    for (pointer, value, member) in invalid_members() {
        let mut invalid = valid.clone();
        *invalid.pointer_mut(pointer).unwrap() = value;
        logged_gateway.reload_settings(&config, &invalid);
        assert!(
            logged_gateway.eventually_logs(member),
            "{member}: {:?}",
            logged_gateway.log_lines()
        );
        client.send_call_of_class("report", 1);
        assert_eq!(client.receive_rows().0, 1, "{member}");
    }
    assert_eq!(logged_gateway.log_count(RELOAD_LOG_LINE), 0);

    logged_gateway.reload_settings(&config, &valid);
    assert!(logged_gateway.eventually_logs(RELOAD_LOG_LINE));
    client.send_call_of_class("load", 2);
    assert_eq!(client.receive_rows().0, 2);
    logged_gateway.reload_settings(&config, &config["settings"]);
    assert!(logged_gateway.eventually_reloads(2));
    client.send_call_of_class("load", 3);
    assert_eq!(
        client.receive()["error"]["code"],
        -32014,
        "the former settings have no class load"
    );

    // A reload of an unchanged file is not applied.
    logged_gateway.reload_settings(&config, &config["settings"]);
    client.send_call_of_class("lookup", 4);
    assert_eq!(client.receive_rows().0, 4);
    assert_eq!(logged_gateway.log_count(RELOAD_LOG_LINE), 2);
}
