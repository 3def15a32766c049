//! The leader is killed during a change (case 2 of the design) or under load.
//!
//! The tests guard against a change that only some members apply because its leader is lost between two steps, and
//! against requests that fail because the fleet has no leader until the next election.

use crate::support::{last_revision, MAX_ATTEMPTS_PATH};
use ironstair_test_cluster::cluster::{wait_until, Cluster, Plan};
use ironstair_test_cluster::invariants::AnswerKind;
use ironstair_test_cluster::link::Direction;
use serde_json::{json, Value};

/// The step of a change during which the leader is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum KilledDuring {
    Staged,
    Binding,
    /// The change is decided, and at least one member hasn't applied it yet.
    HalfApplied,
}

impl KilledDuring {
    /// Whether the fleet's status shows this step of the change that creates the revision with that number.
    fn is_shown_by(self, status: &Value, revision_number: usize) -> bool {
        match self {
            KilledDuring::Staged => status["change"]["step"] == json!("staged"),
            KilledDuring::Binding => status["change"]["step"] == json!("binding"),
            KilledDuring::HalfApplied => {
                status["change"]["step"] == json!("half told")
                    || is_revision_running(status, revision_number) && has_lagging_member(status)
            }
        }
    }
}

fn is_revision_running(status: &Value, revision_number: usize) -> bool {
    let revisions = status["revisions"].as_array();
    revisions
        .and_then(|revisions| revisions.last())
        .is_some_and(|last_revision_status| {
            last_revision_status["number"] == json!(revision_number)
                && last_revision_status["outcome"] == json!("running")
        })
}

fn has_lagging_member(status: &Value) -> bool {
    let members = status["members"].as_array();
    members.is_some_and(|members| {
        members
            .iter()
            .any(|member| member["holds-what-is-held"] == json!(false))
    })
}

/// Starts a change, kills the leader during the given step, and starts the leader again. Returns the leader's index.
fn kill_leader_during_change(
    cluster: &mut Cluster,
    step: KilledDuring,
    revision_number: usize,
    new_value: &Value,
) -> usize {
    // The links to member 4 are slow, so that each step of the change lasts long enough to be observed.
    for voter in 0..3 {
        cluster
            .links_between(4, voter)
            .for_each(|link_between| link_between.link.delay(Direction::Both, 250));
    }
    let leader = cluster.leader();
    let args = ["set", MAX_ATTEMPTS_PATH, &new_value.to_string(), "--fleet"];
    let change = cluster.spawn_cli(leader, &args);
    wait_until(&format!("the change is at step {step:?}"), || {
        assert!(
            !change.is_finished(),
            "the change ended before step {step:?} was observed: {} {}",
            cluster.fleet_status(leader),
            cluster.log(leader)
        );
        step.is_shown_by(&cluster.fleet_status(leader), revision_number)
    });
    cluster.kill(leader);
    cluster.heal_links();
    change.join().unwrap();
    cluster.start(leader);
    leader
}

#[test]
fn leader_killed_during_a_change_leaves_it_applied_everywhere_or_nowhere() {
    let plan = Plan::default().lease_ms(2000);
    let mut cluster = Cluster::started_under_load("case-2", &plan);
    let steps = [
        KilledDuring::Staged,
        KilledDuring::Binding,
        KilledDuring::HalfApplied,
    ];
    for (index, step) in steps.into_iter().enumerate() {
        let new_value = json!(3 + index as u64);
        let leader = kill_leader_during_change(&mut cluster, step, index + 1, &new_value);
        wait_until("the change ends", || {
            let status = cluster.fleet_status(leader);
            status["revisions"].is_array() && status["change"].is_null()
        });
        let outcome = last_revision(&cluster, leader)["outcome"].clone();
        assert!(
            ["running", "refused"]
                .iter()
                .any(|expected| outcome == json!(expected)),
            "leader killed at step {step:?}, outcome {outcome}"
        );
        let revision = cluster.fleet_status(leader)["revision"].as_u64().unwrap();
        cluster.wait_for_revision_everywhere(revision);
        let applied = cluster.setting(0, MAX_ATTEMPTS_PATH);
        cluster.wait_for_setting_everywhere(MAX_ATTEMPTS_PATH, &applied);
        assert_eq!(
            applied == new_value,
            outcome == json!("running"),
            "leader killed at step {step:?}, applied value {applied}"
        );
    }
    cluster.wait_for_answers(AnswerKind::Rows, 100);
    cluster.stop_load_and_check();
}

#[test]
fn requests_of_other_gateways_all_succeed_when_the_leader_is_killed() {
    let plan = Plan::default().lease_ms(5000);
    let mut cluster = Cluster::started_under_load("minority", &plan);
    let leader = cluster.leader();
    // Calls that the leader's own client has open would be lost with the leader.
    cluster.pause_load(leader);
    cluster.kill(leader);
    cluster.wait_for_answers(AnswerKind::Rows, 500);
    assert_ne!(cluster.leader(), leader);
    cluster.set(3, &[MAX_ATTEMPTS_PATH, "5"]).assert_success();
    let answers = cluster.stop_load_and_check();
    assert_eq!(
        answers.keys().collect::<Vec<_>>(),
        [&AnswerKind::Rows],
        "{answers:?}"
    );
}
