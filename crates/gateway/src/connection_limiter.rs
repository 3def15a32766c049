//! Permits for client connections. When they run short, or at shutdown, the limiter asks connections to close.

use event_listener::Event;
use ironstair::Millis;
use ironstair_runtime::clock::Clock;
use ironstair_runtime::wait::wait_for;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How long a connection counts as new, in ms: its first message may be under way, so it is evicted last.
const NEW_CONNECTION_PERIOD: Millis = 250.0;
/// For so many permits one further connection may linger after its end.
const CONNECTIONS_PER_LINGERING: usize = 16;

/// Limits client connections, and closes them at shutdown.
pub(crate) struct ConnectionLimiter {
    max_connections: usize,
    is_shutting_down: Cell<bool>,
    is_closing: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionActivity>>>,
    next_number: Cell<u64>,
    /// Notified when a permit is released, a connection may be evicted, or the shutdown begins.
    changed: Event,
    /// Connections that have ended, but still read and discard bytes.
    lingering: Cell<usize>,
    max_lingering: usize,
    /// The number of connections, for the state tree.
    connection_count: Rc<Cell<u32>>,
}

/// Held while a connection lingers after its end; released when dropped.
pub(crate) struct LingerPermit(Rc<ConnectionLimiter>);

/// The limiter's knowledge about one connection.
pub(crate) struct ConnectionActivity {
    /// When the connection was accepted.
    pub(crate) accepted_at: Millis,
    /// Since when no call is open; infinite while one is.
    idle_since: Cell<Millis>,
    has_been_answered: Cell<bool>,
    close_requested: Cell<bool>,
    /// Notified whenever any of this changes.
    pub(crate) changed: Event,
}

/// The right to one connection; released when dropped.
pub(crate) struct ConnectionPermit {
    pub(crate) limiter: Rc<ConnectionLimiter>,
    pub(crate) activity: Rc<ConnectionActivity>,
    number: u64,
}

/// The order in which idle connections are evicted; the lowest goes first.
///
/// Connections without an answer go before others: many of them opened by a client that sends nothing must not keep
/// others out. New connections go last. Among the rest, connections that were idle for longer go first: clients that
/// call once and keep their connection would otherwise hold it forever.
#[derive(PartialEq, PartialOrd)]
struct EvictionRank {
    is_new: bool,
    has_been_answered: bool,
    idle_since: Millis,
}

impl ConnectionLimiter {
    /// Allows `max_connections` connections, at least one, and a sixteenth as many that linger after their end.
    pub(crate) fn new(max_connections: usize, connection_count: Rc<Cell<u32>>) -> Rc<Self> {
        Rc::new(ConnectionLimiter {
            max_connections: max_connections.max(1),
            is_shutting_down: Cell::new(false),
            is_closing: Cell::new(false),
            connections: RefCell::default(),
            next_number: Cell::new(0),
            changed: Event::new(),
            lingering: Cell::new(0),
            max_lingering: (max_connections / CONNECTIONS_PER_LINGERING).max(1),
            connection_count,
        })
    }

    /// Whether the shutdown has begun.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Begins the shutdown; connections stay open until [`ConnectionLimiter::close`].
    pub(crate) fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Waits until the shutdown has begun.
    pub(crate) async fn until_shutting_down(&self) {
        wait_for(&self.changed, || self.is_shutting_down().then_some(())).await;
    }

    /// Asks every connection to close once no call is open on it.
    pub(crate) fn close(&self) {
        self.is_closing.set(true);
        for activity in self.connections.borrow().values() {
            activity.request_close();
        }
    }

    /// Whether every connection was asked to close.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Waits until no connection is left, lingering ones included.
    pub(crate) async fn until_empty(&self) {
        let is_empty = || self.connections.borrow().is_empty() && self.lingering.get() == 0;
        wait_for(&self.changed, || is_empty().then_some(())).await;
    }

    /// Waits until a permit or a descriptor may have been released.
    pub(crate) async fn until_released(&self) {
        self.changed.listen().await;
    }

    /// Waits for a permit. While none is free, one idle connection is asked to close.
    pub(crate) async fn acquire(self: &Rc<Self>, clock: &Clock) -> ConnectionPermit {
        let is_free = || self.check_permit_or_evict(clock.now());
        wait_for(&self.changed, || is_free().then_some(())).await;
        self.register(clock.now())
    }

    /// A permit beyond the limit, for a connection that the system accepted before the shutdown; `None` if the margin
    /// for lingering connections is in use too.
    pub(crate) fn try_acquire_at_shutdown(
        self: &Rc<Self>,
        clock: &Clock,
    ) -> Option<ConnectionPermit> {
        let limit = self.max_connections + self.max_lingering;
        let is_free = self.connections.borrow().len() < limit;
        is_free.then(|| self.register(clock.now()))
    }

    fn check_permit_or_evict(&self, now: Millis) -> bool {
        let connections = self.connections.borrow();
        if connections.len() < self.max_connections {
            return true;
        }
        let idle = || connections.values().filter(|activity| activity.is_idle());
        if idle().any(|activity| activity.is_close_requested()) {
            return false;
        }
        let by_rank = |left: &&Rc<ConnectionActivity>, right: &&Rc<ConnectionActivity>| {
            let order = left
                .eviction_rank(now)
                .partial_cmp(&right.eviction_rank(now));
            order.unwrap_or(Ordering::Equal)
        };
        if let Some(first) = idle().min_by(by_rank) {
            first.request_close();
        }
        false
    }

    /// Wakes the tasks that wait for a permit: a connection that could not be evicted before may be now.
    fn recheck_eviction(&self) {
        if self.connections.borrow().len() >= self.max_connections {
            self.changed.notify(usize::MAX);
        }
    }

    fn register(self: &Rc<Self>, now: Millis) -> ConnectionPermit {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let activity = Rc::new(ConnectionActivity {
            accepted_at: now,
            idle_since: Cell::new(now),
            has_been_answered: Cell::new(false),
            close_requested: Cell::new(self.is_closing.get()),
            changed: Event::new(),
        });
        let mut connections = self.connections.borrow_mut();
        connections.insert(number, activity.clone());
        self.connection_count.set(connections.len() as u32);
        ConnectionPermit {
            limiter: self.clone(),
            activity,
            number,
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let limiter = &self.limiter;
        let mut connections = limiter.connections.borrow_mut();
        connections.remove(&self.number);
        limiter.connection_count.set(connections.len() as u32);
        limiter.changed.notify(usize::MAX);
    }
}

impl Drop for LingerPermit {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
        self.0.changed.notify(usize::MAX);
    }
}

impl ConnectionActivity {
    /// Whether the connection is to close once no call is open on it.
    pub(crate) fn is_close_requested(&self) -> bool {
        self.close_requested.get()
    }

    /// Whether any call on it was answered.
    pub(crate) fn has_been_answered(&self) -> bool {
        self.has_been_answered.get()
    }

    /// Since when no call is open; infinite while one is.
    pub(crate) fn idle_since(&self) -> Millis {
        self.idle_since.get()
    }

    fn is_idle(&self) -> bool {
        self.idle_since.get().is_finite()
    }

    fn request_close(&self) {
        self.close_requested.set(true);
        self.changed.notify(usize::MAX);
    }

    fn eviction_rank(&self, now: Millis) -> EvictionRank {
        let has_been_answered = self.has_been_answered.get();
        EvictionRank {
            is_new: !has_been_answered && now - self.accepted_at < NEW_CONNECTION_PERIOD,
            has_been_answered,
            idle_since: self.idle_since.get(),
        }
    }
}

impl ConnectionPermit {
    /// Releases the permit and lets the connection linger; `None` if too many linger already. During the shutdown no
    /// further connection needs the descriptors, and any number may linger.
    pub(crate) fn linger(self) -> Option<LingerPermit> {
        let limiter = self.limiter.clone();
        let lingering = limiter.lingering.get();
        if lingering >= limiter.max_lingering && !limiter.is_closing() {
            return None;
        }
        limiter.lingering.set(lingering + 1);
        Some(LingerPermit(limiter))
    }

    /// Records that a call was opened.
    pub(crate) fn call_opened(&self) {
        self.activity.idle_since.set(Millis::INFINITY);
        // A busy connection is not evicted; the limiter asks another one instead.
        let is_closing = self.limiter.is_closing.get();
        self.activity.close_requested.set(is_closing);
        self.limiter.recheck_eviction();
    }

    /// Records that a call, or a message that is no call, was answered or cancelled.
    pub(crate) fn call_finished(&self, now: Millis, answered: bool, has_open_calls: bool) {
        let activity = &self.activity;
        let has_been_answered = activity.has_been_answered() || answered;
        activity.has_been_answered.set(has_been_answered);
        // Cancelling calls that were never open must not keep a connection from being evicted.
        let was_active = answered || !activity.is_idle();
        if !has_open_calls && was_active {
            activity.idle_since.set(now);
            self.limiter.recheck_eviction();
        }
        activity.changed.notify(usize::MAX);
    }
}

#[cfg(test)]
#[path = "connection_limiter_tests.rs"]
mod tests;
