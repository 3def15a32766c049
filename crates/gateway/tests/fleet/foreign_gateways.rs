//! Gateways that don't belong to the fleet, and a member that leaves it.
//!
//! The tests guard against a misconfigured gateway, of another fleet or with another member's name, that joins the
//! fleet. They also guard against a terminated member whose lease has to expire before it is removed.

use ironstair_test_cluster::cluster::{wait_until, Cluster, Plan, StartupFiles};
use serde_json::json;
use std::fs;
use std::path::PathBuf;

/// The replica directory of the gateway that has the same name as voter 2.
fn state_dir_of_duplicate_gateway() -> PathBuf {
    std::env::temp_dir().join(format!("strange-{}", std::process::id()))
}

/// Configures gateway 3 for another fleet, and gives gateway 4 the name of voter 2.
fn configure_foreign_fleet_and_duplicate_name(gateway: usize, files: &mut StartupFiles) {
    match gateway {
        3 => files.operator["fleet"]["name"] = json!("other"),
        4 => {
            files.config["name"] = json!("g3");
            files.operator["fleet"]["state"] = json!(state_dir_of_duplicate_gateway());
        }
        _ => {}
    }
}

fn read_member_names(cluster: &Cluster) -> Vec<String> {
    let members = cluster.fleet_status(0)["members"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    members
        .iter()
        .filter_map(|member| member["name"].as_str().map(String::from))
        .collect()
}

#[test]
fn foreign_gateways_are_refused_with_a_reason_and_a_terminated_one_leaves_at_once() {
    // With leases this long, the terminated member can't be removed because its lease expired.
    let plan = Plan::default()
        .lease_ms(10_000)
        .edit_config(configure_foreign_fleet_and_duplicate_name);
    let mut cluster = Cluster::prepare("strangers", &plan);
    (0..4).for_each(|gateway| cluster.start(gateway));
    cluster.bootstrap_voters();
    wait_until(
        "the gateway of the other fleet logs why it is refused",
        || cluster.log(3).contains(r#"g4 belongs to fleet "other""#),
    );
    assert!((0..3).any(|voter| cluster
        .log(voter)
        .contains("message of another gateway rejected")));
    wait_until("the voters are members", || {
        read_member_names(&cluster) == ["g1", "g2", "g3"]
    });
    cluster.start(4);
    wait_until(
        "the gateway with a duplicate name logs why it is refused",
        || cluster.log(4).contains("another process is"),
    );
    assert!(!cluster.is_fit(3) && !cluster.is_fit(4));
    cluster.kill(4);
    let _ = fs::remove_dir_all(state_dir_of_duplicate_gateway());
    assert_terminated_voter_leaves_at_once(&mut cluster);
}

fn assert_terminated_voter_leaves_at_once(cluster: &mut Cluster) {
    let follower = if cluster.leader() == 1 { 0 } else { 1 };
    cluster.terminate(follower);
    assert!(
        cluster.log(follower).contains("left the fleet"),
        "{}",
        cluster.log(follower)
    );
    wait_until("the terminated voter is removed from the members", || {
        cluster.fleet_status(1 - follower)["members"]
            .as_array()
            .is_some_and(|members| members.len() == 2)
    });
}
