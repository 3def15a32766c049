//! A trace of decisions. Each scenario below plays some thousand events, drawn from a seed, through
//! the policy. It folds every action of the policy (each call of `Actions`, in order, with the time
//! and all arguments, floats by their bits) and, at regular intervals, the views of endpoints and
//! classes into one hash, and compares that with the expected one. The trace guards refactorings:
//! one action more, less, earlier, or different in the last bit of one argument changes the hash.
//!
//! A change that is meant to alter decisions alters the hashes: the failing test prints the new
//! ones. Such a change says so, and says why.
//!
//! The hashes hold for one platform: `powf`, `ln` and `exp` come from its mathematical library, and
//! their last bits may differ on another. They were computed on x86-64 Linux with glibc. An
//! optimized build has hashes of its own: its compiler replaces `powf` with the constant base 0.5
//! or 2 by `exp2`, which differs in the last bit for about one value in a thousand. A base that is
//! no longer a constant has the same effect there.
//!
//! The host is a plain event loop: it sends requests, ends attempts after drawn times with drawn
//! outcomes, and carries out the policy's actions. The policy's interface is used in
//! `RecordedActions`, `Host::call`, `Host::views`, `Host::sanity` and the configurations alone.
//! Nothing here depends on the order of a hash table.
//!
//! The scenarios in `boundaries` complete these: each brings one comparison of the policy to exact
//! equality, which times drawn at random hardly ever do.

use ironstair::policy::{ClassView, EngineView, Gateway};
use ironstair::{
    Actions, ClassPolicy, Cost, DedupScope, Effect, Endpoint, EndpointState, LoadMetric,
    MachineType, Outcome, PolicyConfig, Request, RetryBudget,
};
use std::collections::BTreeMap;

#[path = "decision_trace/boundaries/mod.rs"]
mod boundaries;

/// Every action, every call and what shows that each rule fired: all have to occur in the sum of scenarios.
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
    // Rules that cannot be distinguished by their action alone.
    "rule answer_at_the_deadline",
    "rule handle_overdue_attempts",
    "rule reject_without_lease",
    "rule shed_load",
    "seen cold endpoint with its allowance used up",
    "seen further attempt",
    "seen index used again",
    "seen request to a class out of service",
    "seen recovery probe of an ejected endpoint",
    "seen withdrawal at a progress report",
    "seen withdrawal for a client that left",
];

struct Scenario {
    name: &'static str,
    seed: u64,
    policy: fn() -> PolicyConfig,
    endpoint_models: usize,
    /// Mean time between two requests, in ms.
    gap: f64,
    events: usize,
    /// How many table groups and how many keys requests name.
    tables: u64,
    keys: u64,
    /// The policy changes, holds for a time only, and the gateway announces its end.
    changes: bool,
    /// In an unoptimized build, and in an optimized one.
    expected: [u64; 2],
}

const SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "classes, keys, retry budget, cold and draining endpoints",
        seed: 1,
        policy: class_list,
        endpoint_models: 8,
        gap: 25.0,
        events: 20000,
        tables: 12,
        keys: 6,
        changes: false,
        expected: [0xf406_0929_d125_fa1f, 0x0aa3_f02c_ed18_40a3],
    },
    Scenario {
        name: "endpoints that line up, memory grants and priorities",
        seed: 2,
        policy: grants,
        endpoint_models: 6,
        gap: 40.0,
        events: 15000,
        tables: 5,
        keys: 0,
        changes: false,
        expected: [0x457c_a51a_4577_6ac9, 0x7c0c_dbee_f92b_8490],
    },
    Scenario {
        name: "endpoints that do not line up, nothing can be withdrawn",
        seed: 3,
        policy: no_line,
        endpoint_models: 5,
        gap: 40.0,
        events: 15000,
        tables: 40,
        keys: 3,
        changes: false,
        expected: [0xf468_16c6_36fa_9f7f, 0xadd8_01f2_8b1e_08cb],
    },
    Scenario {
        name: "hundreds of gateways that probe",
        seed: 4,
        policy: crowd,
        endpoint_models: 30,
        gap: 150.0,
        events: 15000,
        tables: 400,
        keys: 0,
        changes: false,
        expected: [0x71e3_e8d7_a398_8d04, 0xd6ba_8212_cb68_4c05],
    },
    Scenario {
        name: "policy changes, terms that end, announced ends",
        seed: 5,
        policy: class_list,
        endpoint_models: 7,
        gap: 30.0,
        events: 20000,
        tables: 20,
        keys: 5,
        changes: true,
        expected: [0xca84_6ab7_c1ba_1808, 0x3e02_7990_0ee1_5a67],
    },
    Scenario {
        name: "hundreds of gateways, policy changes",
        seed: 6,
        policy: crowd,
        endpoint_models: 12,
        gap: 120.0,
        events: 12000,
        tables: 300,
        keys: 4,
        changes: true,
        expected: [0x10ae_9e16_b5e0_4123, 0x10e5_761e_3609_4aab],
    },
];

fn class_policy_of(value: f64, threads: f64, expected: f64, repeat: Effect) -> ClassPolicy {
    let (expected_stretch, window) = (2.0, 1500.0);
    ClassPolicy {
        base_objective: expected,
        objective_per_work: expected_stretch,
        value,
        threads,
        effect: repeat,
        dedup_window: window,
        ..Default::default()
    }
}

fn few(classes: Vec<ClassPolicy>) -> PolicyConfig {
    let kinds = [(8.0, 8192.0), (16.0, 32768.0), (4.0, 4096.0)];
    PolicyConfig {
        gateway_count: 2.0,
        classes,
        machine_types: kinds
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

fn class_list() -> PolicyConfig {
    let mut m = few(vec![
        class_policy_of(1.0, 1.0, 400.0, Effect::Idempotent),
        class_policy_of(6.0, 4.0, 3000.0, Effect::NonIdempotent),
        class_policy_of(
            2.0,
            1.0,
            500.0,
            Effect::Deduplicated(DedupScope::AllEngines),
        ),
        class_policy_of(2.0, 2.0, 500.0, Effect::Deduplicated(DedupScope::Zone)),
        class_policy_of(
            3.0,
            1.0,
            600.0,
            Effect::Deduplicated(DedupScope::DedupDomain),
        ),
    ]);
    (
        m.classes[0].preserves_key_order,
        m.classes[2].preserves_key_order,
    ) = (true, true);
    m.classes[1].zones = Some(vec![0]);
    m.classes[3].machine_types = Some(vec![1, 2]);
    m
}

fn grants() -> PolicyConfig {
    let mut m = few(vec![
        class_policy_of(1.0, 1.0, 300.0, Effect::Idempotent),
        class_policy_of(9.0, 4.0, 4000.0, Effect::Idempotent),
        class_policy_of(4.0, 2.0, 1000.0, Effect::NonIdempotent),
    ]);
    (m.gateway_count, m.honors_memory_grants, m.max_memory_grant) = (3.0, true, 0.25);
    m.classes[2].pins_table_group = true;
    m.retry_budget = None;
    m
}

fn no_line() -> PolicyConfig {
    let mut m = few(vec![
        class_policy_of(1.0, 1.0, 300.0, Effect::Idempotent),
        class_policy_of(5.0, 6.0, 3000.0, Effect::Deduplicated(DedupScope::Zone)),
        class_policy_of(2.0, 2.0, 800.0, Effect::NonIdempotent),
    ]);
    (
        m.gateway_count,
        m.queues_when_memory_full,
        m.retries_are_marked,
        m.may_withdraw,
        m.must_subscribe,
    ) = (4.0, false, false, false, false);
    (m.honors_priorities, m.honors_memory_grants, m.max_attempts) = (false, true, 3);
    (m.classes[2].preserves_key_order, m.classes[2].machine_types) = (true, Some(vec![0, 1]));
    m.report_fields = vec![LoadMetric::HeldQueries, LoadMetric::Other];
    m
}

fn crowd() -> PolicyConfig {
    let mut m = few(vec![
        class_policy_of(1.0, 1.0, 400.0, Effect::Idempotent),
        class_policy_of(
            8.0,
            4.0,
            4000.0,
            Effect::Deduplicated(DedupScope::AllEngines),
        ),
        class_policy_of(2.0, 2.0, 900.0, Effect::NonIdempotent),
    ]);
    (m.gateway_count, m.may_probe, m.honors_memory_grants) = (300.0, true, true);
    m.report_fields = vec![
        LoadMetric::Utilization,
        LoadMetric::Other,
        LoadMetric::HeldQueries,
    ];
    m.classes[0].preserves_key_order = true;
    m
}

/// The policy after a change: a class out of service or back, other limits, a further class.
fn changed(mut m: PolicyConfig, draw: &mut Draw) -> PolicyConfig {
    let (n, crowd) = (m.classes.len(), m.gateway_count >= 100.0);
    let b = draw.below(n as u64) as usize;
    match draw.below(10) {
        0 | 1 => m.classes[b].out_of_service = !m.classes[b].out_of_service,
        2 => m.classes[b].dedup_window = draw.between(100.0, 4000.0),
        3 => {
            m.classes[b].zones =
                [None, Some(vec![0]), Some(vec![1])][draw.below(3) as usize].clone();
        }
        4 => {
            m.classes[b].machine_types =
                [None, Some(vec![0, 2]), Some(vec![1])][draw.below(3) as usize].clone();
        }
        5 => {
            (m.classes[b].value, m.classes[b].objective_per_work) =
                (draw.between(0.5, 9.0), draw.between(1.5, 4.0));
        }
        6 => {
            m.gateway_count = if crowd {
                draw.between(200.0, 400.0)
            } else {
                draw.between(1.0, 6.0)
            }
            .floor();
        }
        7 => {
            (m.max_attempts, m.retry_budget) = (
                1 + draw.below(5) as u8,
                draw.chance(0.8).then(|| RetryBudget {
                    min_retries: 2.0,
                    retry_ratio: draw.between(0.0, 0.3),
                    window: 1500.0,
                }),
            );
        }
        8 if n < 8 => m
            .classes
            .push(class_policy_of(2.0, 1.0, 700.0, Effect::Idempotent)),
        8 => (m.may_withdraw, m.queues_when_memory_full) = (draw.chance(0.7), draw.chance(0.7)),
        _ => {
            (m.slow_start_from, m.machine_types[0].cores) =
                (draw.between(0.2, 0.8), draw.between(6.0, 12.0).floor());
        }
    }
    // Most classes stay in service.
    if m.classes.iter().filter(|t| t.out_of_service).count() * 2 > m.classes.len() {
        m.classes.iter_mut().for_each(|t| t.out_of_service = false);
    }
    m
}

/// Chance of the host's own (xorshift), so that a change of the crate's does not change the events.
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }
    fn below(&mut self, n: u64) -> u64 {
        (self.next() >> 33) % n
    }
    /// Evenly in [0, 1).
    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
    fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }
}

/// FNV-1a over the bytes of what is folded in.
struct Hash(u64);

impl Hash {
    fn bytes(&mut self, bytes: &[u8]) {
        bytes
            .iter()
            .for_each(|b| self.0 = (self.0 ^ *b as u64).wrapping_mul(0x0100_0000_01B3));
    }
    fn all(&mut self, values: &[u64]) {
        values.iter().for_each(|v| self.bytes(&v.to_le_bytes()));
    }
    fn float(&mut self, value: Option<f64>) {
        self.all(&value.map_or([0, 0], |v| [1, v.to_bits()]));
    }

    /// Folds in an action that the policy took at this time.
    fn action(&mut self, now: f64, action: &Action) {
        let h = self;
        h.all(&[now.to_bits()]);
        match action {
            Action::Attempt(r, e, by) => h.all(&[1, *r as u64, *e as u64, by.to_bits()]),
            Action::Withdraw(r, nth) => h.all(&[2, *r as u64, *nth as u64]),
            Action::ClassPolicy(r, priority, grant) => {
                h.all(&[3, *r as u64, *priority as u64, grant.to_bits()]);
            }
            Action::Reject(r, back) => h.all(&[4, *r as u64, back.to_bits()]),
            Action::Fail(r) => h.all(&[5, *r as u64]),
            Action::Subscribe => h.all(&[6]),
            Action::Probe(e) => h.all(&[7, *e as u64]),
            Action::Wake(after) => h.all(&[8, after.to_bits()]),
            Action::Note(text) => {
                // The numbers were pinned when the line had other words. With the words mapped back, they show that
                // nothing else has changed in it.
                assert!(!text.contains(" set aside: "), "{text}");
                let text = text.replace(" ejected: ", " set aside: ");
                h.all(&[9, text.len() as u64]);
                h.bytes(text.as_bytes());
            }
            Action::Forget(r) => h.all(&[10, *r as u64]),
        }
    }

    /// Folds in the view of the endpoint with this index.
    fn endpoint_view(&mut self, index: usize, view: &EngineView) {
        self.all(&[
            100,
            index as u64,
            view.state as u64,
            view.failures as u64,
            view.outcomes_seen as u64,
        ]);
        self.all(&[view.cores, view.threads, view.slowdown, view.full_until].map(f64::to_bits));
        self.float(view.last_report.map(|report| report.at));
        self.float(view.last_report.map(|report| report.share));
        self.float(view.next_probe_at);
        self.float(view.slow_start_allowance);
    }

    /// Folds in the view of the class with this index.
    fn class_view(&mut self, index: usize, view: &ClassView) {
        self.all(&[101, index as u64, view.waiting as u64]);
        self.all(
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

#[derive(Clone, Debug)]
enum Action {
    Attempt(usize, usize, f64),
    Withdraw(usize, u8),
    ClassPolicy(usize, u8, f64),
    Reject(usize, f64),
    Fail(usize),
    Subscribe,
    Probe(usize),
    Wake(f64),
    Note(String),
    Forget(usize),
}

#[derive(Default)]
struct RecordedActions(Vec<Action>);

impl Actions for RecordedActions {
    fn start_attempt(&mut self, request: usize, endpoint_model: usize, by: f64) {
        self.0.push(Action::Attempt(request, endpoint_model, by));
    }
    fn withdraw_attempt(&mut self, request: usize, nth: u8) {
        self.0.push(Action::Withdraw(request, nth));
    }
    fn set_priority(&mut self, request: usize, priority: u8, grant_mb: f64) {
        self.0
            .push(Action::ClassPolicy(request, priority, grant_mb));
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
    fn probe(&mut self, endpoint_model: usize) {
        self.0.push(Action::Probe(endpoint_model));
    }
    fn wake_after(&mut self, after: f64) {
        self.0.push(Action::Wake(after));
    }
    fn log(&mut self, text: &str) {
        self.0.push(Action::Note(text.into()));
    }
    fn forget(&mut self, request: usize) {
        self.0.push(Action::Forget(request));
    }
}

/// A call of the module.
enum Call {
    Endpoints(bool, Vec<Endpoint>),
    EndpointWatchLost,
    Take(usize, Request),
    Confine(usize, u64),
    Outcome(usize, Outcome, bool),
    Progress(usize, f64),
    Report(usize, Vec<f64>),
    Left(usize),
    Closed(usize),
    Ending(f64),
    Lease(f64),
    RestKeys(f64),
    Amend(PolicyConfig),
    Due,
}

/// What the host does next; requests and attempts are named by their index and their serial number.
enum Event {
    Arrive,
    Again(Request),
    End(usize, u64),
    Progress(usize, u64),
    Wake,
    Report(usize, bool),
    AllEndpoints,
    EndpointChanges,
    EndpointWatchLost,
    Leave(usize, u64),
    Close(usize, u64),
    Confine(usize, u64),
    PolicyChanges,
    Lease,
    RestKeys,
    Ending,
}

struct Running {
    serial: u64,
    endpoint_model: usize,
    sent: f64,
    ends: f64,
    outcome: Outcome,
    withdrawn: bool,
}

struct RequestModel {
    serial: u64,
    of: Request,
    limit: f64,
    /// Has its answer, or its client has left.
    over: bool,
    attempts: u64,
    running: Option<Running>,
}

struct EndpointModel {
    line: Endpoint,
    slow: f64,
    failing: f64,
    busy: u64,
}

struct Host<'a> {
    scenario: &'a Scenario,
    counts: &'a mut BTreeMap<String, u64>,
    policy: PolicyConfig,
    gateway: Gateway,
    draw: Draw,
    hash: Hash,
    now: f64,
    serial: u64,
    queue: BTreeMap<(u64, u64), Event>,
    requests: Vec<Option<RequestModel>>,
    free: Vec<usize>,
    endpoint_models: Vec<EndpointModel>,
    until: f64,
}

impl<'a> Host<'a> {
    fn new(scenario: &'a Scenario, counts: &'a mut BTreeMap<String, u64>) -> Self {
        let policy = (scenario.policy)();
        let endpoint_models = (0..scenario.endpoint_models).map(|i| {
            let (zone, kind, marks) = (i as u16 % 2, i as u16 / 2 % 3, i as u16 / 2);
            let (id, cells, state) = (1000 + 7 * i as u64, 1 << (i % 3), EndpointState::Ready);
            let line = Endpoint {
                engine: i,
                id,
                zone,
                machine_type: kind,
                dedup_domain: marks,
                cells,
                state,
                started_at: 0.0,
            };
            EndpointModel {
                line,
                slow: 1.0,
                failing: 0.0,
                busy: 0,
            }
        });
        Host {
            gateway: Gateway::new(policy.clone(), scenario.seed),
            endpoint_models: endpoint_models.collect(),
            scenario,
            counts,
            policy,
            draw: Draw(scenario.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            hash: Hash(0xCBF2_9CE4_8422_2325),
            now: 1000.0,
            serial: 0,
            queue: BTreeMap::new(),
            requests: vec![],
            free: vec![],
            until: f64::INFINITY,
        }
    }

    fn count(&mut self, what: &str) {
        *self.counts.entry(what.into()).or_default() += 1;
    }

    fn serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn after(&mut self, time: f64, event: Event) {
        let at = (self.now + time).to_bits();
        let key = (at, self.serial());
        self.queue.insert(key, event);
    }

    fn play(mut self) -> u64 {
        let lines = self.endpoint_models.iter().map(|e| e.line).collect();
        self.call(Call::Endpoints(true, lines));
        let scheduled = [
            (0.0, Event::Arrive),
            (300.0, Event::EndpointChanges),
            (5000.0, Event::EndpointWatchLost),
        ];
        scheduled
            .into_iter()
            .for_each(|(time, event)| self.after(time, event));
        if self.scenario.changes {
            let further = [
                (50.0, Event::Lease),
                (900.0, Event::PolicyChanges),
                (4000.0, Event::RestKeys),
                (15_000.0, Event::Ending),
            ];
            further
                .into_iter()
                .for_each(|(time, event)| self.after(time, event));
        }
        for n in 0..self.scenario.events {
            let (key, event) = self.queue.pop_first().expect("requests go on arriving");
            self.now = f64::from_bits(key.0);
            self.event(event);
            if n % 50 == 0 {
                self.views();
            }
        }
        self.views();
        self.hash.0
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each kind")]
    fn event(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                let of = self.request();
                self.arrive(of);
                // Three seconds of eight bring three times as many.
                let burst = if self.now % 8000.0 < 3000.0 { 3.0 } else { 1.0 };
                let gap = 2.0 * self.scenario.gap / burst * self.draw.unit();
                self.after(gap, Event::Arrive);
            }
            Event::Again(of) => self.arrive(of),
            Event::End(index, serial) => self.end(index, serial),
            Event::Progress(index, serial) => {
                let Some(r) = self.running(index, serial) else {
                    return;
                };
                let share = (self.now - r.sent) / (r.ends - r.sent).max(1.0);
                let share = if self.draw.chance(0.05) {
                    f64::NAN
                } else {
                    share
                };
                self.call(Call::Progress(index, share));
                let next = self.draw.between(50.0, 400.0);
                self.after(next, Event::Progress(index, serial));
            }
            Event::Wake => self.call(Call::Due),
            Event::Report(i, requested) => {
                let (e, reports) = (&self.endpoint_models[i], &self.policy.report_fields);
                let cores = self.policy.machine_types[e.line.machine_type as usize].cores;
                let (share, held) = (e.busy as f64 / cores * e.slow, e.busy as f64);
                let values = reports.iter().map(|what| match what {
                    LoadMetric::Utilization => share.min(1.0),
                    LoadMetric::HeldQueries => held,
                    LoadMetric::Other => 17.0,
                });
                // Some answers are empty.
                let values: Vec<f64> = values.collect();
                let values = if self.draw.chance(0.08) {
                    vec![]
                } else {
                    values
                };
                self.call(Call::Report(i, values));
                if !requested {
                    let next = self.draw.between(100.0, 900.0);
                    self.after(next, Event::Report(i, false));
                }
            }
            Event::AllEndpoints => {
                let lines = self.endpoint_models.iter().map(|e| e.line).collect();
                self.call(Call::Endpoints(true, lines));
            }
            Event::EndpointChanges => self.endpoint_changes(),
            Event::EndpointWatchLost => {
                self.call(Call::EndpointWatchLost);
                let next = self.draw.between(3000.0, 9000.0);
                self.after(next, Event::EndpointWatchLost);
            }
            Event::Leave(index, serial) if self.open(index, serial) => {
                let request = self.requests[index].as_mut().expect("it is open");
                request.over = true;
                let runs = request.running.is_some();
                if runs && self.policy.may_withdraw {
                    self.count("seen withdrawal for a client that left");
                }
                self.call(Call::Left(index));
            }
            Event::Close(index, serial) if self.open(index, serial) => {
                self.call(Call::Closed(index));
            }
            Event::Confine(index, serial) if self.open(index, serial) => {
                let cells = self.draw.below(8);
                self.call(Call::Confine(index, cells));
            }
            Event::Leave(..) | Event::Close(..) | Event::Confine(..) => {}
            Event::PolicyChanges => {
                let policy = changed(self.policy.clone(), &mut self.draw);
                self.policy = policy.clone();
                self.call(Call::Amend(policy));
                let next = self.draw.between(200.0, 1500.0);
                self.after(next, Event::PolicyChanges);
            }
            Event::Lease => {
                self.until = self.now + self.draw.between(900.0, 1500.0);
                self.call(Call::Lease(self.until));
                // Now and then it is renewed too late.
                let next = if self.draw.chance(0.1) { 2500.0 } else { 500.0 };
                self.after(next, Event::Lease);
            }
            Event::RestKeys => {
                let until = self.now + self.draw.between(50.0, 600.0);
                self.call(Call::RestKeys(until));
                let next = self.draw.between(3000.0, 6000.0);
                self.after(next, Event::RestKeys);
            }
            Event::Ending => {
                let at = self.now + self.draw.between(100.0, 900.0);
                let open = self.requests.iter_mut().flatten();
                open.for_each(|r| r.limit = r.limit.min(at));
                self.call(Call::Ending(at));
                self.after(20_000.0, Event::Ending);
            }
        }
    }

    /// A request as a client would send it.
    fn request(&mut self) -> Request {
        let (s, d) = (self.scenario, &mut self.draw);
        let narrow = d.chance(0.6);
        let class = if narrow {
            0
        } else {
            d.below(self.policy.classes.len() as u64) as usize
        };
        let terms = &self.policy.classes[class];
        let mut work = terms.base_objective * terms.threads / 4.0 * d.between(0.1, 1.6);
        if d.chance(0.05) {
            work *= 4.0;
        }
        let time = terms.base_objective + terms.objective_per_work * work / terms.threads;
        Request {
            class,
            key: if s.keys > 0 { d.below(s.keys + 1) } else { 0 },
            time_remaining: if d.chance(0.1) {
                time * d.between(0.1, 1.0)
            } else {
                time * d.between(1.2, 3.0)
            },
            work: d.chance(0.7).then(|| work * d.between(0.6, 1.6)),
            memory_mb: if d.chance(0.2) {
                0.0
            } else {
                d.between(20.0, 4000.0)
            },
            table_group: d.below(s.tables).min(d.below(s.tables)),
            cells: if d.chance(0.8) { 0 } else { d.below(8) },
            is_retry: d.chance(0.1),
        }
    }

    fn arrive(&mut self, of: Request) {
        let serial = self.serial();
        let index = self.free.pop().unwrap_or(self.requests.len());
        if index == self.requests.len() {
            self.requests.push(None);
        } else {
            self.count("seen index used again");
        }
        if self.policy.classes[of.class].out_of_service {
            self.count("seen request to a class out of service");
        }
        let limit = self.now + of.time_remaining;
        self.requests[index] = Some(RequestModel {
            serial,
            of,
            limit,
            over: false,
            attempts: 0,
            running: None,
        });
        for (chance, event) in [
            (0.04, Event::Leave(index, serial)),
            (0.03, Event::Close(index, serial)),
            (0.03, Event::Confine(index, serial)),
        ] {
            if self.draw.chance(chance) {
                let time = self.draw.between(0.0, of.time_remaining);
                self.after(time, event);
            }
        }
        self.call(Call::Take(index, of));
    }

    fn open(&self, index: usize, serial: u64) -> bool {
        self.requests[index]
            .as_ref()
            .is_some_and(|r| r.serial == serial && !r.over)
    }

    fn running(&self, index: usize, serial: u64) -> Option<&Running> {
        self.requests[index]
            .as_ref()?
            .running
            .as_ref()
            .filter(|r| r.serial == serial)
    }

    fn end(&mut self, index: usize, serial: u64) {
        if self.running(index, serial).is_none() {
            return;
        }
        let request = self.requests[index].as_mut().expect("it runs");
        let run = request.running.take().expect("it runs");
        let threads = self.policy.classes[request.of.class].threads as u64;
        self.endpoint_models[run.endpoint_model].busy = self.endpoint_models[run.endpoint_model]
            .busy
            .saturating_sub(threads);
        let settled = matches!(run.outcome, Outcome::Completed(_));
        // Some errors are final answers.
        let last = settled || run.outcome == Outcome::EngineError && self.draw.chance(0.2);
        let request = self.requests[index].as_mut().expect("it ran");
        request.over |= last;
        self.call(Call::Outcome(index, run.outcome, last));
    }

    /// An endpoint becomes slow, fails, drains, goes, restarts, or another one takes its index.
    fn endpoint_changes(&mut self) {
        let next = self.draw.between(100.0, 900.0);
        self.after(next, Event::EndpointChanges);
        let off = self
            .endpoint_models
            .iter()
            .position(|e| e.line.state != EndpointState::Ready);
        let any = self.draw.below(self.endpoint_models.len() as u64) as usize;
        let back = off.filter(|_| self.draw.chance(0.6));
        let i = back.unwrap_or(any);
        let (kind, now, serial) = (self.draw.below(8), self.now, self.serial());
        let e = &mut self.endpoint_models[i];
        match kind {
            _ if back.is_some() => {
                let again = e.line.state == EndpointState::Draining && kind < 4;
                e.line.state = EndpointState::Ready;
                (e.slow, e.failing) = (1.0, 0.0);
                e.line.started_at = if again { e.line.started_at } else { now };
            }
            0 | 1 => (e.slow, e.failing) = (1.0, 0.0),
            2 => e.slow = self.draw.between(2.0, 9.0),
            3 => e.failing = self.draw.between(0.5, 1.0),
            4 => e.line.state = EndpointState::Draining,
            5 => e.line.state = EndpointState::Gone,
            6 => e.line.started_at = now,
            _ => (e.line.id, e.line.started_at) = (100_000 + serial, now),
        }
        let (line, lost) = (e.line, kind >= 5);
        if lost {
            for index in 0..self.requests.len() {
                let Some(r) = self.requests[index].as_mut() else {
                    continue;
                };
                if let Some(run) = r.running.as_mut().filter(|run| run.endpoint_model == i) {
                    (run.outcome, run.ends) = (Outcome::ConnectionLost, now + 1.0);
                    let serial = run.serial;
                    self.after(1.0, Event::End(index, serial));
                }
            }
        }
        if self.draw.chance(0.9) {
            self.call(Call::Endpoints(false, vec![line]));
        } else {
            self.event(Event::AllEndpoints);
        }
    }

    /// How an attempt will end, and after what time.
    fn fate(&mut self, index: usize, endpoint_model: usize, by: f64) -> (f64, Outcome) {
        let of = self.requests[index].as_ref().expect("it is attempted").of;
        let (terms, d, e) = (
            &self.policy.classes[of.class],
            &mut self.draw,
            &self.endpoint_models[endpoint_model],
        );
        let cores = self.policy.machine_types[e.line.machine_type as usize].cores;
        if by < self.now || d.chance(0.02) {
            return (d.between(0.5, 3.0), Outcome::Unsent);
        }
        let full = d.chance(0.1 * (e.busy as f64 / cores - 1.0).clamp(0.0, 5.0));
        if full {
            return (d.between(0.5, 3.0), Outcome::Rejected);
        }
        if d.chance(e.failing) || d.chance(0.04) {
            return match d.below(6) {
                0 => (d.between(1.0, 60.0), Outcome::EngineError),
                1 => (d.between(1.0, 5.0), Outcome::Rejected),
                2 => (d.between(300.0, 2000.0), Outcome::TimedOut),
                3 => (d.between(1.0, 30.0), Outcome::ConnectFailed),
                4 => (d.between(1.0, 300.0), Outcome::ConnectionLost),
                _ => (d.between(1.0, 300.0), Outcome::ConnectionLostByPeerAttempt),
            };
        }
        // Answers that get lost.
        if d.chance(0.02) {
            return (15_000.0, Outcome::ConnectionLostByPeerAttempt);
        }
        let guess = of
            .work
            .unwrap_or(terms.base_objective * terms.threads / 4.0);
        let work = guess * d.between(0.5, 2.0) * if d.chance(0.03) { 12.0 } else { 1.0 };
        let wait = (e.busy as f64 / cores).max(1.0) * e.slow;
        let memory_mb = of.memory_mb * d.between(0.5, 1.5);
        let reported = d.chance(0.75).then_some(Cost { work, memory_mb });
        (work / terms.threads * wait, Outcome::Completed(reported))
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each kind")]
    /// Calls the module, and does what it asks for.
    fn call(&mut self, call: Call) {
        let (mut out, now, g) = (RecordedActions::default(), self.now, &mut self.gateway);
        let progress = matches!(call, Call::Progress(..));
        let mut outcome = None;
        let name = match call {
            Call::Endpoints(full, lines) => {
                g.update_endpoints(now, full, &lines, &mut out);
                ["call update_endpoints", "call update_endpoints, full"][full as usize]
            }
            Call::EndpointWatchLost => {
                g.endpoint_watch_lost(now, &mut out);
                "call endpoint_watch_lost"
            }
            Call::Take(index, of) => {
                g.on_request(now, index, of, &mut out);
                "call on_request"
            }
            Call::Confine(index, cells) => {
                g.restrict_to_cells(index, cells);
                "call restrict_to_cells"
            }
            Call::Outcome(index, what, last) => {
                g.on_attempt_ended(now, index, what, last, &mut out);
                outcome = Some(match what {
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
                g.on_progress(now, index, share, &mut out);
                "call on_progress"
            }
            Call::Report(endpoint_model, values) => {
                g.on_load_report(now, endpoint_model, &values, &mut out);
                "call on_load_report"
            }
            Call::Left(index) => {
                g.on_cancel(now, index, &mut out);
                "call on_cancel"
            }
            Call::Closed(index) => {
                g.on_client_closed(now, index, &mut out);
                "call on_client_closed"
            }
            Call::Ending(at) => {
                g.begin_shutdown(now, at, &mut out);
                "call begin_shutdown"
            }
            Call::Lease(until) => {
                g.renew_lease(now, until, &mut out);
                "call renew_lease"
            }
            Call::RestKeys(until) => {
                g.quarantine_keys(until);
                "call quarantine_keys"
            }
            Call::Amend(policy) => {
                g.update_config(now, policy, &mut out);
                "call update_config"
            }
            Call::Due => {
                g.on_timer(now, &mut out);
                "call on_timer"
            }
        };
        self.count(name);
        outcome.into_iter().for_each(|what| self.count(what));
        for action in out.0 {
            self.hash.action(self.now, &action);
            self.carry_out(action, progress);
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each kind")]
    fn carry_out(&mut self, action: Action, progress: bool) {
        match action {
            Action::Attempt(index, endpoint_model, by) => {
                self.count("action start_attempt");
                self.sanity(endpoint_model);
                let (time, outcome) = self.fate(index, endpoint_model, by);
                let (serial, sent) = (self.serial(), self.now);
                let r = self.requests[index].as_mut().expect("it was taken");
                assert!(
                    r.running.is_none() && !r.over,
                    "{}: request {index}",
                    self.scenario.name
                );
                r.attempts += 1;
                let further = r.attempts > 1;
                self.endpoint_models[endpoint_model].busy +=
                    self.policy.classes[r.of.class].threads as u64;
                let ends = sent + time;
                r.running = Some(Running {
                    serial,
                    endpoint_model,
                    sent,
                    ends,
                    outcome,
                    withdrawn: false,
                });
                if further {
                    self.count("seen further attempt");
                }
                self.after(time, Event::End(index, serial));
                if self.draw.chance(0.4) {
                    let first = self.draw.between(20.0, 300.0);
                    self.after(first, Event::Progress(index, serial));
                }
            }
            Action::Withdraw(index, _) => {
                self.count("action withdraw_attempt");
                let r = self.requests[index].as_ref().expect("it was taken");
                let (over, limit) = (r.over, r.limit);
                if !over && progress {
                    self.count("seen withdrawal at a progress report");
                } else if !over && self.now < limit - 2.0 * self.policy.clock_resolution {
                    self.count("rule handle_overdue_attempts");
                }
                // Some end before they can be withdrawn.
                let (time, sooner) = (self.draw.between(0.5, 20.0), self.draw.chance(0.9));
                let (serial, now) = (self.serial(), self.now);
                let run = self.requests[index]
                    .as_mut()
                    .and_then(|r| r.running.as_mut());
                let run = run.expect("an attempt runs");
                if sooner && !run.withdrawn && now + time < run.ends {
                    (run.withdrawn, run.outcome, run.ends) = (true, Outcome::Withdrawn, now + time);
                    run.serial = serial;
                    self.after(time, Event::End(index, serial));
                }
            }
            Action::ClassPolicy(..) => self.count("action set_priority"),
            Action::Reject(index, retry_after) => {
                self.count("action reject");
                let late = self.answered(index);
                let mut of = self.requests[index].as_ref().expect("it was taken").of;
                let most = self.policy.max_retry_after;
                match retry_after {
                    _ if self.now >= self.until => {}
                    0.0 => assert!(late, "{}: request {index}", self.scenario.name),
                    _ if retry_after != most => {
                        panic!("{}: advice of {retry_after} ms", self.scenario.name)
                    }
                    _ if self.policy.classes[of.class].out_of_service => {}
                    _ => self.count("rule shed_load"),
                }
                if retry_after > 0.0 && self.draw.chance(0.3) {
                    (of.is_retry, of.time_remaining) = (true, of.time_remaining * 0.7);
                    self.after(retry_after, Event::Again(of));
                }
            }
            Action::Fail(index) => {
                self.count("action fail");
                self.answered(index);
            }
            Action::Subscribe => {
                self.count("action subscribe");
                self.after(20.0, Event::AllEndpoints);
            }
            Action::Probe(endpoint_model) => {
                self.count("action probe");
                if self.draw.chance(0.9) {
                    let time = self.draw.between(0.5, 40.0);
                    self.after(time, Event::Report(endpoint_model, true));
                }
            }
            Action::Wake(after) => {
                self.count("action wake_after");
                self.after(after, Event::Wake);
            }
            Action::Note(_) => self.count("action log"),
            Action::Forget(index) => {
                self.count("action forget");
                let r = self.requests[index].take().expect("it was taken");
                assert!(
                    r.over && r.running.is_none(),
                    "{}: request {index}",
                    self.scenario.name
                );
                self.free.push(index);
            }
        }
    }

    /// A request has its answer: whether at its limit.
    fn answered(&mut self, index: usize) -> bool {
        let r = self.requests[index].as_mut().expect("it was taken");
        assert!(
            !r.over,
            "{}: request {index} has two answers",
            self.scenario.name
        );
        r.over = true;
        let late = self.now >= r.limit - 2.0 * self.policy.clock_resolution;
        let rule = match late {
            _ if self.now >= self.until => Some("rule reject_without_lease"),
            true => Some("rule answer_at_the_deadline"),
            false => None,
        };
        rule.into_iter().for_each(|rule| self.count(rule));
        late
    }

    /// An attempt goes to an endpoint that is listed and ready; what it was for is counted.
    fn sanity(&mut self, endpoint_model: usize) {
        let view = self
            .gateway
            .engine_view(endpoint_model)
            .expect("it is listed");
        assert_eq!(
            view.state,
            EndpointState::Ready,
            "{}: endpoint {endpoint_model}",
            self.scenario.name
        );
        if view.next_probe_at.is_some() {
            self.count("seen recovery probe of an ejected endpoint");
        }
    }

    fn views(&mut self) {
        for i in 0..self.endpoint_models.len() {
            let view = self.gateway.engine_view(i).expect("it is listed");
            self.hash.endpoint_view(i, &view);
            if view.slow_start_allowance.is_some_and(|left| left < 50.0) {
                self.count("seen cold endpoint with its allowance used up");
            }
        }
        for b in 0..self.policy.classes.len() {
            let view = self.gateway.class_view(b).expect("it is in the policy");
            self.hash.class_view(b, &view);
        }
    }
}

#[test]
fn decisions_are_the_expected_ones() {
    let (mut counts, mut wrong) = (BTreeMap::new(), String::new());
    for scenario in &SCENARIOS {
        let hash = Host::new(scenario, &mut counts).play();
        println!("{hash:#018x} {}", scenario.name);
        let (name, expected) = (
            scenario.name,
            scenario.expected[!cfg!(debug_assertions) as usize],
        );
        if hash != expected {
            wrong += &format!("\n{name}: {hash:#018x}, expected {expected:#018x}");
        }
    }
    counts.iter().for_each(|(what, n)| println!("{n:7} {what}"));
    let missing: Vec<_> = MUST_OCCUR
        .iter()
        .filter(|what| !counts.contains_key(**what))
        .collect();
    assert!(missing.is_empty(), "never occurred: {missing:?}");
    assert!(wrong.is_empty(), "other decisions:{wrong}");
}
