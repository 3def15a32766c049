//! Accepts connections of other gateways, up to a limit.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tonic::transport::server::Connected;

/// Limit of the open connections; a member has one to each voter.
const MAX_CONNECTIONS: usize = 1024;
/// The delay before the next attempt to accept after a failure, for example if no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An accepted connection, with its permit out of [`MAX_CONNECTIONS`].
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

/// Accepts connections until the receiver is dropped.
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
