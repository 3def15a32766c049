//! Pins what a voter of the fleet's log writes to its disk and sends to other voters, as the Raft library's protobuf
//! bytes in hex: the hard state, the snapshot, the log's entries with the records and membership changes inside them,
//! and one message of each kind between two voters. Also pins the JSON of the replicated state. A fixed run of two
//! voters must write exactly the bytes of the sample, the library and a voter must read the sample, and encoding what
//! the library has read must give the same bytes.

mod two_voters;

use ironstair_coordination::record::{Record, Session};
use ironstair_coordination::Fleet;
use ironstair_pinned_forms::{bytes_of_hex, hex, PinnedForms};
use ironstair_raft_replica::{Image, Save, State};
use protobuf::Message as _;
use raft::prelude::{ConfChangeV2, Entry, EntryType, HardState, Message, Snapshot};
use std::collections::{BTreeMap, BTreeSet};
use two_voters::{open, record_run, Limit, GENERATION};

/// The kinds of entries in the run; membership changes stand for themselves.
const ENTRY_KINDS: [&str; 10] = [
    "binding",
    "confirmed",
    "decided",
    "empty",
    "members",
    "refused",
    "staged",
    "taken-back",
    r#"{"name":"b","id":22,"votes":false}"#,
    r#"{"name":"b","id":22,"votes":true}"#,
];
/// The kinds of messages in the run.
const MESSAGE_KINDS: [&str; 9] = [
    "MsgAppend",
    "MsgAppendResponse",
    "MsgHeartbeat",
    "MsgHeartbeatResponse",
    "MsgRequestPreVote",
    "MsgRequestPreVoteResponse",
    "MsgRequestVote",
    "MsgRequestVoteResponse",
    "MsgSnapshot",
];

const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));

/// The disk's content of the voter of that name and id after the writes in the sample.
fn image_of_voter(sample: &str, name: &str, id: u64) -> Image {
    let mut image = Image::blank(id);
    for line in sample.lines() {
        let save = match line.split(' ').collect::<Vec<_>>()[..] {
            [writer, "vote", hard_state] if writer == name => Save {
                hard_state: Some(bytes_of_hex(hard_state)),
                ..Save::default()
            },
            [writer, "snapshot", index, snapshot] if writer == name => Save {
                snapshot: Some((index.parse().unwrap(), bytes_of_hex(snapshot))),
                ..Save::default()
            },
            [writer, "entry", index, entry] if writer == name => Save {
                entries: Some((index.parse().unwrap(), vec![bytes_of_hex(entry)])),
                ..Save::default()
            },
            _ => continue,
        };
        image.apply(save);
    }
    image
}

/// Decodes a message of the library, checks it, and encodes it again.
fn reencode<M: protobuf::Message>(hex: &str, check: impl FnOnce(&M)) -> Vec<u8> {
    let message = M::parse_from_bytes(&bytes_of_hex(hex)).unwrap();
    check(&message);
    message.write_to_bytes().unwrap()
}

/// The kind of an entry. Checks that a record in it is encoded to the same JSON.
fn check_entry(entry: &Entry) -> String {
    match entry.get_entry_type() {
        _ if entry.get_data().is_empty() => "empty".into(),
        EntryType::EntryNormal => {
            let record: Record<Limit> = serde_json::from_slice(entry.get_data()).unwrap();
            assert_eq!(serde_json::to_vec(&record).unwrap(), entry.get_data());
            match record {
                Record::Bootstrapped { .. } => "begun",
                Record::Members { .. } => "members",
                Record::Staged(_) => "staged",
                Record::Refused { .. } => "refused",
                Record::Binding { .. } => "binding",
                Record::Decided { .. } => "decided",
                Record::Confirmed { .. } => "confirmed",
                Record::RolledBack { .. } => "taken-back",
            }
            .into()
        }
        EntryType::EntryConfChangeV2 => {
            let change = ConfChangeV2::parse_from_bytes(entry.get_data()).unwrap();
            String::from_utf8(change.get_context().to_vec()).unwrap()
        }
        EntryType::EntryConfChange => panic!("a replica proposes no EntryConfChange"),
    }
}

#[test]
fn two_replicas_write_and_read_the_bytes_of_the_sample() {
    let run = record_run();
    let written: String = run.lines.iter().map(|line| format!("{line}\n")).collect();
    let sample = FORMS.text("run.txt");
    for (index, (line, expected)) in written.lines().zip(sample.lines()).enumerate() {
        assert_eq!(line, expected, "run.txt, line {}", index + 1);
    }
    assert_eq!(written, sample);
    // The disks of the sample equal those of the run, and a voter can open them.
    for (name, election_rank, id) in [("a", 0, 1), ("b", 1, 22)] {
        let image = image_of_voter(&sample, name, id);
        assert_eq!(image, run.images[name], "{name}");
        let state = open(name, election_rank, &image, run.now).state().clone();
        assert_eq!(
            state.voters,
            BTreeMap::from([("a".to_owned(), 1), ("b".to_owned(), 22)]),
            "{name}"
        );
        assert_eq!(state.fleet.generation, GENERATION, "{name}");
    }
}

/// Decodes the state in a snapshot, and checks that it is encoded to the same bytes.
fn check_state(data: &[u8], position: &str) {
    if !data.is_empty() {
        let state: State<Limit> = serde_json::from_slice(data).unwrap();
        assert_eq!(serde_json::to_vec(&state).unwrap(), data, "{position}");
    }
}

#[test]
fn the_library_decodes_each_line_of_the_sample_and_encodes_the_same_bytes() {
    let sample = FORMS.text("run.txt");
    let mut entry_kinds = BTreeSet::new();
    let mut message_kinds = BTreeSet::new();
    for (index, line) in sample.lines().enumerate() {
        let position = format!("run.txt, line {}", index + 1);
        let (hex, encoded) = match line.split(' ').collect::<Vec<_>>()[..] {
            [_, "vote", hex] => (hex, reencode::<HardState>(hex, |_| ())),
            [_, "snapshot", _, hex] => {
                let check = |snapshot: &Snapshot| check_state(snapshot.get_data(), &position);
                (hex, reencode::<Snapshot>(hex, check))
            }
            [_, "entry", index, hex] => {
                let check = |entry: &Entry| {
                    assert_eq!(entry.index.to_string(), index, "{position}");
                    entry_kinds.insert(check_entry(entry));
                };
                (hex, reencode::<Entry>(hex, check))
            }
            [_, "sends", kind, hex] => {
                let check = |message: &Message| {
                    assert_eq!(format!("{:?}", message.get_msg_type()), kind, "{position}");
                    message_kinds.insert(kind);
                };
                (hex, reencode::<Message>(hex, check))
            }
            _ => panic!("{position}: unknown form of a line: {line}"),
        };
        assert_eq!(encoded, bytes_of_hex(hex), "{position}");
    }
    assert_eq!(
        entry_kinds.iter().map(String::as_str).collect::<Vec<_>>(),
        ENTRY_KINDS
    );
    assert_eq!(message_kinds.into_iter().collect::<Vec<_>>(), MESSAGE_KINDS);
}

#[test]
fn the_replicated_state_is_encoded_and_decoded_as_in_the_sample() {
    let mut fleet = Fleet::default();
    assert!(fleet.apply(Record::Bootstrapped {
        generation: GENERATION,
        document: Limit { limit: 10.5 },
        revision: None
    }));
    let session = Session {
        start: 11,
        steady: true,
        exclusive_resource: "place".into(),
    };
    assert!(fleet.apply(Record::Members {
        joined: vec![("g1".into(), session)],
        left: vec![]
    }));
    let voters = BTreeMap::from([("a".to_owned(), 1), ("b".to_owned(), 22)]);
    let state = State {
        fleet,
        voters,
        joining: BTreeMap::from([("c".to_owned(), 33)]),
    };
    let blank = State {
        fleet: Fleet::default(),
        voters: BTreeMap::new(),
        joining: BTreeMap::new(),
    };
    let states = [state, blank];
    let written: String = states
        .iter()
        .map(|state| serde_json::to_string(state).unwrap() + "\n")
        .collect();
    let sample = FORMS.text("states.jsonl");
    assert_eq!(written, sample);
    let decoded = sample
        .lines()
        .map(|line| serde_json::from_str(line).unwrap());
    assert_eq!(decoded.collect::<Vec<State<Limit>>>(), states);
}
