//! The snapshot and its encoding: a magic number, the format version, the CRC-32C of the body, and the body.

use ironstair::Millis;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const MAGIC: [u8; 4] = *b"irst";
/// The format version of the body.
const FORM: u32 = 1;
/// The length of magic number, format version and checksum in bytes.
const HEADER_BYTES: usize = 12;
/// Size limit of a snapshot in bytes; a larger file was not written by a gateway, and is not read into memory.
pub const MAX_BYTES: u64 = 64 << 20;

/// One engine of the endpoint list. Zones and machine types are stored by name: their indices may differ in the next
/// process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The name, unique in the list.
    pub name: String,
    /// The address and port.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The name of its machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Its deduplication domain.
    #[serde(rename = "marks")]
    pub dedup_domain: u16,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Its latest start; Unix time in ms.
    #[serde(rename = "since")]
    pub started_at: Millis,
}

/// The state that a process persists for the next one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The name of the gateway.
    pub gateway: String,
    /// When it was written; Unix time in ms.
    pub written_at: Millis,
    /// When the endpoint list was last heard; Unix time in ms.
    pub heard_at: Millis,
    /// The serial number of the list's last change.
    pub serial: u32,
    /// Whether the process shut down with no request in flight.
    pub ended_cleanly: bool,
    /// The endpoint list.
    pub engines: Vec<Engine>,
}

/// Why a snapshot can't be written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct EncodeError(#[from] postcard::Error);

/// Why bytes can't be decoded as a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes end before the body.
    #[error("the file is truncated")]
    Truncated,
    /// The magic number is another.
    #[error("it is no file of a gateway's")]
    NotASnapshot,
    /// The format version is another.
    #[error("its form {form} is of another version than {FORM}")]
    Form {
        /// The format version found.
        form: u32,
    },
    /// The checksum of the body differs.
    #[error("it is not what was written")]
    Checksum,
    /// The body can't be deserialized.
    #[error("it can't be read: {0}")]
    Body(#[from] postcard::Error),
}

/// Encodes a snapshot.
///
/// # Errors
/// Fails if the snapshot can't be serialized.
pub fn encode(snapshot: &Snapshot) -> Result<Vec<u8>, EncodeError> {
    let body = postcard::to_allocvec(snapshot)?;
    let checksum = crc32c::crc32c(&body).to_le_bytes();
    Ok([&MAGIC[..], &FORM.to_le_bytes(), &checksum, &body].concat())
}

/// Decodes a snapshot.
///
/// # Errors
/// Fails if the bytes are damaged or have another format version.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, DecodeError> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(DecodeError::Truncated);
    };
    if header[..4] != MAGIC {
        return Err(DecodeError::NotASnapshot);
    }
    let number = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    let form = number(4);
    if form != FORM {
        return Err(DecodeError::Form { form });
    }
    let checksum = number(8);
    if checksum != crc32c::crc32c(body) {
        return Err(DecodeError::Checksum);
    }
    Ok(postcard::from_bytes(body)?)
}
