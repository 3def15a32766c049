//! The received bytes of one client connection, and the memory that they hold.

use ironstair::Millis;
use ironstair_protocol::message_decoder::MessageDecoder;
use ironstair_runtime::receive_memory::{ReceiveMemory, ReceiveShare};
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;
use std::rc::Rc;

/// Most bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;

/// The received bytes of one connection.
pub(super) struct Inbound {
    pub(super) decoder: MessageDecoder,
    pub(super) memory: ReceiveShare,
    /// When the first byte of an incomplete message arrived; `None` between two messages.
    pub(super) incomplete_since: Option<Millis>,
}

impl Inbound {
    pub(super) fn new(memory: &Rc<ReceiveMemory>) -> Self {
        Inbound {
            decoder: MessageDecoder::default(),
            memory: memory.share(),
            incomplete_since: None,
        }
    }

    /// Reads once, without waiting. Returns the number of bytes, which is 0 at the end of the stream; `None` if nothing
    /// has arrived.
    ///
    /// # Errors
    /// The connection has failed.
    pub(super) fn read(&mut self, mut stream: &TcpStream) -> io::Result<Option<usize>> {
        let mut received = [0; READ_BYTES];
        match stream.read(&mut received) {
            Ok(length) => {
                self.decoder.push(&received[..length]);
                Ok(Some(length))
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
            Err(error) if error.kind() == ErrorKind::Interrupted => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Records the state after all complete messages were handled. `is_new` means that the incomplete message, if there
    /// is one, has begun since the last time.
    pub(super) fn settle(&mut self, now: Millis, is_new: bool) {
        let since = self.incomplete_since.filter(|_| !is_new).unwrap_or(now);
        self.incomplete_since = self.decoder.is_incomplete().then_some(since);
        let held_bytes = self.decoder.trim();
        self.memory.set(held_bytes, self.decoder.is_length_known());
    }

    /// Skips the rest of the incomplete message, which releases its memory; false if the message's length is unknown.
    pub(super) fn skip_message(&mut self) -> bool {
        let is_skipped = self.decoder.is_skipping() || self.decoder.skip_message();
        self.memory
            .set(self.decoder.trim(), self.decoder.is_length_known());
        is_skipped
    }
}
