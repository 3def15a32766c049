//! Handles the engine's replies: results in pages, and load reports.

use super::connections::PartialReply;
use super::{id_text, Engine};
use ironstair::{Cost, Millis, Outcome};
use ironstair_protocol::lines::{self, Fields, Reply, ReplyError, ReplyKind};
use ironstair_runtime::pool::{Buffer, BufferChain};
use ironstair_runtime::{DispatcherMessage, RequestId};
use slog::warn;

/// More pages than the longest result has.
const MAX_PAGES: f64 = 64.0;
/// Most bytes of a result.
const MAX_RESULT_BYTES: usize = 48_000;
/// More memory than any machine has, in MB.
const MAX_MEMORY_MB: f64 = 1e8;

/// Why a connection cannot be used after a reply.
#[derive(Debug, thiserror::Error)]
pub(super) enum AnswerError {
    #[error(transparent)]
    Malformed(#[from] ReplyError),
    #[error("reply is incomplete for too long")]
    Incomplete,
    #[error("no number of pages from 1 to {MAX_PAGES}")]
    PageCount,
    #[error("page out of place, too long, or not of complete rows")]
    UnexpectedPage,
}

impl Engine {
    /// Handles bytes from a connection. They are appended to a partial reply, if there is one.
    pub(super) fn on_received(&mut self, number: u64, mut received: Buffer) {
        let now = self.shared.clock.now();
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.last_heard_at = now;
            connection.is_silent = false;
        }
        // A reply is shorter than a buffer, so that its rest always fits behind the part that has been received.
        while let Some(mut partial) = self.take_partial(number) {
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

    fn take_partial(&mut self, number: u64) -> Option<PartialReply> {
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
                Err(error) => return self.close_malformed(number, &error.into()),
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

    /// Closes a connection after a malformed reply: the start of the next one is unknown.
    pub(super) fn close_malformed(&mut self, number: u64, error: &AnswerError) {
        warn!(
            self.shared.log, "engine answer malformed, closing connection";
            "error" => %error, "address" => self.address
        );
        self.drop_connection(number, Outcome::ConnectionLost);
    }

    /// Reports the values by the names that the settings give. Where the engine uses other names, its values are
    /// reported in its own order.
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

    /// Handles one complete reply: a load report, the end of an attempt, or a page of its result.
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
        // A withdrawn or timed-out attempt is not in flight any more: its reply is dropped.
        let in_flight = self.in_flight.get(&id);
        let Some(in_flight) = in_flight.filter(|sent| sent.connection == connection) else {
            return;
        };
        let is_duplicate = !in_flight.pages.is_empty();
        match reply.kind {
            // A second copy of the first page is harmless.
            ReplyKind::Done if is_duplicate => {}
            ReplyKind::Done => match self.on_done(&id, reply.fields) {
                Ok(()) => self.on_page(connection, &id, 0, reply.body),
                Err(error) => self.close_malformed(connection, &error),
            },
            ReplyKind::Page => {
                let page = reply.fields.number("page");
                // Page 0 comes with the first reply only. No result has the largest number: it is rejected.
                let page = page.filter(|page| *page >= 1.0).unwrap_or(f64::MAX);
                self.on_page(connection, &id, page as usize, reply.body);
            }
            ReplyKind::Full => self.end_attempt(&id, Outcome::Rejected, None),
            ReplyKind::TimedOut => self.end_attempt(&id, Outcome::TimedOut, None),
            _ => self.end_attempt(&id, Outcome::EngineError, None),
        }
    }

    /// The query has run: stores its cost and the number of pages, and requests the further pages.
    fn on_done(&mut self, id: &RequestId, fields: Fields) -> Result<(), AnswerError> {
        // Every result has a number of pages: a reply without one is something else.
        let pages = fields.number("pages").unwrap_or(0.0);
        if pages.fract() != 0.0 || !(1.0..=MAX_PAGES).contains(&pages) {
            return Err(AnswerError::PageCount);
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

    /// Stores a page of a result; the last one completes the attempt.
    fn on_page(&mut self, connection: u64, id: &RequestId, page: usize, body: &[u8]) {
        let Some(in_flight) = self.in_flight.get_mut(id) else {
            return;
        };
        let stored = in_flight.pages.iter().flatten();
        let stored_bytes: usize = stored.map(|page| page.bytes().len()).sum();
        let fits = stored_bytes + body.len() <= MAX_RESULT_BYTES;
        let Some(slot) = in_flight.pages.get_mut(page) else {
            return self.close_malformed(connection, &AnswerError::UnexpectedPage);
        };
        if slot.is_some() {
            return;
        }
        if !fits || !lines::is_complete_page(body) {
            return self.close_malformed(connection, &AnswerError::UnexpectedPage);
        }
        let Some(mut buffer) = self.shared.pool.try_acquire() else {
            // The pages that still arrive must not be taken for those of the request's next attempt. The engine is not
            // to blame.
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

/// The cost that a reply states. Without a usable amount of memory the work still counts.
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
