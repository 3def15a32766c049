//! The discovery actor, which queries the name service and sends changes of the endpoint list to the dispatcher.

use crate::snapshot_store::SnapshotStore;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future::or;
use ironstair::{EndpointState, Millis};
use ironstair_config_change::NameIndex;
use ironstair_protocol::dns::{self, AnswerError};
use ironstair_runtime::clock::duration;
use ironstair_runtime::{DiscoveredEndpoint, DispatcherMessage, Shared};
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Instant;

/// The name of the engines' SRV records.
const SERVICE_NAME: &str = "_data._tcp.farm.lan";
/// The time between two queries, in ms. The gateway must act on a change within 1.5 s, which is enough for several
/// queries, so that a few lost answers do no harm.
const QUERY_INTERVAL: Millis = 200.0;
/// How many of the latest queries count as pending, since an answer may take longer than the interval. An answer to an
/// older query would arrive after the 1.5 s within which a change must take effect.
const MAX_PENDING_QUERIES: u16 = 8;
/// The number of consecutive unanswered queries after which a warning is logged.
const UNANSWERED_BEFORE_WARNING: u32 = 10;
/// The number of consecutive unanswered queries after which a new socket is opened, since a network path may have
/// failed for the old socket's port only. It exceeds the number of pending queries, so that no answer to one of them is
/// lost.
const UNANSWERED_BEFORE_NEW_SOCKET: u32 = 2 * MAX_PENDING_QUERIES as u32;

/// The part of a reloaded configuration file that concerns discovery.
pub(crate) struct DiscoveryUpdate {
    /// The name service's address.
    pub(crate) name_service: SocketAddr,
    /// The endpoint list, by the endpoints' names.
    pub(crate) endpoints: BTreeMap<String, DiscoveredEndpoint>,
    /// The serial number of the list's last change.
    pub(crate) serial: u32,
    /// The names of zones and machine types, in the order of the policy's indices.
    pub(crate) name_index: NameIndex,
}

/// Queries the name service and sends changes to the dispatcher.
pub(crate) struct Discovery {
    /// The local address from which queries are sent.
    pub(crate) local_address: IpAddr,
    /// The name service's address.
    pub(crate) name_service: SocketAddr,
    /// The names of zones and machine types, in the order of the policy's indices.
    pub(crate) name_index: NameIndex,
    /// The serial number of the last list that was sent to the dispatcher.
    pub(crate) serial: u32,
    /// The dispatcher's queue.
    pub(crate) dispatcher: Sender<DispatcherMessage>,
    /// The log.
    pub(crate) log: Logger,
    /// The state that all actors share.
    pub(crate) shared: Rc<Shared>,
    /// Saves the list for the next process, if the operator file has the section `recovery`.
    pub(crate) snapshot_store: Option<SnapshotStore>,
}

/// An endpoint list with the serial number of its last change.
struct EndpointList {
    serial: u32,
    endpoints: BTreeMap<String, DiscoveredEndpoint>,
}

/// Tracks unanswered queries and malformed answers, to decide when to log and when to open a new socket.
#[derive(Default)]
struct QueryHealth {
    unanswered: u32,
    malformed_logged: bool,
}

/// Why a packet is not a valid answer of the name service.
#[derive(Debug, thiserror::Error)]
enum PacketError {
    #[error(transparent)]
    Answer(#[from] AnswerError),
    #[error("sender is not the name service")]
    UnexpectedSender,
}

impl Discovery {
    /// Runs until the process ends. `updates` are sent when the configuration file is reloaded.
    pub(crate) async fn run(mut self, updates: Receiver<DiscoveryUpdate>) {
        loop {
            let updated = async { updates.recv().await.ok() };
            // An update drops this future, and with it the socket for the old address, so that a late answer from there
            // cannot replace the new list.
            let queries = async {
                if let Err(error) = self.query_repeatedly().await {
                    warn!(self.log, "cannot open a socket for name service queries"; "error" => %error);
                    Timer::after(duration(QUERY_INTERVAL)).await;
                }
                None
            };
            if let Some(update) = or(updated, queries).await {
                info!(self.log, "name service settings updated"; "address" => update.name_service);
                self.name_service = update.name_service;
                self.name_index = update.name_index;
                self.on_list(EndpointList {
                    serial: update.serial,
                    endpoints: update.endpoints,
                })
                .await;
            }
        }
    }

    /// Sends a list to the dispatcher and the snapshot store, unless the dispatcher has the same or a newer one.
    async fn on_list(&mut self, list: EndpointList) {
        if list.serial <= self.serial {
            return;
        }
        if let Some(store) = &self.snapshot_store {
            store.update_endpoints(list.serial, &list.endpoints, &self.name_index);
        }
        let message = DispatcherMessage::Endpoints(list.endpoints);
        // The serial is recorded last: an update of the configuration may cancel this function while the dispatcher's
        // queue is full, and the list must then not count as sent.
        if self.dispatcher.send(message).await.is_ok() {
            self.serial = list.serial;
            self.shared.metrics.endpoint_list_serial.set(list.serial);
        }
    }

    /// Queries the name service until it is cancelled.
    ///
    /// # Errors
    /// No socket could be bound.
    async fn query_repeatedly(&mut self) -> io::Result<()> {
        let mut socket = Async::<UdpSocket>::bind((self.local_address, 0))?;
        let source = format!("dns {}", self.name_service);
        self.shared.metrics.discovery_source.replace(source);
        let mut query = Vec::new();
        let mut packet = vec![0; dns::MAX_ANSWER_BYTES];
        let mut health = QueryHealth::default();
        for id in (0..=u16::MAX).cycle() {
            query.clear();
            dns::write_query(&mut query, id, SERVICE_NAME);
            // A failed send is treated as a lost query; the next one follows after the interval.
            let _ = socket.send_to(&query, self.name_service).await;
            health.unanswered += 1;
            if health.unanswered == UNANSWERED_BEFORE_WARNING {
                warn!(self.log, "name service not answering"; "unanswered" => health.unanswered);
            }
            if health
                .unanswered
                .is_multiple_of(UNANSWERED_BEFORE_NEW_SOCKET)
            {
                // If no descriptor is available, the old socket stays in use.
                if let Ok(new_socket) = Async::<UdpSocket>::bind((self.local_address, 0)) {
                    socket = new_socket;
                }
            }
            let next_query_at = Instant::now() + duration(QUERY_INTERVAL);
            while let Some(received) = receive(&socket, &mut packet, next_query_at).await {
                let bytes = &packet[..received.length];
                self.on_packet(bytes, received.sender, id, &mut health)
                    .await;
            }
            Timer::at(next_query_at).await;
        }
        Ok(())
    }

    /// Handles a packet that was received after the query with the id `last_id` was sent.
    async fn on_packet(
        &mut self,
        packet: &[u8],
        sender: SocketAddr,
        last_id: u16,
        health: &mut QueryHealth,
    ) {
        let list = match self.read_list(packet, sender, last_id) {
            Ok(list) => list,
            Err(error) => {
                if !std::mem::replace(&mut health.malformed_logged, true) {
                    warn!(
                        self.log, "invalid name service answer";
                        "error" => %error, "bytes" => packet.len(), "address" => sender
                    );
                }
                return;
            }
        };
        if std::mem::take(&mut health.unanswered) >= UNANSWERED_BEFORE_WARNING {
            info!(self.log, "name service answering again");
        }
        let now = self.shared.clock.now();
        self.shared.metrics.last_heard_at.set(now);
        self.on_list(list).await;
    }

    /// Decodes the answer to one of the pending queries.
    fn read_list(
        &self,
        packet: &[u8],
        sender: SocketAddr,
        last_id: u16,
    ) -> Result<EndpointList, PacketError> {
        if sender != self.name_service {
            return Err(PacketError::UnexpectedSender);
        }
        let mut endpoints = BTreeMap::new();
        let is_pending = |id: u16| last_id.wrapping_sub(id) < MAX_PENDING_QUERIES;
        let serial = dns::read_answer(packet, is_pending, |host| {
            endpoints.insert(host.name.to_owned(), endpoint(&host, &self.name_index));
        })?;
        Ok(EndpointList { serial, endpoints })
    }
}

/// Length and sender of a packet that was received into a buffer.
struct ReceivedPacket {
    length: usize,
    sender: SocketAddr,
}

/// Receives the next packet; `None` if `deadline` comes first.
async fn receive(
    socket: &Async<UdpSocket>,
    buffer: &mut [u8],
    deadline: Instant,
) -> Option<ReceivedPacket> {
    let received = async {
        let (length, sender) = socket.recv_from(buffer).await.ok()?;
        Some(ReceivedPacket { length, sender })
    };
    let expired = async {
        Timer::at(deadline).await;
        None
    };
    or(received, expired).await
}

fn endpoint(host: &dns::Host, index: &NameIndex) -> DiscoveredEndpoint {
    let number = |name: &str| {
        let number = host.attribute(name).and_then(|text| text.parse().ok());
        number.unwrap_or(0.0)
    };
    let state = match host.priority {
        0 => EndpointState::Ready,
        _ => EndpointState::Draining,
    };
    DiscoveredEndpoint {
        address: (host.address, host.port).into(),
        zone: index.zone(host.zone),
        machine_type: index.machine_type(host.attribute("kind").unwrap_or_default()),
        dedup_domain: number("cell") as u16,
        state,
        started_at: number("started"),
    }
}
