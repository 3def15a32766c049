//! Hundreds of clients that hold connections and memory, at the smallest limits of the platform.

use crate::regular_client::{assert_answered_in_time, call_regularly};
use crate::support::{call_with_fields, engine_with_rows, idempotent_class, ROW};
use crate::{peak_memory_kb, run_alone};
use ironstair_test_cluster::stub::{framed, gateway_config, start_gateway_with_config, Gateway};
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// Nearly as many as the gateway accepts: half of its sockets.
const CLIENTS: usize = 480;
/// How long the regular client makes calls.
const CALL_TIME: Duration = Duration::from_secs(2);

fn start_small_gateway(test: &str, engine: SocketAddr) -> Gateway {
    let classes = json!([idempotent_class("lookup"), idempotent_class("report")]);
    let (mut config, name_answer) = gateway_config(2, classes, &[("e1", engine)]);
    config["limits"] = json!({"memory_mb": MEMORY_MB, "sockets": SOCKETS});
    start_gateway_with_config(test, config, name_answer, None)
}

/// The frame of a call whose statement has this many characters in base64.
fn call_of_length(characters: usize) -> Vec<u8> {
    let statement = "QUJD".repeat(characters / 4);
    let fields = format!(r#""id":"00000000000000ff","wait":4000,"bytes":"{statement}""#);
    framed(&call_with_fields(9, "lookup", &fields)).into_bytes()
}

/// Connects the clients, and has each write the next part of its bytes every 100 ms.
fn write_in_parts(address: SocketAddr, bytes: &[u8], part_bytes: usize) -> Vec<TcpStream> {
    let mut streams: Vec<TcpStream> = (0..CLIENTS)
        .filter_map(|_| TcpStream::connect(address).ok())
        .collect();
    for part in bytes.chunks(part_bytes) {
        for stream in &mut streams {
            // Fails once the gateway has closed the connection.
            let _ = stream.write_all(part);
        }
        thread::sleep(Duration::from_millis(100));
    }
    streams
}

/// Asserts that a regular client is answered in time beside clients that write these bytes in parts and then nothing
/// more, and that the gateway stays within its memory.
fn assert_served_beside(test: &'static str, bytes: Vec<u8>, part_bytes: usize) {
    let _running = run_alone();
    let (engine, _) = engine_with_rows(ROW);
    let gateway = start_small_gateway(test, engine);
    drop(ironstair_test_cluster::stub::Client::connect(&gateway));
    let address = gateway.address;
    let clients = thread::spawn(move || write_in_parts(address, &bytes, part_bytes));
    thread::sleep(Duration::from_millis(300));
    let latencies = call_regularly(&gateway, CALL_TIME);
    let peak_kb = peak_memory_kb(gateway.process.id());
    drop(clients.join().unwrap());
    println!("{test}: peak {peak_kb} kB");
    assert_answered_in_time(test, &latencies);
    assert!(peak_kb < MEMORY_MB * 1000, "{test}: {peak_kb} kB");
}

#[test]
fn regular_client_is_answered_beside_clients_that_stop_within_a_long_message() {
    let mut bytes = call_of_length(250_000);
    bytes.truncate(125_000);
    assert_served_beside("stop-long", bytes, 125_000);
}

#[test]
fn regular_client_is_answered_beside_clients_that_stop_within_a_short_message() {
    let mut bytes = call_of_length(7_000);
    bytes.truncate(6_000);
    assert_served_beside("stop-short", bytes, 6_000);
}

#[test]
fn regular_client_is_answered_beside_clients_that_write_slowly() {
    assert_served_beside("write-slowly", call_of_length(60_000), 4_000);
}

#[test]
fn regular_client_is_answered_beside_clients_that_send_headers_of_many_fields() {
    assert_served_beside("headers", b"a:b\r\n".repeat(400), 100);
}
