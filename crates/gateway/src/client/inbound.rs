//! The received bytes of one client connection, and the memory that they hold.

use ironstair::Millis;
use ironstair_protocol::message_decoder::MessageDecoder;
use ironstair_runtime::receive_memory::{ReceiveMemory, ReceiveShare};
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;
use std::rc::Rc;

/// Most bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;
/// Most reads of a long message before other clients have their turn. With fewer, the gateway would be so far behind a
/// client that sends long messages that it would learn of the client's close, which comes after them, too late.
const MAX_READS: usize = 8;

/// The received bytes of one connection.
pub(super) struct Inbound {
    pub(super) decoder: MessageDecoder,
    pub(super) memory: ReceiveShare,
    /// When the first byte of an incomplete message arrived; `None` between two messages.
    pub(super) incomplete_since: Option<Millis>,
    /// Whether more may have arrived than was read.
    pub(super) may_have_more: bool,
}

impl Inbound {
    pub(super) fn new(memory: &Rc<ReceiveMemory>) -> Self {
        Inbound {
            decoder: MessageDecoder::default(),
            memory: memory.share(),
            incomplete_since: None,
            may_have_more: true,
        }
    }

    /// Reads without waiting: once, or several times while a long message arrives. Returns the number of bytes, which is
    /// 0 at the end of the stream; `None` if nothing has arrived.
    ///
    /// # Errors
    /// The connection has failed.
    pub(super) fn read(&mut self, stream: &TcpStream) -> io::Result<Option<usize>> {
        let mut total = None;
        for _ in 0..MAX_READS {
            let read = self.read_once(stream)?;
            self.may_have_more = read == Some(READ_BYTES);
            match read {
                // The end is returned by the next call.
                None | Some(0) if total.is_some() => break,
                None => break,
                Some(length) => {
                    total = Some(total.unwrap_or(0) + length);
                    if !self.may_have_more || !self.decoder.is_message_incomplete() {
                        break;
                    }
                }
            }
        }
        Ok(total)
    }

    fn read_once(&mut self, mut stream: &TcpStream) -> io::Result<Option<usize>> {
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
