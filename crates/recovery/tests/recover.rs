//! What a process rests on after a start, by what it finds.

use ironstair_recovery::kept::{decode, encode};
use ironstair_recovery::stage::{stage, Facts, Stage};
use ironstair_recovery::{begin, Engine, Kept};

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

fn kept() -> Kept {
    let engines = vec![engine("e1", false), engine("e2", true)];
    Kept {
        gateway: "g1".into(),
        at: NOW - 900.0,
        heard: NOW - 1000.0,
        rev: 7,
        clean: false,
        engines,
    }
}

#[test]
fn each_thing_found_has_its_stated_end() {
    let old = Kept {
        heard: NOW - 61_000.0,
        ..kept()
    };
    let future = Kept {
        at: NOW + 5000.0,
        heard: NOW + 5000.0,
        clean: true,
        ..kept()
    };
    for (found, rev, endpoints, rests, note) in [
        (Ok(Some(kept())), 7, true, true, None),
        (
            Ok(Some(Kept {
                clean: true,
                ..kept()
            })),
            7,
            true,
            false,
            None,
        ),
        (
            Ok(Some(kept())),
            8,
            false,
            true,
            Some("what is told at start is newer"),
        ),
        (
            Ok(Some(old.clone())),
            0,
            false,
            true,
            Some("its list is too old"),
        ),
        (
            Ok(Some(Kept { clean: true, ..old })),
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
            Ok(Some(Kept {
                gateway: "g2".into(),
                clean: true,
                ..kept()
            })),
            0,
            false,
            true,
            Some("it is another gateway's"),
        ),
        (
            Ok(Some(Kept {
                engines: vec![],
                ..kept()
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
        let begun = begin(found.clone(), "g1", NOW, rev);
        assert_eq!(
            (begun.endpoints.is_some(), begun.rests),
            (endpoints, rests),
            "{found:?}"
        );
        assert_eq!(begun.note.as_deref(), note, "{found:?}");
        if let Some((rev, age, engines)) = begun.endpoints {
            assert_eq!(
                (rev, age, engines),
                (7, 1000.0, vec![engine("e1", false)]),
                "draining ones are left out"
            );
        }
    }
}

#[test]
fn bytes_cut_or_changed_anywhere_are_named_and_never_used() {
    let bytes = encode(&kept()).unwrap();
    assert_eq!(decode(&bytes), Ok(kept()));
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
        lease_until: true,
        heard: true,
        key_quarantine: 0.0,
        share: Some(true),
    };
    for (facts, want) in [
        (back, Stage::Full),
        (
            Facts {
                share: None,
                ..back
            },
            Stage::Full,
        ),
        (
            Facts {
                lease_until: false,
                heard: false,
                ..back
            },
            Stage::CatchingUp,
        ),
        (
            Facts {
                heard: false,
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
                share: Some(false),
                ..back
            },
            Stage::Cautious,
        ),
    ] {
        let (is, why) = stage(1.0, &facts);
        assert_eq!(
            (is, why.is_empty()),
            (want, want == Stage::Full),
            "{facts:?}"
        );
    }
}
