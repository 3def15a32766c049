//! The bytes of the file that a gateway keeps for its next process (`gateway.kept`), and the names of its stages. The
//! files under `pinned` were written by an earlier version of the program: a gateway that is updated reads the file of
//! the one before it, so every field has to keep its place, its type and its meaning.

use ironstair_pinned_forms::{hex, PinnedForms};
use ironstair_recovery::{decode, encode, Engine, Snapshot, Stage};

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

/// Every field with a value of its own, so that none can stand in another's place.
fn full() -> Snapshot {
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
fn what_is_kept_for_the_next_process_is_read_and_written_in_the_pinned_bytes() {
    let clean = Snapshot {
        ended_cleanly: true,
        engines: Vec::new(),
        ..full()
    };
    for (name, snapshot) in [
        ("full.hex", full()),
        ("clean.hex", clean),
        ("blank.hex", Snapshot::default()),
    ] {
        FORMS.assert_same(name, &format!("{}\n", hex(&encode(&snapshot).unwrap())));
        assert_eq!(decode(&FORMS.bytes(name)), Ok(snapshot), "{name}");
    }
}

#[test]
fn a_file_of_another_form_is_refused() {
    let bytes = FORMS.bytes("full.hex");
    assert_eq!(
        &bytes[..8],
        b"irst\x01\0\0\0",
        "the magic number and the number of the form"
    );
    let mut other = bytes.clone();
    other[4] = 2;
    assert!(decode(&other)
        .unwrap_err()
        .to_string()
        .contains("its form 2 "));
    let mut other = bytes;
    other[0] = b'x';
    assert!(decode(&other).is_err());
}

#[test]
fn stages_have_the_pinned_names() {
    let names = [Stage::CatchingUp, Stage::Cautious, Stage::Full].map(Stage::as_str);
    assert_eq!(names, ["catching-up", "cautious", "full"]);
}
