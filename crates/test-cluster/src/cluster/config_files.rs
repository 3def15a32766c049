//! Writes the startup files of the fleet's gateways.

use super::plan::{Plan, StartupFiles};
use super::{gateway_name, CLASSES, VOTER_COUNT};
use crate::link::Link;
use crate::stub;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// File name of the platform's configuration in a gateway's directory.
pub(super) const CONFIG_FILE: &str = "told.json";
/// File name of the operator's file in a gateway's directory.
pub(super) const OPERATOR_FILE: &str = "operator.json";
/// Difference between the random seeds of two gateways: 2^64 divided by the golden ratio, as in SplitMix64, which
/// spreads the seeds over 64 bits.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// The addresses on which one gateway listens.
#[derive(Clone, Copy, Debug)]
pub(super) struct GatewayAddresses {
    pub(super) clients: SocketAddr,
    pub(super) management: SocketAddr,
    pub(super) fleet: SocketAddr,
}

impl GatewayAddresses {
    /// Allocates three ports on an address that no other test uses.
    pub(super) fn allocate() -> GatewayAddresses {
        let clients = stub::allocate_address();
        let port_after = |offset| SocketAddr::new(clients.ip(), clients.port() + offset);
        GatewayAddresses {
            clients,
            management: port_after(1),
            fleet: port_after(2),
        }
    }
}

/// Starts a link from the gateway to each other voter. The map's key is the voter's index.
pub(super) fn links_to_voters(
    gateway: usize,
    addresses: &[GatewayAddresses],
) -> BTreeMap<usize, Link> {
    (0..VOTER_COUNT)
        .filter(|voter| *voter != gateway)
        .map(|voter| (voter, Link::to(addresses[voter].fleet)))
        .collect()
}

/// The inputs of one gateway's startup files.
pub(super) struct GatewaySpec<'a> {
    pub(super) fleet_name: &'a str,
    pub(super) plan: &'a Plan,
    pub(super) gateway: usize,
    pub(super) addresses: &'a [GatewayAddresses],
    pub(super) engines: [SocketAddr; 2],
    pub(super) links: &'a BTreeMap<usize, Link>,
    pub(super) dir: &'a Path,
}

impl GatewaySpec<'_> {
    /// Applies the plan's edit to both files and writes them to the gateway's directory.
    pub(super) fn write_files(&self) {
        let mut files = StartupFiles {
            config: self.config(),
            operator: self.operator(),
        };
        if let Some(edit) = self.plan.config_edit {
            edit(self.gateway, &mut files);
        }
        write_json(&self.dir.join(CONFIG_FILE), &files.config);
        write_json(&self.dir.join(OPERATOR_FILE), &files.operator);
    }

    fn config(&self) -> Value {
        let named_engines = [("e1", self.engines[0]), ("e2", self.engines[1])];
        let classes = json!([class(CLASSES[0], "pure"), class(CLASSES[1], "side_effect")]);
        let gateway_count = self.plan.gateway_count as u32;
        let (mut config, _) = stub::gateway_config(gateway_count, classes, &named_engines);
        let seed = SEED_STEP.wrapping_mul(self.gateway as u64 + 1);
        config["name"] = json!(gateway_name(self.gateway));
        config["listen"] = json!(self.addresses[self.gateway].clients.to_string());
        config["seed"] = json!(format!("{seed:016x}"));
        // There are two zones so that a change can exclude zone b. Attempts at its engine then show which policy a
        // gateway uses.
        config["settings"]["dcs"] = json!(["a", "b"]);
        config["known"]["notices"][0]["pool"]["instances"][1]["zone"] = json!("b");
        config
    }

    fn operator(&self) -> Value {
        let own = self.addresses[self.gateway];
        let voters: BTreeMap<String, String> = (0..VOTER_COUNT)
            .map(|voter| (gateway_name(voter), self.voter_address(voter).to_string()))
            .collect();
        let mut fleet = json!({
            "name": self.fleet_name,
            "listen": own.fleet.to_string(),
            "keepers": voters,
            "lease_ms": self.plan.lease_ms,
        });
        if self.gateway < VOTER_COUNT {
            fleet["state"] = json!(self.dir.join("state"));
        }
        if self.plan.steady_gateways.contains(&self.gateway) {
            fleet["cut_off"] = json!("steady");
        }
        json!({"management": {"listen": own.management.to_string()}, "fleet": fleet})
    }

    /// The address at which this gateway reaches a voter: that of the link, or its own address if it is the voter.
    fn voter_address(&self, voter: usize) -> SocketAddr {
        self.links
            .get(&voter)
            .map_or(self.addresses[voter].fleet, |link| link.address)
    }
}

fn class(name: &str, semantics: &str) -> Value {
    json!({"name": name, "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": semantics, "worth": 1.0})
}

/// Reads a JSON file, changes it and writes it back.
pub(super) fn edit_json(path: &Path, edit: impl FnOnce(&mut Value)) {
    let bytes = fs::read(path).expect("the startup file was written when the cluster was prepared");
    let mut content = serde_json::from_slice(&bytes).expect("startup files are JSON");
    edit(&mut content);
    write_json(path, &content);
}

fn write_json(path: &Path, content: &Value) {
    fs::write(path, content.to_string()).expect("the gateway's directory is writable");
}
