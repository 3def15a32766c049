//! What is opened before anything serves: the listener and the disk.

use crate::config::FleetConfig;
use crate::fault_injection::taken_out;
use crate::server;
use ironstair_raft_storage::Storage;
use std::hash::{BuildHasher, Hasher};
use std::net::TcpListener;

/// Opened before anything serves: a disk or an address that can't be used is told at once.
pub struct PreparedAgent {
    pub(crate) config: FleetConfig,
    pub(crate) bound: TcpListener,
    pub(crate) storage: Option<Storage>,
    pub(crate) note: Option<String>,
}

/// Not 0, which stands for none.
pub(crate) fn random_number() -> u64 {
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
        | 1
}

impl PreparedAgent {
    /// # Errors
    /// The address is not free, or the disk can't be used; one sentence.
    pub fn open(config: FleetConfig) -> Result<PreparedAgent, String> {
        let bound = server::bind(config.listen)?;
        // Held to the process's end, also where this thread ends before: the gateway's decides by its lease still, and
        // a later process that could listen here would count this one as gone.
        std::mem::forget(
            bound
                .try_clone()
                .map_err(|e| format!("fleet.listen: {e}"))?,
        );
        let storage = config.folder.as_ref();
        let number = if taken_out("number") {
            fixed_number(&config.name)
        } else {
            random_number()
        };
        let open = |folder| Storage::open(folder, &config.fleet, &config.name, number);
        let storage = storage
            .map(|f| open(f).map_err(|e| format!("fleet.state: {e}")))
            .transpose()?;
        let (storage, note) = storage.map_or((None, None), |a| (Some(a.storage), a.note));
        Ok(PreparedAgent {
            config,
            bound,
            storage,
            note,
        })
    }
}

/// The number of a voter that would not be drawn anew.
fn fixed_number(name: &str) -> u64 {
    ironstair_runtime::number(name.as_bytes()) | 1
}
