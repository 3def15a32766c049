//! The phases of a shutdown and their time limits. In order: late clients are still accepted, the accept backlog is
//! served and the listener closes, connections drain, the snapshot is written, and the gateway leaves the fleet.

use crate::connection_limiter::ConnectionLimiter;
use crate::snapshot_store::SnapshotStore;
use async_io::Timer;
use futures_lite::future::or;
use ironstair::Millis;
use ironstair_fleet_agent::handle::AgentHandle;
use ironstair_runtime::clock::duration;
use ironstair_runtime::Shared;
use slog::{info, Logger};

/// Clients open connections and send requests for up to 600 ms after the signal; 100 ms are added as a margin.
const LATE_CLIENTS_MS: Millis = 700.0;
/// The longest time to wait for open requests, even if a hard limit is longer.
const MAX_REQUEST_TIME_MS: Millis = 3000.0;
/// The platform kills the process this long after the time for open requests has passed.
const KILLED_AFTER_MS: Millis = 700.0;
/// The part of `KILLED_AFTER_MS` that is reserved for writing the last responses.
const LAST_RESPONSES_MS: Millis = 200.0;
/// The timeout for the fleet to acknowledge that this process leaves.
const LEAVE_FLEET_MS: Millis = 80.0;

/// The time after the signal, in ms, within which every request must have its response.
pub(crate) fn response_budget(shared: &Shared) -> Millis {
    shared.max_deadline.get().min(MAX_REQUEST_TIME_MS) + KILLED_AFTER_MS - LAST_RESPONSES_MS
}

/// Phase 1: waits for the signal, then for late clients. Returns the deadline for draining connections.
pub(crate) async fn wait_for_late_clients(limiter: &ConnectionLimiter, shared: &Shared) -> Millis {
    limiter.until_shutting_down().await;
    let deadline = shared.clock.now() + response_budget(shared) + LAST_RESPONSES_MS / 2.0;
    Timer::after(duration(LATE_CLIENTS_MS)).await;
    deadline
}

/// Phase 3: waits until every connection has responded to its calls and closed, or until the deadline. A client that
/// does not read, or has sent an incomplete message, can keep its connection open until then. Phase 2, which serves the
/// accept backlog, is `Acceptor::finish`.
pub(crate) async fn drain(limiter: &ConnectionLimiter, shared: &Shared, deadline: Millis) {
    limiter.close();
    let timeout = Timer::after(duration(deadline - shared.clock.now()));
    let timeout = async {
        timeout.await;
    };
    or(limiter.until_empty(), timeout).await;
    info!(shared.log, "connections drained, or drain deadline reached");
}

/// Phase 4: writes the snapshot for the next process, within the time that remains but at least 200 ms, for slow disks.
pub(crate) async fn write_snapshot(store: SnapshotStore, shared: &Shared, deadline: Millis) {
    let budget = (deadline - shared.clock.now()).max(LAST_RESPONSES_MS);
    store.finish(budget).await;
}

/// Phase 5: announces to the fleet that this process ends. Otherwise the fleet would wait for the lease to expire.
pub(crate) async fn leave_fleet(agent: AgentHandle, log: &Logger) {
    let acknowledged = agent.announce_leave();
    let sent = acknowledged.is_some();
    let timeout = async {
        Timer::after(duration(LEAVE_FLEET_MS)).await;
    };
    let acknowledgement = async {
        if let Some(acknowledged) = acknowledged {
            drop(acknowledged.await);
        }
    };
    or(acknowledgement, timeout).await;
    info!(log, "left the fleet"; "sent" => sent);
}
