//! The engine list follows the name service, even if that moves to another address or answers slowly.

use crate::support::{change_name_service_address, engine_with_rows};
use ironstair_test_cluster::stub::{
    self, allocate_address, becomes_true, engine_list_answer, start_name_service,
    start_slow_name_service, Client,
};
use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::Duration;

const OLD_ROW: &str = "old\t\t\n";
const NEW_ROW: &str = "new\t\t\n";

/// A client that makes one call after the other.
struct SequentialClient {
    client: Client,
    last_call: u64,
}

impl SequentialClient {
    fn new(gateway: &stub::Gateway) -> SequentialClient {
        SequentialClient {
            client: Client::connect(gateway),
            last_call: 0,
        }
    }

    /// Makes the next call, and returns its rows.
    fn call_for_rows(&mut self) -> String {
        self.last_call += 1;
        self.client.send_call(self.last_call);
        let (call, rows) = self.client.receive_rows();
        assert_eq!(call, self.last_call);
        String::from_utf8(rows).unwrap()
    }

    /// Makes calls until one returns `rows`, for at most five seconds. Returns whether one did.
    fn eventually_receives(&mut self, rows: &str) -> bool {
        becomes_true(|| self.call_for_rows() == rows)
    }
}

#[test]
fn engines_follow_the_name_service() {
    // A draining engine must get no new requests, and a malformed list must not replace the last good one.
    let (old_engine, old_engine_lines) = engine_with_rows(OLD_ROW);
    let (new_engine, _) = engine_with_rows(NEW_ROW);
    let gateway = stub::start_gateway("names", &[("e1", old_engine)]);
    let mut client = SequentialClient::new(&gateway);
    assert_eq!(client.call_for_rows(), OLD_ROW);

    *gateway.name_answer.lock().unwrap() =
        engine_list_answer(2, &[("e1", old_engine, 1), ("e2", new_engine, 0)]);
    assert!(client.eventually_receives(NEW_ROW));
    let line_count_before = old_engine_lines.lock().unwrap().len();
    for _ in 0..10 {
        assert!(client.eventually_receives(NEW_ROW));
    }
    assert_eq!(
        old_engine_lines.lock().unwrap().len(),
        line_count_before,
        "a draining engine gets no new requests"
    );

    *gateway.name_answer.lock().unwrap() = b"no list at all".to_vec();
    thread::sleep(Duration::from_millis(300));
    assert!(
        client.eventually_receives(NEW_ROW),
        "the last good list stays in force"
    );

    // Engine e1 is gone and e3 has its address: requests that are still open with e1 are sent again.
    *gateway.name_answer.lock().unwrap() = engine_list_answer(3, &[("e3", old_engine, 0)]);
    assert!(client.eventually_receives(OLD_ROW));
}

#[test]
fn reload_moves_the_name_service_and_changes_nothing_else() {
    let (old_engine, _) = engine_with_rows(OLD_ROW);
    let (new_engine, _) = engine_with_rows(NEW_ROW);
    let mut gateway = stub::start_gateway("reload", &[("e1", old_engine)]);
    let mut client = SequentialClient::new(&gateway);
    assert_eq!(client.call_for_rows(), OLD_ROW);

    // A reload of an invalid file changes nothing, and the signal does not end the process.
    let path = gateway.dir.join("told.json");
    let config = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, "{").unwrap();
    gateway.signal("-HUP");
    thread::sleep(Duration::from_millis(100));
    for (serial, engine_address, rows) in [(2, new_engine, NEW_ROW), (3, old_engine, OLD_ROW)] {
        let (name_service, name_answer) = start_name_service();
        gateway.reload_with_name_service(&config, name_service);
        thread::sleep(Duration::from_millis(100));
        // The former name service answers with a higher serial number, and must not be followed any more.
        *gateway.name_answer.lock().unwrap() =
            engine_list_answer(serial + 5, &[("e9", allocate_address(), 0)]);
        *name_answer.lock().unwrap() =
            engine_list_answer(serial, &[(&format!("e{serial}"), engine_address, 0)]);
        assert!(client.eventually_receives(rows));
    }
    assert!(gateway.process.try_wait().unwrap().is_none());
}

/// Starts a name service that answers each query only after three more have arrived. A malformed answer comes at once.
fn name_service_with_late_answers(engine: SocketAddr) -> SocketAddr {
    let service = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = service.local_addr().unwrap();
    thread::spawn(move || {
        let mut query = [0; 512];
        let mut query_ids = Vec::new();
        let mut malformed = engine_list_answer(9, &[]);
        malformed.truncate(20);
        let list = engine_list_answer(2, &[("e2", engine, 0)]);
        while let Ok((_, sender)) = service.recv_from(&mut query) {
            query_ids.push([query[0], query[1]]);
            let _ = service.send_to(&[&query[..2], &malformed].concat(), sender);
            if let Some(late_index) = query_ids.len().checked_sub(4) {
                let _ = service.send_to(&[&query_ids[late_index][..], &list].concat(), sender);
            }
        }
    });
    address
}

#[test]
fn name_service_slower_than_the_query_interval_is_followed() {
    // If only answers to the latest query counted, a name service slower than the query interval would never be
    // followed.
    let (old_engine, _) = engine_with_rows(OLD_ROW);
    let (new_engine, _) = engine_with_rows(NEW_ROW);
    let gateway = stub::start_gateway("late", &[("e1", old_engine)]);
    let mut client = SequentialClient::new(&gateway);
    assert_eq!(client.call_for_rows(), OLD_ROW);
    change_name_service_address(&gateway, name_service_with_late_answers(new_engine));
    assert!(client.eventually_receives(NEW_ROW));
}

#[test]
fn reloads_in_quick_succession_lose_no_answer_of_a_slow_name_service() {
    // Each reload used to discard the queries that were under way. If reloads came faster than the answers, the gateway
    // heard of no drain until the last of them.
    let (old_engine, _) = engine_with_rows(OLD_ROW);
    let (new_engine, _) = engine_with_rows(NEW_ROW);
    let gateway = stub::start_gateway("reloads", &[("e1", old_engine)]);
    let mut client = SequentialClient::new(&gateway);
    assert_eq!(client.call_for_rows(), OLD_ROW);
    let (name_service, name_answer) = start_slow_name_service(Duration::from_millis(900));
    change_name_service_address(&gateway, name_service);

    *name_answer.lock().unwrap() =
        engine_list_answer(2, &[("e1", old_engine, 1), ("e2", new_engine, 0)]);
    let follows_new_list = becomes_true(|| {
        gateway.signal("-HUP");
        thread::sleep(Duration::from_millis(300));
        client.call_for_rows() == NEW_ROW
    });

    assert!(follows_new_list);
}

#[test]
fn answers_that_take_seconds_are_heard() {
    // What a slow name service says is late, but the newest news that there is. Answers to older queries were dropped,
    // and so were those to a socket that the gateway had given up: then it heard nothing for as long as the name service
    // stayed slow.
    for (test, delay_ms) in [("slow-2s", 2000), ("slow-4s", 4000)] {
        let (old_engine, _) = engine_with_rows(OLD_ROW);
        let (new_engine, _) = engine_with_rows(NEW_ROW);
        let gateway = stub::start_gateway(test, &[("e1", old_engine)]);
        let mut client = SequentialClient::new(&gateway);
        assert_eq!(client.call_for_rows(), OLD_ROW);
        let (name_service, name_answer) = start_slow_name_service(Duration::from_millis(delay_ms));
        *name_answer.lock().unwrap() = engine_list_answer(2, &[("e2", new_engine, 0)]);
        change_name_service_address(&gateway, name_service);
        let mut follows_new_list = || client.eventually_receives(NEW_ROW);
        assert!(follows_new_list() || follows_new_list(), "{test}");

        // Answers keep being heard while they stay as late.
        *name_answer.lock().unwrap() = engine_list_answer(3, &[("e1", old_engine, 0)]);
        let mut follows_third_list = || client.eventually_receives(OLD_ROW);
        assert!(follows_third_list() || follows_third_list(), "{test}");
    }
}
