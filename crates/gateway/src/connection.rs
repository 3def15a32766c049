//! The task of one connection to an engine: it connects, reads, and waits until a blocked connection is writable again.
//! Only the engine's actor, which owns the connection, writes to it.

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future::or;
use futures_lite::AsyncReadExt;
use ironstair::{Millis, Outcome};
use ironstair_runtime::pool::BufferPool;
use ironstair_runtime::wait::timeout;
use ironstair_runtime::EngineMessage;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// What the task of a connection needs.
pub(crate) struct ConnectionTask {
    /// The connection's number, which its messages carry.
    pub(crate) number: u64,
    /// The engine's address.
    pub(crate) address: SocketAddr,
    /// The timeout of connecting, in ms.
    pub(crate) connect_timeout: Millis,
    /// Provides the buffers to read into.
    pub(crate) pool: Rc<BufferPool>,
    /// Receives a message whenever a write would block.
    pub(crate) write_blocked: Receiver<()>,
    /// The queue of the engine's actor.
    pub(crate) engine: Sender<EngineMessage>,
}

impl ConnectionTask {
    /// Runs until the connection ends, and reports its end to the engine's actor. The actor cancels the task by
    /// dropping it.
    pub(crate) async fn run(self) {
        let connected = Async::<TcpStream>::connect(self.address);
        let outcome = match timeout(self.connect_timeout, connected).await {
            Ok(stream) => {
                // Nagle's algorithm would hold small commands back until earlier ones are acknowledged.
                let _ = stream.get_ref().set_nodelay(true);
                self.serve(Rc::new(stream)).await;
                Outcome::ConnectionLost
            }
            Err(_) => Outcome::ConnectFailed,
        };
        self.send(EngineMessage::Disconnected {
            connection: self.number,
            outcome,
        })
        .await;
    }

    async fn serve(&self, stream: Rc<Async<TcpStream>>) {
        self.send(EngineMessage::Connected {
            connection: self.number,
            stream: stream.clone(),
        })
        .await;
        // Either future completes when the connection ends; a lost connection and an orderly close are handled alike.
        let _ = or(self.read(&stream), self.report_writable(&stream)).await;
    }

    async fn report_writable(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        while self.write_blocked.recv().await.is_ok() {
            stream.writable().await?;
            self.send(EngineMessage::Writable(self.number)).await;
        }
        Ok(())
    }

    async fn read(&self, mut stream: &Async<TcpStream>) -> io::Result<()> {
        loop {
            // A buffer is acquired only once there is something to read: idle connections must not hold buffers.
            stream.readable().await?;
            let mut buffer = self.pool.acquire().await;
            let length = stream.read(buffer.spare_capacity()).await?;
            buffer.advance(length);
            if length == 0 {
                return Ok(());
            }
            let received = EngineMessage::Received {
                connection: self.number,
                buffer,
            };
            if self.engine.send(received).await.is_err() {
                return Ok(());
            }
        }
    }

    async fn send(&self, message: EngineMessage) {
        // Fails only if the queue is closed because the engine is gone; its actor then drops this task.
        let _ = self.engine.send(message).await;
    }
}
