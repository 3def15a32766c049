//! An engine's address where connections are established late, because the queue of the listening socket is full.

use super::becomes_true;
use super::engine::{serve_connections, RecordedLines};
use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long a connection may take before the socket's queue counts as full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(100);
/// Length of the socket's queue once it is open, above any test's connections.
const OPEN_QUEUE_LENGTH: i32 = 128;

/// A listening socket that establishes no further connection until it is opened.
pub struct FullListener {
    listener: TcpListener,
    filler_connections: Vec<TcpStream>,
}

/// An engine behind a [`FullListener`] that was opened.
pub struct OpenedListener {
    /// The lines received so far.
    pub recorded_lines: RecordedLines,
    accepted: Arc<AtomicU32>,
    /// The connections that filled the queue. They count as accepted, too.
    filler_connections: Vec<TcpStream>,
}

impl OpenedListener {
    /// Waits until that many connections which were held back are established, by the system's retransmissions.
    ///
    /// # Panics
    ///
    /// If that takes more than five seconds.
    pub fn wait_for_established_connections(&self, connections: usize) {
        let expected = connections + self.filler_connections.len();
        assert!(becomes_true(|| self.accepted.load(Ordering::Relaxed)
            as usize
            >= expected));
    }
}

impl FullListener {
    /// Binds a socket and fills its queue.
    ///
    /// # Panics
    ///
    /// If no loopback port can be bound.
    pub fn bind() -> (SocketAddr, FullListener) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        rustix::net::listen(&listener, 0).expect("a listener's queue can be shortened");
        let connect = || TcpStream::connect_timeout(&address, QUEUE_FULL_TIMEOUT).ok();
        let filler_connections = std::iter::from_fn(connect).collect();
        (
            address,
            FullListener {
                listener,
                filler_connections,
            },
        )
    }

    /// Waits until that many connections to this socket are being attempted, by the system's table of sockets.
    ///
    /// # Panics
    ///
    /// If that takes more than five seconds.
    pub fn wait_for_pending_connections(&self, connections: usize) {
        let address = self
            .listener
            .local_addr()
            .expect("a bound listener has an address");
        // The remote port of a socket in state SYN_SENT.
        let syn_sent_pattern = format!(":{:04X} 02 ", address.port());
        let attempted = || {
            let sockets = fs::read_to_string("/proc/net/tcp")
                .expect("the system's table of sockets is readable");
            sockets.matches(&syn_sent_pattern).count()
        };
        assert!(
            becomes_true(|| attempted() >= connections),
            "{} connections attempted",
            attempted()
        );
    }

    /// Turns the socket into an engine's, as [`start_engine`](super::start_engine).
    ///
    /// # Panics
    ///
    /// If the socket's queue can't be lengthened.
    pub fn open(
        self,
        respond: impl Fn(&str, &str) -> (Vec<u8>, bool) + Send + Sync + 'static,
    ) -> OpenedListener {
        rustix::net::listen(&self.listener, OPEN_QUEUE_LENGTH)
            .expect("a listener's queue can be lengthened");
        let recorded_lines = RecordedLines::default();
        let accepted = serve_connections(self.listener, recorded_lines.clone(), respond);
        OpenedListener {
            recorded_lines,
            accepted,
            filler_connections: self.filler_connections,
        }
    }
}
