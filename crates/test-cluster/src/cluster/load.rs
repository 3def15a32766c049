//! The load on a fleet: one client per gateway, which records each of its calls and answers in the request log.

use super::{CLASSES, CONDITION_TIMEOUT};
use crate::invariants::{AnswerKind, CallId, Observation, RequestLog};
use crate::stub::{self, Client};
use serde_json::Value;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Number of calls that one client keeps open.
pub(super) const MAX_OPEN_CALLS: usize = 4;
/// Number of table groups in the statements, enough for each engine to be preferred by some of them.
const TABLE_GROUP_COUNT: u64 = 16;
/// Upper bound of the connections that one client opens in one load. The numbers of the next load start there.
pub(super) const MAX_CONNECTIONS: usize = 10_000;
/// Delay between two calls of a client, which keeps the load far below a gateway's capacity.
const CALL_INTERVAL: Duration = Duration::from_millis(10);

/// State shared by the test and a client's thread.
#[derive(Default)]
struct LoadControl {
    is_stopping: AtomicBool,
    is_paused: AtomicBool,
    open_calls: AtomicUsize,
}

/// A client's thread, which reconnects to one gateway until it is stopped.
pub(super) struct ClientLoad {
    control: Arc<LoadControl>,
    thread: JoinHandle<()>,
}

impl ClientLoad {
    /// Starts a client. Its connections are numbered from `first_connection` so that its calls don't reuse ids of an
    /// earlier load.
    pub(super) fn start(
        gateway: SocketAddr,
        client: usize,
        first_connection: usize,
        request_log: RequestLog,
    ) -> ClientLoad {
        let control = Arc::<LoadControl>::default();
        let shared = Arc::clone(&control);
        let thread = thread::spawn(move || {
            for connection in first_connection.. {
                if shared.is_stopping.load(Relaxed) {
                    return;
                }
                let Ok(stream) = TcpStream::connect(gateway) else {
                    thread::sleep(CALL_INTERVAL);
                    continue;
                };
                // Long enough for the answers that a paused gateway sends only after it resumes.
                let _ = stream.set_read_timeout(Some(CONDITION_TIMEOUT));
                let mut load_connection = LoadConnection {
                    stream: Client(BufReader::new(stream)),
                    client,
                    connection,
                    calls_sent: 0,
                    control: &shared,
                    request_log: &request_log,
                };
                load_connection.run();
                shared.open_calls.store(0, Relaxed);
                request_log.record(Observation::ConnectionClosed { client, connection });
            }
        });
        ClientLoad { control, thread }
    }

    /// Stops sending new calls. Answers are still read.
    pub(super) fn pause(&self) {
        self.control.is_paused.store(true, Relaxed);
    }

    pub(super) fn resume(&self) {
        self.control.is_paused.store(false, Relaxed);
    }

    /// Tells the thread to exit once all of its calls are answered.
    pub(super) fn request_stop(&self) {
        self.control.is_stopping.store(true, Relaxed);
    }

    pub(super) fn open_calls(&self) -> usize {
        self.control.open_calls.load(Relaxed)
    }

    pub(super) fn join(self) {
        // If a client panicked, the checker reports missing answers.
        let _ = self.thread.join();
    }
}

/// One connection of a client.
struct LoadConnection<'a> {
    stream: Client,
    client: usize,
    connection: usize,
    calls_sent: u64,
    control: &'a LoadControl,
    request_log: &'a RequestLog,
}

impl LoadConnection<'_> {
    /// Sends calls and reads answers until the connection ends, or the load stops and every call is answered.
    fn run(&mut self) {
        loop {
            let is_stopping = self.control.is_stopping.load(Relaxed);
            let is_paused = self.control.is_paused.load(Relaxed);
            if !is_stopping && !is_paused && self.open_calls() < MAX_OPEN_CALLS {
                if !self.send_call() {
                    return;
                }
                thread::sleep(CALL_INTERVAL);
                if self.open_calls() < MAX_OPEN_CALLS {
                    continue;
                }
            }
            if self.open_calls() == 0 {
                if is_stopping {
                    return;
                }
                thread::sleep(CALL_INTERVAL);
                continue;
            }
            if !self.receive_answer() {
                return;
            }
        }
    }

    fn open_calls(&self) -> usize {
        self.control.open_calls.load(Relaxed)
    }

    fn id(&self, call: u64) -> CallId {
        CallId {
            client: self.client,
            connection: self.connection,
            call,
        }
    }

    /// Records and sends the next call. Returns false if the connection has ended.
    fn send_call(&mut self) -> bool {
        self.calls_sent += 1;
        let class = CLASSES[self.calls_sent as usize % 2];
        // Unique across all clients and connections.
        let call =
            (self.client as u64 + 1) << 48 | (self.connection as u64) << 32 | self.calls_sent;
        self.control.open_calls.fetch_add(1, Relaxed);
        let id = self.id(call);
        self.request_log
            .record(Observation::Requested { id, class });
        let table_group = self.calls_sent / 2 % TABLE_GROUP_COUNT;
        let statement = format!("select a from s_{table_group}.t");
        self.stream.try_send_statement(class, call, &statement)
    }

    /// Waits for an answer and records it. Returns false if the connection has ended.
    fn receive_answer(&mut self) -> bool {
        let Some(answer) = self.stream.try_receive() else {
            return false;
        };
        let id = self.id(answer["id"].as_u64().unwrap_or(0));
        let kind = answer_kind(&answer);
        self.request_log.record(Observation::Answered { id, kind });
        self.control.open_calls.fetch_sub(1, Relaxed);
        true
    }
}

fn answer_kind(answer: &Value) -> AnswerKind {
    match answer["error"]["code"].as_i64() {
        None => AnswerKind::Rows,
        Some(stub::REJECTED) => AnswerKind::Rejected,
        Some(stub::FAILED) => AnswerKind::Failed,
        Some(_) => AnswerKind::OtherError,
    }
}
