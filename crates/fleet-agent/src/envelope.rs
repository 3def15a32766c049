//! The envelope of every message between gateways: who sends it, for which fleet, and how its body is written.

use crate::proto::Envelope;

/// The format of bodies that this version writes and understands.
pub const FORMAT_VERSION: u32 = 1;
/// The longest message in bytes: the whole state of a log with hundreds of members is below a megabyte.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Who this gateway is among its fleet.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The fleet's name.
    pub fleet: String,
    /// This gateway's name in it.
    pub name: String,
    /// Which of the processes of that name this is: a random number drawn at its start.
    pub start: u64,
}

/// Why a message of another gateway is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EnvelopeError {
    /// The sender is of a version that writes bodies in another way.
    #[error("{sender} speaks form {theirs}, {receiver} here knows {ours}")]
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
    #[error("{sender} is of fleet {theirs:?}, {receiver} here of {ours:?}")]
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
    #[error("another process is called {name} too")]
    NameInUse {
        /// The name of both.
        name: String,
    },
}

impl Identity {
    /// A body in an envelope with this gateway as its sender.
    pub fn envelope(&self, body: Vec<u8>) -> Envelope {
        Envelope {
            format_version: FORMAT_VERSION,
            fleet: self.fleet.clone(),
            from: self.name.clone(),
            start: self.start,
            body,
        }
    }

    /// Checks that a message is meant for this gateway and can be understood here.
    ///
    /// # Errors
    /// The message is of another format or fleet, or its sender uses this gateway's name.
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
