//! Changes that operators make at the same time, cancel, confirm in time or confirm too late (case 6 of the design).
//!
//! The tests guard against two failures: a change that undoes another one because it was made from an outdated
//! revision, and a change that stays in force although it was cancelled or not confirmed in time.

use crate::support::{last_revision, MAX_ATTEMPTS_PATH};
use ironstair_test_cluster::cluster::{wait_until, Cluster, Isolation, Plan};
use serde_json::{json, Value};

const LOOKUP_OBJECTIVE_PATH: &str = "/settings/band[name=lookup]/expected";

/// The arguments of a change to [`MAX_ATTEMPTS_PATH`] that is rolled back unless it is confirmed in time.
fn tentative_change_args<'a>(value: &'a str, id: &'a str, confirm_within: &'a str) -> [&'a str; 6] {
    [
        MAX_ATTEMPTS_PATH,
        value,
        "--confirm-within",
        confirm_within,
        "--id",
        id,
    ]
}

#[test]
fn concurrent_cancelled_and_confirmed_changes_leave_one_policy() {
    let mut cluster = Cluster::started_under_load("case-6", &Plan::default());
    let first_value = make_two_changes_at_once(&cluster);
    cancel_change_that_waits_for_its_confirmation(&cluster, &first_value);
    cancel_change_that_waits_for_a_paused_gateway(&mut cluster);
    confirm_change_too_late(&cluster, &first_value);
    confirm_change_in_time(&cluster);
    cluster.stop_load_and_check();
}

/// Requests two changes at the same time and asserts that exactly one of them is made. Returns the value that it set.
fn make_two_changes_at_once(cluster: &Cluster) -> Value {
    let set = |gateway, value| cluster.cli(gateway, &["set", MAX_ATTEMPTS_PATH, value, "--fleet"]);
    let outputs = std::thread::scope(|scope| {
        let first = scope.spawn(|| set(0, "3"));
        [set(1, "4"), first.join().unwrap()]
    });
    let exit_codes = (outputs[0].exit_code, outputs[1].exit_code);
    assert!(
        exit_codes == (0, 3) || exit_codes == (3, 0),
        "exactly one of the two changes must be made: {outputs:?}"
    );
    let refused = outputs.iter().find(|output| output.exit_code == 3).unwrap();
    assert!(
        refused.stderr.contains("is in progress")
            || refused
                .stderr
                .contains("is not based on the running revision"),
        "{refused:?}"
    );
    let value = cluster.setting(0, MAX_ATTEMPTS_PATH);
    cluster.wait_for_setting_everywhere(MAX_ATTEMPTS_PATH, &value);
    value
}

fn cancel_change_that_waits_for_its_confirmation(cluster: &Cluster, value_before: &Value) {
    cluster
        .set(2, &tentative_change_args("2", "a", "1h"))
        .assert_success();
    cluster.wait_for_setting_everywhere(MAX_ATTEMPTS_PATH, &json!(2));
    cluster
        .set(1, &[MAX_ATTEMPTS_PATH, "6"])
        .assert_refused_with("pending confirmation");
    cluster.cli(3, &["cancel", "a", "--fleet"]).assert_success();
    cluster.wait_for_setting_everywhere(MAX_ATTEMPTS_PATH, value_before);
}

fn cancel_change_that_waits_for_a_paused_gateway(cluster: &mut Cluster) {
    cluster.pause_load(4);
    cluster.pause(4);
    let args = [
        &["set", "--fleet"][..],
        &tentative_change_args("2", "b", "1h"),
    ]
    .concat();
    let change = cluster.spawn_cli(0, &args);
    wait_until("the change is staged", || {
        cluster.fleet_status(1)["change"]["step"] == json!("staged")
    });
    cluster.cli(1, &["cancel", "b", "--fleet"]).assert_success();
    change.join().unwrap().assert_refused_with("taken back");
    cluster.resume(4);
    cluster.resume_load(4);
}

fn confirm_change_too_late(cluster: &Cluster, value_before: &Value) {
    cluster
        .set(0, &tentative_change_args("2", "c", "1s"))
        .assert_success();
    wait_until("the change is rolled back", || {
        last_revision(cluster, 0)["outcome"] == json!("taken-back")
    });
    cluster
        .cli(0, &["confirm", "c", "--fleet"])
        .assert_refused_with("rolled back");
    cluster.wait_for_setting_everywhere(MAX_ATTEMPTS_PATH, value_before);
}

fn confirm_change_in_time(cluster: &Cluster) {
    cluster
        .set(0, &tentative_change_args("5", "d", "1h"))
        .assert_success();
    cluster.cli(4, &["confirm", "--fleet"]).assert_success();
    cluster.wait_for_setting_everywhere(MAX_ATTEMPTS_PATH, &json!(5));
}

#[test]
fn control_change_without_check_of_its_base_undoes_an_earlier_one() {
    let plan = Plan::default().disable_guard("base-revision");
    let cluster = Cluster::started("control-6", &plan);
    // While the first change is made, gateway 4 receives nothing. The second change is requested at gateway 4, so it is
    // based on the policy before the first change.
    cluster.isolate(4, Isolation::Inbound);
    cluster.set(0, &[MAX_ATTEMPTS_PATH, "3"]).assert_success();
    let second = std::thread::scope(|scope| {
        let change =
            scope.spawn(|| cluster.cli(4, &["set", LOOKUP_OBJECTIVE_PATH, "700", "--fleet"]));
        wait_until("the second change is requested", || {
            change.is_finished() || last_revision(&cluster, 0)["number"] == json!(2)
        });
        cluster.heal_links();
        change.join().unwrap()
    });
    second.assert_success();
    cluster.wait_for_setting_everywhere(MAX_ATTEMPTS_PATH, &json!(6));
}

#[test]
fn control_tentative_change_without_confirm_timeout_stays_unconfirmed() {
    let plan = Plan::default().disable_guard("confirm-timeout");
    let cluster = Cluster::started("control-trial", &plan);
    cluster
        .set(0, &[MAX_ATTEMPTS_PATH, "2", "--confirm-within", "1s"])
        .assert_success();
    assert_eq!(
        last_revision(&cluster, 0)["outcome"],
        json!("running"),
        "without the timeout, an unconfirmed change is not rolled back"
    );
}
