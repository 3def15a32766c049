//! The initial state of a gateway, from the configuration file, the operator file, the last revision and the last
//! snapshot.

use crate::config::GatewayConfig;
use crate::descriptors::DescriptorShortage;
use crate::error::StartError;
use crate::management;
use crate::operator_config::{self, OperatorConfig};
use crate::snapshot_store::{self, SnapshotStore};
use async_channel::Sender;
use async_executor::LocalExecutor;
use ironstair::{Millis, PolicyConfig};
use ironstair_cells::CellDirectory;
use ironstair_fleet_agent::fault_injection::{is_disabled, Guard};
use ironstair_runtime::clock::Clock;
use ironstair_runtime::pool::BufferPool;
use ironstair_runtime::receive_memory::ReceiveMemory;
use ironstair_runtime::state_watch::ClassSummary;
use ironstair_runtime::{ConnectionNumbers, DispatcherMessage, Metrics, Shared, StatementMemory};
use slog::{warn, Logger};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The shares of the memory limit for replies of engines, statements of open requests, and incomplete messages of
/// clients. The rest is for memory that grows with them: statements and responses that are being written.
const REPLY_MEMORY_SHARE: f64 = 1.0 / 6.0;
const STATEMENT_MEMORY_SHARE: f64 = 1.0 / 12.0;
const RECEIVE_MEMORY_SHARE: f64 = 1.0 / 12.0;
/// A quarter of the file descriptors are for connections to engines.
const DESCRIPTORS_PER_ENGINE_CONNECTION: usize = 4;
const BYTES_PER_MB: f64 = 1e6;

/// The initial policy: that of the last revision, or of the configuration file.
pub(super) struct InitialPolicy {
    pub(super) config: PolicyConfig,
    pub(super) classes: Vec<ClassSummary>,
    /// The longest hard limit of all classes, in ms.
    pub(super) max_deadline: Millis,
}

/// The state that all actors share, for a gateway outside a fleet and without its classes, which the caller sets.
pub(super) fn new_shared(
    config: &GatewayConfig,
    dispatcher: Sender<DispatcherMessage>,
    log: Logger,
) -> Shared {
    let share_bytes = |share| (config.memory_mb * BYTES_PER_MB * share) as usize;
    Shared {
        clock: Clock::start(),
        pool: BufferPool::with_capacity(share_bytes(REPLY_MEMORY_SHARE)),
        receive_memory: ReceiveMemory::with_capacity(share_bytes(RECEIVE_MEMORY_SHARE)),
        statement_memory: StatementMemory::with_capacity(share_bytes(STATEMENT_MEMORY_SHARE)),
        max_engine_connections: config.descriptors / DESCRIPTORS_PER_ENGINE_CONNECTION,
        connection_numbers: ConnectionNumbers::default(),
        endpoint_count: Cell::new(0),
        lease_until: Cell::new(Millis::INFINITY),
        classes: RefCell::default(),
        max_deadline: Cell::new(0.0),
        longest_deadline: Cell::new(0.0),
        metrics: Metrics::default(),
        accepts_tenant_names: false,
        transport_config: RefCell::new(Rc::new(config.transport_config.clone())),
        log,
        dispatcher,
        executor: Rc::new(LocalExecutor::new()),
    }
}

/// Reads the snapshot of the previous process, if the operator file names a folder for it. The endpoint list of the
/// snapshot may replace that of the configuration.
pub(super) fn read_snapshot(
    operator: Option<&OperatorConfig>,
    config: &mut GatewayConfig,
) -> Option<snapshot_store::OpenedFolder> {
    let recovery = operator?.recovery.as_ref()?;
    Some(snapshot_store::open(&recovery.state, config))
}

pub(super) fn open_management(
    operator: Option<&OperatorConfig>,
    config: &GatewayConfig,
) -> Result<Option<management::PreparedManagement>, StartError> {
    let Some(operator) = operator else {
        return Ok(None);
    };
    let Some(section) = &operator.management else {
        return Ok(None);
    };
    Ok(Some(management::open(section, config, operator)?))
}

/// The initial cells: those of the last revision, which may have changed those of the operator file, or those of the
/// operator file if there is no management.
pub(super) fn initial_cells(
    operator: Option<&OperatorConfig>,
    management: Option<&management::PreparedManagement>,
) -> Result<Option<CellDirectory>, StartError> {
    if let Some(management) = management {
        return Ok(management.cells());
    }
    let section = operator.and_then(|operator| operator.cells.as_ref());
    let directory = section.map(operator_config::cell_directory);
    Ok(directory.transpose()?)
}

pub(super) fn warn_of_descriptor_shortage(shortage: Option<DescriptorShortage>, log: &Logger) {
    if let Some(shortage) = shortage {
        warn!(
            log, "fewer file descriptors available than configured";
            "configured" => shortage.requested, "available" => shortage.available
        );
    }
}

/// The policy of the last revision, which management has read, or that of the configuration file without management.
pub(super) fn initial_policy(
    management: Option<&management::PreparedManagement>,
    config: &GatewayConfig,
) -> InitialPolicy {
    if let Some(management) = management {
        let (classes, max_deadline) = management.classes();
        return InitialPolicy {
            config: management.policy_config(),
            classes,
            max_deadline,
        };
    }
    let named = config.class_names.iter().zip(&config.policy_config.classes);
    let classes = named.map(|(name, class)| ClassSummary {
        name: name.clone(),
        base_objective: class.base_objective,
        in_service: true,
    });
    InitialPolicy {
        classes: classes.collect(),
        config: config.policy_config.clone(),
        max_deadline: config.transport_config.max_deadline,
    }
}

/// The time until which the policy may make decisions, in ms. In a fleet it makes none before the first lease.
pub(super) fn initial_lease(management: Option<&management::PreparedManagement>) -> Millis {
    let in_fleet = management.is_some_and(|management| management.in_fleet());
    if in_fleet && !is_disabled(Guard::NoLeaseAtStart) {
        0.0
    } else {
        Millis::INFINITY
    }
}

/// Whether clients name the tenant in their calls.
pub(super) fn names_tenants(operator: Option<&OperatorConfig>) -> bool {
    let cells = operator.and_then(|operator| operator.cells.as_ref());
    cells.is_some_and(|cells| cells.named_by_clients)
}

pub(super) fn start_snapshot_store(
    opened: snapshot_store::OpenedFolder,
    key_quarantine: Millis,
    shared: &Rc<Shared>,
) -> SnapshotStore {
    for note in &opened.notes {
        warn!(shared.log, "snapshot of the previous process"; "note" => note);
    }
    if opened.quarantines_keys {
        let until = shared.clock.now() + key_quarantine;
        shared.metrics.key_quarantine.set(until);
    }
    SnapshotStore::start(opened, shared.clone())
}
