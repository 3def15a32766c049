//! What a process rests on after a start, by what it finds.

use ironstair_recovery::{decode, encode, recover, stage, Engine, Facts, Snapshot, Stage};

const NOW: f64 = 1.8e12;

fn engine(name: &str, draining: bool) -> Engine {
    let address = ([10, 1, 0, 1], 9001).into();
    let (zone, kind) = ("a".to_string(), "m".to_string());
    Engine {
        name: name.into(),
        address,
        zone,
        kind,
        marks: 2,
        draining,
        since: 5.0,
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

#[test]
fn each_thing_found_has_its_stated_end() {
    let old = Snapshot {
        heard_at: NOW - 61_000.0,
        ..snapshot()
    };
    let future = Snapshot {
        written_at: NOW + 5000.0,
        heard_at: NOW + 5000.0,
        ended_cleanly: true,
        ..snapshot()
    };
    for (found, serial, endpoints, needs_key_quarantine, note) in [
        (Ok(Some(snapshot())), 7, true, true, None),
        (
            Ok(Some(Snapshot {
                ended_cleanly: true,
                ..snapshot()
            })),
            7,
            true,
            false,
            None,
        ),
        (
            Ok(Some(snapshot())),
            8,
            false,
            true,
            Some("the configuration file's list is newer"),
        ),
        (
            Ok(Some(old.clone())),
            0,
            false,
            true,
            Some("its list is too old"),
        ),
        (
            Ok(Some(Snapshot {
                ended_cleanly: true,
                ..old
            })),
            0,
            false,
            false,
            Some("its list is too old"),
        ),
        // A clock that went back: how long ago that was is not known.
        (
            Ok(Some(future)),
            0,
            false,
            true,
            Some("it is of the future: a clock went back"),
        ),
        (
            Ok(Some(Snapshot {
                gateway: "g2".into(),
                ended_cleanly: true,
                ..snapshot()
            })),
            0,
            false,
            true,
            Some("it is another gateway's"),
        ),
        (
            Ok(Some(Snapshot {
                engines: vec![],
                ..snapshot()
            })),
            0,
            false,
            true,
            Some("it lists no engine"),
        ),
        (Ok(None), 0, false, true, None),
        (
            Err("it is not what was written".to_string()),
            0,
            false,
            true,
            Some("it is not what was written"),
        ),
    ] {
        let recovery = recover(found.clone(), "g1", NOW, serial);
        assert_eq!(
            (recovery.endpoints.is_some(), recovery.needs_key_quarantine),
            (endpoints, needs_key_quarantine),
            "{found:?}"
        );
        assert_eq!(recovery.note.as_deref(), note, "{found:?}");
        if let Some(list) = recovery.endpoints {
            assert_eq!(
                (list.serial, list.age, list.engines),
                (7, 1000.0, vec![engine("e1", false)]),
                "draining ones are left out"
            );
        }
    }
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
    let back = Facts {
        has_lease: true,
        has_heard_list: true,
        key_quarantine: 0.0,
        has_slow_start_share: Some(true),
    };
    for (facts, want) in [
        (back, Stage::Full),
        (
            Facts {
                has_slow_start_share: None,
                ..back
            },
            Stage::Full,
        ),
        (
            Facts {
                has_lease: false,
                has_heard_list: false,
                ..back
            },
            Stage::CatchingUp,
        ),
        (
            Facts {
                has_heard_list: false,
                ..back
            },
            Stage::Cautious,
        ),
        (
            Facts {
                key_quarantine: 2.0,
                ..back
            },
            Stage::Cautious,
        ),
        (
            Facts {
                has_slow_start_share: Some(false),
                ..back
            },
            Stage::Cautious,
        ),
    ] {
        let (is, why) = stage(1.0, &facts);
        assert_eq!(
            (is, why.is_none()),
            (want, want == Stage::Full),
            "{facts:?}"
        );
    }
}
