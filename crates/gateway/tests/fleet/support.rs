//! Paths and checks that several groups of tests use.

use ironstair_test_cluster::cluster::Cluster;
use ironstair_test_cluster::invariants::Violation;
use serde_json::Value;

pub(crate) const MAX_ATTEMPTS_PATH: &str = "/settings/forwards-most";

/// Whether a gateway decided by a policy that the fleet had replaced.
pub(crate) fn used_stale_policy(violations: &[Violation], gateway: usize) -> bool {
    violations.iter().any(|violation| {
        matches!(
            violation,
            Violation::StalePolicy { gateway: deciding_gateway, .. } if *deciding_gateway == gateway
        )
    })
}

/// The last revision in the fleet's log, asked at a gateway; null where there is none.
pub(crate) fn last_revision(cluster: &Cluster, gateway: usize) -> Value {
    cluster.fleet_status(gateway)["revisions"]
        .as_array()
        .and_then(|revisions| revisions.last().cloned())
        .unwrap_or_default()
}
