//! The replacement of a configuration file by another one and back, without a gateway.

use ironstair::{ClassPolicy, Effect, MachineType, PolicyConfig};
use ironstair_config_change::{ConfigFile, NameIndex, RunningConfig};

fn class(threads: f64, repeat: Effect, kinds: Option<Vec<u16>>) -> ClassPolicy {
    let (expected, value) = (500.0, 1.0);
    ClassPolicy {
        base_objective: expected,
        value,
        threads,
        effect: repeat,
        machine_types: kinds,
        ..Default::default()
    }
}

fn file(classes: Vec<(&str, ClassPolicy)>, kinds: &[(&str, f64)]) -> ConfigFile {
    let (names, classes): (Vec<_>, Vec<_>) =
        classes.into_iter().map(|(n, t)| (n.to_owned(), t)).unzip();
    let limits = vec![2000.0; classes.len()];
    let cores = kinds.iter().map(|k| MachineType {
        cores: k.1,
        memory_mb: 1024.0,
    });
    let policy_config = PolicyConfig {
        gateway_count: 2.0,
        classes,
        machine_types: cores.collect(),
        max_attempts: 3,
        ..Default::default()
    };
    let name_index = NameIndex {
        zones: vec![],
        machine_types: kinds.iter().map(|k| k.0.to_owned()).collect(),
    };
    ConfigFile {
        policy_config,
        class_names: names,
        hard_limits: limits,
        name_index,
    }
}

fn first() -> ConfigFile {
    let safe = Effect::Idempotent;
    file(
        vec![
            ("lookup", class(1.0, safe, None)),
            ("report", class(4.0, safe, Some(vec![1]))),
        ],
        &[("s", 8.0), ("l", 16.0)],
    )
}

fn second() -> ConfigFile {
    let load = ClassPolicy {
        preserves_key_order: true,
        ..class(2.0, Effect::NonIdempotent, None)
    };
    let report = class(2.0, Effect::Idempotent, Some(vec![0]));
    let lookup = class(1.0, Effect::Idempotent, None);
    let mut f = file(
        vec![("load", load), ("report", report), ("lookup", lookup)],
        &[("l", 12.0), ("new", 4.0)],
    );
    f.policy_config.key_quarantine = 300.0;
    f
}

#[test]
fn what_had_an_index_keeps_it_and_the_way_back_ends_where_it_began() {
    // Charges, order and slots of open requests must not move to another class with a reused index.
    let start = RunningConfig::new(first());
    assert_eq!(
        start.policy_config(),
        first().policy_config,
        "to the last digit"
    );
    let there = start.reload(second()).unwrap().expect("other settings");
    assert_eq!(
        there
            .registry()
            .0
            .iter()
            .map(|s| &*s.name)
            .collect::<Vec<_>>(),
        ["lookup", "report", "load", "report"]
    );
    let m = there.policy_config();
    let closed: Vec<bool> = m.classes.iter().map(|b| b.out_of_service).collect();
    assert_eq!(
        closed,
        [false, true, false, false],
        "the report of four threads is closed, one of two is open"
    );
    assert_eq!((m.classes[1].threads, m.classes[3].threads), (4.0, 2.0));
    assert_eq!(there.name_index().machine_types, ["s", "l", "new"]);
    assert_eq!(
        m.machine_types.iter().map(|k| k.cores).collect::<Vec<_>>(),
        [8.0, 12.0, 4.0]
    );
    assert_eq!(
        m.classes[3].machine_types,
        Some(vec![1]),
        "kind l under its old index"
    );
    let back = there.reload(first()).unwrap().expect("other settings");
    let (m, was) = (back.policy_config(), start.policy_config());
    assert_eq!(m.classes[..2], was.classes[..]);
    assert!(
        m.classes[2].out_of_service
            && m.classes[3].out_of_service
            && m.classes[2].preserves_key_order
    );
    assert_eq!(
        m.key_quarantine, 300.0,
        "what is open in order still rests after doubt"
    );
    assert_eq!(
        (m.machine_types[0], m.machine_types[1]),
        (was.machine_types[0], was.machine_types[1])
    );
    let again = back.reload(second()).unwrap().unwrap().policy_config();
    assert_eq!(again, there.policy_config(), "the same step once more");
}

#[test]
fn the_same_file_again_changes_nothing_and_a_bad_one_is_refused_whole() {
    let start = RunningConfig::new(first());
    assert!(start.reload(first()).unwrap().is_none());
    let mut bad = second();
    bad.policy_config.classes[1].machine_types = Some(vec![7]);
    let reason = start.reload(bad).err().unwrap().to_string();
    assert!(
        reason.contains("report: machine_types_allowed: index 7"),
        "{reason}"
    );
    let mut bad = second();
    bad.hard_limits[0] = 100.0;
    let reason = start.reload(bad).err().unwrap().to_string();
    assert!(reason.contains("hard-limit"), "{reason}");
}

#[test]
fn classes_that_come_and_go_for_ever_are_refused_in_the_end() {
    // The memory must not grow with every file.
    let mut now = RunningConfig::new(first());
    let many = |n: usize| {
        file(
            vec![(&*format!("b{n}"), class(1.0, Effect::Idempotent, None))],
            &[("s", 8.0)],
        )
    };
    let end = (0..400).find_map(|n| match now.reload(many(n)) {
        Ok(next) => {
            now = next.unwrap();
            None
        }
        Err(reason) => Some((n, reason.to_string())),
    });
    let (n, reason) = end.expect("a bound");
    assert!(n < 256 && reason.contains("restart"), "{n} {reason}");
}
