//! The actor of a client connection, whose reader and writer run concurrently.

mod call;
mod close;
mod idle_timer;
mod inbound;
mod reader;
mod writer;

use crate::connection_limiter::ConnectionPermit;
use async_channel::Sender;
use async_io::Async;
use event_listener::Event;
use futures_lite::future::or;
use ironstair::Millis;
use ironstair_protocol::rpc::{CallError, ErrorCode, ErrorResponse};
use ironstair_runtime::wait::{sleep_until, wait_for};
use ironstair_runtime::{DispatcherMessage, Reply, RequestId, Shared};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::pending;
use std::net::TcpStream;
use std::rc::Rc;

/// Limit on open calls per connection, which the platform's clients observe.
const MAX_OPEN_CALLS: usize = 32;
/// Capacity of the queue of replies to write. Nothing more is read while it has no room for the replies to all open
/// calls.
const REPLY_QUEUE_CAPACITY: usize = 2 * MAX_OPEN_CALLS;
/// Number of protocol errors after which a connection accepts no further requests, and ends once its open calls have
/// their replies: a flood of errors would delay the replies to other clients.
const MAX_PROTOCOL_ERRORS: u32 = 16;
/// How long after a half-close by the client an attempt may still start, in ms. The client may have closed the whole
/// connection, which looks the same until something is written to it.
const START_AFTER_HALF_CLOSE: Millis = 50.0;

/// After this time a client may repeat a call that was rejected for lack of memory, in ms.
const OVERLOAD_RETRY_AFTER: Millis = 100.0;

/// The error message for a request that was rejected.
const REJECTED: &str = "turned back";
/// The error message for a request that failed.
const FAILED: &str = "scrapped";
/// The error message for a call with the id of an open request.
const DUPLICATE_ID: &str = "id in use";
/// The error message for a message that is not a valid call.
const PROTOCOL_ERROR: &str = "not understood";

struct Client {
    shared: Rc<Shared>,
    permit: ConnectionPermit,
    /// The writer's queue, by which the dispatcher also identifies the client.
    replies: Sender<Reply>,
    /// Calls without a reply, by their numbers.
    open_calls: RefCell<BTreeMap<u64, OpenCall>>,
    /// Whether a reply is being written.
    is_writing: Cell<bool>,
    protocol_errors: Cell<u32>,
    /// The connection accepts no further requests, and ends once its open calls have their replies.
    is_ending: Cell<bool>,
    /// When a half-close by the client was detected; earlier bytes of the client may still be unread.
    half_closed_at: Cell<Option<Millis>>,
    /// Notified when a half-close is detected.
    half_closed: Event,
}

/// A call without a reply.
#[derive(Clone)]
struct OpenCall {
    id: RequestId,
    /// Cleared when the client no longer waits. The call's attempts share the flag, so that clearing it takes effect
    /// before any queued message.
    client_is_waiting: Rc<Cell<bool>>,
}

/// Serves one client until either side ends the connection.
pub(crate) async fn serve(stream: Async<TcpStream>, shared: Rc<Shared>, permit: ConnectionPermit) {
    // Nagle's algorithm would hold a short response back until the previous one is acknowledged.
    let _ = stream.get_ref().set_nodelay(true);
    let (replies, reply_queue) = async_channel::bounded(REPLY_QUEUE_CAPACITY);
    let client = Client {
        shared,
        permit,
        replies,
        open_calls: RefCell::default(),
        is_writing: Cell::new(false),
        protocol_errors: Cell::new(0),
        is_ending: Cell::new(false),
        half_closed_at: Cell::new(None),
        half_closed: Event::new(),
    };
    let read = async {
        client.read_until_end(&stream).await;
        Ok(())
    };
    let write = client.write(&stream, reply_queue);
    let stop_attempts = async { match client.stop_attempts_after_half_close().await {} };
    // A write error and an orderly end are handled alike.
    let _ = or(read, or(write, stop_attempts)).await;
    client.cancel_open_calls().await;
    close::close(stream, client.permit).await;
}

impl Client {
    /// Cancels every open request, because the connection is gone or replies can no longer be matched to calls.
    async fn cancel_open_calls(&self) {
        let open_calls = self.open_calls.take();
        // All flags are cleared before the first await, so that no attempt starts in the meantime.
        for call in open_calls.values() {
            call.client_is_waiting.set(false);
        }
        for call in open_calls.into_values() {
            self.send_to_dispatcher(DispatcherMessage::Cancelled {
                id: call.id,
                reply_to: self.replies.clone(),
            })
            .await;
        }
    }

    /// Records that the client has closed its sending half, or the whole connection: both look the same until something
    /// is written.
    fn note_half_close(&self) {
        if self.half_closed_at.get().is_none() {
            self.half_closed_at.set(Some(self.shared.clock.now()));
            self.half_closed.notify(usize::MAX);
        }
    }

    /// Waits for a half-close. Attempts in flight may still be answered; after [`START_AFTER_HALF_CLOSE`] no new attempt
    /// starts, although earlier bytes of the client may still be unread.
    async fn stop_attempts_after_half_close(&self) -> Infallible {
        let half_closed_at = wait_for(&self.half_closed, || self.half_closed_at.get()).await;
        let start_deadline = half_closed_at + START_AFTER_HALF_CLOSE;
        sleep_until(&self.shared.clock, Some(start_deadline)).await;
        let open_calls: Vec<OpenCall> = self.open_calls.borrow().values().cloned().collect();
        for call in &open_calls {
            call.client_is_waiting.set(false);
        }
        for call in open_calls {
            self.send_to_dispatcher(DispatcherMessage::ClientClosed {
                id: call.id,
                reply_to: self.replies.clone(),
            })
            .await;
        }
        pending().await
    }

    async fn send_to_dispatcher(&self, message: DispatcherMessage) {
        // Fails only once the dispatcher has ended, and every request with it.
        let _ = self.shared.dispatcher.send(message).await;
    }

    /// Waits until no call is open and every reply is written.
    async fn until_drained(&self) {
        let is_drained = || {
            self.open_calls.borrow().is_empty() && self.replies.is_empty() && !self.is_writing.get()
        };
        let changed = &self.permit.activity.changed;
        wait_for(changed, || is_drained().then_some(())).await;
    }

    /// Removes an open call, if `call` is one, and records the activity for the idle timer and the limiter.
    fn finish_call(&self, call: Option<u64>, answered: bool) {
        let mut open_calls = self.open_calls.borrow_mut();
        if let Some(call) = call {
            open_calls.remove(&call);
        }
        let now = self.shared.clock.now();
        let has_open_calls = !open_calls.is_empty();
        self.permit.call_finished(now, answered, has_open_calls);
    }

    /// Queues a message that is encoded here rather than by the writer.
    fn reply_encoded(&self, encode: impl FnOnce(&mut Vec<u8>)) {
        let mut message = Vec::new();
        encode(&mut message);
        if self.replies.try_send(Reply::Encoded(message)).is_err() {
            // The queue is full because the client reads no replies. The writer ends after those already queued.
            self.replies.close();
        }
    }

    /// Rejects a call for which no memory is free, or that arrived too late to start.
    fn reply_overloaded(&self, call_id: Option<u64>) {
        let response = ErrorResponse {
            call_id,
            code: ErrorCode::Rejected,
            message: REJECTED,
            retry_after_ms: OVERLOAD_RETRY_AFTER,
        };
        self.reply_encoded(|output| response.write(output));
    }

    /// Answers a message that is not a valid call, and counts it.
    fn protocol_error(&self, error: CallError) {
        self.protocol_errors.set(self.protocol_errors.get() + 1);
        if self.protocol_errors.get() >= MAX_PROTOCOL_ERRORS {
            self.is_ending.set(true);
        }
        let response = ErrorResponse {
            call_id: error.call_id,
            code: error.code,
            message: PROTOCOL_ERROR,
            retry_after_ms: 0.0,
        };
        self.reply_encoded(|output| response.write(output));
    }
}
