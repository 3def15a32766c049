//! The client model: random requests of three classes, which are retried when they are rejected or fail. All constants
//! are assumptions.

use crate::engine::{
    Query, COLD_START_SPEED, CORES, OVERLOAD_FACTOR, OVERLOAD_WINDOW, WARM_UP_TIME,
};
use ironstair::random::{mix, Pcg};
use ironstair::{ClassPolicy, Effect, MachineType, Millis, PolicyConfig, RetryBudget};

/// The frequency, resources and value of the requests of one class.
struct ClassProfile {
    /// Share of all requests.
    share: f64,
    threads: f64,
    /// Mean work in core milliseconds.
    mean_work: f64,
    /// A request's value counts as served only if it is settled within this time.
    objective: Millis,
    /// The client stops waiting after this time.
    deadline: Millis,
    value: f64,
    effect: Effect,
}

const CLASSES: [ClassProfile; 3] = [
    ClassProfile {
        share: 0.8,
        threads: 1.0,
        mean_work: 120.0,
        objective: 600.0,
        deadline: 2500.0,
        value: 1.0,
        effect: Effect::Idempotent,
    },
    ClassProfile {
        share: 0.04,
        threads: 4.0,
        mean_work: 2400.0,
        objective: 5000.0,
        deadline: 12_000.0,
        value: 3.0,
        effect: Effect::Idempotent,
    },
    ClassProfile {
        share: 0.16,
        threads: 1.0,
        mean_work: 80.0,
        objective: 600.0,
        deadline: 2500.0,
        value: 2.0,
        effect: Effect::NonIdempotent,
    },
];

/// The fractional part of the golden ratio. Its multiples modulo 1 are evenly spread, so that in any interval each
/// class occurs in proportion to its share.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;
/// The number of table groups that requests use.
const TABLE_GROUP_COUNT: f64 = 60.0;
/// The longest wait before a retry that gateways may advise.
pub const MAX_RETRY_AFTER: Millis = 2000.0;
/// The shortest wait before a retry, and the wait of clients without advice.
const MIN_RETRY_AFTER: Millis = 50.0;
/// How often a client sends a request, including the first time.
const MAX_TRIES: u8 = 6;
/// A request's work is uniformly distributed between this multiple of its class's mean and
/// `MIN_WORK_FACTOR + WORK_FACTOR_RANGE`.
const MIN_WORK_FACTOR: f64 = 0.4;
/// See [`MIN_WORK_FACTOR`].
const WORK_FACTOR_RANGE: f64 = 1.2;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of its class.
    pub class: usize,
    /// Its work in core milliseconds.
    pub work: f64,
    /// Its table group.
    pub table_group: u64,
    /// When the client first made it.
    pub created_at: Millis,
    /// When the client stops waiting.
    pub deadline: Millis,
    /// How often it has been sent to a gateway.
    pub tries: u8,
    ignores_advice: bool,
    /// Whether it has its final answer, or will not be retried.
    pub is_finished: bool,
    /// How many engines have started to execute it.
    pub executions: u32,
}

/// A random number that is uniform in the open interval from 0 to 1.
fn random_fraction(random: &mut Pcg) -> f64 {
    (random.draw() as f64 + 0.5) / 4294967296.0
}

/// A random index below `count`.
pub fn random_index(random: &mut Pcg, count: usize) -> usize {
    (random_fraction(random) * count as f64) as usize % count.max(1)
}

/// The policy configuration of each gateway.
pub fn policy_config(gateway_count: f64) -> PolicyConfig {
    let class_policy = |class: &ClassProfile| ClassPolicy {
        base_objective: class.objective,
        value: class.value,
        threads: class.threads,
        effect: class.effect,
        ..ClassPolicy::default()
    };
    PolicyConfig {
        gateway_count,
        classes: CLASSES.iter().map(class_policy).collect(),
        machine_types: vec![MachineType {
            cores: CORES,
            memory_mb: 32_768.0,
        }],
        queues_when_memory_full: true,
        retries_are_marked: true,
        may_withdraw: true,
        max_retry_after: MAX_RETRY_AFTER,
        max_attempts: 6,
        slow_start_from: COLD_START_SPEED,
        slow_start_duration: WARM_UP_TIME,
        overload_factor: OVERLOAD_FACTOR,
        overload_window: OVERLOAD_WINDOW,
        retry_budget: Some(RetryBudget {
            min_retries: 10.0,
            retry_ratio: 0.1,
            window: 10_000.0,
        }),
        clock_resolution: 5.0,
        ..PolicyConfig::default()
    }
}

/// The clients and their requests.
pub(crate) struct Clients {
    /// All requests so far, by index.
    pub(crate) requests: Vec<Request>,
    requests_per_ms: f64,
    /// Share of the requests whose client ignores advice and retries at once.
    ignore_advice_share: f64,
}

impl Clients {
    /// Clients whose requests need `load` times the cores of `engine_count` engines.
    pub(crate) fn new(engine_count: u32, load: f64, ignore_advice_share: f64) -> Clients {
        let mean_work: f64 = CLASSES
            .iter()
            .map(|class| class.share * class.mean_work)
            .sum();
        Clients {
            requests: Vec::new(),
            requests_per_ms: load * engine_count as f64 * CORES / mean_work,
            ignore_advice_share,
        }
    }

    /// The random time until the next request. It varies little, so that the value served in a second reflects the
    /// service and not how many requests were made in that second.
    pub(crate) fn next_interval(&self, random: &mut Pcg) -> Millis {
        (0.5 + random_fraction(random)) / self.requests_per_ms
    }

    /// Makes a random request, and returns its index.
    pub(crate) fn create_request(&mut self, random: &mut Pcg, now: Millis) -> usize {
        let index = self.requests.len();
        let class = class_of(index);
        // The product of two uniform numbers makes low indices frequent, so that few table groups get most of the work.
        let group = (TABLE_GROUP_COUNT * random_fraction(random) * random_fraction(random)) as u64;
        let work_factor = MIN_WORK_FACTOR + WORK_FACTOR_RANGE * random_fraction(random);
        let ignores_advice = random_fraction(random) < self.ignore_advice_share;
        self.requests.push(Request {
            class,
            work: CLASSES[class].mean_work * work_factor,
            table_group: mix(group + 1),
            created_at: now,
            deadline: now + CLASSES[class].deadline,
            tries: 0,
            ignores_advice,
            is_finished: false,
            executions: 0,
        });
        index
    }
}

/// The class of the request with this index.
fn class_of(index: usize) -> usize {
    let position = (index as f64 * GOLDEN_RATIO_FRACTION).fract();
    let mut class = 0;
    let mut cumulative_share = CLASSES[0].share;
    while position > cumulative_share && class + 1 < CLASSES.len() {
        class += 1;
        cumulative_share += CLASSES[class].share;
    }
    class
}

impl Request {
    /// Whether it is not idempotent, so that engines may execute it only once.
    pub fn is_non_idempotent(&self) -> bool {
        CLASSES[self.class].effect == Effect::NonIdempotent
    }

    /// Its value if it is settled within its objective.
    pub fn value(&self) -> f64 {
        CLASSES[self.class].value
    }

    /// The query that an engine runs for it.
    pub fn query(&self) -> Query {
        Query {
            threads: CLASSES[self.class].threads,
            work: self.work,
            table_group: self.table_group,
        }
    }

    /// Whether an answer at this time is within its objective.
    pub fn is_within_objective(&self, at: Millis) -> bool {
        at - self.created_at <= CLASSES[self.class].objective
    }

    /// When its client retries after an answer that advises to wait for `retry_after`; `None` if the client gives up.
    pub fn retry_at(&self, now: Millis, retry_after: Millis) -> Option<Millis> {
        let delay = match self.ignores_advice {
            true => MIN_RETRY_AFTER,
            false => retry_after.max(MIN_RETRY_AFTER),
        };
        let at = now + delay;
        (self.tries < MAX_TRIES && at < self.deadline).then_some(at)
    }
}
