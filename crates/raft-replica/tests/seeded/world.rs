//! Three voters and three members in virtual time: their processes, disks and messages.

use ironstair_coordination::member::{Action, Input};
use ironstair_coordination::{Heartbeat, HeartbeatResponse, Member, Policy};
use ironstair_raft_replica::{Image, Output, Replica, Save, TICK};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use slog::{o, Discard, Logger};
use std::collections::BTreeMap;

/// In ms.
pub(crate) const LEASE: f64 = 3000.0;
pub(crate) const VOTER_COUNT: usize = 3;
pub(crate) const PROCESS_COUNT: usize = 6;
/// The names of the processes: first the voters, then the members.
pub(crate) const NAMES: [&str; PROCESS_COUNT] = ["k0", "k1", "k2", "m0", "m1", "m2"];

/// A policy for the test: a range with its lower and upper bound. Proposed policies have equal bounds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PolicyRange(pub u64, pub u64);

impl Policy for PolicyRange {
    fn intersection(&self, other: &Self) -> Option<Self> {
        Some(PolicyRange(self.0.min(other.0), self.1.max(other.1)))
    }
}

/// The content of a message between processes. Heartbeats carry the index of their member as the token.
#[derive(Clone)]
pub(crate) enum Message {
    Library(Vec<u8>),
    Join(String, u64),
    Heartbeat(u64, Heartbeat),
    HeartbeatResponse(HeartbeatResponse<PolicyRange>),
    NotLeader(Option<String>),
}

/// A message in flight.
#[derive(Clone)]
pub(crate) struct Envelope {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

/// A voter or a member, with the state that outlives its process.
#[derive(Default)]
pub(crate) struct Process {
    pub replica: Option<Replica<PolicyRange>>,
    pub image: Image,
    /// The write in progress and the time at which it completes.
    pub pending_save: Option<(f64, Save)>,
    pub member: Option<Member>,
    /// The policy that the member has applied.
    pub applied_policy: Option<PolicyRange>,
    /// The index of the voter to which the member sends its heartbeats.
    pub target_voter: usize,
    pub last_heartbeat: Option<Heartbeat>,
    pub last_answered: f64,
    pub down_until: f64,
    pub paused_until: f64,
}

/// The simulated processes and the network between them.
pub(crate) struct World {
    /// In ms since the start.
    pub now: f64,
    pub random: Pcg64Mcg,
    pub processes: Vec<Process>,
    /// Messages in flight, by their arrival time and number.
    pub messages: BTreeMap<(u64, u64), Envelope>,
    pub messages_sent: u64,
    /// Whether the link from the first to the second process delivers nothing.
    pub cut_links: [[bool; PROCESS_COUNT]; PROCESS_COUNT],
    /// When each policy index was first seen in a voter's state.
    pub policy_index_times: BTreeMap<u64, f64>,
    /// The decided policies by revision number.
    pub decided: BTreeMap<u64, PolicyRange>,
    /// The number of proposed changes.
    pub commands_submitted: u64,
    /// For the control of a test: a voter that lost its disk keeps its id.
    pub lost_disk_keeps_id: bool,
    pub log: Logger,
}

impl World {
    pub(crate) fn new(seed: u64) -> World {
        let mut world = World {
            now: 0.0,
            random: Pcg64Mcg::new(seed as u128),
            processes: (0..PROCESS_COUNT).map(|_| Process::default()).collect(),
            messages: BTreeMap::new(),
            messages_sent: 0,
            cut_links: Default::default(),
            policy_index_times: BTreeMap::new(),
            decided: BTreeMap::from([(0, PolicyRange(0, 0))]),
            commands_submitted: 0,
            lost_disk_keeps_id: false,
            log: Logger::root(Discard, o!()),
        };
        // One voter is bootstrapped; the others are admitted like any voter with a new disk.
        world.processes[0].image =
            Replica::bootstrap_image("k0", 1, 77, PolicyRange(0, 0), None).unwrap();
        for index in 1..VOTER_COUNT {
            world.processes[index].image = Image::blank(1 + index as u64);
        }
        (0..PROCESS_COUNT).for_each(|index| world.start(index));
        world
    }

    pub(crate) fn random_below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit
    }

    /// Starts a process from its disk.
    pub(crate) fn start(&mut self, index: usize) {
        let now = self.now;
        let start = self.random.next_u64() | 1;
        let process = &mut self.processes[index];
        if index < VOTER_COUNT {
            let replica = Replica::open(NAMES[index], index, LEASE, &process.image, now, &self.log);
            process.replica = Some(replica.unwrap());
            process.pending_save = None;
        } else {
            process.member = Some(Member::new(NAMES[index], start, false, LEASE));
            process.applied_policy = None;
        }
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, message: Message) {
        // Some messages are delayed for longer than a lease, some are duplicated and some are lost.
        let copies = [1, 1, 1, 1, 1, 1, 1, 1, 2, 0][self.random_below(10) as usize];
        for _ in 0..copies {
            let max_delay = if self.random_below(40) == 0 { 5000 } else { 20 };
            let arrives_at = self.now as u64 + 1 + self.random_below(max_delay);
            self.messages_sent += 1;
            let message = message.clone();
            let envelope = Envelope { from, to, message };
            self.messages
                .insert((arrives_at, self.messages_sent), envelope);
        }
    }

    /// Carries out the outputs of a voter.
    pub(crate) fn handle_outputs(&mut self, index: usize, outputs: Vec<Output<PolicyRange>>) {
        for output in outputs {
            match output {
                Output::Save(save) => {
                    let max_delay = if self.random_below(50) == 0 { 1000 } else { 8 };
                    let completes_at = self.now + self.random_below(max_delay) as f64;
                    self.processes[index].pending_save = Some((completes_at, save));
                }
                Output::Send(to, bytes) => {
                    let to = NAMES.iter().position(|name| *name == to).unwrap();
                    self.send(index, to, Message::Library(bytes));
                }
                Output::HeartbeatResponse(token, response) => {
                    self.send(index, token as usize, Message::HeartbeatResponse(response));
                }
                Output::NotLeader(token, leader) => {
                    self.send(index, token as usize, Message::NotLeader(leader));
                }
                Output::DiskOutdated => {
                    panic!("disk outdated, although no older copy was restored")
                }
            }
        }
    }

    /// Gives a member an input and carries out the actions that follow from it.
    pub(crate) fn handle_input(&mut self, index: usize, input: Input<PolicyRange>) {
        let now = self.now;
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(member) = self.processes[index].member.as_mut() else {
                return;
            };
            for action in member.handle(now, input) {
                match action {
                    Action::Heartbeat(heartbeat) => {
                        let to = self.processes[index].target_voter;
                        self.processes[index].last_heartbeat = Some(heartbeat.clone());
                        self.send(index, to, Message::Heartbeat(index as u64, heartbeat));
                    }
                    Action::Apply {
                        policy_index,
                        document,
                        ..
                    } => {
                        self.processes[index].applied_policy = Some(document);
                        inputs.push(Input::Applied { policy_index });
                    }
                    Action::Validate { number, .. } => {
                        // Each member rejects one change in twelve.
                        let result = if self.random_below(12) == 0 {
                            Err("no".to_owned())
                        } else {
                            Ok(())
                        };
                        inputs.push(Input::Validated((number, result).into()));
                    }
                    Action::SetLease(..) | Action::LogWarning(_) => {}
                }
            }
        }
    }

    pub(crate) fn is_running(&self, index: usize) -> bool {
        let process = &self.processes[index];
        self.now >= process.down_until && self.now >= process.paused_until
    }

    /// Simulates the next five milliseconds.
    pub(crate) fn step(&mut self) {
        self.now += 5.0;
        self.deliver_due();
        for index in 0..PROCESS_COUNT {
            if self.is_running(index) {
                self.advance(index);
            }
        }
        self.check_guarantees();
    }

    /// Delivers the messages that have arrived.
    pub(crate) fn deliver_due(&mut self) {
        let due: Vec<(u64, u64)> = self
            .messages
            .range(..(self.now as u64, 0))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let Some(envelope) = self.messages.remove(&key) else {
                continue;
            };
            let Envelope { from, to, .. } = envelope;
            if self.now < self.processes[to].paused_until {
                // The message waits in the socket until the process continues.
                let arrives_at = self.processes[to].paused_until as u64 + 1;
                self.messages.insert((arrives_at, key.1), envelope);
            } else if self.is_running(to) && !self.cut_links[from][to] {
                self.deliver(from, to, envelope.message);
            }
        }
    }

    /// The actions of a running process without a message: it starts, its write completes, its timers expire.
    pub(crate) fn advance(&mut self, index: usize) {
        if self.processes[index].replica.is_none() && self.processes[index].member.is_none() {
            self.start(index);
        }
        let now = self.now;
        if let Some((_, save)) = self.processes[index]
            .pending_save
            .take_if(|(completes_at, _)| *completes_at <= now)
        {
            self.processes[index].image.apply(save);
            let replica = self.processes[index].replica.as_mut();
            let outputs = replica.map(|replica| replica.save_completed(now));
            self.handle_outputs(index, outputs.unwrap_or_default());
        }
        let is_tick_due = self.now % TICK < 5.0;
        let replica = self.processes[index].replica.as_mut();
        if let Some(replica) = replica.filter(|_| is_tick_due) {
            let outputs = replica.tick(now);
            let request = replica.join_request();
            self.handle_outputs(index, outputs);
            for to in (0..VOTER_COUNT).filter(|to| *to != index) {
                if let Some((name, id)) = request.clone() {
                    self.send(index, to, Message::Join(name, id));
                }
            }
        }
        let process = &mut self.processes[index];
        let member = process.member.as_ref();
        if member.is_some_and(|member| member.next_heartbeat_at() <= now) {
            if now > process.last_answered + LEASE / 2.0 {
                process.target_voter = (process.target_voter + 1) % VOTER_COUNT;
            }
            self.handle_input(index, Input::Due);
        }
    }

    pub(crate) fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now;
        match message {
            Message::HeartbeatResponse(response) => {
                self.processes[to].last_answered = now;
                self.handle_input(to, Input::Answered(response));
            }
            Message::NotLeader(leader) => {
                let leader =
                    leader.and_then(|leader| NAMES.iter().position(|name| **name == leader));
                let member = &mut self.processes[to];
                member.last_answered = now;
                member.target_voter = leader.unwrap_or((from + 1) % VOTER_COUNT);
                // If the voter names the leader, the member sends the heartbeat there.
                if let Some((leader, heartbeat)) = leader.zip(member.last_heartbeat.clone()) {
                    self.send(to, leader, Message::Heartbeat(to as u64, heartbeat));
                }
            }
            Message::Join(name, id) => {
                self.processes[to]
                    .replica
                    .iter_mut()
                    .for_each(|replica| replica.handle_join_request(name.clone(), id));
            }
            Message::Library(bytes) => {
                let outputs = self.processes[to]
                    .replica
                    .as_mut()
                    .map(|replica| replica.handle_message(now, NAMES[from], &bytes));
                self.handle_outputs(to, outputs.unwrap_or_default());
            }
            Message::Heartbeat(token, heartbeat) => {
                let outputs = self.processes[to]
                    .replica
                    .as_mut()
                    .map(|replica| replica.heartbeat(now, token, heartbeat));
                self.handle_outputs(to, outputs.unwrap_or_default());
            }
        }
    }

    /// Simulates that time in ms.
    pub(crate) fn run_for(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }
}
