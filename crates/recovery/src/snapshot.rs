//! The snapshot and its encoding: magic number, format version, CRC-32C of the body (4 bytes each, integers in little
//! endian), and the body.

use ironstair::Millis;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const MAGIC: [u8; 4] = *b"irst";
/// The format version that is written, and the only one that is read.
const FORMAT_VERSION: u32 = 1;
/// The size of the header in bytes: magic number, format version and checksum.
const HEADER_BYTES: usize = 12;
/// Size limit of a snapshot file in bytes. A larger file was not written by a gateway and must not be read into memory.
pub const MAX_BYTES: u64 = 64 << 20;

/// One engine of the endpoint list. Zones and machine types are stored by name, because their indices may differ in the
/// next process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The name, unique in the list.
    pub name: String,
    /// The address and port of the engine.
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
    /// The time of its latest start; Unix time in ms.
    #[serde(rename = "since")]
    pub started_at: Millis,
}

/// The state that a process persists for the next one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The name of the gateway.
    pub gateway: String,
    /// When the snapshot was written; Unix time in ms.
    pub written_at: Millis,
    /// When the endpoint list was last received; Unix time in ms.
    pub heard_at: Millis,
    /// The serial number of the list's last change.
    pub serial: u32,
    /// Whether the process shut down with no request in flight.
    pub ended_cleanly: bool,
    /// The endpoint list.
    pub engines: Vec<Engine>,
}

/// Why a snapshot can't be encoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct EncodeError(#[from] postcard::Error);

/// Why bytes can't be decoded as a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes end within the header.
    #[error("the snapshot is truncated: {bytes} bytes, at least {HEADER_BYTES} expected")]
    Truncated {
        /// The number of bytes.
        bytes: usize,
    },
    /// The bytes do not begin with the magic number.
    #[error(
        "the file is not a gateway snapshot: it begins with \"{}\", expected \"{}\"",
        found.escape_ascii(),
        MAGIC.escape_ascii()
    )]
    NotASnapshot {
        /// The bytes in place of the magic number.
        found: [u8; 4],
    },
    /// The format version is not the supported one.
    #[error(
        "snapshot format version {found} is not supported, this program reads {FORMAT_VERSION}"
    )]
    UnsupportedVersion {
        /// The format version of the snapshot.
        found: u32,
    },
    /// The checksum of the body is not the one in the header.
    #[error(
        "the snapshot is damaged: the checksum of its body is {computed:08x}, its header states {stated:08x}"
    )]
    Checksum {
        /// The checksum of the body.
        computed: u32,
        /// The checksum in the header.
        stated: u32,
    },
    /// The body can't be deserialized.
    #[error("the body of the snapshot can't be decoded: {0}")]
    Body(#[from] postcard::Error),
}

/// Encodes a snapshot.
///
/// # Errors
/// Fails if the snapshot can't be serialized.
pub fn encode(snapshot: &Snapshot) -> Result<Vec<u8>, EncodeError> {
    let body = postcard::to_allocvec(snapshot)?;
    let checksum = crc32c::crc32c(&body).to_le_bytes();
    Ok([&MAGIC[..], &FORMAT_VERSION.to_le_bytes(), &checksum, &body].concat())
}

/// Decodes a snapshot.
///
/// # Errors
/// Fails if the bytes are damaged, are not a snapshot, or have an unsupported format version.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, DecodeError> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(DecodeError::Truncated { bytes: bytes.len() });
    };
    let field = |offset: usize| -> [u8; 4] {
        [
            header[offset],
            header[offset + 1],
            header[offset + 2],
            header[offset + 3],
        ]
    };
    let magic = field(0);
    if magic != MAGIC {
        return Err(DecodeError::NotASnapshot { found: magic });
    }
    let version = u32::from_le_bytes(field(4));
    if version != FORMAT_VERSION {
        return Err(DecodeError::UnsupportedVersion { found: version });
    }
    let stated = u32::from_le_bytes(field(8));
    let computed = crc32c::crc32c(body);
    if stated != computed {
        return Err(DecodeError::Checksum { computed, stated });
    }
    Ok(postcard::from_bytes(body)?)
}
