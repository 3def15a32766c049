//! A gateway with a long connect timeout for engines, and calls with long deadlines, so that neither expires while a
//! test arranges the order of two events.

use crate::support::{call_with_fields, engine_with_rows, health_check_call, ROW};
use ironstair_test_cluster::stub::{
    done_reply, gateway_config, start_gateway_with_config, Client, Gateway, RecordedLines,
};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The call id of the health check that marks the end of a client's earlier messages.
const MARKER_CALL_ID: u64 = 9000;

/// The reply of an engine that answers every line with one row, and whether it closes the connection: it does not.
pub(crate) fn one_row_reply(line: &str, _: &str) -> (Vec<u8>, bool) {
    (done_reply(line, ROW), false)
}

/// Starts an engine that answers every line with one row.
pub(crate) fn answering_engine() -> (SocketAddr, RecordedLines) {
    engine_with_rows(ROW)
}

/// An idempotent class, a class whose requests the engines deduplicate for half a second, and a non-idempotent class.
fn classes() -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "slo_ns": 4e9, "give_up_ns": 8e9, "semantics": semantics, "worth": 1.0,
            "window_ns": 5e8})
    };
    json!([
        class("lookup", "pure"),
        class("stow", "token"),
        class("post", "side_effect")
    ])
}

/// Starts a gateway that waits up to 6 s for a connection to an engine.
pub(crate) fn start_with_long_connect_timeout(
    test: &str,
    engines: &[(&str, SocketAddr)],
) -> Gateway {
    start_with_edited_config(test, engines, |_| {})
}

/// As [`start_with_long_connect_timeout`], with these limits of memory in MB and of sockets.
pub(crate) fn start_with_limits(
    test: &str,
    engines: &[(&str, SocketAddr)],
    memory_mb: u32,
    sockets: u32,
) -> Gateway {
    start_with_edited_config(test, engines, |config| {
        config["limits"] = json!({"memory_mb": memory_mb, "sockets": sockets});
    })
}

/// As [`start_with_long_connect_timeout`], with a configuration that `edit` has changed.
pub(crate) fn start_with_edited_config(
    test: &str,
    engines: &[(&str, SocketAddr)],
    edit: impl FnOnce(&mut Value),
) -> Gateway {
    let (mut config, name_answer) = gateway_config(2, classes(), engines);
    config["settings"]["policy_limits"]["connect_timeout_ns"] = json!(6e9);
    edit(&mut config);
    start_gateway_with_config(test, config, name_answer, None)
}

/// A call with a deadline of 7 s and a statement in base64.
pub(crate) fn call_with_long_deadline(call: u64, class: &str, statement: &str) -> String {
    let fields = format!(r#""id":"{call:016x}","wait":7000,"bytes":"{statement}""#);
    call_with_fields(call, class, &fields)
}

/// Sends a call with a deadline of 7 s and an idempotency key.
pub(crate) fn send_call_with_long_deadline(client: &mut Client, class: &str, call: u64) {
    let fields =
        format!(r#""id":"{call:016x}","wait":7000,"bytes":"c2VsZWN0IDE=","once":"o{call}""#);
    client.send(&call_with_fields(call, class, &fields));
}

/// The health check whose answer [`wait_for_marker_answer`] expects.
pub(crate) fn marker_message() -> String {
    health_check_call(MARKER_CALL_ID)
}

/// Reads until the answer to the marker. The policy has processed all earlier messages of the client by then.
pub(crate) fn wait_for_marker_answer(client: &mut Client) {
    while client.receive()["id"] != MARKER_CALL_ID {}
}

/// Waits until the policy has processed all messages that the client has sent.
pub(crate) fn wait_until_processed(client: &mut Client) {
    client.send(&marker_message());
    wait_for_marker_answer(client);
}
