//! Requests wait for a connection to an engine while their deduplication window ends, or the engine starts to drain.

use crate::patient_gateway::{
    answering_engine, one_row_reply, send_call_with_long_deadline, start_with_long_connect_timeout,
};
use crate::support::{engine_with_status, fetch_count};
use ironstair_test_cluster::stub::{
    engine_list_answer, request_id, Client, FullListener, RecordedLines, FAILED,
};
use serde_json::Value;
use std::thread;
use std::time::Duration;

/// The ids of the requests that an engine received.
fn request_ids(recorded_lines: &RecordedLines) -> Vec<String> {
    let recorded_lines = recorded_lines.lock().unwrap();
    recorded_lines
        .iter()
        .map(|line| request_id(line).to_owned())
        .collect()
}

#[test]
fn deduplicated_request_is_not_retried_after_its_window_has_ended() {
    // A retry after the deduplication window may run the request twice. Some requests fail at the first engine; the
    // policy decides on their second attempt within the window, but the connection for it is established only after
    // the window.
    let (failing_engine, failing_engine_lines) = engine_with_status("BROKE");
    let (late_engine, full_listener) = FullListener::bind();
    let gateway =
        start_with_long_connect_timeout("window", &[("e1", failing_engine), ("e2", late_engine)]);
    let mut client = Client::connect(&gateway);
    (1..=8).for_each(|call| send_call_with_long_deadline(&mut client, "stow", call));
    full_listener.wait_for_pending_connections(8);
    assert!(
        failing_engine_lines.lock().unwrap()[0].contains(",i=o"),
        "sent with its idempotency key"
    );

    thread::sleep(Duration::from_millis(600));
    let opened_listener = full_listener.open(one_row_reply);
    opened_listener.wait_for_established_connections(8);

    let answers: Vec<Value> = (0..8).map(|_| client.receive()).collect();
    let ids_at_failing_engine = request_ids(&failing_engine_lines);
    let ids_at_late_engine = request_ids(&opened_listener.recorded_lines);
    assert!(
        ids_at_failing_engine
            .iter()
            .all(|id| !ids_at_late_engine.contains(id)),
        "retried after the window: {ids_at_failing_engine:?}, {ids_at_late_engine:?}"
    );
    let failed = answers
        .iter()
        .filter(|answer| answer["error"]["code"] == FAILED);
    assert_eq!(
        failed.count(),
        ids_at_failing_engine.len(),
        "each request that reached the failing engine may have run, so it fails: {answers:?}"
    );
}

#[test]
fn request_that_waits_for_a_connection_is_sent_elsewhere_when_its_engine_starts_to_drain() {
    // An attempt that waits for its connection must not be written to an engine that has started to drain by then.
    let (late_engine, full_listener) = FullListener::bind();
    let (other_engine, other_engine_lines) = answering_engine();
    let gateway = start_with_long_connect_timeout("drains", &[("e1", late_engine)]);
    let mut client = Client::connect(&gateway);
    (1..=8).for_each(|call| send_call_with_long_deadline(&mut client, "post", call));
    full_listener.wait_for_pending_connections(8);

    *gateway.name_answer.lock().unwrap() =
        engine_list_answer(2, &[("e1", late_engine, 1), ("e2", other_engine, 0)]);
    // Only the other engine can answer this call, so the gateway has the new list once it is answered.
    let mut probe_client = Client::connect(&gateway);
    send_call_with_long_deadline(&mut probe_client, "lookup", 77);
    assert_eq!(probe_client.receive_rows().0, 77);
    let opened_listener = full_listener.open(one_row_reply);
    opened_listener.wait_for_established_connections(8);

    let mut calls: Vec<u64> = (0..8).map(|_| client.receive_rows().0).collect();
    calls.sort_unstable();
    assert_eq!(calls, Vec::from_iter(1..=8));
    assert_eq!(fetch_count(&other_engine_lines), 9);
    let recorded_lines = opened_listener.recorded_lines.lock().unwrap();
    assert!(recorded_lines.is_empty(), "{recorded_lines:?}");
}
