//! Client calls: duplicate ids, cancellation and malformed messages.

use crate::support::{
    assert_connection_closed, call_with_fields, cancel_notification, engine_with_latency,
    engine_with_rows, health_check_call, ROW,
};
use ironstair_test_cluster::stub::{
    self, becomes_true, done_reply, framed, start_engine, Client, RecordedLines,
};
use serde_json::{json, Value};
use std::io::Write;
use std::time::Duration;

/// A call with the request id of another call, which is still open.
fn call_with_request_id_in_use(call: u64) -> String {
    let fields = r#""id":"0000000000000001","wait":400,"bytes":"""#;
    call_with_fields(call, "lookup", fields)
}

fn last_line(recorded_lines: &RecordedLines) -> String {
    recorded_lines.lock().unwrap().last().unwrap().clone()
}

#[test]
fn ambiguous_calls_are_refused_while_their_id_is_in_use() {
    // A second call with an id in use must not replace, cancel or receive the answer of the first one, whether the same
    // client or another one sends it.
    let (engine_address, recorded_lines) = engine_with_latency(Duration::from_millis(500));
    let gateway = stub::start_gateway("ids-in-use", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    let mut other_client = Client::connect(&gateway);
    client.send_call(1);
    assert!(becomes_true(|| recorded_lines.lock().unwrap().len() == 1));

    other_client.send(&call_with_request_id_in_use(5));
    assert_eq!(
        other_client.receive()["error"]["code"],
        -32602,
        "the request id is in use"
    );
    let duplicate_and_cancellation =
        framed(&call_with_request_id_in_use(6)) + &framed(&cancel_notification(6));
    let socket = other_client.0.get_mut();
    socket
        .write_all(duplicate_and_cancellation.as_bytes())
        .unwrap();
    assert_eq!(
        client.receive_rows().0,
        1,
        "another client must not cancel the request"
    );

    client.send_call(1);
    assert!(becomes_true(|| recorded_lines.lock().unwrap().len() == 2));
    client.send_call(1);
    let refused = client.receive();
    assert_eq!(
        (&refused["error"]["code"], &refused["id"]),
        (&json!(-32600), &Value::Null),
        "the call id is in use"
    );
    assert_connection_closed(&mut client);
    assert!(becomes_true(
        || last_line(&recorded_lines) == "abort 0000000000000001"
    ));

    other_client.send_call(2);
    let socket = other_client.0.get_mut();
    socket.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(other_client.receive()["error"]["code"], -32700);
    assert_eq!(
        other_client.receive_rows().0,
        2,
        "the call before the malformed frame is answered"
    );
    assert_connection_closed(&mut other_client);
}

#[test]
fn cancelled_call_is_withdrawn_and_never_answered() {
    // The engine must be told to stop working on a cancelled call, and the client gets no answer to it.
    let (engine_address, recorded_lines) = start_engine(|line, _| match line.ends_with("prio=9") {
        true => (done_reply(line, ""), false),
        false => (Vec::new(), false),
    });
    let gateway = stub::start_gateway("interrupt", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    client.send_call(1);
    assert!(becomes_true(|| recorded_lines.lock().unwrap().len() == 1));

    client.send(&cancel_notification(1));

    assert!(becomes_true(
        || last_line(&recorded_lines) == "abort 0000000000000001"
    ));
    client.send(&health_check_call(2));
    assert_eq!(
        client.receive(),
        json!({"jsonrpc": "2.0", "id": 2, "result": {"fit": true}})
    );
}

#[test]
fn malformed_calls_are_refused_and_the_connection_stays_usable() {
    // One malformed call must not end the connection with the client's other calls.
    let (engine_address, _) = engine_with_rows(ROW);
    let gateway = stub::start_gateway("malformed-calls", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    let short_id = call_with_fields(2, "lookup", r#""id":"short","wait":9,"bytes":"""#);
    for (call, code) in [
        ("{\"id\":", -32700),
        (r#"{"jsonrpc":"2.0","id":1,"method":"drop"}"#, -32601),
        (&short_id, -32602),
    ] {
        client.send(call);
        assert_eq!(client.receive()["error"]["code"], code);
    }
    let statement = "QUJD".repeat(30_000);
    let fields = format!(r#""id":"{:016x}","wait":4000,"bytes":"{statement}""#, 3);
    client.send(&call_with_fields(3, "lookup", &fields));
    assert_eq!(
        client.receive_rows().0,
        3,
        "a statement that is longer than one buffer"
    );
    client.send_call(4);
    assert_eq!(client.receive_rows().0, 4);
}

#[test]
fn calls_with_invalid_numbers_are_refused_and_never_sent() {
    // If an invalid number were treated as a missing field, the call would be sent with a default in its place.
    let (engine_address, recorded_lines) = engine_with_rows(ROW);
    let gateway = stub::start_gateway("invalid-numbers", &[("e1", engine_address)]);
    for fields in [
        r#""wait":-1,"bytes":"""#,
        r#""wait":0,"bytes":"""#,
        r#""wait":1e12,"bytes":"""#,
        r#""wait":400,"bytes":"","cost":"many""#,
        r#""wait":400,"bytes":"","cost":-3"#,
        r#""wait":400,"bytes":"","ram":1e300"#,
        r#""wait":400,"bytes":"","retry":[]"#,
        r#""wait":400"#,
    ] {
        let mut client = Client::connect(&gateway);
        let fields = format!(r#""id":"00000000000000aa",{fields}"#);
        client.send(&call_with_fields(1, "lookup", &fields));
        assert_eq!(client.receive()["error"]["code"], -32602, "{fields}");
    }
    assert!(recorded_lines.lock().unwrap().is_empty());
}
