//! Errors of starting a replica.

use thiserror::Error;

/// Why a replica can't start from its disk, or the disk of a new cluster can't be created.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The state of the new cluster can't be encoded.
    #[error("the state of the new fleet can't be encoded: {0}")]
    Encode(#[source] serde_json::Error),
    /// The state in the snapshot can't be decoded.
    #[error("the state in the snapshot of the fleet's log can't be decoded: {0}")]
    DecodeState(#[source] serde_json::Error),
    /// The hard state (term, vote and commit index) can't be decoded.
    #[error(
        "the hard state (term, vote and commit index) in the fleet's log can't be decoded: {0}"
    )]
    DecodeHardState(#[source] protobuf::ProtobufError),
    /// The snapshot can't be decoded.
    #[error("the snapshot in the fleet's log can't be decoded: {0}")]
    DecodeSnapshot(#[source] protobuf::ProtobufError),
    /// An entry can't be decoded.
    #[error("entry {index} in the fleet's log can't be decoded: {source}")]
    DecodeEntry {
        /// The index of the entry.
        index: u64,
        /// The library's error.
        source: protobuf::ProtobufError,
    },
    /// The entries do not follow the snapshot without a gap.
    #[error("the fleet's log is not contiguous: expected entry {expected}, found entry {found}")]
    EntryOutOfPlace {
        /// The index that should follow.
        expected: u64,
        /// The index that follows.
        found: u64,
    },
    /// The library can't start with the log.
    #[error("the raft library can't start with the fleet's log: {0}")]
    Open(#[source] raft::Error),
}
