//! Pins the JSON of every type of this package that is stored or sent to another process: the records of the fleet's
//! log, the replicated fleet state, a member's heartbeat and the response to it, and an operator's command. Each line
//! of a sample under `pinned/` must deserialize to the value in this file, and serialize to the same bytes again. Lines
//! that earlier versions wrote, without later fields, must still be readable.

use ironstair_coordination::fleet::{Change, Fleet, PendingConfirmation, Step};
use ironstair_coordination::leader::Command;
use ironstair_coordination::record::{
    ChangeProposal, Record, RevisionState, RevisionSummary, Session,
};
use ironstair_coordination::{Heartbeat, HeartbeatResponse, Share, Validation};
use ironstair_pinned_forms::PinnedForms;
use serde::{de::DeserializeOwned, Serialize};
use serde_json::{json, Value as Json};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

/// Checks that each line of a sample is the JSON of the value at its position, in both directions.
fn check_sample<T: Serialize + DeserializeOwned + PartialEq + Debug>(file: &str, values: &[T]) {
    let text = FORMS.text(file);
    assert_eq!(
        text.lines().count(),
        values.len(),
        "{file}: number of lines"
    );
    for (number, (line, value)) in text.lines().zip(values).enumerate() {
        let position = format!("{file}, line {}", number + 1);
        assert_eq!(
            serde_json::to_string(value).unwrap(),
            line,
            "{position}: serialized"
        );
        let read: T =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{position}: {error}"));
        assert_eq!(&read, value, "{position}: deserialized");
        assert_eq!(
            serde_json::to_string(&read).unwrap(),
            line,
            "{position}: serialized again"
        );
    }
}

fn document() -> Json {
    json!({"gateways": 2, "limit": 10.5})
}

fn session(start: u64, steady: bool, exclusive_resource: &str) -> Session {
    Session {
        start,
        steady,
        exclusive_resource: exclusive_resource.into(),
    }
}

fn proposal(commit: Option<(String, f64)>) -> ChangeProposal<Json> {
    ChangeProposal {
        token: 42,
        author: "operator".into(),
        created_at: 1_700_000_000_000.5,
        summary: "a new limit".into(),
        base_revision: 3,
        document: document(),
        commit,
    }
}

fn revision(number: u64, state: RevisionState) -> RevisionSummary {
    let refused =
        (state == RevisionState::Refused).then(|| ("g2".to_owned(), "no such engine".to_owned()));
    let commit = (state == RevisionState::Unconfirmed).then(|| "trial-1".to_owned());
    let (author, summary) = ("operator".into(), "a new limit".into());
    RevisionSummary {
        number,
        token: 42,
        author,
        created_at: 1_700_000_000_000.5,
        summary,
        state,
        commit,
        refused,
    }
}

const REVISION_STATES: [RevisionState; 7] = [
    RevisionState::Staged,
    RevisionState::Binding,
    RevisionState::Running,
    RevisionState::Unconfirmed,
    RevisionState::Replaced,
    RevisionState::RolledBack,
    RevisionState::Refused,
];

fn records() -> Vec<Record<Json>> {
    vec![
        Record::Bootstrapped {
            generation: 1 << 48 | 7,
            document: document(),
            revision: None,
        },
        Record::Bootstrapped {
            generation: 2 << 48,
            document: document(),
            revision: Some(revision(0, RevisionState::Running)),
        },
        Record::Members {
            joined: vec![
                ("g1".into(), session(11, true, "")),
                ("g2".into(), session(12, false, "boot net addr")),
            ],
            left: vec![("g3".into(), 13)],
        },
        Record::Staged(proposal(None)),
        Record::Staged(proposal(Some(("trial-1".into(), 60_000.0)))),
        Record::Refused {
            number: 4,
            by: "g2".into(),
            reason: "no such engine".into(),
        },
        Record::Binding { number: 5 },
        Record::Decided { number: 6 },
        Record::Confirmed { number: 7 },
        Record::RolledBack { number: 8 },
    ]
}

/// The index of a record's variant. The match does not compile without a new variant, which must be added to `records`
/// too.
fn variant_index(record: &Record<Json>) -> usize {
    match record {
        Record::Bootstrapped { .. } => 0,
        Record::Members { .. } => 1,
        Record::Staged(_) => 2,
        Record::Refused { .. } => 3,
        Record::Binding { .. } => 4,
        Record::Decided { .. } => 5,
        Record::Confirmed { .. } => 6,
        Record::RolledBack { .. } => 7,
    }
}

fn fleets() -> Vec<Fleet<Json>> {
    let change = |step, commit, is_rollback| Change {
        number: 5,
        document: document(),
        step,
        commit,
        is_rollback,
    };
    let members = BTreeMap::from([
        ("g1".to_owned(), session(11, true, "")),
        ("g2".to_owned(), session(12, false, "boot net addr")),
    ]);
    let full = Fleet {
        generation: 1 << 48 | 7,
        running: Some((4, document())),
        policy_index: 9,
        change: Some(change(
            Step::Staged,
            Some(("trial-1".to_owned(), 60_000.0)),
            false,
        )),
        pending_confirmation: None,
        members,
        revisions: REVISION_STATES
            .iter()
            .zip(1..)
            .map(|(state, number)| revision(number, *state))
            .collect::<VecDeque<_>>(),
        next_number: 8,
    };
    let pending_confirmation = Some(PendingConfirmation {
        id: "trial-1".into(),
        confirm_within: 60_000.0,
        previous: (3, json!({"gateways": 1})),
    });
    let binding = Some(change(Step::Binding, None, true));
    vec![
        Fleet::default(),
        Fleet {
            pending_confirmation,
            change: None,
            ..full.clone()
        },
        Fleet {
            change: binding,
            ..full.clone()
        },
        full,
    ]
}

fn heartbeats() -> Vec<Heartbeat> {
    let heartbeat = Heartbeat {
        name: "g1".into(),
        start: 11,
        sent: 1000.25,
        generation: 1 << 48 | 7,
        applied_index: 9,
        last_answered: 900.0,
        steady: false,
        validated: None,
        leaving: false,
        exclusive_resource: "boot net addr".into(),
        uses_share: true,
    };
    vec![
        Heartbeat {
            validated: Some(Validation::accepted(5)),
            ..heartbeat.clone()
        },
        Heartbeat {
            validated: Some(Validation::rejected(5, "no such engine")),
            steady: true,
            ..heartbeat.clone()
        },
        Heartbeat {
            leaving: true,
            exclusive_resource: String::new(),
            uses_share: false,
            ..heartbeat.clone()
        },
        heartbeat,
    ]
}

fn responses() -> Vec<HeartbeatResponse<Json>> {
    let without_lease = HeartbeatResponse {
        start: 11,
        sent: 1000.25,
        generation: 1 << 48 | 7,
        policy_index: 9,
        apply: None,
        validate: None,
        lease: None,
        reason: Some("the history is another".into()),
        heartbeat_soon: false,
        share: None,
    };
    let full = HeartbeatResponse {
        apply: Some((4, document())),
        validate: Some((5, document())),
        lease: Some(5000.0),
        reason: None,
        heartbeat_soon: true,
        share: Some(Share {
            gateway_count: 2.5,
            is_granted: true,
        }),
        ..without_lease.clone()
    };
    vec![full, without_lease]
}

fn commands() -> Vec<Command<Json>> {
    vec![
        Command::Change(proposal(Some(("trial-1".into(), 60_000.0)))),
        Command::Confirm {
            id: "trial-1".into(),
        },
        Command::Cancel {
            id: Some("trial-1".into()),
            author: "operator".into(),
        },
        Command::Cancel {
            id: None,
            author: "operator".into(),
        },
    ]
}

#[test]
fn every_stored_or_sent_type_matches_its_sample() {
    check_sample("records.jsonl", &records());
    check_sample("fleets.jsonl", &fleets());
    check_sample("heartbeats.jsonl", &heartbeats());
    check_sample("answers.jsonl", &responses());
    check_sample("asks.jsonl", &commands());
    check_sample("standings.jsonl", &REVISION_STATES);
}

#[test]
fn samples_contain_every_variant_of_a_record() {
    let mut variants: Vec<usize> = records().iter().map(variant_index).collect();
    variants.dedup();
    assert_eq!(variants, (0..8).collect::<Vec<_>>());
}

/// The sample contains one line for each type, in this order: a session, a heartbeat, a response.
#[test]
fn missing_fields_of_earlier_versions_get_their_defaults() {
    let text = FORMS.text("earlier.jsonl");
    let [old_session, old_heartbeat, old_response] = text.lines().collect::<Vec<_>>()[..] else {
        panic!("earlier.jsonl: expected three lines")
    };
    let read: Session = serde_json::from_str(old_session).unwrap();
    assert_eq!(read, session(11, true, ""));
    let read: Heartbeat = serde_json::from_str(old_heartbeat).unwrap();
    assert_eq!(
        read,
        Heartbeat {
            exclusive_resource: String::new(),
            uses_share: false,
            ..heartbeats().remove(0)
        }
    );
    let read: HeartbeatResponse<Json> = serde_json::from_str(old_response).unwrap();
    assert_eq!(
        read,
        HeartbeatResponse {
            heartbeat_soon: false,
            share: None,
            ..responses().remove(0)
        }
    );
}
