//! A fixed run of two voters that records their writes and messages.

use ironstair_coordination::leader::Command;
use ironstair_coordination::record::ChangeProposal;
use ironstair_coordination::{Heartbeat, Policy, Validation};
use ironstair_raft_replica::{Image, Output, Replica, Save, TICK};
use protobuf::Message as _;
use raft::prelude::Message;
use serde::{Deserialize, Serialize};
use slog::{o, Discard, Logger};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// In ms.
pub(crate) const LEASE: f64 = 1000.0;
pub(crate) const GENERATION: u64 = 1 << 48 | 7;

/// A policy document for the test; another package defines the real one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Limit {
    pub limit: f64,
}

impl Policy for Limit {
    fn intersection(&self, other: &Self) -> Option<Self> {
        Some(Limit {
            limit: self.limit.min(other.limit),
        })
    }
}

pub(crate) fn open(name: &str, election_rank: usize, image: &Image, now: f64) -> Replica<Limit> {
    let log = Logger::root(Discard, o!());
    Replica::open(name, election_rank, LEASE, image, now, &log).unwrap()
}

/// Voters that receive each other's messages at once, and the record of their writes and messages.
pub(crate) struct RecordedRun {
    pub voters: BTreeMap<&'static str, Replica<Limit>>,
    pub images: BTreeMap<&'static str, Image>,
    pub now: f64,
    /// The writes of each voter and its first message of each kind, a line each.
    pub lines: Vec<String>,
    /// The senders and kinds of the recorded messages.
    pub recorded_kinds: BTreeSet<(String, String)>,
}

/// The lines that record a write of the voter of that name.
pub(crate) fn save_lines(name: &str, save: &Save) -> Vec<String> {
    let hard_state = save
        .hard_state
        .iter()
        .map(|hard_state| format!("{name} vote {}", super::hex(hard_state)));
    let snapshot = save
        .snapshot
        .iter()
        .map(|(index, snapshot)| format!("{name} snapshot {index} {}", super::hex(snapshot)));
    let entries = save.entries.iter().flat_map(|(first_index, entries)| {
        let numbered = (*first_index..).zip(entries);
        numbered
            .map(|(index, entry)| format!("{name} entry {index} {}", super::hex(entry)))
            .collect::<Vec<_>>()
    });
    hard_state.chain(snapshot).chain(entries).collect()
}

impl RecordedRun {
    /// Starts a voter from that disk.
    pub(crate) fn add_voter(&mut self, name: &'static str, election_rank: usize, image: Image) {
        self.lines.extend(save_lines(name, &image.to_save()));
        self.voters
            .insert(name, open(name, election_rank, &image, self.now));
        self.images.insert(name, image);
    }

    /// Carries out a voter's outputs, and those that follow from them, until none is left.
    pub(crate) fn handle_outputs(&mut self, name: &'static str, outputs: Vec<Output<Limit>>) {
        let mut queue: VecDeque<_> = outputs.into_iter().map(|output| (name, output)).collect();
        while let Some((from, output)) = queue.pop_front() {
            let (voter, new_outputs) = match output {
                Output::Save(save) => {
                    self.lines.extend(save_lines(from, &save));
                    self.images.get_mut(from).unwrap().apply(save);
                    (
                        from,
                        self.voters.get_mut(from).unwrap().save_completed(self.now),
                    )
                }
                Output::Send(to, bytes) => {
                    let kind = format!(
                        "{:?}",
                        Message::parse_from_bytes(&bytes).unwrap().get_msg_type()
                    );
                    if self.recorded_kinds.insert((from.into(), kind.clone())) {
                        self.lines
                            .push(format!("{from} sends {kind} {}", super::hex(&bytes)));
                    }
                    let mut voters = self.voters.iter_mut();
                    let Some((to, replica)) = voters.find(|(name, _)| **name == to) else {
                        continue;
                    };
                    (*to, replica.handle_message(self.now, from, &bytes))
                }
                Output::HeartbeatResponse(..) | Output::NotLeader(..) | Output::DiskOutdated => {
                    continue
                }
            };
            queue.extend(new_outputs.into_iter().map(|output| (voter, output)));
        }
    }

    pub(crate) fn tick(&mut self, name: &'static str) {
        let outputs = self.voters.get_mut(name).unwrap().tick(self.now);
        self.handle_outputs(name, outputs);
    }

    /// Advances the time of all voters. If `with_heartbeats`, a member sends a heartbeat to the first voter at each tick.
    pub(crate) fn advance(&mut self, ticks: usize, with_heartbeats: bool) {
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
            if with_heartbeats {
                self.heartbeat();
            }
        }
    }

    pub(crate) fn heartbeat(&mut self) {
        let fleet = &self.voters["a"].state().fleet;
        let validated = fleet
            .change
            .as_ref()
            .map(|change| Validation::accepted(change.number));
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
            uses_share: false,
        };
        let outputs = self
            .voters
            .get_mut("a")
            .unwrap()
            .heartbeat(self.now, 1, heartbeat);
        self.handle_outputs("a", outputs);
    }

    pub(crate) fn submit(&mut self, command: Command<Limit>) {
        let outputs = self
            .voters
            .get_mut("a")
            .unwrap()
            .submit(self.now, command)
            .unwrap();
        self.handle_outputs("a", outputs);
    }
}

/// The command that proposes a lower limit, which has to be confirmed.
pub(crate) fn propose_limit(policy_index: u64, token: u64) -> Command<Limit> {
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

/// One voter is bootstrapped, a member joins, a second voter joins. One change is confirmed, one rolled back and one
/// cancelled before it is decided. Then the first voter restarts from its disk and the second is elected.
pub(crate) fn record_run() -> RecordedRun {
    let mut run = RecordedRun {
        voters: BTreeMap::new(),
        images: BTreeMap::new(),
        now: 0.0,
        lines: Vec::new(),
        recorded_kinds: BTreeSet::new(),
    };
    run.add_voter(
        "a",
        0,
        Replica::bootstrap_image("a", 1, GENERATION, Limit { limit: 10.5 }, None).unwrap(),
    );
    run.advance(40, true);
    run.add_voter("b", 1, Image::blank(22));
    run.advance(30, true);
    for token in 1..=3 {
        run.submit(propose_limit(
            run.voters["a"].state().fleet.policy_index,
            token,
        ));
        let id = format!("trial-{token}");
        let author = "operator".to_owned();
        match token {
            1 => {
                run.advance(10, true);
                run.submit(Command::Confirm { id });
            }
            2 => {
                run.advance(10, true);
                run.submit(Command::Cancel {
                    id: Some(id),
                    author,
                });
            }
            // The member sends no heartbeat, so the change waits for its validation until it is cancelled.
            _ => {
                run.advance(2, false);
                run.submit(Command::Cancel { id: None, author });
            }
        }
        run.advance(10, true);
    }
    let image = run.images["a"].clone();
    run.voters.insert("a", open("a", 0, &image, run.now));
    for _ in 0..40 {
        run.now += TICK;
        run.tick("b");
    }
    run
}
