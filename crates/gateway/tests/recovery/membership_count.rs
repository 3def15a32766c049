//! Gateways that share limits by the number of members of their fleet.
//!
//! The test guards against gateways that are cut off from a majority and then count fewer members: each would take a
//! larger share, and together they would exceed the limit.

use ironstair_test_cluster::cluster::{wait_until, Cluster, Plan, StartupFiles};
use serde_json::json;

/// Configures each gateway with a fleet size of two, and with the number of members as the count that is used instead.
fn configure_sharing_by_member_count(_: usize, files: &mut StartupFiles) {
    files.config["settings"]["fleet_size"] = json!(2);
    files.operator["fleet"]["count"] = json!("members");
}

/// The number of members among which the gateway shares limits; 0 if it reports none.
fn member_count_for_shares(cluster: &Cluster, gateway: usize) -> u64 {
    cluster
        .setting(gateway, "/state/fleet/shares-among")
        .as_u64()
        .unwrap_or(0)
}

fn has_share(cluster: &Cluster, gateway: usize) -> bool {
    cluster.setting(gateway, "/state/fleet/takes-share") == json!(true)
}

fn all_have_shares_among_five(cluster: &Cluster) -> bool {
    (0..cluster.size()).all(|gateway| {
        member_count_for_shares(cluster, gateway) == 5 && has_share(cluster, gateway)
    })
}

#[test]
fn membership_count_grows_at_once_and_stays_when_voters_are_lost() {
    let plan = Plan::default().edit_config(configure_sharing_by_member_count);
    let mut cluster = Cluster::started("count", &plan);
    wait_until("all gateways count five members and have shares", || {
        all_have_shares_among_five(&cluster)
    });
    // Without a majority of the voters no member can be removed, so the remaining gateways must not count fewer
    // members.
    cluster.kill(0);
    cluster.kill(1);
    wait_until("the remaining gateways have no lease", || {
        (2..5).all(|gateway| !cluster.is_fit(gateway))
    });
    assert!((2..5).all(|gateway| member_count_for_shares(&cluster, gateway) == 5));
    cluster.start(0);
    cluster.start(1);
    wait_until(
        "all gateways count five members and have shares again",
        || all_have_shares_among_five(&cluster),
    );
}
