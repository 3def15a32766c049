//! Opens, chooses and closes connections, and ends the attempts on a lost connection.

use super::writing::OutboundChunk;
use super::{Engine, InFlightAttempt};
use crate::connection::ConnectionTask;
use async_channel::Sender;
use async_executor::Task;
use async_io::Async;
use ironstair::{Millis, Outcome};
use ironstair_runtime::pool::Buffer;
use ironstair_runtime::{RequestId, UsedConnections};
use std::collections::{BTreeSet, VecDeque};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// Lower bound of the limit on connections to an engine: one lost connection must not lose all attempts there.
const MIN_CONNECTIONS: usize = 2;
/// Upper bound of the limit on connections to an engine, however few engines share the descriptors.
const MAX_CONNECTIONS: usize = 16;

/// A connection to the engine.
pub(super) struct Connection {
    /// `None` until the connection is established.
    pub(super) stream: Option<Rc<Async<TcpStream>>>,
    /// The number of attempts in flight on it.
    pub(super) open_attempts: usize,
    /// When it was established, or last received something.
    pub(super) last_heard_at: Millis,
    /// When its last attempt ended.
    pub(super) idle_since: Millis,
    /// Set when an attempt is withdrawn or times out after nothing was received for longer than its objective; cleared
    /// when something is received.
    pub(super) is_silent: bool,
    /// Bytes that wait to be written.
    pub(super) outbound: VecDeque<OutboundChunk>,
    /// The received part of an incomplete reply.
    pub(super) partial: Option<PartialReply>,
    /// Requests that the connection's task reports when the connection is writable again.
    pub(super) write_blocked: Sender<()>,
    /// Connects and reads; dropping it cancels it.
    _task: Task<()>,
}

/// The received part of an incomplete reply.
pub(super) struct PartialReply {
    pub(super) buffer: Buffer,
    /// When its first byte was received, or the last complete reply before it was handled.
    pub(super) since: Millis,
}

/// Ranks connections for an attempt; the one with the lowest rank is used.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionRank {
    is_silent: bool,
    open_attempts: usize,
    is_connecting: bool,
}

impl Engine {
    /// Chooses or opens the connection for an attempt, or for a line; returns its number. An attempt does not get one of
    /// the connections that its request has `used` before.
    ///
    /// A connection without attempts is preferred, then a new connection, because a lost connection loses every attempt
    /// on it. Once the engine has as many connections as its share of the descriptors allows, the one with the fewest
    /// attempts is used.
    pub(super) fn connection_for(&mut self, used: Option<&UsedConnections>) -> u64 {
        match self.usable_connection(used) {
            Some(number) => number,
            None => self.open_connection(),
        }
    }

    fn usable_connection(&self, used: Option<&UsedConnections>) -> Option<u64> {
        // Connections to a machine that was cut off from the network stay open and silent, possibly forever. Only a new
        // connection shows whether the engine can be reached.
        let silent = self.in_flight.values().filter(|sent| self.is_silent(sent));
        let silent: BTreeSet<u64> = silent.map(|in_flight| in_flight.connection).collect();
        let max_attempts = self.shared.transport_config().max_attempts_per_connection;
        let is_usable = |number: u64, connection: &Connection| {
            let is_used = used.is_some_and(|used| used.contains(number));
            connection.open_attempts < max_attempts && !is_used
        };
        let rank = |number: u64, connection: &Connection| ConnectionRank {
            is_silent: connection.is_silent || silent.contains(&number),
            open_attempts: connection.open_attempts,
            is_connecting: connection.stream.is_none(),
        };
        let connections = self.connections.iter();
        let candidates = connections.filter(|(number, connection)| is_usable(**number, connection));
        let ranked = candidates.map(|(number, connection)| (rank(*number, connection), *number));
        let (best, number) = ranked.min()?;
        let is_free = !best.is_silent && best.open_attempts == 0;
        let may_open_another = self.connections.len() < self.max_connections();
        (is_free || !may_open_another).then_some(number)
    }

    fn max_connections(&self) -> usize {
        let engines = self.shared.endpoint_count.get().max(1);
        let share = self.shared.max_engine_connections / engines;
        share.clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
    }

    fn open_connection(&mut self) -> u64 {
        let number = self.shared.connection_numbers.next();
        let (write_blocked, blocked_writes) = async_channel::bounded(1);
        let shared = &self.shared;
        let task = ConnectionTask {
            number,
            address: self.address,
            connect_timeout: shared.transport_config().connect_timeout,
            pool: shared.pool.clone(),
            write_blocked: blocked_writes,
            engine: self.queue.clone(),
        };
        let now = shared.clock.now();
        let connection = Connection {
            stream: None,
            open_attempts: 0,
            last_heard_at: now,
            idle_since: now,
            is_silent: false,
            outbound: VecDeque::new(),
            partial: None,
            write_blocked,
            _task: shared.executor.spawn(task.run()),
        };
        self.connections.insert(number, connection);
        number
    }

    pub(super) fn on_connected(&mut self, number: u64, stream: Rc<Async<TcpStream>>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.stream = Some(stream);
        connection.last_heard_at = self.shared.clock.now();
        self.write(number);
    }

    /// Whether nothing was received on the attempt's established connection for longer than the attempt's objective.
    pub(super) fn is_silent(&self, in_flight: &InFlightAttempt) -> bool {
        let Some(connection) = self.connections.get(&in_flight.connection) else {
            return false;
        };
        if connection.stream.is_none() {
            return false;
        }
        let silent_since = connection.last_heard_at.max(in_flight.sent_at);
        let class = &self.shared.classes()[in_flight.attempt.class];
        self.shared.clock.now() - silent_since > class.base_objective
    }

    /// Closes a connection and ends the attempts on it.
    ///
    /// `outcome` is reported only for the attempt that was in flight for longest, so that one loss counts against the
    /// engine once. Other started attempts are reported as lost by a peer attempt. Attempts of which nothing was
    /// written are reported as unsent, except that a failed connect is reported for the first.
    pub(super) fn drop_connection(&mut self, number: u64, outcome: Outcome) {
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        // The stream is shut down at once, not only when the task drops it: an attempt that ends here may be sent to
        // another engine next.
        if let Some(stream) = &connection.stream {
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
        for (index, id) in self.attempts_on(number).iter().enumerate() {
            let in_flight = self.in_flight.get(id);
            let is_unsent = in_flight.is_some_and(|sent| !sent.attempt.started.get());
            let is_first = index == 0;
            let has_failed_to_connect = outcome == Outcome::ConnectFailed;
            let own_outcome = match is_unsent {
                true if is_first && has_failed_to_connect => outcome,
                true => Outcome::Unsent,
                false if is_first => outcome,
                false => Outcome::ConnectionLostByPeerAttempt,
            };
            self.end_attempt(id, own_outcome, None);
        }
    }

    /// The ids of the requests with an attempt on a connection, longest in flight first.
    fn attempts_on(&self, number: u64) -> Vec<RequestId> {
        let on_connection = |in_flight: &&InFlightAttempt| in_flight.connection == number;
        let mut attempts: Vec<&InFlightAttempt> =
            self.in_flight.values().filter(on_connection).collect();
        attempts.sort_by(|left, right| left.sent_at.total_cmp(&right.sent_at));
        attempts.iter().map(|sent| sent.attempt.id).collect()
    }

    /// Closes all connections, because this process of the engine has ended and can't answer on them any more.
    pub(super) fn drop_all_connections(&mut self) {
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        for number in numbers {
            self.drop_connection(number, Outcome::ConnectionLost);
        }
    }
}
