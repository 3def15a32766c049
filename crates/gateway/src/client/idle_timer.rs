//! Decides when the gateway closes a client connection: if it is idle, stalls within a message, or is evicted.

use super::reader::ReadError;
use super::Client;
use async_io::Async;
use futures_lite::future::or;
use ironstair::Millis;
use ironstair_runtime::wait::sleep_until;
use std::future::pending;
use std::net::TcpStream;

/// Longest time from accepting a connection to its first open call or answer, and from a message's first byte to its
/// last, in ms.
const MESSAGE_TIMEOUT: Millis = 2000.0;
/// Longest time with no open call on a connection that was answered before, in ms. Clients close a connection that has
/// been idle for 4 s, so none of them uses it again after this time.
const IDLE_TIMEOUT: Millis = 10_000.0;

impl Client {
    /// Completes when the connection is to be closed: after the idle timeout or the timeout of a partial message, or if
    /// it is asked to close. `partial_since` is when the first byte of a partial message arrived.
    pub(super) async fn until_idle_or_stalled(
        &self,
        stream: &Async<TcpStream>,
        partial_since: Option<Millis>,
    ) -> ReadError {
        self.until_close_deadline(partial_since).await;
        if partial_since.is_some() {
            return ReadError::Stalled;
        }
        self.until_drained().await;
        let has_unread_bytes = stream.get_ref().peek(&mut [0]).is_ok_and(|read| read > 0);
        if has_unread_bytes {
            // On a busy machine a call may have arrived that is not read yet. Closing the connection would lose it.
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

    /// When the connection is to be closed if nothing changes until then; negative infinity means at once.
    fn close_deadline(&self, partial_since: Option<Millis>) -> Millis {
        let activity = &self.permit.activity;
        let idle_since = activity.idle_since();
        let is_idle = idle_since.is_finite();
        if activity.is_close_requested() && is_idle {
            return Millis::NEG_INFINITY;
        }
        match partial_since {
            Some(first_byte_at) if activity.has_been_answered() || !is_idle => {
                first_byte_at + MESSAGE_TIMEOUT
            }
            None if activity.has_been_answered() => idle_since + IDLE_TIMEOUT,
            // Infinite while the first call is open.
            _ => idle_since.max(activity.accepted_at + MESSAGE_TIMEOUT),
        }
    }
}
