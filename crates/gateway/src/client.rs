//! A client connection's actor: reads submissions, writes answers, each way by itself.

use crate::engine::Shared;
use crate::module::{Event, Id, Taken};
use crate::pool::{Buffer, Chain, SIZE};
use crate::start::Leaving;
use crate::wait::{until, within};
use async_channel::{Receiver, Sender};
use async_io::Async;
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use event_listener::Event as Bell;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ironstair::{Ms, Submission};
use ironstair_protocol::{rpc, statement};
use slog::warn;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

/// Open calls on one connection: twice as many as clients keep to.
const OPEN_MOST: usize = 64;
/// Answers that wait to be written: a client that reads none of so many loses its connection.
const MAILBOX: usize = 2 * OPEN_MOST;

pub enum Reply {
    Settled(u64, Chain),
    TurnedBack(u64, Ms),
    Scrapped(u64),
    /// Taken under an id that is in use.
    Unusable(u64),
    /// What is answered without the module: a whole message.
    Plain(Vec<u8>),
}

struct Client {
    shared: Rc<Shared>,
    leaving: Rc<Leaving>,
    own: Sender<Reply>,
    open: RefCell<BTreeMap<u64, Id>>,
    writing: Cell<bool>,
    answered: Bell,
}

pub async fn serve(stream: Async<TcpStream>, shared: Rc<Shared>, leaving: Rc<Leaving>) {
    let _ = stream.get_ref().set_nodelay(true);
    let (own, replies) = async_channel::bounded(MAILBOX);
    let (open, writing, answered) = (RefCell::default(), Cell::new(false), Bell::new());
    let client = Client { shared, leaving, own, open, writing, answered };
    let _ = or(client.read(&stream), client.write(&stream, replies)).await;
    drop(stream);
    // Nobody is left to answer.
    for id in client.open.take().into_values() {
        let _ = client.shared.module.send(Event::Left(id)).await;
    }
}

fn id(text: &[u8]) -> Option<Id> {
    Id::try_from(text).ok().filter(|id| id.iter().all(u8::is_ascii_hexdigit))
}

impl Client {
    /// Until nothing is owed on this connection.
    async fn quiet(&self) {
        let quiet = || self.open.borrow().is_empty() && self.own.is_empty() && !self.writing.get();
        until(&self.answered, || quiet().then_some(())).await
    }

    async fn read(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        let mut held: Option<Buffer> = None;
        loop {
            let mut buffer = match held.take() {
                Some(b) => b,
                None => {
                    let leave = async {
                        self.leaving.closing().await;
                        self.quiet().await;
                        Err(io::ErrorKind::ConnectionAborted.into())
                    };
                    or(stream.readable(), leave).await?;
                    self.shared.pool.spare().await
                }
            };
            let n = (&mut &*stream).read(buffer.space()).await?;
            if n == 0 {
                // The client's way alone may have ended: who wants no answer any more says so by a call.
                self.quiet().await;
                return Ok(());
            }
            buffer.filled(n);
            loop {
                let head = rpc::head(buffer.bytes()).map_err(io::Error::other);
                let (head, length) = match head {
                    Ok(Some(found)) => found,
                    Ok(None) => break,
                    Err(e) => {
                        warn!(self.shared.log, "client's head can't be read"; "what" => %e);
                        // Where the next message begins is not known; what is open is still answered.
                        self.fault(None, rpc::UNREADABLE);
                        self.quiet().await;
                        return Err(e);
                    }
                };
                if head + length > SIZE {
                    buffer.consume(head);
                    let chain = self.long(stream, &mut buffer, length).await?;
                    self.message(&chain.joined()).await?;
                    continue;
                }
                let Some(message) = buffer.bytes().get(head..head + length) else { break };
                self.message(message).await?;
                buffer.consume(head + length);
            }
            if !buffer.bytes().is_empty() {
                held = Some(buffer);
            }
        }
    }

    /// A message that is longer than a buffer.
    async fn long(&self, stream: &Async<TcpStream>, first: &mut Buffer, length: usize) -> io::Result<Chain> {
        let mut chain = Chain::default();
        let mut missing = length;
        while missing > 0 {
            // Not waited for: many that each wait for one more would wait for each other.
            let mut part = self.shared.pool.lend().ok_or(io::ErrorKind::OutOfMemory)?;
            let n = if first.bytes().is_empty() {
                let most = missing.min(part.space().len());
                let n = (&mut &*stream).read(&mut part.space()[..most]).await?;
                part.filled(n);
                n
            } else {
                let n = part.append(&first.bytes()[..missing.min(first.bytes().len())]);
                first.consume(n);
                n
            };
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            missing -= n;
            chain.0.push(part);
        }
        Ok(chain)
    }

    async fn message(&self, message: &[u8]) -> io::Result<()> {
        let at = self.shared.clock.now();
        let event = rpc::read(message, |call, method, params| self.call(at, call, method, params));
        match event.unwrap_or_else(|(call, code)| self.fault(call, code)) {
            Some(event) => self.shared.module.send(event).await.map_err(|_| io::ErrorKind::BrokenPipe.into()),
            None => Ok(()),
        }
    }

    /// Answers without the module.
    fn plain(&self, write: impl FnOnce(&mut Vec<u8>)) -> Option<Event> {
        let mut message = Vec::new();
        write(&mut message);
        if self.own.try_send(Reply::Plain(message)).is_err() {
            self.own.close();
        }
        None
    }

    fn fault(&self, call: Option<u64>, code: i32) -> Option<Event> {
        self.plain(|m| rpc::error(m, call, code, "not understood", 0.0))
    }

    fn call(&self, at: Ms, call: Option<u64>, method: &[u8], p: rpc::Fields) -> Option<Event> {
        match method {
            b"interrupt" => {
                let gone = self.open.borrow_mut().remove(&p.count("id")?)?;
                self.answered.notify(usize::MAX);
                return Some(Event::Left(gone));
            }
            b"check" => {
                let call = call?;
                return self.plain(|m| rpc::fit(m, call, !self.leaving.begun()));
            }
            _ => {}
        }
        let Some(call) = call else { return self.fault(None, rpc::INVALID) };
        let band = self.shared.bands.iter().position(|b| b.as_bytes() == method);
        let Some(band) = band else { return self.fault(Some(call), rpc::UNKNOWN_METHOD) };
        let fields = p.text("id").as_deref().and_then(id).zip(p.number("wait"));
        let Some(((id, left), text)) = fields.zip(p.text("bytes")) else {
            return self.fault(Some(call), rpc::INVALID_FIELDS);
        };
        if self.open.borrow().contains_key(&call) {
            return self.fault(None, rpc::INVALID);
        }
        if self.open.borrow().len() >= OPEN_MOST {
            return self.fault(Some(call), rpc::INVALID);
        }
        let statement = match self.statement(&text) {
            Ok(Some(statement)) => statement,
            Ok(None) => return self.fault(Some(call), rpc::INVALID_FIELDS),
            // No buffer is left for it, and it has been nowhere yet.
            Err(_) => return self.plain(|m| rpc::error(m, Some(call), rpc::TURNED_BACK, "turned back", 0.0)),
        };
        let of = Submission {
            band,
            left,
            work: p.number("cost").filter(|w| *w > 0.0),
            memory_mb: p.number("ram").unwrap_or(0.0),
            tables: statement::tables(&statement.joined()).unwrap_or(0),
            later_try: p.mark("retry"),
            ..Default::default()
        };
        self.open.borrow_mut().insert(call, id);
        Some(Event::Taken(Box::new(Taken { id, call, of, at, statement, client: self.own.clone() })))
    }

    /// None when it is no base64; an error when all buffers are lent.
    fn statement(&self, text: &[u8]) -> io::Result<Option<Chain>> {
        let mut chain = Chain::default();
        for part in text.chunks(SIZE / 4 * 4) {
            let mut b = self.shared.pool.lend().ok_or(io::ErrorKind::OutOfMemory)?;
            let Ok(n) = STANDARD.decode_slice(part, b.space()) else { return Ok(None) };
            b.filled(n);
            chain.0.push(b);
        }
        Ok(Some(chain))
    }

    async fn write(&self, stream: &Async<TcpStream>, replies: Receiver<Reply>) -> io::Result<()> {
        let mut out = Vec::new();
        while let Ok(reply) = replies.recv().await {
            out.clear();
            self.writing.set(true);
            let call = match &reply {
                Reply::Settled(c, _) | Reply::TurnedBack(c, _) | Reply::Scrapped(c) | Reply::Unusable(c) => {
                    // Not for one that its client has taken back meanwhile.
                    if !self.open.borrow().contains_key(c) {
                        self.writing.set(false);
                        self.answered.notify(usize::MAX);
                        continue;
                    }
                    Some(*c)
                }
                Reply::Plain(_) => None,
            };
            let written = async {
                match reply {
                    Reply::Settled(call, rows) => self.settled(stream, &mut out, call, rows).await?,
                    Reply::TurnedBack(_, after) => {
                        rpc::error(&mut out, call, rpc::TURNED_BACK, "turned back", after)
                    }
                    Reply::Scrapped(_) => rpc::error(&mut out, call, rpc::SCRAPPED, "scrapped", 0.0),
                    Reply::Unusable(_) => rpc::error(&mut out, call, rpc::INVALID_FIELDS, "id in use", 0.0),
                    Reply::Plain(message) => out = message,
                }
                (&mut &*stream).write_all(&out).await
            };
            // A client that does not read is not waited for longer than any client waits.
            within(self.shared.carriage.longest, written).await?;
            call.and_then(|c| self.open.borrow_mut().remove(&c));
            self.writing.set(false);
            self.answered.notify(usize::MAX);
        }
        Ok(())
    }

    /// Rows as base64, page after page; what does not fill three bytes goes over to the next.
    async fn settled(
        &self,
        mut stream: &Async<TcpStream>,
        out: &mut Vec<u8>,
        call: u64,
        rows: Chain,
    ) -> io::Result<()> {
        rpc::result_start(out, call, rows.len().div_ceil(3) * 4);
        let mut over: Vec<u8> = Vec::with_capacity(SIZE + 2);
        let last = rows.0.len().saturating_sub(1);
        for (nth, page) in rows.0.into_iter().enumerate() {
            over.extend(page.bytes());
            drop(page);
            let whole = if nth == last { over.len() } else { over.len() / 3 * 3 };
            let at = out.len();
            out.resize(at + whole.div_ceil(3) * 4, 0);
            STANDARD.encode_slice(&over[..whole], &mut out[at..]).map_err(io::Error::other)?;
            over.drain(..whole);
            if nth < last {
                stream.write_all(out).await?;
                out.clear();
            }
        }
        out.extend(rpc::RESULT_END.as_bytes());
        Ok(())
    }
}
