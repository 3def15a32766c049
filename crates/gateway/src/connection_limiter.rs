//! Permits for client connections. If none is free, or at shutdown, the limiter asks connections to close.

use event_listener::Event;
use ironstair::Millis;
use ironstair_runtime::clock::Clock;
use ironstair_runtime::wait::wait_for;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How long a connection without an answer counts as new, in ms. Its first message may be under way, so it is evicted
/// last.
const NEW_CONNECTION_PERIOD: Millis = 250.0;
/// For each group of this many permits, one further connection may linger after its end.
const CONNECTIONS_PER_LINGERING: usize = 16;

/// Limits client connections, and closes them at shutdown.
pub(crate) struct ConnectionLimiter {
    max_connections: usize,
    is_shutting_down: Cell<bool>,
    is_closing: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionActivity>>>,
    next_number: Cell<u64>,
    /// Notified when a permit is released, a connection becomes evictable, or the shutdown begins.
    changed: Event,
    /// The number of connections that have ended, but still read and discard bytes.
    lingering: Cell<usize>,
    max_lingering: usize,
    /// The number of connections, for the state tree.
    connection_count: Rc<Cell<u32>>,
}

/// Held while a connection lingers after its end; released when dropped.
pub(crate) struct LingerPermit(Rc<ConnectionLimiter>);

/// The state of one connection that decides when it is closed.
pub(crate) struct ConnectionActivity {
    /// When the connection was accepted.
    pub(crate) accepted_at: Millis,
    /// When the connection became idle: it was accepted, or its last activity ended; infinite while a call is open.
    idle_since: Cell<Millis>,
    has_been_answered: Cell<bool>,
    close_requested: Cell<bool>,
    /// Notified when a call is finished, a reply is skipped, or the connection is asked to close.
    pub(crate) changed: Event,
}

/// The permit for one connection; released when dropped.
pub(crate) struct ConnectionPermit {
    pub(crate) limiter: Rc<ConnectionLimiter>,
    pub(crate) activity: Rc<ConnectionActivity>,
    number: u64,
}

/// Ranks idle connections for eviction; the one with the lowest rank is evicted first.
///
/// New connections are evicted last. Connections that never had an answer are evicted before others: a client that
/// opens many connections and sends nothing must not lock other clients out. Otherwise the connection that has been
/// idle for longest is evicted: clients that call once and keep their connection would hold its permit forever.
#[derive(PartialEq, PartialOrd)]
struct EvictionRank {
    is_new: bool,
    has_been_answered: bool,
    idle_since: Millis,
}

impl ConnectionLimiter {
    /// Allows `max_connections` connections, at least one, and in addition a sixteenth as many, at least one, that
    /// linger after their end.
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

    /// Begins the shutdown; connections are not asked to close before [`ConnectionLimiter::close`].
    pub(crate) fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Waits until the shutdown has begun.
    pub(crate) async fn until_shutting_down(&self) {
        wait_for(&self.changed, || self.is_shutting_down().then_some(())).await;
    }

    /// Asks every connection to close as soon as no call is open on it, also those that are accepted later.
    pub(crate) fn close(&self) {
        self.is_closing.set(true);
        for activity in self.connections.borrow().values() {
            activity.request_close();
        }
    }

    /// Whether [`ConnectionLimiter::close`] was called.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Waits until no connection is left, lingering ones included.
    pub(crate) async fn until_empty(&self) {
        let is_empty = || self.connections.borrow().is_empty() && self.lingering.get() == 0;
        wait_for(&self.changed, || is_empty().then_some(())).await;
    }

    /// Waits for the next change, which may be the release of a permit and its descriptor.
    pub(crate) async fn until_released(&self) {
        self.changed.listen().await;
    }

    /// Waits for a permit. While none is free, one idle connection at a time is asked to close.
    pub(crate) async fn acquire(self: &Rc<Self>, clock: &Clock) -> ConnectionPermit {
        let is_free = || self.check_permit_or_evict(clock.now());
        wait_for(&self.changed, || is_free().then_some(())).await;
        self.register(clock.now())
    }

    /// A permit at shutdown for a connection from the system's queue. It may exceed the limit by the margin for
    /// lingering connections; `None` if that is used up too.
    pub(crate) fn try_acquire_at_shutdown(
        self: &Rc<Self>,
        clock: &Clock,
    ) -> Option<ConnectionPermit> {
        let limit = self.max_connections + self.max_lingering;
        let is_free = self.connections.borrow().len() < limit;
        is_free.then(|| self.register(clock.now()))
    }

    /// Whether a permit is free. If none is, asks the idle connection with the lowest rank to close, unless one that
    /// was asked before is still open and idle.
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

    /// Wakes the tasks that wait for a permit, after a change of which connections are idle.
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
    /// Whether the connection was asked to close as soon as no call is open on it.
    pub(crate) fn is_close_requested(&self) -> bool {
        self.close_requested.get()
    }

    /// Whether the client was ever answered on the connection.
    pub(crate) fn has_been_answered(&self) -> bool {
        self.has_been_answered.get()
    }

    /// When the connection became idle: it was accepted, or its last activity ended; infinite while a call is open.
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
    /// Releases the permit and lets the connection linger; `None` if too many linger already. Once all connections were
    /// asked to close, no new one needs the descriptors, and any number may linger.
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
        // A connection with an open call is no longer evicted: the limiter asks another one to close instead.
        let is_closing = self.limiter.is_closing.get();
        self.activity.close_requested.set(is_closing);
        self.limiter.recheck_eviction();
    }

    /// Records that a call or an invalid message was answered, or that a call was cancelled.
    pub(crate) fn call_finished(&self, now: Millis, answered: bool, has_open_calls: bool) {
        let activity = &self.activity;
        let has_been_answered = activity.has_been_answered() || answered;
        activity.has_been_answered.set(has_been_answered);
        // Cancellations of calls that were not open must not make an idle connection look active, or it would never be
        // evicted.
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
