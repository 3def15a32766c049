//! What the host knows of calls, events, requests and engines.

use ironstair::{Endpoint, Outcome, PolicyConfig, Request};

/// A call of the gateway. Requests and engines are identified by their indices.
pub(crate) enum Call {
    /// Whether the endpoint list is complete, and the endpoints.
    UpdateEndpoints(bool, Vec<Endpoint>),
    EndpointWatchLost,
    Request(usize, Request),
    RestrictToCells(usize, u64),
    /// The request, how its attempt ended, and whether the client has its answer.
    AttemptEnded(usize, Outcome, bool),
    Progress(usize, f64),
    LoadReport(usize, Vec<f64>),
    Cancel(usize),
    ClientClosed(usize),
    BeginShutdown(f64),
    RenewLease(f64),
    QuarantineKeys(f64),
    UpdateConfig(PolicyConfig),
    Timer,
}

/// An event that the host has scheduled. A request or an attempt is identified by the index and the
/// serial number, because an index is reused.
pub(crate) enum Event {
    RequestArrives,
    RetryArrives(Request),
    AttemptEnds(usize, u64),
    Progress(usize, u64),
    Timer,
    /// The engine, and whether the gateway requested the report.
    LoadReport(usize, bool),
    FullEndpointList,
    EngineChanges,
    EndpointWatchLost,
    ClientCancels(usize, u64),
    ClientCloses(usize, u64),
    CellsAreRestricted(usize, u64),
    ConfigChanges,
    LeaseIsRenewed,
    KeysAreQuarantined,
    ShutdownBegins,
}

pub(crate) struct RunningAttempt {
    pub(crate) serial: u64,
    pub(crate) engine: usize,
    pub(crate) sent_at: f64,
    pub(crate) ends_at: f64,
    pub(crate) outcome: Outcome,
    pub(crate) is_withdrawn: bool,
}

pub(crate) struct RequestModel {
    pub(crate) serial: u64,
    pub(crate) request: Request,
    pub(crate) deadline: f64,
    /// The client has its answer, or has cancelled.
    pub(crate) is_over: bool,
    pub(crate) attempts: u64,
    pub(crate) running: Option<RunningAttempt>,
}

pub(crate) struct EngineModel {
    pub(crate) endpoint: Endpoint,
    /// By how much attempts take longer than on a healthy engine.
    pub(crate) slowdown: f64,
    /// The probability that an attempt fails.
    pub(crate) failure_rate: f64,
    pub(crate) busy_threads: u64,
}
