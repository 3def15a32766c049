//! A stub name service that answers each query with the list of engines that the test sets.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// The answer to every query, without the two bytes of the query id. Empty for a service without a list.
pub type NameServiceAnswer = Arc<Mutex<Vec<u8>>>;

// DNS record types and class (RFC 1035, RFC 2782).
const TYPE_ADDRESS: u16 = 1;
const TYPE_START_OF_AUTHORITY: u16 = 6;
const TYPE_TEXT: u16 = 16;
const TYPE_SERVICE: u16 = 33;
const CLASS_IN: u16 = 1;
/// Flags of an authoritative answer without an error.
const ANSWER_FLAGS: [u8; 2] = [0x84, 0];
/// Maximum length of a query in bytes (RFC 1035, section 2.3.4).
const MAX_QUERY_LENGTH: usize = 512;
/// The DNS zone in the start-of-authority record.
const ZONE_NAME: &str = "farm.lan";
/// The name of the service records that list the engines.
const SERVICE_NAME: &str = "_data._tcp.farm.lan";
/// Weight of each engine in its service record.
const ENGINE_WEIGHT: u16 = 40;
/// Machine type, cell and start time of each engine, as DNS character strings.
const ENGINE_TEXT: &[u8] = b"\x06kind=m\x06cell=0\x09started=0";

/// Appends a domain name in DNS wire format without compression.
pub fn append_domain_name(message: &mut Vec<u8>, name: &str) {
    for label in name.split('.') {
        message.push(label.len() as u8);
        message.extend(label.as_bytes());
    }
    message.push(0);
}

fn append_record(message: &mut Vec<u8>, name: &str, record_type: u16, data: &[u8]) {
    append_domain_name(message, name);
    message.extend(record_type.to_be_bytes());
    message.extend(CLASS_IN.to_be_bytes());
    // Time to live.
    message.extend([0; 4]);
    message.extend((data.len() as u16).to_be_bytes());
    message.extend(data);
}

/// Encodes a complete list with a serial number as an answer without its query id. Each engine has a name, an address
/// and a state, which is the priority of its service record (0 is ready).
///
/// # Panics
///
/// If an engine's address isn't IPv4.
pub fn engine_list_answer(serial: u32, engines: &[(&str, SocketAddr, u16)]) -> Vec<u8> {
    let mut message = header(engines.len() as u16);
    for (name, address, state) in engines {
        let mut data = state.to_be_bytes().to_vec();
        data.extend(ENGINE_WEIGHT.to_be_bytes());
        data.extend(address.port().to_be_bytes());
        append_domain_name(&mut data, &host_name(name));
        append_record(&mut message, SERVICE_NAME, TYPE_SERVICE, &data);
    }
    append_record(
        &mut message,
        ZONE_NAME,
        TYPE_START_OF_AUTHORITY,
        &start_of_authority(serial),
    );
    for (name, address, _) in engines {
        let SocketAddr::V4(address) = address else {
            panic!("stub engine {name} has address {address}, expected an IPv4 address")
        };
        let host = host_name(name);
        append_record(&mut message, &host, TYPE_ADDRESS, &address.ip().octets());
        append_record(&mut message, &host, TYPE_TEXT, ENGINE_TEXT);
    }
    message
}

/// Flags and section counts: no question, one service record per engine, one start-of-authority record, and one address
/// and one text record per engine.
fn header(engine_count: u16) -> Vec<u8> {
    let mut header = ANSWER_FLAGS.to_vec();
    for count in [0, engine_count, 1, 2 * engine_count] {
        header.extend(count.to_be_bytes());
    }
    header
}

/// A start-of-authority record with empty names and no intervals.
fn start_of_authority(serial: u32) -> Vec<u8> {
    let mut data = vec![0, 0];
    data.extend(serial.to_be_bytes());
    data.extend([0; 16]);
    data
}

fn host_name(engine: &str) -> String {
    format!("{engine}.a.hosts")
}

/// Starts a name service, and returns its address and its answer, which the test may set at any time.
///
/// # Panics
///
/// If no loopback port can be bound.
pub fn start_name_service() -> (SocketAddr, NameServiceAnswer) {
    start_slow_name_service(Duration::ZERO)
}

/// As [`start_name_service`], but each answer is sent this long after its query, with the list of that moment.
///
/// # Panics
///
/// If no loopback port can be bound.
pub fn start_slow_name_service(delay: Duration) -> (SocketAddr, NameServiceAnswer) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = socket.local_addr().expect("a bound socket has an address");
    let name_answer = NameServiceAnswer::default();
    let shared = Arc::clone(&name_answer);
    thread::spawn(move || {
        let mut query = [0; MAX_QUERY_LENGTH];
        while let Ok((_, client)) = socket.recv_from(&mut query) {
            let pending = PendingQuery {
                socket: socket.try_clone().expect("a socket can be duplicated"),
                id: [query[0], query[1]],
                client,
                answer: Arc::clone(&shared),
            };
            match delay.is_zero() {
                true => pending.answer(),
                false => {
                    thread::spawn(move || {
                        thread::sleep(delay);
                        pending.answer();
                    });
                }
            }
        }
    });
    (address, name_answer)
}

/// A query that is answered after the service's delay.
struct PendingQuery {
    socket: UdpSocket,
    id: [u8; 2],
    client: SocketAddr,
    answer: NameServiceAnswer,
}

impl PendingQuery {
    fn answer(&self) {
        let answer = self.answer.lock().unwrap_or_else(PoisonError::into_inner);
        let message = [&self.id[..], &answer[..]].concat();
        // The gateway repeats a query whose answer is lost.
        let _ = self.socket.send_to(&message, self.client);
    }
}
