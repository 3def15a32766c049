//! The messages between front ends, the dispatcher and the engines' actors.

use crate::attempt::Attempt;
use crate::pool::{Buffer, BufferChain};
use crate::state_watch::ManagementCommand;
use crate::statement::Statement;
use async_channel::Sender;
use async_io::Async;
use ironstair::{EndpointState, Millis, Outcome, Request};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// The id that a client chose for a request.
pub type RequestId = [u8; 16];

/// A message to the dispatcher, which owns the policy.
pub enum DispatcherMessage {
    /// A client sent a request.
    NewRequest(Box<NewRequest>),
    /// A client cancelled a request.
    Cancelled {
        /// The request.
        id: RequestId,
        /// The reply channel of the client. Only the client that sent a request may cancel it.
        reply_to: Sender<Reply>,
    },
    /// The client of a request closed its connection or the sending half of it. An attempt in flight may still be
    /// answered, but no further attempt starts.
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
        /// The rows of a complete reply.
        rows: Option<BufferChain>,
    },
    /// An engine reported its load.
    LoadReport {
        /// The engine's index.
        engine: usize,
        /// The reported values, in the order of the setting `report.fields`.
        values: Vec<f64>,
    },
    /// Discovery received a new endpoint list: the endpoints by name.
    Endpoints(BTreeMap<String, DiscoveredEndpoint>),
    /// The process must exit by this time.
    ShutdownRequested(Millis),
    /// A command from management, or from a reload of the configuration file.
    Command(ManagementCommand),
}

/// A request from a front end.
pub struct NewRequest {
    /// The id that the client chose.
    pub id: RequestId,
    /// The id of the call on the client's connection, which replies repeat.
    pub call_id: u64,
    /// The request as the policy sees it.
    pub request: Request,
    /// The hash of the tenant's name, if the client gave one. Otherwise the tenant follows from the table group.
    pub tenant: Option<u64>,
    /// When the gateway received the request.
    pub received_at: Millis,
    /// The statement to run.
    pub statement: Statement,
    /// The key by which engines recognize a repeated request of a deduplicated class.
    pub idempotency_key: Option<Rc<str>>,
    /// The channel that receives the final reply.
    pub reply_to: Sender<Reply>,
    /// Whether the client still waits for the reply. The actor of its connection clears the flag, which takes effect
    /// before any queued message.
    pub client_is_waiting: Rc<Cell<bool>>,
}

/// A message to a front end about one of its calls. Each call receives exactly one final reply.
pub enum Reply {
    /// The request completed.
    Completed {
        /// The call.
        call_id: u64,
        /// The rows of the result.
        rows: BufferChain,
    },
    /// The request was rejected and has not run.
    Rejected {
        /// The call.
        call_id: u64,
        /// The delay after which the client should retry.
        retry_after: Millis,
    },
    /// The call failed; the request may have run.
    Failed(u64),
    /// The call used the id of a request that is still open.
    DuplicateId(u64),
    /// A complete message that the front end encoded itself, without the dispatcher.
    Encoded(Vec<u8>),
}

/// A message to an engine's actor, from the dispatcher or from one of the engine's connections.
pub enum EngineMessage {
    /// Sends an attempt to the engine.
    StartAttempt(Rc<Attempt>),
    /// Withdraws an attempt.
    WithdrawAttempt(Rc<Attempt>),
    /// Changes the priority of a request's attempt in flight.
    SetPriority {
        /// The request.
        id: RequestId,
        /// The new priority.
        priority: u8,
    },
    /// Asks the engine for a load report.
    RequestLoadReport,
    /// The endpoint's state changed: attempts that have not started must no longer start.
    EndpointStateChanged,
    /// A connection was established.
    Connected {
        /// The connection's number.
        connection: u64,
        /// Its stream.
        stream: Rc<Async<TcpStream>>,
    },
    /// The connection with this number accepts bytes again after its send buffer was full.
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
        /// The outcome of the attempts on it.
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
    /// The index of the group of engines that share the keys of deduplicated requests.
    pub dedup_domain: u16,
    /// Whether the engine takes attempts.
    pub state: EndpointState,
    /// When the engine last started; zero if that was long ago or is unknown.
    pub started_at: Millis,
}
