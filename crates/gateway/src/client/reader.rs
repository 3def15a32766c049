//! Reads a client's messages and sends the resulting requests and cancellations to the dispatcher.

use super::inbound::Inbound;
use super::{Client, MAX_OPEN_CALLS};
use async_io::Async;
use futures_lite::future::{or, yield_now};
use ironstair::Millis;
use ironstair_protocol::message_decoder::SkippedCall;
use ironstair_protocol::rpc::{self, CallError, ErrorCode, FrameError};
use ironstair_runtime::wait::{sleep_until, wait_for};
use ironstair_runtime::DispatcherMessage;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::future::{pending, Future};
use std::io;
use std::net::TcpStream;

/// Interval of the checks for a hang-up by the client, in ms, while nothing is read from it.
const HANGUP_CHECK_INTERVAL: Millis = 20.0;

/// Why reading ended before the client closed its sending half.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    #[error("the connection was idle or asked to close")]
    Idle,
    #[error("a message was not complete within the time limit")]
    Stalled,
    #[error("the client has hung up")]
    HungUp,
    #[error("the connection had to end, and no call is open on it any more")]
    Ended,
    #[error("the dispatcher has ended")]
    DispatcherEnded,
    #[error("malformed frame header")]
    Frame(#[from] FrameError),
    #[error("reading from the connection failed")]
    Io(#[from] io::Error),
}

/// What complete messages contained.
#[derive(Default)]
struct MessageBatch {
    message_count: usize,
    requests: Vec<DispatcherMessage>,
    /// No complete message is left.
    is_complete: bool,
    /// The messages after the last one cannot be read.
    error: Option<FrameError>,
}

/// What ends the wait for further bytes.
enum Wake {
    Readable,
    ReleaseRequested,
}

impl Client {
    /// Reads until the client closes its sending half, or the connection is to be closed. Open calls get their replies
    /// first, unless the client is gone.
    pub(super) async fn read_until_end(&self, stream: &Async<TcpStream>) {
        let is_client_gone = match self.read(stream).await {
            Ok(()) | Err(ReadError::Idle | ReadError::Ended) => return,
            Err(ReadError::HungUp | ReadError::Io(_) | ReadError::DispatcherEnded) => true,
            Err(ReadError::Stalled | ReadError::Frame(_)) => {
                // The start of the next message is unknown, so nothing more is read.
                let drained = self.unless_hung_up(stream, self.until_drained());
                drained.await.is_err()
            }
        };
        if is_client_gone {
            self.cancel_open_calls().await;
        }
    }

    async fn read(&self, stream: &Async<TcpStream>) -> Result<(), ReadError> {
        let mut inbound = Inbound::new(&self.shared.receive_memory);
        loop {
            let length = self.receive(stream, &mut inbound).await?;
            if length == 0 {
                self.note_half_close();
                self.until_drained().await;
                return Ok(());
            }
            self.check_hangup(stream)?;
            self.handle_messages(stream, &mut inbound).await?;
            if inbound.may_have_more {
                // A client that sends without a pause must not keep the other tasks from running.
                yield_now().await;
            }
        }
    }

    /// Waits for bytes and reads them; returns 0 at the end of the stream.
    async fn receive(
        &self,
        stream: &Async<TcpStream>,
        inbound: &mut Inbound,
    ) -> Result<usize, ReadError> {
        loop {
            if inbound.may_have_more {
                if let Some(length) = inbound.read(stream.get_ref())? {
                    return Ok(length);
                }
            }
            match self.wait_for_bytes(stream, inbound).await {
                Ok(Wake::Readable) => inbound.may_have_more = true,
                Ok(Wake::ReleaseRequested) => {
                    inbound.skip_message();
                    self.reject_skipped_call(inbound);
                }
                Err(ReadError::Stalled) => self.end_after_stall(inbound)?,
                Err(error) => return Err(error),
            }
        }
    }

    async fn wait_for_bytes(
        &self,
        stream: &Async<TcpStream>,
        inbound: &Inbound,
    ) -> Result<Wake, ReadError> {
        let readable = async {
            stream.readable().await?;
            Ok(Wake::Readable)
        };
        let release_requested = async {
            inbound.memory.until_release_requested().await;
            Ok(Wake::ReleaseRequested)
        };
        let close_due = async {
            match self.is_ending.get() {
                true => {
                    self.until_drained().await;
                    Err(ReadError::Ended)
                }
                false => Err(self
                    .until_idle_or_stalled(stream, inbound.incomplete_since)
                    .await),
            }
        };
        or(readable, or(release_requested, close_due)).await
    }

    /// Refuses a message that did not arrive in time. The connection ends once its open calls have their replies; until
    /// then the rest of the message is skipped.
    ///
    /// # Errors
    /// Nothing more can be read, because the length of the message is unknown.
    fn end_after_stall(&self, inbound: &mut Inbound) -> Result<(), ReadError> {
        self.is_ending.set(true);
        let was_refused = inbound.decoder.is_skipping();
        let is_skipped = inbound.skip_message();
        if !was_refused && !self.reject_skipped_call(inbound) {
            self.protocol_error(CallError {
                call_id: None,
                code: ErrorCode::ParseError,
            });
        }
        match is_skipped {
            true => Ok(()),
            false => Err(ReadError::Stalled),
        }
    }

    /// Handles all messages that are complete.
    async fn handle_messages(
        &self,
        stream: &Async<TcpStream>,
        inbound: &mut Inbound,
    ) -> Result<(), ReadError> {
        let mut has_handled = false;
        self.reject_skipped_call(inbound);
        loop {
            let batch = self.read_batch(inbound);
            has_handled |= batch.message_count > 0;
            for request in batch.requests {
                self.send_request(stream, request).await?;
                // Clients take turns request by request, however many one of them has sent at once.
                yield_now().await;
            }
            if let Some(error) = batch.error {
                return Err(error.into());
            }
            self.until_replies_are_read(stream).await?;
            if self.has_ended() {
                self.unless_hung_up(stream, self.until_drained()).await?;
                return Err(ReadError::Ended);
            }
            if batch.is_complete {
                inbound.settle(self.shared.clock.now(), has_handled);
                return Ok(());
            }
        }
    }

    /// Reads the messages that are complete, until as many replies wait as may be queued. All of them are read before
    /// the first request is sent on: a cancellation that has arrived with its request keeps it from being sent.
    fn read_batch(&self, inbound: &mut Inbound) -> MessageBatch {
        let mut batch = MessageBatch::default();
        while self.replies.len() < MAX_OPEN_CALLS && !self.has_ended() {
            match self.next_message(inbound) {
                Ok(Some(message)) => {
                    batch.message_count += 1;
                    batch.requests.extend(self.on_message(message));
                }
                Ok(None) => {
                    batch.is_complete = true;
                    break;
                }
                Err(error) => {
                    batch.error = Some(error);
                    break;
                }
            }
        }
        batch
    }

    /// Whether the connection has to end, and no call is open on it any more.
    fn has_ended(&self) -> bool {
        self.is_ending.get() && self.open_calls.borrow().is_empty()
    }

    fn next_message<'a>(&self, inbound: &'a mut Inbound) -> Result<Option<&'a [u8]>, FrameError> {
        let message = inbound.decoder.next_message();
        if message.is_err() {
            self.protocol_error(CallError {
                call_id: None,
                code: ErrorCode::ParseError,
            });
        }
        message
    }

    /// Handles a complete message. Returns the message for the dispatcher, if there is one.
    fn on_message(&self, message: &[u8]) -> Option<DispatcherMessage> {
        let received_at = self.shared.clock.now();
        let handled = rpc::read_call(message).and_then(|call| self.on_call(received_at, &call));
        handled.unwrap_or_else(|error| {
            self.protocol_error(error);
            None
        })
    }

    /// Rejects the call whose message is skipped, once its id is known; returns whether it did.
    fn reject_skipped_call(&self, inbound: &mut Inbound) -> bool {
        match inbound.decoder.take_skipped_call() {
            Some(SkippedCall::Id(call_id)) => self.reply_overloaded(Some(call_id)),
            Some(SkippedCall::Unknown) => self.reply_overloaded(None),
            None => return false,
        }
        true
    }

    async fn send_request(
        &self,
        stream: &Async<TcpStream>,
        request: DispatcherMessage,
    ) -> Result<(), ReadError> {
        if let DispatcherMessage::NewRequest(new) = &request {
            let is_open = self.open_calls.borrow().contains_key(&new.call_id);
            // The client has cancelled the call since.
            if !new.client_is_waiting.get() && !is_open {
                return Ok(());
            }
        }
        let sent = self.unless_hung_up(stream, self.shared.dispatcher.send(request));
        sent.await?.map_err(|_| ReadError::DispatcherEnded)
    }

    /// Waits until the queue of replies has room for the replies to all open calls.
    async fn until_replies_are_read(&self, stream: &Async<TcpStream>) -> Result<(), ReadError> {
        let has_room = || (self.replies.len() < MAX_OPEN_CALLS).then_some(());
        let changed = &self.permit.activity.changed;
        self.unless_hung_up(stream, wait_for(changed, has_room))
            .await
    }

    /// Runs `work`, which must not depend on further bytes of the client.
    ///
    /// # Errors
    /// The client has closed the whole connection before `work` completed.
    async fn unless_hung_up<T>(
        &self,
        stream: &Async<TcpStream>,
        work: impl Future<Output = T>,
    ) -> Result<T, ReadError> {
        let work = async { Ok(work.await) };
        or(work, async { Err(self.until_hung_up(stream).await) }).await
    }

    /// Detects a hang-up by the client while nothing is read, even if earlier bytes are still unread. Completes when
    /// the client has closed the whole connection; never completes after a half-close.
    async fn until_hung_up(&self, stream: &Async<TcpStream>) -> ReadError {
        let clock = &self.shared.clock;
        loop {
            let next_check_at = clock.now() + HANGUP_CHECK_INTERVAL;
            sleep_until(clock, Some(next_check_at)).await;
            if let Err(error) = self.check_hangup(stream) {
                return error;
            }
            if self.half_closed_at.get().is_some() {
                return pending().await;
            }
        }
    }

    /// Notes a half-close, even if earlier bytes are still unread.
    ///
    /// # Errors
    /// The client has closed the whole connection.
    fn check_hangup(&self, stream: &Async<TcpStream>) -> Result<(), ReadError> {
        let events = hangup_events(stream.get_ref());
        if events.intersects(PollFlags::ERR | PollFlags::HUP) {
            return Err(ReadError::HungUp);
        }
        if !events.is_empty() {
            self.note_half_close();
        }
        Ok(())
    }
}

/// The socket's poll events if the peer has closed the connection or its sending half; empty otherwise.
fn hangup_events(stream: &TcpStream) -> PollFlags {
    let mut descriptors = [PollFd::new(stream, PollFlags::RDHUP)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    match poll(&mut descriptors, Some(&no_wait)) {
        Ok(ready) if ready > 0 => descriptors[0].revents(),
        _ => PollFlags::empty(),
    }
}
