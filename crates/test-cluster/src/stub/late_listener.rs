//! An engine address at which connections are established late, because the accept queue of its socket is full.

use super::becomes_true;
use super::engine::{serve_connections, RecordedLines};
use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// If a connection isn't established within this time, the socket's accept queue is full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(100);
/// Length of the accept queue after the socket is opened, larger than the number of connections of any test.
const OPEN_QUEUE_LENGTH: i32 = 128;

/// A listening socket whose accept queue is full, so that no further connection is established until it is opened.
pub struct FullListener {
    listener: TcpListener,
    filler_connections: Vec<TcpStream>,
}

/// An engine at the address of a [`FullListener`] that has been opened.
pub struct OpenedListener {
    /// The lines received so far.
    pub recorded_lines: RecordedLines,
    accepted: Arc<AtomicU32>,
    /// The connections that filled the queue. They are included in `accepted`.
    filler_connections: Vec<TcpStream>,
}

impl OpenedListener {
    /// Waits until `connections` pending connections are established. The operating system establishes them when it
    /// retransmits their SYN packets.
    ///
    /// # Panics
    ///
    /// If that takes more than five seconds.
    pub fn wait_for_established_connections(&self, connections: usize) {
        let expected = connections + self.filler_connections.len();
        let accepted = || self.accepted.load(Ordering::Relaxed) as usize;
        assert!(
            becomes_true(|| accepted() >= expected),
            "{} connections accepted, expected {expected}",
            accepted()
        );
    }
}

impl FullListener {
    /// Binds a socket and fills its accept queue.
    ///
    /// # Panics
    ///
    /// If no loopback port can be bound.
    pub fn bind() -> (SocketAddr, FullListener) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        rustix::net::listen(&listener, 0).expect("a listener's accept queue can be shortened");
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

    /// Waits until the operating system's socket table lists `connections` pending connections to this socket.
    ///
    /// # Panics
    ///
    /// If that takes more than five seconds.
    pub fn wait_for_pending_connections(&self, connections: usize) {
        let address = self
            .listener
            .local_addr()
            .expect("a bound listener has an address");
        // Matches the remote port and the state SYN_SENT (02) in a row of the table.
        let syn_sent_pattern = format!(":{:04X} 02 ", address.port());
        let pending = || {
            let sockets = fs::read_to_string("/proc/net/tcp")
                .expect("the system's table of sockets is readable");
            sockets.matches(&syn_sent_pattern).count()
        };
        assert!(
            becomes_true(|| pending() >= connections),
            "{} pending connections, expected {connections}",
            pending()
        );
    }

    /// Opens the socket and serves it as an engine, as [`start_engine`](super::start_engine) does.
    ///
    /// # Panics
    ///
    /// If the socket's accept queue can't be lengthened.
    pub fn open(
        self,
        respond: impl Fn(&str, &str) -> (Vec<u8>, bool) + Send + Sync + 'static,
    ) -> OpenedListener {
        rustix::net::listen(&self.listener, OPEN_QUEUE_LENGTH)
            .expect("a listener's accept queue can be lengthened");
        let recorded_lines = RecordedLines::default();
        let accepted = serve_connections(self.listener, recorded_lines.clone(), respond);
        OpenedListener {
            recorded_lines,
            accepted,
            filler_connections: self.filler_connections,
        }
    }
}
