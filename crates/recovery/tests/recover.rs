//! The parts of the snapshot that a process uses after a start, by its content.

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

type Found = Result<Option<Snapshot>, String>;

/// The expected recovery.
struct Want {
    has_list: bool,
    needs_key_quarantine: bool,
    note: Option<&'static str>,
}

fn without_list(needs_key_quarantine: bool, note: &'static str) -> Want {
    Want {
        has_list: false,
        needs_key_quarantine,
        note: Some(note),
    }
}

fn assert_recovery(found: Found, serial: u32, want: &Want) {
    let recovery = recover(found.clone(), "g1", NOW, serial);
    assert_eq!(
        (recovery.endpoints.is_some(), recovery.needs_key_quarantine),
        (want.has_list, want.needs_key_quarantine),
        "{found:?}"
    );
    assert_eq!(recovery.note.as_deref(), want.note, "{found:?}");
    if let Some(list) = recovery.endpoints {
        assert_eq!(
            (list.serial, list.age, list.engines),
            (7, 1000.0, vec![engine("e1", false)]),
            "draining ones are left out"
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
fn a_recent_list_is_used_and_keys_are_held_back_but_after_a_clean_end() {
    for (found, needs_key_quarantine) in [(snapshot(), true), (ended_cleanly(snapshot()), false)] {
        let want = Want {
            has_list: true,
            needs_key_quarantine,
            note: None,
        };
        assert_recovery(Ok(Some(found)), 7, &want);
    }
}

#[test]
fn a_list_that_is_not_used_is_left_out_with_the_stated_reason() {
    let newer = without_list(true, "the configuration file's list is newer");
    assert_recovery(Ok(Some(snapshot())), 8, &newer);
    let old = Snapshot {
        heard_at: NOW - 61_000.0,
        ..snapshot()
    };
    let too_old = |needs_key_quarantine| without_list(needs_key_quarantine, "its list is too old");
    assert_recovery(Ok(Some(old.clone())), 0, &too_old(true));
    assert_recovery(Ok(Some(ended_cleanly(old))), 0, &too_old(false));
    // The clock was set back: the age of the snapshot is unknown.
    let future = Snapshot {
        written_at: NOW + 5000.0,
        heard_at: NOW + 5000.0,
        ..ended_cleanly(snapshot())
    };
    let went_back = without_list(true, "it is of the future: a clock went back");
    assert_recovery(Ok(Some(future)), 0, &went_back);
    let empty = Snapshot {
        engines: vec![],
        ..snapshot()
    };
    let no_engine = without_list(true, "it lists no engine");
    assert_recovery(Ok(Some(empty)), 0, &no_engine);
}

#[test]
fn without_a_snapshot_of_its_own_a_gateway_starts_with_nothing() {
    let other = Snapshot {
        gateway: "g2".into(),
        ..ended_cleanly(snapshot())
    };
    let not_its_own = without_list(true, "it is another gateway's");
    assert_recovery(Ok(Some(other)), 0, &not_its_own);
    let nothing = Want {
        has_list: false,
        needs_key_quarantine: true,
        note: None,
    };
    assert_recovery(Ok(None), 0, &nothing);
    let damaged = without_list(true, "it is not what was written");
    assert_recovery(Err("it is not what was written".to_owned()), 0, &damaged);
}

#[test]
fn bytes_cut_or_changed_anywhere_are_named_and_never_used() {
    let bytes = encode(&snapshot()).unwrap();
    assert_eq!(decode(&bytes), Ok(snapshot()));
    (0..bytes.len()).for_each(|n| assert!(decode(&bytes[..n]).is_err(), "cut at {n}"));
    for n in 0..bytes.len() {
        for bit in 0..8 {
            let mut other = bytes.clone();
            other[n] ^= 1 << bit;
            assert!(decode(&other).is_err(), "bit {bit} of byte {n}");
        }
    }
}

#[test]
fn a_stage_has_its_first_reason() {
    let back = StageInputs {
        has_lease: true,
        has_received_list: true,
        key_quarantine_until: 0.0,
        has_slow_start_share: Some(true),
    };
    for (inputs, want) in [
        (back, Stage::Full),
        (
            StageInputs {
                has_slow_start_share: None,
                ..back
            },
            Stage::Full,
        ),
        (
            StageInputs {
                has_lease: false,
                has_received_list: false,
                ..back
            },
            Stage::CatchingUp,
        ),
        (
            StageInputs {
                has_received_list: false,
                ..back
            },
            Stage::Cautious,
        ),
        (
            StageInputs {
                key_quarantine_until: 2.0,
                ..back
            },
            Stage::Cautious,
        ),
        (
            StageInputs {
                has_slow_start_share: Some(false),
                ..back
            },
            Stage::Cautious,
        ),
    ] {
        let (is, why) = stage(1.0, &inputs);
        assert_eq!(
            (is, why.is_none()),
            (want, want == Stage::Full),
            "{inputs:?}"
        );
    }
}
