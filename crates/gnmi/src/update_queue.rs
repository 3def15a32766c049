//! Decides what a subscriber receives and when it is disconnected. It does no I/O and reads no clock.
//!
//! The queue is bounded and holds paths, never values. The values below a path are read from the newest tree when they
//! are sent. Later values therefore replace earlier ones, and a slow subscriber needs no second copy of the tree.

use imbl::ordmap::DiffItem;
use ironstair::Millis;
use ironstair_data_tree::leaves::select;
use ironstair_data_tree::path::StepPattern;
use ironstair_data_tree::{LeafMap, Path, Pattern, Value};
use std::collections::{BTreeMap, VecDeque};

/// The limit on paths that are queued for one subscriber.
pub const MAX_QUEUED_PATHS: usize = 65_536;

/// How long a subscriber may accept nothing while updates are queued for it.
pub const STALLED_TIMEOUT: Millis = 30_000.0;

/// The shortest sample interval. The tree does not change more often than its snapshots are taken.
pub const MIN_SAMPLE_INTERVAL: Millis = 100.0;

/// The longest sample interval: one day.
pub const MAX_SAMPLE_INTERVAL: Millis = 86_400_000.0;

/// The sample interval of state with mode TARGET_DEFINED.
const TARGET_DEFINED_INTERVAL: Millis = 1000.0;

/// The number of steps in the path of an entry of a list below `/settings` or `/state`.
const ENTRY_DEPTH: usize = 2;

/// When a subscription sends updates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// On each change.
    OnChange,
    /// At regular intervals.
    Sample {
        /// The interval.
        every: Millis,
        /// Whether a sample contains only leaves that have changed since the last one.
        changed_only: bool,
    },
}

impl Mode {
    /// The mode for TARGET_DEFINED. Settings are sent on change, because they change seldom and every change matters.
    /// State is sampled, because it has counters that change all the time.
    pub fn target_defined(pattern: &Pattern) -> Mode {
        match pattern.0.first() {
            Some(StepPattern::Step {
                name: Some(name), ..
            }) if **name == *"settings" => Mode::OnChange,
            _ => Mode::Sample {
                every: TARGET_DEFINED_INTERVAL,
                changed_only: true,
            },
        }
    }
}

/// One subscription of a stream.
#[derive(Clone, Debug)]
pub struct Subscription {
    pattern: Pattern,
    mode: Mode,
    /// The interval at which everything is sent even if nothing has changed.
    heartbeat: Option<Millis>,
    /// The tree when changes were last queued.
    last_tree: LeafMap,
    next_sample_at: Millis,
    next_heartbeat_at: Millis,
}

impl Subscription {
    /// A subscription to a pattern that the schema has resolved.
    pub fn new(pattern: Pattern, mode: Mode, heartbeat: Option<Millis>) -> Self {
        Subscription {
            pattern,
            mode,
            heartbeat,
            last_tree: LeafMap::new(),
            next_sample_at: 0.0,
            next_heartbeat_at: 0.0,
        }
    }

    fn start(&mut self, now: Millis, tree: &LeafMap) {
        self.last_tree = tree.clone();
        if let Mode::Sample { every, .. } = self.mode {
            self.next_sample_at = now + every;
        }
        self.next_heartbeat_at = now + self.heartbeat.unwrap_or(0.0);
    }

    /// Determines what is to be queued at this time, and advances the due times.
    fn poll(&mut self, now: Millis) -> DueUpdates {
        let is_heartbeat_due = self.heartbeat.is_some() && self.next_heartbeat_at <= now;
        if is_heartbeat_due {
            self.next_heartbeat_at = now + self.heartbeat.unwrap_or(0.0);
        }
        match self.mode {
            Mode::OnChange => DueUpdates {
                changes: true,
                everything: is_heartbeat_due,
            },
            Mode::Sample {
                every,
                changed_only,
            } if self.next_sample_at <= now => {
                self.next_sample_at = now + every;
                DueUpdates {
                    changes: true,
                    everything: !changed_only || is_heartbeat_due,
                }
            }
            Mode::Sample { .. } => DueUpdates {
                changes: is_heartbeat_due,
                everything: is_heartbeat_due,
            },
        }
    }

    fn next_due_at(&self) -> Millis {
        let sample = match self.mode {
            Mode::Sample { .. } => self.next_sample_at,
            Mode::OnChange => Millis::INFINITY,
        };
        let heartbeat = match self.heartbeat {
            Some(_) => self.next_heartbeat_at,
            None => Millis::INFINITY,
        };
        sample.min(heartbeat)
    }

    /// The paths of all units that the subscription covers.
    fn all_units(&self, tree: &LeafMap) -> Vec<Path> {
        let covered = select(tree, &self.pattern);
        let mut units: Vec<Path> = covered
            .map(|(path, _)| unit(path, &self.pattern).path)
            .collect();
        units.dedup();
        units
    }

    /// The paths of the units that differ between the last tree and this one, which becomes the last tree.
    fn changed_units(&mut self, tree: &LeafMap) -> Vec<Path> {
        let last_tree = std::mem::replace(&mut self.last_tree, tree.clone());
        let mut units: Vec<Path> = Vec::new();
        let mut last_entry: Option<Path> = None;
        for item in last_tree.diff(tree) {
            let (DiffItem::Add(path, _)
            | DiffItem::Update { new: (path, _), .. }
            | DiffItem::Remove(path, _)) = item;
            if !self.pattern.covers(path) {
                continue;
            }
            let unit = unit(path, &self.pattern);
            // Changed leaves of one entry count as one change of the entry.
            if unit.is_entry && last_entry.as_ref() == Some(&unit.path) {
                continue;
            }
            last_entry = unit.is_entry.then(|| unit.path.clone());
            units.push(unit.path);
        }
        units
    }
}

/// Which updates a subscription has to queue.
struct DueUpdates {
    changes: bool,
    everything: bool,
}

/// The update of one queued path.
#[derive(Clone, Debug, PartialEq)]
pub struct PathUpdate {
    /// The path.
    pub at: Path,
    /// Whether the node at the path no longer exists.
    pub is_deleted: bool,
    /// Whether the leaves replace all earlier leaves below the path.
    pub is_atomic: bool,
    /// The leaves at or below the path.
    pub leaves: Vec<(Path, Value)>,
    /// The number of earlier changes that this update replaces.
    pub duplicates: u32,
}

/// Why a subscriber is disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnected {
    /// More than [`MAX_QUEUED_PATHS`] paths are queued for it.
    TooFarBehind,
    /// It has accepted nothing for [`STALLED_TIMEOUT`].
    Stalled,
}

/// A part of the tree that is queued and sent as one.
struct Unit {
    path: Path,
    /// Whether the unit is a whole entry of a list, so that no subscriber sees half of a change. Otherwise a leaf.
    is_entry: bool,
}

fn unit(path: &Path, pattern: &Pattern) -> Unit {
    let covers_whole_entries =
        pattern.0.len() <= ENTRY_DEPTH && !pattern.0.contains(&StepPattern::AnySteps);
    let is_entry = is_in_atomic_entry(path) && covers_whole_entries;
    let path = if is_entry {
        path.prefix(ENTRY_DEPTH)
    } else {
        path.clone()
    };
    Unit { path, is_entry }
}

/// Whether the path is below an entry of a list whose leaves change together.
fn is_in_atomic_entry(path: &Path) -> bool {
    if path.0.len() <= ENTRY_DEPTH {
        return false;
    }
    let root = &*path.0[0].name;
    let list = &*path.0[1].name;
    matches!(
        (root, list),
        ("settings", "band" | "ration") | ("state", "revision")
    )
}

/// The queue of one stream.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    subscriptions: Vec<Subscription>,
    /// The queued paths, each with the number of changes after the first.
    queued: BTreeMap<Path, u32>,
    /// The queued paths in the order of their first change, in which they are sent: a path that changes all the time
    /// does not delay others.
    order: VecDeque<Path>,
    tree: LeafMap,
    /// Since when there have been updates that the subscriber has not accepted.
    waiting_since: Option<Millis>,
    /// Whether updates were taken from the queue and not yet sent.
    has_unsent_updates: bool,
}

impl UpdateQueue {
    /// Starts with the current tree. Everything that the subscriptions cover is queued, unless `updates_only` is set.
    pub fn start(
        subscriptions: Vec<Subscription>,
        now: Millis,
        tree: LeafMap,
        updates_only: bool,
    ) -> UpdateQueue {
        let mut queue = UpdateQueue {
            subscriptions,
            tree,
            ..UpdateQueue::default()
        };
        for index in 0..queue.subscriptions.len() {
            queue.subscriptions[index].start(now, &queue.tree);
            if !updates_only {
                queue.push_everything(index);
            }
        }
        queue.update_waiting(now);
        queue
    }

    /// Restarts the subscriptions with a new tree, and queues everything that they cover.
    #[must_use]
    pub fn resume(self, now: Millis, tree: LeafMap) -> UpdateQueue {
        UpdateQueue::start(self.subscriptions, now, tree, false)
    }

    /// Queues the updates of the newest tree that are due.
    ///
    /// # Errors
    /// The subscriber is too slow and has to be disconnected.
    pub fn poll(&mut self, now: Millis, tree: &LeafMap) -> Result<(), Disconnected> {
        self.tree = tree.clone();
        for index in 0..self.subscriptions.len() {
            let due = self.subscriptions[index].poll(now);
            if due.changes {
                self.push_changes(index);
            }
            if due.everything {
                self.push_everything(index);
            }
        }
        self.update_waiting(now);
        if self.queued.len() > MAX_QUEUED_PATHS {
            return Err(Disconnected::TooFarBehind);
        }
        match self.waiting_since {
            Some(since) if now - since >= STALLED_TIMEOUT => Err(Disconnected::Stalled),
            _ => Ok(()),
        }
    }

    /// When [`UpdateQueue::poll`] is due next if the tree does not change earlier.
    pub fn next_due_at(&self) -> Millis {
        let subscriptions = self.subscriptions.iter().map(Subscription::next_due_at);
        let stalled_at = self.waiting_since.map(|since| since + STALLED_TIMEOUT);
        subscriptions
            .fold(Millis::INFINITY, f64::min)
            .min(stalled_at.unwrap_or(Millis::INFINITY))
    }

    /// Whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Records that the subscriber accepted a message.
    pub fn on_reader_progress(&mut self, now: Millis) {
        self.waiting_since = None;
        self.update_waiting(now);
    }

    /// Records that the subscriber accepted all updates that were taken from the queue.
    pub fn sent(&mut self, now: Millis) {
        self.has_unsent_updates = false;
        self.on_reader_progress(now);
    }

    /// Takes updates from the queue until they contain at least `max_leaves` leaves or the queue is empty.
    pub fn next_updates(&mut self, now: Millis, max_leaves: usize) -> Vec<PathUpdate> {
        let mut updates = Vec::new();
        let mut leaf_count = 0;
        while leaf_count < max_leaves {
            let Some(at) = self.order.pop_front() else {
                break;
            };
            let Some(duplicates) = self.queued.remove(&at) else {
                continue;
            };
            let update = self.read_update(at, duplicates);
            // A deletion has no leaves but takes space in the message as well.
            leaf_count += update.leaves.len().max(1);
            updates.push(update);
        }
        self.has_unsent_updates |= !updates.is_empty();
        self.update_waiting(now);
        updates
    }

    fn read_update(&self, at: Path, duplicates: u32) -> PathUpdate {
        let below = Pattern::of(&at);
        let leaves: Vec<(Path, Value)> = select(&self.tree, &below)
            .map(|(path, value)| (path.clone(), value.clone()))
            .collect();
        // A path as deep as an entry may be that of a leaf, which is not atomic.
        let is_leaf = leaves.first().is_none_or(|(path, _)| *path == at);
        PathUpdate {
            is_deleted: leaves.is_empty(),
            is_atomic: at.0.len() == ENTRY_DEPTH && !is_leaf,
            at,
            leaves,
            duplicates,
        }
    }

    fn update_waiting(&mut self, now: Millis) {
        let is_waiting = self.has_unsent_updates || !self.order.is_empty();
        self.waiting_since = is_waiting.then(|| self.waiting_since.unwrap_or(now));
    }

    fn push(&mut self, at: Path) {
        if let Some(duplicates) = self.queued.get_mut(&at) {
            *duplicates = duplicates.saturating_add(1);
        } else {
            self.queued.insert(at.clone(), 0);
            self.order.push_back(at);
        }
    }

    fn push_everything(&mut self, index: usize) {
        let units = self.subscriptions[index].all_units(&self.tree);
        units.into_iter().for_each(|unit| self.push(unit));
    }

    fn push_changes(&mut self, index: usize) {
        let units = self.subscriptions[index].changed_units(&self.tree);
        units.into_iter().for_each(|unit| self.push(unit));
    }
}
