//! The manager: its state, its main loop and the dispatch of requests.

use crate::error::Refused;
use crate::fleet_channel::{FleetChannel, FleetRequest, Responder};
use crate::handle::ManagementHandle;
use crate::journal::Journal;
use crate::request::{Request, Scope};
use crate::start::InitialState;
use crate::tree::Tree;
use async_channel::Sender;
use ironstair::Millis;
use ironstair_config_change::{ClassRegistry, Command, Document, Input, Origin, RevisionTracker};
use ironstair_data_tree::state::{self, Snapshot};
use ironstair_data_tree::{LeafMap, Schema};
use ironstair_runtime::clock::{duration, Clock};
use ironstair_runtime::state_watch::{ManagementCommand, StateWatch};
use slog::{info, Logger};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// Capacity of the request queue; senders wait when it is full.
const CHANNEL_CAPACITY: usize = 64;
/// The interval in ms at which the gateway's state is requested while readers follow the tree.
const REFRESH_INTERVAL: Millis = 100.0;
/// A read within this many ms after the last request for the gateway's state uses that state, so that reads in quick
/// succession cause one request.
const MIN_REFRESH_AGE: Millis = 20.0;

/// The policy of the fleet that this gateway has applied.
pub(crate) struct AppliedPolicy {
    pub applied_index: u64,
    pub document: Document,
}

/// The actor that owns the revisions, their journal and the tree. It ends once every handle is dropped.
pub struct Manager {
    pub(crate) schema: Arc<Schema>,
    pub(crate) origin: Origin,
    pub(crate) tracker: RevisionTracker<Document>,
    /// The settings of the configuration file.
    pub(crate) configured: Document,
    pub(crate) registry: ClassRegistry,
    /// The journal. `None` while a record is being written, or if revisions are not persisted.
    pub(crate) journal: Option<Journal>,
    pub(crate) leaves: LeafMap,
    /// The latest snapshot of the gateway's state.
    pub(crate) snapshot: Arc<Snapshot>,
    /// When the gateway's state was last requested; Unix time in ms. 0 forces a request at the next read.
    pub(crate) refreshed_at: Millis,
    pub(crate) clock: Clock,
    pub(crate) state_watch: Arc<StateWatch>,
    /// The commands to the gateway's thread.
    pub(crate) commands: Sender<ManagementCommand>,
    pub(crate) log: Logger,
    pub(crate) level: Arc<AtomicUsize>,
    pub(crate) requests: mpsc::Receiver<Request>,
    pub(crate) trees: watch::Sender<Arc<Tree>>,
    pub(crate) watchers: Arc<AtomicUsize>,
    pub(crate) fleet: Option<FleetChannel>,
    pub(crate) applied: Option<AppliedPolicy>,
}

/// The channels and shared objects that the manager needs.
pub struct ManagerContext {
    /// The clock of the gateway.
    pub clock: Clock,
    /// The snapshots of the gateway's state that the dispatcher publishes.
    pub state_watch: Arc<StateWatch>,
    /// The commands to the gateway's thread.
    pub commands: Sender<ManagementCommand>,
    /// The log.
    pub log: Logger,
    /// The level of the log as slog's number; the manager sets it when the settings change it.
    pub level: Arc<AtomicUsize>,
    /// The channel to the fleet's actor, if this gateway is in a fleet.
    pub fleet: Option<FleetChannel>,
}

impl Manager {
    /// Creates the manager of the gateway of that name, and a handle to it. The caller has to run the manager.
    pub fn new(
        initial: InitialState,
        name: &str,
        context: ManagerContext,
    ) -> (Manager, ManagementHandle) {
        for message in &initial.messages {
            info!(context.log, "{}", message);
        }
        let process = state::process_leaves(name, env!("CARGO_PKG_VERSION"));
        let leaves = initial.leaves.union(process);
        let leaves = state::with_revisions(&leaves, initial.tracker.revisions().iter());
        let (requests_in, requests) = mpsc::channel(CHANNEL_CAPACITY);
        let (trees, trees_out) = watch::channel(Arc::new(Tree {
            at: context.clock.now(),
            leaves: leaves.clone(),
        }));
        let manager = Manager {
            schema: Arc::new(initial.schema),
            origin: initial.origin,
            tracker: initial.tracker,
            configured: initial.configured,
            registry: initial.registry,
            journal: initial.journal,
            leaves,
            snapshot: Arc::default(),
            refreshed_at: 0.0,
            clock: context.clock,
            state_watch: context.state_watch,
            commands: context.commands,
            log: context.log,
            level: context.level,
            requests,
            trees,
            watchers: Arc::default(),
            fleet: context.fleet,
            applied: None,
        };
        manager.set_log_level();
        let handle = ManagementHandle {
            schema: manager.schema.clone(),
            requests: requests_in,
            trees: trees_out,
            watchers: manager.watchers.clone(),
        };
        (manager, handle)
    }

    /// Serves requests until every handle is dropped.
    pub async fn run(mut self) {
        loop {
            let now = self.clock.now();
            let until_due = self.tracker.due().map_or(Millis::INFINITY, |due| due - now);
            let until_refresh = match self.watchers.load(Ordering::Relaxed) {
                0 => Millis::INFINITY,
                _ => (self.refreshed_at + REFRESH_INTERVAL - now).max(0.0),
            };
            // A new reader requests the tree before it follows it. That request ends this wait, so that the refresh
            // interval starts to apply.
            tokio::select! {
                request = self.requests.recv() => match request {
                    Some(request) => self.serve(request).await,
                    None => return,
                },
                () = sleep(duration(until_due.min(until_refresh))) => {
                    if until_due <= until_refresh {
                        let _ = self.advance(Input::Due).await;
                    } else {
                        self.refresh().await;
                    }
                }
            }
        }
    }

    async fn serve(&mut self, request: Request) {
        match request {
            Request::ReadTree(answer) => {
                if self.clock.now() - self.refreshed_at >= MIN_REFRESH_AGE {
                    self.refresh().await;
                }
                let _ = answer.send(self.trees.borrow().clone());
            }
            Request::Change(change, answer) => self.change(*change, answer).await,
            Request::Command {
                command,
                author,
                scope,
                answer,
            } => self.command(*command, author, scope, answer).await,
            Request::Bootstrap {
                is_disaster_recovery,
                author,
                answer,
            } => self.bootstrap(is_disaster_recovery, author, answer),
            Request::FleetState(answer) => self.fleet_state(answer),
            Request::Validate(document, answer) => {
                let _ = answer.send(self.validate(document).map(drop));
            }
            Request::Apply(policy, answer) => {
                let _ = answer.send(self.apply_fleet_policy(policy).await);
            }
        }
    }

    async fn command(
        &mut self,
        command: Command<Document>,
        author: String,
        scope: Scope,
        answer: Responder,
    ) {
        let fleet = match self.fleet_channel_for(scope) {
            Err(refused) => return drop(answer.send(Err(refused))),
            Ok(None) => {
                let outcome = self.advance(Input::Command(command)).await;
                return drop(answer.send(outcome));
            }
            Ok(Some(fleet)) => fleet,
        };
        match command {
            Command::Confirm { id } => {
                fleet.request(answer, |answer| FleetRequest::Confirm { id, answer });
            }
            Command::Cancel { id } => {
                fleet.request(answer, |answer| FleetRequest::Cancel { id, author, answer });
            }
            Command::Set { .. } | Command::Extend { .. } => {
                let reason = "the time to confirm a change cannot be extended in a fleet".into();
                let _ = answer.send(Err(Refused::Fleet(reason)));
            }
        }
    }
}
