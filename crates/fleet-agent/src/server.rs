//! The listener for other gateways. It validates and decodes messages and passes them to the actor, whose queue is
//! bounded.

use crate::envelope::{EnvelopeError, Identity, MAX_MESSAGE_BYTES};
use crate::error::StartError;
use crate::handle::{AgentHandle, RequestError};
use crate::incoming::{accept_connections, IncomingConnection};
use crate::message::{AgentMessage, FleetCommand, HeartbeatReply, JoinRequest};
use crate::proto::fleet_server::{Fleet, FleetServer};
use crate::proto::Envelope;
use ironstair_coordination::Heartbeat;
use slog::{warn, Logger};
use std::net::{SocketAddr, TcpListener as BoundListener};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::StreamExt;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

/// The interval of keepalive probes on a connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// The time without an answer to a probe after which a connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit of concurrent calls on one connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 64;

/// Why the listener ended.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The bound socket can't be used by the runtime.
    #[error(transparent)]
    Socket(#[from] std::io::Error),
    /// The server failed.
    #[error(transparent)]
    Transport(#[from] tonic::transport::Error),
}

/// The service `ironstair.fleet.Fleet`.
struct Service {
    identity: Identity,
    agent: AgentHandle,
    log: Logger,
    /// The last logged reason for a rejection. The same reason is not logged again for each heartbeat.
    last_rejection: Mutex<Option<EnvelopeError>>,
}

impl Service {
    fn validated(&self, request: Request<Envelope>) -> Result<Envelope, Status> {
        let envelope = request.into_inner();
        match self.identity.validate(&envelope) {
            Ok(()) => Ok(envelope),
            Err(error) => {
                let status = Status::failed_precondition(error.to_string());
                self.log_rejection(error);
                Err(status)
            }
        }
    }

    fn log_rejection(&self, error: EnvelopeError) {
        let mut last = self
            .last_rejection
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if last.as_ref() != Some(&error) {
            warn!(self.log, "message of another gateway rejected"; "error" => %error);
            *last = Some(error);
        }
    }

    fn respond(&self, body: &impl serde::Serialize) -> Result<Response<Envelope>, Status> {
        let body = serde_json::to_vec(body).map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(self.identity.envelope(body)))
    }
}

impl From<RequestError> for Status {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::MailboxFull => Status::resource_exhausted(error.to_string()),
            RequestError::Dropped => Status::unavailable(error.to_string()),
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(envelope: &Envelope) -> Result<T, Status> {
    serde_json::from_slice(&envelope.body).map_err(|error| {
        Status::invalid_argument(format!("the message body can't be decoded: {error}"))
    })
}

#[tonic::async_trait]
impl Fleet for Service {
    async fn beat(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let envelope = self.validated(request)?;
        let heartbeat: Heartbeat = decode(&envelope)?;
        if heartbeat.name != envelope.from || heartbeat.start != envelope.start {
            return Err(Status::invalid_argument(format!(
                "the heartbeat is of {} (start {}), but its envelope of {} (start {})",
                heartbeat.name, heartbeat.start, envelope.from, envelope.start
            )));
        }
        let message = |response| AgentMessage::Heartbeat {
            heartbeat,
            response,
        };
        let reply: HeartbeatReply = self.agent.request(message).await?;
        self.respond(&reply)
    }

    async fn agree(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let envelope = self.validated(request)?;
        self.agent.send_or_drop(AgentMessage::RaftMessage {
            from: envelope.from,
            bytes: envelope.body,
        });
        Ok(Response::new(self.identity.envelope(Vec::new())))
    }

    async fn knock(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let envelope = self.validated(request)?;
        // 0 is not the id of a replica: it asks for the cluster generation only.
        let replica_id: u64 = decode(&envelope)?;
        let message = |response| {
            AgentMessage::JoinRequest(JoinRequest {
                voter: envelope.from,
                replica_id: (replica_id != 0).then_some(replica_id),
                response,
            })
        };
        let generation = self.agent.request(message).await?;
        self.respond(&generation)
    }

    async fn ask(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let envelope = self.validated(request)?;
        let command: FleetCommand = decode(&envelope)?;
        let message = |response| AgentMessage::Command { command, response };
        let response = self.agent.request(message).await?;
        self.respond(&response)
    }
}

/// Serves calls of other gateways until the process ends.
///
/// # Errors
/// Fails if the listener or the server fails.
pub async fn serve(
    bound: BoundListener,
    identity: Identity,
    agent: AgentHandle,
    log: Logger,
) -> Result<(), ServeError> {
    let listener = TcpListener::from_std(bound)?;
    let service = Service {
        identity,
        agent,
        log,
        last_rejection: Mutex::default(),
    };
    let service = FleetServer::new(service)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let server = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .max_concurrent_streams(Some(MAX_STREAMS_PER_CONNECTION))
        .add_service(service);
    let (accepted, connections) = mpsc::channel(1);
    tokio::spawn(accept_connections(listener, accepted));
    let connections =
        ReceiverStream::new(connections).map(Ok::<IncomingConnection, std::io::Error>);
    Ok(server.serve_with_incoming(connections).await?)
}

/// Binds the listener. That happens before anything is started, so that a port in use is reported at start.
///
/// # Errors
/// Fails with the system's error and the address.
pub fn bind(address: SocketAddr) -> Result<BoundListener, StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let bound = BoundListener::bind(address).map_err(listen_error)?;
    bound.set_nonblocking(true).map_err(listen_error)?;
    Ok(bound)
}
