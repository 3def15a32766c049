//! Splits a client's byte stream into messages. Memory grows with the bytes that have arrived, not with the length that
//! a frame header states. The rest of a message can be skipped, which needs no memory.

use crate::call_id::CallIdScanner;
use crate::rpc::{frame_header, FrameError, FrameHeader};

/// Splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct MessageDecoder {
    /// The bytes that have arrived and are neither skipped nor dropped.
    bytes: Vec<u8>,
    /// The number of bytes at the front whose messages were returned.
    consumed: usize,
    skipped: Option<SkippedMessage>,
    /// The call of a skipped message that was not returned yet.
    skipped_call: Option<SkippedCall>,
}

/// A message whose remaining bytes are dropped as they arrive.
#[derive(Debug)]
struct SkippedMessage {
    missing: usize,
    scanner: CallIdScanner,
    is_reported: bool,
}

impl SkippedMessage {
    /// Reads bytes that are dropped. Returns the call if its id becomes known with them.
    fn read(&mut self, dropped: &[u8]) -> Option<SkippedCall> {
        self.scanner.read(dropped);
        let call_id = self.scanner.call_id().filter(|_| !self.is_reported)?;
        self.is_reported = true;
        Some(SkippedCall::Id(call_id))
    }
}

/// The call of a skipped message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkippedCall {
    /// The message has this `id`.
    Id(u64),
    /// The message has ended, and has no `id` that could be read.
    Unknown,
}

impl MessageDecoder {
    /// Adds bytes that have arrived.
    pub fn push(&mut self, received: &[u8]) {
        let rest = self.skip(received);
        if rest.is_empty() {
            return;
        }
        self.drop_consumed();
        self.reserve(rest.len());
        self.bytes.extend_from_slice(rest);
    }

    /// Returns the next complete message.
    ///
    /// # Errors
    /// A frame header is malformed. The start of the next message is then unknown.
    pub fn next_message(&mut self) -> Result<Option<&[u8]>, FrameError> {
        let Some(header) = frame_header(self.unread())? else {
            return Ok(None);
        };
        let start = self.consumed + header.header_bytes;
        let end = start + header.message_bytes;
        if end > self.bytes.len() {
            return Ok(None);
        }
        self.consumed = end;
        Ok(Some(&self.bytes[start..end]))
    }

    /// Skips the rest of the message that is incomplete, and releases its memory. Returns false, without effect, if the
    /// message's length is not known yet.
    pub fn skip_message(&mut self) -> bool {
        let Ok(Some(header)) = frame_header(self.unread()) else {
            return false;
        };
        let received = &self.unread()[header.header_bytes..];
        let Some(missing) = header.message_bytes.checked_sub(received.len()) else {
            return false;
        };
        let mut skipped = SkippedMessage {
            missing,
            scanner: CallIdScanner::default(),
            is_reported: false,
        };
        self.skipped_call = skipped.read(received);
        self.skipped = Some(skipped);
        self.bytes = Vec::new();
        self.consumed = 0;
        true
    }

    /// The call of the message that is skipped, once it is known; each call is returned once.
    pub fn take_skipped_call(&mut self) -> Option<SkippedCall> {
        self.skipped_call.take()
    }

    /// Whether a message is being skipped.
    pub fn is_skipping(&self) -> bool {
        self.skipped.is_some()
    }

    /// Whether the length of the incomplete message is known, so that it can be skipped.
    pub fn is_length_known(&self) -> bool {
        matches!(frame_header(self.unread()), Ok(Some(_)))
    }

    /// Whether the rest of a message of known length is missing.
    pub fn is_message_incomplete(&self) -> bool {
        let unread = self.unread();
        let header = frame_header(unread).ok().flatten();
        let is_missing =
            |header: FrameHeader| header.header_bytes + header.message_bytes > unread.len();
        self.is_skipping() || header.is_some_and(is_missing)
    }

    /// Whether part of a message has arrived, skipped ones included.
    pub fn is_incomplete(&self) -> bool {
        self.is_skipping() || !self.unread().is_empty()
    }

    /// The memory that is held, in bytes. Releases that of consumed messages.
    pub fn trim(&mut self) -> usize {
        if self.unread().is_empty() {
            self.bytes = Vec::new();
            self.consumed = 0;
        }
        self.bytes.capacity()
    }

    fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Drops the bytes of the skipped message and returns those after it.
    fn skip<'a>(&mut self, received: &'a [u8]) -> &'a [u8] {
        let Some(skipped) = &mut self.skipped else {
            return received;
        };
        let count = skipped.missing.min(received.len());
        let (dropped, rest) = received.split_at(count);
        skipped.missing -= count;
        let call = skipped.read(dropped);
        self.skipped_call = self.skipped_call.or(call);
        if skipped.missing == 0 {
            if !skipped.is_reported {
                self.skipped_call = Some(SkippedCall::Unknown);
            }
            self.skipped = None;
        }
        rest
    }

    fn drop_consumed(&mut self) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
    }

    /// Grows geometrically, but not beyond the end of the message.
    fn reserve(&mut self, additional: usize) {
        let needed = self.bytes.len() + additional;
        if needed <= self.bytes.capacity() {
            return;
        }
        let message_end = match frame_header(&self.bytes) {
            Ok(Some(header)) => header.header_bytes + header.message_bytes,
            _ => needed,
        };
        let capacity = (2 * self.bytes.len()).min(message_end).max(needed);
        self.bytes.reserve_exact(capacity - self.bytes.len());
    }
}
