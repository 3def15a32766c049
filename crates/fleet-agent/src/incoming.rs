//! Connections of other gateways, as many at once as there may be.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tonic::transport::server::Connected;

/// Connections at once: a member has one to each voter.
const MAX_CONNECTIONS: usize = 1024;
/// How long until the next attempt to accept, where no descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An accepted connection, with its permit among those that there may be.
pub(crate) struct IncomingConnection {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl Connected for IncomingConnection {
    type ConnectInfo = ();
    fn connect_info(&self) {}
}

impl AsyncRead for IncomingConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for IncomingConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Accepts connections until nobody takes them any more.
pub(crate) async fn accept_connections(
    listener: TcpListener,
    accepted: mpsc::Sender<IncomingConnection>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = IncomingConnection {
            stream,
            _permit: permit,
        };
        if accepted.send(connection).await.is_err() {
            return;
        }
    }
}
