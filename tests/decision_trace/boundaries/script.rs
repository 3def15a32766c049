//! Passes scripted events to a gateway, and folds every action and the final views into a hash. The
//! builders here hold the settings that most scenarios share; a scenario states only what differs.

use crate::hash::Hash;
use crate::recorded_actions::{Action, RecordedActions};
use ironstair::policy::Gateway;
use ironstair::{
    ClassPolicy, Endpoint, EndpointState, MachineType, Outcome, PolicyConfig, Request,
};

/// Base latency objective of [`class`], in ms.
const BASE_OBJECTIVE: f64 = 500.0;

/// An idempotent class; its objective is 500 ms plus twice the work per thread.
pub(super) fn class() -> ClassPolicy {
    ClassPolicy {
        base_objective: BASE_OBJECTIVE,
        objective_per_work: 2.0,
        value: 1.0,
        threads: 1.0,
        effect: ironstair::Effect::Idempotent,
        dedup_window: 1000.0,
        ..Default::default()
    }
}

/// A single gateway, whose engines have 8 cores and queue queries that exceed their memory.
pub(super) fn config(classes: Vec<ClassPolicy>) -> PolicyConfig {
    PolicyConfig {
        gateway_count: 1.0,
        classes,
        machine_types: vec![MachineType {
            cores: 8.0,
            memory_mb: 8192.0,
        }],
        max_memory_grant: 0.5,
        queues_when_memory_full: true,
        retries_are_marked: true,
        may_withdraw: true,
        max_retry_after: 700.0,
        max_attempts: 4,
        slow_start_from: 0.5,
        slow_start_duration: 8000.0,
        overload_factor: 3.0,
        overload_window: 1000.0,
        key_quarantine: 300.0,
        clock_resolution: 5.0,
        ..Default::default()
    }
}

/// A ready engine that started long ago.
pub(super) fn engine(index: usize) -> Endpoint {
    Endpoint {
        engine: index,
        id: 1000 + 7 * index as u64,
        cells: 1,
        state: EndpointState::Ready,
        ..Default::default()
    }
}

/// A request of class 0 with this much estimated work, in ms on a thread, and 3 s until its
/// deadline.
pub(super) fn request(work: f64) -> Request {
    Request {
        time_remaining: 3000.0,
        work: Some(work),
        table_group: 3,
        ..Default::default()
    }
}

/// A gateway, the current time and the trace so far.
pub(super) struct Script {
    gateway: Gateway,
    actions: RecordedActions,
    hash: Hash,
    now: f64,
    engines: usize,
    classes: usize,
}

impl Script {
    pub(super) fn new(config: PolicyConfig, seed: u64) -> Self {
        Script {
            classes: config.classes.len(),
            gateway: Gateway::new(config, seed),
            actions: RecordedActions::default(),
            hash: Hash(0xCBF2_9CE4_8422_2325),
            now: 0.0,
            engines: 0,
        }
    }

    /// Sets the time of the events that follow.
    pub(super) fn at(&mut self, now: f64) -> &mut Self {
        self.now = now;
        self
    }

    /// Discovery delivers the complete endpoint list.
    pub(super) fn endpoints(&mut self, endpoints: &[Endpoint]) -> &mut Self {
        self.engines = self.engines.max(endpoints.len());
        self.gateway
            .update_endpoints(self.now, true, endpoints, &mut self.actions);
        self.fold_actions()
    }

    /// A request arrives under this index.
    pub(super) fn request(&mut self, index: usize, request: Request) -> &mut Self {
        self.gateway
            .on_request(self.now, index, request, &mut self.actions);
        self.fold_actions()
    }

    /// The request's client cancels it.
    pub(super) fn cancel(&mut self, index: usize) -> &mut Self {
        self.gateway.on_cancel(self.now, index, &mut self.actions);
        self.fold_actions()
    }

    /// The request's attempt ends, and its client is waiting for another one.
    pub(super) fn attempt_ends(&mut self, index: usize, outcome: Outcome) -> &mut Self {
        self.gateway
            .on_attempt_ended(self.now, index, outcome, false, &mut self.actions);
        self.fold_actions()
    }

    /// The request's attempt ends, and its client has the answer.
    pub(super) fn answer(&mut self, index: usize, outcome: Outcome) -> &mut Self {
        self.gateway
            .on_attempt_ended(self.now, index, outcome, true, &mut self.actions);
        self.fold_actions()
    }

    /// The engine has done this share of the request's attempt.
    pub(super) fn progress(&mut self, index: usize, share: f64) -> &mut Self {
        self.gateway
            .on_progress(self.now, index, share, &mut self.actions);
        self.fold_actions()
    }

    /// The lease on the settings is renewed until this time.
    pub(super) fn lease(&mut self, until: f64) -> &mut Self {
        self.gateway.renew_lease(self.now, until, &mut self.actions);
        self.fold_actions()
    }

    /// No request with a key starts before this time (see [`Gateway::quarantine_keys`]).
    pub(super) fn quarantine_keys(&mut self, until: f64) -> &mut Self {
        self.gateway.quarantine_keys(until);
        self
    }

    /// The timer fires.
    pub(super) fn timer(&mut self) -> &mut Self {
        self.gateway.on_timer(self.now, &mut self.actions);
        self.fold_actions()
    }

    /// The work, in ms on a thread, that a cold engine may still receive.
    pub(super) fn slow_start_allowance(&self, engine: usize) -> f64 {
        let view = self
            .gateway
            .engine_view(engine)
            .expect("the engine is listed");
        view.slow_start_allowance.expect("the engine is warming up")
    }

    /// The hash of all actions and of the final views of engines and classes.
    pub(super) fn finish(mut self) -> u64 {
        for index in 0..self.engines {
            let view = self
                .gateway
                .engine_view(index)
                .expect("the engine is listed");
            self.hash.fold_engine_view(index, &view);
        }
        for index in 0..self.classes {
            let view = self
                .gateway
                .class_view(index)
                .expect("the class is configured");
            self.hash.fold_class_view(index, &view);
        }
        self.hash.0
    }

    /// Folds the actions in the order in which the policy took them.
    fn fold_actions(&mut self) -> &mut Self {
        let actions: Vec<Action> = std::mem::take(&mut self.actions.0);
        for action in &actions {
            self.hash.fold_action(self.now, action);
        }
        self
    }
}
