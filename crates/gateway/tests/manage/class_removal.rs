//! A class is deleted and created again while its requests are in flight.
//!
//! The test guards against a deletion that drops the running requests of the class, and against requests of a deleted
//! class that wait for their deadline instead of being rejected at once.

use crate::managed::{
    connect_without_tls, current_thread_runtime, delete_subtree, get_json, set_value,
    start_managed_gateway, GnmiClient,
};
use ironstair_test_cluster::stub::{becomes_true, done_reply, start_engine, Client};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// After this time a read of the state gets a new view: the gateway answers reads that are at most 20 ms apart from the
/// same one.
const MAX_STATE_AGE: Duration = Duration::from_millis(25);
const REPORT_SETTINGS: &str = "/settings/band[name=report]";
const REPORT_STATE: &str = "/state/band[name=report]";

/// Starts an engine that holds back its answers until the returned flag is set.
fn start_held_engine() -> (SocketAddr, Arc<AtomicBool>) {
    let answers_are_released = Arc::new(AtomicBool::new(false));
    let may_answer = answers_are_released.clone();
    let (address, _) = start_engine(move |line, _| {
        if !line.starts_with("fetch") {
            return (Vec::new(), false);
        }
        while !may_answer.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
        (done_reply(line, "a\tb\tc\n"), false)
    });
    (address, answers_are_released)
}

/// Waits until 12 requests of the class are accepted, and asserts that all of them run. A fixed wait would not do: a
/// call that the gateway reads after the deletion of the class is rejected.
fn await_twelve_running(runtime: &Runtime, client: &mut GnmiClient) {
    let mut state = Value::Null;
    let all_accepted = becomes_true(|| {
        state = runtime.block_on(get_json(client, REPORT_STATE)).unwrap();
        state["ironstair-gateway:taken"] == "12"
    });
    assert!(all_accepted, "{state}");
    assert_eq!(state["ironstair-gateway:released"], "12", "{state}");
    assert_eq!(
        state["ironstair-gateway:settled"], "0",
        "all requests must still run: {state}"
    );
}

/// Reads one answer to each of the 17 calls, and asserts that the 12 calls from before the deletion have rows and the 5
/// later ones were rejected at once.
fn assert_running_finish_and_later_rejected(request_client: &mut Client, deleted_at: Instant) {
    let (mut finished, mut rejected) = (BTreeSet::new(), BTreeMap::new());
    while finished.len() + rejected.len() < 17 {
        let reply = request_client.receive();
        let call = reply["id"].as_u64().unwrap();
        let is_first = match reply["error"]["code"].as_i64() {
            None => finished.insert(call),
            Some(_) => rejected.insert(call, deleted_at.elapsed()).is_none(),
        };
        assert!(is_first, "second answer to call {call}");
    }
    assert_eq!(
        finished,
        (1..=12).collect(),
        "the calls from before the deletion must finish"
    );
    assert_eq!(
        rejected.keys().copied().collect::<Vec<_>>(),
        [101, 102, 103, 104, 105]
    );
    assert!(
        rejected
            .values()
            .all(|elapsed| *elapsed < Duration::from_secs(1)),
        "rejected at once: {rejected:?}"
    );
}

fn report_class(threads: u32) -> Value {
    json!({"expected": 2000, "hard-limit": 5000, "payoff": "1.0", "repeat": "repeatable", "threads": threads})
}

#[test]
fn deleted_class_finishes_its_running_requests_and_rejects_new_ones_until_created_again() {
    let (engine_address, answers_are_released) = start_held_engine();
    let (gateway, gnmi_address) = start_managed_gateway("case-2", &[("e1", engine_address)]);
    let runtime = current_thread_runtime();
    let mut client = runtime.block_on(connect_without_tls(gnmi_address));
    let mut request_client = Client::connect(&gateway);
    (1..=12).for_each(|call| request_client.send_call_of_class("report", call));
    await_twelve_running(&runtime, &mut client);

    runtime
        .block_on(delete_subtree(&mut client, REPORT_SETTINGS))
        .unwrap();
    let deleted_at = Instant::now();
    (101..=105).for_each(|call| request_client.send_call_of_class("report", call));
    answers_are_released.store(true, Ordering::Relaxed);

    assert_running_finish_and_later_rejected(&mut request_client, deleted_at);
    // Without the wait, the state could be read from a view from before the rejections.
    thread::sleep(MAX_STATE_AGE);
    let state = runtime
        .block_on(get_json(&mut client, REPORT_STATE))
        .unwrap();
    assert_eq!(state["ironstair-gateway:in-service"], json!(false));
    assert_eq!(state["ironstair-gateway:turned-back"], json!("5"));

    // The class can only be created again with the same values of its fixed settings, such as `threads`.
    let refused = runtime
        .block_on(set_value(&mut client, REPORT_SETTINGS, report_class(2)))
        .unwrap_err();
    assert!(
        refused
            .message()
            .starts_with("/settings/band[name=report]/threads: cannot"),
        "{refused:?}"
    );
    runtime
        .block_on(set_value(&mut client, REPORT_SETTINGS, report_class(4)))
        .unwrap();
    request_client.send_call_of_class("report", 200);
    assert_eq!(request_client.receive_rows().0, 200);
}
