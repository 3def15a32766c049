//! The manager's actor, and the desk at which others ask it.

use crate::fleet_channel::{FleetChannel, FleetRequest, Held, Responder};
use crate::journal::Journal;
use crate::start::{cell_directory, classes, Started};
use async_channel::Sender as Requests;
use ironstair::Ms;
use ironstair_cells::moves::may_move;
use ironstair_cells::Cells;
use ironstair_config_change::{
    plan, Action, ClassRegistry, Command, Confirmation, Document, Input, Level, Origin,
    PersistedState, Record, Refusal, RevisionTracker, WriteError,
};
use ironstair_data_tree::state::{self, Snapshot};
use ironstair_data_tree::{Edit, Leaves, Path, Schema};
use ironstair_runtime::clock::{span, Clock};
use ironstair_runtime::number;
use ironstair_runtime::window::{Amendment, ManagementCommand, Window};
use serde_json::Value as Json;
use slog::{info, warn, Logger};
use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

/// Asks that may wait at the desk.
const MAILBOX: usize = 64;
/// While somebody watches, the gateway's thread is asked this often; and no view is taken twice within the second.
const LOOK_EVERY: Ms = 100.0;
const LOOK_AGAIN: Ms = 20.0;
/// How long a view or a change may take the gateway's thread before that is said.
const LOOK_WITHIN: Ms = 1000.0;
const AMEND_WITHIN: Ms = 5000.0;

/// Settings and state at one moment.
#[derive(Clone, Debug)]
pub struct Tree {
    /// Unix time in ms.
    pub at: Ms,
    pub leaves: Leaves,
}

/// Why a change was not made.
#[derive(Clone, Debug, PartialEq)]
pub enum Refused {
    /// A path or value is wrong: a sentence for each, which names the path.
    Wrong(Vec<String>),
    /// The settings can't be changed as things stand.
    Not(Refusal),
    /// By the fleet, or since this gateway is in one, or in none.
    Fleet(String),
    /// The gateway is about to end.
    Ending,
}

/// Whose settings are meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Gateway,
    Fleet,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refused::Wrong(all) => f.write_str(&all.join("; ")),
            Refused::Not(refusal) => refusal.fmt(f),
            Refused::Fleet(why) => f.write_str(why),
            Refused::Ending => f.write_str("the gateway is about to end"),
        }
    }
}

enum Order {
    Look(oneshot::Sender<Arc<Tree>>),
    Set(Box<Set>),
    Command {
        ask: Box<Command<Document>>,
        who: String,
        scope: Scope,
        answer: Responder,
    },
    Begin {
        anew: bool,
        who: String,
        answer: Responder,
    },
    Show(oneshot::Sender<Result<Json, Refused>>),
    Examine(Json, oneshot::Sender<Result<(), String>>),
    Hold {
        mark: u64,
        number: u64,
        document: Json,
        answer: oneshot::Sender<Result<(), String>>,
    },
}

struct Set {
    edits: Vec<Edit>,
    who: String,
    what: String,
    commit: Option<Confirmation>,
    scope: Scope,
    answer: Responder,
}

/// Where the tree is read and changed; cloned for each who does.
#[derive(Clone)]
pub struct ManagementHandle {
    schema: Arc<Schema>,
    orders: mpsc::Sender<Order>,
    trees: watch::Receiver<Arc<Tree>>,
    watching: Arc<AtomicUsize>,
}

/// The tree as it changes, for as long as this is held.
pub struct Watch {
    pub trees: watch::Receiver<Arc<Tree>>,
    watching: Arc<AtomicUsize>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.watching.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ManagementHandle {
    pub fn schema(&self) -> &Schema {
        &self.schema
    }

    /// The tree as it is now, or as it was last seen where the gateway's thread does not answer.
    pub async fn tree(&self) -> Arc<Tree> {
        let (tell, configured) = oneshot::channel();
        let asked = self.orders.send(Order::Look(tell)).await.is_ok();
        match configured.await {
            Ok(tree) if asked => tree,
            _ => self.trees.borrow().clone(),
        }
    }

    pub fn watch(&self) -> Watch {
        self.watching.fetch_add(1, Ordering::Relaxed);
        Watch {
            trees: self.trees.clone(),
            watching: self.watching.clone(),
        }
    }

    /// Changes the settings, for good or until confirmed; the number of the revision that runs then.
    ///
    /// # Errors
    /// Nothing was changed, and why.
    pub async fn set(
        &self,
        edits: Vec<Edit>,
        who: String,
        what: String,
        commit: Option<Confirmation>,
        scope: Scope,
    ) -> Result<u64, Refused> {
        let asks = |answer| {
            Order::Set(Box::new(Set {
                edits,
                who,
                what,
                commit,
                scope,
                answer,
            }))
        };
        self.configured(asks).await.unwrap_or(Err(Refused::Ending))
    }

    /// Confirms, cancels or extends what waits to be confirmed.
    ///
    /// # Errors
    /// Nothing of the kind waits, or the disk did not take it.
    pub async fn command(
        &self,
        ask: Command<Document>,
        who: String,
        scope: Scope,
    ) -> Result<u64, Refused> {
        let asks = |answer| Order::Command {
            ask: Box::new(ask),
            who,
            scope,
            answer,
        };
        self.configured(asks).await.unwrap_or(Err(Refused::Ending))
    }

    /// Begins the fleet's history with what this gateway was told; or anew, with what is left of it here.
    ///
    /// # Errors
    /// It is in no fleet, a history has begun, or it is not lost.
    pub async fn bootstrap(&self, anew: bool, who: String) -> Result<u64, Refused> {
        self.configured(|answer| Order::Begin { anew, who, answer })
            .await
            .unwrap_or(Err(Refused::Ending))
    }

    /// What the fleet's leader knows.
    ///
    /// # Errors
    /// It is in no fleet, or no leader answers.
    pub async fn fleet_state(&self) -> Result<Json, Refused> {
        self.configured(Order::Show)
            .await
            .unwrap_or(Err(Refused::Ending))
    }

    /// Whether this gateway could hold a policy of the fleet.
    ///
    /// # Errors
    /// Why not.
    pub async fn validate(&self, document: Json) -> Result<(), String> {
        self.configured(|answer| Order::Examine(document, answer))
            .await
            .unwrap_or(Err("it ends".into()))
    }

    /// Has the decisions go by a policy of the fleet; they do once this is answered.
    ///
    /// # Errors
    /// Why they can't, or don't yet.
    pub async fn apply(&self, mark: u64, number: u64, document: Json) -> Result<(), String> {
        let hold = |answer| Order::Hold {
            mark,
            number,
            document,
            answer,
        };
        self.configured(hold).await.unwrap_or(Err("it ends".into()))
    }

    async fn configured<T>(&self, order: impl FnOnce(oneshot::Sender<T>) -> Order) -> Option<T> {
        let (answer, configured) = oneshot::channel();
        self.orders.send(order(answer)).await.ok()?;
        configured.await.ok()
    }
}

/// The actor.
pub struct Manager {
    schema: Arc<Schema>,
    origin: Origin,
    tracker: RevisionTracker<Document>,
    configured: Document,
    registry: ClassRegistry,
    journal: Option<Journal>,
    leaves: Leaves,
    was: Arc<Snapshot>,
    looked: Ms,
    clock: Clock,
    window: Arc<Window>,
    requests: Requests<ManagementCommand>,
    log: Logger,
    level: Arc<AtomicUsize>,
    orders: mpsc::Receiver<Order>,
    trees: watch::Sender<Arc<Tree>>,
    watching: Arc<AtomicUsize>,
    fleet: Option<FleetChannel>,
    held: Option<Held>,
}

/// What the manager works with.
pub struct ManagerContext {
    pub clock: Clock,
    pub window: Arc<Window>,
    pub requests: Requests<ManagementCommand>,
    pub log: Logger,
    /// The log's, by slog's numbers.
    pub level: Arc<AtomicUsize>,
    pub fleet: Option<FleetChannel>,
}

impl Manager {
    pub fn new(from: Started, name: &str, around: ManagerContext) -> (Manager, ManagementHandle) {
        let ManagerContext {
            clock,
            window,
            requests,
            log,
            level,
            fleet,
        } = around;
        let Started {
            schema,
            origin,
            tracker,
            configured,
            registry,
            leaves,
            journal,
            notes,
        } = from;
        notes.iter().for_each(|n| info!(log, "{}", n));
        let leaves = leaves.union(state::process(name, env!("CARGO_PKG_VERSION")));
        let leaves = state::revisions(&leaves, tracker.revisions().iter());
        let (schema, watching) = (Arc::new(schema), Arc::new(AtomicUsize::new(0)));
        let (tell, orders) = mpsc::channel(MAILBOX);
        let first = Arc::new(Tree {
            at: clock.now(),
            leaves: leaves.clone(),
        });
        let (trees, seen) = watch::channel(first);
        let management = ManagementHandle {
            schema: schema.clone(),
            orders: tell,
            trees: seen,
            watching: watching.clone(),
        };
        let manager = Manager {
            schema,
            origin,
            tracker,
            configured,
            registry,
            journal,
            leaves,
            was: Arc::new(Snapshot::default()),
            looked: 0.0,
            clock,
            window,
            requests,
            log,
            level,
            orders,
            trees,
            watching,
            fleet,
            held: None,
        };
        manager.set_level();
        (manager, management)
    }

    /// Until every desk is gone.
    pub async fn run(mut self) {
        loop {
            let now = self.clock.now();
            let due = self.tracker.due().map_or(Ms::INFINITY, |d| d - now);
            let look = match self.watching.load(Ordering::Relaxed) {
                0 => Ms::INFINITY,
                _ => (self.looked + LOOK_EVERY - now).max(0.0),
            };
            // Who begins to watch asks for the tree first, and so is heard here.
            let order = tokio::select! {
                order = self.orders.recv() => order,
                () = sleep(span(due.min(look))) => {
                    if due <= look {
                        let _ = self.hand(Input::Due).await;
                    } else {
                        self.look().await;
                    }
                    continue;
                }
            };
            match order {
                None => return,
                Some(Order::Look(tell)) => {
                    if self.clock.now() - self.looked >= LOOK_AGAIN {
                        self.look().await;
                    }
                    let _ = tell.send(self.trees.borrow().clone());
                }
                Some(Order::Set(set)) => self.set(*set).await,
                Some(Order::Command {
                    ask,
                    who,
                    scope,
                    answer,
                }) => match self.meant(scope) {
                    Err(why) => drop(answer.send(Err(why))),
                    Ok(None) => drop(answer.send(self.hand(Input::Command(*ask)).await)),
                    Ok(Some(fleet)) => match *ask {
                        Command::Confirm { id } => {
                            want(fleet, answer, |answer| FleetRequest::Confirm { id, answer })
                        }
                        Command::Cancel { id } => want(fleet, answer, |answer| {
                            FleetRequest::Cancel { id, who, answer }
                        }),
                        Command::Set { .. } | Command::Extend { .. } => {
                            let why = "in a fleet a change keeps the time it was given".into();
                            let _ = answer.send(Err(Refused::Fleet(why)));
                        }
                    },
                },
                Some(Order::Begin { anew, who, answer }) => match self.meant(Scope::Fleet) {
                    Ok(Some(fleet)) => {
                        let document = serde_json::to_value(&self.configured).unwrap_or_default();
                        want(fleet, answer, |answer| match anew {
                            true => FleetRequest::RecoverFromDisaster {
                                document,
                                who,
                                answer,
                            },
                            false => FleetRequest::Bootstrap { document, answer },
                        });
                    }
                    other => drop(answer.send(other.map(|_| 0))),
                },
                Some(Order::Show(answer)) => match self.meant(Scope::Fleet) {
                    Ok(Some(fleet)) => want(fleet, answer, FleetRequest::Show),
                    other => drop(answer.send(other.map(|_| Json::Null))),
                },
                Some(Order::Examine(document, answer)) => {
                    drop(answer.send(self.examine(document).map(drop)))
                }
                Some(Order::Hold {
                    mark,
                    number,
                    document,
                    answer,
                }) => {
                    let how = self.hold(mark, number, document).await;
                    let _ = answer.send(how);
                }
            }
        }
    }

    /// The fleet, where that is meant.
    fn meant(&self, scope: Scope) -> Result<Option<&FleetChannel>, Refused> {
        let no = |why: &str| Err(Refused::Fleet(why.into()));
        match (&self.fleet, scope) {
            (None, Scope::Gateway) => Ok(None),
            (Some(fleet), Scope::Fleet) => Ok(Some(fleet)),
            (None, Scope::Fleet) => no("this gateway is in no fleet"),
            (Some(_), Scope::Gateway) => {
                no("this gateway's settings are its fleet's: ironstair set --fleet")
            }
        }
    }

    async fn set(
        &mut self,
        Set {
            edits,
            who,
            what,
            commit,
            scope,
            answer,
        }: Set,
    ) {
        if let Err(why) = self.meant(scope) {
            return drop(answer.send(Err(why)));
        }
        let candidate = match self.candidate(&edits) {
            Ok(document) if document.cells != self.running().cells => {
                // Whether a tenant may move goes by what is ready now.
                self.look().await;
                self.moves(&document).map(|()| document)
            }
            other => other,
        };
        let document = match candidate {
            Err(wrong) => return drop(answer.send(Err(Refused::Wrong(wrong)))),
            Ok(document) => document,
        };
        let Some(fleet) = &self.fleet else {
            let how = self
                .hand(Input::Command(Command::Set {
                    author: who,
                    summary: what,
                    document,
                    commit,
                }))
                .await;
            return drop(answer.send(how));
        };
        let Some(base_revision) = self.held.as_ref().map(|h| h.mark) else {
            let why = "what the fleet holds is not known here yet".into();
            return drop(answer.send(Err(Refused::Fleet(why))));
        };
        let document = serde_json::to_value(&document).unwrap_or_default();
        want(fleet, answer, |answer| FleetRequest::Change {
            who,
            what,
            document,
            base_revision,
            commit: commit.map(|c| (c.id, c.within)),
            answer,
        });
    }

    /// What the decisions go by.
    fn running(&self) -> &Document {
        self.held
            .as_ref()
            .map_or(self.tracker.running(), |h| &h.document)
    }

    fn examine(&self, document: Json) -> Result<Document, String> {
        let read = serde_json::from_value::<Document>(document);
        let document = read.map_err(|e| format!("this version can't read it: {e}"))?;
        self.schema.settings(&document).map_err(|m| m.to_string())?;
        match plan(
            self.running(),
            &document,
            &self.registry,
            &self.origin.name_index,
        ) {
            Ok(_) => Ok(document),
            Err(violations) => Err(violations
                .iter()
                .map(|f| f.to_string())
                .collect::<Vec<_>>()
                .join("; ")),
        }
    }

    async fn hold(&mut self, mark: u64, number: u64, document: Json) -> Result<(), String> {
        let document = self.examine(document)?;
        self.held = Some(Held {
            mark,
            number,
            document: document.clone(),
        });
        let taken = self.apply(number, document).await;
        self.publish();
        // Against telling the leader that it is held while the gateway's thread still goes by what was before.
        taken
            .then_some(())
            .ok_or("the gateway's thread has not taken it over yet".into())
    }

    /// The document that a change comes to, checked whole.
    fn candidate(&self, edits: &[Edit]) -> Result<Document, Vec<String>> {
        let new = self
            .schema
            .edit(&self.leaves, edits)
            .map_err(|m| vec![m.to_string()])?;
        let document = self.schema.document(&new);
        let document =
            document.map_err(|all| all.iter().map(|m| m.to_string()).collect::<Vec<_>>())?;
        match plan(
            self.running(),
            &document,
            &self.registry,
            &self.origin.name_index,
        ) {
            Ok(_) => Ok(document),
            Err(violations) => Err(violations.iter().map(|f| f.to_string()).collect()),
        }
    }

    /// Whether each tenant whose pin changes may move to where it is pinned then.
    fn moves(&self, to: &Document) -> Result<(), Vec<String>> {
        let (Some(cells), Some(cell_directory)) = (&to.cells, cell_directory(to)) else {
            return Ok(());
        };
        let engines = self
            .was
            .engines
            .iter()
            .filter(|(_, e)| e.view.state == ironstair::EndpointState::Ready);
        let ready = engines
            .map(|(_, e)| cell_directory.engine(e.id))
            .fold(Cells::default(), Cells::with);
        let before = self.running().cells.iter().flat_map(|c| &c.tenant);
        let before: Vec<_> = before.collect();
        let moved = cells.tenant.iter().filter(|t| !before.contains(t));
        let refused = moved.filter_map(|t| {
            let there = cell_directory.tenant(number(t.name.as_bytes()));
            let why = may_move(there, ready, Cells::default()).err()?;
            Some(format!(
                "/settings/cells/tenant[name={}]/cell: {why}",
                t.name
            ))
        });
        let refused: Vec<String> = refused.collect();
        if refused.is_empty() {
            Ok(())
        } else {
            Err(refused)
        }
    }

    /// Hands one input to the ledger and carries out what it asks for, up to its answer.
    async fn hand(&mut self, input: Input<Document>) -> Result<u64, Refused> {
        let mut inputs = vec![input];
        let mut answer = Ok(self.tracker.number());
        while let Some(input) = inputs.pop() {
            for action in self.tracker.on(self.clock.now(), input) {
                match action {
                    Action::Write(record) => inputs.push(Input::Written(self.write(record).await)),
                    Action::Note(record) => {
                        if let Err(why) = self.write(record).await {
                            warn!(self.log, "a change taken back could not be noted"; "why" => %why);
                        }
                    }
                    Action::Apply { number, document } => drop(self.apply(number, document).await),
                    Action::Answer(how) => answer = how.map_err(Refused::Not),
                }
            }
        }
        self.leaves = state::revisions(&self.leaves, self.tracker.revisions().iter());
        self.publish();
        answer
    }

    /// On a thread of its own: a slow disk holds up nobody who reads.
    async fn write(&mut self, record: Record<Document>) -> Result<(), WriteError> {
        let Some(mut journal) = self.journal.take() else {
            return Err(WriteError("no journal".into()));
        };
        // Not while one waits to be confirmed: what is written anew would not hold it.
        let anew = journal.wants_anew() && self.tracker.pending_confirmation().is_none();
        let persisted = anew.then(|| self.persisted());
        let work = tokio::task::spawn_blocking(move || {
            let how = match persisted {
                Some(persisted) => journal
                    .anew(&persisted)
                    .and_then(|()| journal.append(&record)),
                None => journal.append(&record),
            };
            (journal, how)
        });
        let (journal, how) = work.await.map_err(|e| WriteError(e.to_string()))?;
        self.journal = Some(journal);
        how.map_err(WriteError)
    }

    /// All that a start needs. An unconfirmed one is left out: its time has no meaning for another process.
    fn persisted(&self) -> PersistedState<Document> {
        self.tracker.after_restart(self.configured.clone())
    }

    /// Whether the gateway's thread has taken it over by the end.
    async fn apply(&mut self, number: u64, document: Document) -> bool {
        let settings = match self.schema.settings(&document) {
            Ok(settings) => settings,
            // Checked before it came to this.
            Err(m) => {
                warn!(self.log, "the settings do not fit the tree"; "why" => %m);
                return false;
            }
        };
        if let Ok(p) = plan(
            &document,
            &document,
            &self.registry,
            &self.origin.name_index,
        ) {
            self.registry = p.registry;
        }
        let policy_config = self.origin.policy_config(&document, &self.registry);
        let (classes, longest) = classes(&self.registry, &document, &policy_config);
        let (done, configured) = async_channel::bounded(1);
        let cells = Some(cell_directory(&document));
        let amendment = Amendment {
            policy_config,
            classes,
            longest,
            cells,
            transport_config: None,
            done,
        };
        let asked = self
            .requests
            .send(ManagementCommand::Amend(Box::new(amendment)))
            .await
            .is_ok();
        let taken = asked
            && matches!(
                timeout(span(AMEND_WITHIN), configured.recv()).await,
                Ok(Ok(()))
            );
        if asked && !taken {
            warn!(self.log, "the gateway's thread is slow to take over the settings"; "revision" => number);
        }
        let root = Path::root().child(&"settings".into(), None);
        let old = self
            .leaves
            .range(root.clone()..)
            .take_while(|(p, _)| p.starts_with(&root));
        let old: Vec<Path> = old.map(|(p, _)| p.clone()).collect();
        old.iter().for_each(|p| drop(self.leaves.remove(p)));
        settings
            .into_iter()
            .for_each(|(path, value)| drop(self.leaves.insert(path, value)));
        // What is read after a change is of after it.
        self.looked = 0.0;
        self.set_level();
        info!(self.log, "settings changed"; "revision" => number);
        taken
    }

    fn set_level(&self) {
        let level = match self.running().log.level {
            Level::Error => slog::Level::Error,
            Level::Warning => slog::Level::Warning,
            Level::Info => slog::Level::Info,
            Level::Debug => slog::Level::Debug,
        };
        self.level.store(level.as_usize(), Ordering::Relaxed);
    }

    async fn look(&mut self) {
        self.looked = self.clock.now();
        let waiting = self.window.waiting();
        let asked = self.requests.send(ManagementCommand::Show).await.is_ok();
        if !asked || timeout(span(LOOK_WITHIN), waiting).await.is_err() {
            warn!(self.log, "the gateway's thread shows nothing");
        }
        let is = self.window.latest();
        self.leaves = state::update(&self.leaves, &self.was, &is);
        self.was = is;
        self.publish();
    }

    fn publish(&self) {
        let leaves = match &self.fleet {
            Some(fleet) => state::fleet(&self.leaves, &fleet.shown.borrow()),
            None => self.leaves.clone(),
        };
        let at = if self.was.at > 0.0 {
            self.was.at
        } else {
            self.clock.now()
        };
        self.trees.send_replace(Arc::new(Tree { at, leaves }));
    }
}

/// Hands on what is asked of the fleet; its actor answers.
fn want<T>(
    fleet: &FleetChannel,
    answer: oneshot::Sender<Result<T, Refused>>,
    what: impl FnOnce(oneshot::Sender<Result<T, Refused>>) -> FleetRequest,
) {
    match fleet.wanted.try_reserve() {
        Ok(place) => place.send(what(answer)),
        Err(_) => drop(answer.send(Err(Refused::Fleet("too much waits for the fleet".into())))),
    }
}
