//! The engines' line protocol: commands to engines, and their replies.
//!
//! A reply is a line `ID KIND FIELDS LENGTH` that ends with CR LF, followed by a body of `LENGTH` bytes and another
//! CR LF. `FIELDS` is a list `name=value,name=value`, or `-` for none.

use std::io::Write;
use std::num::ParseIntError;
use std::str::Utf8Error;

/// Maximum length of an accepted reply line, in bytes.
pub const MAX_LINE_BYTES: usize = 1024;
/// Maximum length of the body of one reply, in bytes.
pub const MAX_BODY_BYTES: usize = 6144;
/// The number of columns in a result row.
const RESULT_COLUMNS: usize = 3;

/// The kind of a reply: the end of an attempt, a page, or a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// The query has run. The body is the first page of its result.
    Done,
    /// The engine has no capacity for the attempt.
    Full,
    /// The query or the request for a page has failed.
    Failed,
    /// The attempt's time was over before the query ran.
    TimedOut,
    /// The body is a further page of a result.
    Page,
    /// A load report of an engine that accepts queries.
    Ready,
    /// A load report of an engine that accepts no queries.
    NotReady,
}

impl ReplyKind {
    fn from_word(word: &[u8]) -> Option<Self> {
        let kind = match word {
            b"DONE" => ReplyKind::Done,
            b"WAIT" => ReplyKind::Full,
            b"BROKE" => ReplyKind::Failed,
            b"PAST" => ReplyKind::TimedOut,
            b"MORE" => ReplyKind::Page,
            b"FIT" => ReplyKind::Ready,
            b"UNFIT" => ReplyKind::NotReady,
            _ => return None,
        };
        Some(kind)
    }
}

/// A reply's fields, looked up by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fields<'a>(&'a [u8]);

/// One value of a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadValue<'a> {
    /// The engine's name for the value.
    pub name: &'a [u8],
    /// The value, in the engine's unit.
    pub value: f64,
}

impl<'a> Fields<'a> {
    /// The value of the field with this name.
    pub fn field(&self, name: &str) -> Option<&'a [u8]> {
        let mut fields = self.0.split(|byte| *byte == b',');
        fields.find_map(|field| field.strip_prefix(name.as_bytes())?.strip_prefix(b"="))
    }

    /// The value of the field with this name, if it is a finite number.
    pub fn number(&self, name: &str) -> Option<f64> {
        finite_number(self.field(name)?)
    }

    /// The values of the load report, in the engine's order. Values that are not numbers are omitted.
    pub fn load(&self) -> impl Iterator<Item = LoadValue<'a>> {
        let report = self.field("load").unwrap_or_default();
        let entries = report.split(|byte| *byte == b';');
        entries.filter_map(|entry| {
            let colon = entry.iter().position(|byte| *byte == b':')?;
            let value = finite_number(&entry[colon + 1..])?;
            let name = &entry[..colon];
            Some(LoadValue { name, value })
        })
    }
}

fn finite_number(text: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(text).ok()?;
    let number: f64 = text.parse().ok()?;
    number.is_finite().then_some(number)
}

/// Whether a page consists of complete rows, each of three columns of UTF-8 text and a line feed.
pub fn is_complete_page(page: &[u8]) -> bool {
    let mut rows = page.split(|byte| *byte == b'\n');
    let ends_with_line_feed = rows.next_back().is_some_and(<[u8]>::is_empty);
    let has_all_columns =
        |row: &[u8]| row.iter().filter(|byte| **byte == b'\t').count() == RESULT_COLUMNS - 1;
    ends_with_line_feed && rows.all(has_all_columns) && std::str::from_utf8(page).is_ok()
}

/// One reply of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply<'a> {
    /// The request's id, or the tag of a load report request.
    pub id: &'a [u8],
    /// The kind of the reply.
    pub kind: ReplyKind,
    /// The reply's fields.
    pub fields: Fields<'a>,
    /// The reply's body; empty if it has none.
    pub body: &'a [u8],
    /// Length of the whole reply in the buffer, in bytes.
    pub encoded_bytes: usize,
}

/// Why bytes are not a valid reply. The start of the next reply is unknown after them.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplyError {
    /// There is no line feed within the maximum length of a line.
    #[error("reply line longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// The line feed has no carriage return before it.
    #[error("reply line does not end with CR LF")]
    LineEndMissing,
    /// The line has fewer than two words.
    #[error("reply line without an id and a kind")]
    KindMissing,
    /// The second word is not a kind of reply.
    #[error("unknown kind of reply, expected DONE, WAIT, BROKE, PAST, MORE, FIT or UNFIT")]
    UnknownKind,
    /// The body's length is not UTF-8 text.
    #[error("body length of a reply is not UTF-8 text")]
    LengthNotText(#[source] Utf8Error),
    /// The body's length is not a whole number.
    #[error("body length of a reply is not a whole number")]
    LengthNotNumber(#[source] ParseIntError),
    /// The body is longer than the limit.
    #[error("reply body of {0} bytes exceeds the limit of {MAX_BODY_BYTES}")]
    BodyTooLong(usize),
    /// The body is not followed by CR LF.
    #[error("reply body does not end with CR LF")]
    BodyEndMissing,
}

/// Reads the first reply in `bytes`; `None` while it is incomplete.
///
/// # Errors
/// Fails if the bytes are not a valid reply, or the reply is too long.
pub fn read_reply(bytes: &[u8]) -> Result<Option<Reply<'_>>, ReplyError> {
    let mut line_window = bytes.iter().take(MAX_LINE_BYTES);
    let Some(line_feed) = line_window.position(|byte| *byte == b'\n') else {
        if bytes.len() >= MAX_LINE_BYTES {
            return Err(ReplyError::LineTooLong);
        }
        return Ok(None);
    };
    let line = bytes[..line_feed].strip_suffix(b"\r");
    let line = line.ok_or(ReplyError::LineEndMissing)?;
    let mut words = line
        .split(|byte| *byte == b' ')
        .filter(|word| !word.is_empty());
    let id = words.next().ok_or(ReplyError::KindMissing)?;
    let kind = words.next().ok_or(ReplyError::KindMissing)?;
    let kind = ReplyKind::from_word(kind).ok_or(ReplyError::UnknownKind)?;
    let fields = Fields(words.next().unwrap_or(b"-"));
    let body_start = line_feed + 1;
    let mut reply = Reply {
        id,
        kind,
        fields,
        body: b"",
        encoded_bytes: body_start,
    };
    let Some(length) = words.next() else {
        return Ok(Some(reply));
    };
    let body_end = body_start + body_length(length)? + BODY_END.len();
    let Some(body) = bytes.get(body_start..body_end) else {
        return Ok(None);
    };
    let body = body.strip_suffix(BODY_END);
    reply.body = body.ok_or(ReplyError::BodyEndMissing)?;
    reply.encoded_bytes = body_end;
    Ok(Some(reply))
}

fn body_length(digits: &[u8]) -> Result<usize, ReplyError> {
    let digits = std::str::from_utf8(digits).map_err(ReplyError::LengthNotText)?;
    let length = digits.parse().map_err(ReplyError::LengthNotNumber)?;
    if length > MAX_BODY_BYTES {
        return Err(ReplyError::BodyTooLong(length));
    }
    Ok(length)
}

/// The bytes after a body, in replies as well as in attempts.
pub const BODY_END: &[u8] = b"\r\n";

/// The command that starts an attempt. The statement and [`BODY_END`] follow it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCommand<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The name of the request's class.
    pub class: &'a str,
    /// The key by which engines recognize a repeated request, if the client gave one.
    pub idempotency_key: Option<&'a str>,
    /// The time that the engine may take, in ms.
    pub time_remaining_ms: u64,
    /// The priority; `None` for the engine's default.
    pub priority: Option<u8>,
    /// Length of the statement that follows, in bytes.
    pub statement_bytes: usize,
}

impl AttemptCommand<'_> {
    /// Appends the command's line.
    pub fn write(&self, output: &mut Vec<u8>) {
        let AttemptCommand {
            id,
            class,
            time_remaining_ms,
            ..
        } = self;
        append(
            output,
            format_args!("fetch {id} c={class},w={time_remaining_ms}"),
        );
        if let Some(key) = self.idempotency_key {
            append(output, format_args!(",i={key}"));
        }
        if let Some(priority) = self.priority {
            append(output, format_args!(",prio={priority}"));
        }
        append(output, format_args!(" {}\r\n", self.statement_bytes));
    }
}

/// Appends the command that withdraws a running attempt.
pub fn write_withdrawal(output: &mut Vec<u8>, id: &str) {
    append(output, format_args!("abort {id}\r\n"));
}

/// Appends the command that changes the priority of a running attempt.
pub fn write_priority(output: &mut Vec<u8>, id: &str, priority: u8) {
    append(output, format_args!("renice {id} {priority}\r\n"));
}

/// Appends the request for one page of a result; pages are counted from 0.
pub fn write_page_request(output: &mut Vec<u8>, id: &str, page: usize) {
    append(output, format_args!("more {id} {page}\r\n"));
}

/// Appends the command that lets the engine release a result: no further page will be requested.
pub fn write_release(output: &mut Vec<u8>, id: &str) {
    append(output, format_args!("done {id}\r\n"));
}

/// Appends the request for a load report; the report repeats `tag` as its id.
pub fn write_load_report_request(output: &mut Vec<u8>, tag: &str) {
    append(output, format_args!("stats {tag}\r\n"));
}

fn append(output: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    // Writing to a vector cannot fail.
    let _ = output.write_fmt(text);
}
