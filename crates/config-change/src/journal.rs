//! The encoding of the revision journal. The caller owns the file.
//!
//! A record consists of its length (4 bytes, little endian), the CRC-32C of these 4 bytes and the body, and the body as
//! JSON. A journal begins with a [`Record::Snapshot`].

use crate::record::Record;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The longest body of a record in bytes. A greater length in a journal is treated as damage, so that a damaged length
/// is not followed.
pub const MAX_RECORD_BYTES: usize = 4 << 20;
/// The size of a record's header: length and checksum, 4 bytes each.
const HEADER_BYTES: usize = 8;

/// Why a record can't be written.
#[derive(Debug, thiserror::Error)]
pub enum EncodeError {
    /// The record can't be serialized.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The record is longer than [`MAX_RECORD_BYTES`].
    #[error("a record of {bytes} bytes exceeds the limit of {MAX_RECORD_BYTES} bytes")]
    TooLong {
        /// The length of its body.
        bytes: usize,
    },
}

/// Why bytes can't be decoded as a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes end before the record does.
    #[error("the record is incomplete")]
    Incomplete,
    /// The length exceeds [`MAX_RECORD_BYTES`].
    #[error("the record's length of {bytes} bytes exceeds the limit of {MAX_RECORD_BYTES} bytes")]
    TooLong {
        /// The length according to the header.
        bytes: usize,
    },
    /// The checksum does not match the record.
    #[error("the record's checksum does not match")]
    Checksum,
    /// The checksum matches, but the body is not a record that this version supports.
    #[error("this version does not support the record")]
    Unsupported,
}

/// The content of a journal.
#[derive(Debug, PartialEq)]
pub struct Decoded<D> {
    /// The complete records at the start.
    pub records: Vec<Record<D>>,
    /// The length of these records in bytes: the offset of the first byte that is not part of a complete record.
    pub valid_bytes: usize,
    /// Why the bytes after them are not a record; `None` if no bytes follow.
    pub error: Option<DecodeError>,
}

/// Encodes a record.
///
/// # Errors
/// Fails if the record can't be serialized or is too long.
pub fn encode<D: Serialize>(record: &Record<D>) -> Result<Vec<u8>, EncodeError> {
    let body = serde_json::to_vec(record)?;
    if body.len() > MAX_RECORD_BYTES {
        let bytes = body.len();
        return Err(EncodeError::TooLong { bytes });
    }
    let length = (body.len() as u32).to_le_bytes();
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&length), &body).to_le_bytes();
    Ok([&length[..], &checksum, &body].concat())
}

/// Decodes the records of a journal, up to the first one that is incomplete or damaged.
pub fn decode<D: DeserializeOwned>(bytes: &[u8]) -> Decoded<D> {
    let mut decoded = Decoded {
        records: Vec::new(),
        valid_bytes: 0,
        error: None,
    };
    while decoded.valid_bytes < bytes.len() {
        match decode_first(&bytes[decoded.valid_bytes..]) {
            Ok((record, length)) => {
                decoded.records.push(record);
                decoded.valid_bytes += length;
            }
            Err(error) => {
                decoded.error = Some(error);
                break;
            }
        }
    }
    decoded
}

/// Decodes the first record; returns it with its length in bytes.
fn decode_first<D: DeserializeOwned>(bytes: &[u8]) -> Result<(Record<D>, usize), DecodeError> {
    let read_u32 = |offset: usize| {
        bytes
            .get(offset..offset + 4)
            .and_then(|bytes| bytes.try_into().ok())
            .map(u32::from_le_bytes)
    };
    let (length, checksum) = read_u32(0)
        .zip(read_u32(4))
        .ok_or(DecodeError::Incomplete)?;
    let length = length as usize;
    if length > MAX_RECORD_BYTES {
        return Err(DecodeError::TooLong { bytes: length });
    }
    let end = HEADER_BYTES + length;
    let body = bytes
        .get(HEADER_BYTES..end)
        .ok_or(DecodeError::Incomplete)?;
    if crc32c::crc32c_append(crc32c::crc32c(&bytes[..4]), body) != checksum {
        return Err(DecodeError::Checksum);
    }
    let record = serde_json::from_slice(body).map_err(|_| DecodeError::Unsupported)?;
    Ok((record, end))
}
