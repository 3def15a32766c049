//! The listener for other gateways: words are looked over and handed to the actor, whose mailbox is bounded.

use crate::message::{AgentMessage, FleetCommand, LeaderHint};
use crate::peer::MAX_MESSAGE_BYTES;
use crate::proto::fleet_server::{Fleet, FleetServer};
use crate::proto::Envelope;
use crate::FORMAT_VERSION;
use ironstair_coordination::{Heartbeat, HeartbeatResponse};
use serde_json::Value as Json;
use slog::{warn, Logger};
use std::net::TcpListener as Bound;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::StreamExt;
use tonic::transport::server::Connected;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

/// A peer that answers no ping for so long is gone.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_STREAMS_PER_CONNECTION: u32 = 64;
/// Connections at once: a member has one to each voter.
const MAX_CONNECTIONS: usize = 1024;
/// Without a free descriptor: how long until the next try.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Who this gateway is among its fleet.
#[derive(Clone)]
pub struct Identity {
    pub fleet: String,
    pub name: String,
    pub start: u64,
}

impl Identity {
    pub fn envelope(&self, body: Vec<u8>) -> Envelope {
        Envelope {
            format_version: FORMAT_VERSION,
            fleet: self.fleet.clone(),
            from: self.name.clone(),
            start: self.start,
            body,
        }
    }

    /// Whether a word is one for this gateway.
    ///
    /// # Errors
    /// The sentence that says why not.
    pub fn validate(&self, word: &Envelope) -> Result<(), String> {
        if word.format_version != FORMAT_VERSION {
            return Err(format!(
                "{} speaks form {}, {} here knows {FORMAT_VERSION}",
                word.from, word.format_version, self.name
            ));
        }
        if word.fleet != self.fleet {
            return Err(format!(
                "{} is of fleet {:?}, {} here of {:?}",
                word.from, word.fleet, self.name, self.fleet
            ));
        }
        if word.from == self.name && word.start != self.start {
            return Err(format!("another process is called {} too", self.name));
        }
        Ok(())
    }
}

pub struct Service {
    own: Identity,
    mail: mpsc::Sender<AgentMessage>,
    log: Logger,
    /// The last sentence on a word not taken: said once, not with each heartbeat.
    said: Mutex<String>,
}

impl Service {
    fn body(&self, request: Request<Envelope>) -> Result<Envelope, Status> {
        let word = request.into_inner();
        self.own.validate(&word).map_err(|why| {
            let mut said = self.said.lock().unwrap_or_else(PoisonError::into_inner);
            if *said != why {
                warn!(self.log, "a word of another gateway is not taken"; "why" => &why);
                said.clone_from(&why);
            }
            Status::failed_precondition(why)
        })?;
        Ok(word)
    }

    async fn hand<T>(
        &self,
        mail: impl FnOnce(oneshot::Sender<T>) -> AgentMessage,
    ) -> Result<T, Status> {
        let (answer, told) = oneshot::channel();
        self.mail
            .try_send(mail(answer))
            .map_err(|_| Status::resource_exhausted("too much waits here"))?;
        told.await
            .map_err(|_| Status::unavailable("not the chair any more"))
    }

    fn word(&self, body: &impl serde::Serialize) -> Result<Response<Envelope>, Status> {
        let body = serde_json::to_vec(body).map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(self.own.envelope(body)))
    }
}

fn read<T: serde::de::DeserializeOwned>(word: &Envelope) -> Result<T, Status> {
    serde_json::from_slice(&word.body)
        .map_err(|e| Status::invalid_argument(format!("can't be read: {e}")))
}

#[tonic::async_trait]
impl Fleet for Service {
    async fn beat(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let word = self.body(request)?;
        let heartbeat: Heartbeat = read(&word)?;
        if (&heartbeat.name, heartbeat.start) != (&word.from, word.start) {
            return Err(Status::invalid_argument("a beat in another's name"));
        }
        let answer: Result<HeartbeatResponse<Json>, LeaderHint> = self
            .hand(|to| AgentMessage::Heartbeat(heartbeat, to))
            .await?;
        self.word(&answer)
    }

    async fn agree(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let word = self.body(request)?;
        let _ = self
            .mail
            .try_send(AgentMessage::RaftMessage(word.from, word.body));
        Ok(Response::new(self.own.envelope(Vec::new())))
    }

    async fn knock(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let word = self.body(request)?;
        let number: u64 = read(&word)?;
        let history = self
            .hand(|to| AgentMessage::JoinRequest(word.from, number, to))
            .await?;
        self.word(&history)
    }

    async fn ask(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let word = self.body(request)?;
        let asked: FleetCommand = read(&word)?;
        let answer = self.hand(|to| AgentMessage::Command(asked, to)).await?;
        self.word(&answer)
    }
}

/// One connection, with its place among those that there may be.
struct Link {
    to: TcpStream,
    _room: OwnedSemaphorePermit,
}

impl Connected for Link {
    type ConnectInfo = ();
    fn connect_info(&self) {}
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        b: &mut ReadBuf,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.to).poll_read(cx, b)
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        b: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.to).poll_write(cx, b)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.to).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.to).poll_shutdown(cx)
    }
}

async fn accept(listener: TcpListener, to: mpsc::Sender<Link>) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(room) = places.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        if to
            .send(Link {
                to: stream,
                _room: room,
            })
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Serves until the process ends.
///
/// # Errors
/// The listener fails.
pub async fn serve(
    bound: Bound,
    own: Identity,
    mail: mpsc::Sender<AgentMessage>,
    log: Logger,
) -> Result<(), String> {
    let listener = TcpListener::from_std(bound).map_err(|e| e.to_string())?;
    let service = Service {
        own,
        mail,
        log,
        said: Mutex::default(),
    };
    let served = FleetServer::new(service);
    let served = served
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let server = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .max_concurrent_streams(Some(MAX_STREAMS_PER_CONNECTION))
        .add_service(served);
    let (to, links) = mpsc::channel(1);
    tokio::spawn(accept(listener, to));
    let links = ReceiverStream::new(links).map(Ok::<Link, std::io::Error>);
    server
        .serve_with_incoming(links)
        .await
        .map_err(|e| e.to_string())
}

/// What this process holds for itself alone as long as it lives, its listener's address: on this machine since it
/// started, in this network namespace. A stopped process holds it, and one whose threads have not all ended. Empty
/// where the system does not tell both.
pub fn place(listen: std::net::SocketAddr) -> String {
    let machine = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
    let network = std::fs::read_link("/proc/self/ns/net");
    match (machine, network) {
        (Ok(machine), Ok(network)) if listen.port() != 0 => {
            format!("{} {} {listen}", machine.trim(), network.display())
        }
        _ => String::new(),
    }
}

/// Bound before anything is started: a port in use is told at once.
///
/// # Errors
/// As the system has it.
pub fn bind(at: std::net::SocketAddr) -> Result<Bound, String> {
    let fault = |e: std::io::Error| format!("fleet.listen: {at}: {e}");
    let bound = Bound::bind(at).map_err(fault)?;
    bound.set_nonblocking(true).map_err(fault)?;
    Ok(bound)
}
