//! The common parts of the models of a policy change: a policy of numbers, a gateway with its member, and the
//! guarantees of `docs/design/fleet.md` as checks of gateways.

// Each model uses only a part of these.
#![allow(dead_code)]

use ironstair_coordination::member::{Action, Input};
use ironstair_coordination::record::ChangeProposal;
use ironstair_coordination::{Heartbeat, HeartbeatResponse, Member, Policy};

/// States are hashed by their debug text: the decisions contain floating-point numbers, which have no hash.
macro_rules! hashed_as_shown {
    ($world:ty) => {
        impl Eq for $world {}

        impl std::hash::Hash for $world {
            fn hash<H: std::hash::Hasher>(&self, to: &mut H) {
                format!("{self:?}").hash(to);
            }
        }
    };
}
pub(crate) use hashed_as_shown;

pub(crate) const LEASE: f64 = 3.0;
/// Gateway 1 is of an older version: it can't read this policy.
pub(crate) const UNREAD: u8 = 2;
/// The policy of a gateway that has received none.
const NONE: Pol = Pol(9, 9);

/// A policy by its number, or the intersection of two.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Pol(pub u8, pub u8);

impl Policy for Pol {
    fn intersection(&self, other: &Self) -> Option<Self> {
        Some(Pol(self.0.min(other.0), self.1.max(other.1)))
    }

    fn gateways(&self) -> f64 {
        2.0
    }
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Gate {
    pub member: Member,
    pub holding: Pol,
    pub heartbeat: Option<Heartbeat>,
    /// Whether the heartbeat has not been sent yet.
    pub unsent: bool,
    pub answer: Option<HeartbeatResponse<Pol>>,
    /// Whether the process is paused; it handles nothing then.
    pub paused: bool,
    /// Whether the lease was valid when the timer last expired, for the model without that guard.
    pub by_timer: bool,
}

impl Gate {
    pub(crate) fn new(nth: usize, start: u64) -> Gate {
        let member = Member::new(["a", "b", "c"][nth], start, false, LEASE);
        // A later process of the same name proves by this resource that this one has ended.
        let member = member.with_exclusive_resource(format!("place {nth}"));
        Gate {
            member,
            holding: NONE,
            heartbeat: None,
            unsent: false,
            answer: None,
            paused: false,
            by_timer: false,
        }
    }

    /// Passes one input to the member, and the inputs that follow from it.
    pub(crate) fn hand(&mut self, now: f64, nth: usize, input: Input<Pol>) {
        let unread = |policy: Pol| nth == 1 && policy.0.max(policy.1) == UNREAD;
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.member.handle(now, input) {
                match action {
                    Action::Heartbeat(heartbeat) => {
                        self.heartbeat = Some(heartbeat);
                        self.unsent = true;
                    }
                    Action::Apply {
                        policy_index,
                        document,
                        ..
                    } if unread(document) => {
                        inputs.push(Input::ApplyFailed {
                            policy_index,
                            reason: "a newer version".into(),
                        });
                    }
                    Action::Apply {
                        policy_index,
                        document,
                        ..
                    } => {
                        self.holding = document;
                        inputs.push(Input::Applied { policy_index });
                    }
                    Action::Validate { number, document } => {
                        let how = if unread(document) {
                            Err("a newer version".into())
                        } else {
                            Ok(())
                        };
                        inputs.push(Input::Validated((number, how).into()));
                    }
                    Action::SetLease(..) | Action::LogWarning(_) => {}
                }
            }
        }
        self.by_timer = self.member.has_lease(now);
    }

    pub(crate) fn is_heartbeat_due(&self, now: f64) -> bool {
        self.unsent || self.member.next_heartbeat_at() <= now
    }

    /// The heartbeat to send now: one that waits, or one that is due.
    pub(crate) fn sends(&mut self, now: f64, nth: usize) -> Option<Heartbeat> {
        if !std::mem::take(&mut self.unsent) {
            self.hand(now, nth, Input::Due);
            self.unsent = false;
        }
        self.heartbeat.clone()
    }

    /// Expires the timer of a process that is not paused.
    pub(crate) fn tick(&mut self, now: f64) {
        if !self.paused {
            self.by_timer = self.member.has_lease(now);
        }
    }

    /// Whether it may decide, by the clock or, without that guard, by its timer.
    pub(crate) fn decides(&self, now: f64, by_timer: bool) -> bool {
        !self.paused
            && if by_timer {
                self.by_timer
            } else {
                self.member.has_lease(now)
            }
    }
}

/// No gateway decides by one policy alone while another decides by another policy alone.
pub(crate) fn apart<'a>(deciding: impl Iterator<Item = &'a Gate>) -> bool {
    let mut alone: Vec<u8> = deciding
        .filter(|g| g.holding.0 == g.holding.1)
        .map(|g| g.holding.0)
        .collect();
    alone.dedup();
    alone.len() <= 1
}

/// Every policy that a gateway has applied alone was decided, and not refused.
pub(crate) fn all_or_none<'a>(
    gates: impl Iterator<Item = &'a Gate>,
    decided: &[u8],
    refused: &[u8],
) -> bool {
    let mut alone = gates
        .map(|g| g.holding)
        .filter(|p| p.0 == p.1 && *p != NONE);
    alone.all(|p| decided.contains(&p.0) && !refused.contains(&p.0))
}

pub(crate) fn knows<'a>(mut deciding: impl Iterator<Item = &'a Gate>) -> bool {
    deciding.all(|g| g.holding != NONE)
}

pub(crate) fn proposal(to: u8, base_revision: u64) -> ChangeProposal<Pol> {
    let (author, summary) = ("op".to_owned(), "set".to_owned());
    ChangeProposal {
        token: to as u64,
        author,
        created_at: 0.0,
        summary,
        base_revision,
        document: Pol(to, to),
        commit: None,
    }
}
