//! Decoding and replay of journals that are truncated or damaged at any byte, or followed by foreign bytes.

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

/// The records of a journal with every kind of record.
fn sample_records() -> Vec<Record<u8>> {
    let set = |number, state| Record::Set {
        revision: revision(number, state),
        document: number as u8,
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

/// The running settings after each number of sample records. An unconfirmed revision is never running after a start.
const RUNNING_AFTER: [u8; 8] = [0, 0, 1, 1, 2, 2, 2, 4];

/// The bytes of each record.
fn encoded(records: &[Record<u8>]) -> Vec<Vec<u8>> {
    records
        .iter()
        .map(|record| encode(record).unwrap())
        .collect()
}

#[test]
fn journal_truncated_at_any_byte_restores_the_last_complete_revision() {
    let parts = encoded(&sample_records());
    let all = parts.concat();
    for cut in 0..=all.len() {
        let mut ends = parts.iter().scan(0, |end, part| {
            *end += part.len();
            Some(*end)
        });
        let complete = ends.clone().filter(|&end| end <= cut).count();
        let Decoded {
            records,
            valid_bytes,
            error,
        } = decode::<u8>(&all[..cut]);
        assert_eq!(
            (records.len(), error.is_none()),
            (complete, valid_bytes == cut),
            "{cut}"
        );
        let (persisted, outcome) = PersistedState::replay(records, 0);
        assert_eq!(persisted.running, RUNNING_AFTER[complete], "{cut}");
        let was_unconfirmed = [3, 5].contains(&complete);
        assert_eq!(
            matches!(outcome, StartOutcome::RolledBack(_)),
            was_unconfirmed,
            "{cut}"
        );
        assert!(ends.next().is_some());
    }
}

#[test]
fn journal_with_any_byte_changed_keeps_the_records_before_that_byte() {
    let parts = encoded(&sample_records());
    let all = parts.concat();
    for offset in 0..all.len() {
        let mut damaged = all.clone();
        damaged[offset] ^= 0x20;
        let decoded = decode::<u8>(&damaged);
        assert!(
            decoded.error.is_some() && decoded.valid_bytes <= offset,
            "{offset}"
        );
        assert_eq!(decoded.records, sample_records()[..decoded.records.len()]);
    }
}

#[test]
fn zeros_and_too_long_lengths_are_not_records() {
    let no_records = |error| Decoded {
        records: Vec::new(),
        valid_bytes: 0,
        error: Some(error),
    };
    assert_eq!(decode::<u8>(&[0; 64]), no_records(DecodeError::Checksum));
    assert_eq!(
        DecodeError::Checksum.to_string(),
        "the record's checksum does not match"
    );
    let length = (MAX_RECORD_BYTES as u32 + 1).to_le_bytes();
    let bytes = MAX_RECORD_BYTES + 1;
    let too_long = DecodeError::TooLong { bytes };
    assert_eq!(
        decode::<u8>(&[length, length].concat()),
        no_records(too_long)
    );
    assert_eq!(
        too_long.to_string(),
        "the record's length of 4194305 bytes exceeds the limit of 4194304 bytes"
    );
}

#[test]
fn changed_configuration_file_takes_precedence_over_the_revisions() {
    let (persisted, outcome) = PersistedState::replay(sample_records(), 0);
    assert_eq!(
        (
            persisted.running,
            persisted.running_number,
            persisted.next_number,
            outcome
        ),
        (4, 4, 5, StartOutcome::Revision(4))
    );
    let (persisted, outcome) = PersistedState::replay(sample_records(), 9);
    assert_eq!(
        (
            persisted.running,
            persisted.configured,
            persisted.running_number,
            persisted.next_number
        ),
        (9, 9, 0, 5)
    );
    assert_eq!(outcome, StartOutcome::Reconfigured);
    assert!(persisted
        .revisions
        .iter()
        .all(|revision| revision.state != RevisionState::Running));
    // The rewritten state gives the same result.
    assert_eq!(
        PersistedState::replay(vec![Record::Snapshot(persisted)], 9).1,
        StartOutcome::Revision(0)
    );
}

#[test]
fn unconfirmed_revision_after_one_whose_rollback_was_not_written_is_rolled_back_past_both() {
    let unconfirmed = |number| Record::Set {
        revision: revision(number, RevisionState::Unconfirmed),
        document: number as u8,
    };
    let (persisted, _) = PersistedState::replay(
        vec![
            Record::Snapshot(PersistedState::configured(0)),
            unconfirmed(1),
            unconfirmed(2),
        ],
        0,
    );
    assert_eq!((persisted.running, persisted.running_number), (0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..Default::default() })]
    #[test]
    fn records_before_any_trailing_bytes_are_decoded(tail in proptest::collection::vec(any::<u8>(), 0..64)) {
        let all = encoded(&sample_records()).concat();
        let decoded = decode::<u8>(&[all.clone(), tail].concat());
        prop_assert_eq!((decoded.records, decoded.valid_bytes), (sample_records(), all.len()));
    }
}
