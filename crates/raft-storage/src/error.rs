//! Why a disk can't be used.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a disk can't be opened or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The folder can't be created, or the file can't be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The folder or file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The file is larger than any that this package writes.
    #[error("{}: the log file has {bytes} bytes, at most {limit} are allowed", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// The size of the file.
        bytes: u64,
        /// The size limit.
        limit: u64,
    },
    /// The file has a format version that this program does not read.
    #[error(
        "{}: log format version {found} is not supported, this program reads {supported}",
        path.display()
    )]
    UnsupportedVersion {
        /// The file.
        path: PathBuf,
        /// The format version of the file.
        found: u32,
        /// The format version that this program reads.
        supported: u32,
    },
    /// The file belongs to another gateway or fleet.
    #[error(
        "{}: the log belongs to gateway {gateway} of fleet {fleet}, \
         not to gateway {expected_gateway} of fleet {expected_fleet}",
        path.display()
    )]
    OtherOwner {
        /// The file.
        path: PathBuf,
        /// The gateway that the file belongs to.
        gateway: String,
        /// The fleet that the file belongs to.
        fleet: String,
        /// The gateway that opens it.
        expected_gateway: String,
        /// The fleet of the gateway that opens it.
        expected_fleet: String,
    },
    /// The file is not open.
    #[error("{}: the log file is not open", path.display())]
    Closed {
        /// The file.
        path: PathBuf,
    },
    /// A record can't be encoded.
    #[error("a log record can't be encoded: {0}")]
    Encode(#[from] postcard::Error),
    /// A record is larger than its length field allows.
    #[error("a log record has {bytes} bytes, at most {} are allowed", u32::MAX)]
    RecordTooLong {
        /// The length of the record's value.
        bytes: usize,
    },
}

/// Why a file is corrupt: confirmed writes may be missing from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum Corruption {
    #[error("the record at byte offset {offset} is damaged")]
    Record { offset: usize },
    #[error("the first record can't be decoded as the file's owner")]
    Owner,
}
