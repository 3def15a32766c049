//! Which parts of the snapshot a process uses after a start, depending on the snapshot's content.

use ironstair_recovery::{decode, encode, recover, stage, Engine, Snapshot, Stage, StageInputs};

const NOW: f64 = 1.8e12;

fn engine(name: &str, draining: bool) -> Engine {
    let address = ([10, 1, 0, 1], 9001).into();
    let (zone, machine_type) = ("a".to_owned(), "m".to_owned());
    Engine {
        name: name.into(),
        address,
        zone,
        machine_type,
        dedup_domain: 2,
        draining,
        started_at: 5.0,
    }
}

fn snapshot() -> Snapshot {
    let engines = vec![engine("e1", false), engine("e2", true)];
    Snapshot {
        gateway: "g1".into(),
        written_at: NOW - 900.0,
        heard_at: NOW - 1000.0,
        serial: 7,
        ended_cleanly: false,
        engines,
    }
}

type ReadResult = Result<Option<Snapshot>, String>;

/// The expected recovery.
struct ExpectedRecovery {
    has_list: bool,
    needs_key_quarantine: bool,
    note: Option<&'static str>,
}

fn without_list(needs_key_quarantine: bool, note: &'static str) -> ExpectedRecovery {
    ExpectedRecovery {
        has_list: false,
        needs_key_quarantine,
        note: Some(note),
    }
}

fn assert_recovery(read: ReadResult, config_serial: u32, expected: &ExpectedRecovery) {
    let recovery = recover(read.clone(), "g1", NOW, config_serial);
    assert_eq!(
        (recovery.endpoints.is_some(), recovery.needs_key_quarantine),
        (expected.has_list, expected.needs_key_quarantine),
        "{read:?}"
    );
    assert_eq!(recovery.note.as_deref(), expected.note, "{read:?}");
    if let Some(list) = recovery.endpoints {
        assert_eq!(
            (list.serial, list.age, list.engines),
            (7, 1000.0, vec![engine("e1", false)]),
            "draining engines are left out"
        );
    }
}

fn ended_cleanly(snapshot: Snapshot) -> Snapshot {
    Snapshot {
        ended_cleanly: true,
        ..snapshot
    }
}

#[test]
fn a_recent_list_is_used_and_keys_are_quarantined_unless_the_end_was_clean() {
    for (snapshot, needs_key_quarantine) in [(snapshot(), true), (ended_cleanly(snapshot()), false)]
    {
        let expected = ExpectedRecovery {
            has_list: true,
            needs_key_quarantine,
            note: None,
        };
        assert_recovery(Ok(Some(snapshot)), 7, &expected);
    }
}

#[test]
fn a_rejected_list_is_reported_with_its_reason() {
    let newer = without_list(
        true,
        "the endpoint list of the configuration file is newer than the one in the snapshot",
    );
    assert_recovery(Ok(Some(snapshot())), 8, &newer);
    let old = Snapshot {
        heard_at: NOW - 61_000.0,
        ..snapshot()
    };
    let too_old = |needs_key_quarantine| {
        without_list(
            needs_key_quarantine,
            "the endpoint list in the snapshot exceeds its age limit",
        )
    };
    assert_recovery(Ok(Some(old.clone())), 0, &too_old(true));
    assert_recovery(Ok(Some(ended_cleanly(old))), 0, &too_old(false));
    // The clock was set back: the age of the snapshot is unknown.
    let future = Snapshot {
        written_at: NOW + 5000.0,
        heard_at: NOW + 5000.0,
        ..ended_cleanly(snapshot())
    };
    let went_back = without_list(
        true,
        "the snapshot was written in the future: the clock was set back",
    );
    assert_recovery(Ok(Some(future)), 0, &went_back);
    let empty = Snapshot {
        engines: vec![],
        ..snapshot()
    };
    let no_engine = without_list(true, "the endpoint list in the snapshot is empty");
    assert_recovery(Ok(Some(empty)), 0, &no_engine);
}

#[test]
fn a_gateway_without_a_snapshot_of_its_own_recovers_nothing() {
    let other = Snapshot {
        gateway: "g2".into(),
        ..ended_cleanly(snapshot())
    };
    let not_its_own = without_list(true, "the snapshot belongs to gateway g2, not to g1");
    assert_recovery(Ok(Some(other)), 0, &not_its_own);
    let nothing = ExpectedRecovery {
        has_list: false,
        needs_key_quarantine: true,
        note: None,
    };
    assert_recovery(Ok(None), 0, &nothing);
    let damaged = without_list(true, "the snapshot is damaged");
    assert_recovery(Err("the snapshot is damaged".to_owned()), 0, &damaged);
}

#[test]
fn a_snapshot_truncated_or_with_one_bit_flipped_is_rejected() {
    let bytes = encode(&snapshot()).unwrap();
    assert_eq!(decode(&bytes), Ok(snapshot()));
    (0..bytes.len()).for_each(|length| {
        assert!(
            decode(&bytes[..length]).is_err(),
            "truncated to {length} bytes"
        );
    });
    for offset in 0..bytes.len() {
        for bit in 0..8 {
            let mut damaged = bytes.clone();
            damaged[offset] ^= 1 << bit;
            assert!(decode(&damaged).is_err(), "bit {bit} of byte {offset}");
        }
    }
}

#[test]
fn the_first_restriction_determines_the_stage_and_only_full_has_no_reason() {
    let unrestricted = StageInputs {
        has_lease: true,
        has_received_list: true,
        key_quarantine_until: 0.0,
        has_slow_start_share: Some(true),
    };
    for (inputs, expected) in [
        (unrestricted, Stage::Full),
        (
            StageInputs {
                has_slow_start_share: None,
                ..unrestricted
            },
            Stage::Full,
        ),
        (
            StageInputs {
                has_lease: false,
                has_received_list: false,
                ..unrestricted
            },
            Stage::CatchingUp,
        ),
        (
            StageInputs {
                has_received_list: false,
                ..unrestricted
            },
            Stage::Cautious,
        ),
        (
            StageInputs {
                key_quarantine_until: 2.0,
                ..unrestricted
            },
            Stage::Cautious,
        ),
        (
            StageInputs {
                has_slow_start_share: Some(false),
                ..unrestricted
            },
            Stage::Cautious,
        ),
    ] {
        let (stage, reason) = stage(1.0, &inputs);
        assert_eq!(
            (stage, reason.is_none()),
            (expected, expected == Stage::Full),
            "{inputs:?}"
        );
    }
}
