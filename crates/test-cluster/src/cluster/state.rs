//! State of the fleet and its gateways as clients, operators and the operating system see it.

use super::{gateway_name, wait_until, Cluster, VOTER_COUNT};
use crate::stub::Client;
use serde_json::{json, Value};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::process::Child;
use std::time::Duration;

/// Time limit of an answer to `check`. The kernel accepts connections to a paused gateway, which never answers.
const CHECK_TIMEOUT: Duration = Duration::from_secs(5);

impl Cluster {
    /// Number of gateways, running or not.
    pub fn size(&self) -> usize {
        self.gateways.len()
    }

    pub(super) fn management(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].addresses.management
    }

    fn connect(&self, gateway: usize) -> Option<TcpStream> {
        TcpStream::connect(self.gateways[gateway].addresses.clients).ok()
    }

    /// Whether a gateway accepts client connections.
    pub fn is_listening(&self, gateway: usize) -> bool {
        self.connect(gateway).is_some()
    }

    /// Whether a gateway answers `check` with `"fit": true`.
    pub fn is_fit(&self, gateway: usize) -> bool {
        let Some(stream) = self.connect(gateway) else {
            return false;
        };
        if stream.set_read_timeout(Some(CHECK_TIMEOUT)).is_err() {
            return false;
        }
        let mut client = Client(BufReader::new(stream));
        let check = r#"{"jsonrpc":"2.0","id":1,"method":"check","params":{}}"#;
        if !client.try_send(check) {
            return false;
        }
        client
            .try_receive()
            .is_some_and(|answer| answer["result"]["fit"] == json!(true))
    }

    /// Waits until a gateway is fit.
    ///
    /// # Panics
    ///
    /// If the gateway isn't fit within 40 seconds.
    pub fn wait_until_fit(&self, gateway: usize) {
        let condition_name = format!("{} is fit", gateway_name(gateway));
        wait_until(&condition_name, || self.is_fit(gateway));
    }

    /// Waits until every gateway is fit.
    ///
    /// # Panics
    ///
    /// If a gateway isn't fit within 40 seconds.
    pub fn wait_until_all_fit(&self) {
        (0..self.size()).for_each(|gateway| self.wait_until_fit(gateway));
    }

    /// The leader's view of the fleet as JSON, requested through a gateway. Null if no leader answers.
    pub fn fleet_status(&self, gateway: usize) -> Value {
        let output = self.cli(gateway, &["fleet", "--json"]);
        serde_json::from_str(&output.stdout).unwrap_or_default()
    }

    /// Waits until the leader, queried through a gateway, reports that every voter has a vote.
    ///
    /// # Panics
    ///
    /// If that takes more than 40 seconds.
    pub fn wait_until_all_vote(&self, gateway: usize) {
        wait_until("every voter has a vote", || {
            self.fleet_status(gateway)["keepers"]
                .as_array()
                .is_some_and(|voters| voters.len() == VOTER_COUNT)
        });
    }

    /// Waits until there is a leader, and returns its index.
    ///
    /// # Panics
    ///
    /// If no running voter knows a leader within 40 seconds.
    pub fn leader(&self) -> usize {
        let mut leader = None;
        wait_until("a voter is the leader", || {
            let leader_name = (0..VOTER_COUNT)
                .filter(|voter| self.gateways[*voter].is_running())
                .find_map(|voter| self.fleet_status(voter)["chair"].as_str().map(String::from));
            leader = leader_name
                .and_then(|name| (0..VOTER_COUNT).find(|voter| gateway_name(*voter) == name));
            leader.is_some()
        });
        leader.expect("the condition holds only once the leader is known")
    }

    /// The fleet revision that a gateway applies, or `None` if the gateway doesn't report one.
    pub fn revision(&self, gateway: usize) -> Option<u64> {
        let revision = self.setting(gateway, "/state/fleet/revision");
        revision.as_str()?.parse().ok()
    }

    /// A leaf of a gateway's configuration and state tree as JSON. Null if it has no value.
    pub fn setting(&self, gateway: usize, path: &str) -> Value {
        let output = self.cli(gateway, &["get", path, "--json"]);
        let leaves: Value = serde_json::from_str(&output.stdout).unwrap_or_default();
        leaves[0]["value"].clone()
    }

    /// Waits until every gateway has applied a revision and is fit.
    ///
    /// # Panics
    ///
    /// If that takes more than 40 seconds at one of them.
    pub fn wait_for_revision_everywhere(&self, revision: u64) {
        for gateway in 0..self.size() {
            let condition_name = format!("{} holds revision {revision}", gateway_name(gateway));
            wait_until(&condition_name, || self.revision(gateway) == Some(revision));
            self.wait_until_fit(gateway);
        }
    }

    /// Waits until a leaf has the given value at every gateway.
    ///
    /// # Panics
    ///
    /// If that takes more than 40 seconds at one of them.
    pub fn wait_for_setting_everywhere(&self, path: &str, value: &Value) {
        // On a busy machine, a gateway may lose its lease briefly. Until it has the lease again, it reports no fleet
        // settings.
        for gateway in 0..self.size() {
            let condition_name = format!("{} has {path} {value}", gateway_name(gateway));
            wait_until(&condition_name, || self.setting(gateway, path) == *value);
        }
    }

    /// A gateway's process id, or 0 if it has no process.
    pub fn pid(&self, gateway: usize) -> u32 {
        self.gateways[gateway].child.as_ref().map_or(0, Child::id)
    }

    /// Bytes delivered so far, in both directions, over the links on which a gateway opens the connections.
    pub fn link_bytes(&self, gateway: usize) -> u64 {
        self.gateways[gateway]
            .links
            .values()
            .map(|link| link.delivered_bytes())
            .map(|bytes| bytes.to_target + bytes.from_target)
            .sum()
    }

    /// The log of all processes that a gateway has had. Empty before the first start.
    pub fn log(&self, gateway: usize) -> String {
        self.gateways[gateway].log()
    }
}
