//! The state that a gateway publishes, and its conversion to leaves.
//!
//! Fields may be named differently from the YANG nodes that show them, because clients depend on the node names.

mod tree;

use ironstair::policy::{ClassView, EngineView};
use ironstair::Millis;
use ironstair_coordination::Share;
use std::sync::Arc;

pub use tree::{process_leaves, with_changes, with_fleet, with_revisions};

/// One engine of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// The id under which the gateway stores the engine.
    pub id: u64,
    /// The address and port.
    pub address: String,
    /// The name of the zone.
    pub zone: Arc<str>,
    /// The name of the machine type.
    pub machine_type: Arc<str>,
    /// Engines with the same number share one store of idempotency keys.
    pub dedup_domain: u16,
    /// The names of the cells that contain the engine, separated by spaces; empty without cells.
    pub cells: Arc<str>,
    /// Unix time in ms of the engine's latest start; 0 if that was long ago.
    pub started_at: Millis,
    /// The attempts of this gateway that wait for the engine's reply.
    pub in_flight: u32,
    /// The open connections to the engine.
    pub connections: u32,
    /// What the policy knows about the engine.
    pub view: EngineView,
}

/// One request class, with the outcomes of its requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// The name.
    pub name: String,
    /// Whether the settings contain the class; requests of a removed class may still be open.
    pub in_service: bool,
    /// The requests since the start of the process, by outcome.
    pub counts: Counts,
    /// What the policy knows about the class.
    pub view: ClassView,
}

/// Counters of the requests of one class since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests accepted from clients.
    pub accepted: u64,
    /// Attempts sent to engines, retries included.
    pub released: u64,
    /// Requests answered with a result while the client waited.
    pub completed: u64,
    /// Requests rejected while the client waited.
    pub rejected: u64,
    /// Requests that failed while the client waited.
    pub failed: u64,
    /// Requests cancelled by their clients.
    pub cancelled: u64,
    /// Completed requests that took longer than the class's base objective.
    pub late: u64,
}

/// Engines by name. Clones share their common entries.
pub type EngineMap = imbl::OrdMap<Arc<str>, Engine>;

/// How far the gateway has recovered since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveryStage {
    /// The name of the stage.
    pub name: &'static str,
    /// What the transition to the next stage waits for; empty at the last stage.
    pub held_back_by: &'static str,
}

/// The state of a gateway at one point in time. Times are Unix times in ms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The time of the snapshot; 0 before the first one.
    pub at: Millis,
    /// The engines of the endpoint list.
    pub engines: EngineMap,
    /// The request classes, in the order of their indices.
    pub classes: Vec<Class>,
    /// The source of the endpoint list.
    pub discovery_source: String,
    /// The serial number of the endpoint list.
    pub endpoint_list_serial: u32,
    /// When the endpoint list was last confirmed by its source; 0 before that.
    pub last_heard_at: Millis,
    /// The open client connections.
    pub connections: u32,
    /// The limit of client connections.
    pub max_client_connections: u32,
    /// The requests that have no answer yet.
    pub open_requests: u32,
    /// The buffers of the pool that are in use.
    pub buffers_in_use: u32,
    /// The size of the buffer pool.
    pub max_buffers: u32,
    /// The start of the process.
    pub started_at: Millis,
    /// Whether the gateway is shutting down.
    pub shutting_down: bool,
    /// How far the gateway has recovered since its start.
    pub stage: RecoveryStage,
}

/// What a gateway knows about its fleet. Times are Unix times in ms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// The name of the fleet.
    pub name: String,
    /// The cluster generation, 0 before the bootstrap.
    pub generation: u64,
    /// The revision of the fleet policy that the gateway has applied.
    pub revision: u64,
    /// The end of the gateway's lease; infinite if the lease does not expire.
    pub lease_end: Millis,
    /// Whether the gateway continues to serve requests without a lease, in which case the fleet decides no change until
    /// the gateway has applied it; otherwise it rejects requests.
    pub steady: bool,
    /// Whether the gateway is a voter.
    pub is_voter: bool,
    /// The name of the leader, empty if none is known.
    pub leader: String,
    /// The gateway's share of fleet-wide limits, if the fleet counts its members.
    pub share: Option<Share>,
    /// The members; empty unless this gateway is the leader.
    pub members: Vec<Member>,
}

/// A member as the fleet's leader knows it. Times are Unix times in ms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    /// The name.
    pub name: String,
    /// Whether the member continues to serve requests without a lease; see [`Fleet::steady`].
    pub steady: bool,
    /// When the leader last received a message from the member.
    pub last_heard_at: Millis,
    /// The latest time at which the member's lease may end.
    pub lease_end: Millis,
    /// Whether the member has applied the current policy of the fleet.
    pub policy_applied: bool,
}
