//! What one gateway of a fleet holds, and until when it may decide by it.

use crate::generation::supersedes;
use crate::{Heartbeat, HeartbeatResponse, Share};
use ironstair::Ms;

/// Heartbeats in a lease: one may be lost, and one more.
const HEARTBEATS_PER_LEASE: f64 = 3.0;
/// And while a change is under way: a change of three steps is not to take a whole lease.
const HEARTBEATS_PER_LEASE_DURING_CHANGE: f64 = 15.0;

#[derive(Clone, Debug, PartialEq)]
pub enum Input<D> {
    /// Time has gone on.
    Due,
    Answered(HeartbeatResponse<D>),
    /// The decisions go by it from now on.
    Applied {
        policy_index: u64,
    },
    /// It can't be applied here: no lease without it.
    Unable {
        policy_index: u64,
        reason: String,
    },
    Validated {
        number: u64,
        how: Result<(), String>,
    },
    /// The process decides nothing any more, and ends.
    Leave,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action<D> {
    Heartbeat(Heartbeat),
    /// To be handed to the decisions, then `Applied`.
    Apply {
        policy_index: u64,
        number: u64,
        document: D,
    },
    Validate {
        number: u64,
        document: D,
    },
    /// The decisions may go on until then, by the member's own clock, with that share of what all share out.
    SetLease(Ms, Share),
    /// Worth a line in the log, said once.
    LogWarning(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    name: String,
    start: u64,
    steady: bool,
    lease: Ms,
    generation: u64,
    policy_index: u64,
    number: u64,
    applying: Option<u64>,
    until: Ms,
    validated: Option<(u64, Result<(), String>)>,
    heartbeat_due: Ms,
    last_answered: Ms,
    leaving: bool,
    said: Option<String>,
    share: Share,
    exclusive_resource: String,
}

impl Member {
    /// `start` tells this process from others of its name.
    pub fn new(name: &str, start: u64, steady: bool, lease: Ms) -> Self {
        Member {
            name: name.into(),
            start,
            steady,
            lease,
            generation: 0,
            policy_index: 0,
            number: 0,
            applying: None,
            until: 0.0,
            validated: None,
            heartbeat_due: 0.0,
            last_answered: 0.0,
            leaving: false,
            said: None,
            share: Share::default(),
            exclusive_resource: String::new(),
        }
    }

    /// What this process holds for itself alone as long as it lives: a later one of its name that holds it needs not
    /// wait for this one's lease.
    pub fn holding(mut self, exclusive_resource: String) -> Self {
        self.exclusive_resource = exclusive_resource;
        self
    }

    /// Whether it may decide.
    pub fn holds(&self, now: Ms) -> bool {
        now < self.until
    }

    /// Until when it may decide.
    pub fn until(&self) -> Ms {
        self.until
    }

    /// What of which history it holds, and the revision's number.
    pub fn held(&self) -> (u64, u64, u64) {
        (self.generation, self.policy_index, self.number)
    }

    /// One of how many it is, and whether it takes that share.
    pub fn share(&self) -> Share {
        self.share
    }

    /// When `Due` is wanted.
    pub fn due(&self) -> Ms {
        self.heartbeat_due
    }

    pub fn on<D: Clone>(&mut self, now: Ms, input: Input<D>) -> Vec<Action<D>> {
        let mut actions = Vec::new();
        match input {
            Input::Due => {}
            Input::Answered(a) if a.start == self.start => self.answered(now, a, &mut actions),
            Input::Answered(_) => {}
            Input::Applied { policy_index } => {
                if self.applying.take_if(|m| *m == policy_index).is_some() {
                    (self.policy_index, self.heartbeat_due) = (policy_index, now);
                }
            }
            Input::Unable {
                policy_index,
                reason,
            } => {
                if self.applying.take_if(|m| *m == policy_index).is_some() {
                    self.say(
                        format!("what the fleet holds can't be held here: {reason}"),
                        &mut actions,
                    );
                }
            }
            Input::Validated { number, how } => {
                (self.validated, self.heartbeat_due) = (Some((number, how)), now);
            }
            Input::Leave => {
                (self.leaving, self.heartbeat_due, self.until) = (true, now, 0.0);
                actions.push(Action::SetLease(0.0, Share::default()));
            }
        }
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + self.lease / HEARTBEATS_PER_LEASE;
            actions.push(Action::Heartbeat(Heartbeat {
                name: self.name.clone(),
                start: self.start,
                sent: now,
                generation: self.generation,
                policy_index: self.policy_index,
                last_answered: self.last_answered,
                steady: self.steady,
                validated: self.validated.clone(),
                leaving: self.leaving,
                exclusive_resource: self.exclusive_resource.clone(),
                // A share is over with the lease that it came with.
                takes_share: self.share.taken && self.holds(now),
            }));
        }
        actions
    }

    fn say<D>(&mut self, summary: String, actions: &mut Vec<Action<D>>) {
        if self.said.as_ref() != Some(&summary) {
            self.said = Some(summary.clone());
            actions.push(Action::LogWarning(summary));
        }
    }

    // Answers come late and twice: only what is newer than what is held is taken.
    fn answered<D: Clone>(
        &mut self,
        now: Ms,
        a: HeartbeatResponse<D>,
        actions: &mut Vec<Action<D>>,
    ) {
        self.last_answered = self.last_answered.max(a.sent);
        if a.heartbeat_soon {
            self.heartbeat_due = self
                .heartbeat_due
                .min(now + self.lease / HEARTBEATS_PER_LEASE_DURING_CHANGE);
        }
        if let Some(reason) = a.reason {
            self.say(reason, actions);
        }
        if a.generation != self.generation {
            // A steady one holds for good: it goes over as soon as it hears of a later history.
            let over = !self.holds(now) || self.steady && supersedes(a.generation, self.generation);
            if a.generation == 0
                || supersedes(self.generation, a.generation)
                || !over
                || self.applying.is_some()
            {
                return;
            }
            (self.generation, self.policy_index, self.validated) = (a.generation, 0, None);
        }
        if let Some((number, document)) = a
            .hold
            .filter(|_| a.policy_index > self.policy_index && self.applying.is_none())
        {
            (self.applying, self.number) = (Some(a.policy_index), number);
            actions.push(Action::Apply {
                policy_index: a.policy_index,
                number,
                document,
            });
        }
        if let Some((number, document)) = a.offer {
            if self.validated.as_ref().is_none_or(|e| e.0 < number) {
                actions.push(Action::Validate { number, document });
            }
        }
        if let Some(lease) = a
            .lease
            .filter(|_| a.policy_index == self.policy_index && !self.leaving)
        {
            let until = if self.steady {
                Ms::INFINITY
            } else {
                a.sent + lease
            };
            if until > self.until {
                (self.until, self.share) = (until, a.share.unwrap_or_default());
                actions.push(Action::SetLease(until, self.share));
            }
            self.said = None;
        }
    }
}
