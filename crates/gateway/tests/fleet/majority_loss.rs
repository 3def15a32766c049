//! A majority of the voters is lost, or a member is cut off: a gateway with `cut_off: strict` stops, one with
//! `cut_off: steady` continues.
//!
//! The tests guard against a strict gateway that decides without a lease, and against a change that is decided while a
//! steady gateway, which continues without a lease, still applies the old policy.

use crate::support::{used_stale_policy, MAX_ATTEMPTS_PATH};
use ironstair_test_cluster::cluster::{wait_until, Cluster, Isolation, Plan};
use ironstair_test_cluster::invariants::AnswerKind;
use serde_json::json;

#[test]
fn loss_of_a_majority_stops_strict_gateways_at_once_and_steady_ones_continue() {
    let plan = Plan::default().steady_gateway(4);
    let mut cluster = Cluster::started_under_load("majority", &plan);
    cluster.kill(0);
    cluster.kill(1);
    (2..4).for_each(|gateway| cluster.wait_for_answers_at(gateway, AnswerKind::Rejected, 20));
    cluster.wait_for_answers_at(4, AnswerKind::Rows, 100);
    assert!(cluster.is_fit(4) && !cluster.is_fit(3));
    cluster
        .set(3, &[MAX_ATTEMPTS_PATH, "5"])
        .assert_refused_with("no leader");
    cluster.start(0);
    cluster.start(1);
    cluster.wait_for_revision_everywhere(0);
    assert_eq!(cluster.setting(4, "/state/fleet/cut-off"), json!("steady"));
    cluster.stop_load_and_check();
}

#[test]
fn control_strict_gateway_without_lease_expiry_continues_without_a_majority() {
    let plan = Plan::default().disable_guard("lease-expiry");
    let mut cluster = Cluster::started_under_load("control-majority", &plan);
    cluster.kill(0);
    cluster.kill(1);
    wait_until("the gateway's lease expires", || {
        cluster
            .log(3)
            .contains("lease expired, rejecting new requests")
    });
    cluster.wait_for_answers_at(3, AnswerKind::Rows, 100);
}

#[test]
fn steady_gateway_that_is_cut_off_continues_and_no_change_is_decided_without_it() {
    let plan = Plan::default().steady_gateway(4);
    let mut cluster = Cluster::started_under_load("steady", &plan);
    cluster.isolate(4, Isolation::Full);
    let change = cluster.spawn_forbid_zone_b(0, "lookup");
    wait_until("the change waits for the steady gateway", || {
        cluster.fleet_status(1)["change"]["waits-for"] == json!(["g5"])
    });
    cluster.wait_for_answers_at(4, AnswerKind::Rows, 300);
    let revision = cluster.fleet_status(1)["revision"].clone();
    assert_eq!((revision, change.is_finished()), (json!(0), false));
    cluster.heal_links();
    change.join().unwrap().assert_success();
    cluster.wait_for_revision_everywhere(1);
    cluster.stop_load_and_check();
}

#[test]
fn control_steady_gateway_that_does_not_report_itself_uses_the_old_policy() {
    let plan = Plan::default()
        .steady_gateway(4)
        .disable_guard("steady-reported");
    let mut cluster = Cluster::started_under_load("control-steady", &plan);
    cluster.isolate(4, Isolation::Full);
    cluster.forbid_zone_b(0, "lookup").assert_success();
    cluster.wait_for_answers_at(4, AnswerKind::Rows, 200);
    assert!(used_stale_policy(&cluster.stop_load(), 4));
}
