//! A fleet of gateway processes. Each gateway has its own directory, its own links to the voters and its own stub
//! engines, so the address at which an attempt arrives identifies the gateway that sent it.

mod commands;
mod config_files;
mod faults;
mod load;
mod load_control;
mod plan;
mod process;
mod state;

pub use commands::CommandOutput;
pub use faults::{Isolation, LinkBetween};
pub use plan::{ConfigEdit, DisabledGuard, Plan, StartupFiles};

use crate::invariants::{Observation, RequestLog};
use crate::stub;
use config_files::{links_to_voters, GatewayAddresses, GatewaySpec};
use load::ClientLoad;
use process::GatewayProcess;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit of [`wait_until`], of the retries of a change and of a client's wait for an answer. Changes take well
/// below a second, but can take many times longer on a busy machine.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval at which [`wait_until`] checks its condition.
const CONDITION_INTERVAL: Duration = Duration::from_millis(10);
/// Number of voters, the gateways with a replica of the fleet's log. They have the lowest indices.
const VOTER_COUNT: usize = 3;
/// Number of log lines printed for each gateway when a test fails.
const PRINTED_LOG_LINES: usize = 25;

/// The request classes of the load: an idempotent one, and one whose requests have side effects.
pub const CLASSES: [&str; 2] = ["lookup", "post"];
/// The classes whose requests may reach an engine only once.
pub const EXACTLY_ONCE_CLASSES: [&str; 1] = ["post"];

/// A fleet of gateway processes under test. Dropping it kills the processes and deletes their directories. If the test
/// has panicked, the last lines of each gateway's log are printed.
pub struct Cluster {
    /// The calls, answers and attempts recorded so far.
    pub request_log: RequestLog,
    dir: PathBuf,
    gateways: Vec<GatewayProcess>,
    loads: Vec<ClientLoad>,
    /// Number of loads started so far.
    load_count: usize,
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// If the condition doesn't hold within 40 seconds.
#[track_caller]
pub fn wait_until(condition_name: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "condition not met within {CONDITION_TIMEOUT:?}: {condition_name}"
        );
        thread::sleep(CONDITION_INTERVAL);
    }
}

/// The fleet's name for the gateway with this index: `g1` for index 0.
pub fn gateway_name(gateway: usize) -> String {
    format!("g{}", gateway + 1)
}

impl Cluster {
    /// Prepares, starts and bootstraps a fleet, and waits until every gateway is fit.
    ///
    /// # Panics
    ///
    /// If a file can't be written, a process can't be started, or a gateway isn't fit within 40 seconds.
    pub fn started(test: &str, plan: &Plan) -> Cluster {
        let mut cluster = Cluster::prepare(test, plan);
        (0..plan.gateway_count).for_each(|gateway| cluster.start(gateway));
        cluster.bootstrap();
        cluster
    }

    /// Writes a fleet's startup files and starts its links and stub engines, but no gateway process.
    ///
    /// # Panics
    ///
    /// If a file can't be written or an address can't be bound.
    pub fn prepare(test: &str, plan: &Plan) -> Cluster {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("ironstair-test-cluster-{test}-{pid}"));
        // The directory exists only if a killed process with the same id left it behind.
        let _ = fs::remove_dir_all(&dir);
        let request_log = RequestLog::default();
        let addresses: Vec<GatewayAddresses> = (0..plan.gateway_count)
            .map(|_| GatewayAddresses::allocate())
            .collect();
        let gateways = (0..plan.gateway_count).map(|gateway| {
            let engines = [0, 1].map(|engine| {
                start_recording_engine(&request_log, gateway, engine, plan.service_time_ms)
            });
            prepare_gateway(test, plan, gateway, &addresses, engines, &dir)
        });
        let gateways = gateways.collect();
        Cluster {
            request_log,
            dir,
            gateways,
            loads: Vec::new(),
            load_count: 0,
        }
    }

    /// Bootstraps the fleet, and waits until every gateway is fit.
    ///
    /// # Panics
    ///
    /// If bootstrapping takes more than 40 seconds, or a gateway isn't fit within 40 seconds.
    pub fn bootstrap(&self) {
        self.bootstrap_voters();
        self.wait_until_all_fit();
    }

    /// Bootstraps the fleet, and waits until every voter has a vote.
    ///
    /// # Panics
    ///
    /// If that takes more than 40 seconds.
    pub fn bootstrap_voters(&self) {
        wait_until("the fleet is bootstrapped", || {
            let output = self.cli(0, &["fleet", "begin"]);
            let is_done_already = output.stderr.contains("the fleet is bootstrapped already");
            output.is_success() || is_done_already
        });
        self.wait_until_all_vote(0);
    }

    fn print_log(&self, gateway: usize) {
        let log = self.log(gateway);
        // The stub name service has no list of engines, and each gateway logs that repeatedly.
        let lines: Vec<&str> = log
            .lines()
            .rev()
            .filter(|line| !line.contains("name service"))
            .take(PRINTED_LOG_LINES)
            .collect();
        eprintln!("-- {}", gateway_name(gateway));
        lines.iter().rev().for_each(|line| eprintln!("{line}"));
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.loads.iter().for_each(ClientLoad::request_stop);
        (0..self.size()).for_each(|gateway| self.kill(gateway));
        if thread::panicking() {
            (0..self.size()).for_each(|gateway| self.print_log(gateway));
        }
        // If the deletion fails, the remaining files are in the system's temporary directory.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn prepare_gateway(
    fleet_name: &str,
    plan: &Plan,
    gateway: usize,
    addresses: &[GatewayAddresses],
    engines: [SocketAddr; 2],
    cluster_dir: &Path,
) -> GatewayProcess {
    let dir = cluster_dir.join(gateway_name(gateway));
    fs::create_dir_all(&dir).expect("the system's temporary directory is writable");
    let links = links_to_voters(gateway, addresses);
    let spec = GatewaySpec {
        fleet_name,
        plan,
        gateway,
        addresses,
        engines,
        links: &links,
        dir: &dir,
    };
    spec.write_files();
    GatewayProcess {
        child: None,
        is_paused: false,
        dir,
        addresses: addresses[gateway],
        disabled_guards: plan.disabled_guards_of(gateway),
        links,
    }
}

/// Starts a stub engine for one gateway. It records each attempt in the request log and answers it.
fn start_recording_engine(
    request_log: &RequestLog,
    gateway: usize,
    engine: usize,
    service_time_ms: u64,
) -> SocketAddr {
    let request_log = request_log.clone();
    let (address, _) = stub::start_engine(move |line, _| {
        if !line.starts_with("fetch") {
            return (Vec::new(), false);
        }
        request_log.record(Observation::AttemptReceived {
            gateway,
            engine,
            request_id: stub::request_id(line).to_owned(),
            class: class_of_attempt(line).to_owned(),
        });
        thread::sleep(Duration::from_millis(service_time_ms));
        (stub::done_reply(line, "a\tb\tc\n"), false)
    });
    address
}

/// The class named in the options of an engine's `fetch` line, or an empty string if there is none.
fn class_of_attempt(line: &str) -> &str {
    line.split("c=")
        .nth(1)
        .and_then(|rest| rest.split([',', ' ']).next())
        .unwrap_or_default()
}
