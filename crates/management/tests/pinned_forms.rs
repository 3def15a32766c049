//! The file of the revision journal: its name in the state folder, and its bytes with every kind of record. The file
//! under `pinned` was written by an earlier version. An updated gateway starts with such a file, so it must be read
//! completely, restore the same revision, and be written with the same bytes.

use ironstair_config_change::{Document, NameIndex, PersistedState, Record};
use ironstair_management::Journal;
use ironstair_pinned_forms::{hex, PinnedForms};
use std::path::Path;

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

/// Writes the pinned journal to the folder and returns the records that are read from it.
fn read_pinned_journal(folder: &Path) -> Vec<Record<Document>> {
    std::fs::write(folder.join("revisions.journal"), FORMS.bytes("journal.hex")).unwrap();
    let (records, ignored) = Journal::read(folder).unwrap();
    assert_eq!(ignored, None);
    records
}

#[test]
fn pinned_journal_file_is_read_completely_and_written_with_the_same_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let records = read_pinned_journal(folder.path());
    let kinds: Vec<&str> = records
        .iter()
        .map(|record| match record {
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
    let Record::Snapshot(snapshot) = &records[0] else {
        panic!("{:?}", records[0])
    };
    let mut journal = Journal::create(other.path(), snapshot).unwrap();
    for record in &records[1..] {
        journal.append(record).unwrap();
    }
    let written = std::fs::read(other.path().join("revisions.journal")).unwrap();
    assert_eq!(hex(&written), FORMS.text("journal.hex").trim());
    let names: Vec<_> = std::fs::read_dir(other.path())
        .unwrap()
        .map(|entry| entry.unwrap().file_name())
        .collect();
    assert_eq!(names, ["revisions.journal"]);
}

#[test]
fn start_with_the_pinned_journal_file_restores_the_pinned_revision() {
    let folder = tempfile::tempdir().unwrap();
    let records = read_pinned_journal(folder.path());
    let Record::Snapshot(snapshot) = &records[0] else {
        panic!("{:?}", records[0])
    };
    let (persisted, _) = PersistedState::replay(records.clone(), snapshot.configured.clone());
    assert_eq!((persisted.running_number, persisted.next_number), (5, 7));
    let running = serde_json::to_value(&persisted.running).unwrap();
    let expected: serde_json::Value = serde_json::from_str(&FORMS.text("running.json")).unwrap();
    assert_eq!(running, expected);
    let name_index = NameIndex {
        zones: vec!["a".into(), "b".into()],
        machine_types: vec!["std".into()],
    };
    assert_eq!(persisted.running.violations(&name_index), Vec::new());
}
