//! The actor of one engine. It owns the connections to the engine, the attempts in flight there with their deadlines,
//! and the result pages received so far.

mod answers;
mod connections;
mod timers;
mod writing;

use async_channel::{Receiver, Sender};
use connections::Connection;
use ironstair::{Cost, Millis, Outcome};
use ironstair_protocol::lines;
use ironstair_runtime::pool::{Buffer, BufferChain};
use ironstair_runtime::wait::recv_until;
use ironstair_runtime::{Attempt, DispatcherMessage, EngineMessage, RequestId, Shared};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use writing::OutboundChunk;

/// An attempt that was sent to the engine, or that waits to be written to its connection.
struct InFlightAttempt {
    attempt: Rc<Attempt>,
    /// The number of its connection.
    connection: u64,
    /// When it was assigned to the connection.
    sent_at: Millis,
    /// The pages of the result by number; empty until the engine has reported how many there are.
    pages: Vec<Option<Buffer>>,
    /// The cost of the query, once the engine has reported it.
    cost: Option<Cost>,
}

/// The state of an engine's actor.
pub(crate) struct Engine {
    index: usize,
    address: SocketAddr,
    shared: Rc<Shared>,
    /// The sender of the actor's own queue, for the tasks of its connections.
    queue: Sender<EngineMessage>,
    in_flight: BTreeMap<RequestId, InFlightAttempt>,
    connections: BTreeMap<u64, Connection>,
    /// The number of load reports requested so far; each request's tag contains it.
    load_report_requests: u64,
    /// Messages to the dispatcher that are sent after the current one is handled.
    outgoing: Vec<DispatcherMessage>,
    /// Connections with queued lines that are written after the current message is handled.
    flush_pending: Vec<u64>,
    /// The number of connections, for the state tree.
    connection_count: Rc<Cell<u32>>,
}

fn id_text(id: &RequestId) -> &str {
    // Always valid UTF-8: only ids of hexadecimal digits are accepted from clients.
    std::str::from_utf8(id).unwrap_or_default()
}

impl Engine {
    /// Creates the actor of the engine with that index. `queue` is the sender of the actor's own queue.
    pub(crate) fn new(
        index: usize,
        address: SocketAddr,
        shared: Rc<Shared>,
        queue: Sender<EngineMessage>,
        connection_count: Rc<Cell<u32>>,
    ) -> Self {
        Engine {
            index,
            address,
            shared,
            queue,
            in_flight: BTreeMap::new(),
            connections: BTreeMap::new(),
            load_report_requests: 0,
            outgoing: Vec::new(),
            flush_pending: Vec::new(),
            connection_count,
        }
    }

    /// Runs until the queue is closed, which means that this process of the engine has ended.
    pub(crate) async fn run(mut self, messages: Receiver<EngineMessage>) {
        loop {
            let deadline = self.next_deadline();
            let received = recv_until(&self.shared.clock, &messages, deadline).await;
            let has_ended = received.is_err();
            match received {
                Ok(Some(message)) => self.handle_and_flush(message),
                Ok(None) => self.on_timer(),
                Err(_) => self.drop_all_connections(),
            }
            self.connection_count.set(self.connections.len() as u32);
            for message in self.outgoing.drain(..) {
                if self.shared.dispatcher.send(message).await.is_err() {
                    return;
                }
            }
            if has_ended {
                return;
            }
        }
    }

    fn handle_and_flush(&mut self, message: EngineMessage) {
        self.handle(message);
        // Lines are written only after every reply in the message is handled: a later reply may end the attempt that a
        // line is about, or cause its connection to be closed.
        for connection in std::mem::take(&mut self.flush_pending) {
            self.write(connection);
        }
    }

    fn handle(&mut self, message: EngineMessage) {
        match message {
            EngineMessage::StartAttempt(attempt) => self.start_attempt(attempt),
            EngineMessage::WithdrawAttempt(attempt) => self.withdraw(&attempt),
            EngineMessage::SetPriority { id, priority } => self.set_priority(&id, priority),
            EngineMessage::EndpointStateChanged => self.end_unstartable_attempts(),
            EngineMessage::RequestLoadReport => self.request_load_report(),
            EngineMessage::Connected { connection, stream } => {
                self.on_connected(connection, stream);
            }
            EngineMessage::Writable(connection) => self.write(connection),
            EngineMessage::Received { connection, buffer } => self.on_received(connection, buffer),
            EngineMessage::Disconnected {
                connection,
                outcome,
            } => self.drop_connection(connection, outcome),
        }
    }

    fn set_priority(&mut self, id: &RequestId, priority: u8) {
        let Some(in_flight) = self.in_flight.get(id) else {
            return;
        };
        in_flight.attempt.priority.set(Some(priority));
        self.send_line(id, |_, line| {
            lines::write_priority(line, id_text(id), priority);
        });
    }

    fn request_load_report(&mut self) {
        self.load_report_requests += 1;
        let tag = format!("r{}", self.load_report_requests);
        let mut line = Vec::new();
        lines::write_load_report_request(&mut line, &tag);
        let connection = self.connection_for(None);
        self.queue_line(connection, line);
    }

    fn start_attempt(&mut self, attempt: Rc<Attempt>) {
        let id = attempt.id;
        let now = self.shared.clock.now();
        if !attempt.may_start(now) {
            self.report_attempt_ended(id, Outcome::Unsent, None);
            return;
        }
        let connection_number = self.connection_for(Some(&attempt.used_connections));
        let in_flight = InFlightAttempt {
            attempt: attempt.clone(),
            connection: connection_number,
            sent_at: now,
            pages: Vec::new(),
            cost: None,
        };
        self.in_flight.insert(id, in_flight);
        if let Some(connection) = self.connections.get_mut(&connection_number) {
            connection.open_attempts += 1;
            let chunk = OutboundChunk::attempt(attempt);
            connection.outbound.push_back(chunk);
        }
        self.write(connection_number);
    }

    /// Removes an attempt from its connection and reports its outcome; every attempt in flight ends here.
    fn end_attempt(&mut self, id: &RequestId, outcome: Outcome, rows: Option<BufferChain>) {
        let Some(in_flight) = self.in_flight.remove(id) else {
            return;
        };
        let was_abandoned = matches!(outcome, Outcome::Withdrawn | Outcome::TimedOut);
        let is_silent = was_abandoned && self.is_silent(&in_flight);
        if let Some(connection) = self.connections.get_mut(&in_flight.connection) {
            connection.open_attempts -= 1;
            connection.is_silent |= is_silent;
            connection.idle_since = self.shared.clock.now();
            // A partly written chunk stays queued: an incomplete line would corrupt the line that follows it.
            let belongs_to_other = |chunk: &OutboundChunk| {
                let attempt = chunk.attempt.as_ref();
                attempt.is_none_or(|attempt| attempt.id != *id)
            };
            let outbound = &mut connection.outbound;
            outbound.retain(|chunk| chunk.written > 0 || belongs_to_other(chunk));
        }
        self.report_attempt_ended(*id, outcome, rows);
    }

    fn report_attempt_ended(&mut self, id: RequestId, outcome: Outcome, rows: Option<BufferChain>) {
        self.outgoing
            .push(DispatcherMessage::AttemptEnded { id, outcome, rows });
    }
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
