//! The list's actor: asks the name service and tells the module's actor of changes.

use crate::clock::span;
use crate::module::Event;
use crate::told::{Index, Place};
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::future::or;
use ironstair::Standing;
use ironstair_protocol::dns;
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, UdpSocket};

const ZONE: &str = "_data._tcp.farm.lan";
/// A change counts as told 1.5 s after it happened, heard of or not: asked several times as often, a few lost
/// answers do no harm.
const ASK_EVERY: f64 = 200.0;
/// Silence worth a line in the log.
const SILENT: u32 = 10;

pub async fn follow(
    from: IpAddr,
    names: SocketAddr,
    index: Index,
    mut rev: u32,
    module: Sender<Event>,
    log: Logger,
) -> std::io::Result<()> {
    let socket = Async::<UdpSocket>::bind((from, 0))?;
    let (mut query, mut packet) = (Vec::new(), vec![0; dns::ANSWER_MOST]);
    let (mut unanswered, mut unread) = (0u32, false);
    for number in (0..=u16::MAX).cycle() {
        query.clear();
        dns::question(&mut query, number, ZONE);
        // One that can't be sent is as good as lost on the way.
        let _ = socket.send_to(&query, names).await;
        let mut pause = Timer::after(span(ASK_EVERY));
        let heard = async {
            loop {
                let (n, from) = socket.recv_from(&mut packet).await?;
                let mut lines = BTreeMap::new();
                let serial = dns::read(&packet[..n], number, |h| {
                    lines.insert(h.name.to_string(), place(&h, &index));
                });
                if let Some(serial) = serial.filter(|_| from == names) {
                    return Ok::<_, std::io::Error>(Some((serial, lines)));
                }
                if !std::mem::replace(&mut unread, true) {
                    warn!(log, "an answer of the name service can't be used"; "bytes" => n, "from" => from);
                }
            }
        };
        let late = async {
            (&mut pause).await;
            Ok(None)
        };
        match or(heard, late).await {
            Ok(Some((serial, lines))) => {
                if unanswered >= SILENT {
                    info!(log, "name service answers again"; "after" => unanswered);
                }
                unanswered = 0;
                if serial > rev {
                    rev = serial;
                    if module.send(Event::Roster(lines)).await.is_err() {
                        return Ok(());
                    }
                }
            }
            Ok(None) | Err(_) => {
                unanswered += 1;
                if unanswered == SILENT {
                    warn!(log, "name service is silent"; "questions" => unanswered);
                }
            }
        }
        if pause.will_fire() {
            pause.await;
        }
    }
    Ok(())
}

fn place(h: &dns::Host, index: &Index) -> Place {
    let number = |name: &str| h.text(name).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    Place {
        address: (h.address, h.port).into(),
        zone: index.zone(h.zone),
        kind: index.kind(h.text("kind").unwrap_or_default()),
        cell: number("cell") as u16,
        standing: if h.priority == 0 { Standing::Ready } else { Standing::Draining },
        since: number("started"),
    }
}
