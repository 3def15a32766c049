//! A simulated gateway: the production policy and fleet member, with the slots of its requests.

use crate::event::ProcessId;
use ironstair::policy::Gateway;
use ironstair::{Actions, Millis, PolicyConfig};
use ironstair_coordination::{Member, Share};

/// An action that the policy requested.
#[derive(Debug)]
pub(crate) enum PolicyAction {
    StartAttempt { slot: usize, engine: usize },
    WithdrawAttempt { slot: usize },
    Reject { slot: usize, retry_after: Millis },
    Fail { slot: usize },
    WakeAfter { delay: Millis },
    Forget { slot: usize },
}

/// Records the actions of one call of the policy in order.
#[derive(Default)]
pub(crate) struct ActionRecorder {
    pub(crate) actions: Vec<PolicyAction>,
}

impl Actions for ActionRecorder {
    fn start_attempt(&mut self, slot: usize, engine: usize, _start_before: Millis) {
        self.actions
            .push(PolicyAction::StartAttempt { slot, engine });
    }

    fn withdraw_attempt(&mut self, slot: usize, _attempt_number: u8) {
        self.actions.push(PolicyAction::WithdrawAttempt { slot });
    }

    fn set_priority(&mut self, _slot: usize, _priority: u8, _grant_mb: f64) {}

    fn reject(&mut self, slot: usize, retry_after: Millis) {
        self.actions
            .push(PolicyAction::Reject { slot, retry_after });
    }

    fn fail(&mut self, slot: usize) {
        self.actions.push(PolicyAction::Fail { slot });
    }

    fn subscribe(&mut self) {}

    fn probe(&mut self, _engine: usize) {}

    fn wake_after(&mut self, delay: Millis) {
        self.actions.push(PolicyAction::WakeAfter { delay });
    }

    fn log(&mut self, _text: &str) {}

    fn forget(&mut self, slot: usize) {
        self.actions.push(PolicyAction::Forget { slot });
    }
}

/// The use of a slot by a request at a gateway.
#[derive(Clone, Debug)]
pub(crate) struct SlotUse {
    /// The request's index.
    pub(crate) request: usize,
    /// Identifies the use of the slot, unique in the run.
    pub(crate) use_number: u64,
    /// The engine of the attempt in flight, if any.
    pub(crate) engine: Option<usize>,
    pub(crate) is_answered: bool,
}

/// The slots that identify requests to the policy. Released slots are reused, the last released first.
#[derive(Default)]
pub(crate) struct Slots {
    slots: Vec<Option<SlotUse>>,
    free: Vec<usize>,
}

impl Slots {
    pub(crate) fn occupy(&mut self, slot_use: SlotUse) -> usize {
        match self.free.pop() {
            Some(slot) => {
                self.slots[slot] = Some(slot_use);
                slot
            }
            None => {
                self.slots.push(Some(slot_use));
                self.slots.len() - 1
            }
        }
    }

    pub(crate) fn release(&mut self, slot: usize) {
        if self.slots[slot].take().is_some() {
            self.free.push(slot);
        }
    }

    pub(crate) fn get(&self, slot: usize) -> Option<&SlotUse> {
        self.slots.get(slot).and_then(Option::as_ref)
    }

    pub(crate) fn get_mut(&mut self, slot: usize) -> Option<&mut SlotUse> {
        self.slots.get_mut(slot).and_then(Option::as_mut)
    }

    /// The slot uses whose requests have no answer yet.
    pub(crate) fn unanswered(&self) -> Vec<SlotUse> {
        self.slots
            .iter()
            .flatten()
            .filter(|slot_use| !slot_use.is_answered)
            .cloned()
            .collect()
    }
}

pub(crate) struct SimulatedGateway {
    pub(crate) is_up: bool,
    pub(crate) process: ProcessId,
    pub(crate) paused_until: Millis,
    pub(crate) policy: Gateway,
    pub(crate) slots: Slots,
    /// Number of the latest timer; earlier timers are ignored when they fire.
    pub(crate) latest_timer: u64,
    /// The fleet member; `None` if the scenario has no fleet.
    pub(crate) member: Option<Member>,
    pub(crate) policy_config: PolicyConfig,
    /// The share of the fleet's limits that the policy uses, once the member has set one.
    pub(crate) share: Option<Share>,
    /// Number of the latest scheduled heartbeat; earlier ones are ignored when they are due.
    pub(crate) latest_heartbeat: u64,
}

impl SimulatedGateway {
    pub(crate) fn new(
        process: ProcessId,
        policy_config: PolicyConfig,
        policy_seed: u64,
        member: Option<Member>,
    ) -> SimulatedGateway {
        SimulatedGateway {
            is_up: true,
            process,
            paused_until: 0.0,
            policy: Gateway::new(policy_config.clone(), policy_seed),
            slots: Slots::default(),
            latest_timer: 0,
            member,
            policy_config,
            share: None,
            latest_heartbeat: 0,
        }
    }

    /// Whether `process` is the gateway's current process and runs.
    pub(crate) fn is_running(&self, process: ProcessId) -> bool {
        self.is_up && self.process == process
    }

    pub(crate) fn has_lease(&self, now: Millis) -> bool {
        self.member
            .as_ref()
            .is_some_and(|member| member.has_lease(now))
    }
}
