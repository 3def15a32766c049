//! A gateway that is down, cut off or paused during a change doesn't decide by the old policy afterwards (cases 1, 3
//! and 4 of the design).
//!
//! The fleet decides a change without such a gateway. The gateway still has the old policy when it starts, while it is
//! cut off and when it resumes, and would use it if it could decide without a valid lease.

use crate::support::{used_stale_policy, MAX_ATTEMPTS_PATH};
use ironstair_test_cluster::cluster::{wait_until, Cluster, Isolation, Plan};
use ironstair_test_cluster::invariants::AnswerKind;
use serde_json::json;

/// Kills gateways 3 and 4 and makes two changes. Gateway 3 starts during the first one. Gateway 4 starts after the
/// second one, and is isolated from the fleet until the links are healed.
fn change_policy_while_two_gateways_are_down(test: &str, plan: &Plan) -> Cluster {
    let mut cluster = Cluster::started_under_load(test, plan);
    cluster.kill(3);
    cluster.kill(4);
    let change = cluster.spawn_cli(0, &["set", MAX_ATTEMPTS_PATH, "5", "--fleet"]);
    cluster.start(3);
    change.join().unwrap().assert_success();
    cluster.forbid_zone_b(1, "lookup").assert_success();
    cluster.isolate(4, Isolation::Full);
    cluster.start(4);
    wait_until("gateway 4 serves", || {
        cluster.log(4).matches("serving").count() == 2
    });
    cluster
}

#[test]
fn gateways_down_at_a_change_come_back_with_the_new_policy() {
    let mut cluster = change_policy_while_two_gateways_are_down("case-1", &Plan::default());
    // Gateway 4 has no lease, and rejects its clients' calls instead of leaving them unanswered.
    cluster.wait_for_answers(AnswerKind::Rejected, 50);
    assert!(!cluster.is_fit(4));
    cluster.heal_links();
    cluster.wait_for_revision_everywhere(2);
    cluster.wait_for_answers(AnswerKind::Rows, 300);
    cluster.wait_for_setting_everywhere(MAX_ATTEMPTS_PATH, &json!(5));
    cluster.stop_load_and_check();
}

#[test]
fn control_start_without_lease_uses_the_old_policy() {
    let plan = Plan::default().disable_guard("no-lease-at-start");
    let mut cluster = change_policy_while_two_gateways_are_down("control-1", &plan);
    cluster.wait_for_answers(AnswerKind::Rows, 300);
    assert!(used_stale_policy(&cluster.stop_load(), 4));
}

#[test]
fn control_member_that_acknowledges_before_it_applies_uses_the_old_policy() {
    let plan = Plan::default().disable_guard_at(4, "policy-applied");
    let mut cluster = Cluster::started_under_load("control-1b", &plan);
    cluster.forbid_zone_b(1, "lookup").assert_success();
    cluster.wait_for_answers(AnswerKind::Rows, 200);
    assert!(used_stale_policy(&cluster.stop_load(), 4));
}

/// Makes a change while nothing from gateway 4 arrives, and a second one while gateway 4 receives nothing.
fn change_policy_while_gateway_is_cut_off_in_each_direction(test: &str, plan: &Plan) -> Cluster {
    let cluster = Cluster::started_under_load(test, plan);
    for (isolation, class) in [
        (Isolation::Outbound, "lookup"),
        (Isolation::Inbound, "post"),
    ] {
        cluster.isolate(4, isolation);
        cluster.forbid_zone_b(0, class).assert_success();
        cluster.wait_for_answers(AnswerKind::Rows, 100);
        cluster.heal_links();
        cluster.wait_until_fit(4);
    }
    cluster
}

#[test]
fn gateway_cut_off_in_one_direction_does_not_use_the_old_policy() {
    let mut cluster =
        change_policy_while_gateway_is_cut_off_in_each_direction("case-3", &Plan::default());
    cluster.wait_for_revision_everywhere(2);
    let answers = cluster.stop_load_and_check();
    assert!(
        answers[&AnswerKind::Rejected] > 0,
        "gateway 4 must have rejected calls while it had no lease: {answers:?}"
    );
}

#[test]
fn control_gateway_cut_off_without_lease_expiry_uses_the_old_policy() {
    let plan = Plan::default().disable_guard("lease-expiry");
    let mut cluster = change_policy_while_gateway_is_cut_off_in_each_direction("control-3", &plan);
    assert!(used_stale_policy(&cluster.stop_load(), 4));
}

/// Pauses gateway 3, fills its queue with calls, makes two changes and resumes the gateway.
fn change_policy_twice_while_gateway_is_paused(test: &str, plan: &Plan) -> Cluster {
    let mut cluster = Cluster::started_under_load(test, plan);
    // An attempt that the pause interrupts is sent after the pause, which no guarantee covers. So none may be in
    // progress when the pause begins.
    cluster.pause_load(3);
    cluster.pause(3);
    cluster.fill_queue(3);
    cluster.forbid_zone_b(0, "lookup").assert_success();
    cluster.forbid_zone_b(0, "post").assert_success();
    cluster.resume(3);
    cluster.wait_until_fit(3);
    cluster.wait_for_answers(AnswerKind::Rows, 200);
    cluster
}

#[test]
fn gateway_paused_over_changes_does_not_use_the_old_policy() {
    let mut cluster = change_policy_twice_while_gateway_is_paused("case-4", &Plan::default());
    cluster.wait_for_revision_everywhere(2);
    cluster.stop_load_and_check();
}

#[test]
fn control_paused_gateway_without_lease_expiry_uses_the_old_policy() {
    let plan = Plan::default().disable_guard("lease-expiry");
    let mut cluster = change_policy_twice_while_gateway_is_paused("control-4", &plan);
    assert!(used_stale_policy(&cluster.stop_load(), 3));
}
