//! The listener for other gateways: words are looked over and handed to the actor, whose mailbox is bounded.

use crate::actor::{AgentMessage, FleetCommand, Hint};
use crate::peer::WORD_MOST;
use crate::proto::fleet_server::{Fleet, FleetServer};
use crate::proto::Word;
use crate::FORM;
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
const PING_EVERY: Duration = Duration::from_secs(5);
const PING_WITHIN: Duration = Duration::from_secs(5);
const CALLS_MOST: u32 = 64;
/// Connections at once: a member has one to each voter.
const CONNECTIONS_MOST: usize = 1024;
/// Without a free descriptor: how long until the next try.
const NO_DESCRIPTOR: Duration = Duration::from_millis(50);

/// Who this gateway is among its fleet.
#[derive(Clone)]
pub struct Own {
    pub fleet: String,
    pub name: String,
    pub start: u64,
}

impl Own {
    pub fn word(&self, body: Vec<u8>) -> Word {
        Word {
            form: FORM,
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
    pub fn looked_over(&self, word: &Word) -> Result<(), String> {
        if word.form != FORM {
            return Err(format!(
                "{} speaks form {}, {} here knows {FORM}",
                word.from, word.form, self.name
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
    own: Own,
    mail: mpsc::Sender<AgentMessage>,
    log: Logger,
    /// The last sentence on a word not taken: said once, not with each heartbeat.
    said: Mutex<String>,
}

impl Service {
    fn body(&self, request: Request<Word>) -> Result<Word, Status> {
        let word = request.into_inner();
        self.own.looked_over(&word).map_err(|why| {
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

    fn word(&self, body: &impl serde::Serialize) -> Result<Response<Word>, Status> {
        let body = serde_json::to_vec(body).map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(self.own.word(body)))
    }
}

fn read<T: serde::de::DeserializeOwned>(word: &Word) -> Result<T, Status> {
    serde_json::from_slice(&word.body)
        .map_err(|e| Status::invalid_argument(format!("can't be read: {e}")))
}

#[tonic::async_trait]
impl Fleet for Service {
    async fn beat(&self, request: Request<Word>) -> Result<Response<Word>, Status> {
        let word = self.body(request)?;
        let heartbeat: Heartbeat = read(&word)?;
        if (&heartbeat.name, heartbeat.start) != (&word.from, word.start) {
            return Err(Status::invalid_argument("a beat in another's name"));
        }
        let answer: Result<HeartbeatResponse<Json>, Hint> = self
            .hand(|to| AgentMessage::Heartbeat(heartbeat, to))
            .await?;
        self.word(&answer)
    }

    async fn agree(&self, request: Request<Word>) -> Result<Response<Word>, Status> {
        let word = self.body(request)?;
        let _ = self
            .mail
            .try_send(AgentMessage::Agree(word.from, word.body));
        Ok(Response::new(self.own.word(Vec::new())))
    }

    async fn knock(&self, request: Request<Word>) -> Result<Response<Word>, Status> {
        let word = self.body(request)?;
        let number: u64 = read(&word)?;
        let generation = self
            .hand(|to| AgentMessage::Join(word.from, number, to))
            .await?;
        self.word(&generation)
    }

    async fn ask(&self, request: Request<Word>) -> Result<Response<Word>, Status> {
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
    let places = Arc::new(Semaphore::new(CONNECTIONS_MOST));
    loop {
        let Ok(room) = places.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(NO_DESCRIPTOR).await;
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
    own: Own,
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
        .max_decoding_message_size(WORD_MOST)
        .max_encoding_message_size(WORD_MOST);
    let server = Server::builder()
        .http2_keepalive_interval(Some(PING_EVERY))
        .http2_keepalive_timeout(Some(PING_WITHIN))
        .max_concurrent_streams(Some(CALLS_MOST))
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
