//! A client's connection, with or without TLS.

use crate::roles::Identity;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio_rustls::server::TlsStream;
use tonic::transport::server::Connected;

/// A connection of an identified client.
pub(crate) struct ClientConnection {
    pub(crate) stream: ClientStream,
    pub(crate) identity: Identity,
    /// Counts the connection against the limit until it is dropped.
    pub(crate) _permit: OwnedSemaphorePermit,
}

/// The byte stream of a connection.
pub(crate) enum ClientStream {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

impl Connected for ClientConnection {
    type ConnectInfo = Identity;
    fn connect_info(&self) -> Identity {
        self.identity.clone()
    }
}

impl AsyncRead for ClientConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut self.stream {
            ClientStream::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            ClientStream::Tls(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for ClientConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut self.stream {
            ClientStream::Plain(stream) => Pin::new(stream).poll_write(context, bytes),
            ClientStream::Tls(stream) => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.stream {
            ClientStream::Plain(stream) => Pin::new(stream).poll_flush(context),
            ClientStream::Tls(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.stream {
            ClientStream::Plain(stream) => Pin::new(stream).poll_shutdown(context),
            ClientStream::Tls(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}
