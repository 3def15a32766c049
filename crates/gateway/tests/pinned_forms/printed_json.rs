//! The JSON that `get`, `revisions` and `fleet` print.
//!
//! The tests guard against a renamed key or a value of another type, which would break operators' scripts. They compare
//! values that differ in each run by their type only.

use crate::command_line::stdout_of;
use crate::managed::{
    commit_extension, commit_with_rollback_after, connect_without_tls, current_thread_runtime,
    json_update, send_set_request, set_request, set_value, start_managed_gateway,
};
use crate::FORMS;
use ironstair_test_cluster::cluster::{wait_until, Cluster, Plan};
use ironstair_test_cluster::stub::{done_reply, start_engine};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Replaces each value by the name of its type. Of list entries with the same shape, only one remains.
fn shape(value: &Value) -> Value {
    match value {
        Value::Null => json!("null"),
        Value::Bool(_) => json!("bool"),
        Value::Number(_) => json!("number"),
        Value::String(_) => json!("text"),
        Value::Object(members) => members
            .iter()
            .map(|(name, value)| (name.clone(), shape(value)))
            .collect(),
        Value::Array(all) => {
            let shapes = all
                .iter()
                .map(shape)
                .map(|entry_shape| (entry_shape.to_string(), entry_shape));
            let distinct: BTreeMap<String, Value> = shapes.collect();
            distinct.into_values().collect()
        }
    }
}

fn assert_same_json(name: &str, value: &Value) {
    FORMS.assert_same(name, &format!("{value:#}\n"));
}

/// Asserts that the author of a change is an address, which differs in each run. Clients without certificates have no
/// other name.
fn assert_is_address(author: &Value) {
    let address = author.as_str().unwrap().parse::<SocketAddr>();
    assert!(
        address.is_ok(),
        "the author must be a socket address: {author}"
    );
}

/// Asserts the form of a revision's author and times, which differ in each run, and replaces them by fixed texts.
fn replace_varying_members(revision: &mut Map<String, Value>) {
    let author = revision.get_mut("ironstair-gateway:who").unwrap();
    assert_is_address(author);
    *author = json!("address");
    for name in ["ironstair-gateway:when", "ironstair-gateway:until"] {
        if let Some(moment) = revision.get_mut(name) {
            let text = moment.as_str().unwrap();
            assert!(
                text.len() == 13 && text.parse::<u64>().is_ok(),
                "a time must be the Unix time in ms as text: {text}"
            );
            *moment = json!("moment");
        }
    }
}

#[test]
fn get_and_revisions_print_the_pinned_json() {
    let (engine_address, _) = start_engine(|line, _| (done_reply(line, "a\tb\tc\n"), false));
    let (_gateway, address) = start_managed_gateway("pinned-get", &[("e1", engine_address)]);
    let at_address = address.to_string();
    let json_of = |args: &[&str]| -> Value {
        let args = [args, &["--json", "--at", &at_address]].concat();
        serde_json::from_str(&stdout_of(&args)).unwrap()
    };
    current_thread_runtime().block_on(async {
        let mut client = connect_without_tls(address).await;
        set_value(&mut client, "/settings/advice", json!(70))
            .await
            .unwrap();
        let update = vec![json_update("/settings/advice", json!(80))];
        let unconfirmed = set_request(
            update,
            commit_extension("waits", commit_with_rollback_after(600, 0)),
        );
        send_set_request(&mut client, unconfirmed).await.unwrap();
    });

    assert_same_json("get-settings.json", &json_of(&["get", "/settings"]));
    let all = json_of(&["get"]);
    assert_eq!(all[0]["path"], json!("/"));
    assert_eq!(all.as_array().unwrap().len(), 1);
    assert_same_json("get-shape.json", &shape(&all));
    let mut revisions = json_of(&["revisions"]);
    for revision in revisions.as_array_mut().unwrap() {
        replace_varying_members(revision["value"].as_object_mut().unwrap());
    }
    assert_same_json("revisions.json", &revisions);
}

/// Whether all three members have applied the second change, which waits for its confirmation.
fn is_second_change_applied(fleet: &Value) -> bool {
    let members = fleet["members"].as_array().cloned().unwrap_or_default();
    let all_applied = members
        .iter()
        .all(|member| member["holds-what-is-held"] == json!(true));
    fleet["unconfirmed"] == json!("waits")
        && fleet["change"].is_null()
        && members.len() == 3
        && all_applied
}

#[test]
fn fleet_and_its_revisions_print_the_pinned_json() {
    let cluster = Cluster::started("pinned-fleet", &Plan::default().gateway_count(3));
    let path = "/settings/forwards-most";
    cluster.set(0, &[path, "5"]).assert_success();
    cluster
        .set(0, &[path, "4", "--confirm-within", "10m", "--id", "waits"])
        .assert_success();
    wait_until("all members have applied the second change", || {
        is_second_change_applied(&cluster.fleet_status(0))
    });

    assert_same_json("fleet-shape.json", &shape(&cluster.fleet_status(0)));
    let output = cluster.cli(0, &["revisions", "--fleet", "--json"]);
    let mut revisions: Value = serde_json::from_str(&output.stdout).unwrap();
    for revision in revisions.as_array_mut().unwrap() {
        let is_moment = |at_address: f64| at_address > 1.7e12;
        assert!(
            revision["when"].as_f64().is_some_and(is_moment),
            "{revision}"
        );
        assert_is_address(&revision["who"]);
        revision["when"] = json!("moment");
        revision["who"] = json!("address");
    }
    assert_same_json("fleet-revisions.json", &revisions);

    let state = cluster.cli(0, &["get", "/state/fleet", "--json"]);
    let state: Value = serde_json::from_str(&state.stdout).unwrap();
    let mut state = shape(&state[0]["value"]);
    // Only the leader reports members, and any voter can be the leader.
    let members = state.as_object_mut().unwrap();
    members.remove("ironstair-gateway:member");
    assert_same_json("get-fleet-shape.json", &state);
}
