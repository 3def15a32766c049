//! Journals that are truncated, damaged or foreign at every byte.

use ironstair_config_change::journal::{decode, encode, DecodeError, Decoded, MAX_RECORD_BYTES};
use ironstair_config_change::{
    PersistedState, Record, RevisionState, RevisionSummary, StartOutcome,
};
use proptest::prelude::*;

fn revision(number: u64, state: RevisionState) -> RevisionSummary {
    let (author, summary) = ("op".to_owned(), format!("change {number}"));
    RevisionSummary {
        number,
        author,
        created_at: 1e12,
        summary,
        state,
        commit_id: None,
        confirm_by: None,
    }
}

fn day() -> Vec<Record<u8>> {
    let set = |n, state| Record::Set {
        revision: revision(n, state),
        document: n as u8,
    };
    vec![
        Record::Snapshot(PersistedState::configured(0)),
        set(1, RevisionState::Running),
        set(2, RevisionState::Unconfirmed),
        Record::Confirmed { number: 2 },
        set(3, RevisionState::Unconfirmed),
        Record::RolledBack { number: 3 },
        set(4, RevisionState::Running),
    ]
}

/// The running settings after each number of records.
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
        let Decoded {
            records,
            valid_bytes,
            error,
        } = decode::<u8>(&all[..cut]);
        assert_eq!(
            (records.len(), error.is_none()),
            (whole, valid_bytes == cut),
            "{cut}"
        );
        let (persisted, found) = PersistedState::replay(records, 0);
        assert_eq!(persisted.running, RUNS[whole], "{cut}");
        let pending_confirmation = [3, 5].contains(&whole);
        assert_eq!(
            matches!(found, StartOutcome::RolledBack(_)),
            pending_confirmation,
            "{cut}"
        );
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
        let decoded = decode::<u8>(&spoilt);
        assert!(decoded.error.is_some() && decoded.valid_bytes <= at, "{at}");
        assert_eq!(decoded.records, day()[..decoded.records.len()]);
    }
}

#[test]
fn zeros_and_long_lengths_are_no_records() {
    let none = |error| Decoded {
        records: Vec::new(),
        valid_bytes: 0,
        error: Some(error),
    };
    assert_eq!(decode::<u8>(&[0; 64]), none(DecodeError::Checksum));
    assert_eq!(
        DecodeError::Checksum.to_string(),
        "the record's checksum does not match"
    );
    let long = (MAX_RECORD_BYTES as u32 + 1).to_le_bytes();
    let bytes = MAX_RECORD_BYTES + 1;
    let too_long = DecodeError::TooLong { bytes };
    assert_eq!(decode::<u8>(&[long, long].concat()), none(too_long));
    assert_eq!(
        too_long.to_string(),
        "the record's length of 4194305 bytes exceeds the limit of 4194304 bytes"
    );
}

#[test]
fn what_the_config_file_says_anew_comes_before_the_revisions() {
    let (persisted, found) = PersistedState::replay(day(), 0);
    assert_eq!(
        (
            persisted.running,
            persisted.running_number,
            persisted.next_number,
            found
        ),
        (4, 4, 5, StartOutcome::Revision(4))
    );
    let (persisted, found) = PersistedState::replay(day(), 9);
    assert_eq!(
        (
            persisted.running,
            persisted.configured,
            persisted.running_number,
            persisted.next_number
        ),
        (9, 9, 0, 5)
    );
    assert_eq!(found, StartOutcome::Reconfigured);
    assert!(persisted
        .revisions
        .iter()
        .all(|l| l.state != RevisionState::Running));
    // The rewritten state gives the same result.
    assert_eq!(
        PersistedState::replay(vec![Record::Snapshot(persisted)], 9).1,
        StartOutcome::Revision(0)
    );
}

#[test]
fn an_unconfirmed_revision_on_one_whose_rollback_was_never_written_goes_back_before_both() {
    let set = |n| Record::Set {
        revision: revision(n, RevisionState::Unconfirmed),
        document: n as u8,
    };
    let (persisted, _) = PersistedState::replay(
        vec![
            Record::Snapshot(PersistedState::configured(0)),
            set(1),
            set(2),
        ],
        0,
    );
    assert_eq!((persisted.running, persisted.running_number), (0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..Default::default() })]
    #[test]
    fn any_bytes_behind_a_journal_do_it_no_harm(tail in proptest::collection::vec(any::<u8>(), 0..64)) {
        let all = bytes(&day()).concat();
        let decoded = decode::<u8>(&[all.clone(), tail].concat());
        prop_assert_eq!((decoded.records, decoded.valid_bytes), (day(), all.len()));
    }
}
