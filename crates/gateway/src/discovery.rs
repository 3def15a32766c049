//! The discovery actor, which queries the name service and sends changes of the endpoint list to the dispatcher.

mod queries;

use crate::snapshot_store::SnapshotStore;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use ironstair::{EndpointState, Millis};
use ironstair_config_change::NameIndex;
use ironstair_protocol::dns::{self, AnswerError};
use ironstair_runtime::clock::duration;
use ironstair_runtime::{DiscoveredEndpoint, DispatcherMessage, Shared};
use queries::{Event, Queries};
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Instant;

/// The name of the engines' SRV records.
const SERVICE_NAME: &str = "_data._tcp.farm.lan";
/// The time between two queries, in ms. The gateway must act on a change within 1.5 s, which is enough for several
/// queries, so that a few lost answers do no harm.
const QUERY_INTERVAL: Millis = 200.0;
/// How many of the latest queries count as pending. However late an answer is, its list is news if its serial number is
/// higher than that of the list in use.
const MAX_PENDING_QUERIES: u16 = 1024;
/// The number of consecutive unanswered queries after which a warning is logged.
const UNANSWERED_BEFORE_WARNING: u32 = 10;

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
        self.publish_source();
        let mut queries = self.open_queries().await;
        let mut packet = vec![0; dns::MAX_ANSWER_BYTES];
        loop {
            match queries.next_event(&updates, &mut packet).await {
                Event::Update(update) => self.apply_update(update, &mut queries).await,
                Event::QueryDue => self.send_query(&mut queries).await,
                Event::Packet(received) => {
                    let bytes = &packet[..received.length];
                    self.on_packet(bytes, received.sender, &mut queries).await;
                    // Packets that arrive without a pause must not keep the other tasks from running.
                    yield_now().await;
                }
            }
        }
    }

    /// Opens a socket, and tries again as long as no descriptor is available.
    async fn open_queries(&self) -> Queries {
        loop {
            match Async::<UdpSocket>::bind((self.local_address, 0)) {
                Ok(socket) => return Queries::new(socket),
                Err(error) => {
                    warn!(self.log, "cannot open a socket for name service queries"; "error" => %error);
                    Timer::after(duration(QUERY_INTERVAL)).await;
                }
            }
        }
    }

    /// Applies the part of a reloaded file that concerns discovery. Answers that are under way still count, unless they
    /// come from an address that is not the name service's any more.
    async fn apply_update(&mut self, update: DiscoveryUpdate, queries: &mut Queries) {
        info!(self.log, "name service settings updated"; "address" => update.name_service);
        if self.name_service != update.name_service {
            self.name_service = update.name_service;
            self.publish_source();
            queries.restart();
        }
        self.name_index = update.name_index;
        self.on_list(EndpointList {
            serial: update.serial,
            endpoints: update.endpoints,
        })
        .await;
    }

    fn publish_source(&self) {
        let source = format!("dns {}", self.name_service);
        self.shared.metrics.discovery_source.replace(source);
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
        if self.dispatcher.send(message).await.is_ok() {
            self.serial = list.serial;
            self.shared.metrics.endpoint_list_serial.set(list.serial);
        }
    }

    /// Sends the next query.
    async fn send_query(&self, queries: &mut Queries) {
        queries.last_id = queries.last_id.wrapping_add(1);
        queries.next_at = Instant::now() + duration(QUERY_INTERVAL);
        let mut query = Vec::new();
        dns::write_query(&mut query, queries.last_id, SERVICE_NAME);
        // A failed send is treated as a lost query; the next one follows after the interval.
        let _ = queries.socket.send_to(&query, self.name_service).await;
        let unanswered = queries.on_query();
        if unanswered == UNANSWERED_BEFORE_WARNING {
            warn!(self.log, "name service not answering"; "unanswered" => unanswered);
        }
        if queries.needs_another_socket() {
            // If no descriptor is available, the old socket stays in use.
            if let Ok(socket) = Async::<UdpSocket>::bind((self.local_address, 0)) {
                queries.change_socket(socket);
            }
        }
    }

    async fn on_packet(&mut self, packet: &[u8], sender: SocketAddr, queries: &mut Queries) {
        let list = match self.read_list(packet, sender, queries.last_id) {
            Ok(list) => list,
            Err(error) => {
                if !std::mem::replace(&mut queries.is_malformed_logged, true) {
                    warn!(
                        self.log, "invalid name service answer";
                        "error" => %error, "bytes" => packet.len(), "address" => sender
                    );
                }
                return;
            }
        };
        if queries.on_answer() >= UNANSWERED_BEFORE_WARNING {
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
