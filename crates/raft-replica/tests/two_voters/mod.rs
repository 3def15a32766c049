//! A fixed run of two voters, with their writes and messages.

use ironstair_coordination::leader::Command;
use ironstair_coordination::record::ChangeProposal;
use ironstair_coordination::{Heartbeat, Policy, Validation};
use ironstair_raft_replica::{Image, Output, Replica, Save, TICK};
use protobuf::Message as _;
use raft::prelude::Message;
use serde::{Deserialize, Serialize};
use slog::{o, Discard, Logger};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) const LEASE: f64 = 1000.0;
pub(crate) const GENERATION: u64 = 1 << 48 | 7;

/// A policy document for the test; the form of the real one belongs to another package.
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

/// Voters with links that lose nothing, and their writes.
pub(crate) struct Run {
    pub voters: BTreeMap<&'static str, Replica<Limit>>,
    pub images: BTreeMap<&'static str, Image>,
    pub now: f64,
    pub lines: Vec<String>,
    pub kinds: BTreeSet<(String, String)>,
}

pub(crate) fn disk_lines(name: &str, save: &Save) -> Vec<String> {
    let hard = save
        .hard_state
        .iter()
        .map(|h| format!("{name} vote {}", super::hex(h)));
    let whole = save
        .snapshot
        .iter()
        .map(|(index, w)| format!("{name} snapshot {index} {}", super::hex(w)));
    let entries = save.entries.iter().flat_map(|(first, all)| {
        let numbered = (*first..).zip(all);
        numbered
            .map(|(index, e)| format!("{name} entry {index} {}", super::hex(e)))
            .collect::<Vec<_>>()
    });
    hard.chain(whole).chain(entries).collect()
}

impl Run {
    pub(crate) fn add(&mut self, name: &'static str, election_rank: usize, image: Image) {
        self.lines.extend(disk_lines(name, &image.to_save()));
        self.voters
            .insert(name, open(name, election_rank, &image, self.now));
        self.images.insert(name, image);
    }

    pub(crate) fn carry(&mut self, name: &'static str, outputs: Vec<Output<Limit>>) {
        let mut waiting: VecDeque<_> = outputs.into_iter().map(|output| (name, output)).collect();
        while let Some((from, output)) = waiting.pop_front() {
            let (by, more) = match output {
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
                            .push(format!("{from} sends {kind} {}", super::hex(&sent)));
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
            waiting.extend(more.into_iter().map(|output| (by, output)));
        }
    }

    pub(crate) fn tick(&mut self, name: &'static str) {
        let outputs = self.voters.get_mut(name).unwrap().tick(self.now);
        self.carry(name, outputs);
    }

    /// Advances the time of all voters; a member sends heartbeats to the first.
    pub(crate) fn go_on(&mut self, ticks: usize, member: bool) {
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

    pub(crate) fn heartbeat(&mut self) {
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
            uses_share: false,
        };
        let outputs = self
            .voters
            .get_mut("a")
            .unwrap()
            .heartbeat(self.now, 1, heartbeat);
        self.carry("a", outputs);
    }

    pub(crate) fn submit(&mut self, command: Command<Limit>) {
        let outputs = self
            .voters
            .get_mut("a")
            .unwrap()
            .submit(self.now, command)
            .unwrap();
        self.carry("a", outputs);
    }
}

pub(crate) fn change(policy_index: u64, token: u64) -> Command<Limit> {
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
/// cancelled before it is decided. Then the first voter starts again from its disk and the second is elected.
pub(crate) fn run() -> Run {
    let mut run = Run {
        voters: BTreeMap::new(),
        images: BTreeMap::new(),
        now: 0.0,
        lines: Vec::new(),
        kinds: BTreeSet::new(),
    };
    run.add(
        "a",
        0,
        Replica::bootstrap_image("a", 1, GENERATION, Limit { limit: 10.5 }, None).unwrap(),
    );
    run.go_on(40, true);
    run.add("b", 1, Image::blank(22));
    run.go_on(30, true);
    for token in 1..=3 {
        run.submit(change(run.voters["a"].state().fleet.policy_index, token));
        let id = format!("trial-{token}");
        let author = "operator".to_owned();
        match token {
            1 => {
                run.go_on(10, true);
                run.submit(Command::Confirm { id });
            }
            2 => {
                run.go_on(10, true);
                run.submit(Command::Cancel {
                    id: Some(id),
                    author,
                });
            }
            // The member sends no heartbeat, so that the change waits for its validation.
            _ => {
                run.go_on(2, false);
                run.submit(Command::Cancel { id: None, author });
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
