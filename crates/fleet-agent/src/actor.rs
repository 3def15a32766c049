//! The actor that runs a gateway's membership in its fleet: one task with one queue. Slow operations (disk writes,
//! calls to other gateways, applying settings) run in tasks of their own, each of which reports its end by a message to
//! the queue, so that none of them delays heartbeats.

mod bootstrap;
mod commands;
mod disaster_recovery;
mod heartbeats;
mod membership;
mod pending_commands;
mod policy;
mod reporting;
mod storage_tasks;

use crate::config::FleetConfig;
use crate::envelope::Identity;
use crate::error::NoLeader;
use crate::error::StartError;
use crate::fault_injection::{is_disabled, Guard};
use crate::handle::AgentHandle;
use crate::message::{AgentMessage, CommandResponse, HeartbeatReply};
use crate::peer::VoterConnection;
use crate::prepared::{exclusive_address, random_number, PreparedAgent};
use crate::server;
use ironstair::Millis;
use ironstair_coordination::leader::Command;
use ironstair_coordination::member::{Action, Input};
use ironstair_coordination::{Member, RevisionSummary};
use ironstair_data_tree::state;
use ironstair_management::fleet_channel::FleetRequest;
use ironstair_management::ManagementHandle;
use ironstair_raft_replica::{Replica, TICK};
use ironstair_raft_storage::Storage;
use ironstair_runtime::clock::{duration, Clock};
use ironstair_runtime::state_watch::ManagementCommand;
use serde_json::Value as Json;
use slog::{error, warn, Logger};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, sleep, MissedTickBehavior};

/// Capacity of the actor's queue.
const MAILBOX_CAPACITY: usize = 1024;

/// The origin of a heartbeat that this voter's replica has to answer.
enum HeartbeatSource {
    Local,
    Remote(oneshot::Sender<HeartbeatReply>),
}

/// A voter's replica of the log, and its disk.
struct Voter {
    replica: Replica<Json>,
    /// The disk; `None` while a task writes to it.
    storage: Option<Storage>,
    /// Why the log has to be quarantined, if it has to; the quarantine follows once no write is in progress.
    quarantine_reason: Option<&'static str>,
    /// The time of the next join request, in ms.
    join_request_due: Millis,
    /// The time of the next check of the other voters' cluster generations, in ms.
    generation_check_due: Millis,
    /// Whether the current failure to write has been logged.
    failure_logged: bool,
}

/// A command whose outcome this leader waits for.
struct PendingCommand {
    command: Command<Json>,
    /// The time in ms at which the sender is told that the command is still in progress.
    deadline: Millis,
    response: oneshot::Sender<CommandResponse>,
}

/// A gateway's membership in its fleet. [`Actor::start`] creates it, [`Actor::run`] runs it until the process ends.
pub struct Actor {
    config: FleetConfig,
    identity: Identity,
    clock: Clock,
    log: Logger,
    member: Member,
    /// The replica; `None` if this gateway is not a voter.
    voter: Option<Voter>,
    management: ManagementHandle,
    gateway_commands: async_channel::Sender<ManagementCommand>,
    connections: BTreeMap<String, VoterConnection>,
    /// The voter that last answered a heartbeat.
    last_responder: Option<String>,
    mailbox: mpsc::Receiver<AgentMessage>,
    /// A handle of this actor, for the tasks that it spawns.
    handle: AgentHandle,
    manager_requests: mpsc::Receiver<FleetRequest>,
    status: watch::Sender<state::Fleet>,
    /// Heartbeats that the replica has not answered yet, by token.
    pending_heartbeats: HashMap<u64, HeartbeatSource>,
    last_token: u64,
    /// The number of this gateway's heartbeats in flight to other voters.
    heartbeats_in_flight: usize,
    pending_commands: Vec<PendingCommand>,
    leave_response: Option<oneshot::Sender<()>>,
    /// The last logged reason why no leader answered.
    last_search_error: Option<NoLeader>,
    /// The last logged state of the lease.
    lease_logged: bool,
    /// The last logged state of this voter's vote.
    vote_logged: bool,
    /// The revisions whose states have been logged.
    logged_revisions: VecDeque<RevisionSummary>,
    /// The latest cluster generation that any gateway has reported. After a loss of disks a member may know a later one
    /// than the remaining voters do.
    latest_generation: u64,
}

/// The channels between the actor and the rest of its process.
pub struct AgentChannels {
    /// The manager's requests to the fleet.
    pub manager_requests: mpsc::Receiver<FleetRequest>,
    /// The state of the fleet that the manager shows.
    pub status: watch::Sender<state::Fleet>,
    /// The manager, which validates and applies policies.
    pub management: ManagementHandle,
    /// The dispatcher's queue of commands, through which it receives its lease.
    pub gateway_commands: async_channel::Sender<ManagementCommand>,
}

impl Actor {
    /// Spawns the listener's task and creates the connections to the voters. The caller has to run the actor with
    /// [`Actor::run`]. Must be called on the runtime that runs the tasks.
    ///
    /// # Errors
    /// Fails if a voter's address is invalid, or the replica can't start with the content of the log.
    pub fn start(
        prepared: PreparedAgent,
        channels: AgentChannels,
        clock: Clock,
        log: Logger,
    ) -> Result<(Actor, AgentHandle), StartError> {
        let config = prepared.config;
        let identity = Identity {
            fleet: config.fleet.clone(),
            name: config.name.clone(),
            start: random_number(),
        };
        if let Some(note) = prepared.storage_note {
            warn!(log, "damaged fleet log repaired or quarantined at start"; "reason" => note);
        }
        let connections = connect_to_other_voters(&config)?;
        let member = new_member(&config, &identity);
        let (handle, mailbox) = AgentHandle::channel(MAILBOX_CAPACITY);
        spawn_listener(
            prepared.listener,
            identity.clone(),
            handle.clone(),
            log.clone(),
        );
        let mut actor = Actor {
            config,
            identity,
            clock,
            log,
            member,
            voter: None,
            management: channels.management,
            gateway_commands: channels.gateway_commands,
            connections,
            last_responder: None,
            mailbox,
            handle: handle.clone(),
            manager_requests: channels.manager_requests,
            status: channels.status,
            pending_heartbeats: HashMap::new(),
            last_token: 0,
            heartbeats_in_flight: 0,
            pending_commands: Vec::new(),
            leave_response: None,
            last_search_error: None,
            lease_logged: false,
            vote_logged: false,
            logged_revisions: VecDeque::new(),
            latest_generation: 0,
        };
        if let Some(storage) = prepared.storage {
            actor.open_voter(storage).map_err(StartError::Replica)?;
        }
        Ok((actor, handle))
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut ticks = interval(duration(TICK));
        // The Raft library measures time in ticks. A burst of missed ticks after a pause of the process would look like
        // an election timeout.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.advance();
            let until_heartbeat = duration(self.member.next_heartbeat_at() - self.clock.now());
            tokio::select! {
                message = self.mailbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Some(request) = self.manager_requests.recv() => self.handle_manager_request(request),
                _ = ticks.tick(), if self.voter.is_some() => self.tick(),
                () = sleep(until_heartbeat) => {}
            }
        }
    }

    fn handle_message(&mut self, message: AgentMessage) {
        match message {
            AgentMessage::Heartbeat {
                heartbeat,
                response,
            } => self.handle_heartbeat(heartbeat, response),
            AgentMessage::RaftMessage { from, bytes } => self.handle_raft_message(&from, &bytes),
            AgentMessage::JoinRequest(request) => self.handle_join_request(request),
            AgentMessage::Command { command, response } => self.handle_command(command, response),
            AgentMessage::HeartbeatAnswered(result) => self.handle_heartbeat_answer(result),
            AgentMessage::PolicyApplied {
                applied_index,
                result,
            } => self.handle_policy_applied(applied_index, result),
            AgentMessage::PolicyValidated { revision, result } => {
                self.handle_policy_validated(revision, result);
            }
            AgentMessage::SaveFinished(outcome) => self.finish_save(*outcome),
            AgentMessage::BootstrapChecked { request, result } => {
                self.finish_bootstrap(request, result);
            }
            AgentMessage::RecoveryChecked { request, result } => {
                self.finish_disaster_recovery(request, result);
            }
            AgentMessage::GenerationReported(generation) => self.handle_generation(generation),
            AgentMessage::Leave(response) => self.handle_leave(response),
        }
    }

    /// Sends a due heartbeat, answers finished commands, and logs and publishes the new state.
    fn advance(&mut self) {
        if self.clock.now() >= self.member.next_heartbeat_at() {
            self.drive_member(Input::Due);
        }
        self.answer_pending_commands();
        self.log_revision_changes();
        self.log_vote();
        self.log_lease();
        self.publish_status();
    }

    /// Passes one input to the member and carries out its actions.
    fn drive_member(&mut self, input: Input<Json>) {
        for action in self.member.handle(self.clock.now(), input) {
            match action {
                Action::Heartbeat(heartbeat) => self.send_heartbeat(heartbeat),
                Action::Apply {
                    policy_index,
                    number,
                    document,
                } => self.apply_policy(policy_index, number, document),
                Action::Validate { number, document } => self.validate_policy(number, document),
                Action::SetLease(until, share) => self.extend_lease(until, share),
                Action::LogWarning(reason) => {
                    warn!(self.log, "fleet membership problem"; "reason" => reason);
                }
            }
        }
    }

    fn handle_leave(&mut self, response: oneshot::Sender<()>) {
        self.leave_response = Some(response);
        self.drive_member(Input::Leave);
    }
}

fn connect_to_other_voters(
    config: &FleetConfig,
) -> Result<BTreeMap<String, VoterConnection>, StartError> {
    let mut connections = BTreeMap::new();
    for (name, address) in &config.voters {
        if *name == config.name {
            continue;
        }
        let connection =
            VoterConnection::new(*address).map_err(|source| StartError::VoterAddress {
                voter: name.clone(),
                source,
            })?;
        connections.insert(name.clone(), connection);
    }
    Ok(connections)
}

fn new_member(config: &FleetConfig, identity: &Identity) -> Member {
    let exclusive_resource = if is_disabled(Guard::ProofOfEnd) {
        String::new()
    } else {
        exclusive_address(config.listen)
    };
    Member::new(&config.name, identity.start, config.steady, config.lease)
        .with_exclusive_resource(exclusive_resource)
}

/// Spawns the listener's task, which runs until the process ends or the listener fails.
fn spawn_listener(listener: TcpListener, identity: Identity, handle: AgentHandle, log: Logger) {
    let serving = server::serve(listener, identity, handle, log.clone());
    tokio::spawn(async move {
        if let Err(error) = serving.await {
            error!(log, "fleet listener failed"; "error" => %error);
        }
    });
}
