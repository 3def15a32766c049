//! The phases of a shutdown, and how long each may take. In order: late clients are still accepted, the accept
//! backlog is served and the listener closes, connections drain, the snapshot is written, the gateway leaves the fleet.

use crate::connection_limiter::ConnectionLimiter;
use crate::snapshot_store::SnapshotStore;
use async_io::Timer;
use futures_lite::future::or;
use ironstair::Millis;
use ironstair_fleet_agent::handle::AgentHandle;
use ironstair_runtime::clock::duration;
use ironstair_runtime::Shared;
use slog::{info, Logger};

/// After the signal, clients go on opening connections and sending for up to 600 ms; 100 ms more are granted.
const LATE_CLIENTS_MS: Millis = 700.0;
/// The most of the longest hard limit that the drain waits for.
const MAX_REQUEST_TIME_MS: Millis = 3000.0;
/// The platform kills the process this long after the requests' time.
const KILLED_AFTER_MS: Millis = 700.0;
/// The part of that for writing the last answers.
const LAST_ANSWERS_MS: Millis = 200.0;
/// How long the fleet may take to acknowledge that this process leaves.
const LEAVE_FLEET_MS: Millis = 80.0;

/// How long after the signal, in ms, every request must have its answer.
pub(crate) fn answer_budget(shared: &Shared) -> Millis {
    shared.max_deadline.get().min(MAX_REQUEST_TIME_MS) + KILLED_AFTER_MS - LAST_ANSWERS_MS
}

/// Phase 1: waits for the signal, then for late clients. Returns by when connections must have drained.
pub(crate) async fn wait_for_late_clients(limiter: &ConnectionLimiter, shared: &Shared) -> Millis {
    limiter.until_shutting_down().await;
    let deadline = shared.clock.now() + answer_budget(shared) + LAST_ANSWERS_MS / 2.0;
    Timer::after(duration(LATE_CLIENTS_MS)).await;
    deadline
}

/// Phase 3 (phase 2, the accept backlog, is `Acceptor::finish`): waits until each connection has answered its calls and
/// closed, at the latest until the deadline. A client that reads nothing, or has sent
/// half a message, may hold its connection open until then.
pub(crate) async fn drain(limiter: &ConnectionLimiter, shared: &Shared, deadline: Millis) {
    limiter.close();
    let timeout = Timer::after(duration(deadline - shared.clock.now()));
    let timeout = async {
        timeout.await;
    };
    or(limiter.until_empty(), timeout).await;
    info!(shared.log, "shutdown complete, all requests answered");
}

/// Phase 4: writes the snapshot for the next process. A slow disk gets the time that remains, and 200 ms at least.
pub(crate) async fn write_snapshot(store: SnapshotStore, shared: &Shared, deadline: Millis) {
    let budget = (deadline - shared.clock.now()).max(LAST_ANSWERS_MS);
    store.finish(budget).await;
}

/// Phase 5: announces the end of this process to the fleet, which otherwise waits for the lease to expire.
pub(crate) async fn leave_fleet(agent: AgentHandle, log: &Logger) {
    let acknowledged = agent.announce_leave();
    let sent = acknowledged.is_some();
    let timeout = async {
        Timer::after(duration(LEAVE_FLEET_MS)).await;
    };
    let answer = async {
        if let Some(acknowledged) = acknowledged {
            drop(acknowledged.await);
        }
    };
    or(answer, timeout).await;
    info!(log, "left the fleet"; "sent" => sent);
}
