//! How other threads read the gateway's state and send commands to its dispatcher.
//!
//! Both directions are lock-free: the dispatcher never waits for a reader, and builds a snapshot only on a reader's
//! request.

use arc_swap::ArcSwap;
use async_channel::Sender;
use ironstair::{Millis, PolicyConfig};
use ironstair_cells::CellDirectory;
use ironstair_coordination::Share;
use ironstair_data_tree::state::Snapshot;
use ironstair_settings::TransportConfig;
use std::sync::Arc;

/// A command to the dispatcher from management, or from a reload of the configuration file.
pub enum ManagementCommand {
    /// Publishes a snapshot of the current state to the [`StateWatch`].
    PublishState,
    /// Replaces the configuration.
    UpdateConfig(Box<ConfigUpdate>),
    /// Extends or ends the lease under which the gateway may decide.
    RenewLease {
        /// The end of the lease, by the gateway's clock.
        until: Millis,
        /// This gateway's share of fleet-wide limits, if the fleet counts its members. It refers to the latest
        /// configuration.
        share: Option<Share>,
    },
}

/// A new configuration. The dispatcher applies it as a whole, between two messages.
pub struct ConfigUpdate {
    /// The policy's configuration.
    pub policy_config: PolicyConfig,
    /// The classes, by the policy's index, including those that are out of service.
    pub classes: Vec<ClassSummary>,
    /// The longest deadline that a request may have.
    pub max_deadline: Millis,
    /// The cells of engines and tenants; `None` leaves them unchanged, `Some(None)` removes them.
    pub cells: Option<Option<CellDirectory>>,
    /// New settings of connections, if they come from a configuration file.
    pub transport_config: Option<TransportConfig>,
    /// Receives one message once the update is applied.
    pub done: Sender<()>,
}

/// The part of a class's settings that actors other than the policy need.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSummary {
    /// The name under which clients address the class.
    pub name: String,
    /// The latency objective of a request that needs no work.
    pub base_objective: Millis,
    /// Whether new requests are accepted.
    pub in_service: bool,
}

/// Holds the latest snapshot. Both operations are lock-free.
pub trait SnapshotCell {
    /// Replaces the snapshot.
    fn store(&self, snapshot: Arc<Snapshot>);
    /// The snapshot that was stored last.
    fn load(&self) -> Arc<Snapshot>;
}

/// Wakes all tasks that started to listen before a notification.
pub trait Notifier {
    /// Completes at the first notification after its creation.
    type Listener;
    /// Starts to listen.
    fn listen(&self) -> Self::Listener;
    /// Wakes all listeners.
    fn notify_all(&self);
}

impl SnapshotCell for ArcSwap<Snapshot> {
    fn store(&self, snapshot: Arc<Snapshot>) {
        ArcSwap::store(self, snapshot);
    }
    fn load(&self) -> Arc<Snapshot> {
        self.load_full()
    }
}

impl Notifier for event_listener::Event {
    type Listener = event_listener::EventListener;
    fn listen(&self) -> Self::Listener {
        event_listener::Event::listen(self)
    }
    fn notify_all(&self) {
        self.notify(usize::MAX);
    }
}

/// The latest snapshot of the gateway's state, with a notification for each new one.
///
/// The cell and the notifier are type parameters so that tests can replace them and explore the interleavings of reader
/// and writer.
#[derive(Default)]
pub struct StateWatch<C = ArcSwap<Snapshot>, N = event_listener::Event> {
    cell: C,
    notifier: N,
}

impl<C: SnapshotCell, N: Notifier> StateWatch<C, N> {
    /// Creates a watch from its parts.
    pub fn new(cell: C, notifier: N) -> Self {
        StateWatch { cell, notifier }
    }

    /// Stores the snapshot, then notifies: a reader that is woken finds at least this snapshot.
    pub fn publish(&self, snapshot: Snapshot) {
        self.cell.store(Arc::new(snapshot));
        self.notifier.notify_all();
    }

    /// The snapshot that was published last.
    pub fn current(&self) -> Arc<Snapshot> {
        self.cell.load()
    }

    /// Completes at the next publication.
    ///
    /// A reader must call this before it requests a snapshot. Otherwise it could miss the publication of that snapshot
    /// and wait forever.
    pub fn changed(&self) -> N::Listener {
        self.notifier.listen()
    }
}
