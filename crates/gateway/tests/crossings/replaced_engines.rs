//! A new process of an engine, or another engine, takes the place of one at which a request may have run.

use crate::patient_gateway::{send_call_with_long_deadline, start_with_edited_config};
use crate::support::ROW;
use ironstair_test_cluster::stub::{done_reply, Client, Gateway, ManualEngine, ReceivedCommand};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The call that may have run at the first engine. Engines of the same cell recognize a repeat, others do not.
const CALL: u64 = 5;
const FETCH: &str = "fetch 0000000000000005 ";

struct ListedEngine {
    name: &'static str,
    address: SocketAddr,
    cell: u16,
    started_at_ms: u64,
}

fn engine_list(revision: u32, engines: &[ListedEngine]) -> Value {
    let instance = |engine: &ListedEngine| {
        json!({"instanceId": engine.name, "hostPort": engine.address.to_string(), "zone": "a", "machineType": "m",
            "cell": engine.cell, "lifecycle": "ready", "weight": 4, "startedAtMs": engine.started_at_ms})
    };
    let instances: Vec<Value> = engines.iter().map(instance).collect();
    let pool = json!({"reset": true, "instances": instances});
    json!({"rev": revision, "notices": [{"rev": revision, "pool": pool}]})
}

/// Starts a gateway with these engines, and with a class whose requests are recognized within their cell for 5 s.
fn start_with_engines(test: &str, engines: &[ListedEngine]) -> Gateway {
    start_with_edited_config(test, &[], |config| {
        config["known"] = engine_list(1, engines);
        config["settings"]["classes"][1]["group"] = json!("cell");
        config["settings"]["classes"][1]["window_ns"] = json!(5e9);
        config["settings"]["policy_limits"]["connect_timeout_ns"] = json!(250e6);
    })
}

fn replace_list(gateway: &Gateway, revision: u32, engines: &[ListedEngine]) {
    let path = gateway.dir.join("told.json");
    let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&path).unwrap()).unwrap();
    config["known"] = engine_list(revision, engines);
    std::fs::write(&path, config.to_string()).unwrap();
    gateway.signal("-HUP");
}

fn answer(engine: &ManualEngine, command: &ReceivedCommand) {
    let reply = String::from_utf8(done_reply(&command.line, ROW)).unwrap();
    engine.send(command.connection, &reply);
}

/// Makes another call that only this engine can serve, so that everything before it has been handled.
fn wait_until_served(gateway: &Gateway, engine: &mut ManualEngine) {
    let mut client = Client::connect(gateway);
    send_call_with_long_deadline(&mut client, "lookup", 100);
    let lookup = engine.wait_for("fetch 0000000000000064 ");
    answer(engine, &lookup);
    assert_eq!(client.receive_rows().0, 100);
}

#[test]
fn request_is_not_repeated_at_a_new_process_of_its_engine_in_another_cell() {
    // The engine of a possible run was looked up when the repeat was decided. A new process under the same name, in
    // another cell, was taken for the former one: the request took effect in both cells.
    let mut former = ManualEngine::start();
    let mut latter = ManualEngine::start();
    let e1 = |address, cell, started_at_ms| ListedEngine {
        name: "e1",
        address,
        cell,
        started_at_ms,
    };
    let gateway = start_with_engines("replaced-cell", &[e1(former.address, 1, 0)]);
    let mut client = Client::connect(&gateway);
    send_call_with_long_deadline(&mut client, "stow", CALL);
    former.wait_for(FETCH);

    replace_list(&gateway, 2, &[e1(latter.address, 2, 1000)]);

    wait_until_served(&gateway, &mut latter);
    assert!(!latter.has_received(FETCH), "the request ran in two cells");
    assert!(client.receive()["error"]["code"].is_number());
    assert!(!latter.has_received(FETCH), "the request ran in two cells");
}

#[test]
fn request_is_repeated_in_its_cell_and_not_at_the_engine_that_has_the_former_address() {
    // Another engine, in another cell, is listed at the address of one that is gone.
    let mut reused = ManualEngine::start();
    let mut same_cell = ManualEngine::start();
    let listed = |name, address, cell| ListedEngine {
        name,
        address,
        cell,
        started_at_ms: 0,
    };
    let gateway = start_with_engines("reused-address", &[listed("e1", reused.address, 1)]);
    let mut client = Client::connect(&gateway);
    send_call_with_long_deadline(&mut client, "stow", CALL);
    reused.wait_for(FETCH);

    let list = [
        listed("e2", same_cell.address, 1),
        listed("e3", reused.address, 2),
    ];
    replace_list(&gateway, 2, &list);

    let repeat = same_cell.wait_for(FETCH);
    answer(&same_cell, &repeat);
    assert_eq!(client.receive_rows().0, CALL);
    assert!(!reused.has_received(FETCH), "the request ran in two cells");
}
