//! Long messages that arrive in pieces, and the memory that they hold until they are complete.

use crate::support::{
    call_with_fields, engine_with_latency, engine_with_rows, idempotent_class, ROW,
};
use ironstair_test_cluster::stub::{
    framed, gateway_config, start_gateway_with_config, Client, Gateway, RecordedLines, REJECTED,
};
use serde_json::json;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

const PIECE_BYTES: usize = 400;

fn start_with_memory(test: &str, engine: SocketAddr, memory_mb: f64) -> Gateway {
    let classes = json!([idempotent_class("lookup"), idempotent_class("report")]);
    let (mut config, name_answer) = gateway_config(2, classes, &[("e1", engine)]);
    config["limits"] = json!({"memory_mb": memory_mb, "sockets": 1024});
    start_gateway_with_config(test, config, name_answer, None)
}

/// The frame of a call whose statement has this many characters in base64.
fn long_call(call: u64, characters: usize) -> String {
    let statement = "QUJD".repeat(characters / 4);
    let fields = format!(r#""id":"{call:016x}","wait":4000,"bytes":"{statement}""#);
    framed(&call_with_fields(call, "lookup", &fields))
}

/// As [`long_call`], with the call's id behind its parameters.
fn long_call_with_id_at_its_end(call: u64, characters: usize) -> String {
    let statement = "QUJD".repeat(characters / 4);
    framed(&format!(
        r#"{{"jsonrpc":"2.0","method":"lookup","params":{{"id":"{call:016x}","wait":4000,"bytes":"{statement}"}},"id":{call}}}"#
    ))
}

#[test]
fn messages_in_pieces_need_no_more_memory_than_their_bytes() {
    // A buffer for each piece, however short, let a few slow writers use up the memory for long messages. Their
    // connections were then ended, and the requests that were open on them were lost.
    let (engine, _) = engine_with_latency(Duration::from_millis(300));
    let gateway = start_with_memory("pieces", engine, 6.0);
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(&gateway)).collect();
    let frames: Vec<String> = (0..6)
        .map(|client| long_call(100 + client, 16_000))
        .collect();
    for (index, client) in clients.iter_mut().enumerate() {
        client.send_call(1 + index as u64);
    }
    let piece_count = frames[0].len().div_ceil(PIECE_BYTES);
    for piece in 0..piece_count {
        for (client, frame) in clients.iter_mut().zip(&frames) {
            let rest = &frame.as_bytes()[piece * PIECE_BYTES..];
            let bytes = &rest[..rest.len().min(PIECE_BYTES)];
            client.0.get_mut().write_all(bytes).unwrap();
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    for (index, client) in clients.iter_mut().enumerate() {
        let index = index as u64;
        let answered = [client.receive_rows().0, client.receive_rows().0];
        let expected = BTreeSet::from([1 + index, 100 + index]);
        assert_eq!(BTreeSet::from(answered), expected);
    }
}

/// Writes most of a message that exceeds the memory for incomplete messages, and returns the answer that arrives before
/// the rest of it.
fn assert_rejected_while_incomplete(client: &mut Client, call: u64, frame: &str) {
    let (start, rest) = frame.as_bytes().split_at(frame.len() - 30);
    client.0.get_mut().write_all(start).unwrap();
    let is_id_known = !frame.ends_with(&format!("\"id\":{call}}}"));
    if !is_id_known {
        client.0.get_mut().write_all(rest).unwrap();
    }
    let answer = client.receive();
    assert_eq!(answer["error"]["code"], REJECTED, "{answer}");
    assert_eq!(answer["id"], call);
    assert!(
        answer["error"]["data"]["after"].as_u64() > Some(0),
        "no advice when to retry: {answer}"
    );
    if is_id_known {
        client.0.get_mut().write_all(rest).unwrap();
    }
}

#[test]
fn message_without_memory_is_rejected_by_its_id_and_its_connection_goes_on() {
    // A message for which no memory is left must cost only itself: not the calls that are open on its connection, nor
    // those after it.
    let (engine, recorded_lines) = engine_with_latency(Duration::from_millis(600));
    // 83 kB for incomplete messages.
    let gateway = start_with_memory("no-memory", engine, 1.0);
    let mut client = Client::connect(&gateway);
    client.send_call(1);
    assert_rejected_while_incomplete(&mut client, 2, &long_call(2, 120_000));
    let frame = long_call_with_id_at_its_end(3, 120_000);
    assert_rejected_while_incomplete(&mut client, 3, &frame);
    client.send_call(4);
    let answered = [client.receive_rows().0, client.receive_rows().0];
    assert_eq!(BTreeSet::from(answered), BTreeSet::from([1, 4]));
    assert_eq!(recorded_lines.lock().unwrap().len(), 2);
}

/// Lets so many clients write half of a long message that they exceed the memory for incomplete messages several times.
fn stall_within_long_messages(gateway: &Gateway) -> Vec<Client> {
    let frame = long_call(9, 200_000);
    let half = &frame.as_bytes()[..frame.len() / 2];
    let mut clients: Vec<Client> = (0..100).map(|_| Client::connect(gateway)).collect();
    for client in &mut clients {
        client.0.get_mut().write_all(half).unwrap();
    }
    clients
}

#[test]
fn clients_that_stall_within_long_messages_take_no_memory_from_others() {
    // The memory for incomplete messages is used up by clients that never complete theirs. A client that holds less
    // than they do is served as if they were not there.
    let (engine, _): (SocketAddr, RecordedLines) = engine_with_rows(ROW);
    let gateway = start_with_memory("stalled-writers", engine, 8.0);
    let stalled_clients = stall_within_long_messages(&gateway);
    let mut client = Client::connect(&gateway);
    for call in 1..=20 {
        let frame = long_call(call, 20_000);
        for piece in frame.as_bytes().chunks(4000) {
            client.0.get_mut().write_all(piece).unwrap();
            std::thread::sleep(Duration::from_millis(2));
        }
        assert_eq!(client.receive_rows().0, call);
    }
    drop(stalled_clients);
}
