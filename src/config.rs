//! The settings of the policy.

use crate::{Endpoint, Millis};

/// The effect of a request that runs twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// The same as if it runs once.
    Idempotent,
    /// Engines within the scope recognize a repeat by its key, within the class's window.
    Deduplicated(DedupScope),
    /// The effect happens twice.
    #[default]
    NonIdempotent,
}

/// Which engines recognize a repeat of a request that one of them has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines.
    AllEngines,
    /// The engines of the same zone.
    Zone,
    /// The engines of the same deduplication domain, which is called a cell on the wire.
    DedupDomain,
}

/// The settings of a class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassPolicy {
    /// The latency objective of a request that needs no work.
    pub base_objective: Millis,
    /// By how much the objective grows with each ms of work per thread.
    pub objective_per_work: f64,
    /// The value of a request answered within its objective.
    pub value: f64,
    /// Threads that a request uses on an engine.
    pub threads: f64,
    /// The effect of a request that runs twice.
    pub effect: Effect,
    /// How long engines recognize a repeat of a deduplicated request.
    pub dedup_window: Millis,
    /// Requests of one key run in the order in which they arrived.
    pub preserves_key_order: bool,
    /// While a request runs, other requests of its table group wait on the same engine.
    pub pins_table_group: bool,
    /// Zones to which the class is restricted; none for no restriction.
    pub zones: Option<Vec<u16>>,
    /// Machine types to which the class is restricted; none for no restriction.
    pub machine_types: Option<Vec<u16>>,
    /// New requests are rejected; those that arrived earlier continue.
    pub out_of_service: bool,
}

impl ClassPolicy {
    /// The latency objective of a request with this much work, in ms on a thread.
    pub fn latency_objective(&self, work: Millis) -> Millis {
        self.base_objective + self.objective_per_work * work / self.threads
    }

    /// Whether the class's restrictions allow the endpoint.
    pub fn fits(&self, endpoint: &Endpoint) -> bool {
        allows(&self.zones, endpoint.zone) && allows(&self.machine_types, endpoint.machine_type)
    }
}

/// Whether a restriction, if there is one, names the index.
fn allows(restriction: &Option<Vec<u16>>, index: u16) -> bool {
    restriction
        .as_ref()
        .is_none_or(|allowed| allowed.contains(&index))
}

/// A machine type.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineType {
    /// Its cores.
    pub cores: f64,
    /// Its memory, in MB.
    pub memory_mb: f64,
}

/// The retry budget of the whole gateway, as in Envoy and Finagle: a minimum number of retries,
/// plus a ratio of the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that are always allowed within the window.
    pub min_retries: f64,
    /// Further retries for each request that arrived within the window.
    pub retry_ratio: f64,
    /// The sliding window in which retries and requests are counted.
    pub window: Millis,
}

/// The settings of the policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyConfig {
    /// The number of gateways that share the engines.
    pub gateway_count: f64,
    /// The classes, by index.
    pub classes: Vec<ClassPolicy>,
    /// The machine types, by index.
    pub machine_types: Vec<MachineType>,
    /// The largest memory grant, as a share of an engine's memory.
    pub max_memory_grant: f64,
    /// Engines honor memory grants.
    pub honors_memory_grants: bool,
    /// Engines honor priorities.
    pub honors_priorities: bool,
    /// An engine short of memory queues further queries. If not set, it runs them with more work,
    /// or runs all of its queries slower.
    pub queues_when_memory_full: bool,
    /// Clients mark retries. If not set, retries are inferred from the time remaining.
    pub retries_are_marked: bool,
    /// An attempt in flight may be withdrawn.
    pub may_withdraw: bool,
    /// Engines may be asked for their load.
    pub may_probe: bool,
    /// The meaning of each value of a load report, in order.
    pub report_fields: Vec<LoadMetric>,
    /// The longest time after which a rejected client is asked to retry.
    pub max_retry_after: Millis,
    /// The most attempts of a request.
    pub max_attempts: u8,
    /// Discovery sends the endpoint list only to subscribers.
    pub must_subscribe: bool,
    /// The capacity of an engine that has just started, as a share of its capacity when warm.
    pub slow_start_from: f64,
    /// How long an engine takes to warm up.
    pub slow_start_duration: Millis,
    /// A cold engine fails if it receives this many times its capacity within the overload window.
    pub overload_factor: f64,
    /// The window of the overload factor.
    pub overload_window: Millis,
    /// The retry budget; none for unlimited retries.
    pub retry_budget: Option<RetryBudget>,
    /// How long the other requests of a key wait after an attempt of unknown outcome.
    pub key_quarantine: Millis,
    /// The resolution of the host's clock.
    pub clock_resolution: Millis,
}

/// The meaning of one value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// The share in use of the engine's cores, memory or disks.
    Utilization,
    /// The number of queries that the engine runs or has queued.
    HeldQueries,
    /// A value that the policy does not use.
    Other,
}
