//! The messages between fronts, the dispatcher and the engines' actors.

use crate::attempt::Attempt;
use crate::pool::{Buffer, BufferChain};
use crate::state_watch::ManagementCommand;
use async_channel::Sender;
use async_io::Async;
use ironstair::{EndpointState, Millis, Outcome, Request};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// A request's id as its client chose it.
pub type RequestId = [u8; 16];

/// A message to the dispatcher, which owns the policy.
pub enum DispatcherMessage {
    /// A client sent a request.
    NewRequest(Box<NewRequest>),
    /// A client cancelled a request.
    Cancelled {
        /// The request.
        id: RequestId,
        /// The reply channel of the client; only the client that sent a request may cancel it.
        reply_to: Sender<Reply>,
    },
    /// The client of a request closed its connection or at least its sending half. An attempt in flight may still be
    /// answered; no further attempt starts.
    ClientClosed {
        /// The request.
        id: RequestId,
        /// The reply channel of the client.
        reply_to: Sender<Reply>,
    },
    /// The attempt in flight for a request ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// How the attempt ended.
        outcome: Outcome,
        /// The rows of a complete answer.
        rows: Option<BufferChain>,
    },
    /// An engine reported its load.
    LoadReport {
        /// The engine's index.
        engine: usize,
        /// The values in the order of the setting `report.fields`.
        values: Vec<f64>,
    },
    /// Discovery found a new endpoint list: endpoints by name.
    Endpoints(BTreeMap<String, DiscoveredEndpoint>),
    /// The process must end by that time.
    ShutdownRequested(Millis),
    /// A command from a thread other than the gateway's.
    Command(ManagementCommand),
}

/// A request from a front end.
pub struct NewRequest {
    /// The id that the client chose.
    pub id: RequestId,
    /// The number of the call on the client's connection; replies carry it.
    pub call_id: u64,
    /// What the policy needs to know of the request.
    pub request: Request,
    /// The tenant: the hash of the name that the client gave. Without one the tenant follows from the table group.
    pub tenant: Option<u64>,
    /// When the gateway received the request.
    pub received_at: Millis,
    /// The statement to run.
    pub statement: BufferChain,
    /// The key by which engines recognize a repeated request of a deduplicated class.
    pub idempotency_key: Option<Rc<str>>,
    /// Where the final answer goes.
    pub reply_to: Sender<Reply>,
    /// Whether the client still waits. The actor of its connection clears it; the flag is faster than any queued
    /// message.
    pub client_is_waiting: Rc<Cell<bool>>,
}

/// A message to a front end about one of its calls. Each call receives exactly one final answer.
pub enum Reply {
    /// The request completed.
    Completed {
        /// The call.
        call_id: u64,
        /// The rows of the answer.
        rows: BufferChain,
    },
    /// The request was rejected and has not run.
    Rejected {
        /// The call.
        call_id: u64,
        /// After how long the client should retry.
        retry_after: Millis,
    },
    /// The call failed; the request may have run.
    Failed(u64),
    /// The call used the id of a request that is still open.
    DuplicateId(u64),
    /// A whole message that was encoded without the dispatcher.
    Encoded(Vec<u8>),
}

/// A message to an engine's actor, from the dispatcher or from one of the engine's connections.
pub enum EngineMessage {
    /// Sends an attempt to the engine.
    StartAttempt(Rc<Attempt>),
    /// Withdraws an attempt.
    WithdrawAttempt(Rc<Attempt>),
    /// Changes the priority of the request's attempt in flight.
    SetPriority {
        /// The request.
        id: RequestId,
        /// The new priority.
        priority: u8,
    },
    /// Asks the engine for a load report.
    RequestLoadReport,
    /// The endpoint's state changed: attempts that have not started must not start any more.
    EndpointStateChanged,
    /// A connection was established.
    Connected {
        /// The connection's number.
        connection: u64,
        /// Its stream.
        stream: Rc<Async<TcpStream>>,
    },
    /// The connection of that number accepts bytes again after its send buffer was full.
    Writable(u64),
    /// Bytes arrived on a connection.
    Received {
        /// The connection's number.
        connection: u64,
        /// The bytes.
        buffer: Buffer,
    },
    /// A connection was lost or could not be established.
    Disconnected {
        /// The connection's number.
        connection: u64,
        /// What that means for the attempts on it.
        outcome: Outcome,
    },
}

/// One engine of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Where the engine listens.
    pub address: SocketAddr,
    /// The index of its zone.
    pub zone: u16,
    /// The index of its machine type.
    pub machine_type: u16,
    /// The group of engines that share the keys of deduplicated requests.
    pub dedup_domain: u16,
    /// Whether the engine takes attempts.
    pub state: EndpointState,
    /// When the engine last started; zero if that was long ago.
    pub started_at: Millis,
}
