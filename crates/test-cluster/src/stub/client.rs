//! A stub client that sends framed JSON-RPC over one connection.

use super::gateway::Gateway;
use super::POLL_INTERVAL;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Error code of a request that the gateway didn't accept, or gave up.
pub const REJECTED: i64 = -32014;
/// Error code of a request that an engine answered with an error.
pub const FAILED: i64 = -32002;

/// Time limit for connecting and for receiving an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Prepends the frame header to a message.
pub fn framed(message: &str) -> String {
    format!("Content-Length: {}\r\n\r\n{message}", message.len())
}

/// A client's connection.
pub struct Client(
    /// The buffered socket. Messages are written to the socket directly.
    pub BufReader<TcpStream>,
);

impl Client {
    /// Connects to a gateway, retrying until it listens.
    ///
    /// # Panics
    ///
    /// If the gateway doesn't listen within ten seconds.
    pub fn connect(gateway: &Gateway) -> Client {
        let deadline = Instant::now() + CLIENT_TIMEOUT;
        loop {
            match TcpStream::connect(gateway.address) {
                Ok(stream) => {
                    stream
                        .set_read_timeout(Some(CLIENT_TIMEOUT))
                        .expect("a read timeout can be set on a socket");
                    return Client(BufReader::new(stream));
                }
                Err(error) => assert!(
                    Instant::now() < deadline,
                    "cannot connect to the gateway at {}: {error}",
                    gateway.address
                ),
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a message.
    ///
    /// # Panics
    ///
    /// If the connection has ended.
    pub fn send(&mut self, message: &str) {
        assert!(
            self.try_send(message),
            "the connection to the gateway has ended"
        );
    }

    /// Sends a message. Returns false if the connection has ended.
    pub fn try_send(&mut self, message: &str) -> bool {
        let frame = framed(message);
        self.0.get_mut().write_all(frame.as_bytes()).is_ok()
    }

    /// Sends a call of class `lookup` with the statement `select 1`.
    ///
    /// # Panics
    ///
    /// If the connection has ended.
    pub fn send_call(&mut self, call: u64) {
        self.send_call_of_class("lookup", call);
    }

    /// Sends a call of a class with the statement `select 1`.
    ///
    /// # Panics
    ///
    /// If the connection has ended.
    pub fn send_call_of_class(&mut self, class: &str, call: u64) {
        assert!(
            self.try_send_call_of_class(class, call),
            "the connection to the gateway has ended"
        );
    }

    /// Sends a call of a class with the statement `select 1`. Returns false if the connection has ended.
    pub fn try_send_call_of_class(&mut self, class: &str, call: u64) -> bool {
        self.try_send_statement(class, call, "select 1")
    }

    /// Sends a call of a class with a statement and a `wait` of four seconds. Returns false if the connection has
    /// ended.
    pub fn try_send_statement(&mut self, class: &str, call: u64, statement: &str) -> bool {
        let bytes = STANDARD.encode(statement);
        self.try_send(&format!(
            r#"{{"jsonrpc":"2.0","id":{call},"method":"{class}","params":{{"id":"{call:016x}","wait":4000,"bytes":"{bytes}"}}}}"#
        ))
    }

    /// Waits for the next answer.
    ///
    /// # Panics
    ///
    /// If the connection has ended, or no answer arrives in time.
    pub fn receive(&mut self) -> Value {
        self.try_receive()
            .expect("no answer: the connection has ended, or the time limit has passed")
    }

    /// Waits for the next answer. Returns `None` if the connection has ended, or no answer arrives in time.
    pub fn try_receive(&mut self) -> Option<Value> {
        let mut header = String::new();
        let count = self.0.read_line(&mut header).ok()?;
        if count == 0 {
            return None;
        }
        let length = header.trim().strip_prefix("Content-Length: ")?;
        let length: usize = length.parse().ok()?;
        // The header ends with an empty line.
        let mut message = vec![0; length + 2];
        self.0.read_exact(&mut message).ok()?;
        serde_json::from_slice(&message).ok()
    }

    /// Waits for the next answer, and returns its call id and rows.
    ///
    /// # Panics
    ///
    /// If the next answer has no rows, or none arrives.
    pub fn receive_rows(&mut self) -> (u64, Vec<u8>) {
        let answer = self.receive();
        let text = answer["result"]["bytes"]
            .as_str()
            .unwrap_or_else(|| panic!("expected an answer with rows, got {answer}"));
        let rows = STANDARD.decode(text).expect("rows are base64");
        let call = answer["id"].as_u64().expect("an answer's id is a number");
        (call, rows)
    }
}
