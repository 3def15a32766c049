//! When a client connection is closed although the client has not ended it.

use super::reader::ReadError;
use super::Client;
use async_io::Async;
use futures_lite::future::or;
use ironstair::Millis;
use ironstair_protocol::rpc::{CallError, ErrorCode};
use ironstair_runtime::wait::sleep_until;
use std::future::pending;
use std::net::TcpStream;

/// Longest time from connecting to the first open call or answer, and from a message's first byte to its last, in ms.
const MESSAGE_TIMEOUT: Millis = 2000.0;
/// Longest time with no open call, in ms. Clients close connections that idle for 4 s; later than that none of them
/// uses the connection again.
const IDLE_TIMEOUT: Millis = 10_000.0;

impl Client {
    /// Completes when the connection should be closed: idle timeout, partial message timeout, or eviction to free a
    /// slot. `partial_since` is when the first byte of a partial message arrived.
    pub(super) async fn idle_or_stalled(
        &self,
        stream: &Async<TcpStream>,
        partial_since: Option<Millis>,
    ) -> ReadError {
        self.until_close_deadline(partial_since).await;
        if partial_since.is_some() {
            self.protocol_error(CallError {
                call_id: None,
                code: ErrorCode::ParseError,
            });
            return ReadError::Stalled;
        }
        self.drained().await;
        let has_unread_bytes = stream.get_ref().peek(&mut [0]).is_ok_and(|read| read > 0);
        if has_unread_bytes {
            // On a busy machine a call may have arrived that is not read yet. Closed now, it would be lost.
            return pending().await;
        }
        ReadError::Idle
    }

    async fn until_close_deadline(&self, partial_since: Option<Millis>) {
        let clock = &self.shared.clock;
        loop {
            // Listening starts before the deadline is computed: a change between the two must not be missed.
            let changed = self.permit.activity.changed.listen();
            let deadline = self.close_deadline(partial_since);
            if deadline <= clock.now() {
                return;
            }
            let timer = Some(deadline).filter(|deadline| deadline.is_finite());
            or(changed, sleep_until(clock, timer)).await;
        }
    }

    /// When the connection is to be closed if nothing changes before; negative infinity means at once.
    fn close_deadline(&self, partial_since: Option<Millis>) -> Millis {
        let activity = &self.permit.activity;
        let quiet_since = activity.quiet_since();
        let is_quiet = quiet_since.is_finite();
        if activity.is_close_requested() && is_quiet {
            return Millis::NEG_INFINITY;
        }
        match partial_since {
            Some(first_byte_at) if activity.has_been_answered() || !is_quiet => {
                first_byte_at + MESSAGE_TIMEOUT
            }
            None if activity.has_been_answered() => quiet_since + IDLE_TIMEOUT,
            // Infinite while the first call is open.
            _ => quiet_since.max(activity.accepted_at + MESSAGE_TIMEOUT),
        }
    }
}
