//! What a subscriber has put together after it caught up equals the tree, whatever it missed meanwhile; beside a slow
//! plain model, on generated changes.

use ironstair_data_tree::leaves::select;
use ironstair_data_tree::{Leaves, Path, Pattern, Schema, Value};
use ironstair_gnmi::follow::{Cut, Follow, Mode, PathUpdate, Subscription, MARKS_MOST, SILENCE};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn path(text: &str) -> Path {
    Pattern::read(text).unwrap().stem()
}

fn wanted(text: &str) -> Pattern {
    Schema::shipped()
        .unwrap()
        .resolve(&Pattern::read(text).unwrap())
        .unwrap()
}

/// What a reader makes of what it is sent, plainly.
#[derive(Default)]
struct Reader(BTreeMap<Path, Value>);

impl Reader {
    fn takes(&mut self, path_updates: Vec<PathUpdate>) {
        for t in path_updates {
            if t.deleted || t.atomic {
                self.0.retain(|p, _| !p.starts_with(&t.at));
            }
            self.0.extend(t.updates);
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

/// One change of the tree: an entry comes, goes, or one of its leaves does.
fn change(tree: &mut Leaves, what: u8, entry: u8, value: u64) {
    let lists = [
        "/settings/band[name=",
        "/state/engine[name=",
        "/state/revision[number=",
    ];
    let at = format!("{}e{}]", lists[entry as usize % 3], entry / 3 % 4);
    let leaves = ["name", "payoff", "inflight", "who"];
    match what % 4 {
        0 => {
            let gone = path(&at);
            let all: Vec<Path> = tree
                .keys()
                .filter(|p| p.starts_with(&gone))
                .cloned()
                .collect();
            all.iter().for_each(|p| drop(tree.remove(p)));
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
    fn who_caught_up_has_the_tree(
        start in proptest::collection::vec((0..4u8, 0..12u8, 0..9u64), 0..12),
        steps in proptest::collection::vec((0..7u8, 0..12u8, 0..9u64), 0..60),
        requested in proptest::collection::vec((0..8usize, 0..3usize), 1..4),
        heartbeats in any::<bool>(),
    ) {
        let mut tree = Leaves::new();
        start.iter().for_each(|&(what, entry, value)| change(&mut tree, what, entry, value));
        let subscriptions = requested.iter().map(|&(p, m)| {
            Subscription::new(wanted(PATTERNS[p]), MODES[m], heartbeats.then_some(500.0))
        });
        let (mut now, mut reader) = (1000.0, Reader::default());
        let mut follow = Follow::begin(subscriptions.collect(), now, tree.clone(), false);
        for (what, entry, value) in steps {
            now += 40.0;
            match what {
                0..=3 => change(&mut tree, what, entry, value),
                4 => prop_assert!(follow.look(now, &tree).is_ok()),
                // The reader takes little, or nothing for long.
                _ => reader.takes(follow.take(now, 1 + value as usize % 3)),
            }
        }
        now += 1000.0;
        prop_assert!(follow.look(now, &tree).is_ok());
        while !follow.is_empty() {
            reader.takes(follow.take(now, 5));
        }
        let want: BTreeMap<Path, Value> = requested.iter()
            .flat_map(|&(p, _)| {
                let wanted = wanted(PATTERNS[p]);
                select(&tree, &wanted).map(|(p, v)| (p.clone(), v.clone())).collect::<Vec<_>>()
            })
            .collect();
        prop_assert_eq!(reader.0, want);
    }
}

fn follows(at: &str, mode: Mode, tree: &Leaves) -> Follow {
    Follow::begin(
        vec![Subscription::new(wanted(at), mode, None)],
        0.0,
        tree.clone(),
        false,
    )
}

#[test]
fn later_values_replace_earlier_ones_and_say_how_many_they_replace() {
    let leaf = path("/state/list/serial");
    let mut tree = Leaves::new();
    tree.insert(leaf.clone(), Value::Uint(0));
    let mut f = follows("/state/list", Mode::OnChange, &tree);
    assert_eq!(f.take(0.0, 9).len(), 1);
    for n in 1..=5 {
        tree.insert(leaf.clone(), Value::Uint(n));
        f.look(n as f64, &tree).unwrap();
    }
    let path_updates = f.take(6.0, 9);
    assert_eq!(
        (
            path_updates.len(),
            path_updates[0].duplicates,
            &path_updates[0].updates[..]
        ),
        (1, 4, &[(leaf, Value::Uint(5))][..])
    );
    assert!(f.take(7.0, 9).is_empty());
}

#[test]
fn an_entry_that_must_not_be_seen_half_is_sent_whole() {
    let mut tree = Leaves::new();
    for (name, value) in [("number", 1), ("who", 2), ("what", 3)] {
        tree.insert(
            path(&format!("/state/revision[number=1]/{name}")),
            Value::Uint(value),
        );
    }
    let mut f = follows("/state", Mode::OnChange, &tree);
    f.take(0.0, 99);
    tree.insert(path("/state/revision[number=1]/who"), Value::Uint(9));
    f.look(1.0, &tree).unwrap();
    let path_updates = f.take(1.0, 99);
    assert_eq!(
        (
            path_updates.len(),
            path_updates[0].atomic,
            path_updates[0].updates.len()
        ),
        (1, true, 3)
    );
}

#[test]
fn a_leaf_that_lies_as_high_as_an_entry_is_sent_as_a_leaf() {
    // Against an update with an empty path, which a prefix alone would name.
    let mut tree = Leaves::new();
    tree.insert(path("/settings/advice"), Value::Uint(1));
    let path_updates = follows("/settings", Mode::OnChange, &tree).take(0.0, 9);
    assert_eq!((path_updates.len(), path_updates[0].atomic), (1, false));
}

#[test]
fn samples_come_at_their_time_all_or_only_what_has_changed() {
    let leaf = path("/state/list/serial");
    let mut tree = Leaves::new();
    tree.insert(leaf.clone(), Value::Uint(0));
    for (changed_only, at_200, at_300) in [(true, 0, 1), (false, 1, 1)] {
        let mut tree = tree.clone();
        let mut f = follows(
            "/state/list",
            Mode::Sample {
                every: 100.0,
                changed_only,
            },
            &tree,
        );
        f.take(0.0, 9);
        f.look(50.0, &tree).unwrap();
        assert_eq!((f.take(50.0, 9).len(), f.due()), (0, 100.0));
        f.look(200.0, &tree).unwrap();
        assert_eq!(f.take(200.0, 9).len(), at_200);
        tree.insert(leaf.clone(), Value::Uint(1));
        f.look(250.0, &tree).unwrap();
        assert_eq!(f.take(250.0, 9).len(), 0, "not between two samples");
        f.look(300.0, &tree).unwrap();
        assert_eq!(f.take(300.0, 9).len(), at_300);
    }
}

#[test]
fn a_heartbeat_tells_all_though_nothing_has_changed() {
    let mut tree = Leaves::new();
    tree.insert(path("/state/list/serial"), Value::Uint(0));
    let s = Subscription::new(wanted("/state/list"), Mode::OnChange, Some(500.0));
    let mut f = Follow::begin(vec![s], 0.0, tree.clone(), true);
    assert!(f.take(0.0, 9).is_empty(), "updates only");
    f.look(499.0, &tree).unwrap();
    assert!(f.take(499.0, 9).is_empty());
    f.look(500.0, &tree).unwrap();
    assert_eq!((f.take(500.0, 9).len(), f.due()), (1, 1000.0));
}

#[test]
fn who_reads_nothing_is_cut_after_the_silence_and_not_before() {
    let mut tree = Leaves::new();
    tree.insert(path("/state/list/serial"), Value::Uint(0));
    let mut f = follows("/state/list", Mode::OnChange, &tree);
    assert_eq!(f.look(SILENCE - 1.0, &tree), Ok(()));
    assert_eq!(f.due(), SILENCE);
    assert_eq!(f.look(SILENCE, &tree), Err(Cut::Silent));
    // Taken, but not handed on, it waits as well.
    let mut f = follows("/state/list", Mode::OnChange, &tree);
    f.take(0.0, 9);
    assert_eq!(f.look(SILENCE, &tree), Err(Cut::Silent));
    let mut f = follows("/state/list", Mode::OnChange, &tree);
    f.take(0.0, 9);
    f.handed_on(1.0);
    assert_eq!(
        f.look(10.0 * SILENCE, &tree),
        Ok(()),
        "with nothing to read, silence is no fault"
    );
}

#[test]
fn what_waits_for_one_is_bounded() {
    let mut f = follows("/state/engine", Mode::OnChange, &Leaves::new());
    let mut tree = Leaves::new();
    for n in 0..=MARKS_MOST {
        tree.insert(
            path(&format!("/state/engine[name=e{n}]/inflight")),
            Value::Uint(0),
        );
    }
    assert_eq!(f.look(1.0, &tree), Err(Cut::Behind));
}
