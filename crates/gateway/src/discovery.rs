//! The list's actor: asks the name service and tells the module's actor of changes.

use crate::snapshot_store::Memory;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future::or;
use ironstair::EndpointState;
use ironstair_config_change::NameIndex;
use ironstair_protocol::dns;
use ironstair_runtime::clock::span;
use ironstair_runtime::{DiscoveredEndpoint, Event, Shared};
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Instant;

const ZONE: &str = "_data._tcp.farm.lan";
/// A change counts as told 1.5 s after it happened, heard of or not: asked several times as often, a few lost
/// answers do no harm.
const ASK_EVERY: f64 = 200.0;
/// Against a way that is slower than the questions come: so many questions wait for their answers, those asked
/// within the time after which a change counts as told.
const WAITING: u16 = 8;
/// Silence worth a line in the log.
const SILENT: u32 = 10;
/// After so many questions without an answer the next go out from another socket: against a way that has died for the
/// one alone. Longer than any answer that still counts takes.
const ANOTHER_SOCKET: u32 = 2 * WAITING as u32;

/// What a new configuration says of the endpoint list: where to ask, and the changes up to then.
pub struct Moved {
    pub names: SocketAddr,
    pub known: BTreeMap<String, DiscoveredEndpoint>,
    pub rev: u32,
    /// The names of zones and kinds, in the order that the decisions know.
    pub index: NameIndex,
}

pub struct List {
    pub from: IpAddr,
    pub names: SocketAddr,
    pub index: NameIndex,
    pub rev: u32,
    pub module: Sender<Event>,
    pub log: Logger,
    pub shared: Rc<Shared>,
    /// Keeps the list for the next process, where there is one.
    pub memory: Option<Memory>,
}

impl List {
    pub async fn follow(mut self, moves: Receiver<Moved>) {
        loop {
            let moved = async { moves.recv().await.ok() };
            // A new address gets a new socket: what the old one still answers finds nobody.
            let asked = async {
                if let Err(e) = self.ask().await {
                    warn!(self.log, "the name service can't be asked"; "why" => %e);
                    Timer::after(span(ASK_EVERY)).await;
                }
                None
            };
            if let Some(moved) = or(moved, asked).await {
                info!(self.log, "name service has moved"; "to" => moved.names);
                self.names = moved.names;
                self.index = moved.index;
                self.heard(moved.rev, moved.known).await;
            }
        }
    }

    /// Older news than what is known are none; the number is kept last, so that none is taken for told when
    /// this is dropped while the module is busy.
    async fn heard(&mut self, rev: u32, lines: BTreeMap<String, DiscoveredEndpoint>) {
        if rev > self.rev {
            self.memory
                .iter()
                .for_each(|m| m.keep(rev, &lines, &self.index));
        }
        if rev > self.rev && self.module.send(Event::Endpoints(lines)).await.is_ok() {
            self.rev = rev;
            self.shared.gauges.serial.set(rev);
        }
    }

    async fn ask(&mut self) -> std::io::Result<()> {
        let mut socket = Async::<UdpSocket>::bind((self.from, 0))?;
        self.shared
            .gauges
            .source
            .replace(format!("dns {}", self.names));
        let (mut query, mut packet) = (Vec::new(), vec![0; dns::ANSWER_MOST]);
        let (mut unanswered, mut unread) = (0u32, false);
        for number in (0..=u16::MAX).cycle() {
            query.clear();
            dns::question(&mut query, number, ZONE);
            // One that can't be sent is as good as lost on the way.
            let _ = socket.send_to(&query, self.names).await;
            unanswered += 1;
            if unanswered == SILENT {
                warn!(self.log, "name service is silent"; "questions" => unanswered);
            }
            if unanswered.is_multiple_of(ANOTHER_SOCKET) {
                // Without a descriptor the old one is better than none.
                Async::<UdpSocket>::bind((self.from, 0))
                    .into_iter()
                    .for_each(|another| socket = another);
            }
            let until = Instant::now() + span(ASK_EVERY);
            let late = || async {
                Timer::at(until).await;
                None
            };
            while let Some((n, from)) =
                or(async { socket.recv_from(&mut packet).await.ok() }, late()).await
            {
                let mut lines = BTreeMap::new();
                let asked = |n: u16| number.wrapping_sub(n) < WAITING;
                let serial = dns::read(&packet[..n], asked, |h| {
                    lines.insert(h.name.to_string(), place(&h, &self.index));
                });
                let Some(serial) = serial.filter(|_| from == self.names) else {
                    if !std::mem::replace(&mut unread, true) {
                        warn!(self.log, "an answer of the name service can't be used"; "bytes" => n, "from" => from);
                    }
                    continue;
                };
                if std::mem::take(&mut unanswered) >= SILENT {
                    info!(self.log, "name service answers again");
                }
                self.shared.gauges.heard.set(self.shared.clock.now());
                self.heard(serial, lines).await;
            }
            Timer::at(until).await;
        }
        Ok(())
    }
}

fn place(h: &dns::Host, index: &NameIndex) -> DiscoveredEndpoint {
    let number = |name: &str| {
        h.text(name)
            .and_then(|t| t.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    DiscoveredEndpoint {
        address: (h.address, h.port).into(),
        zone: index.zone(h.zone),
        kind: index.kind(h.text("kind").unwrap_or_default()),
        marks: number("cell") as u16,
        state: if h.priority == 0 {
            EndpointState::Ready
        } else {
            EndpointState::Draining
        },
        since: number("started"),
    }
}
