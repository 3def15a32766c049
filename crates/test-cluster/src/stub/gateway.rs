//! A single gateway process with its configuration and its addresses.

use super::name_service::{start_name_service, NameServiceAnswer};
use serde_json::{json, Value};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};

/// File name of the platform's configuration in a gateway's directory.
const CONFIG_FILE: &str = "told.json";
/// File name of the operator's file in a gateway's directory.
const OPERATOR_FILE: &str = "operator.json";
/// The random seed in the configuration of every gateway, unless the test replaces it.
const SEED: &str = "8c1f30d27a5be964";

/// The first port of the first block of ports on an address.
const FIRST_PORT: u16 = 8080;
/// Number of ports of one gateway: for clients, management and the fleet.
const PORTS_PER_GATEWAY: u16 = 3;
/// Number of addresses that a process uses before it moves to the next block of ports. The last byte of an address is
/// never 0 or one of the highest values.
const ADDRESSES_PER_PROCESS: u32 = 250;
/// Smallest second byte of an address.
const FIRST_ADDRESS_BYTE: u8 = 64;
/// The bits of the process id that are added to it.
const ADDRESS_BYTE_MASK: u32 = 63;

/// A running gateway. Dropping it kills the process and deletes its directory.
pub struct Gateway {
    /// The gateway's process.
    pub process: Child,
    /// The address at which clients connect.
    pub address: SocketAddr,
    /// The answer of the gateway's stub name service.
    pub name_answer: NameServiceAnswer,
    /// The directory with its configuration and its operator file.
    pub dir: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // These fail only if the test itself has ended the process or deleted the directory.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Gateway {
    /// Kills the process and starts a new one with the same files.
    ///
    /// # Panics
    ///
    /// If the process can't be started.
    pub fn restart(&mut self) {
        self.process.kill().expect("the process can be killed");
        self.process.wait().expect("the process can be waited for");
        self.process = spawn_gateway_process(&self.dir);
    }

    /// Writes the configuration with a different address of the name service, and makes the process reload it with
    /// SIGHUP.
    ///
    /// # Panics
    ///
    /// If the configuration isn't JSON, or can't be written.
    pub fn reload_with_name_service(&self, config: &str, name_service: SocketAddr) {
        let mut config: Value = serde_json::from_str(config).expect("the configuration is JSON");
        config["names"] = json!(name_service.to_string());
        fs::write(self.dir.join(CONFIG_FILE), config.to_string())
            .expect("the gateway's directory is writable");
        self.signal("-HUP");
    }

    /// Sends a signal to the process, given as an option of `kill` such as `-TERM`.
    ///
    /// # Panics
    ///
    /// If `kill` can't be executed.
    pub fn signal(&self, name: &str) {
        Command::new("kill")
            .args([name, &self.process.id().to_string()])
            .status()
            .expect("kill can be executed");
    }
}

/// Allocates a loopback address that no other test uses, in this process or another one, with its port and the next two
/// ports.
///
/// A free port chosen by the operating system isn't sufficient: another test may bind it before the gateway starts.
pub fn allocate_address() -> SocketAddr {
    static ALLOCATED: AtomicU32 = AtomicU32::new(0);
    let pid = std::process::id();
    let index = ALLOCATED.fetch_add(1, Ordering::Relaxed);
    let port_block = (index / ADDRESSES_PER_PROCESS) as u16;
    let port = FIRST_PORT + PORTS_PER_GATEWAY * port_block;
    let address = [
        127,
        FIRST_ADDRESS_BYTE + (pid >> 8 & ADDRESS_BYTE_MASK) as u8,
        pid as u8,
        1 + (index % ADDRESSES_PER_PROCESS) as u8,
    ];
    SocketAddr::from((address, port))
}

/// Starts a gateway with a fleet size of two and the idempotent classes `lookup` and `report`.
///
/// # Panics
///
/// If its files can't be written or its process can't be started.
pub fn start_gateway(test: &str, engines: &[(&str, SocketAddr)]) -> Gateway {
    start_gateway_in_fleet(2, test, engines)
}

/// As [`start_gateway`], with the given fleet size.
///
/// # Panics
///
/// If its files can't be written or its process can't be started.
pub fn start_gateway_in_fleet(
    fleet_size: u32,
    test: &str,
    engines: &[(&str, SocketAddr)],
) -> Gateway {
    let class = |name: &str| json!({"name": name, "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0});
    let classes = json!([class("lookup"), class("report")]);
    let (config, name_answer) = gateway_config(fleet_size, classes, engines);
    start_gateway_with_config(test, config, name_answer, None)
}

/// Starts a name service, and returns a gateway configuration that uses it and its answer, which the test may set.
///
/// # Panics
///
/// If `classes` isn't an array, or the name service can't be started.
pub fn gateway_config(
    fleet_size: u32,
    classes: Value,
    engines: &[(&str, SocketAddr)],
) -> (Value, NameServiceAnswer) {
    let (name_service, name_answer) = start_name_service();
    let instances: Vec<Value> = engines
        .iter()
        .map(|(name, address)| instance(name, *address))
        .collect();
    let notice = json!({"rev": 1, "pool": {"reset": true, "instances": instances}});
    let config = json!({
        "name": "n0",
        "listen": allocate_address().to_string(),
        "seed": SEED,
        "names": name_service.to_string(),
        "known": {"rev": 1, "notices": [notice]},
        "settings": settings(fleet_size, classes),
    });
    (config, name_answer)
}

fn instance(name: &str, address: SocketAddr) -> Value {
    json!({"instanceId": name, "hostPort": address.to_string(), "zone": "a", "machineType": "m", "cell": 0,
        "lifecycle": "ready", "weight": 4, "startedAtMs": 0})
}

fn settings(fleet_size: u32, classes: Value) -> Value {
    let class_count = classes.as_array().expect("classes are an array").len();
    // Classes alternate between one thread and four.
    let threads: Vec<u32> = (0..class_count)
        .map(|class| 1 + 3 * (class % 2) as u32)
        .collect();
    json!({
        "classes": classes,
        "fleet_size": fleet_size,
        "machine_types": ["m"],
        "dcs": ["a"],
        "registry_mode": "automatic",
        "resolution_ns": 1e6,
        "family_info": {"size_cores": [16], "ram_of_kind_mb": [32768.0], "threads_by_class": threads,
            "lanes_count": true},
        "guarantees": {"cold_from": 0.3, "warm_after_ns": 15e9, "overload_factor": 4.0, "fall_ns": 1e9},
        "report": {"fields": ["concurrent", "load_share"]},
        "policy_limits": {"max_attempts": 6, "may_cancel": true, "probes": true, "connect_timeout_ns": 250e6,
            "keepalive_ns": 30e9, "multiplex": 32},
    })
}

/// Starts a gateway with the given configuration and, if given, the operator file.
///
/// # Panics
///
/// If its files can't be written, the configuration has no listening address, or the process can't be started.
pub fn start_gateway_with_config(
    test: &str,
    config: Value,
    name_answer: NameServiceAnswer,
    operator: Option<Value>,
) -> Gateway {
    let dir = std::env::temp_dir().join(format!("ironstair-{test}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("the system's temporary directory is writable");
    fs::write(dir.join(CONFIG_FILE), config.to_string())
        .expect("the gateway's directory is writable");
    let address = config["listen"]
        .as_str()
        .and_then(|address| address.parse().ok())
        .expect("the configuration has a listening address");
    if let Some(operator) = operator {
        fs::write(dir.join(OPERATOR_FILE), operator.to_string())
            .expect("the gateway's directory is writable");
    }
    let process = spawn_gateway_process(&dir);
    Gateway {
        process,
        address,
        name_answer,
        dir,
    }
}

/// The path of the built gateway, in the directory of the running program or its parent.
///
/// # Panics
///
/// If the gateway isn't built.
pub fn gateway_binary() -> PathBuf {
    let own = std::env::current_exe().expect("the running program has a path");
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join("ironstair"))
        .find(|path| path.is_file())
        .expect("the gateway `ironstair` is built in the directory of the running program or its parent")
}

/// Starts a gateway's process with the files in a directory.
///
/// # Panics
///
/// If the process can't be started.
pub fn spawn_gateway_process(dir: &Path) -> Child {
    let mut serve = Command::new(gateway_binary());
    serve
        .arg("serve")
        .env("ROUTER_CONFIG", dir.join(CONFIG_FILE));
    if dir.join(OPERATOR_FILE).exists() {
        serve.arg("--operator").arg(dir.join(OPERATOR_FILE));
    }
    serve.spawn().expect("the built gateway can be executed")
}
