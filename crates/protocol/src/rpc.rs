//! JSON-RPC 2.0 in frames with a `Content-Length` header: calls from clients, and the responses to them.

use crate::json::Reader;
use std::borrow::Cow;
use std::io::Write;
use std::num::ParseIntError;
use std::str::Utf8Error;

/// Maximum length of an accepted frame header, in bytes.
pub const MAX_HEADER_BYTES: usize = 512;
/// Maximum length of an accepted message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// The error codes of responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i32)]
pub enum ErrorCode {
    /// The gateway does not accept the request now. The client may send it again later.
    Rejected = -32014,
    /// No attempt of the request has succeeded, and no further one starts.
    Failed = -32002,
    /// The message is not valid JSON, or its frame is malformed.
    ParseError = -32700,
    /// The message is JSON, but not a call that is valid on this connection.
    InvalidRequest = -32600,
    /// No class has the method's name.
    MethodNotFound = -32601,
    /// A parameter is missing or out of range.
    InvalidParams = -32602,
}

impl ErrorCode {
    /// The number on the wire.
    pub fn value(self) -> i32 {
        self as i32
    }
}

/// The length of a frame's header, and the length of the message that it states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// Length of the header including the empty line after it, in bytes.
    pub header_bytes: usize,
    /// Length of the message that follows, in bytes.
    pub message_bytes: usize,
}

/// Why a frame header can't be used. The start of the next message is unknown after it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// There is no empty line within the maximum length of a header.
    #[error("frame header longer than {MAX_HEADER_BYTES} bytes")]
    HeaderTooLong,
    /// A header line has no colon.
    #[error("frame header line without a colon")]
    MissingColon,
    /// The header ends without a length.
    #[error("frame header without Content-Length")]
    MissingLength,
    /// The length is not UTF-8 text.
    #[error("Content-Length is not UTF-8 text")]
    LengthNotText(#[source] Utf8Error),
    /// The length is not a whole number.
    #[error("Content-Length is not a whole number")]
    LengthNotNumber(#[source] ParseIntError),
    /// The message is longer than the limit.
    #[error("message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES}")]
    MessageTooLong(usize),
}

/// Reads a frame's header from the start of `bytes`; `None` while the header is incomplete.
///
/// # Errors
/// Fails if the header is malformed, or the header or its message is too long.
pub fn frame_header(bytes: &[u8]) -> Result<Option<FrameHeader>, FrameError> {
    let mut position = 0;
    let mut message_bytes = None;
    loop {
        let rest = &bytes[position..bytes.len().min(MAX_HEADER_BYTES)];
        let Some(line_length) = rest.windows(2).position(|pair| pair == b"\r\n") else {
            if position + rest.len() >= MAX_HEADER_BYTES {
                return Err(FrameError::HeaderTooLong);
            }
            return Ok(None);
        };
        let line = &rest[..line_length];
        position += line_length + 2;
        if line.is_empty() {
            let message_bytes = message_bytes.ok_or(FrameError::MissingLength)?;
            if message_bytes > MAX_MESSAGE_BYTES {
                return Err(FrameError::MessageTooLong(message_bytes));
            }
            return Ok(Some(FrameHeader {
                header_bytes: position,
                message_bytes,
            }));
        }
        message_bytes = content_length(line)?.or(message_bytes);
    }
}

/// The value of a `Content-Length` line; `None` for any other line.
fn content_length(line: &[u8]) -> Result<Option<usize>, FrameError> {
    let colon = line.iter().position(|byte| *byte == b':');
    let colon = colon.ok_or(FrameError::MissingColon)?;
    let name = line[..colon].trim_ascii();
    if !name.eq_ignore_ascii_case(b"content-length") {
        return Ok(None);
    }
    let digits = line[colon + 1..].trim_ascii();
    let digits = std::str::from_utf8(digits).map_err(FrameError::LengthNotText)?;
    let length = digits.parse().map_err(FrameError::LengthNotNumber)?;
    Ok(Some(length))
}

/// A call's parameters. Each look-up by name reads the message; [`Params::select`] reads it once for several names.
#[derive(Clone, Copy, Debug)]
pub struct Params<'a>(&'a [u8]);

/// The parameters with some names, without a copy.
#[derive(Clone, Debug)]
pub struct SelectedParams<'a, const N: usize> {
    names: [&'static str; N],
    values: [Option<RawValue<'a>>; N],
}

/// The JSON text of a parameter's value.
#[derive(Clone, Copy, Debug)]
struct RawValue<'a>(&'a [u8]);

/// A parameter is present, but not a number within its bounds.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("parameter is not a number from 0 to {max}")]
pub struct OutOfBounds {
    /// The largest accepted number.
    pub max: f64,
}

impl<'a> RawValue<'a> {
    fn string(self) -> Option<Cow<'a, [u8]>> {
        Reader::new(self.0).string()
    }

    fn number(self) -> Option<f64> {
        Reader::new(self.0).number()
    }

    fn unsigned(self) -> Option<u64> {
        Reader::new(self.0).unsigned()
    }

    fn bounded_number(self, max: f64) -> Result<f64, OutOfBounds> {
        let number = self.number();
        let within_bounds = number.filter(|number| (0.0..=max).contains(number));
        within_bounds.ok_or(OutOfBounds { max })
    }
}

impl<'a> Params<'a> {
    /// Reads the message once and keeps the values with these names. If a name occurs more than once, its last value
    /// counts.
    pub fn select<const N: usize>(&self, names: [&'static str; N]) -> SelectedParams<'a, N> {
        let mut values = [None; N];
        // A syntax error is impossible: `read_call` has already read the whole message.
        Reader::new(self.0).object(|key, reader| {
            let value = RawValue(reader.raw_value()?);
            if let Some(index) = names.iter().position(|name| key == name.as_bytes()) {
                values[index] = Some(value);
            }
            Some(())
        });
        SelectedParams { names, values }
    }

    fn value(&self, name: &str) -> Option<RawValue<'a>> {
        let mut found = None;
        Reader::new(self.0).object(|key, reader| {
            let value = RawValue(reader.raw_value()?);
            if key == name.as_bytes() {
                found = Some(value);
            }
            Some(())
        });
        found
    }

    /// The string with this name; `None` if it is missing or of another type.
    pub fn string(&self, name: &str) -> Option<Cow<'a, [u8]>> {
        self.value(name)?.string()
    }

    /// The number with this name; `None` if it is missing or of another type.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.value(name)?.number()
    }

    /// The whole number of at least 0 with this name; `None` if it is missing or of another type.
    pub fn unsigned(&self, name: &str) -> Option<u64> {
        self.value(name)?.unsigned()
    }

    /// The number with this name; `None` only if it is missing.
    ///
    /// # Errors
    /// Fails if the parameter is present, but not a number from 0 to `max`. If such a value were taken for missing, a
    /// default would replace it without the client's knowledge.
    pub fn bounded_number(&self, name: &str, max: f64) -> Result<Option<f64>, OutOfBounds> {
        let value = self.value(name);
        value.map(|value| value.bounded_number(max)).transpose()
    }
}

impl<'a, const N: usize> SelectedParams<'a, N> {
    /// `None` also for a name that was not selected.
    fn value(&self, name: &str) -> Option<RawValue<'a>> {
        let index = self.names.iter().position(|selected| *selected == name)?;
        self.values[index]
    }

    /// As [`Params::string`].
    pub fn string(&self, name: &str) -> Option<Cow<'a, [u8]>> {
        self.value(name)?.string()
    }

    /// As [`Params::bounded_number`].
    ///
    /// # Errors
    /// Fails if the parameter is present, but not a number from 0 to `max`.
    pub fn bounded_number(&self, name: &str, max: f64) -> Result<Option<f64>, OutOfBounds> {
        let value = self.value(name);
        value.map(|value| value.bounded_number(max)).transpose()
    }
}

/// A call from a client.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The call's `id`, which its response repeats; `None` if it is missing or `null`.
    pub id: Option<u64>,
    /// The method's name.
    pub method: Cow<'a, [u8]>,
    /// The parameters; empty if the call has none.
    pub params: Params<'a>,
}

/// Why a message is not a usable call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unusable call, error code {}", .code.value())]
pub struct CallError {
    /// The call's `id`, if it could be read.
    pub call_id: Option<u64>,
    /// The error code of the response.
    pub code: ErrorCode,
}

/// Reads a whole message as a call.
///
/// # Errors
/// Fails if the message is not a JSON object, or has no method.
pub fn read_call(message: &[u8]) -> Result<Call<'_>, CallError> {
    let mut id = None;
    let mut method = None;
    let mut params = Params(b"{}");
    let mut reader = Reader::new(message);
    let object = reader.object(|key, reader| {
        match key {
            b"id" if reader.peek()? == b'n' => reader.skip_value()?,
            b"id" => id = Some(reader.unsigned()?),
            b"method" => method = Some(reader.string()?),
            b"params" => params = Params(reader.raw_value()?),
            _ => reader.skip_value()?,
        }
        Some(())
    });
    if object.is_none() || !reader.at_end() {
        return Err(CallError {
            call_id: id,
            code: ErrorCode::ParseError,
        });
    }
    let method = method.ok_or(CallError {
        call_id: id,
        code: ErrorCode::InvalidRequest,
    })?;
    Ok(Call { id, method, params })
}

const RESPONSE_START: &str = "{\"jsonrpc\":\"2.0\",\"id\":";
const RESULT_TEXT_START: &str = ",\"result\":{\"bytes\":\"";
/// The end of a result, after its text.
pub const RESULT_END: &str = "\"}}";

/// Writes the start of a result whose text has `text_bytes` bytes. The caller writes the text, which must not need JSON
/// escapes, and then [`RESULT_END`].
pub fn write_result_start(output: &mut Vec<u8>, call_id: u64, text_bytes: usize) {
    let call_id_digits = call_id.checked_ilog10().unwrap_or(0) as usize + 1;
    let message_bytes = RESPONSE_START.len()
        + call_id_digits
        + RESULT_TEXT_START.len()
        + text_bytes
        + RESULT_END.len();
    write_frame_header(output, message_bytes);
    output.extend(format!("{RESPONSE_START}{call_id}{RESULT_TEXT_START}").as_bytes());
}

/// Writes the response to a health check: whether the gateway accepts requests.
pub fn write_health(output: &mut Vec<u8>, call_id: u64, is_healthy: bool) {
    let message = format!("{RESPONSE_START}{call_id},\"result\":{{\"fit\":{is_healthy}}}}}");
    write_frame(output, &message);
}

/// An error response.
#[derive(Clone, Copy, Debug)]
pub struct ErrorResponse<'a> {
    /// The `id` of the call that it responds to; `None` if it is unknown.
    pub call_id: Option<u64>,
    /// The error code.
    pub code: ErrorCode,
    /// A short text, which must not need JSON escapes.
    pub message: &'a str,
    /// The time in ms after which the client should send the request again. It is written only if it is at least 1.
    pub retry_after_ms: f64,
}

impl ErrorResponse<'_> {
    /// Appends the response with its frame header.
    pub fn write(&self, output: &mut Vec<u8>) {
        let call_id = match self.call_id {
            Some(call_id) => call_id.to_string(),
            None => String::from("null"),
        };
        let retry_advice = match self.retry_after_ms {
            after if after >= 1.0 => format!(",\"data\":{{\"after\":{after:.0}}}"),
            _ => String::new(),
        };
        let code = self.code.value();
        let text = self.message;
        let error = format!("{{\"code\":{code},\"message\":\"{text}\"{retry_advice}}}");
        write_frame(
            output,
            &format!("{RESPONSE_START}{call_id},\"error\":{error}}}"),
        );
    }
}

fn write_frame(output: &mut Vec<u8>, message: &str) {
    write_frame_header(output, message.len());
    output.extend(message.as_bytes());
}

fn write_frame_header(output: &mut Vec<u8>, message_bytes: usize) {
    // Writing to a vector cannot fail.
    let _ = write!(output, "Content-Length: {message_bytes}\r\n\r\n");
}
