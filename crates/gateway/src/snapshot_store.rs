//! The snapshot for the next process of this gateway: the endpoint list, and whether this process ended without open
//! requests. A separate thread reads and writes the folder, so that a slow disk does not block the gateway's thread.

mod folder;

use crate::config::GatewayConfig;
use async_channel::{bounded, Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use ironstair::{EndpointState, Millis};
use ironstair_config_change::NameIndex;
use ironstair_recovery::{encode, recover, Engine, RecoveredList, Snapshot};
use ironstair_runtime::clock::duration;
use ironstair_runtime::{DiscoveredEndpoint, Shared};
use slog::Logger;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The longest time between two writes of the snapshot, in ms. The next process decides by the time of the last write
/// whether the list is recent enough to use.
const WRITE_INTERVAL: Millis = 10_000.0;
/// The capacity of the queue to the store's task.
const QUEUE_LENGTH: usize = 4;

/// A message to the store's task.
enum StoreMessage {
    /// The endpoint list has changed.
    Endpoints {
        /// The serial number of the list.
        serial: u32,
        /// All engines of the list.
        engines: Vec<Engine>,
    },
    /// The process ends. The sender is dropped when the last snapshot is written or its write has failed.
    Finish(Sender<()>),
}

/// A snapshot to write.
struct SnapshotWrite {
    bytes: Vec<u8>,
    /// Dropped after the write, which notifies the receiver.
    done: Option<Sender<()>>,
    /// The log for write failures.
    log: Logger,
}

/// A handle to the task that owns the snapshot.
#[derive(Clone)]
pub(crate) struct SnapshotStore {
    messages: Sender<StoreMessage>,
}

/// The snapshot folder, whose thread is running, and what was recovered from it.
pub(crate) struct OpenedFolder {
    /// Whether to quarantine the ordering keys, because attempts of the previous process may still run.
    pub(crate) quarantines_keys: bool,
    /// Messages for the log, one line each.
    pub(crate) notes: Vec<String>,
    snapshot: Snapshot,
    writes: Sender<SnapshotWrite>,
}

/// Opens the folder and reads the snapshot of the previous process. Its endpoint list replaces the one in `config`,
/// unless it is older than that or too old to be used. Takes 1 s at most.
pub(crate) fn open(folder: &Path, config: &mut GatewayConfig) -> OpenedFolder {
    let (read, writes) = folder::open(folder);
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let unix_ms = unix.as_secs_f64() * 1000.0;
    let recovery = recover(read, &config.name, unix_ms, config.endpoint_serial);
    let mut notes: Vec<String> = recovery.note.into_iter().collect();
    let mut snapshot = Snapshot {
        gateway: config.name.clone(),
        ..Snapshot::default()
    };
    if let Some(list) = recovery.endpoints {
        notes.push(format!(
            "endpoint list restored: {} engines, last confirmed by the name service {:.0} ms ago",
            list.engines.len(),
            list.age
        ));
        snapshot.serial = list.serial;
        snapshot.heard_at = unix_ms - list.age;
        snapshot.engines = list.engines.clone();
        replace_endpoints(config, list);
    }
    OpenedFolder {
        quarantines_keys: recovery.needs_key_quarantine,
        notes,
        snapshot,
        writes,
    }
}

fn replace_endpoints(config: &mut GatewayConfig, list: RecoveredList) {
    let index = &config.name_index;
    let endpoint = |engine: Engine| {
        let endpoint = DiscoveredEndpoint {
            address: engine.address,
            zone: index.zone(&engine.zone),
            machine_type: index.machine_type(&engine.machine_type),
            dedup_domain: engine.dedup_domain,
            state: EndpointState::Ready,
            started_at: engine.started_at,
        };
        (engine.name, endpoint)
    };
    config.endpoints = list.engines.into_iter().map(endpoint).collect();
    config.endpoint_serial = list.serial;
}

impl SnapshotStore {
    /// Starts the task that owns the snapshot. Must be called before the executor of `shared` runs.
    pub(crate) fn start(opened: OpenedFolder, shared: Rc<Shared>) -> SnapshotStore {
        let (message_sender, messages) = bounded(QUEUE_LENGTH);
        let executor = shared.executor.clone();
        let task = StoreTask {
            snapshot: opened.snapshot,
            shared,
            messages,
            writes: opened.writes,
        };
        executor.spawn(task.run()).detach();
        SnapshotStore {
            messages: message_sender,
        }
    }

    /// Replaces the endpoint list of the snapshot. If the queue is full the change is dropped; the next change contains
    /// the complete list again.
    pub(crate) fn update_endpoints(
        &self,
        serial: u32,
        endpoints: &BTreeMap<String, DiscoveredEndpoint>,
        index: &NameIndex,
    ) {
        let endpoints = endpoints.iter();
        let engines = endpoints.map(|(name, endpoint)| engine(name, endpoint, index));
        let message = StoreMessage::Endpoints {
            serial,
            engines: engines.collect(),
        };
        let _ = self.messages.try_send(message);
    }

    /// Writes the last snapshot, which records whether requests are open. Returns when it is written, or after
    /// `timeout` ms.
    pub(crate) async fn finish(self, timeout: Millis) {
        let (done, written) = bounded(1);
        let write = async {
            if self.messages.send(StoreMessage::Finish(done)).await.is_ok() {
                let _ = written.recv().await;
            }
        };
        let timeout = async {
            Timer::after(duration(timeout)).await;
        };
        or(write, timeout).await;
    }
}

fn engine(name: &str, endpoint: &DiscoveredEndpoint, index: &NameIndex) -> Engine {
    let name_of = |names: &[String], nth: u16| names.get(nth as usize).cloned().unwrap_or_default();
    Engine {
        name: name.to_owned(),
        address: endpoint.address,
        zone: name_of(&index.zones, endpoint.zone),
        machine_type: name_of(&index.machine_types, endpoint.machine_type),
        dedup_domain: endpoint.dedup_domain,
        draining: endpoint.state != EndpointState::Ready,
        started_at: endpoint.started_at,
    }
}

/// The task that owns the snapshot.
struct StoreTask {
    snapshot: Snapshot,
    shared: Rc<Shared>,
    messages: Receiver<StoreMessage>,
    writes: Sender<SnapshotWrite>,
}

impl StoreTask {
    /// Writes the snapshot at once, after each message and after each interval, until the process has ended cleanly.
    async fn run(mut self) {
        let mut is_first = true;
        while !self.snapshot.ended_cleanly {
            let message = self.next_message(&mut is_first).await;
            let done = message.and_then(|message| self.apply(message));
            self.write(done);
        }
    }

    /// Waits for the next message; `None` if the next write is due first.
    async fn next_message(&self, is_first: &mut bool) -> Option<StoreMessage> {
        let message = async { self.messages.recv().await.ok() };
        let due = async {
            let delay = match std::mem::take(is_first) {
                true => 0.0,
                false => WRITE_INTERVAL,
            };
            Timer::after(duration(delay)).await;
            None
        };
        or(message, due).await
    }

    /// Applies the message to the snapshot. Returns the sender to drop when the snapshot is written.
    fn apply(&mut self, message: StoreMessage) -> Option<Sender<()>> {
        match message {
            StoreMessage::Endpoints { serial, engines } => {
                self.snapshot.serial = serial;
                self.snapshot.engines = engines;
                None
            }
            StoreMessage::Finish(done) => {
                self.snapshot.ended_cleanly = self.shared.metrics.open_requests.get() == 0;
                Some(done)
            }
        }
    }

    fn write(&mut self, done: Option<Sender<()>>) {
        let last_heard_at = self.shared.metrics.last_heard_at.get();
        self.snapshot.written_at = self.shared.clock.now();
        self.snapshot.heard_at = self.snapshot.heard_at.max(last_heard_at);
        let Ok(bytes) = encode(&self.snapshot) else {
            return;
        };
        // Replaces an older snapshot that is still in the queue.
        let _ = self.writes.force_send(SnapshotWrite {
            bytes,
            done,
            log: self.shared.log.clone(),
        });
    }
}
