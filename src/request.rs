//! A request as its client sent it, and how an attempt of it ended.

use crate::Millis;

/// A request as its client sent it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Its class, by index.
    pub class: usize,
    /// Its key, 0 for none. Its class may require that requests of a key run in order.
    pub key: u64,
    /// The time remaining until its deadline.
    pub time_remaining: Millis,
    /// The client's estimate of its work, in ms on a thread.
    pub work: Option<Millis>,
    /// The client's estimate of its memory, in MB; 0 for none.
    pub memory_mb: f64,
    /// Its table group.
    pub table_group: u64,
    /// The cells whose engines it may go to, a bit each; 0 for all cells.
    pub cells: u64,
    /// The client has marked it as a retry.
    pub is_retry: bool,
}

/// The resources that a request used; 0 for a value that the engine did not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// The work of all its threads, in ms on a thread.
    pub work: Millis,
    /// The largest memory in use, in MB.
    pub memory_mb: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The engine answered, with the cost if it reported one.
    Completed(Option<Cost>),
    /// The engine answered that the attempt failed.
    EngineError,
    /// The engine accepts no attempts at present; this one did not run.
    Rejected,
    /// The time remaining was used up.
    TimedOut,
    /// No connection was established; the attempt did not run.
    ConnectFailed,
    /// The connection was lost; the attempt may have run.
    ConnectionLost,
    /// The connection was lost because of another attempt on it. This one may have run, and its end
    /// says nothing about the engine.
    ConnectionLostByPeerAttempt,
    /// The attempt was withdrawn; it may have run.
    Withdrawn,
    /// The attempt was never sent.
    Unsent,
}
