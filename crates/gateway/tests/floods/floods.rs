//! Clients that send at full speed for seconds, beside one that makes a call now and then.

use crate::regular_client::{assert_answered_in_time, call_regularly};
use crate::support::{
    call_with_fields, cancel_notification, engine_with_rows, health_check_call, ROW,
};
use crate::{peak_memory_kb, run_alone};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use ironstair_test_cluster::stub::{engine_list_answer, framed, start_gateway, Client, Gateway};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const FLOODING_CLIENTS: u64 = 8;
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// Messages that a flooding client writes at once.
const BATCH: u64 = 64;
/// The memory limit of the gateways, in kB.
const MEMORY_LIMIT_KB: u64 = 192_000;

/// Growth of the memory, in kB, that a longer flood may cause: caches of the allocator, for instance.
const MAX_GROWTH_KB: u64 = 1000;

/// Writes the messages of one batch, given the number of the first.
type WriteBatch = fn(u64) -> String;

fn checks(first: u64) -> String {
    let calls = first..first + BATCH;
    calls.map(|call| framed(&health_check_call(call))).collect()
}

/// Requests with ever new ids, each cancelled at once.
fn cancelled_requests(first: u64) -> String {
    let calls = first..first + BATCH;
    calls
        .map(|call| {
            let fields = format!(r#""id":"f{call:015x}","wait":4000,"bytes":"c2VsZWN0IDE=""#);
            framed(&call_with_fields(call, "lookup", &fields)) + &framed(&cancel_notification(call))
        })
        .collect()
}

/// Requests with ever new ids, table groups and tenants.
fn requests_under_new_names(first: u64) -> String {
    let calls = first..first + BATCH;
    calls
        .map(|call| {
            let statement = STANDARD.encode(format!("select a from s_{call}.t"));
            let fields = format!(
                r#""id":"e{call:015x}","wait":4000,"tenant":"t{call}","bytes":"{statement}""#
            );
            framed(&call_with_fields(call, "lookup", &fields))
        })
        .collect()
}

/// Calls of ever new classes.
fn unknown_classes(first: u64) -> String {
    let calls = first..first + BATCH;
    calls
        .map(|call| {
            framed(&call_with_fields(
                call,
                &format!("class{call}"),
                r#""id":"1""#,
            ))
        })
        .collect()
}

/// Valid calls with very many short fields.
fn many_fields(first: u64) -> String {
    let fields: String = (0..5_000)
        .map(|field| format!(r#""k{field}":1,"#))
        .collect();
    framed(&call_with_fields(
        first,
        "lookup",
        &format!(r#"{fields}"id":"short""#),
    ))
}

fn malformed_messages(first: u64) -> String {
    let calls = first..first + BATCH;
    calls.map(|call| framed(&format!("{{{call}"))).collect()
}

/// Sends batches until the flood is over, on a new connection whenever the gateway has closed one.
fn flood(address: SocketAddr, client: u64, write_batch: WriteBatch, is_over: &AtomicBool) -> u64 {
    let mut next_call = 1 + (client << 40);
    let mut sent_bytes = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let mut answers = stream.try_clone().unwrap();
        // Ends with the connection.
        let reader = thread::spawn(move || {
            let mut buffer = [0; 64 * 1024];
            while answers.read(&mut buffer).is_ok_and(|length| length > 0) {}
        });
        while !is_over.load(Ordering::Relaxed) {
            let batch = write_batch(next_call);
            next_call += BATCH;
            sent_bytes += batch.len() as u64;
            if stream.write_all(batch.as_bytes()).is_err() {
                break;
            }
        }
        drop(stream.shutdown(std::net::Shutdown::Both));
        reader.join().unwrap();
    }
    sent_bytes
}

fn start_flood(
    gateway: &Gateway,
    write_batch: WriteBatch,
    is_over: &Arc<AtomicBool>,
) -> Vec<JoinHandle<u64>> {
    let clients = 0..FLOODING_CLIENTS;
    clients
        .map(|client| {
            let address = gateway.address;
            let is_over = is_over.clone();
            thread::spawn(move || flood(address, client, write_batch, &is_over))
        })
        .collect()
}

/// Asserts that a regular client is answered in time beside clients that flood the gateway, and that the gateway's memory
/// stays far below its limit.
fn assert_served_beside(test: &str, write_batch: WriteBatch) {
    let _running = run_alone();
    let (engine, _) = engine_with_rows(ROW);
    let gateway = start_gateway(test, &[("e1", engine)]);
    drop(Client::connect(&gateway));
    let is_over = Arc::new(AtomicBool::new(false));
    let floods = start_flood(&gateway, write_batch, &is_over);
    thread::sleep(Duration::from_millis(200));
    let latencies = call_regularly(&gateway, FLOOD_TIME);
    let peak_kb = peak_memory_kb(gateway.process.id());
    is_over.store(true, Ordering::Relaxed);
    // Ends the writes that wait for the gateway to read.
    drop(gateway);
    let sent: u64 = floods.into_iter().map(|flood| flood.join().unwrap()).sum();
    println!("{test}: {sent} bytes of the flood, peak {peak_kb} kB");
    assert_answered_in_time(test, &latencies);
    assert!(peak_kb < MEMORY_LIMIT_KB / 2, "{test}: {peak_kb} kB");
}

#[test]
fn regular_client_is_answered_beside_a_flood_of_checks() {
    assert_served_beside("flood-checks", checks);
}

#[test]
fn regular_client_is_answered_beside_a_flood_of_cancelled_requests() {
    assert_served_beside("flood-cancelled", cancelled_requests);
}

#[test]
fn regular_client_is_answered_beside_a_flood_of_requests_under_new_names() {
    assert_served_beside("flood-names", requests_under_new_names);
}

#[test]
fn regular_client_is_answered_beside_a_flood_of_unknown_classes() {
    assert_served_beside("flood-classes", unknown_classes);
}

#[test]
fn regular_client_is_answered_beside_a_flood_of_messages_with_many_fields() {
    assert_served_beside("flood-fields", many_fields);
}

#[test]
fn regular_client_is_answered_beside_a_flood_of_malformed_messages() {
    assert_served_beside("flood-malformed", malformed_messages);
}

#[test]
fn memory_does_not_grow_with_requests_of_which_none_is_sent() {
    // The arrivals that the retry budget counts were dropped only when an attempt started. While no engine is ready none
    // does, and a flood filled the memory.
    let _running = run_alone();
    let (engine, _) = engine_with_rows(ROW);
    let gateway = start_gateway("flood-outage", &[("e1", engine)]);
    drop(Client::connect(&gateway));
    *gateway.name_answer.lock().unwrap() = engine_list_answer(2, &[("e1", engine, 1)]);
    thread::sleep(Duration::from_millis(500));
    let is_over = Arc::new(AtomicBool::new(false));
    let floods = start_flood(&gateway, cancelled_requests, &is_over);
    thread::sleep(FLOOD_TIME);
    let early_kb = peak_memory_kb(gateway.process.id());
    thread::sleep(2 * FLOOD_TIME);
    let late_kb = peak_memory_kb(gateway.process.id());
    is_over.store(true, Ordering::Relaxed);
    drop(gateway);
    for flood in floods {
        flood.join().unwrap();
    }
    assert!(
        late_kb < early_kb + MAX_GROWTH_KB,
        "{early_kb} kB, later {late_kb} kB"
    );
}
