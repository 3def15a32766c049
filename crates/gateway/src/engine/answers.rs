//! Handles the engine's replies: paged results, errors and load reports.

use super::connections::PartialReply;
use super::{id_text, Engine};
use ironstair::{Cost, Millis, Outcome};
use ironstair_protocol::lines::{self, Fields, Reply, ReplyError, ReplyKind};
use ironstair_runtime::pool::{Buffer, BufferChain};
use ironstair_runtime::{DispatcherMessage, RequestId};
use slog::warn;

/// Largest number of pages that is accepted; the longest result has fewer.
const MAX_PAGES: f64 = 64.0;
/// Largest size of a result that is accepted, in bytes.
const MAX_RESULT_BYTES: usize = 48_000;
/// Largest amount of memory that is accepted in a cost, in MB; no machine has so much.
const MAX_MEMORY_MB: f64 = 1e8;

/// Why a connection can't be used any more after a reply.
#[derive(Debug, thiserror::Error)]
pub(super) enum EngineReplyError {
    #[error(transparent)]
    Malformed(#[from] ReplyError),
    #[error("reply not complete within the connect timeout")]
    IncompleteReply,
    #[error("field \"pages\" of a DONE reply is not a whole number from 1 to {MAX_PAGES}")]
    InvalidPageCount,
    #[error("result page has a wrong number or incomplete rows, or the result exceeds {MAX_RESULT_BYTES} bytes")]
    UnexpectedPage,
}

impl Engine {
    /// Handles bytes from a connection. If the connection has a partial reply, they are appended to it.
    pub(super) fn on_received(&mut self, number: u64, mut received: Buffer) {
        let now = self.shared.clock.now();
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.last_heard_at = now;
            connection.is_silent = false;
        }
        // A reply is shorter than a buffer, so the rest of a partial reply always fits into its buffer.
        while let Some(mut partial) = self.take_partial_reply(number) {
            let appended = partial.buffer.append(received.bytes());
            received.consume(appended);
            self.handle_replies(number, partial);
            if received.bytes().is_empty() {
                return;
            }
        }
        let new = PartialReply {
            buffer: received,
            since: now,
        };
        self.handle_replies(number, new);
    }

    fn take_partial_reply(&mut self, number: u64) -> Option<PartialReply> {
        let connection = self.connections.get_mut(&number)?;
        connection.partial.take()
    }

    /// Handles the complete replies in the buffer and keeps the rest.
    fn handle_replies(&mut self, number: u64, mut received: PartialReply) {
        let mut has_completed_reply = false;
        while self.connections.contains_key(&number) {
            let length = match lines::read_reply(received.buffer.bytes()) {
                Ok(Some(reply)) => {
                    self.on_reply(number, &reply);
                    reply.encoded_bytes
                }
                Ok(None) => break,
                Err(error) => return self.close_after_invalid_reply(number, &error.into()),
            };
            received.buffer.consume(length);
            has_completed_reply = true;
        }
        if has_completed_reply {
            received.since = self.shared.clock.now();
        }
        let is_partial = !received.buffer.bytes().is_empty();
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.partial = is_partial.then_some(received);
        }
    }

    /// Closes a connection after an invalid reply: the start of the next reply is unknown.
    pub(super) fn close_after_invalid_reply(&mut self, number: u64, error: &EngineReplyError) {
        warn!(
            self.shared.log, "invalid engine reply, closing connection";
            "error" => %error, "address" => self.address
        );
        self.drop_connection(number, Outcome::ConnectionLost);
    }

    /// Passes the values on in the order in which the settings name them. If the engine does not report all of these
    /// names, its values are passed on in its own order.
    fn on_load_report(&mut self, fields: Fields) {
        let value_of = |name: &String| {
            let mut values = fields.load();
            let found = values.find(|value| value.name == name.as_bytes());
            found.map(|value| value.value)
        };
        let config = self.shared.transport_config();
        let named: Option<Vec<f64>> = config.report_fields.iter().map(value_of).collect();
        let in_order = || fields.load().map(|value| value.value).collect();
        let values = named.unwrap_or_else(in_order);
        if !values.is_empty() {
            self.outgoing.push(DispatcherMessage::LoadReport {
                engine: self.index,
                values,
            });
        }
    }

    /// Handles one complete reply: a load report, the end of an attempt, or a page of a result.
    fn on_reply(&mut self, connection: u64, reply: &Reply) {
        if reply.fields.load().next().is_some() {
            self.on_load_report(reply.fields);
        }
        if matches!(reply.kind, ReplyKind::Ready | ReplyKind::NotReady) {
            return;
        }
        let Ok(id) = RequestId::try_from(reply.id) else {
            return;
        };
        // A withdrawn or timed-out attempt is no longer in flight: replies to it are dropped.
        let in_flight = self.in_flight.get(&id);
        let Some(in_flight) = in_flight.filter(|sent| sent.connection == connection) else {
            return;
        };
        // After the first page every reply is about a page, except for a repeated first one, whose page is already
        // stored.
        let has_run = !in_flight.pages.is_empty();
        match reply.kind {
            ReplyKind::Done if has_run => {}
            ReplyKind::Done => match self.on_done(&id, reply.fields) {
                Ok(()) => self.on_page(connection, &id, 0, reply.body),
                Err(error) => self.close_after_invalid_reply(connection, &error),
            },
            ReplyKind::Page => {
                let page = reply.fields.number("page");
                // Page 0 is only valid in the first reply. Any page below 1, or a missing number, becomes a number that
                // no result has, and is rejected as unexpected.
                let page = page.filter(|page| *page >= 1.0).unwrap_or(f64::MAX);
                self.on_page(connection, &id, page as usize, reply.body);
            }
            // A rejected attempt counts as never run; only the rejection of the query itself means that.
            ReplyKind::Full if !has_run => self.end_attempt(&id, Outcome::Rejected, None),
            ReplyKind::TimedOut => self.end_attempt(&id, Outcome::TimedOut, None),
            _ => self.end_attempt(&id, Outcome::EngineError, None),
        }
    }

    /// The query has completed: stores its cost, prepares its pages, and requests all but the first.
    fn on_done(&mut self, id: &RequestId, fields: Fields) -> Result<(), EngineReplyError> {
        // Every result states its number of pages, so a reply without one is invalid.
        let pages = fields.number("pages").unwrap_or(0.0);
        if pages.fract() != 0.0 || !(1.0..=MAX_PAGES).contains(&pages) {
            return Err(EngineReplyError::InvalidPageCount);
        }
        let max_work = self.shared.max_work();
        let Some(in_flight) = self.in_flight.get_mut(id) else {
            return Ok(());
        };
        in_flight.cost = cost(fields, max_work);
        in_flight.pages.resize_with(pages as usize, || None);
        if in_flight.pages.len() > 1 {
            self.send_line(id, |in_flight, line| {
                for page in 1..in_flight.pages.len() {
                    lines::write_page_request(line, id_text(id), page);
                }
            });
        }
        Ok(())
    }

    /// Stores a page of a result; the last missing one completes the attempt.
    fn on_page(&mut self, connection: u64, id: &RequestId, page: usize, body: &[u8]) {
        let Some(in_flight) = self.in_flight.get_mut(id) else {
            return;
        };
        let stored = in_flight.pages.iter().flatten();
        let stored_bytes: usize = stored.map(|page| page.bytes().len()).sum();
        let fits = stored_bytes + body.len() <= MAX_RESULT_BYTES;
        let Some(slot) = in_flight.pages.get_mut(page) else {
            return self.close_after_invalid_reply(connection, &EngineReplyError::UnexpectedPage);
        };
        if slot.is_some() {
            return;
        }
        if !fits || !lines::is_complete_page(body) {
            return self.close_after_invalid_reply(connection, &EngineReplyError::UnexpectedPage);
        }
        let Some(mut buffer) = self.shared.pool.try_acquire() else {
            // The pool is exhausted. Pages that still arrive must not be attributed to the request's next attempt, so
            // the connection is closed. This outcome does not count against the engine.
            return self.drop_connection(connection, Outcome::ConnectionLostByPeerAttempt);
        };
        buffer.append(body);
        *slot = Some(buffer);
        if in_flight.pages.iter().all(Option::is_some) {
            self.complete_attempt(id);
        }
    }

    fn complete_attempt(&mut self, id: &RequestId) {
        let Some(in_flight) = self.in_flight.get_mut(id) else {
            return;
        };
        let cost = in_flight.cost;
        let pages = std::mem::take(&mut in_flight.pages);
        if pages.len() > 1 {
            self.send_line(id, |_, line| lines::write_release(line, id_text(id)));
        }
        let rows = BufferChain(pages.into_iter().flatten().collect());
        self.end_attempt(id, Outcome::Completed(cost), Some(rows));
    }
}

/// The cost that a reply states, or `None` if its work is missing or out of range. Memory that is missing or out of
/// range counts as 0.
fn cost(fields: Fields, max_work: Millis) -> Option<Cost> {
    let work = fields.number("cost");
    let work = work.filter(|work| (0.0..=max_work).contains(work))?;
    let memory_mb = fields.number("need");
    let memory_mb = memory_mb.filter(|memory| (0.0..=MAX_MEMORY_MB).contains(memory));
    Some(Cost {
        work,
        memory_mb: memory_mb.unwrap_or(0.0),
    })
}
