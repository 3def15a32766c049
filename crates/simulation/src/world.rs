//! One run of a scenario: the state of all models, and the event loop that changes it in virtual time. The models only
//! carry out decisions; the policy and the fleet's leader and members make them.

mod attempts;
mod faults;
mod membership;
mod requests;

use crate::clients::{policy_config, random_index, Clients};
use crate::clock::Clock;
use crate::day::{self, Scenario};
use crate::engine::{AttemptId, Engine};
use crate::event::{AttemptEnd, Event, ProcessId};
use crate::fleet::FleetLog;
use crate::gateway::{ActionRecorder, PolicyAction, SimulatedGateway};
use crate::network::{Network, NETWORK_DELAY};
use crate::RunMetrics;
use ironstair::policy::Gateway;
use ironstair::random::{mix, Pcg};
use ironstair::{Endpoint, EndpointState, Millis};
use ironstair_coordination::Member;

/// Zones over which the engines are spread.
const ZONE_COUNT: u16 = 3;
/// Upper bound in milliseconds of the random delay of a started process's first heartbeat. Without it the processes
/// that start together would always send their heartbeats at the same times.
const MAX_FIRST_HEARTBEAT_DELAY: usize = 100;

struct World {
    scenario: Scenario,
    clock: Clock,
    /// The source of all random numbers of a run. They are drawn in the order of events, which makes a run
    /// reproducible.
    random: Pcg,
    clients: Clients,
    gateways: Vec<SimulatedGateway>,
    engines: Vec<Engine>,
    network: Network,
    /// The fleet's log and leader; `None` if the scenario has no fleet.
    fleet_log: Option<FleetLog>,
    /// The number of slot uses so far, at all gateways.
    slot_use_count: u64,
    metrics: RunMetrics,
}

/// Runs a scenario to its end. The same scenario and seed always give the same metrics.
pub fn simulate(scenario: &Scenario, seed: u64) -> RunMetrics {
    let mut world = World::new(scenario.clone(), seed);
    while let Some(event) = world.clock.next_event() {
        world.handle(event);
    }
    world.metrics
}

impl World {
    fn new(scenario: Scenario, seed: u64) -> World {
        let fleet_log = (scenario.fleet != day::FleetMode::None)
            .then(|| FleetLog::new(scenario.gateways as f64, scenario.lease_ms as f64));
        let first_fault_s = scenario
            .faults
            .iter()
            .map(|fault| fault.at_s)
            .min_by(f64::total_cmp);
        let mut world = World {
            clock: Clock::new(scenario.seconds as f64 * 1000.0),
            random: Pcg(mix(seed)),
            clients: Clients::new(
                scenario.engines,
                scenario.load,
                scenario.ignore_advice_share,
            ),
            gateways: Vec::new(),
            engines: vec![Engine::default(); scenario.engines as usize],
            network: Network::default(),
            fleet_log,
            slot_use_count: 0,
            metrics: RunMetrics {
                seed,
                first_fault_s,
                ..RunMetrics::default()
            },
            scenario,
        };
        world.start_gateways();
        world.schedule_first_events();
        world
    }

    fn start_gateways(&mut self) {
        let gateway_count = self.scenario.gateways as usize;
        for gateway in 0..gateway_count {
            let process = 0;
            let started = self.new_process(ProcessId { gateway, process });
            self.gateways.push(started);
        }
        (0..gateway_count).for_each(|gateway| self.initialize_process(gateway));
    }

    fn schedule_first_events(&mut self) {
        self.clock.schedule_after(0.0, Event::RequestCreated);
        if self.fleet_log.is_some() {
            self.clock.schedule_after(0.0, Event::FleetTick);
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            let event = Event::FaultOccurs { index };
            self.clock.schedule_after(fault.at_s * 1000.0, event);
        }
    }

    /// A new process of a gateway, with the initial configuration.
    fn new_process(&self, process: ProcessId) -> SimulatedGateway {
        let gateway = process.gateway as u64;
        let restarts = process.process as u64;
        let policy_seed = mix(self.metrics.seed ^ mix(gateway + 1)) ^ restarts;
        let instance = mix((gateway << 32) | (restarts + 1)) | 1;
        let member = self.fleet_log.as_ref().map(|_| {
            let name = format!("g{gateway:04}");
            let member = Member::new(&name, instance, false, self.scenario.lease_ms as f64);
            match self.scenario.proves_process_end {
                true => member.with_exclusive_resource(format!("place {gateway}")),
                false => member,
            }
        });
        let policy_config = policy_config(self.scenario.gateways as f64);
        SimulatedGateway::new(process, policy_config, policy_seed, member)
    }

    /// Gives a newly started process its endpoint list, and schedules its first heartbeat.
    fn initialize_process(&mut self, gateway: usize) {
        let endpoints = self.endpoints();
        let is_in_fleet = self.fleet_log.is_some();
        self.call_policy(gateway, |policy, now, actions| {
            if is_in_fleet {
                policy.renew_lease(now, 0.0, actions);
            }
            policy.update_endpoints(now, true, &endpoints, actions);
        });
        if is_in_fleet {
            let delay = random_index(&mut self.random, MAX_FIRST_HEARTBEAT_DELAY) as f64;
            let process = self.gateways[gateway].process;
            let heartbeat = 0;
            self.clock
                .schedule_after(delay, Event::HeartbeatDue { process, heartbeat });
        }
    }

    /// The endpoint list with the current state of all engines.
    fn endpoints(&self) -> Vec<Endpoint> {
        let endpoint = |(index, engine): (usize, &Engine)| Endpoint {
            engine: index,
            id: mix(index as u64 + 1),
            zone: index as u16 % ZONE_COUNT,
            state: match engine.is_up {
                true => EndpointState::Ready,
                false => EndpointState::Gone,
            },
            started_at: engine.started_at,
            ..Endpoint::default()
        };
        self.engines.iter().enumerate().map(endpoint).collect()
    }

    /// Calls a gateway's policy, and carries out the actions that it requests.
    fn call_policy(
        &mut self,
        gateway: usize,
        call: impl FnOnce(&mut Gateway, Millis, &mut ActionRecorder),
    ) {
        let mut recorder = ActionRecorder::default();
        let now = self.clock.now();
        call(&mut self.gateways[gateway].policy, now, &mut recorder);
        for action in recorder.actions {
            self.carry_out(gateway, action);
        }
    }

    fn carry_out(&mut self, gateway: usize, action: PolicyAction) {
        match action {
            PolicyAction::StartAttempt { slot, engine } => {
                self.start_attempt(gateway, slot, engine);
            }
            PolicyAction::WithdrawAttempt { slot } => self.withdraw_attempt(gateway, slot),
            PolicyAction::Reject { slot, retry_after } => {
                self.answer_unsettled(gateway, slot, Some(retry_after));
            }
            PolicyAction::Fail { slot } => self.answer_unsettled(gateway, slot, None),
            PolicyAction::WakeAfter { delay } => {
                let gateway_state = &mut self.gateways[gateway];
                gateway_state.latest_timer += 1;
                let event = Event::TimerFires {
                    process: gateway_state.process,
                    timer: gateway_state.latest_timer,
                };
                self.clock.schedule_after(delay, event);
            }
            PolicyAction::Forget { slot } => self.gateways[gateway].slots.release(slot),
        }
    }

    /// Handles an event, or postpones it while its gateway is paused. A paused process handles everything that reached
    /// it when it resumes, in the order of arrival.
    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        if let Some(gateway) = event.handling_gateway() {
            let paused_until = self.gateways[gateway].paused_until;
            if paused_until > now {
                return self.clock.schedule_after(paused_until - now, event);
            }
        }
        match event {
            Event::RequestCreated => self.create_request(),
            Event::RequestArrives { request, gateway } => self.accept_request(request, gateway),
            Event::AttemptArrives {
                attempt,
                engine,
                engine_process,
            } => self.receive_attempt(attempt, engine, engine_process),
            Event::WithdrawalArrives { attempt, engine } => {
                self.receive_withdrawal(attempt, engine);
            }
            Event::EngineTick { engine, tick } => self.tick_engine(engine, tick),
            Event::AttemptEnded { attempt, end } => self.end_attempt(attempt, end),
            Event::TimerFires { process, timer } => self.fire_timer(process, timer),
            Event::EndpointsDiscovered { process } => self.discover_endpoints(process),
            Event::FaultOccurs { index } => self.inject_fault(index),
            Event::GatewayRestarted { gateway } => self.restart_gateway(gateway),
            Event::EngineRestarted { engine } => {
                self.engines[engine].restart(now);
                self.schedule_endpoint_discovery();
            }
            Event::FleetTick => self.tick_fleet(),
            Event::HeartbeatDue { process, heartbeat } => self.send_heartbeat(process, heartbeat),
            Event::HeartbeatArrives {
                process,
                heartbeat,
                sent_at,
            } => self.receive_heartbeat(process, heartbeat, sent_at),
            Event::HeartbeatAnswered { process, response } => {
                self.receive_heartbeat_response(process, *response);
            }
        }
    }

    fn is_running(&self, process: ProcessId) -> bool {
        self.gateways[process.gateway].is_running(process)
    }

    fn fire_timer(&mut self, process: ProcessId, timer: u64) {
        let is_latest = self.gateways[process.gateway].latest_timer == timer;
        if self.is_running(process) && is_latest {
            self.call_policy(process.gateway, |policy, now, actions| {
                policy.on_timer(now, actions);
            });
        }
    }

    fn discover_endpoints(&mut self, process: ProcessId) {
        if self.is_running(process) {
            let endpoints = self.endpoints();
            self.call_policy(process.gateway, |policy, now, actions| {
                policy.update_endpoints(now, true, &endpoints, actions);
            });
        }
    }

    /// Called after a change of the engines: each gateway discovers it after a random delay.
    fn schedule_endpoint_discovery(&mut self) {
        let now = self.clock.now();
        for gateway in 0..self.gateways.len() {
            let delay = self.network.discovery_delay(now, &mut self.random);
            let process = self.gateways[gateway].process;
            self.clock
                .schedule_after(delay, Event::EndpointsDiscovered { process });
        }
    }

    /// Sends the result of an attempt from the engine to its gateway.
    fn send_attempt_end(&mut self, attempt: AttemptId, end: AttemptEnd) {
        self.clock
            .schedule_after(NETWORK_DELAY, Event::AttemptEnded { attempt, end });
    }
}
