//! A class is deleted and created again while its requests are in flight.

use crate::managed::{connect, delete, get, managed_gateway, runtime, set, GnmiClient};
use ironstair_test_cluster::stub::{becomes_true, done_reply, start_engine, Client};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// The gateway answers reads of its state within 20 ms of each other from one view.
const MAX_STATE_AGE: Duration = Duration::from_millis(25);
const REPORT_SETTINGS: &str = "/settings/band[name=report]";
const REPORT_STATE: &str = "/state/band[name=report]";

/// An engine that holds its answers until the flag is set.
fn held_engine() -> (SocketAddr, Arc<AtomicBool>) {
    let is_open = Arc::new(AtomicBool::new(false));
    let opened = is_open.clone();
    let (address, _) = start_engine(move |line, _| {
        if !line.starts_with("fetch") {
            return (Vec::new(), false);
        }
        while !opened.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
        (done_reply(line, "a\tb\tc\n"), false)
    });
    (address, is_open)
}

/// Waits until 12 requests of the class are accepted and all of them run. A fixed wait would not do: a call that the
/// gateway reads after the class was deleted is rejected.
fn await_twelve_running(rt: &Runtime, client: &mut GnmiClient) {
    let mut state = Value::Null;
    let all_accepted = becomes_true(|| {
        state = rt.block_on(get(client, REPORT_STATE)).unwrap();
        state["ironstair-gateway:taken"] == "12"
    });
    assert!(all_accepted, "{state}");
    assert_eq!(state["ironstair-gateway:released"], "12", "{state}");
    assert_eq!(state["ironstair-gateway:settled"], "0", "all run: {state}");
}

/// Reads one answer to each of the 17 calls: 12 have rows, those after the deletion are rejected at once.
fn assert_running_finish_and_later_rejected(asker: &mut Client, deleted_at: Instant) {
    let (mut finished, mut rejected) = (BTreeSet::new(), BTreeMap::new());
    while finished.len() + rejected.len() < 17 {
        let reply = asker.receive();
        let call = reply["id"].as_u64().unwrap();
        let is_first = match reply["error"]["code"].as_i64() {
            None => finished.insert(call),
            Some(_) => rejected.insert(call, deleted_at.elapsed()).is_none(),
        };
        assert!(is_first, "twice");
    }
    assert_eq!(finished, (1..=12).collect(), "open ones finish");
    assert_eq!(
        rejected.keys().copied().collect::<Vec<_>>(),
        [101, 102, 103, 104, 105]
    );
    assert!(
        rejected.values().all(|t| *t < Duration::from_secs(1)),
        "rejected at once: {rejected:?}"
    );
}

fn report_class(threads: u32) -> Value {
    json!({"expected": 2000, "hard-limit": 5000, "payoff": "1.0", "repeat": "repeatable", "threads": threads})
}

#[test]
fn deleted_class_finishes_its_running_requests_and_rejects_new_ones_until_created_again() {
    let (at_engine, engine_is_open) = held_engine();
    let (gateway, at) = managed_gateway("case-2", &[("e1", at_engine)]);
    let rt = runtime();
    let mut client = rt.block_on(connect(at));
    let mut asker = Client::connect(&gateway);
    (1..=12).for_each(|call| asker.send_call_of_class("report", call));
    await_twelve_running(&rt, &mut client);

    rt.block_on(delete(&mut client, REPORT_SETTINGS)).unwrap();
    let deleted_at = Instant::now();
    (101..=105).for_each(|call| asker.send_call_of_class("report", call));
    engine_is_open.store(true, Ordering::Relaxed);

    assert_running_finish_and_later_rejected(&mut asker, deleted_at);
    // Without the wait a view from before the rejections could be read.
    thread::sleep(MAX_STATE_AGE);
    let state = rt.block_on(get(&mut client, REPORT_STATE)).unwrap();
    assert_eq!(state["ironstair-gateway:in-service"], json!(false));
    assert_eq!(state["ironstair-gateway:turned-back"], json!("5"));

    // The class can come back with its old fixed terms only.
    let refused = rt
        .block_on(set(&mut client, REPORT_SETTINGS, report_class(2)))
        .unwrap_err();
    assert!(
        refused
            .message()
            .starts_with("/settings/band[name=report]/threads: cannot"),
        "{refused:?}"
    );
    rt.block_on(set(&mut client, REPORT_SETTINGS, report_class(4)))
        .unwrap();
    asker.send_call_of_class("report", 200);
    assert_eq!(asker.receive_rows().0, 200);
}
