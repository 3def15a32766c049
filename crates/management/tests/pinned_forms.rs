//! The file of the revision journal: its name in the state folder, and its bytes with every kind of record. The file
//! under `pinned` was written by an earlier version of the program; a gateway that is updated starts with it, so it has
//! to be read whole, go on with the same revision, and be written without a difference.

use ironstair_config_change::{Document, NameIndex, PersistedState, Record};
use ironstair_management::Journal;
use std::path::Path;

fn pinned(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/pinned")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn unhex(text: &str) -> Vec<u8> {
    let text = text.trim();
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// A state folder with the pinned journal, and what is read from it.
fn read(folder: &Path) -> Vec<Record<Document>> {
    std::fs::write(
        folder.join("revisions.journal"),
        unhex(&pinned("journal.hex")),
    )
    .unwrap();
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
            Record::Whole(_) => "whole",
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
    let Record::Whole(first) = &records[0] else {
        panic!("{:?}", records[0])
    };
    let mut journal = Journal::create(other.path(), first).unwrap();
    for record in &records[1..] {
        journal.append(record).unwrap();
    }
    let written = std::fs::read(other.path().join("revisions.journal")).unwrap();
    assert_eq!(hex(&written), pinned("journal.hex").trim());
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
    let Record::Whole(first) = &records[0] else {
        panic!("{:?}", records[0])
    };
    let (persisted, _) = PersistedState::open(records.clone(), first.configured.clone());
    assert_eq!((persisted.number, persisted.next), (5, 7));
    let running = serde_json::to_value(&persisted.running).unwrap();
    let want: serde_json::Value = serde_json::from_str(&pinned("running.json")).unwrap();
    assert_eq!(running, want);
    let name_index = NameIndex {
        zones: vec!["a".into(), "b".into()],
        kinds: vec!["std".into()],
    };
    assert_eq!(persisted.running.violations(&name_index), Vec::new());
}
