//! A stub engine that records each line it receives and answers as the test specifies.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// The lines that an engine has received so far, each followed by its body.
pub type RecordedLines = Arc<Mutex<Vec<String>>>;

/// Starts an engine, and returns its address and the lines it receives. `respond` is called with each line, without its
/// line ending, and the line's body. It returns the bytes to send and whether to close the connection afterwards.
///
/// # Panics
///
/// If no loopback port can be bound. A malformed `fetch` line panics in the connection's thread, which closes it.
pub fn start_engine(
    respond: impl Fn(&str, &str) -> (Vec<u8>, bool) + Send + Sync + 'static,
) -> (SocketAddr, RecordedLines) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    let recorded_lines = RecordedLines::default();
    serve_connections(listener, recorded_lines.clone(), respond);
    (address, recorded_lines)
}

/// Accepts connections in a new thread and answers their lines. Returns a counter of accepted connections.
pub(super) fn serve_connections(
    listener: TcpListener,
    recorded_lines: RecordedLines,
    respond: impl Fn(&str, &str) -> (Vec<u8>, bool) + Send + Sync + 'static,
) -> Arc<AtomicU32> {
    let respond = Arc::new(respond);
    let accepted = Arc::new(AtomicU32::new(0));
    let accepted_count = Arc::clone(&accepted);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            accepted_count.fetch_add(1, Ordering::Relaxed);
            let respond = Arc::clone(&respond);
            let recorded_lines = recorded_lines.clone();
            thread::spawn(move || serve_connection(stream, &recorded_lines, respond.as_ref()));
        }
    });
    accepted
}

fn serve_connection(
    stream: TcpStream,
    recorded_lines: &RecordedLines,
    respond: &impl Fn(&str, &str) -> (Vec<u8>, bool),
) {
    let mut writer = stream.try_clone().expect("a socket can be duplicated");
    let mut reader = BufReader::new(stream);
    while let Some(command) = read_command(&mut reader) {
        recorded_lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(format!("{}{}", command.line, command.body));
        let (answer, is_last) = respond(&command.line, &command.body);
        // Fails if the gateway has closed the connection in the meantime.
        if writer.write_all(&answer).is_err() {
            return;
        }
        if is_last {
            let _ = writer.shutdown(Shutdown::Both);
        }
    }
}

/// A line of the gateway, without its line ending, and the line's body.
pub(super) struct Command {
    pub(super) line: String,
    pub(super) body: String,
}

/// Reads the next line and its body; `None` when the connection has ended.
pub(super) fn read_command(reader: &mut impl BufRead) -> Option<Command> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    if length == 0 {
        return None;
    }
    let body = match line.starts_with("fetch") {
        true => read_body(reader, &line),
        false => String::new(),
    };
    line.truncate(line.trim_end().len());
    Some(Command { line, body })
}

/// Reads the body of a `fetch` line and the line ending after it. The line's last field is the body's length.
fn read_body(reader: &mut impl Read, line: &str) -> String {
    let length: usize = line
        .split_whitespace()
        .last()
        .and_then(|field| field.parse().ok())
        .expect("the last field of a fetch line is the length of its body");
    let mut body = vec![0; length + 2];
    reader
        .read_exact(&mut body)
        .expect("the body follows its line");
    String::from_utf8(body).expect("a statement is text")
}

/// The request id in a line of the engine protocol.
///
/// # Panics
///
/// If the line has no second field.
pub fn request_id(line: &str) -> &str {
    line.split(' ')
        .nth(1)
        .expect("the second field of an engine line is the request id")
}

/// A complete answer to a line: a single page with the given rows.
///
/// # Panics
///
/// If the line has no id.
pub fn done_reply(line: &str, rows: &str) -> Vec<u8> {
    let id = request_id(line);
    let length = rows.len();
    format!("{id} DONE pages=1,cost=5,need=4 {length}\r\n{rows}\r\n").into_bytes()
}
