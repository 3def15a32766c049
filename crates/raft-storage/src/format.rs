//! The format of the file.
//!
//! A record consists of the length of its value, the CRC-32C of that length, the CRC-32C of the value (4 bytes each,
//! little endian) and the value. Both checksums cover the disk's voter id, too. The first record names the owner; each
//! further record holds one write. A file that ends within a record, or in zeros, was being written when the process or
//! machine stopped: that write was never confirmed, and is discarded. After any other damage a confirmed write may be
//! lost.

use crate::error::{Corruption, StorageError};
use ironstair_raft_replica::{Image, Save};
use serde::{Deserialize, Serialize};

/// The format version that is written, and the only one that is read.
pub(crate) const FORMAT_VERSION: u32 = 1;
/// The voter id in the checksums of the first record: the reader learns the disk's voter id only from that record.
const NO_OWNER: u64 = 0;
/// The size of a record's header in bytes: the length of the value and two checksums.
const HEADER_BYTES: usize = 12;

/// The owner of the disk, which is the first record. The fields are encoded in this order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Owner {
    #[serde(rename = "form")]
    pub(crate) format_version: u32,
    pub(crate) fleet: String,
    pub(crate) gateway: String,
    /// The voter id that belongs to this disk.
    pub(crate) id: u64,
}

/// The decoded content of a file.
pub(crate) struct Content {
    pub(crate) owner: Owner,
    pub(crate) image: Image,
    /// The length of the complete records in bytes.
    pub(crate) complete_bytes: usize,
}

/// The next record of the remaining bytes.
enum NextRecord<'a> {
    Complete {
        value: &'a [u8],
        rest: &'a [u8],
    },
    /// The bytes end within the record, which was being written.
    Incomplete,
    Corrupt,
    End,
}

/// The bytes of a file with that owner and image.
pub(crate) fn encode_file(owner: &Owner, image: &Image) -> Result<Vec<u8>, StorageError> {
    let owner_record = encode_record(NO_OWNER, owner)?;
    let image_record = encode_save(owner, &image.to_save())?;
    Ok([owner_record, image_record].concat())
}

/// The bytes of the record of a write.
pub(crate) fn encode_save(owner: &Owner, save: &Save) -> Result<Vec<u8>, StorageError> {
    encode_record(owner.id, save)
}

/// Decodes a file; `None` if it ends within the first record: nothing in it was ever confirmed.
pub(crate) fn decode_file(bytes: &[u8]) -> Result<Option<Content>, Corruption> {
    let (value, mut rest) = match next_record(NO_OWNER, bytes) {
        NextRecord::Complete { value, rest } => (value, rest),
        NextRecord::Incomplete | NextRecord::End => return Ok(None),
        NextRecord::Corrupt => return Err(Corruption::Record { offset: 0 }),
    };
    let owner: Owner = postcard::from_bytes(value).map_err(|_| Corruption::Owner)?;
    let mut image = Image::blank(owner.id);
    loop {
        let offset = bytes.len() - rest.len();
        match next_record(owner.id, rest) {
            NextRecord::Complete {
                value,
                rest: following,
            } => {
                let save: Save =
                    postcard::from_bytes(value).map_err(|_| Corruption::Record { offset })?;
                image.apply(save);
                rest = following;
            }
            NextRecord::Corrupt => return Err(Corruption::Record { offset }),
            NextRecord::Incomplete | NextRecord::End => {
                return Ok(Some(Content {
                    owner,
                    image,
                    complete_bytes: offset,
                }))
            }
        }
    }
}

/// The checksum of the voter id and the bytes.
fn checksum(owner_id: u64, bytes: &[u8]) -> [u8; 4] {
    let owner_checksum = crc32c::crc32c(&owner_id.to_le_bytes());
    crc32c::crc32c_append(owner_checksum, bytes).to_le_bytes()
}

fn encode_record(owner_id: u64, record: &impl Serialize) -> Result<Vec<u8>, StorageError> {
    let value = postcard::to_allocvec(record)?;
    let length = u32::try_from(value.len())
        .map_err(|_| StorageError::RecordTooLong { bytes: value.len() })?
        .to_le_bytes();
    Ok([
        &length[..],
        &checksum(owner_id, &length),
        &checksum(owner_id, &value),
        &value,
    ]
    .concat())
}

fn next_record(owner_id: u64, bytes: &[u8]) -> NextRecord<'_> {
    if bytes.is_empty() {
        return NextRecord::End;
    }
    // After a power failure the file may be longer than the data written to it, and end in zeros.
    if bytes.iter().all(|byte| *byte == 0) {
        return NextRecord::Incomplete;
    }
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return NextRecord::Incomplete;
    };
    // Without a checksum of the length, a damaged length that points past the end would look like an incomplete record,
    // and confirmed records after it would be dropped.
    if checksum(owner_id, &header[..4]) != header[4..8] {
        return NextRecord::Corrupt;
    }
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let Some((value, rest)) = rest.split_at_checked(length) else {
        return NextRecord::Incomplete;
    };
    if checksum(owner_id, value) == header[8..] {
        NextRecord::Complete { value, rest }
    } else {
        NextRecord::Corrupt
    }
}
