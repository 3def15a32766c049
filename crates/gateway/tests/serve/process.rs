//! The gateway process: its shutdown, and the size of its descriptor table.

use crate::support::{
    assert_connection_closed, engine_with_rows, health_check_call, idempotent_class, ROW,
};
use ironstair_test_cluster::stub::{
    self, becomes_true, done_reply, gateway_config, request_id, start_engine,
    start_gateway_with_config, Client,
};
use serde_json::json;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn shutdown_answers_open_requests_and_exits_with_success() {
    // Requests that are open at a shutdown must not be lost without an answer. The second call would take longer than
    // the shutdown allows, although its client would wait: it is rejected.
    let (engine_address, recorded_lines) = start_engine(|line, _| {
        thread::sleep(Duration::from_millis(1200));
        match request_id(line).ends_with('1') {
            true => (done_reply(line, ROW), false),
            false => (Vec::new(), false),
        }
    });
    let mut gateway = stub::start_gateway("drain", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    let mut idle_client = Client::connect(&gateway);
    client.send_call(1);
    assert!(becomes_true(|| recorded_lines.lock().unwrap().len() == 1));
    client.send_call(2);

    let signalled_at = Instant::now();
    gateway.signal("-TERM");
    thread::sleep(Duration::from_millis(100));
    gateway.signal("-HUP");
    gateway.signal("-TERM");

    let mut late_client = Client::connect(&gateway);
    late_client.send(&health_check_call(1));
    assert_eq!(late_client.receive()["result"]["fit"], false);
    // The shutdown closes idle connections.
    assert_connection_closed(&mut idle_client);
    assert_eq!(client.receive_rows().0, 1);
    assert_eq!(client.receive()["error"]["code"], -32014);
    let elapsed = signalled_at.elapsed();
    assert!(elapsed < Duration::from_millis(3700), "{elapsed:?}");
    let ended = becomes_true(|| TcpStream::connect(gateway.address).is_err());
    assert!(ended && gateway.process.wait().unwrap().success());
}

/// The size of a process's descriptor table.
fn descriptor_table_size(pid: u32) -> u32 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let size = status.lines().find_map(|line| line.strip_prefix("FDSize:"));
    size.unwrap().trim().parse().unwrap()
}

#[test]
fn descriptor_table_has_its_full_size_before_the_first_answer() {
    // The kernel may suspend a busy process for seconds while it enlarges its descriptor table, so the table must be
    // enlarged at start.
    let (engine_address, _) = engine_with_rows(ROW);
    for (sockets, min_size) in [(json!(384), 384), (json!(1e9), 512)] {
        let classes = json!([idempotent_class("lookup"), idempotent_class("report")]);
        let (mut config, name_answer) = gateway_config(2, classes, &[("e1", engine_address)]);
        config["limits"] = json!({"memory_mb": 192, "sockets": sockets});
        let gateway = start_gateway_with_config(
            &format!("descriptor-table-{min_size}"),
            config,
            name_answer,
            None,
        );
        let mut client = Client::connect(&gateway);
        client.send_call(1);
        assert_eq!(client.receive_rows().0, 1);
        let size = descriptor_table_size(gateway.process.id());
        assert!(size >= min_size, "{size} for {sockets}");
    }
}
