//! A voter of a fleet's log. What is agreed on is the library's (`raft`); this drives it without I/O, clock or
//! thread: messages, heartbeats, asks and the ends of writes come in, messages, answers and writes go out.
//!
//! A voter's disk and its voter's number belong together: one that begins without its disk draws another number,
//! and is a voter only once the others have let it in. So a lost disk never votes twice.

mod store;

pub use store::{Image, Save};

use ironstair::Ms;
use ironstair_coordination::leader::{Command, Refusal};
use ironstair_coordination::{
    Fleet, Heartbeat, HeartbeatResponse, Leader, Policy, Record, RevisionSummary,
};
use protobuf::Message as _;
use raft::prelude::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, Entry, EntryType, Message, MessageType,
};
use raft::{Config, Progress, ProgressState, RawNode, SnapshotStatus, StateRole};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use slog::Logger;
use std::collections::BTreeMap;
use store::Store;

/// How often the library's clock is to tick, in ms.
pub const TICK: Ms = 50.0;
/// Ticks between a leader's words, and without one until the next election: the first voter's, and how much later
/// each further one begins, so that no two begin together.
const HEARTBEAT: usize = 2;
const ELECTION: usize = 12;
const LATER: usize = 4;
/// Records behind the whole one, after which the log is cut.
const RECORDS_MOST: u64 = 256;
/// Of one message of the library, and what may be under way to one voter.
const BYTES_MOST: u64 = 1 << 20;
const UNDER_WAY: usize = 64;
/// The whole state is sent once more after this, in ms.
const WHOLE_WITHIN: Ms = 2000.0;
/// How long a blank voter's word holds: it says it again as long as it is blank.
const JOIN_REQUEST_VALID_FOR: Ms = 3000.0;
/// Heartbeats that wait for a quorum's word.
const MAX_HEARTBEATS_IN_FLIGHT: usize = 4096;

/// What every voter reads from the log alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound(serialize = "D: Serialize", deserialize = "D: DeserializeOwned"))]
pub struct State<D> {
    pub fleet: Fleet<D>,
    /// The voters that vote, by name, and those that are to.
    pub voters: BTreeMap<String, u64>,
    pub joining: BTreeMap<String, u64>,
}

/// What a change of the voters is for.
#[derive(Serialize, Deserialize)]
struct Joins {
    name: String,
    id: u64,
    votes: bool,
}

/// What a voter wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Out<D> {
    /// Brought to the disk, then [`Replica::saved`]; there is one at a time.
    Save(Save),
    /// To the voter of that name.
    Send(String, Vec<u8>),
    /// To the member that sent the heartbeat under that token.
    HeartbeatResponse(u64, HeartbeatResponse<D>),
    /// This voter is not the leader; another may be.
    NotLeader(u64, Option<String>),
    /// The leader knows that this disk held more: it is an older copy, and is not to be used any more.
    Older,
}

/// To the quorum, whether this voter is still the leader: which one, since when, and the heartbeats that wait for it.
struct Question {
    nth: u64,
    since: Ms,
    heartbeats: Vec<(u64, Heartbeat)>,
}

pub struct Replica<D> {
    name: String,
    id: u64,
    node: RawNode<Store>,
    state: State<D>,
    applied: u64,
    leader: Option<(u64, Leader<D>)>,
    lease: Ms,
    now: Ms,
    saving: Option<u64>,
    held_back: Vec<Message>,
    /// Heartbeats that wait for the next question to the quorum, and for the answer to the last.
    heartbeats: Vec<(u64, Heartbeat)>,
    asked: Option<Question>,
    questions: u64,
    /// Numbers that blank voters gave, and when they last did.
    knocking: BTreeMap<String, (u64, Ms)>,
    /// Since when a voter is being sent the whole state.
    whole_sent: BTreeMap<u64, Ms>,
    /// Who last spoke to this voter while it was blank.
    teacher: Option<(u64, String)>,
    /// The leader is to look whether there is something to write: not with each heartbeat, or hundreds of members would
    /// each cost a look at all of them.
    look: bool,
    /// The log is to be cut: who is new must find itself among the voters of the whole state.
    cut: bool,
    out: Vec<Out<D>>,
}

/// Why a voter can't begin with what its disk holds.
pub type Fault = String;

fn fault(what: &str) -> impl Fn(raft::Error) -> Fault + '_ {
    move |e| format!("{what}: {e}")
}

impl<D: Policy + Serialize + DeserializeOwned> Replica<D> {
    /// The image of a fleet's first disk: a history begins with this voter alone; the line says how, where it does so
    /// anew.
    ///
    /// # Errors
    /// The document can't be written.
    pub fn begin(
        name: &str,
        id: u64,
        generation: u64,
        document: D,
        revision: Option<RevisionSummary>,
    ) -> Result<Image, Fault> {
        let mut fleet = Fleet::default();
        fleet.apply(Record::Bootstrapped {
            generation,
            document,
            revision,
        });
        let voters = BTreeMap::from([(name.to_string(), id)]);
        let state = State {
            fleet,
            voters,
            joining: BTreeMap::new(),
        };
        let data = serde_json::to_vec(&state).map_err(|e| e.to_string())?;
        Ok(Image::first(id, data))
    }

    /// A voter with what its disk holds; `place` is its place among those named. A blank one has no history, and
    /// waits until the others let it in under its number.
    ///
    /// # Errors
    /// The image is none of a voter's.
    pub fn open(
        name: &str,
        place: usize,
        lease: Ms,
        image: &Image,
        now: Ms,
        log: &Logger,
    ) -> Result<Self, Fault> {
        let store = Store::of(image)?;
        let state = match store.whole() {
            [] => State {
                fleet: Fleet::default(),
                voters: BTreeMap::new(),
                joining: BTreeMap::new(),
            },
            data => serde_json::from_slice(data)
                .map_err(|e| format!("what is kept can't be read: {e}"))?,
        };
        let applied = store.cut();
        let election = ELECTION + LATER * place;
        let config = Config {
            id: image.id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            // Drawn from nothing: the same run from the same seed.
            min_election_tick: election,
            max_election_tick: election + 1,
            applied,
            max_size_per_msg: BYTES_MOST,
            max_inflight_msgs: UNDER_WAY,
            // A leader that reaches no quorum steps down, and one that was cut off does not unseat the next.
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let node = RawNode::new(&config, store, log).map_err(fault("the log can't be opened"))?;
        Ok(Replica {
            name: name.into(),
            id: image.id,
            node,
            state,
            applied,
            leader: None,
            lease,
            now,
            saving: None,
            held_back: Vec::new(),
            heartbeats: Vec::new(),
            asked: None,
            questions: 0,
            knocking: BTreeMap::new(),
            whole_sent: BTreeMap::new(),
            teacher: None,
            look: true,
            cut: false,
            out: Vec::new(),
        })
    }

    pub fn state(&self) -> &State<D> {
        &self.state
    }

    /// Who is the leader, as far as this voter knows.
    pub fn leader_name(&self) -> Option<&str> {
        let leader = self.node.raft.leader_id;
        self.state
            .voters
            .iter()
            .find(|v| *v.1 == leader)
            .map(|v| v.0.as_str())
    }

    /// The leader, where this voter is it and has read the whole log.
    pub fn leader(&self) -> Option<&Leader<D>> {
        self.leader.as_ref().map(|c| &c.1)
    }

    /// Whether it has no history and votes on nothing.
    pub fn is_blank(&self) -> bool {
        !self.state.voters.values().any(|id| *id == self.id)
    }

    /// Whether a voter is being replaced: until that is over, a further lost disk is one too many.
    pub fn replacing(&self) -> bool {
        let conf = self.node.raft.prs().conf().to_conf_state();
        !self.state.joining.is_empty() || !conf.get_voters_outgoing().is_empty()
    }

    /// Its own word to the others while it is blank: name and number.
    pub fn knock(&self) -> Option<(String, u64)> {
        self.is_blank().then(|| (self.name.clone(), self.id))
    }

    /// A blank voter asks to be let in.
    pub fn knocked(&mut self, name: String, id: u64) {
        let named = self.state.voters.contains_key(&name) || self.knocking.len() < UNDER_WAY;
        if named && self.state.voters.get(&name) != Some(&id) {
            self.knocking.insert(name, (id, self.now));
        }
    }

    /// Time has gone on by a tick.
    pub fn tick(&mut self, now: Ms) -> Vec<Out<D>> {
        self.now = now;
        self.node.tick();
        self.look = true;
        self.send_the_whole_again();
        self.go_on()
    }

    /// Bytes of the library of the voter of that name; what can't be read or does not fit is passed over.
    pub fn message(&mut self, now: Ms, from: &str, bytes: &[u8]) -> Vec<Out<D>> {
        self.now = now;
        if let Ok(m) = Message::parse_from_bytes(bytes) {
            // To a number that this voter once had: for a disk that is lost.
            if m.to == self.id {
                // A blank one has no list yet, and is to answer.
                if self.is_blank() {
                    self.teacher = Some((m.from, from.to_string()));
                }
                // Against the library's end: the leader counts on what this disk once told it had. So does the
                // agreement: such a voter begins blank, as if its disk were lost.
                let last = self.node.raft.raft_log.last_index();
                let heartbeat = m.get_msg_type() == MessageType::MsgHeartbeat;
                if heartbeat && m.term >= self.node.raft.term && m.commit > last {
                    self.out.push(Out::Older);
                } else {
                    let _ = self.node.step(m);
                }
            }
        }
        self.go_on()
    }

    /// A member's heartbeat, answered under its token.
    pub fn heartbeat(&mut self, now: Ms, token: u64, heartbeat: Heartbeat) -> Vec<Out<D>> {
        self.now = now;
        if self.node.raft.state != StateRole::Leader
            || self.heartbeats.len() >= MAX_HEARTBEATS_IN_FLIGHT
        {
            let leader = self.leader_name().map(String::from);
            self.out.push(Out::NotLeader(token, leader));
        } else {
            self.heartbeats.push((token, heartbeat));
        }
        self.go_on()
    }

    /// An operator's word; what becomes of it stands in the log.
    ///
    /// # Errors
    /// It can't be as things stand, or this voter is not the leader.
    pub fn ask(&mut self, now: Ms, ask: Command<D>) -> Result<Vec<Out<D>>, Refusal> {
        self.now = now;
        let (_, leader) = self.leader.as_mut().ok_or(Refusal::NotBootstrapped)?;
        leader.ask(&self.state.fleet, ask)?;
        self.look = true;
        Ok(self.go_on())
    }

    /// The disk has what was to be saved.
    pub fn saved(&mut self, now: Ms) -> Vec<Out<D>> {
        self.now = now;
        if let Some(number) = self.saving.take() {
            self.kept(number);
        }
        self.go_on()
    }

    // Against a whole state that got lost on its way, or the word that it came: the library sends no other, and
    // nothing else, until it is told.
    fn send_the_whole_again(&mut self) {
        let waits = |p: &Progress| p.state == ProgressState::Snapshot;
        let waiting: Vec<u64> = self
            .node
            .raft
            .prs()
            .iter()
            .filter(|p| waits(p.1))
            .map(|p| *p.0)
            .collect();
        self.whole_sent.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let sent = *self.whole_sent.entry(id).or_insert(self.now);
            if self.now >= sent + WHOLE_WITHIN {
                self.whole_sent.remove(&id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    fn go_on(&mut self) -> Vec<Out<D>> {
        loop {
            self.sit();
            self.ask_the_quorum();
            self.write();
            if self.saving.is_some() || !self.node.has_ready() {
                return std::mem::take(&mut self.out);
            }
            self.take_what_is_ready();
        }
    }

    /// Takes the leader once the whole log up to its own term is read; leaves it with the term.
    fn sit(&mut self) {
        let raft = &self.node.raft;
        let (term, leads) = (raft.term, raft.state == StateRole::Leader);
        self.leader = self.leader.take().filter(|c| leads && c.0 == term);
        if leads && self.leader.is_none() {
            self.leader = Some((term, Leader::new(self.now, self.lease)));
        }
        if !leads {
            let asked = self.asked.take().into_iter().flat_map(|a| a.heartbeats);
            let lost: Vec<(u64, Heartbeat)> = asked.chain(self.heartbeats.drain(..)).collect();
            self.out.extend(
                lost.into_iter()
                    .map(|(token, _)| Out::NotLeader(token, None)),
            );
        }
    }

    fn has_read_all(&self) -> bool {
        let raft = &self.node.raft;
        raft.commit_to_current_term() && self.applied == raft.raft_log.committed
    }

    // Against a leader that was cut off or stopped: others may have another by now.
    fn ask_the_quorum(&mut self) {
        let stale = self
            .asked
            .as_ref()
            .is_some_and(|a| self.now >= a.since + self.lease);
        if self.leader.is_none() || self.heartbeats.is_empty() || self.asked.is_some() && !stale {
            return;
        }
        if !self.node.raft.commit_to_current_term() {
            return;
        }
        // Their members ask again.
        let lost = self.asked.take().into_iter().flat_map(|a| a.heartbeats);
        self.out
            .extend(lost.map(|(token, _)| Out::NotLeader(token, None)));
        self.questions += 1;
        let heartbeats = std::mem::take(&mut self.heartbeats);
        self.asked = Some(Question {
            nth: self.questions,
            since: self.now,
            heartbeats,
        });
        self.node.read_index(self.questions.to_le_bytes().to_vec());
    }

    fn write(&mut self) {
        if !self.has_read_all() || !std::mem::take(&mut self.look) {
            return;
        }
        let Some((_, leader)) = self.leader.as_mut() else {
            return;
        };
        if let Some(record) = leader.next(self.now, &self.state.fleet) {
            let taken =
                serde_json::to_vec(&record).is_ok_and(|b| self.node.propose(Vec::new(), b).is_ok());
            if !taken {
                leader.applied();
            }
        }
        self.let_in();
    }

    /// One voter at a time: first it learns the log, then it votes in place of the number it had.
    fn let_in(&mut self) {
        let State {
            voters, joining, ..
        } = &self.state;
        // Against a number given long ago: nobody bears it any more, and it would stand in everybody's way.
        let now = self.now;
        self.knocking.retain(|name, (id, at)| {
            voters.get(name) != Some(id) && now < *at + JOIN_REQUEST_VALID_FOR
        });
        if self.node.raft.has_pending_conf() {
            return;
        }
        let Some((name, id)) = self.knocking.iter().next().map(|(n, i)| (n.clone(), i.0)) else {
            return;
        };
        let known = joining.get(&name) == Some(&id);
        let matched = self.node.raft.prs().get(id).map_or(0, |p| p.matched);
        let votes = known && matched + 1 >= self.node.raft.raft_log.committed;
        if known && !votes {
            return;
        }
        let single = |id: u64, what: ConfChangeType| {
            let mut c = ConfChangeSingle::default();
            c.set_node_id(id);
            c.set_change_type(what);
            c
        };
        let kind = if votes {
            ConfChangeType::AddNode
        } else {
            ConfChangeType::AddLearnerNode
        };
        let before = if votes {
            voters.get(&name)
        } else {
            joining.get(&name)
        };
        let mut change = ConfChangeV2::default();
        let changes = before
            .map(|b| single(*b, ConfChangeType::RemoveNode))
            .into_iter();
        change.set_changes(changes.chain([single(id, kind)]).collect::<Vec<_>>().into());
        let context = serde_json::to_vec(&Joins { name, id, votes }).unwrap_or_default();
        change.set_context(context.into());
        let _ = self.node.propose_conf_change(Vec::new(), change);
    }

    fn take_what_is_ready(&mut self) {
        let mut ready = self.node.ready();
        self.send(ready.take_messages());
        if !ready.snapshot().is_empty() {
            let snapshot = ready.snapshot().clone();
            if let Ok(state) = serde_json::from_slice(snapshot.get_data()) {
                self.state = state;
            }
            self.applied = snapshot.get_metadata().index;
            self.node.mut_store().replace(snapshot);
        }
        let committed = ready.take_committed_entries();
        let hard = ready.hs().cloned();
        self.node.mut_store().append(ready.take_entries(), hard);
        self.apply(committed);
        for read in ready.take_read_states() {
            self.confirmed(&read.request_ctx);
        }
        self.held_back = ready.take_persisted_messages();
        let number = ready.number();
        self.node.advance_append_async(ready);
        match self.node.mut_store().unsaved() {
            Some(save) => {
                self.saving = Some(number);
                self.out.push(Out::Save(save));
            }
            None => self.kept(number),
        }
    }

    /// What was ready is on the disk: what waited for that goes out.
    fn kept(&mut self, number: u64) {
        self.node.on_persist_ready(number);
        self.node.advance_apply_to(self.applied);
        // Not before: the library looks at what it counts as not applied. The disk hears of it with the next step.
        if std::mem::take(&mut self.cut) || self.applied > self.node.store().cut() + RECORDS_MOST {
            if let Ok(data) = serde_json::to_vec(&self.state) {
                let conf = self.node.raft.prs().conf().to_conf_state();
                self.node.mut_store().cut_at(self.applied, conf, data);
            }
        }
        let held = std::mem::take(&mut self.held_back);
        self.send(held);
    }

    fn confirmed(&mut self, context: &[u8]) {
        if self
            .asked
            .as_ref()
            .is_none_or(|a| a.nth.to_le_bytes() != context)
        {
            return;
        }
        let Some(Question { heartbeats, .. }) = self.asked.take() else {
            return;
        };
        let whole = self.has_read_all();
        let Some((_, leader)) = self.leader.as_mut() else {
            return;
        };
        for (token, heartbeat) in heartbeats {
            self.out.push(match whole {
                true => Out::HeartbeatResponse(
                    token,
                    leader.heartbeat(self.now, &self.state.fleet, &heartbeat),
                ),
                // It decided more than it has read: the next heartbeat will do.
                false => Out::NotLeader(token, Some(self.name.clone())),
            });
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        self.look |= !entries.is_empty();
        for entry in entries {
            self.applied = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryNormal => {
                    if let Ok(record) = serde_json::from_slice::<Record<D>>(entry.get_data()) {
                        self.state.fleet.apply(record);
                        self.leader.iter_mut().for_each(|c| c.1.applied());
                    }
                }
                EntryType::EntryConfChangeV2 => {
                    let Ok(change) = ConfChangeV2::parse_from_bytes(entry.get_data()) else {
                        continue;
                    };
                    if let Ok(j) = serde_json::from_slice::<Joins>(change.get_context()) {
                        let State {
                            voters, joining, ..
                        } = &mut self.state;
                        if j.votes {
                            joining.remove(&j.name);
                            voters.insert(j.name, j.id);
                        } else {
                            joining.insert(j.name, j.id);
                        }
                    }
                    if let Ok(conf) = self.node.apply_conf_change(&change) {
                        self.node.mut_store().set_conf(conf);
                        self.cut = true;
                    }
                }
                EntryType::EntryConfChange => {}
            }
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for m in messages {
            let State {
                voters, joining, ..
            } = &self.state;
            let to = voters
                .iter()
                .chain(joining)
                .find(|(_, id)| **id == m.to)
                .map(|(n, _)| n.clone());
            let teacher = self
                .teacher
                .as_ref()
                .filter(|t| t.0 == m.to)
                .map(|t| t.1.clone());
            let to = to.or(teacher);
            if let (Some(to), Ok(bytes)) = (to, m.write_to_bytes()) {
                self.out.push(Out::Send(to, bytes));
            }
        }
    }
}
