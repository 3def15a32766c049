//! The state that all actors on the gateway's thread share.

use crate::clock::Clock;
use crate::messages::DispatcherMessage;
use crate::pool::BufferPool;
use crate::receive_memory::ReceiveMemory;
use crate::state_watch::ClassSummary;
use crate::statement::StatementMemory;
use crate::used_connections::ConnectionNumbers;
use async_channel::Sender;
use async_executor::LocalExecutor;
use ironstair::Millis;
use ironstair_settings::TransportConfig;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Work above this multiple of the longest deadline is an error of the sender: a request with such an estimate is
/// rejected, and such a cost in an engine's reply is ignored.
const MAX_WORK_FACTOR: f64 = 1000.0;

/// The state that all actors on the gateway's thread share.
pub struct Shared {
    /// The gateway's clock.
    pub clock: Clock,
    /// The buffers for engines' replies.
    pub pool: Rc<BufferPool>,
    /// The memory for incomplete messages of clients.
    pub receive_memory: Rc<ReceiveMemory>,
    /// The memory for statements of open requests.
    pub statement_memory: Rc<StatementMemory>,
    /// The classes, by the policy's index. Replaced as a whole when the configuration changes.
    pub classes: RefCell<Rc<Vec<ClassSummary>>>,
    /// The longest hard limit of the classes in service.
    pub max_deadline: Cell<Millis>,
    /// The longest hard limit that a class has had since the start. Calls and replies of a class that a reload closed,
    /// or gave a shorter limit, stay valid.
    pub longest_deadline: Cell<Millis>,
    /// The settings of connections. Replaced as a whole when a reloaded configuration file changes them.
    pub transport_config: RefCell<Rc<TransportConfig>>,
    /// Whether requests may name their tenant.
    pub accepts_tenant_names: bool,
    /// The limit on the connections to all engines together.
    pub max_engine_connections: usize,
    /// Numbers the connections to all engines.
    pub connection_numbers: ConnectionNumbers,
    /// The number of endpoints in the current list.
    pub endpoint_count: Cell<usize>,
    /// When the lease ends under which the gateway may decide; infinite outside a fleet.
    pub lease_until: Cell<Millis>,
    /// Values that the state tree shows.
    pub metrics: Metrics,
    /// The root logger.
    pub log: Logger,
    /// The dispatcher's queue.
    pub dispatcher: Sender<DispatcherMessage>,
    /// The executor of the gateway's thread.
    pub executor: Rc<LocalExecutor<'static>>,
}

/// Values of individual actors that the state tree shows.
#[derive(Default)]
pub struct Metrics {
    /// Open client connections.
    pub client_connections: Rc<Cell<u32>>,
    /// The limit on client connections.
    pub max_client_connections: Cell<u32>,
    /// The source of the endpoint list.
    pub discovery_source: RefCell<String>,
    /// The serial number of the current endpoint list.
    pub endpoint_list_serial: Cell<u32>,
    /// When the name service last answered; zero if it never has.
    pub last_heard_at: Cell<Millis>,
    /// The number of requests that the policy tracks.
    pub open_requests: Cell<usize>,
    /// The time until which requests with a key are held back after a start.
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

    /// Replaces the longest hard limit of the classes in service.
    pub fn set_max_deadline(&self, max_deadline: Millis) {
        self.max_deadline.set(max_deadline);
        let longest = self.longest_deadline.get().max(max_deadline);
        self.longest_deadline.set(longest);
    }

    /// Whether the lease is valid now.
    pub fn holds_lease(&self) -> bool {
        self.clock.now() < self.lease_until.get()
    }

    /// The largest amount of work that a client may estimate or an engine may report.
    pub fn max_work(&self) -> Millis {
        MAX_WORK_FACTOR * self.longest_deadline.get()
    }
}
