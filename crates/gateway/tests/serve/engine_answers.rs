//! Engine answers: in pages, failed, malformed or missing.

use crate::support::{engine_with_rows, engine_with_status, fetch_count, silent_engine, ROW};
use ironstair_test_cluster::stub::{
    self, allocate_address, becomes_true, done_reply, request_id, start_engine,
    start_gateway_in_fleet, Client, RecordedLines,
};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

fn first_word(line: &str) -> &str {
    line.split(' ').next().unwrap()
}

/// Starts an engine that sends the first of three pages on a fetch, and the two others in the wrong order once both
/// have been requested.
fn engine_with_swapped_pages(pages: [String; 3]) -> (SocketAddr, RecordedLines) {
    start_engine(move |line, _| {
        let page = |index: usize| {
            let head = match index {
                0 => "DONE pages=3,cost=81,need=4".to_owned(),
                _ => format!("MORE page={index}"),
            };
            let rows = &pages[index];
            format!("{} {head} {}\r\n{rows}\r\n", request_id(line), rows.len())
        };
        let reply = match first_word(line) {
            "fetch" => page(0),
            "more" if line.ends_with(" 1") => String::new(),
            "more" => page(2) + &page(1),
            _ => String::new(),
        };
        (reply.into_bytes(), false)
    })
}

#[test]
fn pages_reach_the_client_in_order_when_the_engine_swaps_them() {
    // Pages that are passed on as they arrive would swap the client's rows.
    let pages = [
        "a\tb\tc\n".repeat(999),
        "d\te\tf\n".repeat(998),
        "g\th\ti\n".repeat(7),
    ];
    let all_rows = pages.concat();
    let (engine_address, recorded_lines) = engine_with_swapped_pages(pages);
    let gateway = stub::start_gateway("pages", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);

    client.send_call(7);
    let (call, rows) = client.receive_rows();

    assert_eq!(call, 7);
    assert!(
        rows == all_rows.as_bytes(),
        "{} bytes of {}",
        rows.len(),
        all_rows.len()
    );
    assert!(becomes_true(|| recorded_lines.lock().unwrap().len() == 4));
    let recorded_lines = recorded_lines.lock().unwrap();
    assert!(
        recorded_lines[0].starts_with("fetch 0000000000000007 c=lookup,w="),
        "{recorded_lines:?}"
    );
    assert!(
        recorded_lines[0].ends_with(" 8select 1\r\n"),
        "{recorded_lines:?}"
    );
    assert_eq!(recorded_lines[3], "done 0000000000000007");
}

#[test]
fn failures_before_the_last_row_are_retried_on_another_engine() {
    // Rows of an incomplete answer must not reach the client: the complete answer of another engine would repeat them.
    let (incomplete_engine, _) = start_engine(|line, _| {
        let reply = format!("{} DONE pages=2,cost=5 4\r\nx\t\t\n\r\n", request_id(line));
        (reply.into_bytes(), true)
    });
    let (full_engine, _) = engine_with_status("WAIT");
    let (broken_engine, _) = engine_with_status("BROKE");
    let (malformed_engine, _) = engine_with_status("HUH");
    let (good_engine, _) = engine_with_rows(ROW);
    let bad_engines = [
        incomplete_engine,
        full_engine,
        broken_engine,
        malformed_engine,
        allocate_address(),
    ];
    for (index, bad_engine) in bad_engines.into_iter().enumerate() {
        let gateway = stub::start_gateway(
            &format!("failing-engine-{index}"),
            &[("e1", bad_engine), ("e2", good_engine)],
        );
        let mut client = Client::connect(&gateway);
        for call in 1..6 {
            client.send_call(call);
            assert_eq!(
                client.receive_rows(),
                (call, ROW.as_bytes().to_vec()),
                "engine {index}"
            );
        }
    }
}

/// Malformed replies, after each of which the gateway closes the connection; `{0}` is the id of the request.
const MALFORMED_REPLIES: [&str; 9] = [
    "{0} DONE pages=3,cost=1,need=1 4\r\na\t\t\n\r\n{0} MORE page=9 4\r\nb\t\t\n\r\n",
    "{0} DONE pages=1,cost=1 4\r\na\tb\n\r\n",
    "{0} DONE pages=1,cost=1 3\r\na\t\t\r\n",
    "{0} DONE pages=1000000,cost=1 0\r\n\r\n",
    "{0} DONE pages=1,cost=1 3000000000\r\nand so on",
    "{0} DONE pages=1,cost=1 4\r\na\t",
    "{0} DO",
    "{0} DONE - 0\r\n\r\n",
    "\u{1}\u{2}\u{3}\r\n",
];

/// Starts an engine that answers the first attempt of call 2 with a malformed reply, later attempts of it with a row,
/// and no other call.
fn engine_with_one_malformed_reply(reply: &'static str) -> (SocketAddr, RecordedLines) {
    let attempts = Mutex::new(0);
    start_engine(move |line, _| {
        let is_call_2 = request_id(line).ends_with('2');
        let mut attempts = attempts.lock().unwrap();
        *attempts += u32::from(is_call_2);
        let reply = match (is_call_2, *attempts) {
            (true, 1) => reply.replace("{0}", request_id(line)).into_bytes(),
            (true, _) => done_reply(line, ROW),
            _ => Vec::new(),
        };
        (reply, false)
    })
}

#[test]
fn malformed_answers_close_their_connection_at_once_and_no_other() {
    // If the connection were kept, late pages of the malformed attempt could be taken for pages of the next one. Calls
    // on other connections must not be affected.
    for (index, reply) in MALFORMED_REPLIES.into_iter().enumerate() {
        let (engine_address, recorded_lines) = engine_with_one_malformed_reply(reply);
        let gateway = stub::start_gateway(&format!("malformed-{index}"), &[("e1", engine_address)]);
        let mut client = Client::connect(&gateway);
        let sent_at = Instant::now();

        (1..4).for_each(|call| client.send_call(call));

        assert_eq!(client.receive_rows().0, 2, "{reply}");
        assert!(sent_at.elapsed() < Duration::from_millis(900), "{reply}");
        assert!(
            becomes_true(|| recorded_lines.lock().unwrap().len() >= 4),
            "{reply}"
        );
        assert_eq!(
            recorded_lines.lock().unwrap().len(),
            4,
            "attempts on other connections are not sent again: {reply}"
        );
    }
}

#[test]
fn answers_with_doubled_or_unrequested_pages_yield_each_row_once() {
    // A page that is received twice or was never requested must not add rows to an answer.
    let (engine_address, recorded_lines) = start_engine(|line, _| {
        let page = |head: &str| format!("{} {head} 4\r\nx\t\t\n\r\n", request_id(line));
        let unrequested = "00000000000000ff DONE - 4\r\ny\t\t\n\r\n".to_owned();
        let first = page("DONE pages=2,cost=1");
        let second = page("MORE page=1");
        let reply = match first_word(line) {
            "fetch" => [unrequested, first.clone(), first].concat(),
            "more" => [second.clone(), second].concat(),
            _ => String::new(),
        };
        (reply.into_bytes(), false)
    });
    let gateway = stub::start_gateway("more", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    for call in 1..9 {
        client.send_call(call);
        assert_eq!(client.receive_rows(), (call, b"x\t\t\nx\t\t\n".to_vec()));
    }
    assert_eq!(fetch_count(&recorded_lines), 8);
}

#[test]
fn request_is_rejected_in_time_when_no_engine_answers() {
    // A client must not wait for longer than its call allows, 0.4 s here, for an engine that never answers.
    let (engine_address, _) = silent_engine();
    let gateway = stub::start_gateway("silent", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    let sent_at = Instant::now();

    client.send(
        r#"{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"id":"00000000000000aa","wait":400,"bytes":""}}"#,
    );

    assert_eq!(client.receive()["error"]["code"], -32014);
    let elapsed = sent_at.elapsed();
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}

#[test]
fn engine_is_probed_before_an_attempt_when_its_load_is_unknown() {
    // In a large fleet each gateway has too few attempts in flight to infer the load that the others cause, so that
    // heavy requests of many gateways could meet at one engine.
    let (engine_address, recorded_lines) =
        start_engine(|line, _| match line.split_once(' ').unwrap() {
            ("stats", tag) => {
                let reply = format!("{tag} FIT load=inflight:2;util:0.4 0\r\n\r\n");
                (reply.into_bytes(), false)
            }
            _ => (done_reply(line, ROW), false),
        });
    let gateway = start_gateway_in_fleet(300, "report", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    for call in 1..3 {
        client.send_call(call);
        assert_eq!(client.receive_rows().0, call);
    }

    client.send_call_of_class("report", 3);

    assert_eq!(client.receive_rows().0, 3);
    let recorded_lines = recorded_lines.lock().unwrap();
    assert_eq!(recorded_lines[2], "stats r1");
    assert!(
        recorded_lines[3].starts_with("fetch 0000000000000003 c=report,"),
        "{recorded_lines:?}"
    );
}

#[test]
fn silent_connection_is_replaced_when_a_new_one_would_be_answered() {
    // A machine that was cut off from the network leaves its open connections silent, even after it is reachable again:
    // requests on such a connection would wait until they are rejected.
    let first_connection = Mutex::new(None);
    let (engine_address, _) = start_engine(move |line, _| {
        // The stub serves each connection by a thread of its own.
        let connection = thread::current().id();
        let mut first = first_connection.lock().unwrap();
        if *first.get_or_insert(connection) == connection {
            return (Vec::new(), false);
        }
        (done_reply(line, ROW), false)
    });
    let gateway = stub::start_gateway("cut-off", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    client.send_call(1);
    thread::sleep(Duration::from_millis(1500));
    client.send_call(2);
    assert_eq!(
        client.receive_rows().0,
        2,
        "answered while the first call is still open"
    );
    assert_eq!(
        client.receive()["id"],
        1,
        "the first call is rejected at its deadline"
    );
    client.send_call(3);
    assert_eq!(client.receive_rows().0, 3);
}
