//! Opening a voter's disk after a crash, with damaged bytes, with another gateway's file, and in a folder that can't be
//! used; and writing to a disk that fails.

use ironstair_raft_replica::{Image, Save};
use ironstair_raft_storage::{Opened, Storage};
use std::path::Path;
use tempfile::tempdir;

const FILE: &str = "fleet.log";

fn open(folder: &Path, id: u64) -> Opened {
    Storage::open(folder, "north", "g1", id).unwrap()
}

/// Writes like those of a voter: a vote with entries, replaced entries at the end, and a compaction.
fn saves() -> Vec<Save> {
    let entry = |byte: u8| vec![byte; 100];
    let entries = |first: u64, last: u64| {
        Some((
            first,
            (first..=last).map(|index| entry(index as u8)).collect(),
        ))
    };
    vec![
        Save {
            hard_state: Some(b"vote 1".to_vec()),
            entries: entries(2, 10),
            snapshot: None,
        },
        Save {
            hard_state: Some(b"vote 2".to_vec()),
            entries: Some((8, vec![entry(200)])),
            snapshot: None,
        },
        Save {
            snapshot: Some((5, b"all up to 5".to_vec())),
            entries: entries(9, 11),
            hard_state: None,
        },
    ]
}

/// Opens a disk and applies all writes; returns the file's length and the image at the start and after each write.
fn write_all(folder: &Path) -> Vec<(usize, Image)> {
    let mut storage = open(folder, 7).storage;
    let length = || std::fs::metadata(folder.join(FILE)).unwrap().len() as usize;
    let mut states = vec![(length(), storage.image().clone())];
    for save in saves() {
        storage.save(save).unwrap();
        states.push((length(), storage.image().clone()));
    }
    states
}

/// The image and the note after opening a file with these bytes.
fn open_bytes(bytes: &[u8]) -> (Image, Option<String>) {
    let folder = tempdir().unwrap();
    std::fs::write(folder.path().join(FILE), bytes).unwrap();
    let Opened { storage, note } = open(folder.path(), 8);
    // The next start finds the same image, without a note.
    let image = storage.image().clone();
    let reopened = open(folder.path(), 9);
    assert_eq!((reopened.storage.image(), reopened.note), (&image, None));
    (image, note)
}

#[test]
fn a_file_truncated_at_any_byte_holds_every_completed_write() {
    let folder = tempdir().unwrap();
    let states = write_all(folder.path());
    let bytes = std::fs::read(folder.path().join(FILE)).unwrap();
    for truncated in 0..=bytes.len() {
        let (image, note) = open_bytes(&bytes[..truncated]);
        // No other voter depends on the disk before its first write is complete, so the disk may be blank, under its
        // own voter id or another one.
        match states.iter().rfind(|(length, _)| *length <= truncated) {
            Some((length, expected)) => {
                assert_eq!(
                    (&image, note.is_some()),
                    (expected, truncated > *length),
                    "truncated to {truncated} bytes"
                );
            }
            None => assert!(
                image.entries.is_empty() && image.snapshot.is_empty(),
                "truncated to {truncated} bytes"
            ),
        }
    }
    // After a power failure the file may be longer than the data written to it, and end in zeros.
    let (image, note) = open_bytes(&[&bytes[..], &[0; 50]].concat());
    assert_eq!((&image, note.is_some()), (&states.last().unwrap().1, true));
}

#[test]
fn a_file_with_any_byte_changed_is_quarantined() {
    let folder = tempdir().unwrap();
    let states = write_all(folder.path());
    let intact = std::fs::read(folder.path().join(FILE)).unwrap();
    assert_eq!(
        open_bytes(&intact),
        (states.last().unwrap().1.clone(), None)
    );
    for offset in 0..intact.len() {
        let mut bytes = intact.clone();
        bytes[offset] ^= 0x10;
        let (image, note) = open_bytes(&bytes);
        assert_eq!(image, Image::blank(8), "byte {offset}");
        assert!(
            note.is_some_and(|note| note.contains("quarantined as fleet.log.aside-1")),
            "byte {offset}"
        );
    }
}

#[test]
fn a_file_of_another_gateway_or_fleet_is_rejected_and_not_changed() {
    let folder = tempdir().unwrap();
    let states = write_all(folder.path());
    for (fleet, gateway, reason) in [
        (
            "north",
            "g2",
            "the log belongs to gateway g1 of fleet north, not to gateway g2 of fleet north",
        ),
        (
            "south",
            "g1",
            "the log belongs to gateway g1 of fleet north, not to gateway g1 of fleet south",
        ),
    ] {
        let error = Storage::open(folder.path(), fleet, gateway, 9)
            .err()
            .unwrap()
            .to_string();
        assert!(error.ends_with(reason), "{error}");
    }
    assert_eq!(
        open(folder.path(), 9).storage.image(),
        &states.last().unwrap().1
    );
    // The path of the folder is a file: the error names it.
    let file = folder.path().join(FILE);
    let error = Storage::open(&file, "north", "g1", 9)
        .err()
        .unwrap()
        .to_string();
    assert!(error.starts_with(&file.display().to_string()), "{error}");
}

#[test]
fn a_failed_write_leaves_the_image_unchanged_and_the_disk_usable() {
    let folder = tempdir().unwrap();
    let mut storage = open(folder.path(), 7).storage;
    storage.save(saves().remove(0)).unwrap();
    let before = storage.image().clone();
    // The file is rewritten when it reaches its limit; a folder in place of the temporary file makes that fail.
    std::fs::create_dir(folder.path().join("fleet.new")).unwrap();
    let small_saves = std::iter::from_fn(|| {
        Some(storage.save(Save {
            hard_state: Some(vec![1]),
            ..Save::default()
        }))
    });
    let error = small_saves.take(2000).find_map(Result::err).unwrap();
    let error = error.to_string();
    assert!(error.contains("fleet.log"), "{error}");
    let expected = Image {
        hard_state: vec![1],
        ..before
    };
    assert_eq!(storage.image(), &expected);
    std::fs::remove_dir(folder.path().join("fleet.new")).unwrap();
    storage.save(saves().remove(1)).unwrap();
    let after = storage.image().clone();
    assert_eq!(open(folder.path(), 9).storage.image(), &after);
}
