//! Errors in the simulator's input.

use std::io;

/// Why a record can't be used.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The frame ends inside a field.
    #[error("frame ends inside field {field} at byte {offset}: expected {expected} bytes, {remaining} left")]
    Truncated {
        /// The field.
        field: &'static str,
        /// The field's length.
        expected: usize,
        /// The offset of the field in the frame's body.
        offset: usize,
        /// The bytes left in the frame.
        remaining: usize,
    },
    /// The record has a code that the protocol does not define.
    #[error("unknown record code {0}")]
    UnknownCode(u16),
    /// An outcome has a status that the protocol does not define.
    #[error("unknown outcome status {0}, expected 0 to 7")]
    UnknownOutcome(u8),
    /// The record is for an instance that was not started.
    #[error("record with code {code} for instance {instance}, which was not started")]
    UnknownInstance {
        /// The record's code.
        code: u16,
        /// The instance.
        instance: u16,
    },
    /// The request's class is not in the instance's settings.
    #[error("class {0} is not in the settings of the instance")]
    UnknownClass(usize),
    /// The record refers to an endpoint list that was not sent.
    #[error("endpoint list {0} was not sent")]
    UnknownList(u8),
    /// An endpoint list is longer than the address space.
    #[error("length of the endpoint list exceeds the address space")]
    ListTooLong,
}

/// Why `serve` stopped before the end of the input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The input ends inside a frame's header.
    #[error("batch {batch}: input ends inside the header, after {bytes} bytes")]
    TruncatedHeader {
        /// The frame's number, counted from 0.
        batch: u64,
        /// The bytes of the header that were read.
        bytes: usize,
    },
    /// The input ends inside a frame.
    #[error("batch {batch}: input ends inside the frame, {bytes} of {expected} bytes")]
    TruncatedFrame {
        /// The frame's number.
        batch: u64,
        /// The bytes of the body that were read.
        bytes: usize,
        /// The body's length.
        expected: usize,
    },
    /// A frame's length is too small to include its clock.
    #[error("batch {batch}: frame length {length} is less than 8, the length of the clock")]
    InvalidLength {
        /// The frame's number.
        batch: u64,
        /// The length in the header.
        length: usize,
    },
    /// A record can't be used.
    #[error("batch {batch}: record {record} at byte {offset}: {source}")]
    Record {
        /// The frame's number.
        batch: u64,
        /// The record's number in the frame.
        record: u32,
        /// The offset of the record in the frame's body.
        offset: usize,
        /// The reason.
        source: RecordError,
    },
    /// A frame continues after its last record.
    #[error("batch {batch}: {bytes} bytes left after {records} records")]
    TrailingBytes {
        /// The frame's number.
        batch: u64,
        /// The bytes after the last record.
        bytes: usize,
        /// The number of records.
        records: u32,
    },
    /// The input can't be read.
    #[error("batch {batch}: can't read the input: {source}")]
    Read {
        /// The frame's number.
        batch: u64,
        /// The system's error.
        source: io::Error,
    },
    /// The reply can't be written.
    #[error("batch {batch}: can't write the reply: {source}")]
    Write {
        /// The frame's number.
        batch: u64,
        /// The system's error.
        source: io::Error,
    },
}
