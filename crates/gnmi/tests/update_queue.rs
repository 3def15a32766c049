//! The queue of updates for one subscriber. A property test applies generated changes and checks that a subscriber that
//! has received all queued updates holds the leaves of the tree, however slow it was. The other tests check single
//! rules.

use ironstair_data_tree::leaves::select;
use ironstair_data_tree::{LeafMap, Path, Pattern, Schema, Value};
use ironstair_gnmi::update_queue::{
    Disconnected, Mode, PathUpdate, Subscription, UpdateQueue, MAX_QUEUED_PATHS, STALLED_TIMEOUT,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn path(text: &str) -> Path {
    Pattern::read(text).unwrap().stem()
}

/// The pattern, resolved by the shipped schema.
fn pattern(text: &str) -> Pattern {
    Schema::shipped()
        .unwrap()
        .resolve(&Pattern::read(text).unwrap())
        .unwrap()
}

/// A subscriber that applies each update to a map.
#[derive(Default)]
struct Subscriber(BTreeMap<Path, Value>);

impl Subscriber {
    fn apply(&mut self, updates: Vec<PathUpdate>) {
        for update in updates {
            if update.is_deleted || update.is_atomic {
                self.0.retain(|path, _| !path.starts_with(&update.at));
            }
            self.0.extend(update.leaves);
        }
    }
}

const PATTERNS: [&str; 8] = [
    "/",
    "/settings",
    "/state/engine",
    "/state/engine[name=e1]",
    "/state/engine/inflight",
    "/settings/band/payoff",
    "/state/revision",
    "/.../name",
];

const MODES: [Mode; 3] = [
    Mode::OnChange,
    Mode::Sample {
        every: 300.0,
        changed_only: true,
    },
    Mode::Sample {
        every: 200.0,
        changed_only: false,
    },
];

/// Applies one change to the tree: an entry is added or removed, or one of its leaves is set or removed.
fn change_tree(tree: &mut LeafMap, kind: u8, entry: u8, value: u64) {
    let lists = [
        "/settings/band[name=",
        "/state/engine[name=",
        "/state/revision[number=",
    ];
    let at = format!("{}e{}]", lists[entry as usize % 3], entry / 3 % 4);
    let leaves = ["name", "payoff", "inflight", "who"];
    match kind % 4 {
        0 => {
            let removed = path(&at);
            let all: Vec<Path> = tree
                .keys()
                .filter(|path| path.starts_with(&removed))
                .cloned()
                .collect();
            all.iter().for_each(|path| drop(tree.remove(path)));
        }
        1 => {
            for leaf in leaves {
                tree.insert(path(&format!("{at}/{leaf}")), Value::Uint(value));
            }
        }
        2 => drop(tree.remove(&path(&format!("{at}/{}", leaves[value as usize % 4])))),
        _ => drop(tree.insert(
            path(&format!("{at}/{}", leaves[value as usize % 4])),
            Value::Uint(value),
        )),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(9), failure_persistence: None, ..Default::default() })]

    #[test]
    fn subscriber_that_has_received_all_updates_has_the_tree(
        start in proptest::collection::vec((0..4u8, 0..12u8, 0..9u64), 0..12),
        steps in proptest::collection::vec((0..7u8, 0..12u8, 0..9u64), 0..60),
        requested in proptest::collection::vec((0..8usize, 0..3usize), 1..4),
        heartbeats in any::<bool>(),
    ) {
        let mut tree = LeafMap::new();
        start.iter().for_each(|&(kind, entry, value)| change_tree(&mut tree, kind, entry, value));
        let subscriptions = requested.iter().map(|&(index, mode)| {
            Subscription::new(pattern(PATTERNS[index]), MODES[mode], heartbeats.then_some(500.0))
        });
        let (mut now, mut subscriber) = (1000.0, Subscriber::default());
        let mut queue = UpdateQueue::start(subscriptions.collect(), now, tree.clone(), false);
        for (kind, entry, value) in steps {
            now += 40.0;
            match kind {
                0..=3 => change_tree(&mut tree, kind, entry, value),
                4 => prop_assert!(queue.poll(now, &tree).is_ok()),
                // The subscriber accepts few updates at a time, and none during the other steps.
                _ => subscriber.apply(queue.next_updates(now, 1 + value as usize % 3)),
            }
        }
        now += 1000.0;
        prop_assert!(queue.poll(now, &tree).is_ok());
        while !queue.is_empty() {
            subscriber.apply(queue.next_updates(now, 5));
        }
        let expected: BTreeMap<Path, Value> = requested.iter()
            .flat_map(|&(index, _)| {
                let pattern = pattern(PATTERNS[index]);
                select(&tree, &pattern)
                    .map(|(path, value)| (path.clone(), value.clone()))
                    .collect::<Vec<_>>()
            })
            .collect();
        prop_assert_eq!(subscriber.0, expected);
    }
}

fn queue_of(at: &str, mode: Mode, tree: &LeafMap) -> UpdateQueue {
    UpdateQueue::start(
        vec![Subscription::new(pattern(at), mode, None)],
        0.0,
        tree.clone(),
        false,
    )
}

#[test]
fn later_value_replaces_earlier_ones_and_counts_them() {
    let leaf = path("/state/list/serial");
    let mut tree = LeafMap::new();
    tree.insert(leaf.clone(), Value::Uint(0));
    let mut queue = queue_of("/state/list", Mode::OnChange, &tree);
    assert_eq!(queue.next_updates(0.0, 9).len(), 1);
    for value in 1..=5 {
        tree.insert(leaf.clone(), Value::Uint(value));
        queue.poll(value as f64, &tree).unwrap();
    }
    let updates = queue.next_updates(6.0, 9);
    assert_eq!(
        (updates.len(), updates[0].duplicates, &updates[0].leaves[..]),
        (1, 4, &[(leaf, Value::Uint(5))][..])
    );
    assert!(queue.next_updates(7.0, 9).is_empty());
}

#[test]
fn entry_with_atomic_updates_is_sent_as_a_whole() {
    let mut tree = LeafMap::new();
    for (name, value) in [("number", 1), ("who", 2), ("what", 3)] {
        tree.insert(
            path(&format!("/state/revision[number=1]/{name}")),
            Value::Uint(value),
        );
    }
    let mut queue = queue_of("/state", Mode::OnChange, &tree);
    queue.next_updates(0.0, 99);
    tree.insert(path("/state/revision[number=1]/who"), Value::Uint(9));
    queue.poll(1.0, &tree).unwrap();
    let updates = queue.next_updates(1.0, 99);
    assert_eq!(
        (updates.len(), updates[0].is_atomic, updates[0].leaves.len()),
        (1, true, 3)
    );
}

#[test]
fn leaf_as_deep_as_an_entry_is_sent_as_a_leaf() {
    // As an atomic entry its path would be in the prefix, and the path of the update would be empty.
    let mut tree = LeafMap::new();
    tree.insert(path("/settings/advice"), Value::Uint(1));
    let updates = queue_of("/settings", Mode::OnChange, &tree).next_updates(0.0, 9);
    assert_eq!((updates.len(), updates[0].is_atomic), (1, false));
}

#[test]
fn samples_are_due_at_their_interval_with_all_leaves_or_changes_only() {
    let leaf = path("/state/list/serial");
    let mut tree = LeafMap::new();
    tree.insert(leaf.clone(), Value::Uint(0));
    for (changed_only, at_200, at_300) in [(true, 0, 1), (false, 1, 1)] {
        let mut tree = tree.clone();
        let mut queue = queue_of(
            "/state/list",
            Mode::Sample {
                every: 100.0,
                changed_only,
            },
            &tree,
        );
        queue.next_updates(0.0, 9);
        queue.poll(50.0, &tree).unwrap();
        assert_eq!(
            (queue.next_updates(50.0, 9).len(), queue.next_due_at()),
            (0, 100.0)
        );
        queue.poll(200.0, &tree).unwrap();
        assert_eq!(queue.next_updates(200.0, 9).len(), at_200);
        tree.insert(leaf.clone(), Value::Uint(1));
        queue.poll(250.0, &tree).unwrap();
        assert_eq!(
            queue.next_updates(250.0, 9).len(),
            0,
            "no update is sent between two samples"
        );
        queue.poll(300.0, &tree).unwrap();
        assert_eq!(queue.next_updates(300.0, 9).len(), at_300);
    }
}

#[test]
fn heartbeat_sends_all_leaves_without_a_change() {
    let mut tree = LeafMap::new();
    tree.insert(path("/state/list/serial"), Value::Uint(0));
    let subscription = Subscription::new(pattern("/state/list"), Mode::OnChange, Some(500.0));
    let mut queue = UpdateQueue::start(vec![subscription], 0.0, tree.clone(), true);
    assert!(
        queue.next_updates(0.0, 9).is_empty(),
        "no initial updates with updates_only"
    );
    queue.poll(499.0, &tree).unwrap();
    assert!(queue.next_updates(499.0, 9).is_empty());
    queue.poll(500.0, &tree).unwrap();
    assert_eq!(
        (queue.next_updates(500.0, 9).len(), queue.next_due_at()),
        (1, 1000.0)
    );
}

#[test]
fn subscriber_that_accepts_nothing_is_disconnected_at_the_timeout_and_not_before() {
    let mut tree = LeafMap::new();
    tree.insert(path("/state/list/serial"), Value::Uint(0));
    let mut queue = queue_of("/state/list", Mode::OnChange, &tree);
    assert_eq!(queue.poll(STALLED_TIMEOUT - 1.0, &tree), Ok(()));
    assert_eq!(queue.next_due_at(), STALLED_TIMEOUT);
    assert_eq!(
        queue.poll(STALLED_TIMEOUT, &tree),
        Err(Disconnected::Stalled)
    );
    // Updates that were taken from the queue and not yet sent count as waiting.
    let mut queue = queue_of("/state/list", Mode::OnChange, &tree);
    queue.next_updates(0.0, 9);
    assert_eq!(
        queue.poll(STALLED_TIMEOUT, &tree),
        Err(Disconnected::Stalled)
    );
    let mut queue = queue_of("/state/list", Mode::OnChange, &tree);
    queue.next_updates(0.0, 9);
    queue.sent(1.0);
    assert_eq!(
        queue.poll(10.0 * STALLED_TIMEOUT, &tree),
        Ok(()),
        "a subscriber without queued updates is not stalled"
    );
}

#[test]
fn queue_of_one_subscriber_is_bounded() {
    let mut queue = queue_of("/state/engine", Mode::OnChange, &LeafMap::new());
    let mut tree = LeafMap::new();
    for index in 0..=MAX_QUEUED_PATHS {
        tree.insert(
            path(&format!("/state/engine[name=e{index}]/inflight")),
            Value::Uint(0),
        );
    }
    assert_eq!(queue.poll(1.0, &tree), Err(Disconnected::TooFarBehind));
}
