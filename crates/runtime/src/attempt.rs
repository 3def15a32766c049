//! An attempt on its way to an engine.

use crate::messages::RequestId;
use crate::statement::Statement;
use crate::used_connections::UsedConnections;
use ironstair::{EndpointState, Millis};
use std::cell::Cell;
use std::rc::Rc;

/// One attempt to run a request at an engine.
///
/// An attempt starts when its first byte is written to the connection, not when the policy decides on it: queues, slow
/// connects and blocked writes may delay the write. The conditions under which it may still start are therefore part of
/// the attempt, and the owner of the connection checks them immediately before the write.
pub struct Attempt {
    /// The request.
    pub id: RequestId,
    /// The index of the request's class.
    pub class: usize,
    /// The statement to run.
    pub statement: Rc<Statement>,
    /// The client's key by which engines recognize a repeated request of a deduplicated class.
    pub idempotency_key: Option<Rc<str>>,
    /// The priority at the engine, if engines honor priorities.
    pub priority: Cell<Option<u8>>,
    /// When the client gives up.
    pub deadline: Millis,
    /// The time from which the attempt may no longer start, as the policy decided. Withdrawing the attempt sets it to
    /// the past.
    pub start_before: Cell<Millis>,
    /// Whether the client still waits for the reply; shared with the actor of its connection.
    pub client_is_waiting: Rc<Cell<bool>>,
    /// The engine's state in the endpoint list; shared with the dispatcher.
    pub endpoint_state: Rc<Cell<EndpointState>>,
    /// Whether the first byte has been written.
    pub started: Cell<bool>,
    /// The connections on which attempts of the request have started; shared by all its attempts.
    pub used_connections: Rc<UsedConnections>,
}

impl Attempt {
    /// Whether the attempt may still start.
    pub fn may_start(&self, now: Millis) -> bool {
        now < self.start_before.get()
            && self.client_is_waiting.get()
            && self.endpoint_state.get() == EndpointState::Ready
    }

    /// Records that the first byte is written to the connection with this number.
    pub fn start_on(&self, connection: u64) {
        self.started.set(true);
        self.used_connections.insert(connection);
    }

    /// Prevents the attempt from starting, whichever queue holds it. An attempt that has started is withdrawn with
    /// [`EngineMessage::WithdrawAttempt`](crate::EngineMessage::WithdrawAttempt).
    pub fn withdraw(&self) {
        self.start_before.set(f64::NEG_INFINITY);
    }
}
