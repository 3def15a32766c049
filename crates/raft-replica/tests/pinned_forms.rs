//! Pins what a voter of the fleet's log writes to its disk and sends to other voters, as the agreement library's
//! protobuf bytes in hex: the vote, the snapshot, the log's entries with the records and voter changes inside them,
//! and one message of each kind between two voters; and the JSON of the replicated state. A fixed run of two voters
//! must write exactly the sample's bytes; each sample is read by the library and by a voter, and written again as the
//! same bytes.

use ironstair_coordination::leader::Command;
use ironstair_coordination::record::{ChangeProposal, Record, Session};
use ironstair_coordination::{Fleet, Heartbeat, Policy, Validation};
use ironstair_raft_replica::{Image, Output, Replica, Save, State, TICK};
use protobuf::Message as _;
use raft::prelude::{ConfChangeV2, Entry, EntryType, HardState, Message, Snapshot};
use serde::{Deserialize, Serialize};
use slog::{o, Discard, Logger};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::Path;

const LEASE: f64 = 1000.0;
const HISTORY: u64 = 1 << 48 | 7;

fn sample(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/pinned")
        .join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16));
    pairs.collect::<Result<_, _>>().expect("hex digits")
}

/// A stand-in for the policy's document, whose own form belongs to another package.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Limit {
    limit: f64,
}

impl Policy for Limit {
    fn intersection(&self, other: &Self) -> Option<Self> {
        Some(Limit {
            limit: self.limit.min(other.limit),
        })
    }
}

fn open(name: &str, election_rank: usize, image: &Image, now: f64) -> Replica<Limit> {
    let log = Logger::root(Discard, o!());
    Replica::open(name, election_rank, LEASE, image, now, &log).unwrap()
}

/// Voters joined by links that lose nothing, and what they wrote.
struct Run {
    voters: BTreeMap<&'static str, Replica<Limit>>,
    images: BTreeMap<&'static str, Image>,
    now: f64,
    lines: Vec<String>,
    kinds: BTreeSet<(String, String)>,
}

fn disk_lines(name: &str, save: &Save) -> Vec<String> {
    let hard = save
        .hard_state
        .iter()
        .map(|h| format!("{name} vote {}", hex(h)));
    let whole = save
        .snapshot
        .iter()
        .map(|(index, w)| format!("{name} snapshot {index} {}", hex(w)));
    let entries = save.entries.iter().flat_map(|(first, all)| {
        let numbered = (*first..).zip(all);
        numbered
            .map(|(index, e)| format!("{name} entry {index} {}", hex(e)))
            .collect::<Vec<_>>()
    });
    hard.chain(whole).chain(entries).collect()
}

impl Run {
    fn add(&mut self, name: &'static str, election_rank: usize, image: Image) {
        self.lines.extend(disk_lines(name, &image.to_save()));
        self.voters
            .insert(name, open(name, election_rank, &image, self.now));
        self.images.insert(name, image);
    }

    fn carry(&mut self, name: &'static str, outs: Vec<Output<Limit>>) {
        let mut waiting: VecDeque<_> = outs.into_iter().map(|out| (name, out)).collect();
        while let Some((from, out)) = waiting.pop_front() {
            let (by, more) = match out {
                Output::Save(save) => {
                    self.lines.extend(disk_lines(from, &save));
                    self.images.get_mut(from).unwrap().apply(save);
                    (
                        from,
                        self.voters.get_mut(from).unwrap().save_completed(self.now),
                    )
                }
                Output::Send(to, sent) => {
                    let kind = format!(
                        "{:?}",
                        Message::parse_from_bytes(&sent).unwrap().get_msg_type()
                    );
                    if self.kinds.insert((from.into(), kind.clone())) {
                        self.lines
                            .push(format!("{from} sends {kind} {}", hex(&sent)));
                    }
                    let Some((to, replica)) = self.voters.iter_mut().find(|k| *k.0 == to) else {
                        continue;
                    };
                    (*to, replica.handle_message(self.now, from, &sent))
                }
                Output::HeartbeatResponse(..) | Output::NotLeader(..) | Output::DiskOutdated => {
                    continue
                }
            };
            waiting.extend(more.into_iter().map(|out| (by, out)));
        }
    }

    fn tick(&mut self, name: &'static str) {
        let outs = self.voters.get_mut(name).unwrap().tick(self.now);
        self.carry(name, outs);
    }

    /// All voters' time goes on, and a member of the fleet speaks to the first.
    fn go_on(&mut self, ticks: usize, member: bool) {
        for _ in 0..ticks {
            self.now += TICK;
            let names: Vec<&'static str> = self.voters.keys().copied().collect();
            names.iter().for_each(|name| self.tick(name));
            if let Some((name, id)) = self.voters.get("b").and_then(Replica::join_request) {
                self.voters
                    .get_mut("a")
                    .unwrap()
                    .handle_join_request(name, id);
            }
            if member {
                self.heartbeat();
            }
        }
    }

    fn heartbeat(&mut self) {
        let fleet = &self.voters["a"].state().fleet;
        let validated = fleet
            .change
            .as_ref()
            .map(|c| Validation::accepted(c.number));
        let heartbeat = Heartbeat {
            name: "g1".into(),
            start: 11,
            sent: self.now,
            generation: fleet.generation,
            applied_index: fleet.policy_index,
            last_answered: self.now - TICK,
            steady: true,
            validated,
            leaving: false,
            exclusive_resource: "place".into(),
            takes_share: false,
        };
        let outs = self
            .voters
            .get_mut("a")
            .unwrap()
            .heartbeat(self.now, 1, heartbeat);
        self.carry("a", outs);
    }

    fn ask(&mut self, ask: Command<Limit>) {
        let outs = self
            .voters
            .get_mut("a")
            .unwrap()
            .submit(self.now, ask)
            .unwrap();
        self.carry("a", outs);
    }
}

fn change(policy_index: u64, token: u64) -> Command<Limit> {
    Command::Change(ChangeProposal {
        token,
        author: "operator".into(),
        created_at: 1_700_000_000_000.0,
        summary: "a lower limit".into(),
        base_revision: policy_index,
        document: Limit {
            limit: 10.0 - token as f64,
        },
        commit: Some((format!("trial-{token}"), 60_000.0)),
    })
}

/// One voter begins a history, a member comes in, a second voter joins; one change is confirmed, one rolled back and
/// one cancelled before it holds. Then the first voter starts again from its disk and the second is elected.
fn run() -> Run {
    let (voters, images, kinds) = Default::default();
    let mut run = Run {
        voters,
        images,
        now: 0.0,
        lines: Vec::new(),
        kinds,
    };
    run.add(
        "a",
        0,
        Replica::bootstrap_image("a", 1, HISTORY, Limit { limit: 10.5 }, None).unwrap(),
    );
    run.go_on(40, true);
    run.add("b", 1, Image::blank(22));
    run.go_on(30, true);
    for token in 1..=3 {
        run.ask(change(run.voters["a"].state().fleet.policy_index, token));
        let (id, author) = (format!("trial-{token}"), "operator".to_string());
        match token {
            1 => {
                run.go_on(10, true);
                run.ask(Command::Confirm { id });
            }
            2 => {
                run.go_on(10, true);
                run.ask(Command::Cancel {
                    id: Some(id),
                    author,
                });
            }
            // The member is not heard: the change waits for what it makes of it.
            _ => {
                run.go_on(2, false);
                run.ask(Command::Cancel { id: None, author });
            }
        }
        run.go_on(10, true);
    }
    let image = run.images["a"].clone();
    run.voters.insert("a", open("a", 0, &image, run.now));
    for _ in 0..40 {
        run.now += TICK;
        run.tick("b");
    }
    run
}

/// What the sample says a disk holds, read step by step.
fn disk(lines: &str, name: &str, id: u64) -> Image {
    let mut image = Image::blank(id);
    for line in lines.lines() {
        let save = match line.split(' ').collect::<Vec<_>>()[..] {
            [by, "vote", hard] if by == name => Save {
                hard_state: Some(bytes(hard)),
                ..Save::default()
            },
            [by, "snapshot", index, whole] if by == name => Save {
                snapshot: Some((index.parse().unwrap(), bytes(whole))),
                ..Save::default()
            },
            [by, "entry", index, entry] if by == name => Save {
                entries: Some((index.parse().unwrap(), vec![bytes(entry)])),
                ..Save::default()
            },
            _ => continue,
        };
        image.apply(save);
    }
    image
}

/// The same bytes, read by the library and written again.
fn again<M: protobuf::Message>(hex: &str, read: impl FnOnce(&M)) -> Vec<u8> {
    let message = M::parse_from_bytes(&bytes(hex)).unwrap();
    read(&message);
    message.write_to_bytes().unwrap()
}

/// What an entry holds must be the same JSON once it is read and written; what kind it is.
fn kind_of_entry(entry: &Entry) -> String {
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
        EntryType::EntryConfChange => panic!("not written by a keeper"),
    }
}

#[test]
fn two_replicas_write_and_read_the_bytes_of_the_sample() {
    let run = run();
    let written: String = run.lines.iter().map(|l| format!("{l}\n")).collect();
    let text = sample("run.txt");
    for (number, (line, want)) in written.lines().zip(text.lines()).enumerate() {
        assert_eq!(line, want, "run.txt, line {}", number + 1);
    }
    assert_eq!(written, text);
    // Two disks as the sample has them are those of the run, and a voter reads them.
    for (name, election_rank, id) in [("a", 0, 1), ("b", 1, 22)] {
        let image = disk(&text, name, id);
        assert_eq!(image, run.images[name], "{name}");
        let state = open(name, election_rank, &image, run.now).state().clone();
        assert_eq!(
            state.voters,
            BTreeMap::from([("a".to_string(), 1), ("b".to_string(), 22)]),
            "{name}"
        );
        assert_eq!(state.fleet.generation, HISTORY, "{name}");
    }
}

#[test]
fn the_library_reads_each_line_of_the_sample_and_writes_the_same_bytes() {
    let text = sample("run.txt");
    let (mut entries, mut messages) = (BTreeSet::new(), BTreeSet::new());
    for (number, line) in text.lines().enumerate() {
        let at = format!("run.txt, line {}", number + 1);
        let (hex, written) = match line.split(' ').collect::<Vec<_>>()[..] {
            [_, "vote", h] => (h, again::<HardState>(h, |_| ())),
            [_, "snapshot", _, h] => {
                let read = |snapshot: &Snapshot| {
                    if !snapshot.get_data().is_empty() {
                        let state: State<Limit> =
                            serde_json::from_slice(snapshot.get_data()).unwrap();
                        assert_eq!(
                            serde_json::to_vec(&state).unwrap(),
                            snapshot.get_data(),
                            "{at}"
                        );
                    }
                };
                (h, again::<Snapshot>(h, read))
            }
            [_, "entry", index, h] => {
                let read = |entry: &Entry| {
                    assert_eq!(entry.index.to_string(), index, "{at}");
                    entries.insert(kind_of_entry(entry));
                };
                (h, again::<Entry>(h, read))
            }
            [_, "sends", kind, h] => {
                let read = |message: &Message| {
                    assert_eq!(format!("{:?}", message.get_msg_type()), kind, "{at}");
                    messages.insert(kind);
                };
                (h, again::<Message>(h, read))
            }
            _ => panic!("{at}: {line}"),
        };
        assert_eq!(written, bytes(hex), "{at}");
    }
    let wanted = [
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
    assert_eq!(
        entries.iter().map(String::as_str).collect::<Vec<_>>(),
        wanted
    );
    let wanted = [
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
    assert_eq!(messages.into_iter().collect::<Vec<_>>(), wanted);
}

#[test]
fn the_replicated_state_is_read_and_written_as_in_its_sample() {
    let mut fleet = Fleet::default();
    assert!(fleet.apply(Record::Bootstrapped {
        generation: HISTORY,
        document: Limit { limit: 10.5 },
        revision: None
    }));
    let seat = Session {
        start: 11,
        steady: true,
        exclusive_resource: "place".into(),
    };
    assert!(fleet.apply(Record::Members {
        joined: vec![("g1".into(), seat)],
        left: vec![]
    }));
    let voters = BTreeMap::from([("a".to_string(), 1), ("b".to_string(), 22)]);
    let state = State {
        fleet,
        voters,
        joining: BTreeMap::from([("c".to_string(), 33)]),
    };
    let blank = State {
        fleet: Fleet::default(),
        voters: BTreeMap::new(),
        joining: BTreeMap::new(),
    };
    let states = [state, blank];
    let written: String = states
        .iter()
        .map(|s| serde_json::to_string(s).unwrap() + "\n")
        .collect();
    let text = sample("states.jsonl");
    assert_eq!(written, text);
    let read = text.lines().map(|line| serde_json::from_str(line).unwrap());
    assert_eq!(read.collect::<Vec<State<Limit>>>(), states);
}
