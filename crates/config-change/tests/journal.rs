//! Journals that are torn, spoilt or foreign at every byte.

use ironstair_config_change::journal::{
    decode, encode, Found, Kept, Record, RevisionSummary, RECORD_MOST,
};
use ironstair_config_change::revisions::RevisionState;
use proptest::prelude::*;

fn line(number: u64, state: RevisionState) -> RevisionSummary {
    let (who, what) = ("op".to_string(), format!("change {number}"));
    RevisionSummary {
        number,
        who,
        when: 1e12,
        what,
        state,
        commit: None,
        until: None,
    }
}

fn day() -> Vec<Record<u8>> {
    let set = |n, state| Record::Set {
        line: line(n, state),
        document: n as u8,
    };
    vec![
        Record::Whole(Kept::told(0)),
        set(1, RevisionState::Running),
        set(2, RevisionState::Unconfirmed),
        Record::Confirmed { number: 2 },
        set(3, RevisionState::Unconfirmed),
        Record::RolledBack { number: 3 },
        set(4, RevisionState::Running),
    ]
}

/// What runs after so many of the day's records.
const RUNS: [u8; 8] = [0, 0, 1, 1, 2, 2, 2, 4];

fn bytes(records: &[Record<u8>]) -> Vec<Vec<u8>> {
    records.iter().map(|r| encode(r).unwrap()).collect()
}

#[test]
fn a_journal_cut_at_any_byte_runs_the_last_whole_revision() {
    let parts = bytes(&day());
    let all = parts.concat();
    for cut in 0..=all.len() {
        let mut ends = parts.iter().scan(0, |at, p| {
            *at += p.len();
            Some(*at)
        });
        let whole = ends.clone().filter(|&e| e <= cut).count();
        let (records, n, why) = decode::<u8>(&all[..cut]);
        assert_eq!((records.len(), why.is_none()), (whole, n == cut), "{cut}");
        let (kept, found) = Kept::open(records, 0);
        assert_eq!(kept.running, RUNS[whole], "{cut}");
        let trial = [3, 5].contains(&whole);
        assert_eq!(matches!(found, Found::RolledBack(_)), trial, "{cut}");
        assert!(ends.next().is_some());
    }
}

#[test]
fn a_journal_with_any_byte_changed_keeps_what_comes_before_it() {
    let parts = bytes(&day());
    let all = parts.concat();
    for at in 0..all.len() {
        let mut spoilt = all.clone();
        spoilt[at] ^= 0x20;
        let (records, n, why) = decode::<u8>(&spoilt);
        assert!(why.is_some() && n <= at, "{at}");
        assert_eq!(records, day()[..records.len()]);
    }
}

#[test]
fn zeros_and_long_lengths_are_no_records() {
    let (records, n, why) = decode::<u8>(&[0; 64]);
    assert_eq!((records.len(), n, why), (0, 0, Some("checksum differs")));
    let long = (RECORD_MOST as u32 + 1).to_le_bytes();
    assert_eq!(decode::<u8>(&[long, long].concat()).2, Some("no length"));
}

#[test]
fn what_the_config_file_says_anew_comes_before_the_revisions() {
    let (kept, found) = Kept::open(day(), 0);
    assert_eq!(
        (kept.running, kept.number, kept.next, found),
        (4, 4, 5, Found::Revision(4))
    );
    let (kept, found) = Kept::open(day(), 9);
    assert_eq!(
        (kept.running, kept.told, kept.number, kept.next),
        (9, 9, 0, 5)
    );
    assert_eq!(found, Found::Reconfigured);
    assert!(kept.lines.iter().all(|l| l.state != RevisionState::Running));
    // And so it stays once that is written down.
    assert_eq!(
        Kept::open(vec![Record::Whole(kept)], 9).1,
        Found::Revision(0)
    );
}

#[test]
fn a_trial_upon_one_whose_taking_back_was_never_written_goes_back_before_both() {
    let set = |n| Record::Set {
        line: line(n, RevisionState::Unconfirmed),
        document: n as u8,
    };
    let (kept, _) = Kept::open(vec![Record::Whole(Kept::told(0)), set(1), set(2)], 0);
    assert_eq!((kept.running, kept.number), (0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..Default::default() })]
    #[test]
    fn any_bytes_behind_a_journal_do_it_no_harm(tail in proptest::collection::vec(any::<u8>(), 0..64)) {
        let all = bytes(&day()).concat();
        let (records, n, _) = decode::<u8>(&[all.clone(), tail].concat());
        prop_assert_eq!((records, n), (day(), all.len()));
    }
}
