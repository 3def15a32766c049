//! The host of a scenario: an event loop that sends requests, ends attempts and changes engines.

mod engines;
mod events;
mod policy_calls;

use crate::hash::Hash;
use crate::model::{Call, EngineModel, Event, RequestModel, RunningAttempt};
use crate::random::Random;
use crate::Scenario;
use ironstair::policy::Gateway;
use ironstair::{Endpoint, EndpointState, Outcome, PolicyConfig, Request};
use std::collections::BTreeMap;

pub(crate) struct Host<'a> {
    pub(crate) scenario: &'a Scenario,
    /// How often each call, action, outcome and rule has occurred.
    pub(crate) counts: &'a mut BTreeMap<String, u64>,
    pub(crate) config: PolicyConfig,
    pub(crate) gateway: Gateway,
    pub(crate) random: Random,
    pub(crate) hash: Hash,
    pub(crate) now: f64,
    pub(crate) last_serial: u64,
    /// Events by the bits of their time, and by a serial number among those of the same time.
    pub(crate) queue: BTreeMap<(u64, u64), Event>,
    pub(crate) requests: Vec<Option<RequestModel>>,
    pub(crate) free_indices: Vec<usize>,
    pub(crate) engines: Vec<EngineModel>,
    pub(crate) lease_until: f64,
}

impl<'a> Host<'a> {
    pub(crate) fn new(scenario: &'a Scenario, counts: &'a mut BTreeMap<String, u64>) -> Self {
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

    pub(crate) fn count(&mut self, label: &str) {
        *self.counts.entry(label.into()).or_default() += 1;
    }

    pub(crate) fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    pub(crate) fn schedule(&mut self, delay: f64, event: Event) {
        let at = (self.now + delay).to_bits();
        let key = (at, self.next_serial());
        self.queue.insert(key, event);
    }

    /// Plays all events of the scenario, and returns the hash.
    pub(crate) fn play(mut self) -> u64 {
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

    /// Draws a request as a client would send it.
    pub(crate) fn draw_request(&mut self) -> Request {
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

    pub(crate) fn send_request(&mut self, request: Request) {
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

    pub(crate) fn is_open(&self, index: usize, serial: u64) -> bool {
        self.requests[index]
            .as_ref()
            .is_some_and(|request| request.serial == serial && !request.is_over)
    }

    /// The request's running attempt, if it still is the one with this serial number.
    pub(crate) fn running_attempt(&self, index: usize, serial: u64) -> Option<&RunningAttempt> {
        self.requests[index]
            .as_ref()?
            .running
            .as_ref()
            .filter(|attempt| attempt.serial == serial)
    }

    pub(crate) fn end_attempt(&mut self, index: usize, serial: u64) {
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
}
