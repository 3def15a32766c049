//! Why a replica can't start.

use thiserror::Error;

/// Why a replica can't start with what its disk holds, or a first disk can't be written.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The state of the new cluster can't be encoded.
    #[error("the state can't be encoded: {0}")]
    Encode(#[source] serde_json::Error),
    /// The state in the snapshot can't be decoded.
    #[error("the state in the snapshot can't be decoded: {0}")]
    DecodeState(#[source] serde_json::Error),
    /// The hard state (term, vote and commit index) can't be decoded.
    #[error("the vote in the fleet's log can't be decoded: {0}")]
    DecodeHardState(#[source] protobuf::ProtobufError),
    /// The snapshot can't be decoded.
    #[error("the snapshot in the fleet's log can't be decoded: {0}")]
    DecodeSnapshot(#[source] protobuf::ProtobufError),
    /// An entry can't be decoded.
    #[error("an entry in the fleet's log can't be decoded: {0}")]
    DecodeEntry(#[source] protobuf::ProtobufError),
    /// The entries do not follow the snapshot without a gap.
    #[error("entry {found} is in the place of entry {expected} in the fleet's log")]
    EntryOutOfPlace {
        /// The index that belongs there.
        expected: u64,
        /// The index of the entry that is there.
        found: u64,
    },
    /// The library can't start with the log.
    #[error("the fleet's log can't be opened: {0}")]
    Open(#[source] raft::Error),
}
