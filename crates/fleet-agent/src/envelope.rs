//! The envelope of every message between gateways: the sender, its fleet, and the format of the body.

use crate::proto::Envelope;

/// The version of the body format that this program writes and supports.
pub const FORMAT_VERSION: u32 = 1;
/// The largest message in bytes. The whole state of a log with hundreds of members is smaller than a megabyte.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// The identity of this gateway in its fleet.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The fleet's name.
    pub fleet: String,
    /// This gateway's name in it.
    pub name: String,
    /// A random number that distinguishes this process from others of that name.
    pub start: u64,
}

/// Why a message from another gateway is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EnvelopeError {
    /// The sender's version writes bodies in another format.
    #[error("{sender} sends message format {theirs}, {receiver} supports only format {ours}")]
    UnknownFormat {
        /// The sending gateway.
        sender: String,
        /// The sender's format version.
        theirs: u32,
        /// This gateway.
        receiver: String,
        /// This gateway's format version.
        ours: u32,
    },
    /// The sender belongs to another fleet.
    #[error("{sender} belongs to fleet {theirs:?}, {receiver} to fleet {ours:?}")]
    OtherFleet {
        /// The sending gateway.
        sender: String,
        /// The sender's fleet.
        theirs: String,
        /// This gateway.
        receiver: String,
        /// This gateway's fleet.
        ours: String,
    },
    /// The sender uses this gateway's name.
    #[error("another process is already using the gateway name {name}")]
    NameInUse {
        /// The name of both.
        name: String,
    },
}

impl Identity {
    /// Puts a body into an envelope with this gateway as the sender.
    pub fn envelope(&self, body: Vec<u8>) -> Envelope {
        Envelope {
            format_version: FORMAT_VERSION,
            fleet: self.fleet.clone(),
            from: self.name.clone(),
            start: self.start,
            body,
        }
    }

    /// Checks that a message comes from another gateway of this fleet, in a known format.
    ///
    /// # Errors
    /// Fails if the message has another format or fleet, or its sender uses this gateway's name.
    pub fn validate(&self, envelope: &Envelope) -> Result<(), EnvelopeError> {
        if envelope.format_version != FORMAT_VERSION {
            return Err(EnvelopeError::UnknownFormat {
                sender: envelope.from.clone(),
                theirs: envelope.format_version,
                receiver: self.name.clone(),
                ours: FORMAT_VERSION,
            });
        }
        if envelope.fleet != self.fleet {
            return Err(EnvelopeError::OtherFleet {
                sender: envelope.from.clone(),
                theirs: envelope.fleet.clone(),
                receiver: self.name.clone(),
                ours: self.fleet.clone(),
            });
        }
        if envelope.from == self.name && envelope.start != self.start {
            return Err(EnvelopeError::NameInUse {
                name: self.name.clone(),
            });
        }
        Ok(())
    }
}
