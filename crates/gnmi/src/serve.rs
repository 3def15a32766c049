//! The listener: connections, their bounds, and who is at their other end.

use crate::proto::gnmi::g_nmi_server::GNmiServer;
use crate::service::{Service, Who};
use std::future::Future;
use std::net::{SocketAddr, TcpListener as Bound};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_stream::wrappers::TcpListenerStream;
use tokio_stream::StreamExt;
use tonic::transport::server::TcpConnectInfo;
use tonic::transport::Server;
use tonic::{Request, Status};

/// Bytes of one request.
const REQUEST_MOST: usize = 1 << 20;
/// A peer that answers no ping for so long is gone.
const PING_EVERY: Duration = Duration::from_secs(20);
const PING_WITHIN: Duration = Duration::from_secs(10);
const CALLS_MOST: u32 = 64;

/// What one gateway bears of management.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub streams: usize,
}

/// Bound before anything is started: a port in use is told at once.
///
/// # Errors
/// As the system has it.
pub fn bind(at: SocketAddr) -> Result<Bound, String> {
    let fault = |e: std::io::Error| format!("management.listen: {at}: {e}");
    let bound = Bound::bind(at).map_err(fault)?;
    bound.set_nonblocking(true).map_err(fault)?;
    Ok(bound)
}

/// Serves on loopback without TLS: everybody there may read and change.
///
/// # Errors
/// The listener fails.
pub async fn plain(bound: Bound, service: Service, until: impl Future<Output = ()>) -> Result<(), String> {
    let listener = TcpListener::from_std(bound).map_err(|e| e.to_string())?;
    let incoming = TcpListenerStream::new(listener)
        .map(|s: std::io::Result<TcpStream>| s.inspect(|s| drop(s.set_nodelay(true))));
    let known = |mut request: Request<()>| -> Result<Request<()>, Status> {
        let peer = request.extensions().get::<TcpConnectInfo>().and_then(|c| c.remote_addr());
        let name = peer.map_or("loopback".into(), |p| p.to_string());
        request.extensions_mut().insert(Who { name, may_change: true });
        Ok(request)
    };
    let served = GNmiServer::new(service).max_decoding_message_size(REQUEST_MOST);
    let served = tonic::service::interceptor::InterceptedService::new(served, known);
    let server = Server::builder()
        .http2_keepalive_interval(Some(PING_EVERY))
        .http2_keepalive_timeout(Some(PING_WITHIN))
        .max_concurrent_streams(Some(CALLS_MOST))
        .add_service(served);
    server.serve_with_incoming_shutdown(incoming, until).await.map_err(|e| e.to_string())
}
