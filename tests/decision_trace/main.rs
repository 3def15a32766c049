//! A trace of decisions: guards against refactorings that alter a decision of the policy unnoticed.
//!
//! Each scenario below passes several thousand events, drawn from a seed, to the policy. Every
//! action (each call of `Actions`, in order, with its time and all arguments, floats by their bits)
//! and, at regular intervals, the views of engines and classes are folded into one hash, which is
//! compared with the expected one. One action more, less or earlier, or a difference in the last
//! bit of one argument, changes the hash.
//!
//! A change that is meant to alter decisions changes the expected hashes; the failing test prints
//! the new ones. The commit of such a change says so and gives the reason.
//!
//! The hashes hold for one platform: `powf`, `ln` and `exp` come from its mathematical library, and
//! their last bits may differ on another. They were computed on x86-64 Linux with glibc. An
//! optimized build has hashes of its own: its compiler replaces `powf` with the constant base 0.5
//! or 2 by `exp2`, which differs in the last bit for about one value in a thousand. A base that is
//! no longer a constant has the same effect there.
//!
//! The host is a plain event loop: it sends requests, ends attempts after drawn times with drawn
//! outcomes, and carries out the policy's actions. Only `RecordedActions`, `Host::call`,
//! `Host::fold_views`, `Host::check_engine_ready`, the configurations and `boundaries::script` use
//! the policy's interface. Nothing here depends on the order of a hash table.
//!
//! The scenarios in `boundaries` complete these: each brings one comparison of the policy to exact
//! equality, which randomly drawn times hardly ever do.

use ironstair::policy::{ClassView, EngineView, Gateway};
use ironstair::{
    Actions, ClassPolicy, Cost, DedupScope, Effect, Endpoint, EndpointState, LoadMetric,
    MachineType, Outcome, PolicyConfig, Request, RetryBudget,
};
use std::collections::BTreeMap;

mod boundaries;

/// Every action, call and outcome, and evidence that each rule was applied. All of them have to
/// occur in the scenarios taken together.
const MUST_OCCUR: [&str; 46] = [
    "action start_attempt",
    "action forget",
    "action log",
    "action probe",
    "action reject",
    "action fail",
    "action subscribe",
    "action set_priority",
    "action wake_after",
    "action withdraw_attempt",
    "call update_config",
    "call on_client_closed",
    "call restrict_to_cells",
    "call on_timer",
    "call begin_shutdown",
    "call on_cancel",
    "call on_attempt_ended",
    "call on_progress",
    "call on_load_report",
    "call quarantine_keys",
    "call update_endpoints",
    "call update_endpoints, full",
    "call endpoint_watch_lost",
    "call on_request",
    "call renew_lease",
    "outcome EngineError",
    "outcome Rejected",
    "outcome ConnectFailed",
    "outcome ConnectionLost",
    "outcome Completed, cost reported",
    "outcome Completed, cost unknown",
    "outcome ConnectionLostByPeerAttempt",
    "outcome TimedOut",
    "outcome Unsent",
    "outcome Withdrawn",
    // Rules that cannot be told apart by their actions alone.
    "rule answer_at_the_deadline",
    "rule handle_overdue_attempts",
    "rule reject_without_lease",
    "rule shed_load",
    "seen cold engine with its allowance used up",
    "seen further attempt",
    "seen reused index",
    "seen request to a class out of service",
    "seen recovery probe of an ejected engine",
    "seen withdrawal at a progress report",
    "seen withdrawal for a client that cancelled",
];

struct Scenario {
    name: &'static str,
    seed: u64,
    config: fn() -> PolicyConfig,
    engine_count: usize,
    /// Mean time between two requests outside of bursts, in ms.
    mean_arrival_interval: f64,
    event_count: usize,
    table_group_count: u64,
    /// The number of keys; 0 if requests have none.
    key_count: u64,
    /// The configuration changes and needs a lease, keys are quarantined, and the gateway announces
    /// shutdowns.
    has_config_changes: bool,
    /// The hash in an unoptimized build, and in an optimized one.
    expected: [u64; 2],
}

const SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "classes of each effect, keys, retry budget, cold and draining engines",
        seed: 1,
        config: classes_of_each_effect,
        engine_count: 8,
        mean_arrival_interval: 25.0,
        event_count: 20000,
        table_group_count: 12,
        key_count: 6,
        has_config_changes: false,
        expected: [0xf406_0929_d125_fa1f, 0x0aa3_f02c_ed18_40a3],
    },
    Scenario {
        name: "engines that queue for memory, memory grants and priorities",
        seed: 2,
        config: priorities_and_grants,
        engine_count: 6,
        mean_arrival_interval: 40.0,
        event_count: 15000,
        table_group_count: 5,
        key_count: 0,
        has_config_changes: false,
        expected: [0x457c_a51a_4577_6ac9, 0x7c0c_dbee_f92b_8490],
    },
    Scenario {
        name: "engines that do not queue for memory and allow no withdrawals",
        seed: 3,
        config: without_memory_queue,
        engine_count: 5,
        mean_arrival_interval: 40.0,
        event_count: 15000,
        table_group_count: 40,
        key_count: 3,
        has_config_changes: false,
        expected: [0xf468_16c6_36fa_9f7f, 0xadd8_01f2_8b1e_08cb],
    },
    Scenario {
        name: "hundreds of gateways that probe",
        seed: 4,
        config: hundreds_of_gateways,
        engine_count: 30,
        mean_arrival_interval: 150.0,
        event_count: 15000,
        table_group_count: 400,
        key_count: 0,
        has_config_changes: false,
        expected: [0x71e3_e8d7_a398_8d04, 0xd6ba_8212_cb68_4c05],
    },
    Scenario {
        name: "configuration changes, leases that end, announced shutdowns",
        seed: 5,
        config: classes_of_each_effect,
        engine_count: 7,
        mean_arrival_interval: 30.0,
        event_count: 20000,
        table_group_count: 20,
        key_count: 5,
        has_config_changes: true,
        expected: [0xca84_6ab7_c1ba_1808, 0x3e02_7990_0ee1_5a67],
    },
    Scenario {
        name: "hundreds of gateways, configuration changes",
        seed: 6,
        config: hundreds_of_gateways,
        engine_count: 12,
        mean_arrival_interval: 120.0,
        event_count: 12000,
        table_group_count: 300,
        key_count: 4,
        has_config_changes: true,
        expected: [0x10ae_9e16_b5e0_4123, 0x10e5_761e_3609_4aab],
    },
];

fn class_policy(value: f64, threads: f64, base_objective: f64, effect: Effect) -> ClassPolicy {
    ClassPolicy {
        base_objective,
        objective_per_work: 2.0,
        value,
        threads,
        effect,
        dedup_window: 1500.0,
        ..Default::default()
    }
}

/// Two gateways with three machine types, a retry budget and a subscription to discovery; the
/// engines honor priorities, queue for memory and allow withdrawals.
fn base_config(classes: Vec<ClassPolicy>) -> PolicyConfig {
    let machine_types = [(8.0, 8192.0), (16.0, 32768.0), (4.0, 4096.0)];
    PolicyConfig {
        gateway_count: 2.0,
        classes,
        machine_types: machine_types
            .map(|(cores, memory_mb)| MachineType { cores, memory_mb })
            .to_vec(),
        max_memory_grant: 0.5,
        honors_priorities: true,
        queues_when_memory_full: true,
        retries_are_marked: true,
        may_withdraw: true,
        max_retry_after: 700.0,
        max_attempts: 4,
        must_subscribe: true,
        slow_start_from: 0.3,
        slow_start_duration: 8000.0,
        overload_factor: 3.0,
        overload_window: 1000.0,
        retry_budget: Some(RetryBudget {
            min_retries: 3.0,
            retry_ratio: 0.1,
            window: 2000.0,
        }),
        key_quarantine: 300.0,
        clock_resolution: 5.0,
        ..Default::default()
    }
}

/// A class of each effect, with key order, zones and machine types.
fn classes_of_each_effect() -> PolicyConfig {
    let mut config = base_config(vec![
        class_policy(1.0, 1.0, 400.0, Effect::Idempotent),
        class_policy(6.0, 4.0, 3000.0, Effect::NonIdempotent),
        class_policy(
            2.0,
            1.0,
            500.0,
            Effect::Deduplicated(DedupScope::AllEngines),
        ),
        class_policy(2.0, 2.0, 500.0, Effect::Deduplicated(DedupScope::Zone)),
        class_policy(
            3.0,
            1.0,
            600.0,
            Effect::Deduplicated(DedupScope::DedupDomain),
        ),
    ]);
    config.classes[0].preserves_key_order = true;
    config.classes[2].preserves_key_order = true;
    config.classes[1].zones = Some(vec![0]);
    config.classes[3].machine_types = Some(vec![1, 2]);
    config
}

/// Engines that honor priorities and memory grants, and no retry budget.
fn priorities_and_grants() -> PolicyConfig {
    let mut config = base_config(vec![
        class_policy(1.0, 1.0, 300.0, Effect::Idempotent),
        class_policy(9.0, 4.0, 4000.0, Effect::Idempotent),
        class_policy(4.0, 2.0, 1000.0, Effect::NonIdempotent),
    ]);
    config.gateway_count = 3.0;
    config.honors_memory_grants = true;
    config.max_memory_grant = 0.25;
    config.classes[2].pins_table_group = true;
    config.retry_budget = None;
    config
}

/// Engines that do not queue for memory, ignore priorities and allow no withdrawals; clients do not
/// mark retries.
fn without_memory_queue() -> PolicyConfig {
    let mut config = base_config(vec![
        class_policy(1.0, 1.0, 300.0, Effect::Idempotent),
        class_policy(5.0, 6.0, 3000.0, Effect::Deduplicated(DedupScope::Zone)),
        class_policy(2.0, 2.0, 800.0, Effect::NonIdempotent),
    ]);
    config.gateway_count = 4.0;
    config.queues_when_memory_full = false;
    config.retries_are_marked = false;
    config.may_withdraw = false;
    config.must_subscribe = false;
    config.honors_priorities = false;
    config.honors_memory_grants = true;
    config.max_attempts = 3;
    config.classes[2].preserves_key_order = true;
    config.classes[2].machine_types = Some(vec![0, 1]);
    config.report_fields = vec![LoadMetric::HeldQueries, LoadMetric::Other];
    config
}

/// Each of 300 gateways has a small share of the engines and may probe them.
fn hundreds_of_gateways() -> PolicyConfig {
    let mut config = base_config(vec![
        class_policy(1.0, 1.0, 400.0, Effect::Idempotent),
        class_policy(
            8.0,
            4.0,
            4000.0,
            Effect::Deduplicated(DedupScope::AllEngines),
        ),
        class_policy(2.0, 2.0, 900.0, Effect::NonIdempotent),
    ]);
    config.gateway_count = 300.0;
    config.may_probe = true;
    config.honors_memory_grants = true;
    config.report_fields = vec![
        LoadMetric::Utilization,
        LoadMetric::Other,
        LoadMetric::HeldQueries,
    ];
    config.classes[0].preserves_key_order = true;
    config
}

/// The configuration after a change: a class out of service or back, other limits, or a further
/// class.
fn changed_config(mut config: PolicyConfig, random: &mut Random) -> PolicyConfig {
    let class_count = config.classes.len();
    let has_many_gateways = config.gateway_count >= 100.0;
    let class_index = random.below(class_count as u64) as usize;
    let class = &mut config.classes[class_index];
    match random.below(10) {
        0 | 1 => class.out_of_service = !class.out_of_service,
        2 => class.dedup_window = random.between(100.0, 4000.0),
        3 => {
            class.zones = [None, Some(vec![0]), Some(vec![1])][random.below(3) as usize].clone();
        }
        4 => {
            class.machine_types =
                [None, Some(vec![0, 2]), Some(vec![1])][random.below(3) as usize].clone();
        }
        5 => {
            class.value = random.between(0.5, 9.0);
            class.objective_per_work = random.between(1.5, 4.0);
        }
        6 => {
            config.gateway_count = if has_many_gateways {
                random.between(200.0, 400.0)
            } else {
                random.between(1.0, 6.0)
            }
            .floor();
        }
        7 => {
            config.max_attempts = 1 + random.below(5) as u8;
            config.retry_budget = random.chance(0.8).then(|| RetryBudget {
                min_retries: 2.0,
                retry_ratio: random.between(0.0, 0.3),
                window: 1500.0,
            });
        }
        8 if class_count < 8 => {
            let further = class_policy(2.0, 1.0, 700.0, Effect::Idempotent);
            config.classes.push(further);
        }
        8 => {
            config.may_withdraw = random.chance(0.7);
            config.queues_when_memory_full = random.chance(0.7);
        }
        _ => {
            config.slow_start_from = random.between(0.2, 0.8);
            config.machine_types[0].cores = random.between(6.0, 12.0).floor();
        }
    }
    // At least half of the classes stay in service.
    let out_of_service = config.classes.iter().filter(|class| class.out_of_service);
    if out_of_service.count() * 2 > config.classes.len() {
        for class in &mut config.classes {
            class.out_of_service = false;
        }
    }
    config
}

/// The host's own random numbers (xorshift): a change to the generator of the crate leaves the
/// events as they are.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }
    /// A whole number less than the limit.
    fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 33) % limit
    }
    /// Uniform in [0, 1).
    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
    fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }
}

/// FNV-1a over the bytes of all that is folded in.
struct Hash(u64);

impl Hash {
    fn fold_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ *byte as u64).wrapping_mul(0x0100_0000_01B3);
        }
    }
    fn fold_words(&mut self, words: &[u64]) {
        for word in words {
            self.fold_bytes(&word.to_le_bytes());
        }
    }
    fn fold_optional_float(&mut self, value: Option<f64>) {
        self.fold_words(&value.map_or([0, 0], |float| [1, float.to_bits()]));
    }

    /// Folds in an action that the policy took at this time.
    fn fold_action(&mut self, now: f64, action: &Action) {
        self.fold_words(&[now.to_bits()]);
        match action {
            Action::Attempt(request, engine, start_before) => {
                self.fold_words(&[1, *request as u64, *engine as u64, start_before.to_bits()]);
            }
            Action::Withdraw(request, nth) => {
                self.fold_words(&[2, *request as u64, *nth as u64]);
            }
            Action::SetPriority(request, priority, grant_mb) => {
                self.fold_words(&[3, *request as u64, *priority as u64, grant_mb.to_bits()]);
            }
            Action::Reject(request, retry_after) => {
                self.fold_words(&[4, *request as u64, retry_after.to_bits()]);
            }
            Action::Fail(request) => self.fold_words(&[5, *request as u64]),
            Action::Subscribe => self.fold_words(&[6]),
            Action::Probe(engine) => self.fold_words(&[7, *engine as u64]),
            Action::WakeAfter(after) => self.fold_words(&[8, after.to_bits()]),
            Action::Log(text) => {
                // The expected hashes were computed when this log line read " set aside: ". Mapping
                // the text back shows that nothing else in the line has changed.
                assert!(!text.contains(" set aside: "), "{text}");
                let text = text.replace(" ejected: ", " set aside: ");
                self.fold_words(&[9, text.len() as u64]);
                self.fold_bytes(text.as_bytes());
            }
            Action::Forget(request) => self.fold_words(&[10, *request as u64]),
        }
    }

    /// Folds in the view of the engine with this index.
    fn fold_engine_view(&mut self, index: usize, view: &EngineView) {
        self.fold_words(&[
            100,
            index as u64,
            view.state as u64,
            view.failures as u64,
            view.outcomes_seen as u64,
        ]);
        self.fold_words(
            &[view.cores, view.threads, view.slowdown, view.full_until].map(f64::to_bits),
        );
        self.fold_optional_float(view.last_report.map(|report| report.at));
        self.fold_optional_float(view.last_report.map(|report| report.share));
        self.fold_optional_float(view.next_probe_at);
        self.fold_optional_float(view.slow_start_allowance);
    }

    /// Folds in the view of the class with this index.
    fn fold_class_view(&mut self, index: usize, view: &ClassView) {
        self.fold_words(&[101, index as u64, view.waiting as u64]);
        self.fold_words(
            &[
                view.threads,
                view.charged_work,
                view.weight,
                view.typical_work,
            ]
            .map(f64::to_bits),
        );
    }
}

/// An action of the policy, with the arguments in the order of [`Actions`].
#[derive(Clone, Debug)]
enum Action {
    Attempt(usize, usize, f64),
    Withdraw(usize, u8),
    SetPriority(usize, u8, f64),
    Reject(usize, f64),
    Fail(usize),
    Subscribe,
    Probe(usize),
    WakeAfter(f64),
    Log(String),
    Forget(usize),
}

#[derive(Default)]
struct RecordedActions(Vec<Action>);

impl Actions for RecordedActions {
    fn start_attempt(&mut self, request: usize, engine: usize, start_before: f64) {
        self.0.push(Action::Attempt(request, engine, start_before));
    }
    fn withdraw_attempt(&mut self, request: usize, nth: u8) {
        self.0.push(Action::Withdraw(request, nth));
    }
    fn set_priority(&mut self, request: usize, priority: u8, grant_mb: f64) {
        self.0
            .push(Action::SetPriority(request, priority, grant_mb));
    }
    fn reject(&mut self, request: usize, retry_after: f64) {
        self.0.push(Action::Reject(request, retry_after));
    }
    fn fail(&mut self, request: usize) {
        self.0.push(Action::Fail(request));
    }
    fn subscribe(&mut self) {
        self.0.push(Action::Subscribe);
    }
    fn probe(&mut self, engine: usize) {
        self.0.push(Action::Probe(engine));
    }
    fn wake_after(&mut self, after: f64) {
        self.0.push(Action::WakeAfter(after));
    }
    fn log(&mut self, text: &str) {
        self.0.push(Action::Log(text.into()));
    }
    fn forget(&mut self, request: usize) {
        self.0.push(Action::Forget(request));
    }
}

/// A call of the gateway. Requests and engines are identified by their indices.
enum Call {
    /// Whether the endpoint list is complete, and the endpoints.
    UpdateEndpoints(bool, Vec<Endpoint>),
    EndpointWatchLost,
    Request(usize, Request),
    RestrictToCells(usize, u64),
    /// The request, how its attempt ended, and whether the client has its answer.
    AttemptEnded(usize, Outcome, bool),
    Progress(usize, f64),
    LoadReport(usize, Vec<f64>),
    Cancel(usize),
    ClientClosed(usize),
    BeginShutdown(f64),
    RenewLease(f64),
    QuarantineKeys(f64),
    UpdateConfig(PolicyConfig),
    Timer,
}

/// An event that the host has scheduled. A request or an attempt is identified by the index and the
/// serial number, because an index is reused.
enum Event {
    RequestArrives,
    RetryArrives(Request),
    AttemptEnds(usize, u64),
    Progress(usize, u64),
    Timer,
    /// The engine, and whether the gateway requested the report.
    LoadReport(usize, bool),
    FullEndpointList,
    EngineChanges,
    EndpointWatchLost,
    ClientCancels(usize, u64),
    ClientCloses(usize, u64),
    CellsAreRestricted(usize, u64),
    ConfigChanges,
    LeaseIsRenewed,
    KeysAreQuarantined,
    ShutdownBegins,
}

struct RunningAttempt {
    serial: u64,
    engine: usize,
    sent_at: f64,
    ends_at: f64,
    outcome: Outcome,
    is_withdrawn: bool,
}

struct RequestModel {
    serial: u64,
    request: Request,
    deadline: f64,
    /// The client has its answer, or has cancelled.
    is_over: bool,
    attempts: u64,
    running: Option<RunningAttempt>,
}

struct EngineModel {
    endpoint: Endpoint,
    /// By how much attempts take longer than on a healthy engine.
    slowdown: f64,
    /// The probability that an attempt fails.
    failure_rate: f64,
    busy_threads: u64,
}

struct Host<'a> {
    scenario: &'a Scenario,
    /// How often each call, action, outcome and rule has occurred.
    counts: &'a mut BTreeMap<String, u64>,
    config: PolicyConfig,
    gateway: Gateway,
    random: Random,
    hash: Hash,
    now: f64,
    last_serial: u64,
    /// Events by the bits of their time, and by a serial number among those of the same time.
    queue: BTreeMap<(u64, u64), Event>,
    requests: Vec<Option<RequestModel>>,
    free_indices: Vec<usize>,
    engines: Vec<EngineModel>,
    lease_until: f64,
}

impl<'a> Host<'a> {
    fn new(scenario: &'a Scenario, counts: &'a mut BTreeMap<String, u64>) -> Self {
        let config = (scenario.config)();
        let engines = (0..scenario.engine_count).map(|index| EngineModel {
            endpoint: Endpoint {
                engine: index,
                id: 1000 + 7 * index as u64,
                zone: index as u16 % 2,
                machine_type: index as u16 / 2 % 3,
                dedup_domain: index as u16 / 2,
                cells: 1 << (index % 3),
                state: EndpointState::Ready,
                started_at: 0.0,
            },
            slowdown: 1.0,
            failure_rate: 0.0,
            busy_threads: 0,
        });
        Host {
            gateway: Gateway::new(config.clone(), scenario.seed),
            engines: engines.collect(),
            scenario,
            counts,
            config,
            random: Random(scenario.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            hash: Hash(0xCBF2_9CE4_8422_2325),
            now: 1000.0,
            last_serial: 0,
            queue: BTreeMap::new(),
            requests: vec![],
            free_indices: vec![],
            lease_until: f64::INFINITY,
        }
    }

    fn count(&mut self, label: &str) {
        *self.counts.entry(label.into()).or_default() += 1;
    }

    fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    fn schedule(&mut self, delay: f64, event: Event) {
        let at = (self.now + delay).to_bits();
        let key = (at, self.next_serial());
        self.queue.insert(key, event);
    }

    /// Plays all events of the scenario, and returns the hash.
    fn play(mut self) -> u64 {
        let endpoints = self.engines.iter().map(|engine| engine.endpoint).collect();
        self.call(Call::UpdateEndpoints(true, endpoints));
        let first_events = [
            (0.0, Event::RequestArrives),
            (300.0, Event::EngineChanges),
            (5000.0, Event::EndpointWatchLost),
        ];
        for (delay, event) in first_events {
            self.schedule(delay, event);
        }
        if self.scenario.has_config_changes {
            let further_events = [
                (50.0, Event::LeaseIsRenewed),
                (900.0, Event::ConfigChanges),
                (4000.0, Event::KeysAreQuarantined),
                (15_000.0, Event::ShutdownBegins),
            ];
            for (delay, event) in further_events {
                self.schedule(delay, event);
            }
        }
        for nth in 0..self.scenario.event_count {
            let (key, event) = self.queue.pop_first().expect("requests keep arriving");
            self.now = f64::from_bits(key.0);
            self.handle_event(event);
            if nth % 50 == 0 {
                self.fold_views();
            }
        }
        self.fold_views();
        self.hash.0
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each kind")]
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestArrives => {
                let request = self.draw_request();
                self.send_request(request);
                // During 3 s of every 8 s, three times as many requests arrive.
                let burst = if self.now % 8000.0 < 3000.0 { 3.0 } else { 1.0 };
                let interval =
                    2.0 * self.scenario.mean_arrival_interval / burst * self.random.unit();
                self.schedule(interval, Event::RequestArrives);
            }
            Event::RetryArrives(request) => self.send_request(request),
            Event::AttemptEnds(index, serial) => self.end_attempt(index, serial),
            Event::Progress(index, serial) => {
                let Some(attempt) = self.running_attempt(index, serial) else {
                    return;
                };
                let duration = (attempt.ends_at - attempt.sent_at).max(1.0);
                let share = (self.now - attempt.sent_at) / duration;
                let share = if self.random.chance(0.05) {
                    f64::NAN
                } else {
                    share
                };
                self.call(Call::Progress(index, share));
                let next = self.random.between(50.0, 400.0);
                self.schedule(next, Event::Progress(index, serial));
            }
            Event::Timer => self.call(Call::Timer),
            Event::LoadReport(index, is_requested) => {
                let engine = &self.engines[index];
                let machine_type = engine.endpoint.machine_type as usize;
                let cores = self.config.machine_types[machine_type].cores;
                let busy_threads = engine.busy_threads as f64;
                let utilization = busy_threads / cores * engine.slowdown;
                let report_fields = self.config.report_fields.iter();
                let values = report_fields.map(|metric| match metric {
                    LoadMetric::Utilization => utilization.min(1.0),
                    LoadMetric::HeldQueries => busy_threads,
                    LoadMetric::Other => 17.0,
                });
                // Some reports are empty.
                let values: Vec<f64> = values.collect();
                let values = if self.random.chance(0.08) {
                    vec![]
                } else {
                    values
                };
                self.call(Call::LoadReport(index, values));
                if !is_requested {
                    let next = self.random.between(100.0, 900.0);
                    self.schedule(next, Event::LoadReport(index, false));
                }
            }
            Event::FullEndpointList => {
                let endpoints = self.engines.iter().map(|engine| engine.endpoint).collect();
                self.call(Call::UpdateEndpoints(true, endpoints));
            }
            Event::EngineChanges => self.change_engine(),
            Event::EndpointWatchLost => {
                self.call(Call::EndpointWatchLost);
                let next = self.random.between(3000.0, 9000.0);
                self.schedule(next, Event::EndpointWatchLost);
            }
            Event::ClientCancels(index, serial) if self.is_open(index, serial) => {
                let request = self.requests[index].as_mut().expect("the request is open");
                request.is_over = true;
                let is_running = request.running.is_some();
                if is_running && self.config.may_withdraw {
                    self.count("seen withdrawal for a client that cancelled");
                }
                self.call(Call::Cancel(index));
            }
            Event::ClientCloses(index, serial) if self.is_open(index, serial) => {
                self.call(Call::ClientClosed(index));
            }
            Event::CellsAreRestricted(index, serial) if self.is_open(index, serial) => {
                let cells = self.random.below(8);
                self.call(Call::RestrictToCells(index, cells));
            }
            Event::ClientCancels(..) | Event::ClientCloses(..) | Event::CellsAreRestricted(..) => {}
            Event::ConfigChanges => {
                let config = changed_config(self.config.clone(), &mut self.random);
                self.config = config.clone();
                self.call(Call::UpdateConfig(config));
                let next = self.random.between(200.0, 1500.0);
                self.schedule(next, Event::ConfigChanges);
            }
            Event::LeaseIsRenewed => {
                self.lease_until = self.now + self.random.between(900.0, 1500.0);
                self.call(Call::RenewLease(self.lease_until));
                // One renewal in ten comes too late.
                let next = if self.random.chance(0.1) {
                    2500.0
                } else {
                    500.0
                };
                self.schedule(next, Event::LeaseIsRenewed);
            }
            Event::KeysAreQuarantined => {
                let until = self.now + self.random.between(50.0, 600.0);
                self.call(Call::QuarantineKeys(until));
                let next = self.random.between(3000.0, 6000.0);
                self.schedule(next, Event::KeysAreQuarantined);
            }
            Event::ShutdownBegins => {
                let shutdown_at = self.now + self.random.between(100.0, 900.0);
                for request in self.requests.iter_mut().flatten() {
                    request.deadline = request.deadline.min(shutdown_at);
                }
                self.call(Call::BeginShutdown(shutdown_at));
                self.schedule(20_000.0, Event::ShutdownBegins);
            }
        }
    }

    /// Draws a request as a client would send it.
    fn draw_request(&mut self) -> Request {
        let (scenario, random) = (self.scenario, &mut self.random);
        let is_first_class = random.chance(0.6);
        let class_index = if is_first_class {
            0
        } else {
            random.below(self.config.classes.len() as u64) as usize
        };
        let class = &self.config.classes[class_index];
        let mut work = class.base_objective * class.threads / 4.0 * random.between(0.1, 1.6);
        if random.chance(0.05) {
            work *= 4.0;
        }
        let objective = class.base_objective + class.objective_per_work * work / class.threads;
        Request {
            class: class_index,
            key: if scenario.key_count > 0 {
                random.below(scenario.key_count + 1)
            } else {
                0
            },
            time_remaining: if random.chance(0.1) {
                objective * random.between(0.1, 1.0)
            } else {
                objective * random.between(1.2, 3.0)
            },
            work: random.chance(0.7).then(|| work * random.between(0.6, 1.6)),
            memory_mb: if random.chance(0.2) {
                0.0
            } else {
                random.between(20.0, 4000.0)
            },
            // The smaller of two draws, so that low table groups have more of the requests.
            table_group: random
                .below(scenario.table_group_count)
                .min(random.below(scenario.table_group_count)),
            cells: if random.chance(0.8) {
                0
            } else {
                random.below(8)
            },
            is_retry: random.chance(0.1),
        }
    }

    fn send_request(&mut self, request: Request) {
        let serial = self.next_serial();
        let index = self.free_indices.pop().unwrap_or(self.requests.len());
        if index == self.requests.len() {
            self.requests.push(None);
        } else {
            self.count("seen reused index");
        }
        if self.config.classes[request.class].out_of_service {
            self.count("seen request to a class out of service");
        }
        let deadline = self.now + request.time_remaining;
        self.requests[index] = Some(RequestModel {
            serial,
            request,
            deadline,
            is_over: false,
            attempts: 0,
            running: None,
        });
        for (probability, event) in [
            (0.04, Event::ClientCancels(index, serial)),
            (0.03, Event::ClientCloses(index, serial)),
            (0.03, Event::CellsAreRestricted(index, serial)),
        ] {
            if self.random.chance(probability) {
                let delay = self.random.between(0.0, request.time_remaining);
                self.schedule(delay, event);
            }
        }
        self.call(Call::Request(index, request));
    }

    fn is_open(&self, index: usize, serial: u64) -> bool {
        self.requests[index]
            .as_ref()
            .is_some_and(|request| request.serial == serial && !request.is_over)
    }

    /// The request's running attempt, if it still is the one with this serial number.
    fn running_attempt(&self, index: usize, serial: u64) -> Option<&RunningAttempt> {
        self.requests[index]
            .as_ref()?
            .running
            .as_ref()
            .filter(|attempt| attempt.serial == serial)
    }

    fn end_attempt(&mut self, index: usize, serial: u64) {
        if self.running_attempt(index, serial).is_none() {
            return;
        }
        let request = self.requests[index].as_mut().expect("an attempt runs");
        let attempt = request.running.take().expect("an attempt runs");
        let threads = self.config.classes[request.request.class].threads as u64;
        let engine = &mut self.engines[attempt.engine];
        engine.busy_threads = engine.busy_threads.saturating_sub(threads);
        let is_completed = matches!(attempt.outcome, Outcome::Completed(_));
        // Some engine errors are final answers.
        let is_answered =
            is_completed || attempt.outcome == Outcome::EngineError && self.random.chance(0.2);
        let request = self.requests[index].as_mut().expect("an attempt ran");
        request.is_over |= is_answered;
        self.call(Call::AttemptEnded(index, attempt.outcome, is_answered));
    }

    /// An engine becomes slow, fails, drains, leaves the list, restarts, or another engine gets its
    /// index. An engine that is not ready is more likely to return than another is to change.
    fn change_engine(&mut self) {
        let next = self.random.between(100.0, 900.0);
        self.schedule(next, Event::EngineChanges);
        let unavailable = self
            .engines
            .iter()
            .position(|engine| engine.endpoint.state != EndpointState::Ready);
        let any = self.random.below(self.engines.len() as u64) as usize;
        let returning = unavailable.filter(|_| self.random.chance(0.6));
        let index = returning.unwrap_or(any);
        let (change, now, serial) = (self.random.below(8), self.now, self.next_serial());
        let engine = &mut self.engines[index];
        match change {
            _ if returning.is_some() => {
                let is_same_process =
                    engine.endpoint.state == EndpointState::Draining && change < 4;
                engine.endpoint.state = EndpointState::Ready;
                (engine.slowdown, engine.failure_rate) = (1.0, 0.0);
                if !is_same_process {
                    engine.endpoint.started_at = now;
                }
            }
            0 | 1 => (engine.slowdown, engine.failure_rate) = (1.0, 0.0),
            2 => engine.slowdown = self.random.between(2.0, 9.0),
            3 => engine.failure_rate = self.random.between(0.5, 1.0),
            4 => engine.endpoint.state = EndpointState::Draining,
            5 => engine.endpoint.state = EndpointState::Gone,
            6 => engine.endpoint.started_at = now,
            _ => {
                engine.endpoint.id = 100_000 + serial;
                engine.endpoint.started_at = now;
            }
        }
        let (endpoint, loses_connections) = (engine.endpoint, change >= 5);
        if loses_connections {
            for request_index in 0..self.requests.len() {
                let Some(request) = self.requests[request_index].as_mut() else {
                    continue;
                };
                let attempt = request.running.as_mut();
                if let Some(attempt) = attempt.filter(|attempt| attempt.engine == index) {
                    (attempt.outcome, attempt.ends_at) = (Outcome::ConnectionLost, now + 1.0);
                    let serial = attempt.serial;
                    self.schedule(1.0, Event::AttemptEnds(request_index, serial));
                }
            }
        }
        if self.random.chance(0.9) {
            self.call(Call::UpdateEndpoints(false, vec![endpoint]));
        } else {
            self.handle_event(Event::FullEndpointList);
        }
    }

    /// Draws how long an attempt takes, and how it ends.
    fn draw_attempt_end(
        &mut self,
        index: usize,
        engine_index: usize,
        start_before: f64,
    ) -> (f64, Outcome) {
        let request = self.requests[index]
            .as_ref()
            .expect("the request has an attempt")
            .request;
        let (class, random, engine) = (
            &self.config.classes[request.class],
            &mut self.random,
            &self.engines[engine_index],
        );
        let machine_type = engine.endpoint.machine_type as usize;
        let cores = self.config.machine_types[machine_type].cores;
        let threads_per_core = engine.busy_threads as f64 / cores;
        if start_before < self.now || random.chance(0.02) {
            return (random.between(0.5, 3.0), Outcome::Unsent);
        }
        let is_full = random.chance(0.1 * (threads_per_core - 1.0).clamp(0.0, 5.0));
        if is_full {
            return (random.between(0.5, 3.0), Outcome::Rejected);
        }
        if random.chance(engine.failure_rate) || random.chance(0.04) {
            return match random.below(6) {
                0 => (random.between(1.0, 60.0), Outcome::EngineError),
                1 => (random.between(1.0, 5.0), Outcome::Rejected),
                2 => (random.between(300.0, 2000.0), Outcome::TimedOut),
                3 => (random.between(1.0, 30.0), Outcome::ConnectFailed),
                4 => (random.between(1.0, 300.0), Outcome::ConnectionLost),
                _ => (
                    random.between(1.0, 300.0),
                    Outcome::ConnectionLostByPeerAttempt,
                ),
            };
        }
        // Some answers get lost.
        if random.chance(0.02) {
            return (15_000.0, Outcome::ConnectionLostByPeerAttempt);
        }
        let estimate = request
            .work
            .unwrap_or(class.base_objective * class.threads / 4.0);
        let work =
            estimate * random.between(0.5, 2.0) * if random.chance(0.03) { 12.0 } else { 1.0 };
        let slowdown = threads_per_core.max(1.0) * engine.slowdown;
        let memory_mb = request.memory_mb * random.between(0.5, 1.5);
        let reported = random.chance(0.75).then_some(Cost { work, memory_mb });
        (
            work / class.threads * slowdown,
            Outcome::Completed(reported),
        )
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each kind")]
    /// Calls the gateway, and carries out its actions.
    fn call(&mut self, call: Call) {
        let (mut actions, now) = (RecordedActions::default(), self.now);
        let gateway = &mut self.gateway;
        let is_progress = matches!(call, Call::Progress(..));
        let mut outcome_label = None;
        let call_label = match call {
            Call::UpdateEndpoints(is_full, endpoints) => {
                gateway.update_endpoints(now, is_full, &endpoints, &mut actions);
                ["call update_endpoints", "call update_endpoints, full"][is_full as usize]
            }
            Call::EndpointWatchLost => {
                gateway.endpoint_watch_lost(now, &mut actions);
                "call endpoint_watch_lost"
            }
            Call::Request(index, request) => {
                gateway.on_request(now, index, request, &mut actions);
                "call on_request"
            }
            Call::RestrictToCells(index, cells) => {
                gateway.restrict_to_cells(index, cells);
                "call restrict_to_cells"
            }
            Call::AttemptEnded(index, outcome, is_answered) => {
                gateway.on_attempt_ended(now, index, outcome, is_answered, &mut actions);
                outcome_label = Some(match outcome {
                    Outcome::Completed(Some(_)) => "outcome Completed, cost reported",
                    Outcome::Completed(None) => "outcome Completed, cost unknown",
                    Outcome::EngineError => "outcome EngineError",
                    Outcome::Rejected => "outcome Rejected",
                    Outcome::TimedOut => "outcome TimedOut",
                    Outcome::ConnectFailed => "outcome ConnectFailed",
                    Outcome::ConnectionLost => "outcome ConnectionLost",
                    Outcome::ConnectionLostByPeerAttempt => "outcome ConnectionLostByPeerAttempt",
                    Outcome::Withdrawn => "outcome Withdrawn",
                    Outcome::Unsent => "outcome Unsent",
                });
                "call on_attempt_ended"
            }
            Call::Progress(index, share) => {
                gateway.on_progress(now, index, share, &mut actions);
                "call on_progress"
            }
            Call::LoadReport(engine, values) => {
                gateway.on_load_report(now, engine, &values, &mut actions);
                "call on_load_report"
            }
            Call::Cancel(index) => {
                gateway.on_cancel(now, index, &mut actions);
                "call on_cancel"
            }
            Call::ClientClosed(index) => {
                gateway.on_client_closed(now, index, &mut actions);
                "call on_client_closed"
            }
            Call::BeginShutdown(at) => {
                gateway.begin_shutdown(now, at, &mut actions);
                "call begin_shutdown"
            }
            Call::RenewLease(until) => {
                gateway.renew_lease(now, until, &mut actions);
                "call renew_lease"
            }
            Call::QuarantineKeys(until) => {
                gateway.quarantine_keys(until);
                "call quarantine_keys"
            }
            Call::UpdateConfig(config) => {
                gateway.update_config(now, config, &mut actions);
                "call update_config"
            }
            Call::Timer => {
                gateway.on_timer(now, &mut actions);
                "call on_timer"
            }
        };
        self.count(call_label);
        if let Some(label) = outcome_label {
            self.count(label);
        }
        for action in actions.0 {
            self.hash.fold_action(self.now, &action);
            self.carry_out(action, is_progress);
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each kind")]
    fn carry_out(&mut self, action: Action, is_progress: bool) {
        match action {
            Action::Attempt(index, engine, start_before) => {
                self.count("action start_attempt");
                self.check_engine_ready(engine);
                let (duration, outcome) = self.draw_attempt_end(index, engine, start_before);
                let (serial, sent_at) = (self.next_serial(), self.now);
                let request = self.requests[index].as_mut().expect("it was sent");
                assert!(
                    request.running.is_none() && !request.is_over,
                    "{}: request {index}",
                    self.scenario.name
                );
                request.attempts += 1;
                let is_further = request.attempts > 1;
                self.engines[engine].busy_threads +=
                    self.config.classes[request.request.class].threads as u64;
                let ends_at = sent_at + duration;
                request.running = Some(RunningAttempt {
                    serial,
                    engine,
                    sent_at,
                    ends_at,
                    outcome,
                    is_withdrawn: false,
                });
                if is_further {
                    self.count("seen further attempt");
                }
                self.schedule(duration, Event::AttemptEnds(index, serial));
                if self.random.chance(0.4) {
                    let first = self.random.between(20.0, 300.0);
                    self.schedule(first, Event::Progress(index, serial));
                }
            }
            Action::Withdraw(index, _) => {
                self.count("action withdraw_attempt");
                let request = self.requests[index].as_ref().expect("it was sent");
                let (is_over, deadline) = (request.is_over, request.deadline);
                if !is_over && is_progress {
                    self.count("seen withdrawal at a progress report");
                } else if !is_over && self.now < deadline - 2.0 * self.config.clock_resolution {
                    self.count("rule handle_overdue_attempts");
                }
                // Some attempts end before they can be withdrawn.
                let delay = self.random.between(0.5, 20.0);
                let reaches_engine = self.random.chance(0.9);
                let (serial, now) = (self.next_serial(), self.now);
                let attempt = self.requests[index]
                    .as_mut()
                    .and_then(|request| request.running.as_mut())
                    .expect("an attempt runs");
                if reaches_engine && !attempt.is_withdrawn && now + delay < attempt.ends_at {
                    attempt.is_withdrawn = true;
                    attempt.outcome = Outcome::Withdrawn;
                    attempt.ends_at = now + delay;
                    attempt.serial = serial;
                    self.schedule(delay, Event::AttemptEnds(index, serial));
                }
            }
            Action::SetPriority(..) => self.count("action set_priority"),
            Action::Reject(index, retry_after) => {
                self.count("action reject");
                let is_late = self.record_answer(index);
                let mut request = self.requests[index].as_ref().expect("it was sent").request;
                let max_retry_after = self.config.max_retry_after;
                match retry_after {
                    _ if self.now >= self.lease_until => {}
                    0.0 => assert!(is_late, "{}: request {index}", self.scenario.name),
                    _ if retry_after != max_retry_after => {
                        panic!(
                            "{}: request {index} may be retried after {retry_after} ms, expected \
                             {max_retry_after} ms",
                            self.scenario.name
                        )
                    }
                    _ if self.config.classes[request.class].out_of_service => {}
                    _ => self.count("rule shed_load"),
                }
                if retry_after > 0.0 && self.random.chance(0.3) {
                    request.is_retry = true;
                    request.time_remaining *= 0.7;
                    self.schedule(retry_after, Event::RetryArrives(request));
                }
            }
            Action::Fail(index) => {
                self.count("action fail");
                self.record_answer(index);
            }
            Action::Subscribe => {
                self.count("action subscribe");
                self.schedule(20.0, Event::FullEndpointList);
            }
            Action::Probe(engine) => {
                self.count("action probe");
                if self.random.chance(0.9) {
                    let delay = self.random.between(0.5, 40.0);
                    self.schedule(delay, Event::LoadReport(engine, true));
                }
            }
            Action::WakeAfter(delay) => {
                self.count("action wake_after");
                self.schedule(delay, Event::Timer);
            }
            Action::Log(_) => self.count("action log"),
            Action::Forget(index) => {
                self.count("action forget");
                let request = self.requests[index].take().expect("it was sent");
                assert!(
                    request.is_over && request.running.is_none(),
                    "{}: request {index}",
                    self.scenario.name
                );
                self.free_indices.push(index);
            }
        }
    }

    /// Records the request's final answer, and returns whether it came at the deadline.
    fn record_answer(&mut self, index: usize) -> bool {
        let request = self.requests[index].as_mut().expect("it was sent");
        assert!(
            !request.is_over,
            "{}: request {index} has two answers",
            self.scenario.name
        );
        request.is_over = true;
        let is_late = self.now >= request.deadline - 2.0 * self.config.clock_resolution;
        let rule = match is_late {
            _ if self.now >= self.lease_until => Some("rule reject_without_lease"),
            true => Some("rule answer_at_the_deadline"),
            false => None,
        };
        if let Some(rule) = rule {
            self.count(rule);
        }
        is_late
    }

    /// Asserts that an engine that gets an attempt is listed and ready, and counts recovery probes.
    fn check_engine_ready(&mut self, engine: usize) {
        let view = self
            .gateway
            .engine_view(engine)
            .expect("the engine is listed");
        assert_eq!(
            view.state,
            EndpointState::Ready,
            "{}: engine {engine}",
            self.scenario.name
        );
        if view.next_probe_at.is_some() {
            self.count("seen recovery probe of an ejected engine");
        }
    }

    fn fold_views(&mut self) {
        for index in 0..self.engines.len() {
            let view = self
                .gateway
                .engine_view(index)
                .expect("the engine is listed");
            self.hash.fold_engine_view(index, &view);
            if view
                .slow_start_allowance
                .is_some_and(|allowance| allowance < 50.0)
            {
                self.count("seen cold engine with its allowance used up");
            }
        }
        for index in 0..self.config.classes.len() {
            let view = self
                .gateway
                .class_view(index)
                .expect("the class is configured");
            self.hash.fold_class_view(index, &view);
        }
    }
}

#[test]
fn decisions_have_the_expected_hashes() {
    let (mut counts, mut differences) = (BTreeMap::new(), String::new());
    for scenario in &SCENARIOS {
        let hash = Host::new(scenario, &mut counts).play();
        println!("{hash:#018x} {}", scenario.name);
        let (name, expected) = (
            scenario.name,
            scenario.expected[!cfg!(debug_assertions) as usize],
        );
        if hash != expected {
            differences += &format!("\n{name}: {hash:#018x}, expected {expected:#018x}");
        }
    }
    for (label, count) in &counts {
        println!("{count:7} {label}");
    }
    let missing: Vec<_> = MUST_OCCUR
        .iter()
        .filter(|label| !counts.contains_key(**label))
        .collect();
    assert!(missing.is_empty(), "never occurred: {missing:?}");
    assert!(
        differences.is_empty(),
        "hashes of scenarios whose decisions differ:{differences}"
    );
}
