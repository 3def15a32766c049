//! The state that all actors of the gateway's thread share.

use crate::clock::Clock;
use crate::messages::DispatcherMessage;
use crate::pool::BufferPool;
use crate::state_watch::ClassSummary;
use async_channel::Sender;
use async_executor::LocalExecutor;
use ironstair::Millis;
use ironstair_settings::TransportConfig;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// An estimate of work above this multiple of the longest deadline is an error of the sender and is capped.
const MAX_WORK_FACTOR: f64 = 1000.0;

/// What all actors of the gateway's thread share.
pub struct Shared {
    /// The gateway's clock.
    pub clock: Clock,
    /// The buffers for requests and answers.
    pub pool: Rc<BufferPool>,
    /// The classes by the policy's index; replaced as a whole when the configuration changes.
    pub classes: RefCell<Rc<Vec<ClassSummary>>>,
    /// The longest deadline that a request may have.
    pub max_deadline: Cell<Millis>,
    /// Replaced as a whole when the configuration file brings other settings.
    pub transport_config: RefCell<Rc<TransportConfig>>,
    /// Whether clients may name their tenant.
    pub accepts_tenant_names: bool,
    /// The limit on connections to all engines together.
    pub max_engine_connections: usize,
    /// Endpoints in the current list.
    pub endpoint_count: Cell<usize>,
    /// Until when the gateway may decide by its configuration; infinite without a fleet.
    pub lease_until: Cell<Millis>,
    /// Counters for the state tree.
    pub metrics: Metrics,
    /// The root logger.
    pub log: Logger,
    /// The dispatcher's queue.
    pub dispatcher: Sender<DispatcherMessage>,
    /// The executor of the gateway's thread.
    pub executor: Rc<LocalExecutor<'static>>,
}

/// State of single actors that the state tree shows.
#[derive(Default)]
pub struct Metrics {
    /// Open client connections.
    pub client_connections: Rc<Cell<u32>>,
    /// The limit on client connections.
    pub max_client_connections: Cell<u32>,
    /// Where the endpoint list comes from.
    pub discovery_source: RefCell<String>,
    /// The serial number of the last change of the endpoint list.
    pub endpoint_list_serial: Cell<u32>,
    /// When the name service last answered; zero if it never did.
    pub last_heard_at: Cell<Millis>,
    /// Requests that the policy still knows.
    pub open_requests: Cell<usize>,
    /// Until when requests with a key wait after the start.
    pub key_quarantine: Cell<Millis>,
}

impl Shared {
    /// The current classes.
    pub fn classes(&self) -> Rc<Vec<ClassSummary>> {
        self.classes.borrow().clone()
    }

    /// The current transport settings.
    pub fn transport_config(&self) -> Rc<TransportConfig> {
        self.transport_config.borrow().clone()
    }

    /// Whether the lease holds now.
    pub fn holds_lease(&self) -> bool {
        self.clock.now() < self.lease_until.get()
    }

    /// The largest amount of work that a client or engine may report.
    pub fn max_work(&self) -> Millis {
        MAX_WORK_FACTOR * self.max_deadline.get()
    }
}
