//! Stub engines, class settings, client messages and checks that several test programs share. Each program compiles its
//! own copy and uses part of it.
#![allow(dead_code)]

use ironstair_test_cluster::stub::{
    done_reply, request_id, start_engine, Client, Gateway, RecordedLines,
};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// One row of three columns.
pub(crate) const ROW: &str = "x\ty\tz\n";

/// Starts an engine that answers every line with these rows.
pub(crate) fn engine_with_rows(rows: &'static str) -> (SocketAddr, RecordedLines) {
    start_engine(move |line, _| (done_reply(line, rows), false))
}

/// Starts an engine that answers every line with one row after `latency`.
pub(crate) fn engine_with_latency(latency: Duration) -> (SocketAddr, RecordedLines) {
    start_engine(move |line, _| {
        thread::sleep(latency);
        (done_reply(line, ROW), false)
    })
}

/// Starts an engine that reads and never answers.
pub(crate) fn silent_engine() -> (SocketAddr, RecordedLines) {
    start_engine(|_, _| (Vec::new(), false))
}

/// Starts an engine that answers every line with a status and no rows, such as `WAIT` or `BROKE`.
pub(crate) fn engine_with_status(status: &'static str) -> (SocketAddr, RecordedLines) {
    start_engine(move |line, _| (status_reply(line, status), false))
}

/// The reply to `line` with this status and no rows.
pub(crate) fn status_reply(line: &str, status: &str) -> Vec<u8> {
    format!("{} {status} - 0\r\n\r\n", request_id(line)).into_bytes()
}

/// The number of attempts that an engine received.
pub(crate) fn fetch_count(recorded_lines: &RecordedLines) -> usize {
    let recorded_lines = recorded_lines.lock().unwrap();
    recorded_lines
        .iter()
        .filter(|line| line.starts_with("fetch"))
        .count()
}

/// The settings of a class with a base objective of 1 s, a hard limit of 5 s and a payoff of 1.
pub(crate) fn class_settings(name: &str, semantics: &str) -> Value {
    json!({"name": name, "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": semantics, "worth": 1.0})
}

/// The settings of an idempotent class, whose requests may run more than once.
pub(crate) fn idempotent_class(name: &str) -> Value {
    class_settings(name, "pure")
}

/// A call whose parameters are these JSON members.
pub(crate) fn call_with_fields(call: u64, class: &str, fields: &str) -> String {
    format!(r#"{{"jsonrpc":"2.0","id":{call},"method":"{class}","params":{{{fields}}}}}"#)
}

/// The notification with which a client cancels its call.
pub(crate) fn cancel_notification(call: u64) -> String {
    format!(r#"{{"jsonrpc":"2.0","method":"interrupt","params":{{"id":{call}}}}}"#)
}

/// The call that asks for the gateway's health.
pub(crate) fn health_check_call(call: u64) -> String {
    format!(r#"{{"jsonrpc":"2.0","id":{call},"method":"check"}}"#)
}

/// Writes another address of the name service to the gateway's configuration file, and has the gateway reload it.
pub(crate) fn change_name_service_address(gateway: &Gateway, name_service: SocketAddr) {
    let config = std::fs::read_to_string(gateway.dir.join("told.json")).unwrap();
    gateway.reload_with_name_service(&config, name_service);
}

/// Asserts that the gateway closes the connection, and sends nothing before that.
pub(crate) fn assert_connection_closed(client: &mut Client) {
    assert_eq!(std::io::Read::read(&mut client.0, &mut [0; 1]).unwrap(), 0);
}
