//! Requests wait for a connection to an engine while their window ends, or the engine starts to drain.

use crate::patient_gateway::{answer_one_row, answering_engine, ask_patiently, patient_gateway};
use crate::support::{engine_with_status, fetch_count};
use ironstair_test_cluster::stub::{
    engine_list_answer, request_id, Client, FullListener, RecordedLines, FAILED,
};
use serde_json::Value;
use std::thread;
use std::time::Duration;

/// The ids of the requests that an engine received.
fn request_ids(seen: &RecordedLines) -> Vec<String> {
    let seen = seen.lock().unwrap();
    seen.iter()
        .map(|line| request_id(line).to_owned())
        .collect()
}

#[test]
fn deduplicated_request_is_not_started_again_once_its_window_has_ended() {
    // Some requests fail at the first engine. The policy decides their second attempt within the window, and the
    // connection for it comes up after the window.
    let (failing, failing_seen) = engine_with_status("BROKE");
    let (late, gate) = FullListener::bind();
    let gateway = patient_gateway("window", &[("e1", failing), ("e2", late)]);
    let mut client = Client::connect(&gateway);
    (1..=8).for_each(|call| ask_patiently(&mut client, "stow", call));
    gate.wait_for_pending_connections(8);
    assert!(
        failing_seen.lock().unwrap()[0].contains(",i=o"),
        "sent with its idempotency key"
    );

    thread::sleep(Duration::from_millis(600));
    let opened = gate.open(answer_one_row);
    opened.wait_for_established_connections(8);

    let answers: Vec<Value> = (0..8).map(|_| client.receive()).collect();
    let before = request_ids(&failing_seen);
    let after = request_ids(&opened.recorded_lines);
    assert!(
        before.iter().all(|id| !after.contains(id)),
        "again after the window: {before:?}, {after:?}"
    );
    let failed = answers.iter().filter(|a| a["error"]["code"] == FAILED);
    assert_eq!(
        failed.count(),
        before.len(),
        "it may have run, and may not run again: {answers:?}"
    );
}

#[test]
fn request_that_waits_for_a_connection_is_sent_elsewhere_when_its_engine_starts_to_drain() {
    let (late, gate) = FullListener::bind();
    let (other, other_seen) = answering_engine();
    let gateway = patient_gateway("drains", &[("e1", late)]);
    let mut client = Client::connect(&gateway);
    (1..=8).for_each(|call| ask_patiently(&mut client, "post", call));
    gate.wait_for_pending_connections(8);

    *gateway.name_answer.lock().unwrap() =
        engine_list_answer(2, &[("e1", late, 1), ("e2", other, 0)]);
    // Only the other engine can answer: the gateway has the new list then.
    let mut probe = Client::connect(&gateway);
    ask_patiently(&mut probe, "lookup", 77);
    assert_eq!(probe.receive_rows().0, 77);
    let opened = gate.open(answer_one_row);
    opened.wait_for_established_connections(8);

    let mut calls: Vec<u64> = (0..8).map(|_| client.receive_rows().0).collect();
    calls.sort_unstable();
    assert_eq!(calls, Vec::from_iter(1..=8));
    assert_eq!(fetch_count(&other_seen), 9);
    let seen = opened.recorded_lines.lock().unwrap();
    assert!(seen.is_empty(), "{seen:?}");
}
