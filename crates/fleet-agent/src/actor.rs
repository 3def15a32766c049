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
use crate::message::{AgentMessage, CommandResponse, LeaderHint, Leave};
use crate::peer::VoterConnection;
use crate::prepared::{random_number, PreparedAgent};
use crate::server::{self, Identity};
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
const MAILBOX_CAPACITY: usize = 1024;

enum HeartbeatSource {
    Local,
    Remote(oneshot::Sender<Result<HeartbeatResponse<Json>, LeaderHint>>),
}

/// A voter's log and its disk, which is elsewhere while it writes.
struct Voter {
    replica: Replica<Json>,
    storage: Option<Storage>,
    /// Why the disk is to be left, once it is not being written.
    quarantine_reason: Option<&'static str>,
    join_request_due: Ms,
    generation_check_due: Ms,
    failure_logged: bool,
}

struct PendingCommand {
    command: Command<Json>,
    deadline: Ms,
    response: oneshot::Sender<CommandResponse>,
}

pub struct Actor {
    config: FleetConfig,
    identity: Identity,
    clock: Clock,
    log: Logger,
    member: Member,
    voter: Option<Voter>,
    management: ManagementHandle,
    gateway_commands: async_channel::Sender<ManagementCommand>,
    connections: BTreeMap<String, VoterConnection>,
    /// The voter that last answered a heartbeat.
    last_responder: Option<String>,
    mailbox: mpsc::Receiver<AgentMessage>,
    sender: mpsc::Sender<AgentMessage>,
    manager_requests: mpsc::Receiver<Wanted>,
    status: watch::Sender<state::Fleet>,
    pending_heartbeats: HashMap<u64, HeartbeatSource>,
    last_token: u64,
    heartbeats_in_flight: usize,
    pending_commands: Vec<PendingCommand>,
    leave_response: Option<oneshot::Sender<()>>,
    /// Why no leader answered, as last said.
    last_search_error: String,
    /// Whether it was said that a lease is held.
    lease_logged: bool,
    /// Whether it was said that this voter has a vote.
    vote_logged: bool,
    /// The revisions as last told to the log.
    logged_revisions: VecDeque<RevisionSummary>,
    /// The latest history that anybody told of: a member may know more than what is left of the voters.
    latest_generation: u64,
}

/// The ends of an actor that others hold.
pub struct AgentChannels {
    pub manager_requests: mpsc::Receiver<Wanted>,
    pub status: watch::Sender<state::Fleet>,
}

impl Actor {
    /// Must be called on the runtime that serves it; the listener's task is started here.
    ///
    /// # Errors
    /// The disk holds no voter's log, or an address can't be one.
    pub fn start(
        opened: PreparedAgent,
        channels: AgentChannels,
        management: ManagementHandle,
        gateway_commands: async_channel::Sender<ManagementCommand>,
        clock: Clock,
        log: Logger,
    ) -> Result<(Actor, Leave), String> {
        let PreparedAgent {
            config,
            bound,
            storage,
            note,
        } = opened;
        let identity = Identity {
            fleet: config.fleet.clone(),
            name: config.name.clone(),
            start: random_number(),
        };
        let (sender, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        if let Some(note) = note {
            warn!(log, "the fleet's log here is not what it was"; "why" => note);
        }
        let others = config
            .voters
            .iter()
            .filter(|(name, _)| **name != config.name);
        let connections = others.map(|(name, at)| Ok((name.clone(), VoterConnection::to(*at)?)));
        let connections = connections.collect::<Result<BTreeMap<_, _>, String>>()?;
        let member = Member::new(&config.name, identity.start, config.steady, config.lease);
        let member = member.holding(if taken_out("place") {
            String::new()
        } else {
            server::place(config.listen)
        });
        let serving = server::serve(bound, identity.clone(), sender.clone(), log.clone());
        let said = log.clone();
        tokio::spawn(async move {
            if let Err(why) = serving.await {
                warn!(said, "the fleet's listener has ended"; "why" => why);
            }
        });
        let mut actor = Actor {
            config,
            identity,
            clock,
            log,
            member,
            voter: None,
            management,
            gateway_commands,
            connections,
            last_responder: None,
            mailbox,
            sender: sender.clone(),
            manager_requests: channels.manager_requests,
            status: channels.status,
            pending_heartbeats: HashMap::new(),
            last_token: 0,
            heartbeats_in_flight: 0,
            pending_commands: Vec::new(),
            leave_response: None,
            last_search_error: String::new(),
            lease_logged: false,
            vote_logged: false,
            logged_revisions: VecDeque::new(),
            latest_generation: 0,
        };
        if let Some(storage) = storage {
            actor.open_voter(storage)?;
        }
        Ok((actor, sender))
    }

    /// Until the process ends.
    pub async fn run(mut self) {
        let mut ticks = interval(span(TICK));
        // After a standstill the library's time goes on from now: it counts ticks, not what the clock says.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.advance();
            let due = span(self.member.due() - self.clock.now());
            tokio::select! {
                mail = self.mailbox.recv() => match mail {
                    Some(mail) => self.handle(mail),
                    None => return,
                },
                Some(wanted) = self.manager_requests.recv() => self.handle_manager_request(wanted),
                _ = ticks.tick(), if self.voter.is_some() => self.tick(),
                () = sleep(due) => {}
            }
        }
    }

    fn handle(&mut self, mail: AgentMessage) {
        let now = self.clock.now();
        match mail {
            AgentMessage::Heartbeat(heartbeat, to) => match &mut self.voter {
                Some(_) => {
                    self.note_generation(heartbeat.history);
                    self.submit_heartbeat(heartbeat, HeartbeatSource::Remote(to));
                }
                None => drop(to.send(Err(LeaderHint::default()))),
            },
            AgentMessage::RaftMessage(from, bytes) => {
                let outs = self
                    .voter
                    .as_mut()
                    .map(|k| k.replica.message(now, &from, &bytes));
                self.execute(outs.unwrap_or_default());
            }
            AgentMessage::JoinRequest(name, number, to) => {
                let Some(k) = &mut self.voter else {
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
            AgentMessage::Command(asked, to) => self.handle_command(asked, to),
            AgentMessage::HeartbeatAnswered(answer) => {
                self.heartbeats_in_flight -= 1;
                let lost = answer.is_err();
                match answer {
                    Ok((by, answer)) => {
                        (self.last_responder, self.last_search_error) = (Some(by), String::new());
                        self.apply_heartbeat_response(answer);
                    }
                    // Once, not with each heartbeat.
                    Err(why) if !self.member.holds(now) && why != self.last_search_error => {
                        warn!(self.log, "no keeper answers as the fleet's chair"; "why" => &why);
                        self.last_search_error = why;
                    }
                    Err(_) => {}
                }
                if lost {
                    self.last_responder = None;
                }
            }
            AgentMessage::PolicyApplied(mark, how) => {
                self.drive_member(match how {
                    Ok(()) => Input::Applied { mark },
                    Err(why) => Input::Unable { mark, why },
                });
            }
            AgentMessage::PolicyValidated(number, how) => {
                self.drive_member(Input::Examined { number, how })
            }
            AgentMessage::SaveFinished(saved) => self.finish_save(*saved),
            AgentMessage::BootstrapChecked(how, document, answer) => {
                self.finish_bootstrap(how, document, answer)
            }
            AgentMessage::RecoveryChecked(how, anew) => self.finish_disaster_recovery(how, anew),
            AgentMessage::GenerationHeard(history) => {
                self.note_generation(history);
                let own = self
                    .voter
                    .as_ref()
                    .map_or(0, |k| k.replica.state().fleet.history);
                if own != 0 && supersedes(history, own) && !taken_out("compare") {
                    self.quarantine_log("the fleet's history began anew without this keeper");
                }
            }
            AgentMessage::Leave(done) => {
                self.leave_response = Some(done);
                self.drive_member(Input::Leave);
            }
        }
    }
}
