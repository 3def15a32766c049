//! The owner of a gateway's part in its fleet: one mailbox, one task. What it waits for (a disk, a peer, the
//! gateway's thread) is waited for by tasks of its own, which post how it ended.

use crate::config::FleetConfig;
use crate::fault_injection::taken_out;
use crate::peer::Way;
use crate::proto::Word;
use crate::server::{self, Own};
use crate::status;
use ironstair::Ms;
use ironstair_coordination::generation::{first, successor, supersedes};
use ironstair_coordination::leader::{Command, Refusal};
use ironstair_coordination::member::{Action, Input};
use ironstair_coordination::record::ChangeProposal;
use ironstair_coordination::{
    grace_period, Heartbeat, HeartbeatResponse, Member, RevisionState, RevisionSummary,
};
use ironstair_data_tree::state;
use ironstair_management::fleet_channel::Wanted;
use ironstair_management::{ManagementHandle, Refused};
use ironstair_raft_replica::{Output, Replica, Save, TICK};
use ironstair_raft_storage::Storage;
use ironstair_runtime::clock::{span, Clock};
use ironstair_runtime::window::ManagementCommand;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;
use slog::{info, warn, Logger};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{BuildHasher, Hasher};
use std::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, MissedTickBehavior};
use tonic::Code;

/// What may wait for the actor.
const MAILBOX: usize = 1024;
/// Heartbeats of this gateway that may be under way, and asks that may wait for their outcome here.
const MAX_HEARTBEATS_IN_FLIGHT: usize = 4;
const ASKS_MOST: usize = 64;
/// A voter without a history asks to be let in this often.
const JOIN_REQUEST_INTERVAL: Ms = 500.0;
/// Each voter asks the others so often which history they know.
const COMPARE_EVERY: Ms = 2000.0;
/// How long a disk that took nothing is left alone.
const DISK_AGAIN: Ms = 500.0;
/// While no leader is known each voter is asked so often in a lease.
const LOOKS: f64 = 10.0;
/// Between two tries to find the leader for what an operator asks.
const LOOK_AGAIN: Ms = 50.0;
/// How long an operator waits for what becomes of a change, in leases and at least.
const OUTCOME_LEASES: f64 = 5.0;
const OUTCOME_LEAST: Ms = 15_000.0;

/// What an operator asks of the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetCommand {
    #[serde(rename = "ask")]
    Command(Command<Json>),
    Show,
}

/// Another voter may be the leader.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Hint {
    #[serde(rename = "chair")]
    pub leader: Option<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandResponse {
    Done(u64),
    Refused(String),
    Shown(Json),
    Elsewhere(Hint),
}

/// To the actor.
pub enum AgentMessage {
    Heartbeat(
        Heartbeat,
        oneshot::Sender<Result<HeartbeatResponse<Json>, Hint>>,
    ),
    Agree(String, Vec<u8>),
    /// A voter and its voter's number, or 0 where it asks for the history alone.
    Join(String, u64, oneshot::Sender<u64>),
    Command(FleetCommand, oneshot::Sender<CommandResponse>),
    /// A heartbeat of this gateway came back, and from whom; or why not.
    Answered(Result<(String, HeartbeatResponse<Json>), String>),
    Held(u64, Result<(), String>),
    Validated(u64, Result<(), String>),
    Saved(Box<Saved>),
    /// The histories that the other voters know, before one begins here.
    Known(
        Result<(), String>,
        Json,
        ironstair_management::fleet_channel::Responder,
    ),
    /// The same before one begins anew: what was found, and by whose word with what.
    KnownAnew(Result<Vec<u64>, String>, Anew),
    /// A history that another voter knows.
    Heard(u64),
    Leave(oneshot::Sender<()>),
}

/// A history that is to begin anew.
pub struct Anew {
    document: Json,
    who: String,
    answer: ironstair_management::fleet_channel::Responder,
}

pub struct Saved {
    storage: Storage,
    save: Save,
    how: Result<(), String>,
}

/// Says that the process ends, once all is answered; told when the fleet knows.
pub type Leave = mpsc::Sender<AgentMessage>;

enum Waits {
    Own,
    Other(oneshot::Sender<Result<HeartbeatResponse<Json>, Hint>>),
}

/// A voter's log and its disk, which is elsewhere while it writes.
struct Kept {
    replica: Replica<Json>,
    storage: Option<Storage>,
    /// Why the disk is to be left, once it is not being written.
    older: Option<&'static str>,
    join_request_due: Ms,
    compare_at: Ms,
    disk_said: bool,
}

struct Pending {
    ask: Command<Json>,
    until: Ms,
    answer: oneshot::Sender<CommandResponse>,
}

/// Opened before anything serves: a disk or an address that can't be used is told at once.
pub struct Opened {
    config: FleetConfig,
    bound: TcpListener,
    storage: Option<Storage>,
    note: Option<String>,
}

/// Not 0, which stands for none.
fn drawn() -> u64 {
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
        | 1
}

impl Opened {
    /// # Errors
    /// The address is not free, or the disk can't be used; one sentence.
    pub fn open(config: FleetConfig) -> Result<Opened, String> {
        let bound = server::bind(config.listen)?;
        // Held to the process's end, also where this thread ends before: the gateway's decides by its lease still, and
        // a later process that could listen here would count this one as gone.
        std::mem::forget(
            bound
                .try_clone()
                .map_err(|e| format!("fleet.listen: {e}"))?,
        );
        let storage = config.folder.as_ref();
        let number = if taken_out("number") {
            named(&config.name)
        } else {
            drawn()
        };
        let open = |folder| Storage::open(folder, &config.fleet, &config.name, number);
        let storage = storage
            .map(|f| open(f).map_err(|e| format!("fleet.state: {e}")))
            .transpose()?;
        let (storage, note) = storage.map_or((None, None), |a| (Some(a.storage), a.note));
        Ok(Opened {
            config,
            bound,
            storage,
            note,
        })
    }
}

pub struct Actor {
    config: FleetConfig,
    own: Own,
    clock: Clock,
    log: Logger,
    member: Member,
    kept: Option<Kept>,
    management: ManagementHandle,
    requests: async_channel::Sender<ManagementCommand>,
    ways: BTreeMap<String, Way>,
    /// The voter that last answered a heartbeat.
    speaks_to: Option<String>,
    inbox: mpsc::Receiver<AgentMessage>,
    post: mpsc::Sender<AgentMessage>,
    wanted: mpsc::Receiver<Wanted>,
    shown: watch::Sender<state::Fleet>,
    answers: HashMap<u64, Waits>,
    tokens: u64,
    heartbeats: usize,
    pending: Vec<Pending>,
    leaving: Option<oneshot::Sender<()>>,
    /// Why no leader answered, as last said.
    unheard: String,
    /// Whether it was said that a lease is held.
    held: bool,
    /// Whether it was said that this voter has a vote.
    votes: bool,
    /// The revisions as last told to the log.
    revisions: VecDeque<RevisionSummary>,
    /// The latest history that anybody told of: a member may know more than what is left of the voters.
    latest: u64,
}

/// The ends of an actor that others hold.
pub struct Ends {
    pub wanted: mpsc::Receiver<Wanted>,
    pub shown: watch::Sender<state::Fleet>,
}

impl Actor {
    /// Must be called on the runtime that serves it; the listener's task is started here.
    ///
    /// # Errors
    /// The disk holds no voter's log, or an address can't be one.
    pub fn start(
        opened: Opened,
        ends: Ends,
        management: ManagementHandle,
        requests: async_channel::Sender<ManagementCommand>,
        clock: Clock,
        log: Logger,
    ) -> Result<(Actor, Leave), String> {
        let Opened {
            config,
            bound,
            storage,
            note,
        } = opened;
        let own = Own {
            fleet: config.fleet.clone(),
            name: config.name.clone(),
            start: drawn(),
        };
        let (post, inbox) = mpsc::channel(MAILBOX);
        if let Some(note) = note {
            warn!(log, "the fleet's log here is not what it was"; "why" => note);
        }
        let others = config
            .voters
            .iter()
            .filter(|(name, _)| **name != config.name);
        let ways = others.map(|(name, at)| Ok((name.clone(), Way::to(*at)?)));
        let ways = ways.collect::<Result<BTreeMap<_, _>, String>>()?;
        let member = Member::new(&config.name, own.start, config.steady, config.lease);
        let member = member.with_exclusive_resource(if taken_out("place") {
            String::new()
        } else {
            server::place(config.listen)
        });
        let serving = server::serve(bound, own.clone(), post.clone(), log.clone());
        let said = log.clone();
        tokio::spawn(async move {
            if let Err(why) = serving.await {
                warn!(said, "the fleet's listener has ended"; "why" => why);
            }
        });
        let mut actor = Actor {
            config,
            own,
            clock,
            log,
            member,
            kept: None,
            management,
            requests,
            ways,
            speaks_to: None,
            inbox,
            post: post.clone(),
            wanted: ends.wanted,
            shown: ends.shown,
            answers: HashMap::new(),
            tokens: 0,
            heartbeats: 0,
            pending: Vec::new(),
            leaving: None,
            unheard: String::new(),
            held: false,
            votes: false,
            revisions: VecDeque::new(),
            latest: 0,
        };
        if let Some(storage) = storage {
            actor.keep(storage)?;
        }
        Ok((actor, post))
    }

    /// A voter with what its disk holds.
    fn keep(&mut self, storage: Storage) -> Result<(), String> {
        let place = self
            .config
            .voters
            .keys()
            .position(|k| *k == self.config.name)
            .unwrap_or(0);
        let (name, lease, now) = (&self.config.name, self.config.lease, self.clock.now());
        let replica = Replica::open(name, place, lease, storage.image(), now, &self.log)
            .map_err(|e| e.to_string())?;
        let generation = replica.state().fleet.generation;
        info!(self.log, "a keeper of the fleet's log"; "history" => format!("{generation:016x}"));
        // Heartbeats that an earlier one was to answer find nobody, and are sent again.
        self.answers.clear();
        // Only what comes to pass from now on is news.
        self.revisions.clone_from(&replica.state().fleet.revisions);
        let storage = Some(storage);
        self.kept = Some(Kept {
            replica,
            storage,
            older: None,
            join_request_due: now,
            compare_at: now,
            disk_said: false,
        });
        Ok(())
    }

    /// Until the process ends.
    pub async fn run(mut self) {
        let mut ticks = interval(span(TICK));
        // After a standstill the library's time goes on from now: it counts ticks, not what the clock says.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.go_on();
            let due = span(self.member.next_heartbeat_at() - self.clock.now());
            tokio::select! {
                mail = self.inbox.recv() => match mail {
                    Some(mail) => self.take(mail),
                    None => return,
                },
                Some(wanted) = self.wanted.recv() => self.want(wanted),
                _ = ticks.tick(), if self.kept.is_some() => self.tick(),
                () = sleep(due) => {}
            }
        }
    }

    fn take(&mut self, mail: AgentMessage) {
        let now = self.clock.now();
        match mail {
            AgentMessage::Heartbeat(heartbeat, to) => match &mut self.kept {
                Some(_) => {
                    self.hear_of(heartbeat.generation);
                    self.heartbeat(heartbeat, Waits::Other(to));
                }
                None => drop(to.send(Err(Hint::default()))),
            },
            AgentMessage::Agree(from, bytes) => {
                let outs = self
                    .kept
                    .as_mut()
                    .map(|k| k.replica.handle_message(now, &from, &bytes));
                self.carry(outs.unwrap_or_default());
            }
            AgentMessage::Join(name, number, to) => {
                let Some(k) = &mut self.kept else {
                    let _ = to.send(self.member.applied_state().generation);
                    return;
                };
                if number != 0 && self.config.voters.contains_key(&name) {
                    k.replica.handle_join_request(name, number);
                }
                // A blank one may remember what its disk knows no more.
                let of_disk = k.replica.state().fleet.generation;
                let _ = to.send(if of_disk == 0 {
                    self.member.applied_state().generation
                } else {
                    of_disk
                });
            }
            AgentMessage::Command(asked, to) => self.asked(asked, to),
            AgentMessage::Answered(answer) => {
                self.heartbeats -= 1;
                let lost = answer.is_err();
                match answer {
                    Ok((by, answer)) => {
                        (self.speaks_to, self.unheard) = (Some(by), String::new());
                        self.told(answer);
                    }
                    // Once, not with each heartbeat.
                    Err(why) if !self.member.has_lease(now) && why != self.unheard => {
                        warn!(self.log, "no keeper answers as the fleet's chair"; "why" => &why);
                        self.unheard = why;
                    }
                    Err(_) => {}
                }
                if lost {
                    self.speaks_to = None;
                }
            }
            AgentMessage::Held(policy_index, how) => {
                self.act(match how {
                    Ok(()) => Input::Applied { policy_index },
                    Err(why) => Input::Unable {
                        policy_index,
                        reason: why,
                    },
                });
            }
            AgentMessage::Validated(number, how) => {
                self.act(Input::Validated((number, how).into()))
            }
            AgentMessage::Saved(saved) => self.saved(*saved),
            AgentMessage::Known(how, document, answer) => self.begin(how, document, answer),
            AgentMessage::KnownAnew(how, anew) => self.begin_anew(how, anew),
            AgentMessage::Heard(generation) => {
                self.hear_of(generation);
                let own = self
                    .kept
                    .as_ref()
                    .map_or(0, |k| k.replica.state().fleet.generation);
                if own != 0 && supersedes(generation, own) && !taken_out("compare") {
                    self.leave_the_older("the fleet's history began anew without this keeper");
                }
            }
            AgentMessage::Leave(done) => {
                self.leaving = Some(done);
                self.act(Input::Leave);
            }
        }
    }

    fn hear_of(&mut self, generation: u64) {
        if self.latest == 0 || supersedes(generation, self.latest) {
            self.latest = generation;
        }
    }

    /// What is due, and what others are to see.
    fn go_on(&mut self) {
        let now = self.clock.now();
        if now >= self.member.next_heartbeat_at() {
            self.act(Input::Due);
        }
        self.answer_the_pending();
        self.say_what_came_to_pass();
        let votes = self.kept.as_ref().is_some_and(|k| !k.replica.is_blank());
        if votes && !std::mem::replace(&mut self.votes, votes) {
            info!(self.log, "this keeper has a vote");
        }
        self.votes = votes;
        let held = self.member.has_lease(now);
        if held != self.held {
            self.held = held;
            match held {
                true => {
                    info!(self.log, "the fleet's policy is held"; "revision" => self.member.applied_state().revision)
                }
                false => {
                    warn!(
                        self.log,
                        "the fleet was not heard for a lease: nothing is forwarded until it is"
                    );
                }
            }
        }
        let applied = self.member.applied_state();
        let is = state::Fleet {
            name: self.config.fleet.clone(),
            generation: applied.generation,
            revision: applied.revision,
            until: self.member.lease_end(),
            steady: self.config.steady,
            voter: self.kept.is_some(),
            leader: self.leader().unwrap_or_default(),
            share: self.config.counts.then(|| self.member.share()),
            members: self
                .kept
                .as_ref()
                .map_or(Vec::new(), |k| status::members(&k.replica)),
        };
        self.shown.send_if_modified(|was| {
            let other = *was != is;
            *was = is;
            other
        });
    }

    fn leader(&self) -> Option<String> {
        match &self.kept {
            Some(k) => k.replica.leader_name().map(String::from),
            None => self.speaks_to.clone(),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let Some(k) = &mut self.kept else { return };
        let outs = k.replica.tick(now);
        let knock = k
            .replica
            .join_request()
            .filter(|_| now >= k.join_request_due);
        if let Some((_, number)) = knock {
            k.join_request_due = now + JOIN_REQUEST_INTERVAL;
            for way in self.ways.values() {
                let (way, word) = (way.clone(), self.own.word(number.to_string().into_bytes()));
                tokio::spawn(
                    async move { drop(way.knock(word, JOIN_REQUEST_INTERVAL * 0.8).await) },
                );
            }
        }
        if now >= k.compare_at {
            k.compare_at = now + COMPARE_EVERY;
            for way in self.ways.values() {
                let (way, word, post) =
                    (way.clone(), self.own.word(b"0".to_vec()), self.post.clone());
                tokio::spawn(async move {
                    let known = way.knock(word, COMPARE_EVERY).await;
                    if let Some(Ok(generation)) =
                        known.ok().map(|w| serde_json::from_slice(&w.body))
                    {
                        let _ = post.send(AgentMessage::Heard(generation)).await;
                    }
                });
            }
        }
        self.carry(outs);
    }

    /// Hands one input to the member, and carries out what it wants.
    fn act(&mut self, input: Input<Json>) {
        for action in self.member.handle(self.clock.now(), input) {
            match action {
                Action::Heartbeat(heartbeat) => self.send(heartbeat),
                Action::Apply {
                    policy_index,
                    number,
                    document,
                } => {
                    let (management, post) = (self.management.clone(), self.post.clone());
                    tokio::spawn(async move {
                        let how = match taken_out("hold") {
                            true => Ok(()),
                            false => hold(&management, policy_index, number, document).await,
                        };
                        let _ = post.send(AgentMessage::Held(policy_index, how)).await;
                    });
                }
                Action::Validate { number, document } => {
                    let (management, post) = (self.management.clone(), self.post.clone());
                    tokio::spawn(async move {
                        let how = match taken_out("examine") {
                            true => Ok(()),
                            false => readable(&document).and(management.examine(document).await),
                        };
                        let _ = post.send(AgentMessage::Validated(number, how)).await;
                    });
                }
                Action::SetLease(until, share) => {
                    let until = if taken_out("tenure") {
                        Ms::INFINITY
                    } else {
                        until
                    };
                    // Against a mailbox that is full just then: a steady one is told once, and for good.
                    let share = Some(share).filter(|_| self.config.counts);
                    if let Err(full) = self
                        .requests
                        .try_send(ManagementCommand::Lease(until, share))
                    {
                        let requests = self.requests.clone();
                        tokio::spawn(async move { drop(requests.send(full.into_inner()).await) });
                    }
                }
                Action::LogWarning(what) => warn!(self.log, "of the fleet"; "why" => what),
            }
        }
    }

    fn told(&mut self, answer: HeartbeatResponse<Json>) {
        self.act(Input::Answered(answer));
        if let Some(done) = self.leaving.take() {
            let _ = done.send(());
        }
    }

    /// The gateway's own heartbeat goes to the leader: here, or by the way to it.
    fn send(&mut self, mut heartbeat: Heartbeat) {
        heartbeat.steady &= !taken_out("says-steady");
        let here = self
            .kept
            .as_ref()
            .is_some_and(|k| k.replica.leader_name() == Some(&self.config.name));
        if here {
            return self.heartbeat(heartbeat, Waits::Own);
        }
        // One search at a time: while no voter is the leader, hundreds of members would ask for it together.
        if self.heartbeats
            >= if self.leader().is_some() {
                MAX_HEARTBEATS_IN_FLIGHT
            } else {
                1
            }
        {
            return;
        }
        self.heartbeats += 1;
        let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
        let (search, post) = (self.search(), self.post.clone());
        let word = self.own.word(body);
        tokio::spawn(async move {
            let found = search.heartbeat(word).await;
            let _ = post.send(AgentMessage::Answered(found)).await;
        });
    }

    fn search(&self) -> Search {
        let first = self.leader().filter(|c| self.ways.contains_key(c));
        Search {
            own: self.own.clone(),
            ways: self.ways.clone(),
            first,
            clock: self.clock,
            lease: self.config.lease,
        }
    }

    /// A heartbeat at this voter.
    fn heartbeat(&mut self, heartbeat: Heartbeat, waits: Waits) {
        let Some(k) = &mut self.kept else { return };
        self.tokens += 1;
        self.answers.insert(self.tokens, waits);
        let outs = k
            .replica
            .heartbeat(self.clock.now(), self.tokens, heartbeat);
        self.carry(outs);
    }

    fn carry(&mut self, outs: Vec<Output<Json>>) {
        for out in outs {
            match out {
                Output::Save(save) => self.save(save),
                Output::Send(to, bytes) => {
                    if let Some(way) = self.ways.get(&to) {
                        way.agree(self.own.word(bytes));
                    }
                }
                Output::HeartbeatResponse(token, answer) => match self.answers.remove(&token) {
                    Some(Waits::Own) => self.told(answer),
                    Some(Waits::Other(to)) => drop(to.send(Ok(answer))),
                    None => {}
                },
                Output::NotLeader(token, leader) => {
                    if let Some(Waits::Other(to)) = self.answers.remove(&token) {
                        let _ = to.send(Err(Hint { leader }));
                    }
                }
                Output::DiskOutdated => {
                    self.leave_the_older("the fleet's log here is an older copy")
                }
            }
        }
    }

    fn save(&mut self, save: Save) {
        let Some(mut storage) = self.kept.as_mut().and_then(|k| k.storage.take()) else {
            return;
        };
        let post = self.post.clone();
        tokio::spawn(async move {
            let work = tokio::task::spawn_blocking(move || {
                let how = write(&mut storage, &save);
                Saved { storage, save, how }
            });
            // A thread that panicked leaves no disk behind: this voter writes nothing more, and votes on nothing.
            if let Ok(saved) = work.await {
                let _ = post.send(AgentMessage::Saved(Box::new(saved))).await;
            }
        });
    }

    fn saved(&mut self, Saved { storage, save, how }: Saved) {
        let now = self.clock.now();
        let Some(k) = &mut self.kept else { return };
        k.storage = Some(storage);
        if let Some(why) = k.older {
            return self.leave_the_older(why);
        }
        if let Err(why) = how {
            // It votes on nothing and tells nobody until the disk has it.
            if !std::mem::replace(&mut k.disk_said, true) {
                warn!(self.log, "the fleet's log can't be kept: this keeper takes no part until it can"; "why" => why);
            }
            let post = self.post.clone();
            let Some(mut storage) = k.storage.take() else {
                return;
            };
            tokio::spawn(async move {
                sleep(span(DISK_AGAIN)).await;
                let work = tokio::task::spawn_blocking(move || {
                    let how = write(&mut storage, &save);
                    Saved { storage, save, how }
                });
                if let Ok(saved) = work.await {
                    let _ = post.send(AgentMessage::Saved(Box::new(saved))).await;
                }
            });
            return;
        }
        if std::mem::take(&mut k.disk_said) {
            info!(self.log, "the fleet's log is kept again");
        }
        let outs = k.replica.save_completed(now);
        self.carry(outs);
    }

    // What this disk once told it had is more than it has: to go on under its number would lose what others rest on.
    fn leave_the_older(&mut self, why: &'static str) {
        let Some(k) = &mut self.kept else { return };
        k.older = Some(why);
        let Some(mut storage) = k.storage.take() else {
            return;
        };
        let how = storage.quarantine(drawn()).map_err(|e| e.to_string());
        self.kept = None;
        match how.and_then(|aside| self.keep(storage).map(|()| aside)) {
            Ok(aside) => {
                warn!(self.log, "{}: put aside, and begun blank", why; "aside" => aside);
            }
            Err(why) => warn!(self.log, "this keeper takes no part any more"; "why" => why),
        }
    }

    fn want(&mut self, wanted: Wanted) {
        let now = self.clock.now();
        let fail = |answer: ironstair_management::fleet_channel::Responder, why: &str| {
            drop(answer.send(Err(Refused::Fleet(why.into()))));
        };
        match wanted {
            Wanted::Change {
                who,
                what,
                document,
                base_revision,
                commit,
                answer,
            } => {
                let commit = commit.filter(|_| !taken_out("trial"));
                let when = now;
                let proposal = ChangeProposal {
                    token: drawn(),
                    author: who,
                    created_at: when,
                    summary: what,
                    base_revision,
                    document,
                    commit,
                };
                self.ask(Command::Change(proposal), answer);
            }
            Wanted::Confirm { id, answer } => self.ask(Command::Confirm { id }, answer),
            Wanted::Cancel { id, who, answer } => self.ask(
                Command::Cancel {
                    id: Some(id),
                    author: who,
                },
                answer,
            ),
            Wanted::Show(answer) => {
                let (search, own) = (self.search(), self.post.clone());
                tokio::spawn(async move {
                    let _ = answer.send(
                        match search
                            .ask(own, FleetCommand::Show, OUTCOME_LEAST / 3.0)
                            .await
                        {
                            CommandResponse::Shown(json) => Ok(json),
                            CommandResponse::Refused(why) => Err(Refused::Fleet(why)),
                            _ => Err(Refused::Fleet("no chair".into())),
                        },
                    );
                });
            }
            Wanted::Anew {
                document,
                who,
                answer,
            } => self.look_before_anew(document, who, answer),
            Wanted::Begin { document, answer } => {
                let first = self.config.voters.keys().next();
                let Some(k) = &self.kept else {
                    return fail(answer, "only a keeper begins a history");
                };
                if first != Some(&self.config.name) {
                    // In one place alone, so that no two can begin.
                    let why = format!(
                        "a history is begun at the keeper {}",
                        first.map_or("", |f| f)
                    );
                    return fail(answer, &why);
                }
                if !k.replica.is_blank() || k.storage.is_none() {
                    return fail(answer, "the fleet has a history");
                }
                let (ways, own, post) = (self.ways.clone(), self.own.clone(), self.post.clone());
                tokio::spawn(async move {
                    let mut how = Ok(());
                    for (name, way) in ways {
                        let known = way
                            .knock(own.word(b"0".to_vec()), OUTCOME_LEAST / 3.0)
                            .await;
                        how = how.and(match known.as_ref().map(|w| serde_json::from_slice::<u64>(&w.body)) {
                            Ok(Ok(0)) => Ok(()),
                            Ok(Ok(_)) => Err(format!(
                                "{name} knows of a history: this keeper's disk is lost, not the fleet's"
                            )),
                            Ok(Err(e)) => Err(format!("{name}: {e}")),
                            Err(e) => Err(format!("{name} must answer, and does not: {}", e.message())),
                        });
                    }
                    let _ = post.send(AgentMessage::Known(how, document, answer)).await;
                });
            }
        }
    }

    fn begin(
        &mut self,
        how: Result<(), String>,
        document: Json,
        answer: ironstair_management::fleet_channel::Responder,
    ) {
        let made = how.and_then(|()| {
            let Some(k) = self.kept.as_mut().filter(|k| k.replica.is_blank()) else {
                return Err("the fleet has a history".into());
            };
            let mut storage = k.storage.take().ok_or("the disk is being written")?;
            // Under the number that it has given to others already.
            let image = Replica::bootstrap_image(
                &self.config.name,
                storage.image().id,
                first(drawn()),
                document,
                None,
            )
            .map_err(|e| e.to_string())?;
            let begun = storage.reset(image).map_err(|e| e.to_string());
            self.kept = None;
            self.keep(storage).and(begun)
        });
        let _ = answer.send(made.map(|()| 0).map_err(Refused::Fleet));
    }

    /// After most voters' disks were lost for good, with what is left here; not while a leader answers.
    fn look_before_anew(
        &mut self,
        document: Json,
        who: String,
        answer: ironstair_management::fleet_channel::Responder,
    ) {
        if self.kept.is_none() {
            let why = "only a keeper begins a history anew".into();
            return drop(answer.send(Err(Refused::Fleet(why))));
        }
        let (lease, ways, own, post) = (
            self.config.lease,
            self.ways.clone(),
            self.own.clone(),
            self.post.clone(),
        );
        // Twice, and between them the longest lease that a leader which ended just now can have left.
        let searches = [(self.search(), grace_period(lease)), (self.search(), 0.0)];
        tokio::spawn(async move {
            let mut how = Ok(Vec::new());
            for (search, then) in searches {
                if let CommandResponse::Shown(shown) =
                    search.ask(post.clone(), FleetCommand::Show, lease).await
                {
                    let leader = shown["chair"].as_str().unwrap_or("one").to_string();
                    how = Err(format!(
                        "{leader} is the chair: the fleet's history is not lost"
                    ));
                    break;
                }
                sleep(span(then)).await;
            }
            if let Ok(known) = &mut how {
                for way in ways.values() {
                    let told = way.knock(own.word(b"0".to_vec()), lease).await;
                    known.extend(
                        told.ok()
                            .and_then(|w| serde_json::from_slice::<u64>(&w.body).ok()),
                    );
                }
            }
            let _ = post
                .send(AgentMessage::KnownAnew(
                    how,
                    Anew {
                        document,
                        who,
                        answer,
                    },
                ))
                .await;
        });
    }

    fn begin_anew(
        &mut self,
        how: Result<Vec<u64>, String>,
        Anew {
            document,
            who,
            answer,
        }: Anew,
    ) {
        let made = how.and_then(|mut known| {
            let k = self.kept.as_mut().ok_or("this gateway is no keeper any more")?;
            if k.replica.leader().is_some() {
                return Err("this keeper is the chair: the fleet's history is not lost".into());
            }
            let left = &k.replica.state().fleet;
            let remembered = self.member.applied_state().generation;
            let silent = self.ways.len() - known.len().min(self.ways.len());
            known.extend([left.generation, remembered, self.latest]);
            let generation = successor(known.iter().copied(), drawn()).map_err(|e| e.to_string())?;
            let (document, with) = match &left.running {
                Some((number, running)) => (running.clone(), format!("revision {number}")),
                None => (document, "what this gateway was told at start".to_string()),
            };
            let lost = known.iter().copied().max().unwrap_or(0);
            let what = format!(
                "begun anew after history {lost:016x} with {with}: what was decided after that is lost; {silent} keepers did not answer"
            );
            let (who, when, state) = (who, self.clock.now(), RevisionState::Running);
            let (number, token, commit, refused) = (0, 0, None, None);
            let said = (who.clone(), what.clone());
            let line = RevisionSummary { number, token, author: who, created_at: when, summary: what, state, commit, refused };
            let id = drawn();
            let image = Replica::bootstrap_image(&self.config.name, id, generation, document, Some(line))
                .map_err(|e| e.to_string())?;
            let mut storage = k.storage.take().ok_or("the disk is being written")?;
            let begun = storage
                .quarantine(id)
                .and_then(|_| storage.reset(image))
                .map_err(|e| e.to_string());
            self.kept = None;
            self.keep(storage).and(begun)?;
            warn!(self.log, "the fleet's history begins anew"; "who" => said.0, "what" => said.1,
                "history" => format!("{generation:016x}"));
            Ok(0)
        });
        let _ = answer.send(made.map_err(Refused::Fleet));
    }

    /// Finds the leader for what an operator asks, and hands on the outcome.
    fn ask(&mut self, ask: Command<Json>, answer: ironstair_management::fleet_channel::Responder) {
        let (search, own) = (self.search(), self.post.clone());
        let within = self.outcome_within() + OUTCOME_LEAST / 3.0;
        tokio::spawn(async move {
            let told = search.ask(own, FleetCommand::Command(ask), within).await;
            let _ = answer.send(match told {
                CommandResponse::Done(number) => Ok(number),
                CommandResponse::Refused(why) => Err(Refused::Fleet(why)),
                _ => Err(Refused::Fleet("no chair".into())),
            });
        });
    }

    fn outcome_within(&self) -> Ms {
        (OUTCOME_LEASES * self.config.lease).max(OUTCOME_LEAST)
    }

    /// At this voter: an ask is handed to the leader, and answered once it is known what became of it.
    fn asked(&mut self, asked: FleetCommand, to: oneshot::Sender<CommandResponse>) {
        let now = self.clock.now();
        let elsewhere = CommandResponse::Elsewhere(Hint {
            leader: self.leader(),
        });
        let Some(k) = &mut self.kept else {
            return drop(to.send(elsewhere));
        };
        let Some(leader) = k.replica.leader() else {
            return drop(to.send(elsewhere));
        };
        let ask = match asked {
            FleetCommand::Command(ask) => ask,
            FleetCommand::Show => {
                let shown = status::fleet(now, &self.config.name, &k.replica, leader);
                return drop(to.send(CommandResponse::Shown(shown)));
            }
        };
        if self.pending.len() >= ASKS_MOST {
            return drop(to.send(CommandResponse::Refused(Refusal::Busy.to_string())));
        }
        let ask = match ask {
            Command::Change(proposal) if taken_out("upon") => Command::Change(ChangeProposal {
                base_revision: k.replica.state().fleet.policy_index,
                ..proposal
            }),
            ask => ask,
        };
        // One that comes again by another way stands in the log already.
        if matches!(outcome(&k.replica.state().fleet, &ask), Outcome::Unknown) {
            match k.replica.submit(now, ask.clone()) {
                Ok(outs) => self.carry(outs),
                Err(why) => return drop(to.send(CommandResponse::Refused(why.to_string()))),
            }
        }
        let until = now + self.outcome_within();
        self.pending.push(Pending {
            ask,
            until,
            answer: to,
        });
    }

    fn answer_the_pending(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let now = self.clock.now();
        let leader = self.leader();
        let mut again = Vec::new();
        for p in std::mem::take(&mut self.pending) {
            let found = self
                .kept
                .as_ref()
                .and_then(|k| Some((k, k.replica.leader()?)));
            let Some((k, sits)) = found else {
                let _ = p.answer.send(CommandResponse::Elsewhere(Hint {
                    leader: leader.clone(),
                }));
                continue;
            };
            let fleet = &k.replica.state().fleet;
            let told = match outcome(fleet, &p.ask) {
                // Who hears that it is done finds it done wherever he looks next.
                Outcome::Known(CommandResponse::Done(_))
                    if now < p.until && !sits.have_all_applied(now, fleet) =>
                {
                    None
                }
                Outcome::Known(told) => Some(told),
                Outcome::Unknown if !sits.is_pending(&p.ask) => {
                    again.push(p);
                    continue;
                }
                _ if now >= p.until => {
                    let names = status::waits_for(now, fleet, sits).join(", ");
                    let why = format!(
                        "it is not done yet, and waits for {names}: it goes on, and can be cancelled"
                    );
                    Some(CommandResponse::Refused(why))
                }
                _ => None,
            };
            match told {
                Some(told) => drop(p.answer.send(told)),
                None => self.pending.push(p),
            }
        }
        // Passed over when its turn came, since something else had come before it.
        for p in again {
            let Some(k) = &mut self.kept else { return };
            match k.replica.submit(now, p.ask.clone()) {
                Ok(outs) => {
                    self.carry(outs);
                    self.pending.push(p);
                }
                Err(why) => drop(p.answer.send(CommandResponse::Refused(why.to_string()))),
            }
        }
    }

    /// A line in the log for each step of a change, at each voter.
    fn say_what_came_to_pass(&mut self) {
        let Some(k) = &self.kept else { return };
        let revisions = &k.replica.state().fleet.revisions;
        if *revisions == self.revisions {
            return;
        }
        let known = |l: &&RevisionSummary| !self.revisions.iter().any(|was| was == *l);
        for l in revisions.iter().filter(known) {
            let (by, why) = l.refused.clone().unwrap_or_default();
            info!(self.log, "a change of the fleet's policy"; "step" => step(l.state), "revision" => l.number,
                "who" => &l.author, "what" => &l.summary, "refused_by" => by, "why" => why);
        }
        self.revisions = revisions.clone();
    }
}

/// Against a version that knows less than what it is handed: the member says so, and nothing is taken over.
async fn hold(
    management: &ManagementHandle,
    policy_index: u64,
    number: u64,
    document: Json,
) -> Result<(), String> {
    readable(&document)?;
    management.hold(policy_index, number, document).await
}

/// An older version is played by one that can't read a field.
fn readable(document: &Json) -> Result<(), String> {
    let knows = !taken_out("advice") || document["advice"].as_u64().unwrap_or(0) == 0;
    knows
        .then_some(())
        .ok_or("this version can't read it: unknown field `advice`".into())
}

/// Also a disk that is slow or full, for tests.
fn write(storage: &mut Storage, save: &Save) -> Result<(), String> {
    if taken_out("quick-disk") && storage.folder().join("slow").exists() {
        std::thread::sleep(span(1000.0));
    }
    if taken_out("room") && storage.folder().join("full").exists() {
        return if taken_out("kept") {
            Ok(())
        } else {
            Err("No space left on device".into())
        };
    }
    storage.save(save.clone()).map_err(|e| e.to_string())
}

/// The number of a voter that would not be drawn anew.
fn named(name: &str) -> u64 {
    ironstair_runtime::number(name.as_bytes()) | 1
}

fn step(of: RevisionState) -> &'static str {
    match of {
        RevisionState::Staged => "staged",
        RevisionState::Binding => "binding",
        RevisionState::Running => "running",
        RevisionState::Unconfirmed => "unconfirmed",
        RevisionState::Replaced => "replaced",
        RevisionState::RolledBack => "taken back",
        RevisionState::Refused => "refused",
    }
}

enum Outcome {
    Known(CommandResponse),
    /// It stands in the log, and goes on.
    InProgress,
    Unknown,
}

/// What became of an ask, by the log.
fn outcome(fleet: &ironstair_coordination::Fleet<Json>, ask: &Command<Json>) -> Outcome {
    let line = match ask {
        Command::Change(proposal) => fleet.revisions.iter().find(|l| l.token == proposal.token),
        Command::Confirm { id } => fleet
            .revisions
            .iter()
            .rev()
            .find(|l| l.commit.as_ref() == Some(id)),
        Command::Cancel { id: Some(id), .. } => fleet
            .revisions
            .iter()
            .rev()
            .find(|l| l.commit.as_ref() == Some(id)),
        Command::Cancel { id: None, .. } => None,
    };
    let Some(l) = line else {
        return Outcome::Unknown;
    };
    let refused = || {
        let (by, why) = l.refused.clone().unwrap_or_default();
        Outcome::Known(CommandResponse::Refused(format!(
            "revision {} was refused by {by}: {why}",
            l.number
        )))
    };
    let done = Outcome::Known(CommandResponse::Done(l.number));
    let back_over = fleet.change.as_ref().is_none_or(|c| !c.is_rollback);
    match (ask, l.state) {
        (Command::Change(_), RevisionState::Staged | RevisionState::Binding) => Outcome::InProgress,
        (Command::Change(_), RevisionState::Refused) => refused(),
        (Command::Change(_), _) => done,
        (Command::Confirm { .. }, RevisionState::Running) => done,
        (Command::Cancel { .. }, RevisionState::RolledBack) if back_over => done,
        (Command::Cancel { .. }, RevisionState::RolledBack) => Outcome::InProgress,
        (Command::Cancel { .. }, RevisionState::Refused) => done,
        _ => Outcome::Unknown,
    }
}

/// One search for the leader, by the ways to the voters.
struct Search {
    own: Own,
    ways: BTreeMap<String, Way>,
    first: Option<String>,
    clock: Clock,
    lease: Ms,
}

impl Search {
    /// Who comes after whom, where nobody is named.
    fn next(&self, after: Option<&String>) -> Option<String> {
        let later = after.and_then(|a| self.ways.keys().find(|k| *k > a));
        later.or(self.ways.keys().next()).cloned()
    }

    /// The last leader alone first; then all voters, each asked anew once it has said that it is not the leader. Nobody
    /// is given up for being slow: what comes within the lease counts.
    async fn heartbeat(self, word: Word) -> Result<(String, HeartbeatResponse<Json>), String> {
        let (lease, until) = (self.lease, self.clock.now() + self.lease);
        let mut why = "there is no chair".to_string();
        let ask = |to: &String, within: Ms, after: Ms| {
            let (way, to, word) = (self.ways[to].clone(), to.clone(), word.clone());
            async move {
                sleep(span(after)).await;
                (to, way.heartbeat(word, within).await)
            }
        };
        let mut asked = JoinSet::new();
        match &self.first {
            Some(first) => drop(asked.spawn(ask(first, lease / 2.0, 0.0))),
            None => self
                .ways
                .keys()
                .for_each(|to| drop(asked.spawn(ask(to, lease, 0.0)))),
        }
        while let Some(Ok((to, said))) = asked.join_next().await {
            // A sentence of the other side's is worth more than that nobody is there.
            if let Some(e) = said
                .as_ref()
                .err()
                .filter(|e| e.code() == Code::FailedPrecondition)
            {
                why = e.message().to_string();
            }
            let read = said
                .ok()
                .map(|w| serde_json::from_slice::<Result<HeartbeatResponse<Json>, Hint>>(&w.body));
            if let Some(Ok(Ok(answer))) = read {
                return Ok((to, answer));
            }
            let left = until - self.clock.now();
            if left <= 0.0 {
                break;
            }
            if asked.is_empty() && self.first.as_ref() == Some(&to) {
                self.ways
                    .keys()
                    .for_each(|to| drop(asked.spawn(ask(to, left, 0.0))));
            } else {
                asked.spawn(ask(&to, left, lease / LOOKS));
            }
        }
        Err(why)
    }

    /// Here first: this voter may be the leader.
    async fn ask(
        self,
        here: mpsc::Sender<AgentMessage>,
        asked: FleetCommand,
        within: Ms,
    ) -> CommandResponse {
        let until = self.clock.now() + within;
        let body = serde_json::to_vec(&asked).unwrap_or_default();
        let mut to = self.first.clone();
        let mut last = String::from("no keeper answers");
        while self.clock.now() < until {
            let (answer, told) = oneshot::channel();
            if here
                .send(AgentMessage::Command(asked.clone(), answer))
                .await
                .is_err()
            {
                break;
            }
            match told.await {
                Ok(CommandResponse::Elsewhere(Hint { leader })) => {
                    // Not over what was found since: this gateway may speak to one that is the leader no more.
                    to = to
                        .or(leader.filter(|c| self.ways.contains_key(c)))
                        .or_else(|| self.next(None));
                }
                Ok(told) => return told,
                Err(_) => {}
            }
            let Some(at) = to.clone() else { break };
            let left = until - self.clock.now();
            let said = self.ways[&at].ask(self.own.word(body.clone()), left).await;
            let read = said.map(|w| serde_json::from_slice::<CommandResponse>(&w.body));
            to = match read {
                Ok(Ok(CommandResponse::Elsewhere(Hint { leader }))) => {
                    let other = leader.filter(|c| *c != at && self.ways.contains_key(c));
                    other.or_else(|| self.next(Some(&at)))
                }
                Ok(Ok(told)) => return told,
                Ok(Err(e)) => {
                    return CommandResponse::Refused(format!(
                        "{at} answers what can't be read: {e}"
                    ))
                }
                // The same ask may be said again: the log knows it by its token.
                Err(e) => {
                    last = format!("{at}: {}", e.message());
                    self.next(Some(&at))
                }
            };
            sleep(span(LOOK_AGAIN)).await;
        }
        CommandResponse::Refused(format!(
            "the fleet has no chair that answers ({last}); what became of it, `ironstair fleet` shows"
        ))
    }
}
