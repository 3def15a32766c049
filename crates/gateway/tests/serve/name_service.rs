//! The list of engines follows the name service, also a moved or a slow one.

use crate::support::{change_name_service_address, engine_with_rows};
use ironstair_test_cluster::stub::{
    self, allocate_address, becomes_true, engine_list_answer, start_name_service, Client,
};
use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::Duration;

const OLD_ROW: &str = "old\t\t\n";
const NEW_ROW: &str = "new\t\t\n";

/// A client that asks one call after the other.
struct Asker {
    client: Client,
    last_call: u64,
}

impl Asker {
    fn new(gateway: &stub::Gateway) -> Asker {
        Asker {
            client: Client::connect(gateway),
            last_call: 0,
        }
    }

    /// The rows of the next call.
    fn ask(&mut self) -> String {
        self.last_call += 1;
        self.client.send_call(self.last_call);
        let (call, rows) = self.client.receive_rows();
        assert_eq!(call, self.last_call);
        String::from_utf8(rows).unwrap()
    }

    /// Asks until the rows are these, for five seconds.
    fn receives_soon(&mut self, rows: &str) -> bool {
        becomes_true(|| self.ask() == rows)
    }
}

#[test]
fn engines_follow_the_name_service() {
    let (old, old_seen) = engine_with_rows(OLD_ROW);
    let (new, _) = engine_with_rows(NEW_ROW);
    let gateway = stub::start_gateway("names", &[("e1", old)]);
    let mut asker = Asker::new(&gateway);
    assert_eq!(asker.ask(), OLD_ROW);

    *gateway.name_answer.lock().unwrap() = engine_list_answer(2, &[("e1", old, 1), ("e2", new, 0)]);
    assert!(asker.receives_soon(NEW_ROW));
    let before = old_seen.lock().unwrap().len();
    for _ in 0..10 {
        assert!(asker.receives_soon(NEW_ROW));
    }
    assert_eq!(
        old_seen.lock().unwrap().len(),
        before,
        "nothing new to a draining engine"
    );

    *gateway.name_answer.lock().unwrap() = b"no list at all".to_vec();
    thread::sleep(Duration::from_millis(300));
    assert!(asker.receives_soon(NEW_ROW), "the last good list stays");

    // The engine is gone, and another one has its address: requests open with the old one are sent again.
    *gateway.name_answer.lock().unwrap() = engine_list_answer(3, &[("e3", old, 0)]);
    assert!(asker.receives_soon(OLD_ROW));
}

#[test]
fn reload_moves_the_name_service_and_nothing_else() {
    let (old, _) = engine_with_rows(OLD_ROW);
    let (new, _) = engine_with_rows(NEW_ROW);
    let mut gateway = stub::start_gateway("reload", &[("e1", old)]);
    let mut asker = Asker::new(&gateway);
    assert_eq!(asker.ask(), OLD_ROW);

    // A reload of a file that cannot be used changes nothing, and the signal does not end the process.
    let path = gateway.dir.join("told.json");
    let config = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, "{").unwrap();
    gateway.signal("-HUP");
    thread::sleep(Duration::from_millis(100));
    for (serial, at, rows) in [(2, new, NEW_ROW), (3, old, OLD_ROW)] {
        let (names, name_answer) = start_name_service();
        gateway.reload_with_name_service(&config, names);
        thread::sleep(Duration::from_millis(100));
        // The former name service has a higher serial number, and must not be heard any more.
        *gateway.name_answer.lock().unwrap() =
            engine_list_answer(serial + 5, &[("e9", allocate_address(), 0)]);
        *name_answer.lock().unwrap() =
            engine_list_answer(serial, &[(&format!("e{serial}"), at, 0)]);
        assert!(asker.receives_soon(rows));
    }
    assert!(gateway.process.try_wait().unwrap().is_none());
}

/// A name service that answers each query only after three more have come. A malformed answer comes at once.
fn late_name_service(engine: SocketAddr) -> SocketAddr {
    let service = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = service.local_addr().unwrap();
    thread::spawn(move || {
        let mut query = [0; 512];
        let mut query_ids = Vec::new();
        let mut malformed = engine_list_answer(9, &[]);
        malformed.truncate(20);
        let list = engine_list_answer(2, &[("e2", engine, 0)]);
        while let Ok((_, from)) = service.recv_from(&mut query) {
            query_ids.push([query[0], query[1]]);
            let _ = service.send_to(&[&query[..2], &malformed].concat(), from);
            if let Some(late) = query_ids.len().checked_sub(4) {
                let _ = service.send_to(&[&query_ids[late][..], &list].concat(), from);
            }
        }
    });
    address
}

#[test]
fn name_service_slower_than_the_interval_of_queries_is_followed() {
    // An answer must not be dropped because the next query has been sent already.
    let (old, _) = engine_with_rows(OLD_ROW);
    let (new, _) = engine_with_rows(NEW_ROW);
    let gateway = stub::start_gateway("late", &[("e1", old)]);
    let mut asker = Asker::new(&gateway);
    assert_eq!(asker.ask(), OLD_ROW);
    change_name_service_address(&gateway, late_name_service(new));
    assert!(asker.receives_soon(NEW_ROW));
}
