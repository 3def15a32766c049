//! Reads frames, and writes a reply to each.

use crate::error::AdapterError;
use crate::host::{Batch, Host};
use std::io::{self, Read, Write};

/// Length of a frame's header in bytes: the number of records, the frame's length and the clock.
const HEADER_BYTES: usize = 16;

/// Length of the clock in bytes. A frame's length includes the clock, although it is read with the header.
const CLOCK_BYTES: usize = 8;

/// Serves frames until the input ends after a whole frame.
///
/// # Errors
/// Fails if the input can't be read, a reply can't be written, or a frame is invalid.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut body = Vec::new();
    for batch in 0u64.. {
        let Some(header) = read_header(&mut input, batch)? else {
            break;
        };
        read_body(&mut input, batch, header.body_length, &mut body)?;
        let reply = host.handle(&Batch {
            number: batch,
            record_count: header.record_count,
            clock_nanos: header.clock_nanos,
            body: &body,
        })?;
        write_reply(&mut output, &reply).map_err(|source| AdapterError::Write { batch, source })?;
    }
    Ok(())
}

struct Header {
    record_count: u32,
    body_length: usize,
    clock_nanos: u64,
}

/// Reads a header; `None` if the input ends before its first byte.
fn read_header(input: &mut impl Read, batch: u64) -> Result<Option<Header>, AdapterError> {
    let mut header = [0; HEADER_BYTES];
    let mut filled = 0;
    while filled < header.len() {
        match input.read(&mut header[filled..]) {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) => {
                return Err(AdapterError::TruncatedHeader {
                    batch,
                    bytes: filled,
                })
            }
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(source) => return Err(AdapterError::Read { batch, source }),
        }
    }
    let [c0, c1, c2, c3, l0, l1, l2, l3, clock @ ..] = header;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    let body_length = length.checked_sub(CLOCK_BYTES);
    Ok(Some(Header {
        record_count: u32::from_le_bytes([c0, c1, c2, c3]),
        body_length: body_length.ok_or(AdapterError::InvalidLength { batch, length })?,
        clock_nanos: u64::from_le_bytes(clock),
    }))
}

fn read_body(
    input: &mut impl Read,
    batch: u64,
    length: usize,
    body: &mut Vec<u8>,
) -> Result<(), AdapterError> {
    body.clear();
    let bytes = input
        .take(length as u64)
        .read_to_end(body)
        .map_err(|source| AdapterError::Read { batch, source })?;
    if bytes < length {
        return Err(AdapterError::TruncatedFrame {
            batch,
            bytes,
            expected: length,
        });
    }
    Ok(())
}

fn write_reply(output: &mut impl Write, reply: &[u8]) -> io::Result<()> {
    output.write_all(&(reply.len() as u32).to_le_bytes())?;
    output.write_all(reply)?;
    output.flush()
}
