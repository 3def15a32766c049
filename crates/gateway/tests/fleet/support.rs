//! Setting paths, checks and queries that several modules of the fleet tests share.

use ironstair_test_cluster::cluster::Cluster;
use ironstair_test_cluster::invariants::Violation;
use serde_json::Value;

/// The setting that limits how often a request is attempted.
pub(crate) const MAX_ATTEMPTS_PATH: &str = "/settings/forwards-most";

/// Whether the gateway decided by a policy that the fleet had already replaced.
pub(crate) fn used_stale_policy(violations: &[Violation], gateway: usize) -> bool {
    violations.iter().any(|violation| {
        matches!(
            violation,
            Violation::StalePolicy { gateway: deciding_gateway, .. } if *deciding_gateway == gateway
        )
    })
}

/// The last revision of the fleet, as the gateway reports it; null if there is none.
pub(crate) fn last_revision(cluster: &Cluster, gateway: usize) -> Value {
    cluster.fleet_status(gateway)["revisions"]
        .as_array()
        .and_then(|revisions| revisions.last().cloned())
        .unwrap_or_default()
}
