//! The listener of the service: accepts connections, enforces their limits, and identifies clients.

use crate::connection::{ClientConnection, ClientStream};
use crate::proto::gnmi::g_nmi_server::GNmiServer;
use crate::roles::Identity;
use crate::service::Service;
use crate::tls_keys::TlsKeys;
use ironstair::Millis;
use ironstair_runtime::clock::duration;
use slog::{info, Logger};
use std::io;
use std::net::{SocketAddr, TcpListener as BoundListener};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::StreamExt;
use tonic::transport::Server;

/// The limit on bytes of one request.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// How often clients are pinged. A client that does not answer within [`PING_TIMEOUT`] is disconnected.
const PING_INTERVAL: Duration = Duration::from_secs(20);
const PING_TIMEOUT: Duration = Duration::from_secs(10);

/// The limit on concurrent calls on one connection.
const MAX_CALLS_PER_CONNECTION: u32 = 64;

/// The limit on connections, including those in their TLS handshake.
const MAX_CONNECTIONS: usize = 256;

/// The limit on the duration of a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the listener pauses after a failed accept, which usually means that no file descriptor is free.
const ACCEPT_RETRY_DELAY: Millis = 50.0;

/// Why the service can't listen or serve.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The address can't be bound.
    #[error("management.listen: cannot bind {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The runtime can't use the listener.
    #[error(transparent)]
    Listener(io::Error),
    /// Serving failed.
    #[error(transparent)]
    Transport(tonic::transport::Error),
}

/// Binds the listener. The program does so before any other start-up step, so that a port in use is reported at once.
///
/// # Errors
/// The address can't be bound.
pub fn bind(address: SocketAddr) -> Result<BoundListener, ServerError> {
    let bind_error = |source| ServerError::Bind { address, source };
    let listener = BoundListener::bind(address).map_err(bind_error)?;
    listener.set_nonblocking(true).map_err(bind_error)?;
    Ok(listener)
}

/// Serves until the process ends.
///
/// With keys, clients connect over TLS and are identified by their certificates. Without keys, which is allowed on the
/// loopback interface only, every client may read and change settings. A message on `reload_keys` reloads the keys.
///
/// # Errors
/// The listener failed.
pub async fn serve(
    listener: BoundListener,
    service: Service,
    keys: Option<Arc<TlsKeys>>,
    reload_keys: mpsc::Receiver<()>,
    log: Logger,
) -> Result<(), ServerError> {
    let listener = TcpListener::from_std(listener).map_err(ServerError::Listener)?;
    if let Some(keys) = keys.clone() {
        let log = log.clone();
        tokio::spawn(async move { keys.watch_files(reload_keys, log).await });
    }
    let (identified, connections) = mpsc::channel(1);
    let acceptor = Acceptor {
        keys,
        identified,
        log,
    };
    tokio::spawn(acceptor.run(listener));
    let service = GNmiServer::new(service).max_decoding_message_size(MAX_REQUEST_BYTES);
    let server = Server::builder()
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .max_concurrent_streams(Some(MAX_CALLS_PER_CONNECTION))
        .add_service(service);
    let connections = ReceiverStream::new(connections).map(Ok::<ClientConnection, io::Error>);
    let served = server.serve_with_incoming(connections).await;
    served.map_err(ServerError::Transport)
}

/// Accepts connections and identifies their clients.
#[derive(Clone)]
struct Acceptor {
    keys: Option<Arc<TlsKeys>>,
    identified: mpsc::Sender<ClientConnection>,
    log: Logger,
}

impl Acceptor {
    /// Accepts connections for ever. Each client is identified in its own task, so that a slow handshake does not delay
    /// others.
    async fn run(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            let Ok((stream, address)) = listener.accept().await else {
                sleep(duration(ACCEPT_RETRY_DELAY)).await;
                continue;
            };
            // Without TCP_NODELAY small answers would wait for the client's acknowledgement. An error is ignored: the
            // connection works either way.
            let _ = stream.set_nodelay(true);
            tokio::spawn(self.clone().identify(stream, address, permit));
        }
    }

    async fn identify(self, stream: TcpStream, address: SocketAddr, permit: OwnedSemaphorePermit) {
        let accepted = match &self.keys {
            None => Ok(accept_plain(stream, address)),
            Some(keys) => accept_tls(keys, stream).await,
        };
        match accepted {
            Ok((stream, identity)) => {
                let connection = ClientConnection {
                    stream,
                    identity,
                    _permit: permit,
                };
                // Fails only if the server has ended; the connection is then dropped.
                let _ = self.identified.send(connection).await;
            }
            Err(error) => {
                info!(self.log, "management client rejected"; "address" => address, "error" => %error);
            }
        }
    }
}

/// Why a client is rejected.
#[derive(Debug, thiserror::Error)]
enum ClientRejected {
    #[error("TLS handshake not completed within {} s", HANDSHAKE_TIMEOUT.as_secs())]
    HandshakeTimeout,
    #[error(transparent)]
    Handshake(io::Error),
    #[error("no name in the client's certificate has a role that may read or change settings")]
    NoRole,
}

fn accept_plain(stream: TcpStream, address: SocketAddr) -> (ClientStream, Identity) {
    let identity = Identity {
        name: address.to_string(),
        may_change: true,
    };
    (ClientStream::Plain(stream), identity)
}

async fn accept_tls(
    keys: &TlsKeys,
    stream: TcpStream,
) -> Result<(ClientStream, Identity), ClientRejected> {
    let handshake = timeout(HANDSHAKE_TIMEOUT, keys.acceptor().accept(stream)).await;
    let stream = handshake
        .map_err(|_| ClientRejected::HandshakeTimeout)?
        .map_err(ClientRejected::Handshake)?;
    let (_, session) = stream.get_ref();
    let certificate = session.peer_certificates().and_then(|chain| chain.first());
    let identity = certificate.and_then(|certificate| keys.identify(certificate));
    let identity = identity.ok_or(ClientRejected::NoRole)?;
    Ok((ClientStream::Tls(Box::new(stream)), identity))
}
