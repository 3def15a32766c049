//! A change that a live member refuses is applied nowhere (cases 5 and 8 of the design).
//!
//! A member refuses a policy that names something it isn't configured with, or that has a field its version doesn't
//! know. Without the refusal, the other members would apply the policy and this one would keep the old one.

use crate::support::last_revision;
use ironstair_test_cluster::cluster::{wait_until, Cluster, Plan, StartupFiles};
use ironstair_test_cluster::invariants::AnswerKind;
use serde_json::{json, Value};

const ADVICE_PATH: &str = "/settings/advice";
const LOOKUP_ZONES_PATH: &str = "/settings/band[name=lookup]/zone";

/// Configures gateway 4 with zone `a` only, so that it refuses a policy that names zone `b`.
fn configure_only_zone_a_at_gateway_4(gateway: usize, files: &mut StartupFiles) {
    if gateway == 4 {
        files.config["settings"]["dcs"] = json!(["a"]);
    }
}

#[test]
fn change_refused_by_one_member_is_applied_nowhere_and_the_operator_sees_the_reason() {
    let plan = Plan::default().edit_config(configure_only_zone_a_at_gateway_4);
    let mut cluster = Cluster::started_under_load("case-5", &plan);
    let output = cluster.set(0, &[LOOKUP_ZONES_PATH, r#"["b"]"#]);
    output.assert_refused_with("g5");
    output.assert_refused_with("b is not among those configured");
    let revision = last_revision(&cluster, 1);
    assert_eq!(
        (&revision["outcome"], &revision["refused-by"]),
        (&json!("refused"), &json!("g5")),
        "{revision}"
    );
    let table = cluster.cli(2, &["revisions", "--fleet"]);
    assert!(
        table.stdout.contains("refused") && table.stdout.contains("g5"),
        "{table:?}"
    );
    cluster.wait_for_revision_everywhere(0);
    cluster.wait_for_setting_everywhere(LOOKUP_ZONES_PATH, &Value::Null);
    cluster.wait_for_answers(AnswerKind::Rows, 100);
    cluster.stop_load_and_check();
}

#[test]
fn control_change_without_validation_is_applied_by_some_members_alone() {
    let plan = Plan::default()
        .edit_config(configure_only_zone_a_at_gateway_4)
        .disable_guard_at(4, "policy-validated");
    let cluster = Cluster::started_under_load("control-5", &plan);
    cluster
        .set(0, &[LOOKUP_ZONES_PATH, r#"["b"]"#])
        .assert_success();
    assert_eq!(
        (
            cluster.setting(0, LOOKUP_ZONES_PATH),
            cluster.setting(4, LOOKUP_ZONES_PATH)
        ),
        (json!(["b"]), Value::Null)
    );
}

#[test]
fn change_that_an_older_member_cannot_read_is_refused_while_it_lives_and_excludes_it_afterwards() {
    let plan = Plan::default().disable_guard_at(4, "known-fields");
    let mut cluster = Cluster::started_under_load("case-8", &plan);
    let output = cluster.set(0, &[ADVICE_PATH, "500"]);
    output.assert_refused_with("g5");
    output.assert_refused_with("can't read the policy");
    cluster.wait_for_setting_everywhere(ADVICE_PATH, &json!(0));
    cluster.kill(4);
    cluster.set(0, &[ADVICE_PATH, "500"]).assert_success();
    cluster.start(4);
    wait_until(
        "the older gateway logs why it can't apply the policy",
        || {
            cluster
                .log(4)
                .contains("the fleet's policy can't be applied here")
        },
    );
    assert!(!cluster.is_fit(4));
    for gateway in 0..4 {
        assert_eq!(cluster.setting(gateway, ADVICE_PATH), json!(500));
    }
    // Once the policy has no field that it doesn't know, the older gateway is a member again.
    cluster.set(1, &[ADVICE_PATH, "0"]).assert_success();
    cluster.wait_until_fit(4);
    cluster.stop_load_and_check();
}

#[test]
fn control_unreadable_change_without_validation_is_decided_and_excludes_a_live_member() {
    let plan = Plan::default()
        .disable_guard_at(4, "known-fields")
        .disable_guard_at(4, "policy-validated");
    let cluster = Cluster::started("control-8", &plan);
    cluster.set(0, &[ADVICE_PATH, "500"]).assert_success();
    wait_until(
        "the live member can't apply the policy and is not fit",
        || {
            cluster
                .log(4)
                .contains("the fleet's policy can't be applied here")
                && !cluster.is_fit(4)
        },
    );
}
