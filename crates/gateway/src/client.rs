//! The actor of a client connection. Its reader and its writer run independently of each other.

mod call;
mod close;
mod idle_timer;
mod reader;
mod writer;

use crate::connection_limiter::ConnectionPermit;
use async_channel::Sender;
use async_io::Async;
use futures_lite::future::or;
use ironstair::Millis;
use ironstair_protocol::rpc::{CallError, ErrorCode, ErrorResponse};
use ironstair_runtime::wait::{sleep_until, wait_for};
use ironstair_runtime::{DispatcherMessage, Reply, RequestId, Shared};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::rc::Rc;

/// Most open calls on one connection; the platform's clients keep to it.
const MAX_OPEN_CALLS: usize = 32;
/// Replies that wait to be written. A client that reads none of so many loses its connection.
const REPLY_QUEUE: usize = 2 * MAX_OPEN_CALLS;
/// Protocol errors until a connection is closed: a flood of them would delay the replies to other clients.
const MAX_PROTOCOL_ERRORS: u32 = 16;
/// How long after the client has closed its sending half an attempt may still start, in ms. The client may have closed
/// the whole connection, which looks the same until something is written to it.
const START_AFTER_HALF_CLOSE: Millis = 50.0;

/// The message of a response to a request that was rejected.
const REJECTED: &str = "turned back";
/// The message of a response to a request that has failed.
const FAILED: &str = "scrapped";
/// The message of a response to a call under the id of an open request.
const DUPLICATE_ID: &str = "id in use";
/// The message of a response to a message that is not a usable call.
const PROTOCOL_ERROR: &str = "not understood";

struct Client {
    shared: Rc<Shared>,
    permit: ConnectionPermit,
    /// The queue of the writer. The dispatcher also recognizes the client by it.
    replies: Sender<Reply>,
    /// Calls without a reply, by their numbers.
    open_calls: RefCell<BTreeMap<u64, OpenCall>>,
    /// Whether a reply is being written.
    is_writing: Cell<bool>,
    protocol_errors: Cell<u32>,
    /// When the end of the client's sending half was seen behind bytes that are not read yet.
    half_closed_at: Cell<Option<Millis>>,
}

/// A call without a reply.
#[derive(Clone)]
struct OpenCall {
    id: RequestId,
    /// Cleared when the client no longer waits. The owners of its attempts share the flag, which takes effect before
    /// any queued message.
    client_is_waiting: Rc<Cell<bool>>,
}

/// Serves one client until either side ends the connection.
pub(crate) async fn serve(stream: Async<TcpStream>, shared: Rc<Shared>, permit: ConnectionPermit) {
    // Without it a short response would wait for the acknowledgement of the one before.
    let _ = stream.get_ref().set_nodelay(true);
    let (replies, reply_queue) = async_channel::bounded(REPLY_QUEUE);
    let client = Client {
        shared,
        permit,
        replies,
        open_calls: RefCell::default(),
        is_writing: Cell::new(false),
        protocol_errors: Cell::new(0),
        half_closed_at: Cell::new(None),
    };
    let read = async {
        client.read_until_end(&stream).await;
        Ok(())
    };
    // An error of the writer ends the connection as an orderly end does.
    let _ = or(read, client.write(&stream, reply_queue)).await;
    client.cancel_open_calls().await;
    close::close(stream, client.permit, &client.shared).await;
}

impl Client {
    /// Cancels every open request: the connection is gone, or a reply can no longer be matched with its call.
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

    /// The client has closed the connection, or at least its sending half (a half-close looks the same until we write).
    /// Attempts in flight may still be answered; after a short time no new attempt starts.
    async fn on_half_close(&self) {
        let clock = &self.shared.clock;
        let start_deadline = clock.now() + START_AFTER_HALF_CLOSE;
        or(self.drained(), sleep_until(clock, Some(start_deadline))).await;
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
    }

    async fn send_to_dispatcher(&self, message: DispatcherMessage) {
        // Fails only once the dispatcher has ended, and every request with it.
        let _ = self.shared.dispatcher.send(message).await;
    }

    /// Waits until no call is open and every reply is written.
    async fn drained(&self) {
        let is_drained = || {
            self.open_calls.borrow().is_empty() && self.replies.is_empty() && !self.is_writing.get()
        };
        let changed = &self.permit.activity.changed;
        wait_for(changed, || is_drained().then_some(())).await;
    }

    /// Removes a call, if the reply belongs to one, and records the activity for the idle timer and the limiter.
    fn finish_call(&self, call: Option<u64>, answered: bool) {
        let mut open_calls = self.open_calls.borrow_mut();
        if let Some(call) = call {
            open_calls.remove(&call);
        }
        let now = self.shared.clock.now();
        let has_open_calls = !open_calls.is_empty();
        self.permit.call_finished(now, answered, has_open_calls);
    }

    /// Queues a message that is encoded here, without the dispatcher.
    fn reply_encoded(&self, encode: impl FnOnce(&mut Vec<u8>)) {
        let mut message = Vec::new();
        encode(&mut message);
        if self.replies.try_send(Reply::Encoded(message)).is_err() {
            // The client reads no replies: the writer ends once it has no more to write.
            self.replies.close();
        }
    }

    /// Rejects a call because no buffer is left for it, or because it would start too late.
    fn reply_overloaded(&self, call_id: Option<u64>) {
        let response = ErrorResponse {
            call_id,
            code: ErrorCode::Rejected,
            message: REJECTED,
            retry_after_ms: 0.0,
        };
        self.reply_encoded(|output| response.write(output));
    }

    /// Answers a message that is not a usable call, and counts it.
    fn protocol_error(&self, error: CallError) {
        self.protocol_errors.set(self.protocol_errors.get() + 1);
        let response = ErrorResponse {
            call_id: error.call_id,
            code: error.code,
            message: PROTOCOL_ERROR,
            retry_after_ms: 0.0,
        };
        self.reply_encoded(|output| response.write(output));
    }
}
