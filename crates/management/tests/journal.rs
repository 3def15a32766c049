//! Starts with a journal whose last record is incomplete, since the process was killed while it wrote. The file is
//! truncated at every byte of its last records.

use ironstair::{ClassPolicy, MachineType, PolicyConfig};
use ironstair_config_change::journal::encode;
use ironstair_config_change::{
    ConfigFile, Document, NameIndex, PersistedState, Record, RevisionState, RevisionSummary,
};
use ironstair_management::{open, Journal};
use std::path::Path;

fn config_file() -> ConfigFile {
    let class = ClassPolicy {
        base_objective: 1000.0,
        value: 1.0,
        threads: 1.0,
        ..ClassPolicy::default()
    };
    let policy_config = PolicyConfig {
        gateway_count: 2.0,
        classes: vec![class],
        machine_types: vec![MachineType {
            cores: 8.0,
            memory_mb: 1.0,
        }],
        max_attempts: 4,
        slow_start_from: 0.3,
        slow_start_duration: 15e3,
        overload_factor: 4.0,
        overload_window: 1e3,
        ..PolicyConfig::default()
    };
    let name_index = NameIndex {
        zones: vec!["a".into()],
        machine_types: vec!["m".into()],
    };
    ConfigFile {
        policy_config,
        class_names: vec!["lookup".into()],
        hard_limits: vec![5e3],
        name_index,
    }
}

fn configured_document() -> Document {
    let file = config_file();
    Document::configured(
        &file.policy_config,
        &file.class_names,
        &file.hard_limits,
        &file.name_index,
    )
}

/// Starts with the folder. Returns the running retry-after and the messages of the start.
fn start_with(folder: &Path) -> (u32, Vec<String>) {
    let started = open(config_file(), None, Some(folder)).unwrap();
    // The dispatcher must start with the settings that are running according to the journal.
    assert_eq!(
        started.policy_config().max_retry_after,
        started.tracker.running().max_retry_after as f64
    );
    (started.tracker.running().max_retry_after, started.messages)
}

fn set_record(
    number: u64,
    max_retry_after: u32,
    state: RevisionState,
    base: &Document,
) -> Record<Document> {
    let (author, summary) = ("op".to_owned(), String::new());
    let revision = RevisionSummary {
        number,
        author,
        created_at: 1e12,
        summary,
        state,
        commit_id: None,
        confirm_by: None,
    };
    Record::Set {
        revision,
        document: Document {
            max_retry_after,
            ..base.clone()
        },
    }
}

#[test]
fn journal_truncated_at_any_byte_of_its_last_records_restores_the_last_complete_revision() {
    let base = configured_document();
    let records = [
        Record::Snapshot(PersistedState::configured(base.clone())),
        set_record(1, 10, RevisionState::Running, &base),
        set_record(2, 20, RevisionState::Unconfirmed, &base),
        Record::Confirmed { number: 2 },
        set_record(3, 30, RevisionState::Unconfirmed, &base),
    ];
    // The running settings after each number of complete records; an unconfirmed revision is never running after a
    // start.
    let running_after = [0, 0, 10, 10, 20, 20];
    let parts: Vec<Vec<u8>> = records
        .iter()
        .map(|record| encode(record).unwrap())
        .collect();
    let all = parts.concat();
    let from = parts[0].len() + parts[1].len() - 3;
    let folder = tempfile::tempdir().unwrap();
    for cut in (0..40).chain(from..=all.len()) {
        std::fs::write(folder.path().join("revisions.journal"), &all[..cut]).unwrap();
        let complete = (0..=5)
            .rev()
            .find(|&count| parts[..count].concat().len() <= cut)
            .unwrap();
        let (max_retry_after, messages) = start_with(folder.path());
        assert_eq!(max_retry_after, running_after[complete], "{cut}");
        let is_incomplete = parts[..complete].concat().len() < cut;
        let warnings = messages
            .iter()
            .filter(|message| message.contains("ignored"))
            .count();
        assert_eq!(
            warnings, is_incomplete as usize,
            "one message, at {cut}: {messages:?}"
        );
        // The start rewrote the file, so that the next one finds no damage and the same settings.
        let (max_retry_after_restart, messages) = start_with(folder.path());
        assert_eq!(
            (
                max_retry_after_restart,
                messages.iter().any(|message| message.contains("ignored"))
            ),
            (max_retry_after, false),
            "{cut}"
        );
    }
}

#[test]
fn journal_restores_its_last_revision_and_is_rewritten_by_a_start_when_it_has_grown() {
    let base = configured_document();
    let folder = tempfile::tempdir().unwrap();
    let mut journal =
        Journal::create(folder.path(), &PersistedState::configured(base.clone())).unwrap();
    let mut number = 0;
    while !journal.needs_rewrite() {
        number += 1;
        journal
            .append(&set_record(
                number,
                number as u32,
                RevisionState::Running,
                &base,
            ))
            .unwrap();
        assert!(number < 1000, "the journal is never rewritten");
    }
    assert_eq!(start_with(folder.path()).0, number as u32);
    let (records, ignored) = Journal::read(folder.path()).unwrap();
    assert_eq!(
        (records.len(), ignored),
        (1, None),
        "rewritten as one snapshot"
    );
}

#[test]
fn configured_settings_that_do_not_fit_the_tree_are_refused_with_the_path_of_the_field() {
    let mut file = config_file();
    file.policy_config.classes[0].value = 0.0;
    let reason = open(file, None, None).err().unwrap().to_string();
    assert!(
        reason.contains("/settings/band[name=lookup]/payoff: 0.0 is outside"),
        "{reason}"
    );
}
