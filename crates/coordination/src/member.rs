//! What one gateway of a fleet holds, and until when it may decide by it.

use crate::history::supersedes;
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
        mark: u64,
    },
    /// It can't be applied here: no lease without it.
    Unable {
        mark: u64,
        why: String,
    },
    Examined {
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
        mark: u64,
        number: u64,
        document: D,
    },
    Examine {
        number: u64,
        document: D,
    },
    /// The decisions may go on until then, by the member's own clock, with that share of what all share out.
    Hold(Ms, Share),
    /// Worth a line in the log, said once.
    Say(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    name: String,
    start: u64,
    steady: bool,
    lease: Ms,
    history: u64,
    mark: u64,
    number: u64,
    applying: Option<u64>,
    until: Ms,
    examined: Option<(u64, Result<(), String>)>,
    heartbeat_due: Ms,
    heard: Ms,
    leaving: bool,
    said: Option<String>,
    share: Share,
    place: String,
}

impl Member {
    /// `start` tells this process from others of its name.
    pub fn new(name: &str, start: u64, steady: bool, lease: Ms) -> Self {
        Member {
            name: name.into(),
            start,
            steady,
            lease,
            history: 0,
            mark: 0,
            number: 0,
            applying: None,
            until: 0.0,
            examined: None,
            heartbeat_due: 0.0,
            heard: 0.0,
            leaving: false,
            said: None,
            share: Share::default(),
            place: String::new(),
        }
    }

    /// What this process holds for itself alone as long as it lives: a later one of its name that holds it needs not
    /// wait for this one's lease.
    pub fn holding(mut self, place: String) -> Self {
        self.place = place;
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
        (self.history, self.mark, self.number)
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
            Input::Applied { mark } => {
                if self.applying.take_if(|m| *m == mark).is_some() {
                    (self.mark, self.heartbeat_due) = (mark, now);
                }
            }
            Input::Unable { mark, why } => {
                if self.applying.take_if(|m| *m == mark).is_some() {
                    self.say(
                        format!("what the fleet holds can't be held here: {why}"),
                        &mut actions,
                    );
                }
            }
            Input::Examined { number, how } => {
                (self.examined, self.heartbeat_due) = (Some((number, how)), now);
            }
            Input::Leave => {
                (self.leaving, self.heartbeat_due, self.until) = (true, now, 0.0);
                actions.push(Action::Hold(0.0, Share::default()));
            }
        }
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + self.lease / HEARTBEATS_PER_LEASE;
            actions.push(Action::Heartbeat(Heartbeat {
                name: self.name.clone(),
                start: self.start,
                sent: now,
                history: self.history,
                mark: self.mark,
                heard: self.heard,
                steady: self.steady,
                examined: self.examined.clone(),
                leaving: self.leaving,
                place: self.place.clone(),
                // A share is over with the lease that it came with.
                shares: self.share.taken && self.holds(now),
            }));
        }
        actions
    }

    fn say<D>(&mut self, what: String, actions: &mut Vec<Action<D>>) {
        if self.said.as_ref() != Some(&what) {
            self.said = Some(what.clone());
            actions.push(Action::Say(what));
        }
    }

    // Answers come late and twice: only what is newer than what is held is taken.
    fn answered<D: Clone>(
        &mut self,
        now: Ms,
        a: HeartbeatResponse<D>,
        actions: &mut Vec<Action<D>>,
    ) {
        self.heard = self.heard.max(a.sent);
        if a.soon {
            self.heartbeat_due = self
                .heartbeat_due
                .min(now + self.lease / HEARTBEATS_PER_LEASE_DURING_CHANGE);
        }
        if let Some(why) = a.why {
            self.say(why, actions);
        }
        if a.history != self.history {
            // A steady one holds for good: it goes over as soon as it hears of a later history.
            let over = !self.holds(now) || self.steady && supersedes(a.history, self.history);
            if a.history == 0
                || supersedes(self.history, a.history)
                || !over
                || self.applying.is_some()
            {
                return;
            }
            (self.history, self.mark, self.examined) = (a.history, 0, None);
        }
        if let Some((number, document)) = a
            .hold
            .filter(|_| a.mark > self.mark && self.applying.is_none())
        {
            (self.applying, self.number) = (Some(a.mark), number);
            actions.push(Action::Apply {
                mark: a.mark,
                number,
                document,
            });
        }
        if let Some((number, document)) = a.offer {
            if self.examined.as_ref().is_none_or(|e| e.0 < number) {
                actions.push(Action::Examine { number, document });
            }
        }
        if let Some(lease) = a.lease.filter(|_| a.mark == self.mark && !self.leaving) {
            let until = if self.steady {
                Ms::INFINITY
            } else {
                a.sent + lease
            };
            if until > self.until {
                (self.until, self.share) = (until, a.share.unwrap_or_default());
                actions.push(Action::Hold(until, self.share));
            }
            self.said = None;
        }
    }
}
