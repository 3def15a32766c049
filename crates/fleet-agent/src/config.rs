//! The section `fleet` of the operator's file, which is validated completely at start.

use ironstair::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The shortest lease in ms. A shorter one needs many heartbeats, and expires during a short pause of the process.
const MIN_LEASE: Millis = 1000.0;
/// The longest lease in ms. The longer the lease, the longer a change waits for members that are gone.
const MAX_LEASE: Millis = 60_000.0;
/// The longest name in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The allowed numbers of voters. Of 3 one may be lost, of 5 two, and a majority remains.
const VOTER_COUNTS: [usize; 2] = [3, 5];

/// The settings of a gateway's membership in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The fleet's name.
    pub fleet: String,
    /// This gateway's name in it.
    pub name: String,
    /// The address and port to listen on for other gateways.
    pub listen: SocketAddr,
    /// The voters by name, with their addresses.
    pub voters: BTreeMap<String, SocketAddr>,
    /// The lease's length in ms.
    pub lease: Millis,
    /// Whether the gateway continues to decide after its lease has expired. The fleet decides no change that such a
    /// gateway has not applied.
    pub steady: bool,
    /// Whether fleet-wide limits are divided by the current number of members, in place of the number in the settings.
    pub counts_members: bool,
    /// The folder of a voter's log.
    pub log_folder: Option<PathBuf>,
}

/// Why a [`FleetConfig`] is invalid, with the field in the operator's file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// A name is empty, too long, or has control characters.
    #[error("fleet.{field}: the name {name:?} must have 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    Name {
        /// The field.
        field: &'static str,
        /// Its value.
        name: String,
    },
    /// The gateway's own name is empty or too long.
    #[error("fleet: the gateway's own name must have 1 to {MAX_NAME_BYTES} bytes")]
    OwnName,
    /// There are too few voters, too many, or an even number.
    #[error("fleet.keepers: expected 3 or 5 voters, found {0}")]
    VoterCount(usize),
    /// Two voters have one address.
    #[error("fleet.keepers.{voter}: {address} is also the address of another voter")]
    SharedAddress {
        /// One of the two.
        voter: String,
        /// Their address.
        address: SocketAddr,
    },
    /// The lease is too short or too long, in ms.
    #[error("fleet.lease_ms: {0} is outside the range {MIN_LEASE} to {MAX_LEASE}")]
    Lease(Millis),
    /// A steady gateway can't count members.
    #[error("fleet.count: a steady gateway can't count members; it requires \"told\"")]
    SteadyCounts,
    /// A voter has no folder.
    #[error("fleet.state: {0} is a voter and requires a folder for its log")]
    FolderMissing(String),
    /// A folder is configured for a gateway that is not a voter.
    #[error("fleet.state: {0} is not among the voters and must not have a folder for a log")]
    FolderUnused(String),
}

impl FleetConfig {
    /// Whether this gateway is one of the voters.
    pub fn is_voter(&self) -> bool {
        self.voters.contains_key(&self.name)
    }

    /// Checks all fields.
    ///
    /// # Errors
    /// Fails with the first invalid field.
    pub fn validated(self) -> Result<Self, ConfigError> {
        self.validate_names()?;
        self.validate_voters()?;
        if !(MIN_LEASE..=MAX_LEASE).contains(&self.lease) {
            return Err(ConfigError::Lease(self.lease));
        }
        if self.counts_members && self.steady {
            return Err(ConfigError::SteadyCounts);
        }
        match (self.is_voter(), &self.log_folder) {
            (true, None) => Err(ConfigError::FolderMissing(self.name)),
            (false, Some(_)) => Err(ConfigError::FolderUnused(self.name)),
            _ => Ok(self),
        }
    }

    fn validate_names(&self) -> Result<(), ConfigError> {
        validate_name("name", &self.fleet)?;
        if !(1..=MAX_NAME_BYTES).contains(&self.name.len()) {
            return Err(ConfigError::OwnName);
        }
        let mut voters = self.voters.keys();
        voters.try_for_each(|voter| validate_name("keepers", voter))
    }

    fn validate_voters(&self) -> Result<(), ConfigError> {
        if !VOTER_COUNTS.contains(&self.voters.len()) {
            return Err(ConfigError::VoterCount(self.voters.len()));
        }
        let is_shared = |address: &SocketAddr| {
            let same = self.voters.values().filter(|other| *other == address);
            same.count() > 1
        };
        match self.voters.iter().find(|(_, address)| is_shared(address)) {
            Some((voter, address)) => Err(ConfigError::SharedAddress {
                voter: voter.clone(),
                address: *address,
            }),
            None => Ok(()),
        }
    }
}

fn validate_name(field: &'static str, name: &str) -> Result<(), ConfigError> {
    let has_valid_length = (1..=MAX_NAME_BYTES).contains(&name.len());
    if has_valid_length && !name.chars().any(char::is_control) {
        return Ok(());
    }
    Err(ConfigError::Name {
        field,
        name: name.to_owned(),
    })
}
