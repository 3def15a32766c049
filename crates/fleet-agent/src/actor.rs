//! The owner of a gateway's part in its fleet: one mailbox, one task. What it waits for (a disk, a peer, the
//! gateway's thread) is waited for by tasks of its own, which post how it ended.

mod bootstrap;
mod commands;
mod heartbeats;
mod membership;
mod reporting;
mod storage_tasks;

use crate::config::FleetConfig;
use crate::fault_injection::taken_out;
use crate::message::{AgentMessage, CommandResponse, Hint, Leave};
use crate::peer::Way;
use crate::prepared::{drawn, Opened};
use crate::server::{self, Own};
use ironstair::Ms;
use ironstair_coordination::history::supersedes;
use ironstair_coordination::leader::Command;
use ironstair_coordination::member::Input;
use ironstair_coordination::{HeartbeatResponse, Member, RevisionSummary};
use ironstair_data_tree::state;
use ironstair_management::fleet_channel::Wanted;
use ironstair_management::ManagementHandle;
use ironstair_raft_replica::{Replica, TICK};
use ironstair_raft_storage::Storage;
use ironstair_runtime::clock::{span, Clock};
use ironstair_runtime::window::ManagementCommand;
use serde_json::Value as Json;
use slog::{warn, Logger};
use std::collections::{BTreeMap, HashMap, VecDeque};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, sleep, MissedTickBehavior};

/// What may wait for the actor.
const MAILBOX: usize = 1024;

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
    lines: VecDeque<RevisionSummary>,
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
        let member = member.holding(if taken_out("place") {
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
            lines: VecDeque::new(),
            latest: 0,
        };
        if let Some(storage) = storage {
            actor.keep(storage)?;
        }
        Ok((actor, post))
    }

    /// Until the process ends.
    pub async fn run(mut self) {
        let mut ticks = interval(span(TICK));
        // After a standstill the library's time goes on from now: it counts ticks, not what the clock says.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.go_on();
            let due = span(self.member.due() - self.clock.now());
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
                    self.hear_of(heartbeat.history);
                    self.heartbeat(heartbeat, Waits::Other(to));
                }
                None => drop(to.send(Err(Hint::default()))),
            },
            AgentMessage::Agree(from, bytes) => {
                let outs = self
                    .kept
                    .as_mut()
                    .map(|k| k.replica.message(now, &from, &bytes));
                self.carry(outs.unwrap_or_default());
            }
            AgentMessage::Join(name, number, to) => {
                let Some(k) = &mut self.kept else {
                    let _ = to.send(self.member.held().0);
                    return;
                };
                if number != 0 && self.config.voters.contains_key(&name) {
                    k.replica.knocked(name, number);
                }
                // A blank one may remember what its disk knows no more.
                let of_disk = k.replica.state().fleet.history;
                let _ = to.send(if of_disk == 0 {
                    self.member.held().0
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
                    Err(why) if !self.member.holds(now) && why != self.unheard => {
                        warn!(self.log, "no keeper answers as the fleet's chair"; "why" => &why);
                        self.unheard = why;
                    }
                    Err(_) => {}
                }
                if lost {
                    self.speaks_to = None;
                }
            }
            AgentMessage::Held(mark, how) => {
                self.act(match how {
                    Ok(()) => Input::Applied { mark },
                    Err(why) => Input::Unable { mark, why },
                });
            }
            AgentMessage::Examined(number, how) => self.act(Input::Examined { number, how }),
            AgentMessage::Saved(saved) => self.saved(*saved),
            AgentMessage::Known(how, document, answer) => self.begin(how, document, answer),
            AgentMessage::KnownAnew(how, anew) => self.begin_anew(how, anew),
            AgentMessage::Heard(history) => {
                self.hear_of(history);
                let own = self
                    .kept
                    .as_ref()
                    .map_or(0, |k| k.replica.state().fleet.history);
                if own != 0 && supersedes(history, own) && !taken_out("compare") {
                    self.leave_the_older("the fleet's history began anew without this keeper");
                }
            }
            AgentMessage::Leave(done) => {
                self.leaving = Some(done);
                self.act(Input::Leave);
            }
        }
    }
}
