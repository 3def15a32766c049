//! The sockets from which the name service is queried, and the packets that arrive on them.

use super::DiscoveryUpdate;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future::or;
use std::future::pending;
use std::net::{SocketAddr, UdpSocket};
use std::time::Instant;

/// The number of consecutive unanswered queries after which a new socket is opened for the first time, since a network
/// path may have failed for the old socket's port only. The number doubles with each further socket, and answers to the
/// socket before are still received: otherwise answers that take longer than a socket is used would never be heard.
const MIN_QUERIES_PER_SOCKET: u32 = 16;
/// The number of unanswered queries per socket does not grow beyond this one.
const MAX_QUERIES_PER_SOCKET: u32 = 256;

/// The queries, and the packets that arrive. It outlives a reload of the configuration file: otherwise reloads in quick
/// succession would discard every answer that is under way.
pub(super) struct Queries {
    pub(super) socket: Async<UdpSocket>,
    /// The socket that was used before. Answers to its queries may still arrive.
    previous_socket: Option<Async<UdpSocket>>,
    pub(super) last_id: u16,
    pub(super) next_at: Instant,
    /// Queries since the last valid answer.
    unanswered: u32,
    /// Queries since the last valid answer or the last change of the socket.
    unanswered_on_socket: u32,
    /// After how many of these the next socket is opened.
    queries_per_socket: u32,
    pub(super) is_malformed_logged: bool,
}

/// What the actor handles next.
pub(super) enum Event {
    Update(DiscoveryUpdate),
    QueryDue,
    Packet(ReceivedPacket),
}

/// Length and sender of a packet that was received into a buffer.
pub(super) struct ReceivedPacket {
    pub(super) length: usize,
    pub(super) sender: SocketAddr,
}

impl Queries {
    pub(super) fn new(socket: Async<UdpSocket>) -> Self {
        Queries {
            socket,
            previous_socket: None,
            last_id: u16::MAX,
            next_at: Instant::now(),
            unanswered: 0,
            unanswered_on_socket: 0,
            queries_per_socket: MIN_QUERIES_PER_SOCKET,
            is_malformed_logged: false,
        }
    }

    /// Records a valid answer, and returns the number of queries since the one before.
    pub(super) fn on_answer(&mut self) -> u32 {
        self.unanswered_on_socket = 0;
        self.queries_per_socket = MIN_QUERIES_PER_SOCKET;
        std::mem::take(&mut self.unanswered)
    }

    /// Records a query that was sent, and returns the number of queries since the last valid answer.
    pub(super) fn on_query(&mut self) -> u32 {
        self.unanswered += 1;
        self.unanswered_on_socket += 1;
        self.unanswered
    }

    /// Whether the network path of the present socket may have failed.
    pub(super) fn needs_another_socket(&self) -> bool {
        self.unanswered_on_socket >= self.queries_per_socket
    }

    /// Sends later queries from another socket.
    pub(super) fn change_socket(&mut self, socket: Async<UdpSocket>) {
        self.previous_socket = Some(std::mem::replace(&mut self.socket, socket));
        self.unanswered_on_socket = 0;
        self.queries_per_socket = (2 * self.queries_per_socket).min(MAX_QUERIES_PER_SOCKET);
    }

    /// The name service has another address: it is queried at once, and has not left a query unanswered yet.
    pub(super) fn restart(&mut self) {
        self.next_at = Instant::now();
        self.on_answer();
        self.is_malformed_logged = false;
    }

    /// Waits for the next event; a packet is stored in `buffer`.
    pub(super) async fn next_event(
        &self,
        updates: &Receiver<DiscoveryUpdate>,
        buffer: &mut [u8],
    ) -> Event {
        let updated = async {
            match updates.recv().await {
                Ok(update) => Event::Update(update),
                Err(_) => pending().await,
            }
        };
        let query_due = async {
            Timer::at(self.next_at).await;
            Event::QueryDue
        };
        let received = async { Event::Packet(self.receive(buffer).await) };
        or(updated, or(query_due, received)).await
    }

    /// Waits until a packet has arrived on one of the sockets, and receives it.
    async fn receive(&self, buffer: &mut [u8]) -> ReceivedPacket {
        loop {
            let sockets = [Some(&self.socket), self.previous_socket.as_ref()];
            for socket in sockets.into_iter().flatten() {
                // An error belongs to an earlier query, which counts as unanswered.
                if let Ok((length, sender)) = socket.get_ref().recv_from(buffer) {
                    return ReceivedPacket { length, sender };
                }
            }
            or(
                until_readable(Some(&self.socket)),
                until_readable(self.previous_socket.as_ref()),
            )
            .await;
        }
    }
}

/// Waits until something has arrived on the socket; forever if there is none.
async fn until_readable(socket: Option<&Async<UdpSocket>>) {
    let readable = async { socket?.readable().await.ok() };
    if readable.await.is_none() {
        pending::<()>().await;
    }
}
