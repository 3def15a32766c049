//! Clients that make calls with long results and do not read the answers.

use crate::regular_client::{assert_answered_in_time, call_regularly};
use crate::support::{call_with_fields, idempotent_class, ROW};
use crate::{peak_memory_kb, run_alone};
use ironstair_test_cluster::stub::{
    framed, gateway_config, request_id, start_engine, start_gateway_with_config, Client,
    RecordedLines,
};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CLIENTS: u64 = 40;
const CALLS_PER_CLIENT: u64 = 32;
const PAGES: usize = 8;
const PAGE_BYTES: usize = 5_994;

fn page_of_rows() -> String {
    let row = format!("{}\t\t\n", "x".repeat(PAGE_BYTES / 6 - 3));
    row.repeat(6)
}

/// Starts an engine that answers reports with eight full pages, and lookups with one row.
fn engine_with_long_results() -> (SocketAddr, RecordedLines) {
    start_engine(|line, _| {
        let id = request_id(line);
        let page = page_of_rows();
        let length = page.len();
        let reply = match line.split(' ').next() {
            Some("fetch") if line.contains("c=report") => {
                format!("{id} DONE pages={PAGES},cost=5,need=4 {length}\r\n{page}\r\n")
            }
            Some("fetch") => format!("{id} DONE pages=1,cost=5,need=4 {}\r\n{ROW}\r\n", ROW.len()),
            Some("more") => {
                let number = line.rsplit(' ').next().unwrap();
                format!("{id} MORE page={number} {length}\r\n{page}\r\n")
            }
            _ => String::new(),
        };
        (reply.into_bytes(), false)
    })
}

#[test]
fn regular_client_is_served_beside_clients_that_read_no_answer() {
    // Answers that nobody reads hold buffers for engines' replies until the system takes them. Were they to use up all of
    // them, results of others would find none, and their attempts would be lost.
    let _running = run_alone();
    let (engine, _) = engine_with_long_results();
    let classes = json!([idempotent_class("lookup"), idempotent_class("report")]);
    let (mut config, name_answer) = gateway_config(2, classes, &[("e1", engine)]);
    config["limits"] = json!({"memory_mb": 32, "sockets": 1024});
    let gateway = start_gateway_with_config("unread-answers", config, name_answer, None);
    drop(Client::connect(&gateway));
    let mut streams = Vec::new();
    for client in 0..CLIENTS {
        let mut stream = TcpStream::connect(gateway.address).unwrap();
        set_socket_recv_buffer_size(&stream, 4096).unwrap();
        for call in 1..=CALLS_PER_CLIENT {
            let fields = format!(
                r#""id":"{:016x}","wait":4000,"bytes":"c2VsZWN0IDE=""#,
                (client + 1) << 32 | call
            );
            let frame = framed(&call_with_fields(call, "report", &fields));
            stream.write_all(frame.as_bytes()).unwrap();
        }
        streams.push(stream);
    }
    let latencies = call_regularly(&gateway, Duration::from_secs(2));
    println!(
        "unread-answers: peak {} kB",
        peak_memory_kb(gateway.process.id())
    );
    assert_answered_in_time("unread-answers", &latencies);
    drop(streams);
}
