//! The state of one member of a cluster: the policy that it has applied, and its lease.

use crate::generation::supersedes;
use crate::{Heartbeat, HeartbeatResponse, Share, Validation};
use ironstair::Millis;

/// Heartbeats per lease: two in a row may be lost before the lease expires.
const HEARTBEATS_PER_LEASE: f64 = 3.0;
/// Heartbeats per lease while a change is in progress. Its three steps then take less than a lease together.
const HEARTBEATS_PER_LEASE_DURING_CHANGE: f64 = 15.0;

/// An event that a member handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input<D> {
    /// The time of [`Member::next_heartbeat_at`] has come.
    Due,
    /// A leader has answered a heartbeat.
    Answered(HeartbeatResponse<D>),
    /// The gateway has applied the policy of that index.
    Applied {
        /// As in [`Action::Apply`].
        policy_index: u64,
    },
    /// The gateway can't apply the policy. It gets no lease until it can.
    ApplyFailed {
        /// As in [`Action::Apply`].
        policy_index: u64,
        /// Why it can't.
        reason: String,
    },
    /// The gateway has validated a staged change.
    Validated(Validation),
    /// The process is shutting down and makes no further decisions.
    Leave,
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<D> {
    /// Send this to the leader.
    Heartbeat(Heartbeat),
    /// Apply this policy, then report [`Input::Applied`] or [`Input::ApplyFailed`].
    Apply {
        /// The policy's index.
        policy_index: u64,
        /// Its revision number.
        number: u64,
        /// The policy.
        document: D,
    },
    /// Validate this change, then report [`Input::Validated`].
    Validate {
        /// The change's revision number.
        number: u64,
        /// The proposed policy.
        document: D,
    },
    /// Let the gateway decide until this time in ms of the member's own clock, with this share of the fleet-wide
    /// limits.
    SetLease(Millis, Share),
    /// Log this warning. The same warning is not repeated until a lease is granted.
    LogWarning(String),
}

/// The policy that a member has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedState {
    /// The cluster generation that the member follows; 0 if it follows none.
    pub generation: u64,
    /// The index of the applied policy; 0 if there is none.
    pub applied_index: u64,
    /// The number of the latest revision that was passed to the gateway; it may not be applied yet.
    pub revision: u64,
}

/// The state of one member's process.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    name: String,
    start: u64,
    steady: bool,
    lease: Millis,
    applied: AppliedState,
    /// The index of the policy that the gateway is applying.
    applying: Option<u64>,
    lease_end: Millis,
    validated: Option<Validation>,
    heartbeat_due: Millis,
    last_answered: Millis,
    leaving: bool,
    /// The last warning, so that it is not repeated until a lease is granted.
    last_warning: Option<String>,
    share: Share,
    exclusive_resource: String,
}

impl Member {
    /// Creates a member without a policy and a lease. `start` must be drawn at random: it distinguishes this process
    /// from others of that name. `lease` is in ms.
    pub fn new(name: &str, start: u64, steady: bool, lease: Millis) -> Self {
        Member {
            name: name.into(),
            start,
            steady,
            lease,
            applied: AppliedState::default(),
            applying: None,
            lease_end: 0.0,
            validated: None,
            heartbeat_due: 0.0,
            last_answered: 0.0,
            leaving: false,
            last_warning: None,
            share: Share::default(),
            exclusive_resource: String::new(),
        }
    }

    /// Sets the name of a resource that only one process can hold at a time, and that this process holds until it ends.
    /// A later process of the same name that holds it need not wait for this one's lease to expire.
    pub fn with_exclusive_resource(mut self, resource: String) -> Self {
        self.exclusive_resource = resource;
        self
    }

    /// Whether the member may decide now.
    pub fn has_lease(&self, now: Millis) -> bool {
        now < self.lease_end
    }

    /// The end of the lease in ms of the member's own clock; infinite for a steady member that has had one.
    pub fn lease_end(&self) -> Millis {
        self.lease_end
    }

    /// What the member has applied.
    pub fn applied_state(&self) -> AppliedState {
        self.applied
    }

    /// The share granted with the last lease.
    pub fn share(&self) -> Share {
        self.share
    }

    /// The time in ms of the member's own clock at which the caller has to pass [`Input::Due`].
    pub fn next_heartbeat_at(&self) -> Millis {
        self.heartbeat_due
    }

    /// Handles one input. Returns the actions to carry out, in this order.
    pub fn handle<D: Clone>(&mut self, now: Millis, input: Input<D>) -> Vec<Action<D>> {
        let mut actions = Vec::new();
        match input {
            Input::Due => {}
            Input::Answered(response) => {
                if response.start == self.start {
                    self.handle_response(now, response, &mut actions);
                }
            }
            Input::Applied { policy_index } => {
                if self.finish_applying(policy_index) {
                    self.applied.applied_index = policy_index;
                    self.heartbeat_due = now;
                }
            }
            Input::ApplyFailed {
                policy_index,
                reason,
            } => {
                if self.finish_applying(policy_index) {
                    let warning = format!("the fleet's policy can't be applied here: {reason}");
                    self.warn(warning, &mut actions);
                }
            }
            Input::Validated(validation) => {
                self.validated = Some(validation);
                self.heartbeat_due = now;
            }
            Input::Leave => {
                self.leaving = true;
                self.heartbeat_due = now;
                self.lease_end = 0.0;
                actions.push(Action::SetLease(0.0, Share::default()));
            }
        }
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + self.lease / HEARTBEATS_PER_LEASE;
            actions.push(Action::Heartbeat(self.heartbeat(now)));
        }
        actions
    }

    /// Notes that the gateway has finished applying the policy of that index. Returns false if another policy, or none,
    /// was being applied.
    fn finish_applying(&mut self, policy_index: u64) -> bool {
        self.applying
            .take_if(|applying| *applying == policy_index)
            .is_some()
    }

    fn heartbeat(&self, now: Millis) -> Heartbeat {
        Heartbeat {
            name: self.name.clone(),
            start: self.start,
            sent: now,
            generation: self.applied.generation,
            applied_index: self.applied.applied_index,
            last_answered: self.last_answered,
            steady: self.steady,
            validated: self.validated.clone(),
            leaving: self.leaving,
            exclusive_resource: self.exclusive_resource.clone(),
            // A share is valid only as long as the lease with which it was granted.
            uses_share: self.share.is_granted && self.has_lease(now),
        }
    }

    fn warn<D>(&mut self, warning: String, actions: &mut Vec<Action<D>>) {
        if self.last_warning.as_ref() != Some(&warning) {
            self.last_warning = Some(warning.clone());
            actions.push(Action::LogWarning(warning));
        }
    }

    /// Handles a leader's response. Responses may arrive late or twice, so that only newer content is used.
    fn handle_response<D: Clone>(
        &mut self,
        now: Millis,
        response: HeartbeatResponse<D>,
        actions: &mut Vec<Action<D>>,
    ) {
        self.last_answered = self.last_answered.max(response.sent);
        if response.heartbeat_soon {
            let soon = now + self.lease / HEARTBEATS_PER_LEASE_DURING_CHANGE;
            self.heartbeat_due = self.heartbeat_due.min(soon);
        }
        if let Some(reason) = response.reason {
            self.warn(reason, actions);
        }
        if !self.accepts_generation(now, response.generation) {
            return;
        }
        if let Some((number, document)) = response.apply {
            self.apply(response.policy_index, number, document, actions);
        }
        if let Some((number, document)) = response.validate {
            if self
                .validated
                .as_ref()
                .is_none_or(|validation| validation.number < number)
            {
                actions.push(Action::Validate { number, document });
            }
        }
        if let Some(lease) = response.lease {
            if response.policy_index == self.applied.applied_index && !self.leaving {
                let share = response.share.unwrap_or_default();
                self.extend_lease(response.sent + lease, share, actions);
            }
        }
    }

    /// Whether the member uses a response of that generation. Moves the member to that generation if it may follow it.
    fn accepts_generation(&mut self, now: Millis, generation: u64) -> bool {
        if generation == self.applied.generation {
            return true;
        }
        // A steady member's lease never ends: without the second condition it could never move to a later generation.
        let may_move =
            !self.has_lease(now) || self.steady && supersedes(generation, self.applied.generation);
        let is_older = supersedes(self.applied.generation, generation);
        if generation == 0 || is_older || !may_move || self.applying.is_some() {
            return false;
        }
        self.applied.generation = generation;
        self.applied.applied_index = 0;
        self.validated = None;
        true
    }

    fn apply<D>(
        &mut self,
        policy_index: u64,
        number: u64,
        document: D,
        actions: &mut Vec<Action<D>>,
    ) {
        if policy_index <= self.applied.applied_index || self.applying.is_some() {
            return;
        }
        self.applying = Some(policy_index);
        self.applied.revision = number;
        actions.push(Action::Apply {
            policy_index,
            number,
            document,
        });
    }

    fn extend_lease<D>(&mut self, end: Millis, share: Share, actions: &mut Vec<Action<D>>) {
        let end = if self.steady { Millis::INFINITY } else { end };
        if end > self.lease_end {
            self.lease_end = end;
            self.share = share;
            actions.push(Action::SetLease(end, share));
        }
        self.last_warning = None;
    }
}
