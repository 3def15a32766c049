//! The common parts of the models of a policy change: a policy of numbers, a gateway with its member, and the
//! guarantees of `docs/design/fleet.md` as checks of gateways.

// Each model uses only a part of these.
#![allow(dead_code)]

use ironstair_coordination::member::{Action, Input};
use ironstair_coordination::record::ChangeProposal;
use ironstair_coordination::{Heartbeat, HeartbeatResponse, Member, Policy};

/// Hashes states by their debug text: they contain floating-point numbers, which have no hash.
macro_rules! hash_by_debug_text {
    ($world:ty) => {
        impl Eq for $world {}

        impl std::hash::Hash for $world {
            fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
                format!("{self:?}").hash(hasher);
            }
        }
    };
}
pub(crate) use hash_by_debug_text;

pub(crate) const LEASE: f64 = 3.0;
/// The number of a policy that gateway 1, which is of an older version, can't read.
pub(crate) const UNREADABLE: u8 = 2;
/// The policy of a gateway that has received none.
const NO_POLICY: TestPolicy = TestPolicy(9, 9);

/// A policy by its number, given twice, or the intersection of two: the smaller and the larger number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TestPolicy(pub u8, pub u8);

impl Policy for TestPolicy {
    fn intersection(&self, other: &Self) -> Option<Self> {
        Some(TestPolicy(self.0.min(other.0), self.1.max(other.1)))
    }

    fn gateways(&self) -> f64 {
        2.0
    }
}

/// A gateway's process.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Gateway {
    pub member: Member,
    pub applied_policy: TestPolicy,
    /// The latest heartbeat.
    pub heartbeat: Option<Heartbeat>,
    /// Whether the heartbeat has not been sent yet.
    pub is_heartbeat_unsent: bool,
    /// The response that is on its way to the gateway.
    pub response: Option<HeartbeatResponse<TestPolicy>>,
    /// Whether the process is paused; it handles nothing then.
    pub is_paused: bool,
    /// Whether the lease was valid when the timer last expired, for the model in which a lease is not checked by the
    /// clock.
    pub is_leased_by_timer: bool,
}

impl Gateway {
    pub(crate) fn new(index: usize, start: u64) -> Gateway {
        let member = Member::new(["a", "b", "c"][index], start, false, LEASE);
        // A later process of the same name proves by this resource that this one has ended.
        let member = member.with_exclusive_resource(format!("place {index}"));
        Gateway {
            member,
            applied_policy: NO_POLICY,
            heartbeat: None,
            is_heartbeat_unsent: false,
            response: None,
            is_paused: false,
            is_leased_by_timer: false,
        }
    }

    /// Passes one input to the member, and the inputs that follow from it.
    pub(crate) fn handle(&mut self, now: f64, index: usize, input: Input<TestPolicy>) {
        let is_unreadable = |policy: TestPolicy| index == 1 && policy.0.max(policy.1) == UNREADABLE;
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.member.handle(now, input) {
                match action {
                    Action::Heartbeat(heartbeat) => {
                        self.heartbeat = Some(heartbeat);
                        self.is_heartbeat_unsent = true;
                    }
                    Action::Apply {
                        policy_index,
                        document,
                        ..
                    } if is_unreadable(document) => {
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
                        self.applied_policy = document;
                        inputs.push(Input::Applied { policy_index });
                    }
                    Action::Validate { number, document } => {
                        let result = if is_unreadable(document) {
                            Err("a newer version".into())
                        } else {
                            Ok(())
                        };
                        inputs.push(Input::Validated((number, result).into()));
                    }
                    Action::SetLease(..) | Action::LogWarning(_) => {}
                }
            }
        }
        self.is_leased_by_timer = self.member.has_lease(now);
    }

    pub(crate) fn is_heartbeat_due(&self, now: f64) -> bool {
        self.is_heartbeat_unsent || self.member.next_heartbeat_at() <= now
    }

    /// The heartbeat to send now: the unsent one, or a new one.
    pub(crate) fn next_heartbeat(&mut self, now: f64, index: usize) -> Option<Heartbeat> {
        if !std::mem::take(&mut self.is_heartbeat_unsent) {
            self.handle(now, index, Input::Due);
            self.is_heartbeat_unsent = false;
        }
        self.heartbeat.clone()
    }

    /// Expires the timer, unless the process is paused.
    pub(crate) fn expire_timer(&mut self, now: f64) {
        if !self.is_paused {
            self.is_leased_by_timer = self.member.has_lease(now);
        }
    }

    /// Whether it decides, with its lease checked by the clock or by its timer.
    pub(crate) fn decides(&self, now: f64, by_timer: bool) -> bool {
        !self.is_paused
            && if by_timer {
                self.is_leased_by_timer
            } else {
                self.member.has_lease(now)
            }
    }
}

/// Whether no gateway decides by one policy alone while another decides by another policy alone.
pub(crate) fn at_most_one_policy_decides<'a>(deciding: impl Iterator<Item = &'a Gateway>) -> bool {
    let mut numbers: Vec<u8> = deciding
        .filter(|gateway| gateway.applied_policy.0 == gateway.applied_policy.1)
        .map(|gateway| gateway.applied_policy.0)
        .collect();
    numbers.dedup();
    numbers.len() <= 1
}

/// Whether every policy that a gateway has applied alone was decided, and not refused.
pub(crate) fn applied_policies_were_decided<'a>(
    gateways: impl Iterator<Item = &'a Gateway>,
    decided: &[u8],
    refused: &[u8],
) -> bool {
    let mut applied_alone = gateways
        .map(|gateway| gateway.applied_policy)
        .filter(|policy| policy.0 == policy.1 && *policy != NO_POLICY);
    applied_alone.all(|policy| decided.contains(&policy.0) && !refused.contains(&policy.0))
}

pub(crate) fn all_have_a_policy<'a>(mut deciding: impl Iterator<Item = &'a Gateway>) -> bool {
    deciding.all(|gateway| gateway.applied_policy != NO_POLICY)
}

/// The proposal of the policy of that number.
pub(crate) fn proposal(number: u8, base_revision: u64) -> ChangeProposal<TestPolicy> {
    let (author, summary) = ("op".to_owned(), "set".to_owned());
    ChangeProposal {
        token: number as u64,
        author,
        created_at: 0.0,
        summary,
        base_revision,
        document: TestPolicy(number, number),
        commit: None,
    }
}
