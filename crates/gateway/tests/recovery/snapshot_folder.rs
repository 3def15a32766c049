//! The folder in which a gateway stores a snapshot for its next process (cases 5, 6 and 8 of the design).
//!
//! The tests guard against a gateway that can't serve after a restart because the name service is down, that fails
//! requests because the folder is unusable or slow, or that repeats requests of its previous process because it doesn't
//! quarantine their idempotency keys.

use ironstair_test_cluster::cluster::{wait_until, Cluster, Plan};
use ironstair_test_cluster::invariants::AnswerKind;
use ironstair_test_cluster::stub::{self, engine_list_answer, start_engine, Client};
use serde_json::{json, Value};
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

/// The name of the snapshot file in the folder.
const SNAPSHOT_FILE: &str = "gateway.kept";
/// The state of an engine in the name service's list that accepts requests.
const READY: u16 = 0;
/// The state of an engine in the name service's list that accepts no new requests.
const DRAINING: u16 = 1;

/// A gateway that learns its engines only from the name service, and the two engines.
struct DiscoveringGateway {
    gateway: stub::Gateway,
    ready_engine: SocketAddr,
    draining_engine: SocketAddr,
}

/// Starts a gateway, with a snapshot folder if one is given, and two engines.
fn start_discovering_gateway(test: &str, folder: Option<&Path>) -> DiscoveringGateway {
    let answer_fetch = |line: &str, _: &str| match line.starts_with("fetch") {
        true => (stub::done_reply(line, "a\tb\tc\n"), false),
        false => (Vec::new(), false),
    };
    let (ready_engine, _) = start_engine(answer_fetch);
    let (draining_engine, _) = start_engine(answer_fetch);
    let classes = json!([{"name": "lookup", "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0}]);
    let (mut config, name_answer) = stub::gateway_config(1, classes, &[]);
    config["known"] = json!({"rev": 0, "notices": []});
    let mut operator = json!({"management": {"listen": management_address(&config)}});
    if let Some(folder) = folder {
        operator["recovery"] = json!({"state": folder});
    }
    DiscoveringGateway {
        gateway: stub::start_gateway_with_config(test, config, name_answer, Some(operator)),
        ready_engine,
        draining_engine,
    }
}

/// The management address of a gateway: its port is the one after the port for clients.
fn management_address(config: &Value) -> String {
    let listen: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    SocketAddr::new(listen.ip(), listen.port() + 1).to_string()
}

/// The leaves below a path of the gateway's data tree, as `ironstair get` prints them; null if it prints none.
fn get_leaves(gateway: &stub::Gateway, path: &str) -> Value {
    let management = SocketAddr::new(gateway.address.ip(), gateway.address.port() + 1).to_string();
    let output = Command::new(stub::gateway_binary())
        .args(["get", path, "--json", "--at", &management])
        .output()
        .unwrap();
    serde_json::from_slice(&output.stdout).unwrap_or_default()
}

/// Sends a call and returns whether it is answered with a result instead of an error.
fn is_settled(gateway: &stub::Gateway, call: u64) -> bool {
    let mut client = Client::connect(gateway);
    client.send_call(call);
    client.receive()["result"].is_object()
}

#[test]
fn restarted_gateway_serves_by_its_snapshot_without_the_name_service_and_omits_draining_engines() {
    let folder = tempfile::tempdir().unwrap();
    for has_folder in [true, false] {
        let test = format!("remembers-{has_folder}");
        let mut discovering = start_discovering_gateway(&test, has_folder.then_some(folder.path()));
        *discovering.gateway.name_answer.lock().unwrap() = engine_list_answer(
            7,
            &[
                ("e1", discovering.ready_engine, READY),
                ("e2", discovering.draining_engine, DRAINING),
            ],
        );
        wait_until("the gateway knows its engines", || {
            is_settled(&discovering.gateway, 1)
        });
        wait_until("the gateway is in its last start stage", || {
            get_leaves(&discovering.gateway, "/state/process/stage")[0]["value"] == json!("full")
        });
        // The first snapshot, which the gateway writes at its start, has no engine list yet.
        let file = folder.path().join(SNAPSHOT_FILE);
        wait_until("a snapshot with the engines is written", || {
            !has_folder || file_contains(&file, b"e1")
        });
        // From now on the name service answers without a list.
        discovering.gateway.name_answer.lock().unwrap().clear();
        discovering.gateway.restart();
        assert_eq!(
            is_settled(&discovering.gateway, 2),
            has_folder,
            "a restarted gateway without a snapshot folder knows no engine, one with a folder does"
        );
        if has_folder {
            assert_serves_by_the_snapshot(&discovering.gateway);
        }
    }
}

fn file_contains(file: &Path, text: &[u8]) -> bool {
    let bytes = fs::read(file).unwrap_or_default();
    bytes.windows(text.len()).any(|window| window == text)
}

fn assert_serves_by_the_snapshot(gateway: &stub::Gateway) {
    wait_until(
        "the gateway reports that its engine list is not from the name service",
        || {
            get_leaves(gateway, "/state/process/held-back-by")[0]["value"]
                == json!("the list of engines was not heard since the start")
        },
    );
    let engines = get_leaves(gateway, "/state/engine").to_string();
    assert!(
        engines.contains("e1") && !engines.contains("e2"),
        "{engines}"
    );
}

/// Creates a file in place of a snapshot folder, a folder with a corrupt snapshot, and a folder whose file `slow`
/// delays reads and writes.
fn write_unusable_folders(parent: &Path) {
    fs::write(parent.join("file"), "").unwrap();
    for (name, file) in [("corrupt", SNAPSHOT_FILE), ("slow", "slow")] {
        fs::create_dir(parent.join(name)).unwrap();
        fs::write(parent.join(name).join(file), "irst, but no more").unwrap();
    }
    fs::write(parent.join("slow").join(SNAPSHOT_FILE), "slow").unwrap();
}

#[test]
fn requests_are_answered_when_the_snapshot_folder_is_unusable_or_slow() {
    let parent = tempfile::tempdir().unwrap();
    write_unusable_folders(parent.path());
    for name in ["file", "corrupt", "slow", "not-there-yet"] {
        let folder = parent.path().join(name);
        let plan = Plan::default().gateway_count(3).disable_guard("fast-disk");
        let mut cluster = Cluster::prepare(&format!("folder-{name}"), &plan);
        cluster.edit_operator_file(0, |operator| {
            *operator = json!({"recovery": {"state": folder}});
        });
        cluster.start(0);
        cluster.wait_until_fit(0);
        cluster.start_load();
        cluster.wait_for_answers(AnswerKind::Rows, 30);
        let count_in_log = |text: &str| cluster.log(0).matches(text).count();
        match name {
            "file" => wait_until("the failed write is logged once", || {
                count_in_log("snapshot not written") == 1
            }),
            "corrupt" => assert_eq!(
                count_in_log("is not a gateway snapshot")
                    + count_in_log("is not supported, this program reads"),
                1
            ),
            "slow" => assert_eq!(count_in_log("not read within"), 1),
            _ => wait_until("the snapshot is written", || {
                folder.join(SNAPSHOT_FILE).exists()
            }),
        }
        cluster.stop_load_and_check();
    }
}

/// Waits until the gateway knows its engine, and returns whether it quarantines idempotency keys.
fn is_quarantining_keys(gateway: &stub::Gateway) -> bool {
    let text = |path: &str| {
        get_leaves(gateway, path)[0]["value"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    wait_until("the gateway knows its engines", || {
        text("/state/engine[name=e1]/zone") == "a"
    });
    text("/state/process/held-back-by").contains("keys rest")
}

#[test]
fn keys_are_quarantined_after_a_kill_and_not_after_a_clean_end() {
    let folder = tempfile::tempdir().unwrap();
    let (mut config, name_answer) = stub::gateway_config(1, json!([]), &[]);
    let class = json!({"name": "post", "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "side_effect", "worth": 1.0,
        "by_arrival": true});
    config["settings"]["classes"] = json!([class]);
    config["settings"]["family_info"]["threads_by_class"] = json!([1]);
    config["settings"]["guarantees"]["settle_after_doubt_ns"] = json!(60e9);
    let (engine_address, _) = start_engine(|_, _| (Vec::new(), false));
    *name_answer.lock().unwrap() = engine_list_answer(7, &[("e1", engine_address, READY)]);
    let operator = json!({
        "management": {"listen": management_address(&config)},
        "recovery": {"state": folder.path()},
    });
    let mut gateway =
        stub::start_gateway_with_config("keys-rest", config, name_answer, Some(operator));
    assert!(
        is_quarantining_keys(&gateway),
        "without a snapshot, nothing is known about a previous process"
    );
    wait_until("the snapshot is written", || {
        folder.path().join(SNAPSHOT_FILE).exists()
    });
    for ends_cleanly in [true, false, true] {
        if ends_cleanly {
            gateway.signal("-TERM");
            gateway.process.wait().unwrap();
        }
        gateway.restart();
        assert_eq!(
            is_quarantining_keys(&gateway),
            !ends_cleanly,
            "ended cleanly: {ends_cleanly}"
        );
    }
    // The last process but one is killed before it can write a snapshot, so the folder contains a snapshot of the
    // process before that one.
    gateway.restart();
    gateway.restart();
    assert!(
        is_quarantining_keys(&gateway),
        "a snapshot that the previous process didn't write is no evidence that it ended cleanly"
    );
}
