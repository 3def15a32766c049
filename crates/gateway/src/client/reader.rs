//! Reads a client's messages and sends the resulting requests and cancellations to the dispatcher.

use super::close::LINGER_TIMEOUT;
use super::{Client, MAX_PROTOCOL_ERRORS};
use async_io::Async;
use futures_lite::future::or;
use futures_lite::AsyncReadExt;
use ironstair::Millis;
use ironstair_protocol::rpc::{self, CallError, ErrorCode, FrameError, FrameHeader};
use ironstair_runtime::pool::{Buffer, BufferChain, BUFFER_SIZE};
use ironstair_runtime::wait::{sleep_until, timeout};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::future::pending;
use std::io;
use std::net::TcpStream;

/// Interval of the checks for a hang-up by the client, in ms, while nothing is read because no buffer is free.
const BLOCKED_READ_INTERVAL: Millis = 20.0;

/// Why reading ended before the client closed its sending half.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    #[error("the connection was idle or asked to close")]
    Idle,
    #[error("a message was not complete within the time limit")]
    Stalled,
    #[error("the client has hung up")]
    HungUp,
    #[error("the connection ended within a message")]
    PartialMessage,
    #[error("no buffer is free for a long message")]
    NoBuffer,
    #[error("too many messages that are not valid calls")]
    TooManyProtocolErrors,
    #[error("the dispatcher has ended")]
    DispatcherEnded,
    #[error("malformed frame header")]
    Frame(#[from] FrameError),
    #[error("reading from the connection failed")]
    Io(#[from] io::Error),
}

/// The received part of an incomplete message.
struct PartialMessage {
    buffer: Buffer,
    /// When its first byte arrived.
    since: Millis,
}

impl Client {
    /// Reads until the client closes its sending half and has received its replies, or the connection is to be closed.
    pub(super) async fn read_until_end(&self, stream: &Async<TcpStream>) {
        match self.read(stream).await {
            Ok(()) | Err(ReadError::Idle) => {}
            Err(_) => {
                // After an error, the start of the next message or the call that a reply belongs to may be unknown.
                self.cancel_open_calls().await;
                let drained = async {
                    self.until_drained().await;
                    Ok(())
                };
                // A client that does not read its remaining replies within the timeout loses them.
                let _ = timeout(LINGER_TIMEOUT, drained).await;
            }
        }
    }

    async fn read(&self, mut stream: &Async<TcpStream>) -> Result<(), ReadError> {
        let mut incomplete: Option<PartialMessage> = None;
        loop {
            let mut partial = match incomplete.take() {
                Some(partial) => partial,
                None => self.wait_for_buffer(stream).await?,
            };
            let stalled = self.until_idle_or_stalled(stream, Some(partial.since));
            let space = partial.buffer.spare_capacity();
            let read = async { stream.read(space).await.map_err(ReadError::Io) };
            let length = or(read, async { Err(stalled.await) }).await?;
            if length == 0 {
                self.on_half_close().await;
                self.until_drained().await;
                return Ok(());
            }
            partial.buffer.advance(length);
            while self.handle_next_message(stream, &mut partial).await? {
                partial.since = self.shared.clock.now();
            }
            if !partial.buffer.bytes().is_empty() {
                incomplete = Some(partial);
            }
        }
    }

    /// Waits until there is something to read, and then for a buffer.
    async fn wait_for_buffer(
        &self,
        stream: &Async<TcpStream>,
    ) -> Result<PartialMessage, ReadError> {
        let readable = async { stream.readable().await.map_err(ReadError::Io) };
        let idle = async { Err(self.until_idle_or_stalled(stream, None).await) };
        or(readable, idle).await?;
        let acquired = async { Ok(self.shared.pool.acquire().await) };
        let hung_up = async { Err(self.hangup_while_blocked(stream).await) };
        let buffer = or(acquired, hung_up).await?;
        Ok(PartialMessage {
            buffer,
            since: self.shared.clock.now(),
        })
    }

    /// Detects a hang-up by the client while nothing is read, even if earlier bytes are still unread. Completes when
    /// the client has closed the whole connection; never completes after a half-close.
    async fn hangup_while_blocked(&self, stream: &Async<TcpStream>) -> ReadError {
        let clock = &self.shared.clock;
        loop {
            let next_check_at = clock.now() + BLOCKED_READ_INTERVAL;
            sleep_until(clock, Some(next_check_at)).await;
            let events = hangup_events(stream.get_ref());
            if events.intersects(PollFlags::ERR | PollFlags::HUP) {
                return ReadError::HungUp;
            }
            if !events.is_empty() {
                let seen_at = self.half_closed_at.get().unwrap_or_else(|| clock.now());
                self.half_closed_at.set(Some(seen_at));
                self.on_half_close().await;
                return pending().await;
            }
        }
    }

    /// Handles the next message, if it is complete in the buffer or longer than a buffer; returns whether it did.
    async fn handle_next_message(
        &self,
        stream: &Async<TcpStream>,
        partial: &mut PartialMessage,
    ) -> Result<bool, ReadError> {
        let Some(header) = self.frame_header(partial.buffer.bytes())? else {
            return Ok(false);
        };
        let message_start = header.header_bytes;
        let message_end = message_start + header.message_bytes;
        if message_end > BUFFER_SIZE {
            partial.buffer.consume(message_start);
            let stalled = self.until_idle_or_stalled(stream, Some(partial.since));
            let message = self.read_long_message(stream, &mut partial.buffer, header.message_bytes);
            let message = or(message, async { Err(stalled.await) }).await?;
            self.on_message(&message.joined()).await?;
            return Ok(true);
        }
        let Some(message) = partial.buffer.bytes().get(message_start..message_end) else {
            return Ok(false);
        };
        self.on_message(message).await?;
        partial.buffer.consume(message_end);
        Ok(true)
    }

    fn frame_header(&self, bytes: &[u8]) -> Result<Option<FrameHeader>, ReadError> {
        let header = rpc::frame_header(bytes);
        if header.is_err() {
            self.protocol_error(CallError {
                call_id: None,
                code: ErrorCode::ParseError,
            });
        }
        Ok(header?)
    }

    /// Reads a message that does not fit into one buffer. `first` holds its start.
    async fn read_long_message(
        &self,
        mut stream: &Async<TcpStream>,
        first: &mut Buffer,
        message_bytes: usize,
    ) -> Result<BufferChain, ReadError> {
        let mut chain = BufferChain::default();
        let mut missing = message_bytes;
        while missing > 0 {
            // Must not wait for a buffer: several long messages that each hold buffers could deadlock.
            let Some(mut part) = self.shared.pool.try_acquire_for_long_message() else {
                self.reply_overloaded(None);
                return Err(ReadError::NoBuffer);
            };
            let length = if first.bytes().is_empty() {
                let space = part.spare_capacity();
                let limit = missing.min(space.len());
                let length = stream.read(&mut space[..limit]).await?;
                part.advance(length);
                length
            } else {
                let limit = missing.min(first.bytes().len());
                let length = part.append(&first.bytes()[..limit]);
                first.consume(length);
                length
            };
            if length == 0 {
                return Err(ReadError::PartialMessage);
            }
            missing -= length;
            chain.0.push(part);
        }
        Ok(chain)
    }

    async fn on_message(&self, message: &[u8]) -> Result<(), ReadError> {
        let received_at = self.shared.clock.now();
        let handled = rpc::read_call(message).and_then(|call| self.on_call(received_at, &call));
        match handled {
            Ok(Some(message)) => {
                let sent = self.shared.dispatcher.send(message).await;
                sent.map_err(|_| ReadError::DispatcherEnded)
            }
            Ok(None) => Ok(()),
            Err(error) => {
                self.protocol_error(error);
                if self.protocol_errors.get() < MAX_PROTOCOL_ERRORS {
                    return Ok(());
                }
                Err(ReadError::TooManyProtocolErrors)
            }
        }
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
