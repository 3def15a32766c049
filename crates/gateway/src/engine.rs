//! An engine's actor: the owner of its connections, of the attempts open there with their time-outs, and of
//! the pages that have come in.

use crate::connection::carry;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Async;
use ironstair::{Cost, Ms, Outcome};
use ironstair_protocol::lines::{self, Fields, Word};
use ironstair_runtime::pool::{Buffer, Chain};
use ironstair_runtime::wait::next;
use ironstair_runtime::{Attempt, Event, Id, Order, Shared};
use slog::warn;
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// More pages than the longest result has, and its bytes.
const PAGES_MOST: f64 = 64.0;
const RESULT_MOST: usize = 48_000;
/// More memory than any machine has, in MB.
const MEMORY_MOST: f64 = 1e8;
/// So many connections to an engine at most: all that is open on one is lost with it.
const LINKS_MOST: usize = 16;
/// The engine closes connections that idle: ours go a little sooner, so that no attempt crosses that.
const IDLE_SHARE: f64 = 0.75;

/// Given up on one connection, so many at most are remembered: their answers may still come.
const GIVEN_UP_MOST: usize = 32;

struct InFlightAttempt {
    of: Rc<Attempt>,
    link: u64,
    sent: Ms,
    /// Once the engine is done: its pages as they come in, and what it needed.
    pages: Vec<Option<Buffer>>,
    cost: Option<Cost>,
}

/// What waits to be written: an attempt, whose bytes are made when it begins, or lines.
struct Parcel {
    attempt: Option<Rc<Attempt>>,
    bytes: Vec<u8>,
    written: usize,
    /// The attempt that these lines withdraw: it is over once they are written.
    withdraws: Option<Rc<Attempt>>,
}

struct Link {
    /// Once it is up.
    stream: Option<Rc<Async<TcpStream>>>,
    open: usize,
    /// When it came up or last brought something.
    heard: Ms,
    idle_since: Ms,
    /// An attempt was given up here with nothing heard for longer than it was expected to take.
    silent: bool,
    /// Attempts given up here: another of the same request goes elsewhere, since the answers look alike.
    given_up: VecDeque<Id>,
    out: VecDeque<Parcel>,
    /// An answer's part, and when its first byte came.
    held: Option<Buffer>,
    part_since: Option<Ms>,
    held_back: Sender<()>,
    _task: Task<()>,
}

pub struct Engine {
    pub index: usize,
    pub address: SocketAddr,
    pub shared: Rc<Shared>,
    pub own: Sender<Order>,
    in_flight: BTreeMap<Id, InFlightAttempt>,
    links: BTreeMap<u64, Link>,
    opened: u64,
    asked: u64,
    events: Vec<Event>,
    /// Connections on which there is something new to write.
    said: Vec<u64>,
    /// How many connections there are, for who looks on.
    connections: Rc<Cell<u32>>,
}

fn text(id: &Id) -> &str {
    // Ids are taken in as hexadecimal digits only.
    std::str::from_utf8(id).unwrap_or_default()
}

impl Engine {
    pub fn new(
        index: usize,
        address: SocketAddr,
        shared: Rc<Shared>,
        own: Sender<Order>,
        connections: Rc<Cell<u32>>,
    ) -> Self {
        let (in_flight, links, events, said) =
            (BTreeMap::new(), BTreeMap::new(), Vec::new(), Vec::new());
        Engine {
            index,
            address,
            shared,
            own,
            in_flight,
            links,
            opened: 0,
            asked: 0,
            events,
            said,
            connections,
        }
    }

    pub async fn run(mut self, orders: Receiver<Order>) {
        loop {
            let order = next(&self.shared.clock, &orders, self.due()).await;
            let gone = order.is_err();
            match order {
                Ok(Some(order)) => self.follow(order),
                Ok(None) => self.expire(),
                // Closed by the module's actor: this process of the engine is over, and its connections lead nowhere.
                Err(_) => {
                    let all: Vec<u64> = self.links.keys().copied().collect();
                    all.into_iter()
                        .for_each(|l| self.drop_link(l, Outcome::Reset));
                }
            }
            self.connections.set(self.links.len() as u32);
            for event in self.events.drain(..) {
                if self.shared.module.send(event).await.is_err() {
                    return;
                }
            }
            if gone {
                return;
            }
        }
    }

    fn follow(&mut self, order: Order) {
        self.heed(order);
        // Behind all that has come in with it: what follows on a connection may show that nothing more is wanted there.
        for link in std::mem::take(&mut self.said) {
            self.write(link);
        }
    }

    fn heed(&mut self, order: Order) {
        match order {
            Order::Attempt(of) => self.attempt(of),
            Order::Withdraw(of) => self.withdraw(&of),
            Order::Priority(id, n) => {
                if let Some(f) = self.in_flight.get(&id) {
                    f.of.priority.set(Some(n));
                    self.tell(&id, |_, line| lines::priority(line, text(&id), n));
                }
            }
            Order::EndpointStateChanged => self.refuse(),
            Order::Report => {
                self.asked += 1;
                let mut line = Vec::new();
                lines::report(&mut line, &format!("r{}", self.asked));
                let link = self.link(None);
                self.say(link, line);
            }
            Order::Up(link, stream) => {
                let Some(l) = self.links.get_mut(&link) else {
                    return;
                };
                (l.stream, l.heard) = (Some(stream), self.shared.clock.now());
                self.write(link);
            }
            Order::Writable(link) => self.write(link),
            Order::Came(link, buffer) => self.came(link, buffer),
            Order::Down(link, how) => self.drop_link(link, how),
        }
    }

    /// A connection with nothing open, else a new one: what spoils one loses all that is open on it. Beyond
    /// this engine's part of the descriptors, the connection with the fewest open attempts.
    fn link(&mut self, of: Option<&Id>) -> u64 {
        // Against a machine cut off, whose connections stay open and silent, maybe for good: a new one tells.
        let silent: Vec<u64> = self
            .in_flight
            .values()
            .filter(|f| self.unheard(f))
            .map(|f| f.link)
            .collect();
        let streams = self.shared.transport_config().streams;
        let again = |l: &Link| of.is_some_and(|id| l.given_up.contains(id));
        let room = self
            .links
            .iter()
            .filter(|l| l.1.open < streams && !again(l.1));
        let rank = |l: &(&u64, &Link)| {
            (
                l.1.silent || silent.contains(l.0),
                l.1.open,
                l.1.stream.is_none(),
            )
        };
        let most = (self.shared.links_most / self.shared.listed.get().max(1)).clamp(2, LINKS_MOST);
        let free = |l: &(&u64, &Link)| !rank(l).0 && l.1.open == 0 || self.links.len() >= most;
        if let Some(l) = room.min_by_key(rank).filter(free) {
            return *l.0;
        }
        self.opened += 1;
        let (held_back, goes_on) = async_channel::bounded(1);
        let s = &self.shared;
        let within = s.transport_config().connect_timeout;
        let task = carry(
            self.opened,
            self.address,
            within,
            s.pool.clone(),
            goes_on,
            self.own.clone(),
        );
        let link = Link {
            stream: None,
            open: 0,
            heard: s.clock.now(),
            idle_since: s.clock.now(),
            silent: false,
            given_up: VecDeque::new(),
            out: VecDeque::new(),
            held: None,
            part_since: None,
            held_back,
            _task: s.executor.spawn(task),
        };
        self.links.insert(self.opened, link);
        self.opened
    }

    /// Whether its connection has been silent for longer than the attempt was expected to take.
    fn unheard(&self, f: &InFlightAttempt) -> bool {
        let heard = self
            .links
            .get(&f.link)
            .filter(|l| l.stream.is_some())
            .map(|l| l.heard.max(f.sent));
        heard.is_some_and(|h| {
            self.shared.clock.now() - h > self.shared.classes()[f.of.class].expected
        })
    }

    fn attempt(&mut self, of: Rc<Attempt>) {
        let (id, sent) = (of.id, self.shared.clock.now());
        if !of.may_begin(sent) {
            self.events.push(Event::Ended {
                id,
                what: Outcome::Unsent,
                rows: None,
            });
            return;
        }
        let link = self.link(Some(&id));
        self.in_flight.insert(
            id,
            InFlightAttempt {
                of: of.clone(),
                link,
                sent,
                pages: Vec::new(),
                cost: None,
            },
        );
        if let Some(l) = self.links.get_mut(&link) {
            l.open += 1;
            l.out.push_back(Parcel {
                attempt: Some(of),
                bytes: Vec::new(),
                written: 0,
                withdraws: None,
            });
        }
        self.write(link);
    }

    /// The one place that writes to a connection, what it takes now; the rest once it takes more. Attempts that may
    /// not begin any more are left out and reported as never run.
    fn write(&mut self, link: u64) {
        loop {
            let (now, shared) = (self.shared.clock.now(), self.shared.clone());
            let Some(l) = self.links.get_mut(&link) else {
                return;
            };
            let (Some(stream), Some(first)) = (&l.stream, l.out.front_mut()) else {
                return;
            };
            if let Some(of) = first.attempt.as_ref().filter(|of| !of.begun.get()) {
                if !of.may_begin(now) {
                    let id = of.id;
                    l.out.pop_front();
                    self.end(&id, Outcome::Unsent, None);
                    continue;
                }
                // Against an engine that has just closed what idled: written there, it might have run, for all that
                // could be told. The end is seen before its word has come through the mailbox.
                let ended = match stream.get_ref().peek(&mut [0]) {
                    Ok(n) => n == 0,
                    Err(e) => e.kind() != ErrorKind::WouldBlock,
                };
                if ended {
                    return self.drop_link(link, Outcome::Reset);
                }
                if first.bytes.is_empty() {
                    let (left, classes) = ((of.limit - now).max(1.0), shared.classes());
                    let (class, size) = (&classes[of.class].name, of.statement.size());
                    let once = of.once.as_deref();
                    let priority = of.priority.get();
                    lines::attempt(
                        &mut first.bytes,
                        text(&of.id),
                        class,
                        once,
                        left as u64,
                        priority,
                        size,
                    );
                    of.statement
                        .0
                        .iter()
                        .for_each(|b| first.bytes.extend(b.bytes()));
                    first.bytes.extend(lines::END);
                }
            }
            match stream.get_ref().write(&first.bytes[first.written..]) {
                Ok(n) => {
                    first.attempt.iter().for_each(|of| of.begun.set(true));
                    first.written += n;
                    if first.written < first.bytes.len() {
                        continue;
                    }
                    let withdraws = l.out.pop_front().and_then(|p| p.withdraws);
                    let own = |of: &Rc<Attempt>| {
                        self.in_flight
                            .get(&of.id)
                            .is_some_and(|f| Rc::ptr_eq(&f.of, of))
                    };
                    if let Some(of) = withdraws.filter(own) {
                        self.end(&of.id, Outcome::Withdrawn, None);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    let _ = l.held_back.try_send(());
                    return;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.drop_link(link, Outcome::Reset),
            }
        }
    }

    /// Overtakes the attempt where that has not begun. Where it has, it is over once the engine has been told, or its
    /// connection is closed: until then another may not be out.
    fn withdraw(&mut self, of: &Rc<Attempt>) {
        let id = &of.id;
        // Another of the same request may be here by now.
        let Some(f) = self.in_flight.get(id).filter(|f| Rc::ptr_eq(&f.of, of)) else {
            return;
        };
        let Some(l) = self.links.get_mut(&f.link) else {
            return;
        };
        let first = l.out.front().and_then(|p| p.attempt.as_ref());
        if !f.of.begun.get() {
            return self.end(id, Outcome::Unsent, None);
        }
        if first.is_some_and(|of| of.id == *id) && l.open == 1 {
            // Half written and held back: closed, it never arrives whole, and never runs.
            let link = f.link;
            return self.drop_link(link, Outcome::Unsent);
        }
        if l.given_up.len() == GIVEN_UP_MOST {
            l.given_up.pop_front();
        }
        l.given_up.push_back(*id);
        let (link, mut bytes) = (f.link, Vec::new());
        match f.pages.is_empty() {
            true => lines::withdraw(&mut bytes, text(id)),
            false => lines::no_more(&mut bytes, text(id)),
        }
        l.out.push_back(Parcel {
            attempt: None,
            bytes,
            written: 0,
            withdraws: Some(of.clone()),
        });
        self.write(link);
    }

    /// Says something about an attempt, unless it has not begun and the engine never heard of it.
    fn tell(&mut self, id: &Id, write: impl FnOnce(&InFlightAttempt, &mut Vec<u8>)) {
        let Some(f) = self.in_flight.get(id).filter(|f| f.of.begun.get()) else {
            return;
        };
        let (link, mut line) = (f.link, Vec::new());
        write(f, &mut line);
        self.say(link, line);
    }

    fn say(&mut self, link: u64, bytes: Vec<u8>) {
        if let Some(l) = self.links.get_mut(&link) {
            l.out.push_back(Parcel {
                attempt: None,
                bytes,
                written: 0,
                withdraws: None,
            });
            self.said.push(link);
        }
    }

    fn came(&mut self, link: u64, mut new: Buffer) {
        let now = self.shared.clock.now();
        self.links
            .entry(link)
            .and_modify(|l| (l.heard, l.silent) = (now, false));
        // What was left of an answer is completed first; it always fits, as one answer is less than a buffer.
        while let Some(mut held) = self.links.get_mut(&link).and_then(|l| l.held.take()) {
            let n = held.append(new.bytes());
            new.consume(n);
            self.heard(link, held);
            if new.bytes().is_empty() {
                return;
            }
        }
        self.heard(link, new);
    }

    /// Goes through the whole answers in the buffer and keeps the rest.
    fn heard(&mut self, link: u64, mut buffer: Buffer) {
        let mut whole = false;
        while self.links.contains_key(&link) {
            let read = lines::read(buffer.bytes(), |id, word, fields, body| {
                self.answer(link, id, word, fields, body);
            });
            match read {
                Ok(Some(n)) => buffer.consume(n),
                Ok(None) => break,
                Err(e) => return self.spoilt(link, e),
            }
            whole = true;
        }
        let now = self.shared.clock.now();
        if let Some(l) = self.links.get_mut(&link) {
            let part = !buffer.bytes().is_empty();
            l.part_since = part.then(|| l.part_since.filter(|_| !whole).unwrap_or(now));
            l.held = part.then_some(buffer);
        }
    }

    /// What else still comes on this connection can't be told apart.
    fn spoilt(&mut self, link: u64, what: &str) {
        warn!(self.shared.log, "engine's answer can't be read"; "what" => what, "from" => self.address);
        self.drop_link(link, Outcome::Reset);
    }

    /// By the names told at start; where the engine has others, in the order that it tells them.
    fn report(&mut self, fields: Fields) {
        let named = |n: &String| fields.load().find(|l| l.0 == n.as_bytes()).map(|l| l.1);
        let values: Option<Vec<f64>> = self
            .shared
            .transport_config()
            .reports
            .iter()
            .map(named)
            .collect();
        let values = values.unwrap_or_else(|| fields.load().map(|l| l.1).collect());
        if !values.is_empty() {
            self.events.push(Event::Report {
                engine: self.index,
                values,
            });
        }
    }

    fn answer(&mut self, link: u64, id: &[u8], word: Word, fields: Fields, body: &[u8]) {
        if fields.load().next().is_some() {
            self.report(fields);
        }
        if matches!(word, Word::Fit | Word::Unfit) {
            return;
        }
        let Ok(id) = Id::try_from(id) else { return };
        // What was withdrawn or has timed out is answered in vain.
        let Some(f) = self.in_flight.get_mut(&id).filter(|f| f.link == link) else {
            return;
        };
        let page = match word {
            // A second copy of what is already there is more than is its own, and does no harm.
            Word::Done if !f.pages.is_empty() => return,
            Word::Done => {
                // A good end always tells how many: without it, this is something else.
                let pages = fields.number("pages").unwrap_or(0.0);
                if pages.fract() != 0.0 || !(1.0..=PAGES_MOST).contains(&pages) {
                    return self.spoilt(link, "no number of pages");
                }
                let most = self.shared.work_most();
                let work = fields.number("cost").filter(|w| (0.0..=most).contains(w));
                // Without it, or with what is no amount of memory, the work still counts.
                let need = fields
                    .number("need")
                    .filter(|n| (0.0..=MEMORY_MOST).contains(n));
                f.cost = work.map(|work| Cost {
                    work,
                    memory_mb: need.unwrap_or(0.0),
                });
                f.pages.resize_with(pages as usize, || None);
                if f.pages.len() > 1 {
                    self.tell(&id, |f, line| {
                        (1..f.pages.len()).for_each(|n| lines::page(line, text(&id), n))
                    });
                }
                0
            }
            Word::More => fields
                .number("page")
                .filter(|n| *n >= 1.0)
                .unwrap_or(f64::MAX) as usize,
            Word::Full => return self.end(&id, Outcome::Full, None),
            Word::Past => return self.end(&id, Outcome::TimedOut, None),
            _ => return self.end(&id, Outcome::Error, None),
        };
        let Some(f) = self.in_flight.get_mut(&id) else {
            return;
        };
        let before: usize = f.pages.iter().flatten().map(|b| b.bytes().len()).sum();
        match f.pages.get_mut(page) {
            Some(Some(_)) => return,
            Some(at) if lines::whole_rows(body) && before + body.len() <= RESULT_MOST => {
                *at = self.shared.pool.lend();
                match at {
                    Some(b) => b.append(body),
                    // No room for it: pages that still come must not be taken for the next attempt's.
                    None => return self.drop_link(link, Outcome::Swept),
                };
            }
            _ => return self.spoilt(link, "no such page"),
        }
        if f.pages.iter().all(Option::is_some) {
            let (rows, cost) = (std::mem::take(&mut f.pages), f.cost);
            if rows.len() > 1 {
                self.tell(&id, |_, line| lines::no_more(line, text(&id)));
            }
            self.end(
                &id,
                Outcome::Settled(cost),
                Some(Chain(rows.into_iter().flatten().collect())),
            );
        }
    }

    /// The one place where an attempt's room on its connection is given back.
    fn end(&mut self, id: &Id, what: Outcome, rows: Option<Chain>) {
        let Some(f) = self.in_flight.remove(id) else {
            return;
        };
        let silent = matches!(what, Outcome::Withdrawn | Outcome::TimedOut) && self.unheard(&f);
        if let Some(l) = self.links.get_mut(&f.link) {
            l.open -= 1;
            l.silent |= silent;
            // What has begun is written to its end: half a line would spoil what comes behind it.
            l.out
                .retain(|p| p.written > 0 || p.attempt.as_ref().is_none_or(|of| of.id != *id));
            l.idle_since = self.shared.clock.now();
        }
        self.events.push(Event::Ended {
            id: *id,
            what,
            rows,
        });
    }

    /// One loss speaks against the engine once, by its longest open attempt; what else was open there went
    /// with the connection. What still waited for it was never written.
    fn drop_link(&mut self, link: u64, how: Outcome) {
        let Some(l) = self.links.remove(&link) else {
            return;
        };
        // At once, and not only when its task has ended: what is given up here may go out again elsewhere.
        l.stream
            .iter()
            .for_each(|s| drop(s.get_ref().shutdown(Shutdown::Both)));
        let on = self.in_flight.iter().filter(|f| f.1.link == link);
        let mut on: Vec<(Ms, Id)> = on.map(|f| (f.1.sent, *f.0)).collect();
        on.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (nth, (_, id)) in on.iter().enumerate() {
            let unsent = self.in_flight.get(id).is_some_and(|f| !f.of.begun.get());
            let how = match (unsent, nth, how) {
                (true, 0, Outcome::NoConnection) | (false, 0, _) => how,
                (true, ..) => Outcome::Unsent,
                _ => Outcome::Swept,
            };
            self.end(id, how, None);
        }
    }

    fn idle_until(&self, l: &Link) -> Option<Ms> {
        let rest = if l.silent {
            0.0
        } else {
            self.shared.transport_config().idle * IDLE_SHARE
        };
        (l.stream.is_some() && l.open == 0).then_some(l.idle_since + rest)
    }

    /// An answer is written at once: half of one for longer than a connection takes to come up is all of it.
    fn part_until(&self, l: &Link) -> Option<Ms> {
        l.part_since
            .map(|since| since + self.shared.transport_config().connect_timeout)
    }

    fn due(&self) -> Option<Ms> {
        let links = self
            .links
            .values()
            .flat_map(|l| [self.idle_until(l), self.part_until(l)])
            .flatten();
        let begins = |f: &InFlightAttempt| {
            if f.of.begun.get() {
                f.of.limit
            } else {
                f.of.by.get().min(f.of.limit)
            }
        };
        self.in_flight
            .values()
            .map(begins)
            .chain(links)
            .min_by(f64::total_cmp)
    }

    /// What may not begin any more is taken out where it waits.
    fn refuse(&mut self) {
        let now = self.shared.clock.now();
        let barred = self
            .in_flight
            .values()
            .filter(|f| !f.of.begun.get() && !f.of.may_begin(now));
        let barred: Vec<Id> = barred.map(|f| f.of.id).collect();
        barred
            .iter()
            .for_each(|id| self.end(id, Outcome::Unsent, None));
    }

    fn expire(&mut self) {
        self.refuse();
        let now = self.shared.clock.now();
        let late = self.in_flight.iter().filter(|f| f.1.of.limit <= now);
        let late: Vec<Id> = late.map(|f| *f.0).collect();
        late.iter()
            .for_each(|id| self.end(id, Outcome::TimedOut, None));
        let half = self
            .links
            .iter()
            .filter(|l| self.part_until(l.1).is_some_and(|t| t <= now));
        let half: Vec<u64> = half.map(|l| *l.0).collect();
        half.into_iter().for_each(|l| self.spoilt(l, "no end"));
        let idle = self
            .links
            .iter()
            .filter(|l| self.idle_until(l.1).is_some_and(|t| t <= now));
        let idle: Vec<u64> = idle.map(|l| *l.0).collect();
        idle.into_iter()
            .for_each(|l| self.drop_link(l, Outcome::Reset));
    }
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
