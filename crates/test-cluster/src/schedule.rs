//! Random schedules of faults and changes for a cluster under load. The same seed always gives the same schedule.

use crate::cluster::{gateway_name, wait_until, Cluster, CommandOutput, Isolation, CLASSES};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::ops::Range;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const GATEWAY_COUNT: usize = 5;
const VOTER_COUNT: usize = 3;
const STEP_COUNT: usize = 6;
/// Duration of a fault in milliseconds: with leases of one second, from well below one lease to more than two.
const FAULT_DURATION_MS: Range<u64> = 200..2600;
/// The gateway through which the fleet's state is read at the end. It isn't a voter, so it has no replica to wipe.
const STATUS_GATEWAY: usize = 3;
const MAX_ATTEMPTS_PATH: &str = "/settings/forwards-most";
/// The settings that schedules change. At the end, all gateways must have the same values.
const CHANGED_SETTINGS: [&str; 3] = [
    MAX_ATTEMPTS_PATH,
    "/settings/band[name=lookup]/zone",
    "/settings/band[name=post]/zone",
];

/// A fault injected into the cluster.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The gateway's process is killed, and restarted when the fault ends.
    Kill(usize),
    /// The gateway's process is suspended while its client fills the gateway's queue.
    Pause(usize),
    /// The links between a gateway and all others are cut.
    Isolate {
        /// The gateway.
        gateway: usize,
        /// The traffic that is held back.
        isolation: Isolation,
    },
    /// The traffic between a gateway and all others is delayed.
    Delay {
        /// The gateway.
        gateway: usize,
        /// The delay in each direction, in milliseconds.
        delay_ms: u64,
    },
    /// The voter's process is killed, and restarted without its replica.
    WipeDisk(usize),
    /// The processes of all voters are killed, and restarted when the fault ends.
    KillVoters,
}

/// A change of the fleet's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Excludes zone b from the zones of the class.
    ForbidZoneB(&'static str),
    /// Allows zone b for the class again.
    AllowZoneB(&'static str),
    /// Sets the maximum number of attempts per request.
    MaxAttempts(u64),
    /// No change.
    None,
}

/// A fault, and a change that is requested halfway through its duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The fault.
    pub fault: Fault,
    /// How long the fault lasts, in milliseconds.
    pub duration_ms: u64,
    /// The change.
    pub change: Change,
    /// The gateway through which the change is requested.
    pub request_gateway: usize,
}

/// Generates the schedule of a seed.
pub fn generate_steps(seed: u64) -> Vec<Step> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    (0..STEP_COUNT).map(|_| random_step(&mut random)).collect()
}

/// Draws a random number below a bound. The modulo bias is negligible for these bounds.
fn random_below(random: &mut Pcg64Mcg, bound: u64) -> u64 {
    random.next_u64() % bound
}

/// Draws in a fixed order: failures are reported by seed, so a seed must keep giving the same schedule.
fn random_step(random: &mut Pcg64Mcg) -> Step {
    let gateway = random_below(random, GATEWAY_COUNT as u64) as usize;
    let voter = random_below(random, VOTER_COUNT as u64) as usize;
    let fault = random_fault(random, gateway, voter);
    let duration_range = FAULT_DURATION_MS.end - FAULT_DURATION_MS.start;
    let duration_ms = FAULT_DURATION_MS.start + random_below(random, duration_range);
    let change = random_change(random);
    let request_gateway = random_below(random, GATEWAY_COUNT as u64) as usize;
    Step {
        fault,
        duration_ms,
        change,
        request_gateway,
    }
}

fn random_fault(random: &mut Pcg64Mcg, gateway: usize, voter: usize) -> Fault {
    match random_below(random, 9) {
        0 | 1 => Fault::Kill(gateway),
        2 | 3 => Fault::Pause(gateway),
        4 => Fault::Isolate {
            gateway,
            isolation: Isolation::Full,
        },
        5 => Fault::Isolate {
            gateway,
            isolation: match random_below(random, 2) {
                0 => Isolation::Outbound,
                _ => Isolation::Inbound,
            },
        },
        6 => Fault::Delay {
            gateway,
            delay_ms: 50 + random_below(random, 400),
        },
        7 => Fault::WipeDisk(voter),
        _ => Fault::KillVoters,
    }
}

fn random_change(random: &mut Pcg64Mcg) -> Change {
    let class = CLASSES[random_below(random, 2) as usize];
    // Always drawn, so that the number of draws doesn't depend on the kind of change.
    let max_attempts = 2 + random_below(random, 5);
    match random_below(random, 5) {
        0 | 1 => Change::ForbidZoneB(class),
        2 => Change::AllowZoneB(class),
        3 => Change::MaxAttempts(max_attempts),
        _ => Change::None,
    }
}

/// Runs a schedule on a cluster under load, and returns how many of the requested changes succeeded.
///
/// # Panics
///
/// If the cluster doesn't recover from a fault in time, or the gateways' settings differ at the end.
pub fn run(cluster: &mut Cluster, steps: &[Step]) -> usize {
    let mut runner = ScheduleRunner {
        cluster,
        last_wipe: None,
    };
    let mut changes_made = 0;
    for step in steps {
        let command = runner.run_step(step);
        runner.cluster.heal_links();
        let is_made = command.is_some_and(|command| {
            let output = command.join();
            output.is_ok_and(|output| output.is_success())
        });
        changes_made += usize::from(is_made);
    }
    assert_converged(cluster);
    changes_made
}

/// A voter whose disk was wiped.
struct Wipe {
    voter: usize,
    /// How many times the voter's log had reported a vote before the wipe.
    votes_before: usize,
}

struct ScheduleRunner<'a> {
    cluster: &'a mut Cluster,
    last_wipe: Option<Wipe>,
}

impl ScheduleRunner<'_> {
    fn run_step(&mut self, step: &Step) -> Option<JoinHandle<CommandOutput>> {
        match step.fault {
            Fault::Kill(gateway) => self.change_while_killed(&[gateway], step),
            Fault::Pause(gateway) => {
                // The client's calls are answered before the pause. Otherwise the pause could interrupt a write that
                // completes afterwards, which no invariant covers.
                self.cluster.pause_load(gateway);
                self.cluster.pause(gateway);
                self.cluster.fill_queue(gateway);
                let command = self.request_change(step);
                self.cluster.resume(gateway);
                command
            }
            Fault::Isolate { gateway, isolation } => {
                self.cluster.isolate(gateway, isolation);
                self.request_change(step)
            }
            Fault::Delay { gateway, delay_ms } => {
                self.cluster.delay_links(gateway, delay_ms);
                self.request_change(step)
            }
            Fault::WipeDisk(voter) => {
                self.wait_until_wipe_is_tolerable(voter);
                let votes_before = self.vote_count(voter);
                self.last_wipe = Some(Wipe {
                    voter,
                    votes_before,
                });
                self.cluster.kill(voter);
                self.cluster.wipe_disk(voter);
                let command = self.request_change(step);
                self.cluster.start(voter);
                command
            }
            Fault::KillVoters => {
                let voters: Vec<usize> = (0..VOTER_COUNT).collect();
                self.change_while_killed(&voters, step)
            }
        }
    }

    /// Kills the gateways' processes, requests the step's change, and restarts the processes.
    fn change_while_killed(
        &mut self,
        gateways: &[usize],
        step: &Step,
    ) -> Option<JoinHandle<CommandOutput>> {
        gateways
            .iter()
            .for_each(|gateway| self.cluster.kill(*gateway));
        let command = self.request_change(step);
        gateways
            .iter()
            .for_each(|gateway| self.cluster.start(*gateway));
        command
    }

    /// Waits for the duration of the fault, and starts the step's change halfway through.
    fn request_change(&self, step: &Step) -> Option<JoinHandle<CommandOutput>> {
        let half = Duration::from_millis(step.duration_ms) / 2;
        thread::sleep(half);
        let command = self.spawn_change(step);
        thread::sleep(half);
        command
    }

    fn spawn_change(&self, step: &Step) -> Option<JoinHandle<CommandOutput>> {
        let gateway = step.request_gateway;
        match step.change {
            Change::None => None,
            Change::ForbidZoneB(class) => Some(self.cluster.spawn_forbid_zone_b(gateway, class)),
            Change::AllowZoneB(class) => Some(self.cluster.spawn_allow_zone_b(gateway, class)),
            Change::MaxAttempts(max_attempts) => {
                let value = max_attempts.to_string();
                let args = ["set", MAX_ATTEMPTS_PATH, &value, "--fleet"];
                Some(self.cluster.spawn_cli(gateway, &args))
            }
        }
    }

    fn vote_count(&self, voter: usize) -> usize {
        self.cluster
            .log(voter)
            .matches("this voter has a vote")
            .count()
    }

    /// Waits until the fleet can lose another disk. It isn't guaranteed to survive a second loss before the first voter
    /// has its vote again.
    fn wait_until_wipe_is_tolerable(&self, voter: usize) {
        wait_until("the previously wiped voter has a vote again", || {
            self.last_wipe
                .as_ref()
                .is_none_or(|wipe| self.vote_count(wipe.voter) > wipe.votes_before)
        });
        let other_voter = usize::from(voter == 0);
        wait_until("no voter is being replaced", || {
            let status = self.cluster.fleet_status(other_voter);
            status["joining"] == json!([]) && status["replacing"] == json!(false)
        });
    }
}

/// Waits until every gateway is fit and has applied the same revision, and compares their settings.
fn assert_converged(cluster: &Cluster) {
    wait_until("no change is in progress", || {
        let status = cluster.fleet_status(STATUS_GATEWAY);
        status["revision"].is_u64() && status["change"].is_null()
    });
    let revision = cluster.fleet_status(STATUS_GATEWAY)["revision"].as_u64();
    for gateway in 0..GATEWAY_COUNT {
        let name = gateway_name(gateway);
        wait_until(&format!("{name} holds revision {revision:?}"), || {
            cluster.revision(gateway) == revision && cluster.is_fit(gateway)
        });
    }
    let settings_of = |gateway: usize| -> Vec<Value> {
        CHANGED_SETTINGS
            .iter()
            .map(|path| cluster.setting(gateway, path))
            .collect()
    };
    let first = settings_of(0);
    for gateway in 1..GATEWAY_COUNT {
        let names = [gateway_name(gateway), gateway_name(0)];
        assert_eq!(settings_of(gateway), first, "settings of {names:?} differ");
    }
}

#[cfg(test)]
mod tests;
