//! A link between two processes: a relay on loopback that forwards bytes and injects network faults.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a held-back chunk checks whether it may be delivered.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum size of one read in bytes. Rate limit and delay apply to each chunk that is read.
const CHUNK_SIZE: usize = 16 << 10;

/// Faults and statistics of one direction of a link.
#[derive(Default)]
struct DirectionState {
    /// Bytes are held back, not dropped, until the link heals: on a real network, TCP would retransmit them.
    is_cut: AtomicBool,
    delay_ms: AtomicU64,
    /// Bytes per second. 0 means no limit.
    bytes_per_second: AtomicU64,
    delivered_bytes: AtomicU64,
}

#[derive(Default)]
struct LinkState {
    to_target: DirectionState,
    from_target: DirectionState,
    /// New connections are closed immediately.
    is_refusing: AtomicBool,
    is_dropped: AtomicBool,
    open_streams: Mutex<Vec<TcpStream>>,
}

/// A relay to one target address. Dropping it closes its connections and stops its listener.
pub struct Link {
    /// The address at which the relay accepts connections.
    pub address: SocketAddr,
    state: Arc<LinkState>,
}

/// A direction of a link, as seen from the side that opens connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Towards the target.
    ToTarget,
    /// From the target.
    FromTarget,
    /// Both directions.
    Both,
}

/// Number of bytes that a link has delivered since it was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveredBytes {
    /// Towards the target.
    pub to_target: u64,
    /// From the target.
    pub from_target: u64,
}

impl Link {
    /// Starts a relay to a target address.
    ///
    /// # Panics
    ///
    /// If no loopback port can be bound.
    pub fn to(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let state = Arc::new(LinkState::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || accept_all(&listener, target, &shared));
        Link { address, state }
    }

    fn direction_states(&self, direction: Direction) -> impl Iterator<Item = &DirectionState> {
        let to_target = (direction != Direction::FromTarget).then_some(&self.state.to_target);
        let from_target = (direction != Direction::ToTarget).then_some(&self.state.from_target);
        to_target.into_iter().chain(from_target)
    }

    /// Holds back all bytes of a direction until the link heals. While the direction to the target is cut, new
    /// connections are accepted but not relayed.
    pub fn cut(&self, direction: Direction) {
        self.direction_states(direction)
            .for_each(|state| state.is_cut.store(true, Relaxed));
    }

    /// Delays the bytes of a direction by `delay_ms` milliseconds until the link heals.
    pub fn delay(&self, direction: Direction, delay_ms: u64) {
        self.direction_states(direction)
            .for_each(|state| state.delay_ms.store(delay_ms, Relaxed));
    }

    /// Limits the rate of a direction in bytes per second until the link heals. 0 means no limit.
    pub fn limit_rate(&self, direction: Direction, bytes_per_second: u64) {
        self.direction_states(direction)
            .for_each(|state| state.bytes_per_second.store(bytes_per_second, Relaxed));
    }

    /// Closes all open connections, and every new connection until the link heals.
    pub fn refuse(&self) {
        self.state.is_refusing.store(true, Relaxed);
        self.reset();
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        let mut open_streams = self
            .state
            .open_streams
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for stream in open_streams.drain(..) {
            // Fails only if the connection is already closed.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Clears all faults of the link. Bytes that were held back are delivered.
    pub fn heal(&self) {
        self.state.is_refusing.store(false, Relaxed);
        for direction_state in self.direction_states(Direction::Both) {
            direction_state.is_cut.store(false, Relaxed);
            direction_state.delay_ms.store(0, Relaxed);
            direction_state.bytes_per_second.store(0, Relaxed);
        }
    }

    /// Number of bytes that the link has delivered in each direction.
    pub fn delivered_bytes(&self) -> DeliveredBytes {
        DeliveredBytes {
            to_target: self.state.to_target.delivered_bytes.load(Relaxed),
            from_target: self.state.from_target.delivered_bytes.load(Relaxed),
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.state.is_dropped.store(true, Relaxed);
        self.reset();
        // Wakes the listener's thread, which then exits.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept_all(listener: &TcpListener, target: SocketAddr, state: &Arc<LinkState>) {
    for stream in listener.incoming() {
        if state.is_dropped.load(Relaxed) {
            return;
        }
        let Ok(stream) = stream else { continue };
        if state.is_refusing.load(Relaxed) {
            let _ = stream.shutdown(Shutdown::Both);
            continue;
        }
        let state = Arc::clone(state);
        thread::spawn(move || relay_connection(stream, target, state));
    }
}

fn relay_connection(opener: TcpStream, target: SocketAddr, state: Arc<LinkState>) {
    // The connection to the target is opened only when the direction to the target isn't cut, as on a real network.
    wait_while_cut(&state.to_target, &state);
    let Ok(target) = TcpStream::connect(target) else {
        let _ = opener.shutdown(Shutdown::Both);
        return;
    };
    // If this fails, messages are only delayed.
    let _ = opener.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (Ok(opener_writer), Ok(target_reader)) = (opener.try_clone(), target.try_clone()) else {
        return;
    };
    let (Ok(opener_handle), Ok(target_handle)) = (opener.try_clone(), target.try_clone()) else {
        return;
    };
    {
        let mut open_streams = state
            .open_streams
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        open_streams.retain(|stream| stream.peer_addr().is_ok());
        open_streams.extend([opener_handle, target_handle]);
    }
    let shared = Arc::clone(&state);
    thread::spawn(move || {
        relay_direction(target_reader, opener_writer, &shared.from_target, &shared);
    });
    relay_direction(opener, target, &state.to_target, &state);
}

/// Forwards bytes in one direction until either side closes, then closes both.
fn relay_direction(
    mut source: TcpStream,
    mut sink: TcpStream,
    direction_state: &DirectionState,
    state: &LinkState,
) {
    let mut buffer = vec![0; CHUNK_SIZE];
    loop {
        let count = match source.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        wait_for_delivery(direction_state, state);
        let bytes_per_second = direction_state.bytes_per_second.load(Relaxed);
        if bytes_per_second != 0 {
            let seconds = count as f64 / bytes_per_second as f64;
            thread::sleep(Duration::from_secs_f64(seconds));
        }
        let written = sink.write_all(&buffer[..count]);
        if written.is_err_and(|error| error.kind() != ErrorKind::Interrupted) {
            break;
        }
        direction_state
            .delivered_bytes
            .fetch_add(count as u64, Relaxed);
    }
    // While the direction is cut, the end of the connection isn't delivered either.
    wait_while_cut(direction_state, state);
    let _ = sink.shutdown(Shutdown::Both);
    let _ = source.shutdown(Shutdown::Both);
}

/// Waits until a chunk that has just been read may be delivered: its delay has passed and the direction isn't cut.
fn wait_for_delivery(direction_state: &DirectionState, state: &LinkState) {
    let read_at = Instant::now();
    while !state.is_dropped.load(Relaxed) {
        let delay = Duration::from_millis(direction_state.delay_ms.load(Relaxed));
        let is_due = read_at.elapsed() >= delay;
        if is_due && !direction_state.is_cut.load(Relaxed) {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn wait_while_cut(direction_state: &DirectionState, state: &LinkState) {
    while direction_state.is_cut.load(Relaxed) && !state.is_dropped.load(Relaxed) {
        thread::sleep(POLL_INTERVAL);
    }
}
