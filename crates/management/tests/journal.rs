//! Starts with a journal that a kill during a write has cut off, at every byte of its last records.

use ironstair::{ClassPolicy, MachineType, PolicyConfig};
use ironstair_config_change::journal::encode;
use ironstair_config_change::{
    ConfigFile, Document, NameIndex, PersistedState, Record, RevisionState, RevisionSummary,
};
use ironstair_management::{open, Journal};
use std::path::Path;

fn configured() -> ConfigFile {
    let terms = ClassPolicy {
        base_objective: 1000.0,
        value: 1.0,
        threads: 1.0,
        ..ClassPolicy::default()
    };
    let policy_config = PolicyConfig {
        gateway_count: 2.0,
        classes: vec![terms],
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

fn base() -> Document {
    let file = configured();
    Document::configured(
        &file.policy_config,
        &file.class_names,
        &file.hard_limits,
        &file.name_index,
    )
}

fn advice_after(folder: &Path) -> (u32, Vec<String>) {
    let started = open(configured(), None, Some(folder)).unwrap();
    // The dispatcher must begin with the settings that the journal names as running.
    assert_eq!(
        started.policy_config().max_retry_after,
        started.tracker.running().max_retry_after as f64
    );
    (started.tracker.running().max_retry_after, started.messages)
}

fn set(
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
fn cut_at_every_byte_of_its_last_records_a_start_runs_the_last_whole_revision() {
    let base = base();
    let records = [
        Record::Snapshot(PersistedState::configured(base.clone())),
        set(1, 10, RevisionState::Running, &base),
        set(2, 20, RevisionState::Unconfirmed, &base),
        Record::Confirmed { number: 2 },
        set(3, 30, RevisionState::Unconfirmed, &base),
    ];
    // The running settings after each number of complete records; an unconfirmed revision is never running after a
    // start.
    let runs = [0, 0, 10, 10, 20, 20];
    let parts: Vec<Vec<u8>> = records.iter().map(|r| encode(r).unwrap()).collect();
    let all = parts.concat();
    let from = parts[0].len() + parts[1].len() - 3;
    let folder = tempfile::tempdir().unwrap();
    for cut in (0..40).chain(from..=all.len()) {
        std::fs::write(folder.path().join("revisions.journal"), &all[..cut]).unwrap();
        let whole = (0..=5)
            .rev()
            .find(|&n| parts[..n].concat().len() <= cut)
            .unwrap();
        let (max_retry_after, notes) = advice_after(folder.path());
        assert_eq!(max_retry_after, runs[whole], "{cut}");
        let torn = parts[..whole].concat().len() < cut;
        let revisions = notes.iter().filter(|n| n.contains("ignored")).count();
        assert_eq!(revisions, torn as usize, "one line, at {cut}: {notes:?}");
        // The start rewrote the file, so that the next one finds no damage and the same settings.
        let (again, notes) = advice_after(folder.path());
        assert_eq!(
            (again, notes.iter().any(|n| n.contains("ignored"))),
            (max_retry_after, false),
            "{cut}"
        );
    }
}

#[test]
fn a_journal_goes_on_after_a_start_and_is_rewritten_when_it_grows() {
    let base = base();
    let folder = tempfile::tempdir().unwrap();
    let mut journal =
        Journal::create(folder.path(), &PersistedState::configured(base.clone())).unwrap();
    let mut number = 0;
    while !journal.needs_rewrite() {
        number += 1;
        journal
            .append(&set(number, number as u32, RevisionState::Running, &base))
            .unwrap();
        assert!(number < 1000, "no bound");
    }
    assert_eq!(advice_after(folder.path()).0, number as u32);
    let (records, torn) = Journal::read(folder.path()).unwrap();
    assert_eq!((records.len(), torn), (1, None), "whole again");
}

#[test]
fn what_is_given_and_does_not_fit_the_tree_is_refused_by_its_field() {
    let mut file = configured();
    file.policy_config.classes[0].value = 0.0;
    let why = open(file, None, None).err().unwrap().to_string();
    assert!(
        why.contains("/settings/band[name=lookup]/payoff: 0.0 is outside"),
        "{why}"
    );
}
