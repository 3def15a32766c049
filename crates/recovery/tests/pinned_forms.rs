//! Pins the bytes of the snapshot that a gateway leaves for its next process (`gateway.kept`), and the names of the
//! recovery stages. The files under `pinned` were written by an earlier version of the program. After an update a
//! gateway reads the snapshot of the earlier version, so every field must keep its position, type and meaning.

use ironstair_pinned_forms::{hex, PinnedForms};
use ironstair_recovery::{decode, encode, Engine, Snapshot, Stage};

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

/// A snapshot in which no two fields of a type have the same value, so that exchanged fields would be noticed.
fn full_snapshot() -> Snapshot {
    let first = Engine {
        name: "engine-1".into(),
        address: "10.1.2.3:9001".parse().unwrap(),
        zone: "zone-a".into(),
        machine_type: "kind-m".into(),
        dedup_domain: 513,
        draining: false,
        started_at: 1.75e12,
    };
    let second = Engine {
        name: "engine-2".into(),
        address: "[fd00::1:2]:9002".parse().unwrap(),
        zone: String::new(),
        machine_type: "kind-n".into(),
        dedup_domain: 0,
        draining: true,
        started_at: 0.0,
    };
    Snapshot {
        gateway: "gateway-1".into(),
        written_at: 1.8e12 + 0.25,
        heard_at: 1.8e12 - 1500.5,
        serial: 70_001,
        ended_cleanly: false,
        engines: vec![first, second],
    }
}

#[test]
fn snapshots_are_encoded_to_and_decoded_from_the_pinned_bytes() {
    let clean = Snapshot {
        ended_cleanly: true,
        engines: Vec::new(),
        ..full_snapshot()
    };
    for (name, snapshot) in [
        ("full.hex", full_snapshot()),
        ("clean.hex", clean),
        ("blank.hex", Snapshot::default()),
    ] {
        FORMS.assert_same(name, &format!("{}\n", hex(&encode(&snapshot).unwrap())));
        assert_eq!(decode(&FORMS.bytes(name)), Ok(snapshot), "{name}");
    }
}

#[test]
fn another_format_version_or_magic_number_is_rejected() {
    let bytes = FORMS.bytes("full.hex");
    assert_eq!(
        &bytes[..8],
        b"irst\x01\0\0\0",
        "the magic number and the format version"
    );
    let mut other_version = bytes.clone();
    other_version[4] = 2;
    assert!(decode(&other_version)
        .unwrap_err()
        .to_string()
        .contains("format version 2 "));
    let mut other_magic = bytes;
    other_magic[0] = b'x';
    assert!(decode(&other_magic).is_err());
}

#[test]
fn stages_have_the_pinned_names() {
    let names = [Stage::CatchingUp, Stage::Cautious, Stage::Full].map(Stage::as_str);
    assert_eq!(names, ["catching-up", "cautious", "full"]);
}
