//! The replacement of a configuration file by another one and back.

use ironstair::{ClassPolicy, Effect, MachineType, PolicyConfig};
use ironstair_config_change::{ConfigFile, NameIndex, RunningConfig};

fn class(threads: f64, effect: Effect, machine_types: Option<Vec<u16>>) -> ClassPolicy {
    ClassPolicy {
        base_objective: 500.0,
        value: 1.0,
        threads,
        effect,
        machine_types,
        ..Default::default()
    }
}

fn file(classes: Vec<(&str, ClassPolicy)>, machine_types: &[(&str, f64)]) -> ConfigFile {
    let (class_names, classes): (Vec<_>, Vec<_>) = classes
        .into_iter()
        .map(|(name, class)| (name.to_owned(), class))
        .unzip();
    let hard_limits = vec![2000.0; classes.len()];
    let configured_types = machine_types.iter().map(|(_, cores)| MachineType {
        cores: *cores,
        memory_mb: 1024.0,
    });
    let policy_config = PolicyConfig {
        gateway_count: 2.0,
        classes,
        machine_types: configured_types.collect(),
        max_attempts: 3,
        ..Default::default()
    };
    let name_index = NameIndex {
        zones: vec![],
        machine_types: machine_types
            .iter()
            .map(|(name, _)| (*name).to_owned())
            .collect(),
    };
    ConfigFile {
        policy_config,
        class_names,
        hard_limits,
        name_index,
    }
}

fn first_file() -> ConfigFile {
    let idempotent = Effect::Idempotent;
    file(
        vec![
            ("lookup", class(1.0, idempotent, None)),
            ("report", class(4.0, idempotent, Some(vec![1]))),
        ],
        &[("s", 8.0), ("l", 16.0)],
    )
}

fn second_file() -> ConfigFile {
    let load = ClassPolicy {
        preserves_key_order: true,
        ..class(2.0, Effect::NonIdempotent, None)
    };
    let report = class(2.0, Effect::Idempotent, Some(vec![0]));
    let lookup = class(1.0, Effect::Idempotent, None);
    let mut config_file = file(
        vec![("load", load), ("report", report), ("lookup", lookup)],
        &[("l", 12.0), ("new", 4.0)],
    );
    config_file.policy_config.key_quarantine = 300.0;
    config_file
}

/// The running config after a replacement by a file with other settings.
fn reload(running: &RunningConfig, file: ConfigFile) -> RunningConfig {
    running.reload(file).unwrap().expect("other settings")
}

#[test]
fn classes_and_machine_types_keep_their_indices_when_a_file_is_replaced_and_restored() {
    // Charges, order and slots of open requests refer to an index; a reused one would assign them to another class.
    let start = RunningConfig::new(first_file());
    let original = start.policy_config();
    let first_config = first_file().policy_config;
    assert_eq!(original, first_config, "the exact configured numbers");
    let replaced = reload(&start, second_file());
    let slots = replaced.registry().0.iter();
    assert_eq!(
        slots.map(|slot| &*slot.name).collect::<Vec<_>>(),
        ["lookup", "report", "load", "report"]
    );
    let config = replaced.policy_config();
    let classes = &config.classes;
    let closed: Vec<bool> = classes.iter().map(|class| class.out_of_service).collect();
    assert_eq!(
        closed,
        [false, true, false, false],
        "report with four threads is out of service, report with two is in service"
    );
    assert_eq!((classes[1].threads, classes[3].threads), (4.0, 2.0));
    assert_eq!(replaced.name_index().machine_types, ["s", "l", "new"]);
    let cores = config.machine_types.iter().map(|kind| kind.cores);
    assert_eq!(cores.collect::<Vec<_>>(), [8.0, 12.0, 4.0]);
    assert_eq!(
        classes[3].machine_types,
        Some(vec![1]),
        "machine type l keeps its index"
    );
    let restored = reload(&replaced, first_file());
    let config = restored.policy_config();
    let classes = &config.classes;
    assert_eq!(classes[..2], original.classes[..]);
    assert!(
        classes[2].out_of_service && classes[3].out_of_service && classes[2].preserves_key_order
    );
    assert_eq!(
        config.key_quarantine, 300.0,
        "open requests in key order still need the quarantine"
    );
    assert_eq!(config.machine_types[..2], original.machine_types[..2]);
    let replaced_again = reload(&restored, second_file());
    assert_eq!(
        replaced_again.policy_config(),
        replaced.policy_config(),
        "the same replacement again"
    );
}

#[test]
fn unchanged_file_changes_nothing_and_an_invalid_one_is_refused() {
    let start = RunningConfig::new(first_file());
    assert!(start.reload(first_file()).unwrap().is_none());
    let mut invalid = second_file();
    invalid.policy_config.classes[1].machine_types = Some(vec![7]);
    let reason = start.reload(invalid).err().unwrap().to_string();
    assert!(
        reason.contains("report: machine_types_allowed: index 7"),
        "{reason}"
    );
    let mut invalid = second_file();
    invalid.hard_limits[0] = 100.0;
    let reason = start.reload(invalid).err().unwrap().to_string();
    assert!(reason.contains("hard-limit"), "{reason}");
}

#[test]
fn files_with_ever_new_classes_are_refused_at_the_limit() {
    // Otherwise the memory would grow with every file, since indices are never reused.
    let mut running = RunningConfig::new(first_file());
    let file_with_class = |number: usize| {
        file(
            vec![(&*format!("b{number}"), class(1.0, Effect::Idempotent, None))],
            &[("s", 8.0)],
        )
    };
    let refusal = (0..400).find_map(|number| match running.reload(file_with_class(number)) {
        Ok(next) => {
            running = next.unwrap();
            None
        }
        Err(error) => Some((number, error.to_string())),
    });
    let (number, reason) = refusal.expect("a limit");
    assert!(
        number < 256 && reason.contains("restart"),
        "{number} {reason}"
    );
}
