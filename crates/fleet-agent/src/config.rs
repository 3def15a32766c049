//! What an operator says of a fleet, checked whole at start.

use ironstair::Ms;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Shorter costs heartbeats and takes pauses for ends; longer makes a change wait longer for who is gone.
const MIN_LEASE: Ms = 1000.0;
const MAX_LEASE: Ms = 60_000.0;
const MAX_NAME_BYTES: usize = 64;

#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    pub fleet: String,
    /// This gateway's name in it.
    pub name: String,
    pub listen: SocketAddr,
    /// Names of the voters, and where each is reached from here.
    pub voters: BTreeMap<String, SocketAddr>,
    pub lease: Ms,
    /// Goes on without a lease; no change is decided without it.
    pub steady: bool,
    /// Shares out among the members there are, not among as many as the policy says.
    pub counts: bool,
    /// Where a voter's log lies.
    pub folder: Option<PathBuf>,
}

impl FleetConfig {
    pub fn is_voter(&self) -> bool {
        self.voters.contains_key(&self.name)
    }

    /// # Errors
    /// What can't be, by its field.
    pub fn checked(self) -> Result<Self, String> {
        let named = |field: &str, name: &str| match name.len() {
            1..=MAX_NAME_BYTES if !name.chars().any(char::is_control) => Ok(()),
            _ => Err(format!(
                "fleet.{field}: {name:?} is no name of 1 to {MAX_NAME_BYTES} bytes"
            )),
        };
        named("name", &self.fleet)?;
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            return Err(
                "fleet: the gateway's own name is empty or too long to be one of a fleet's".into(),
            );
        }
        self.voters.keys().try_for_each(|k| named("keepers", k))?;
        if ![3, 5].contains(&self.voters.len()) {
            return Err(format!(
                "fleet.keepers: 3 or 5 are named, not {}",
                self.voters.len()
            ));
        }
        let twice = |at: &SocketAddr| self.voters.values().filter(|a| *a == at).count() > 1;
        if let Some((name, at)) = self.voters.iter().find(|(_, at)| twice(at)) {
            return Err(format!(
                "fleet.keepers.{name}: {at} is another's address too"
            ));
        }
        if !(MIN_LEASE..=MAX_LEASE).contains(&self.lease) {
            return Err(format!(
                "fleet.lease_ms: {} is outside {MIN_LEASE} to {MAX_LEASE}",
                self.lease
            ));
        }
        if self.counts && self.steady {
            return Err(
                "fleet.count: who goes on without a lease goes by what was told, not by members"
                    .into(),
            );
        }
        match (self.is_voter(), &self.folder) {
            (true, None) => Err(format!(
                "fleet.state: {} is a keeper, and needs a folder for its log",
                self.name
            )),
            (false, Some(_)) => Err(format!(
                "fleet.state: {} is not among the keepers and keeps no log",
                self.name
            )),
            _ => Ok(self),
        }
    }
}
