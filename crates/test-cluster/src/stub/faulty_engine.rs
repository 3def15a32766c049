//! A stub engine that replies at random: late, twice, with a failure, or not at all. It records the runs of each request.

use super::engine::{read_command, request_id};
use super::run_log::{Attempt, RunLog};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Longest result, in pages.
const MAX_PAGES: u32 = 4;
/// Longest time until a reply is sent, and from a reply to its second copy.
const MAX_DELAY_MS: u32 = 30;
/// Out of this many replies, the numbers below are faulty.
const REPLIES: u32 = 1000;
/// Queries that are answered by `WAIT`.
const REFUSED_QUERIES: u32 = 1;
/// Queries that are answered by `BROKE`.
const FAILED_QUERIES: u32 = 100;
/// Queries that are answered by `PAST`.
const EXPIRED_QUERIES: u32 = 20;
/// Queries that are never answered.
const UNANSWERED_QUERIES: u32 = 2;
/// Requests for a page that are answered by `BROKE`.
const FAILED_PAGES: u32 = 80;
/// Requests for a page that are answered by `WAIT`.
const REFUSED_PAGES: u32 = 20;
/// Replies of all kinds that are sent twice.
const REPEATED_REPLIES: u32 = 200;

/// The number of pages in the result of a request's run.
fn page_count(id: &str, run: usize) -> usize {
    let text = format!("{id}{run}");
    let sum: u32 = text.bytes().map(u32::from).sum();
    1 + (sum % MAX_PAGES) as usize
}

fn page_rows(id: &str, run: usize, page: usize) -> String {
    format!("{id}\trun {run}\tpage {page}\n")
}

/// The rows of the whole result of a request's run. Each run has other rows.
pub fn rows_of_run(id: &str, run: usize) -> String {
    let pages = 0..page_count(id, run);
    pages.map(|page| page_rows(id, run, page)).collect()
}

/// Starts an engine whose replies are drawn from `seed`, and returns its address. It records its attempts in `log`.
///
/// # Panics
///
/// If no loopback port can be bound.
pub fn start_faulty_engine(seed: u64, log: &RunLog) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    let random = Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(seed)));
    let log = log.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let connection = Connection {
                number: log.next_connection(),
                writer: Arc::new(Mutex::new(
                    stream.try_clone().expect("a socket can be duplicated"),
                )),
                random: Arc::clone(&random),
                log: log.clone(),
            };
            thread::spawn(move || connection.serve(stream));
        }
    });
    address
}

struct Connection {
    number: u64,
    writer: Arc<Mutex<TcpStream>>,
    random: Arc<Mutex<Pcg64Mcg>>,
    log: RunLog,
}

impl Connection {
    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(command) = read_command(&mut reader) {
            let mut words = command.line.split(' ');
            let received = format!("connection {} received {}", self.number, command.line);
            self.log.trace(request_id(&command.line), received);
            match words.next() {
                Some("fetch") => self.on_fetch(&command.line),
                Some("more") => self.on_more(&command.line),
                Some("abort") => self.log.withdraw(request_id(&command.line), self.number),
                _ => {}
            }
        }
        self.log.close_connection(self.number);
    }

    /// A random number below `bound`.
    fn random_below(&self, bound: u32) -> u32 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.next_u32() % bound
    }

    fn on_fetch(&self, line: &str) {
        let id = request_id(line).to_owned();
        let attempt = self.log.begin(&id, self.number, time_remaining(line));
        let run = attempt.run;
        let refused = REFUSED_QUERIES;
        let expired = refused + EXPIRED_QUERIES;
        let failed = expired + FAILED_QUERIES;
        let unanswered = failed + UNANSWERED_QUERIES;
        let draw = self.random_below(REPLIES);
        if draw < expired {
            self.log.record_never_ran(&attempt);
        }
        let reply = match draw {
            draw if draw < refused => status_reply(&id, "WAIT"),
            draw if draw < expired => status_reply(&id, "PAST"),
            draw if draw < failed => status_reply(&id, "BROKE"),
            draw if draw < unanswered => return,
            _ => {
                let pages = page_count(&id, run);
                let kind = format!("DONE pages={pages},cost=5,need=4");
                page_reply(&id, &kind, run, 0)
            }
        };
        self.send_later(attempt, reply);
    }

    /// Answers from the latest run on this connection.
    fn on_more(&self, line: &str) {
        let id = request_id(line).to_owned();
        let page = line.rsplit(' ').next().and_then(|page| page.parse().ok());
        let page: usize = page.expect("the last field of a more line is a page number");
        let Some(attempt) = self.log.latest_on(&id, self.number) else {
            return;
        };
        let draw = self.random_below(REPLIES);
        let reply = match draw {
            draw if draw < FAILED_PAGES => status_reply(&id, "BROKE"),
            draw if draw < FAILED_PAGES + REFUSED_PAGES => status_reply(&id, "WAIT"),
            _ => page_reply(&id, &format!("MORE page={page}"), attempt.run, page),
        };
        self.send_later(attempt, reply);
    }

    /// Sends a reply after a random delay, and sometimes once more after another one.
    fn send_later(&self, attempt: Attempt, reply: String) {
        let copies = match self.random_below(REPLIES) < REPEATED_REPLIES {
            true => 2,
            false => 1,
        };
        let delays: Vec<u32> = (0..copies)
            .map(|_| self.random_below(MAX_DELAY_MS))
            .collect();
        let writer = Arc::clone(&self.writer);
        let log = self.log.clone();
        let number = self.number;
        thread::spawn(move || {
            for delay in delays {
                thread::sleep(Duration::from_millis(delay.into()));
                log.record_reply(&attempt);
                let head = reply.lines().next().unwrap_or_default();
                let sent = format!("connection {number} sends, of run {}: {head}", attempt.run);
                log.trace(&attempt.id, sent);
                let mut stream = writer.lock().unwrap_or_else(PoisonError::into_inner);
                // Fails if the gateway has closed the connection in the meantime.
                let _ = stream.write_all(reply.as_bytes());
            }
        });
    }
}

/// The time in ms that the request had left when the gateway wrote this `fetch` line.
fn time_remaining(line: &str) -> u64 {
    let fields = line.split([' ', ',']);
    let mut times = fields.filter_map(|field| field.strip_prefix("w="));
    let time = times.next().and_then(|text| text.parse().ok());
    time.expect("a fetch line has the time remaining in ms")
}

fn status_reply(id: &str, status: &str) -> String {
    format!("{id} {status} - 0\r\n\r\n")
}

fn page_reply(id: &str, kind_and_fields: &str, run: usize, page: usize) -> String {
    let rows = page_rows(id, run, page);
    let length = rows.len();
    format!("{id} {kind_and_fields} {length}\r\n{rows}\r\n")
}
