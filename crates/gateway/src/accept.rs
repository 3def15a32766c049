//! Accepts client connections, including those that wait in the system's queue when the listener closes.

use crate::client;
use crate::connection_limiter::{ConnectionLimiter, ConnectionPermit};
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use ironstair::Millis;
use ironstair_runtime::clock::duration;
use ironstair_runtime::Shared;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Interval between attempts to accept a connection while no descriptor is free, in ms. The limiter wakes the acceptor
/// only for descriptors that client connections release.
const DESCRIPTOR_RETRY_INTERVAL: Millis = 20.0;

/// Owns the listener and spawns one task for each accepted connection.
pub(crate) struct Acceptor {
    listener: Async<TcpListener>,
    limiter: Rc<ConnectionLimiter>,
    shared: Rc<Shared>,
    /// A connection that waits for its permit, kept here because `run` may be cancelled meanwhile.
    pending: Cell<Option<Async<TcpStream>>>,
}

impl Acceptor {
    /// Binds the address on which clients connect.
    ///
    /// # Errors
    /// The address does not belong to this machine, or is in use.
    pub(crate) fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
        Async::<TcpListener>::bind(address)
    }

    /// Creates the acceptor of `listener`, which accepts as many connections as the limiter permits.
    pub(crate) fn new(
        listener: Async<TcpListener>,
        limiter: Rc<ConnectionLimiter>,
        shared: Rc<Shared>,
    ) -> Self {
        Acceptor {
            listener,
            limiter,
            shared,
            pending: Cell::new(None),
        }
    }

    /// Accepts connections until it is cancelled; one that waits for its permit then stays pending.
    pub(crate) async fn run(&self) -> Infallible {
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                self.wait_for_descriptor().await;
                continue;
            };
            self.pending.set(Some(stream));
            let permit = self.limiter.acquire(&self.shared.clock).await;
            let Some(stream) = self.pending.take() else {
                continue;
            };
            self.spawn(stream, permit);
            // Lets the new connection read its first message before the next one is accepted and may evict it.
            yield_now().await;
        }
    }

    /// Serves the pending connection and those in the system's queue, as far as there are permits, and closes the
    /// listener.
    pub(crate) fn finish(self) {
        while let Some(stream) = self.next_accepted() {
            let Some(permit) = self.limiter.try_acquire_at_shutdown(&self.shared.clock) else {
                break;
            };
            self.spawn(stream, permit);
        }
    }

    fn next_accepted(&self) -> Option<Async<TcpStream>> {
        let accept = || {
            let (stream, _) = self.listener.get_ref().accept()?;
            Async::new(stream)
        };
        self.pending.take().or_else(|| accept().ok())
    }

    fn spawn(&self, stream: Async<TcpStream>, permit: ConnectionPermit) {
        let connection = client::serve(stream, self.shared.clone(), permit);
        self.shared.executor.spawn(connection).detach();
    }

    /// Waits until a permit is released, for the retry interval at most.
    async fn wait_for_descriptor(&self) {
        let interval = async {
            Timer::after(duration(DESCRIPTOR_RETRY_INTERVAL)).await;
        };
        or(self.limiter.until_released(), interval).await;
    }
}
