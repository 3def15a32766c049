//! Pins the bytes of a replica's log file, in hex: the record of the owner, the record of each write, and the file as
//! the next start rewrites it. The writes below must produce the bytes of the samples; a file with the bytes of a sample
//! must open as the same image, and must be rewritten as the sample for the rewritten file.

use ironstair_pinned_forms::{bytes_of_hex, PinnedForms};
use ironstair_raft_replica::{Image, Save};
use ironstair_raft_storage::{Opened, Storage};
use std::collections::BTreeMap;
use std::path::Path;
use tempfile::tempdir;

const FILE: &str = "fleet.log";

fn hex(bytes: &[u8]) -> String {
    let lines = bytes.chunks(32).map(|row| {
        row.iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
            + "\n"
    });
    lines.collect()
}

fn decode_hex(hex: &str) -> Vec<u8> {
    bytes_of_hex(&hex.split_whitespace().collect::<String>())
}

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

fn open(folder: &Path, id: u64) -> Opened {
    Storage::open(folder, "north", "g1", id).unwrap()
}

/// Writes with each part alone, with all parts, and with none.
fn saves() -> Vec<Save> {
    let entries = |first: u64, texts: &[&str]| {
        Some((
            first,
            texts.iter().map(|text| text.as_bytes().to_vec()).collect(),
        ))
    };
    let all_parts = Save {
        hard_state: Some(b"vote 3".to_vec()),
        snapshot: Some((3, b"all up to 3".to_vec())),
        entries: entries(5, &["entry 5 anew"]),
    };
    vec![
        Save {
            hard_state: Some(b"vote 1".to_vec()),
            snapshot: None,
            entries: None,
        },
        Save {
            hard_state: None,
            snapshot: Some((1, b"all up to 1".to_vec())),
            entries: None,
        },
        Save {
            hard_state: None,
            snapshot: None,
            entries: entries(2, &["entry 2", "entry 3", "entry 4", "entry 5"]),
        },
        all_parts,
        Save::default(),
    ]
}

/// The content of the disk after all writes.
fn final_image() -> Image {
    Image {
        id: 0x0102_0304_0506_0708,
        hard_state: b"vote 3".to_vec(),
        snapshot: b"all up to 3".to_vec(),
        entries: BTreeMap::from([(4, b"entry 4".to_vec()), (5, b"entry 5 anew".to_vec())]),
    }
}

/// The bytes of a new file after these writes.
fn file_after(saves: &[Save]) -> Vec<u8> {
    let folder = tempdir().unwrap();
    let mut storage = open(folder.path(), final_image().id).storage;
    saves
        .iter()
        .for_each(|save| storage.save(save.clone()).unwrap());
    std::fs::read(folder.path().join(FILE)).unwrap()
}

/// Opens a file with these bytes; returns the image, the note, and the bytes of the rewritten file.
fn open_bytes(bytes: &[u8]) -> (Image, Option<String>, Vec<u8>) {
    let folder = tempdir().unwrap();
    std::fs::write(folder.path().join(FILE), bytes).unwrap();
    let Opened { storage, note } = open(folder.path(), 9);
    let names = std::fs::read_dir(folder.path())
        .unwrap()
        .map(|entry| entry.unwrap().file_name());
    assert_eq!(names.collect::<Vec<_>>(), [FILE]);
    (
        storage.image().clone(),
        note,
        std::fs::read(folder.path().join(FILE)).unwrap(),
    )
}

#[test]
fn log_files_are_written_and_read_as_in_the_samples() {
    let blank = Image::blank(final_image().id);
    let written = file_after(&saves());
    let rewritten = open_bytes(&written).2;
    let table = [
        // The sample, the bytes that are written today, the image in the sample, and the sample of the rewritten file.
        ("blank.hex", file_after(&[]), blank, "blank.hex"),
        ("steps.hex", written, final_image(), "rewritten.hex"),
        ("rewritten.hex", rewritten, final_image(), "rewritten.hex"),
    ];
    for (file, written, _, _) in &table {
        assert_eq!(hex(written), FORMS.text(file), "{file}: written");
    }
    for (file, _, expected, rewritten_file) in &table {
        let (image, note, rewritten) = open_bytes(&decode_hex(&FORMS.text(file)));
        assert_eq!((&image, note), (expected, None), "{file}: read");
        assert_eq!(
            hex(&rewritten),
            FORMS.text(rewritten_file),
            "{file}: rewritten as {rewritten_file}"
        );
    }
}
