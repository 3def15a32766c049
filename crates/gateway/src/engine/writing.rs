//! Writes to the engine: attempts, each encoded right before its first byte is written, and lines about them.

use super::{id_text, Engine, InFlightAttempt};
use async_io::Async;
use ironstair::{Millis, Outcome};
use ironstair_protocol::lines::{self, AttemptCommand};
use ironstair_runtime::{Attempt, RequestId};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::rc::Rc;

/// Bytes that wait to be written: an attempt or lines.
pub(super) struct OutboundChunk {
    /// The attempt that starts with the first byte; it is encoded right before that byte is written.
    pub(super) attempt: Option<Rc<Attempt>>,
    bytes: Vec<u8>,
    /// The number of bytes written so far.
    pub(super) written: usize,
    /// The attempt that these lines withdraw or release; it ends once they are written.
    withdraws: Option<Rc<Attempt>>,
}

impl OutboundChunk {
    pub(super) fn attempt(attempt: Rc<Attempt>) -> Self {
        OutboundChunk {
            attempt: Some(attempt),
            bytes: Vec::new(),
            written: 0,
            withdraws: None,
        }
    }

    fn lines(bytes: Vec<u8>) -> Self {
        OutboundChunk {
            attempt: None,
            bytes,
            written: 0,
            withdraws: None,
        }
    }

    fn withdrawal(bytes: Vec<u8>, attempt: Rc<Attempt>) -> Self {
        OutboundChunk {
            withdraws: Some(attempt),
            ..OutboundChunk::lines(bytes)
        }
    }

    /// The attempt that starts with the chunk's first byte, if that is not written yet.
    fn unstarted_attempt(&self) -> Option<&Rc<Attempt>> {
        let attempt = self.attempt.as_ref();
        attempt.filter(|attempt| !attempt.started.get())
    }
}

/// The state of the first chunk in a connection's queue.
enum NextChunk {
    /// Its attempt may no longer start; the chunk was removed.
    Unsent(RequestId),
    /// The engine has closed the connection.
    ConnectionEnded,
    /// Its bytes can be written.
    Ready,
}

impl Engine {
    /// Writes as much to a connection as it accepts now; the rest follows when it is writable again. Attempts that may
    /// no longer start are skipped and reported as unsent. All writes to connections go through this function.
    pub(super) fn write(&mut self, connection: u64) {
        while let Some(next) = self.prepare_chunk(connection) {
            let may_continue = match next {
                NextChunk::Unsent(id) => {
                    self.end_attempt(&id, Outcome::Unsent, None);
                    true
                }
                NextChunk::ConnectionEnded => {
                    self.drop_connection(connection, Outcome::ConnectionLost);
                    false
                }
                NextChunk::Ready => self.write_chunk(connection),
            };
            if !may_continue {
                return;
            }
        }
    }

    /// Checks and encodes the first chunk; `None` if there is none, or the connection is not established.
    fn prepare_chunk(&mut self, number: u64) -> Option<NextChunk> {
        let now = self.shared.clock.now();
        let connection = self.connections.get_mut(&number)?;
        let stream = connection.stream.as_ref()?;
        let first = connection.outbound.front_mut()?;
        let Some(attempt) = first.unstarted_attempt() else {
            return Some(NextChunk::Ready);
        };
        if !attempt.may_start(now) {
            let id = attempt.id;
            connection.outbound.pop_front();
            return Some(NextChunk::Unsent(id));
        }
        // The engine may have closed an idle connection while the message about it still waits in the actor's queue. An
        // attempt written to it would be lost, and it would be unknown whether it ran.
        if has_ended(stream) {
            return Some(NextChunk::ConnectionEnded);
        }
        if first.bytes.is_empty() {
            let time_remaining = (attempt.deadline - now).max(1.0);
            let classes = self.shared.classes();
            let class = &classes[attempt.class].name;
            first.bytes = attempt_bytes(attempt, class, time_remaining);
        }
        Some(NextChunk::Ready)
    }

    /// Writes as much of the first chunk as the connection accepts; false if the connection accepts no more now, or is
    /// lost.
    fn write_chunk(&mut self, number: u64) -> bool {
        let Some(connection) = self.connections.get_mut(&number) else {
            return false;
        };
        let (Some(stream), Some(first)) = (&connection.stream, connection.outbound.front_mut())
        else {
            return false;
        };
        match stream.get_ref().write(&first.bytes[first.written..]) {
            Ok(written) => {
                let unstarted = first.unstarted_attempt();
                if let Some(attempt) = unstarted {
                    attempt.start_on(number);
                }
                first.written += written;
                if first.written == first.bytes.len() {
                    self.on_chunk_written(number);
                }
                true
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                // If the channel is full, the task already waits for the connection to become writable.
                let _ = connection.write_blocked.try_send(());
                false
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => true,
            Err(_) => {
                self.drop_connection(number, Outcome::ConnectionLost);
                false
            }
        }
    }

    /// Removes the first chunk, and ends the attempt that it withdraws, if any.
    fn on_chunk_written(&mut self, number: u64) {
        let connection = self.connections.get_mut(&number);
        let chunk = connection.and_then(|connection| connection.outbound.pop_front());
        let Some(attempt) = chunk.and_then(|chunk| chunk.withdraws) else {
            return;
        };
        if self.is_in_flight(&attempt) {
            self.end_attempt(&attempt.id, Outcome::Withdrawn, None);
        }
    }

    /// Whether this attempt itself is in flight, rather than another attempt of its request.
    fn is_in_flight(&self, attempt: &Rc<Attempt>) -> bool {
        let in_flight = self.in_flight.get(&attempt.id);
        in_flight.is_some_and(|in_flight| Rc::ptr_eq(&in_flight.attempt, attempt))
    }

    /// Withdraws an attempt. One that has not started ends at once. One that has started ends when the command to the
    /// engine is written or its connection is closed: another attempt of the request must not start before that.
    pub(super) fn withdraw(&mut self, attempt: &Rc<Attempt>) {
        let in_flight = self.in_flight.get(&attempt.id);
        let Some(in_flight) = in_flight.filter(|sent| Rc::ptr_eq(&sent.attempt, attempt)) else {
            return;
        };
        let number = in_flight.connection;
        if !attempt.started.get() {
            self.end_attempt(&attempt.id, Outcome::Unsent, None);
        } else if self.is_incomplete_and_alone(attempt, number) {
            // Closing the connection keeps the engine from receiving the whole statement, so that it never runs it.
            self.drop_connection(number, Outcome::Unsent);
        } else {
            self.send_withdrawal(attempt, number);
        }
    }

    /// Whether the attempt is partly written to this connection, which has no other attempt.
    fn is_incomplete_and_alone(&self, attempt: &Rc<Attempt>, number: u64) -> bool {
        let Some(connection) = self.connections.get(&number) else {
            return false;
        };
        let first = connection.outbound.front();
        let first_attempt = first.and_then(|chunk| chunk.attempt.as_ref());
        let is_incomplete = first_attempt.is_some_and(|first| Rc::ptr_eq(first, attempt));
        is_incomplete && connection.open_attempts == 1
    }

    /// Sends the command that withdraws the attempt, or releases its result if its first page has arrived.
    fn send_withdrawal(&mut self, attempt: &Rc<Attempt>, number: u64) {
        let in_flight = self.in_flight.get(&attempt.id);
        let has_run = in_flight.is_some_and(|sent| !sent.pages.is_empty());
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let mut line = Vec::new();
        match has_run {
            false => lines::write_withdrawal(&mut line, id_text(&attempt.id)),
            true => lines::write_release(&mut line, id_text(&attempt.id)),
        }
        let chunk = OutboundChunk::withdrawal(line, attempt.clone());
        connection.outbound.push_back(chunk);
        self.write(number);
    }

    /// Queues a line about an attempt, unless the attempt has not started: the engine does not know it then.
    pub(super) fn send_line(
        &mut self,
        id: &RequestId,
        write: impl FnOnce(&InFlightAttempt, &mut Vec<u8>),
    ) {
        let Some(in_flight) = self.in_flight.get(id) else {
            return;
        };
        if !in_flight.attempt.started.get() {
            return;
        }
        let connection = in_flight.connection;
        let mut line = Vec::new();
        write(in_flight, &mut line);
        self.queue_line(connection, line);
    }

    /// Queues a line on a connection; it is written after the current message is handled.
    pub(super) fn queue_line(&mut self, number: u64, line: Vec<u8>) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.outbound.push_back(OutboundChunk::lines(line));
            self.flush_pending.push(number);
        }
    }
}

/// Whether the peer has closed its sending half, with nothing left to read.
fn has_ended(stream: &Async<TcpStream>) -> bool {
    match stream.get_ref().peek(&mut [0]) {
        Ok(read) => read == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

fn attempt_bytes(attempt: &Attempt, class: &str, time_remaining: Millis) -> Vec<u8> {
    let command = AttemptCommand {
        id: id_text(&attempt.id),
        class,
        idempotency_key: attempt.idempotency_key.as_deref(),
        time_remaining_ms: time_remaining as u64,
        priority: attempt.priority.get(),
        statement_bytes: attempt.statement.bytes().len(),
    };
    let mut bytes = Vec::new();
    command.write(&mut bytes);
    bytes.extend(attempt.statement.bytes());
    bytes.extend(lines::BODY_END);
    bytes
}
