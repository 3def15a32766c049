//! The file of the revision journal: its name in the state folder, and its bytes with every kind of record. The file
//! under `pinned` was written by an earlier version of the program; a gateway that is updated starts with it, so it has
//! to be read whole, go on with the same revision, and be written without a difference.

use ironstair_config_change::{Document, NameIndex, PersistedState, Record};
use ironstair_management::Journal;
use ironstair_pinned_forms::{hex, PinnedForms};
use std::path::Path;

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

/// A state folder with the pinned journal, and what is read from it.
fn read(folder: &Path) -> Vec<Record<Document>> {
    std::fs::write(folder.join("revisions.journal"), FORMS.bytes("journal.hex")).unwrap();
    let (records, left_out) = Journal::read(folder).unwrap();
    assert_eq!(left_out, None);
    records
}

#[test]
fn the_pinned_journal_file_is_read_whole_and_written_with_the_same_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let records = read(folder.path());
    let kinds: Vec<&str> = records
        .iter()
        .map(|r| match r {
            Record::Snapshot(_) => "whole",
            Record::Set { .. } => "set",
            Record::Confirmed { .. } => "confirmed",
            Record::RolledBack { .. } => "taken back",
        })
        .collect();
    assert_eq!(
        kinds,
        ["whole", "set", "set", "confirmed", "set", "taken back"]
    );

    let other = tempfile::tempdir().unwrap();
    let Record::Snapshot(first) = &records[0] else {
        panic!("{:?}", records[0])
    };
    let mut journal = Journal::create(other.path(), first).unwrap();
    for record in &records[1..] {
        journal.append(record).unwrap();
    }
    let written = std::fs::read(other.path().join("revisions.journal")).unwrap();
    assert_eq!(hex(&written), FORMS.text("journal.hex").trim());
    let names: Vec<_> = std::fs::read_dir(other.path())
        .unwrap()
        .map(|f| f.unwrap().file_name())
        .collect();
    assert_eq!(names, ["revisions.journal"]);
}

#[test]
fn a_start_with_the_pinned_journal_file_runs_the_pinned_revision() {
    let folder = tempfile::tempdir().unwrap();
    let records = read(folder.path());
    let Record::Snapshot(first) = &records[0] else {
        panic!("{:?}", records[0])
    };
    let (persisted, _) = PersistedState::replay(records.clone(), first.configured.clone());
    assert_eq!((persisted.running_number, persisted.next_number), (5, 7));
    let running = serde_json::to_value(&persisted.running).unwrap();
    let want: serde_json::Value = serde_json::from_str(&FORMS.text("running.json")).unwrap();
    assert_eq!(running, want);
    let name_index = NameIndex {
        zones: vec!["a".into(), "b".into()],
        machine_types: vec!["std".into()],
    };
    assert_eq!(persisted.running.violations(&name_index), Vec::new());
}
