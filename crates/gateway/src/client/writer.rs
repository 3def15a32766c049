//! Writes the replies to a client's calls.

use super::{Client, DUPLICATE_ID, FAILED, REJECTED};
use async_channel::Receiver;
use async_io::Async;
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use futures_lite::AsyncWriteExt;
use ironstair::Millis;
use ironstair_protocol::rpc::{self, ErrorCode, ErrorResponse};
use ironstair_runtime::pool::{BufferChain, BUFFER_SIZE};
use ironstair_runtime::wait::timeout;
use ironstair_runtime::Reply;
use std::io;
use std::net::TcpStream;

/// Bytes per base64 group. A shorter group needs padding, which is only valid at the end of the text.
const BASE64_GROUP_BYTES: usize = 3;
/// Characters per base64 group.
const BASE64_GROUP_CHARACTERS: usize = 4;

impl Client {
    /// Writes replies until the queue is closed.
    ///
    /// # Errors
    /// The connection failed, or the client did not read a reply in time.
    pub(super) async fn write(
        &self,
        stream: &Async<TcpStream>,
        reply_queue: Receiver<Reply>,
    ) -> io::Result<()> {
        let mut output = Vec::new();
        while let Ok(reply) = reply_queue.recv().await {
            output.clear();
            self.is_writing.set(true);
            let call = call_of(&reply);
            // Skips the reply if the client cancelled the call in the meantime.
            if call.is_some_and(|call| !self.open_calls.borrow().contains_key(&call)) {
                self.is_writing.set(false);
                self.permit.activity.changed.notify(usize::MAX);
                continue;
            }
            // A client must read a reply within the longest deadline that a request may have.
            let time_limit = self.shared.longest_deadline.get();
            timeout(time_limit, write_reply(stream, &mut output, reply)).await?;
            self.is_writing.set(false);
            self.finish_call(call, true);
        }
        Ok(())
    }
}

/// The call that a reply belongs to; `None` for a message that the reader encoded.
fn call_of(reply: &Reply) -> Option<u64> {
    match reply {
        Reply::Completed { call_id, .. }
        | Reply::Rejected { call_id, .. }
        | Reply::Failed(call_id)
        | Reply::DuplicateId(call_id) => Some(*call_id),
        Reply::Encoded(_) => None,
    }
}

async fn write_reply(
    mut stream: &Async<TcpStream>,
    output: &mut Vec<u8>,
    reply: Reply,
) -> io::Result<()> {
    match reply {
        Reply::Completed { call_id, rows } => write_rows(stream, output, call_id, rows).await?,
        Reply::Rejected {
            call_id,
            retry_after,
        } => error_response(call_id, ErrorCode::Rejected, REJECTED, retry_after).write(output),
        Reply::Failed(call_id) => {
            error_response(call_id, ErrorCode::Failed, FAILED, 0.0).write(output);
        }
        Reply::DuplicateId(call_id) => {
            error_response(call_id, ErrorCode::InvalidParams, DUPLICATE_ID, 0.0).write(output);
        }
        Reply::Encoded(message) => *output = message,
    }
    stream.write_all(output).await
}

fn error_response(
    call_id: u64,
    code: ErrorCode,
    message: &'static str,
    retry_after_ms: Millis,
) -> ErrorResponse<'static> {
    ErrorResponse {
        call_id: Some(call_id),
        code,
        message,
        retry_after_ms,
    }
}

/// Writes rows as base64, page by page, and leaves the last page and the end of the message in `output`. Bytes at a
/// page's end that do not fill a group are encoded with the next page.
async fn write_rows(
    mut stream: &Async<TcpStream>,
    output: &mut Vec<u8>,
    call_id: u64,
    rows: BufferChain,
) -> io::Result<()> {
    rpc::write_result_start(output, call_id, base64_length(rows.byte_count()));
    let mut pending: Vec<u8> = Vec::with_capacity(BUFFER_SIZE + BASE64_GROUP_BYTES - 1);
    let last = rows.0.len().saturating_sub(1);
    for (index, page) in rows.0.into_iter().enumerate() {
        pending.extend(page.bytes());
        // Returns the buffer to the pool before a write that may take a long time.
        drop(page);
        let is_last = index == last;
        let ready = match is_last {
            true => pending.len(),
            false => pending.len() / BASE64_GROUP_BYTES * BASE64_GROUP_BYTES,
        };
        let start = output.len();
        output.resize(start + base64_length(ready), 0);
        STANDARD
            .encode_slice(&pending[..ready], &mut output[start..])
            .map_err(io::Error::other)?;
        pending.drain(..ready);
        if !is_last {
            stream.write_all(output).await?;
            output.clear();
        }
    }
    output.extend(rpc::RESULT_END.as_bytes());
    Ok(())
}

fn base64_length(bytes: usize) -> usize {
    bytes.div_ceil(BASE64_GROUP_BYTES) * BASE64_GROUP_CHARACTERS
}
