//! Opens the listener and the log's disk before the gateway serves, so that an address or disk that can't be used is
//! reported at start.

use crate::config::FleetConfig;
use crate::error::{StartError, StorageError};
use crate::fault_injection::{is_disabled, Guard};
use crate::server;
use ironstair_raft_storage::Storage;
use std::hash::{BuildHasher, Hasher};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

/// The opened listener and log of an agent that [`crate::Actor::start`] starts.
pub struct PreparedAgent {
    pub(crate) config: FleetConfig,
    pub(crate) listener: TcpListener,
    /// The disk of a voter's log.
    pub(crate) storage: Option<Storage>,
    /// A sentence about damage that was found in the log when it was opened.
    pub(crate) storage_note: Option<String>,
}

impl PreparedAgent {
    /// Binds the listener and, for a voter, opens the log.
    ///
    /// # Errors
    /// Fails if the address can't be listened on, or the disk can't be used.
    pub fn open(config: FleetConfig) -> Result<PreparedAgent, StartError> {
        let listener = server::bind(config.listen)?;
        // The socket must stay open until the process ends, even if this thread ends earlier: the gateway still decides
        // under its lease then, and a later process that could listen here would conclude that this one has ended.
        std::mem::forget(listener.try_clone().map_err(StartError::HoldListener)?);
        let mut prepared = PreparedAgent {
            config,
            listener,
            storage: None,
            storage_note: None,
        };
        if let Some(folder) = prepared.config.log_folder.clone() {
            prepared.open_storage(&folder)?;
        }
        Ok(prepared)
    }

    fn open_storage(&mut self, folder: &Path) -> Result<(), StartError> {
        let fleet = &self.config.fleet;
        let name = &self.config.name;
        let replica_id = if is_disabled(Guard::RandomReplicaId) {
            fixed_replica_id(name)
        } else {
            random_number()
        };
        let opened = Storage::open(folder, fleet, name, replica_id)
            .map_err(|error| StartError::Log(StorageError::new(error)))?;
        self.storage = Some(opened.storage);
        self.storage_note = opened.note;
        Ok(())
    }
}

/// The name of a resource that only this process can hold until it ends: its listening address, together with the boot
/// id of the machine and the network namespace. A stopped process still holds it, as does one whose threads have not
/// all ended. Empty if the system does not provide the boot id and the namespace, or the port is 0.
pub(crate) fn exclusive_address(listen: SocketAddr) -> String {
    let machine = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
    let network = std::fs::read_link("/proc/self/ns/net");
    match (machine, network) {
        (Ok(machine), Ok(network)) if listen.port() != 0 => {
            format!("{} {} {listen}", machine.trim(), network.display())
        }
        _ => String::new(),
    }
}

/// A random number other than 0, which stands for a missing number.
pub(crate) fn random_number() -> u64 {
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
        | 1
}

/// A replica id that is the same at each start, for tests.
fn fixed_replica_id(name: &str) -> u64 {
    ironstair_runtime::fnv1a_64(name.as_bytes()) | 1
}
