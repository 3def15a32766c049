//! The settings of a fleet's members come only from the fleet, neither from the configuration file nor from a `set` at
//! one gateway.
//!
//! The test guards against a member with settings of its own, which a reload of its configuration file or a command
//! without `--fleet` would give it.

use crate::support::MAX_ATTEMPTS_PATH;
use ironstair_test_cluster::cluster::{gateway_name, wait_until, Cluster, Plan};
use serde_json::{json, Value};

/// Reads a leaf of the member's entry in the leader's data tree.
fn read_member_leaf(cluster: &Cluster, leader: usize, member: usize, leaf: &str) -> Value {
    let name = gateway_name(member);
    cluster.setting(leader, &format!("/state/fleet/member[name={name}]/{leaf}"))
}

#[test]
fn settings_by_sighup_and_by_plain_commands_are_refused_in_a_fleet() {
    let mut cluster = Cluster::started("sighup", &Plan::default());
    let ignored_message = "settings of the configuration file ignored: they come from the fleet";
    cluster.edit_config_and_reload(4, |config| config["names"] = json!("127.0.0.1:9"));
    cluster.edit_config_and_reload(3, |config| {
        config["settings"]["policy_limits"]["max_attempts"] = json!(2);
    });
    wait_until("gateway 3 logs that it ignores the settings", || {
        cluster.log(3).contains(ignored_message)
    });
    wait_until(
        "gateway 4 logs that it has a new name service address",
        || cluster.log(4).contains("name service settings updated"),
    );
    assert!(
        !cluster.log(4).contains(ignored_message),
        "the name service's address is not one of the fleet's settings"
    );
    assert_eq!(cluster.setting(3, MAX_ATTEMPTS_PATH), json!(6));
    cluster
        .cli(3, &["set", MAX_ATTEMPTS_PATH, "2"])
        .assert_refused_with("ironstair set --fleet");
    let leader = cluster.leader();
    for member in 0..cluster.size() {
        wait_until(
            "the leader's tree shows that the member has applied the policy",
            || read_member_leaf(&cluster, leader, member, "holds") == json!(true),
        );
    }
    assert_eq!(
        read_member_leaf(&cluster, leader, 4, "cut-off"),
        json!("strict")
    );
    let status = cluster.cli(1, &["fleet"]);
    assert!(
        status.stdout.contains("leader g") && status.stdout.contains("lease-left-ms"),
        "{status:?}"
    );
}
