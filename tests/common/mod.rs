//! Fixtures for tests of the policy: configurations, endpoints, requests, and a recorder of the policy's actions. Every
//! test binary compiles this module and uses only a part of it.
#![allow(dead_code)]

use ironstair::{
    Actions, ClassPolicy, DedupScope, Effect, Endpoint, EndpointState, MachineType, Millis,
    PolicyConfig, Request, RetryBudget,
};

/// An action of the policy, with the arguments that tests read.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// The slot of the request, and the engine.
    Attempt(usize, usize),
    /// The slot of the request, and the time after which its client may retry, in ms.
    Reject(usize, Millis),
    /// The slot of the request.
    Fail(usize),
    /// The engine.
    Probe(usize),
    /// The memory granted to the attempt, in MB.
    Grant(f64),
    /// A log line.
    Log(String),
    /// The slot of the request.
    Forget(usize),
    /// The latest time at which the attempt that follows may start.
    StartBefore(Millis),
    /// An action whose arguments no test reads, by its name.
    Other(&'static str),
}

/// Records all actions of the policy, in order.
#[derive(Default)]
pub(crate) struct RecordedActions(pub Vec<Action>);

impl RecordedActions {
    /// The slot and the engine of each attempt.
    pub(crate) fn attempts(&self) -> Vec<(usize, usize)> {
        let attempt = |action: &Action| match action {
            Action::Attempt(slot, engine) => Some((*slot, *engine)),
            _ => None,
        };
        self.0.iter().filter_map(attempt).collect()
    }

    /// The number of rejections.
    pub(crate) fn rejections(&self) -> usize {
        let is_rejection = |action: &&Action| matches!(action, Action::Reject(..));
        self.0.iter().filter(is_rejection).count()
    }

    /// Whether the action was taken.
    pub(crate) fn contains(&self, action: &Action) -> bool {
        self.0.contains(action)
    }
}

/// Implements methods of `Actions` that record one action each.
macro_rules! record {
    ($($method:ident($($argument:ident: $type:ty),*) $action:expr;)*) => {
        $(fn $method(&mut self, $($argument: $type),*) { self.0.push($action) })*
    };
}

impl Actions for RecordedActions {
    fn start_attempt(&mut self, request: usize, engine: usize, start_before: Millis) {
        self.0.extend([
            Action::StartBefore(start_before),
            Action::Attempt(request, engine),
        ]);
    }
    record! {
        withdraw_attempt(_request: usize, _nth: u8) Action::Other("withdraw");
        set_priority(_request: usize, _priority: u8, grant_mb: f64) Action::Grant(grant_mb);
        reject(request: usize, retry_after: Millis) Action::Reject(request, retry_after);
        fail(request: usize) Action::Fail(request);
        subscribe() Action::Other("subscribe");
        probe(engine: usize) Action::Probe(engine);
        wake_after(_after: Millis) Action::Other("wake");
        log(text: &str) Action::Log(text.into());
        forget(request: usize) Action::Forget(request);
    }
}

/// A class with a base objective of 500 ms and a deduplication window of 1 s.
pub(crate) fn class(value: f64, threads: f64, effect: Effect) -> ClassPolicy {
    ClassPolicy {
        base_objective: 500.0,
        objective_per_work: 2.0,
        value,
        threads,
        effect,
        dedup_window: 1000.0,
        preserves_key_order: false,
        pins_table_group: false,
        zones: None,
        machine_types: None,
        out_of_service: false,
    }
}

/// Two gateways, two machine types of 8 cores, no retry budget, no withdrawals and no probes.
pub(crate) fn policy_config(classes: Vec<ClassPolicy>) -> PolicyConfig {
    PolicyConfig {
        gateway_count: 2.0,
        classes,
        machine_types: vec![
            MachineType {
                cores: 8.0,
                memory_mb: 8192.0
            };
            2
        ],
        max_memory_grant: 0.5,
        honors_priorities: true,
        queues_when_memory_full: true,
        retries_are_marked: true,
        max_attempts: 4,
        slow_start_from: 0.3,
        slow_start_duration: 10_000.0,
        overload_factor: 3.0,
        overload_window: 1000.0,
        key_quarantine: 300.0,
        clock_resolution: 5.0,
        ..Default::default()
    }
}

/// A class of each effect, with key order, zones, machine types, a retry budget and withdrawals.
pub(crate) fn mixed_policy_config() -> PolicyConfig {
    let deduplicated = |scope| class(2.0, 1.0, Effect::Deduplicated(scope));
    let mut config = policy_config(vec![
        class(1.0, 1.0, Effect::Idempotent),
        class(6.0, 4.0, Effect::NonIdempotent),
        deduplicated(DedupScope::AllEngines),
        deduplicated(DedupScope::Zone),
        deduplicated(DedupScope::DedupDomain),
    ]);
    config.classes[0].preserves_key_order = true;
    config.classes[2].preserves_key_order = true;
    config.classes[1].zones = Some(vec![0]);
    config.classes[3].machine_types = Some(vec![1]);
    config.retry_budget = Some(RetryBudget {
        min_retries: 2.0,
        retry_ratio: 0.1,
        window: 2000.0,
    });
    config.may_withdraw = true;
    config
}

/// A ready engine whose zone, machine type, deduplication domain and cells follow from its index.
pub(crate) fn endpoint_at(engine: usize) -> Endpoint {
    let index = engine as u16;
    Endpoint {
        engine,
        id: 1000 + 7 * engine as u64,
        zone: index % 2,
        machine_type: index / 2 % 2,
        dedup_domain: index / 2,
        cells: 1 << (engine % 3),
        state: EndpointState::Ready,
        started_at: 0.0,
    }
}

/// A request of a class with this estimate of work in ms, and 3 s until its deadline.
pub(crate) fn request_with(class: usize, work: Millis) -> Request {
    Request {
        class,
        key: 0,
        time_remaining: 3000.0,
        work: Some(work),
        memory_mb: 100.0,
        table_group: 3,
        cells: 0,
        is_retry: false,
    }
}
