//! Each way in which a faulty message, or a missing one, ends a connection on which other calls are open.

use crate::support::{assert_connection_closed, call_with_fields, health_check_call, ROW};
use ironstair_test_cluster::stub::{
    done_reply, framed, start_gateway, Client, Gateway, ManualEngine, REJECTED,
};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::Shutdown;

/// The open call that every test makes first.
const OPEN_CALL: u64 = 1;
/// Open calls that are allowed on one connection.
const MAX_OPEN_CALLS: u64 = 32;

/// An engine that answers only when the test says so, and a client with a call that has reached it.
struct OpenCall {
    /// Dropping it ends the process.
    _gateway: Gateway,
    engine: ManualEngine,
    client: Client,
    connection: usize,
}

impl OpenCall {
    fn start(test: &str) -> OpenCall {
        let mut engine = ManualEngine::start();
        let gateway = start_gateway(test, &[("e1", engine.address)]);
        let mut client = Client::connect(&gateway);
        client.send_call(OPEN_CALL);
        let command = engine.wait_for("fetch 0000000000000001 ");
        OpenCall {
            _gateway: gateway,
            engine,
            client,
            connection: command.connection,
        }
    }

    fn write(&mut self, bytes: &[u8]) {
        self.client.0.get_mut().write_all(bytes).unwrap();
    }

    /// Has the engine answer the open call.
    fn answer(&self) {
        let reply = done_reply("fetch 0000000000000001", ROW);
        let reply = String::from_utf8(reply).unwrap();
        self.engine.send(self.connection, &reply);
    }

    /// Has the engine answer the open call, and asserts that the client receives the answer and then the end.
    fn assert_answered_before_the_end(&mut self) {
        self.answer();
        assert_eq!(self.client.receive_rows().0, OPEN_CALL);
        assert_connection_closed(&mut self.client);
    }
}

#[test]
fn open_call_is_answered_after_a_malformed_frame() {
    // The start of the next message is unknown after it, and the connection has to end: with the answer to the open
    // call, not without.
    let mut open = OpenCall::start("ends-frame");
    open.write(b"GET / HTTP/1.1\r\n\r\n");
    assert_eq!(open.client.receive()["error"]["code"], -32700);
    open.assert_answered_before_the_end();
}

#[test]
fn open_call_is_answered_after_too_many_invalid_calls() {
    // The sixteenth error ends the connection, but not the valid call that is open on it. Calls that follow are refused
    // until then: they must not be left unread either.
    let mut open = OpenCall::start("ends-errors");
    for _ in 0..16 {
        open.client
            .send(r#"{"jsonrpc":"2.0","id":5,"method":"drop"}"#);
        assert_eq!(open.client.receive()["error"]["code"], -32601);
    }
    open.client.send_call(6);
    let refused = open.client.receive();
    assert_eq!(
        (&refused["id"], &refused["error"]["code"]),
        (&Value::from(6), &Value::from(REJECTED))
    );
    open.assert_answered_before_the_end();
}

#[test]
fn open_calls_are_answered_after_too_many_of_them() {
    // A client that exceeds the limit of open calls again and again must not lose those within the limit.
    let mut open = OpenCall::start("ends-limit");
    for call in 2..=MAX_OPEN_CALLS + 20 {
        open.client.send_call(call);
    }
    let refused: BTreeSet<u64> = (0..20)
        .map(|_| {
            let answer = open.client.receive();
            assert!(answer["error"]["code"].is_number(), "{answer}");
            answer["id"].as_u64().unwrap()
        })
        .collect();
    assert_eq!(
        refused,
        (MAX_OPEN_CALLS + 1..=MAX_OPEN_CALLS + 20).collect()
    );
    let mut answered = BTreeSet::new();
    for _ in 0..MAX_OPEN_CALLS {
        if answered.is_empty() {
            open.answer();
        } else {
            let command = open.engine.wait_for("fetch ");
            let reply = String::from_utf8(done_reply(&command.line, ROW)).unwrap();
            open.engine.send(command.connection, &reply);
        }
        answered.insert(open.client.receive_rows().0);
    }
    assert_eq!(answered, (1..=MAX_OPEN_CALLS).collect());
    assert_connection_closed(&mut open.client);
}

#[test]
fn open_call_is_answered_after_a_call_number_was_used_twice() {
    // Replies to the call number that is used twice would be ambiguous; those to other calls are not.
    let mut open = OpenCall::start("ends-number");
    open.client.send_call(2);
    open.engine.wait_for("fetch 0000000000000002 ");
    open.client.send(&call_with_fields(
        2,
        "lookup",
        r#""id":"00000000000000aa","wait":4000,"bytes":"""#,
    ));
    let refused = open.client.receive();
    assert_eq!(
        (&refused["id"], &refused["error"]["code"]),
        (&Value::Null, &Value::from(-32600))
    );
    open.engine.wait_for("abort 0000000000000002");
    open.assert_answered_before_the_end();
}

#[test]
fn open_call_is_answered_although_a_later_message_stalls() {
    // A message has 2 s to arrive. One that does not must end neither the call before it nor, once it is complete after
    // all, remain without an answer.
    let mut open = OpenCall::start("ends-stall");
    let frame = framed(&call_with_fields(
        2,
        "lookup",
        r#""id":"0000000000000002","wait":4000,"bytes":"""#,
    ));
    let (start, rest) = frame.as_bytes().split_at(frame.len() - 10);
    open.write(start);
    let refused = open.client.receive();
    assert_eq!(
        (&refused["id"], &refused["error"]["code"]),
        (&Value::from(2), &Value::from(REJECTED))
    );
    open.write(rest);
    open.client.send_call(3);
    assert_eq!(
        open.client.receive()["id"],
        3,
        "the connection is still read"
    );
    open.assert_answered_before_the_end();
}

#[test]
fn open_call_is_answered_although_a_later_frame_header_stalls() {
    let mut open = OpenCall::start("ends-header");
    open.write(b"Content-Len");
    assert_eq!(open.client.receive()["error"]["code"], -32700);
    open.assert_answered_before_the_end();
}

#[test]
fn open_call_is_answered_although_the_client_half_closes_within_a_message() {
    // After a half-close the client still waits for the answers to its earlier calls.
    for (test, missing_bytes) in [("ends-short", 40), ("ends-long", 40_000)] {
        let mut open = OpenCall::start(test);
        let statement = "QUJD".repeat(missing_bytes / 2);
        let fields = format!(r#""id":"0000000000000002","wait":4000,"bytes":"{statement}""#);
        let frame = framed(&call_with_fields(2, "lookup", &fields));
        open.write(&frame.as_bytes()[..frame.len() - missing_bytes]);
        open.client.0.get_ref().shutdown(Shutdown::Write).unwrap();
        open.assert_answered_before_the_end();
    }
}

#[test]
fn open_call_is_answered_beside_more_messages_than_replies_are_queued() {
    // The gateway reads many messages at once and queues a reply to each. A queue that overflows before the first reply
    // is written must not end the connection.
    let mut open = OpenCall::start("ends-queue");
    let checks: String = (100..1100)
        .map(|call| framed(&health_check_call(call)))
        .collect();
    open.write(checks.as_bytes());
    for call in 100..1100 {
        assert_eq!(open.client.receive()["id"], call);
    }
    open.answer();
    assert_eq!(open.client.receive_rows().0, OPEN_CALL);
}
