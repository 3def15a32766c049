//! The disks of a majority of the voters are lost, and an operator begins a new cluster generation (case 2 of the
//! design).
//!
//! The tests guard against a fleet that continues with an older policy than the one it had decided, and against two
//! generations that each have a leader: voters that weren't lost after all, or a second operator, would keep another
//! generation alive.

use ironstair_test_cluster::cluster::{wait_until, Cluster, Isolation, Plan};
use ironstair_test_cluster::invariants::AnswerKind;
use serde_json::{json, Value};

/// The setting that limits how often a request is attempted.
const MAX_ATTEMPTS_PATH: &str = "/settings/forwards-most";
const VOTER_COUNT: usize = 3;

/// Waits until each gateway is fit and [`MAX_ATTEMPTS_PATH`] has the given value there.
fn wait_until_all_are_fit_with_max_attempts(cluster: &Cluster, value: &Value) {
    for gateway in 0..cluster.size() {
        cluster.wait_until_fit(gateway);
        wait_until("the gateway has the setting", || {
            cluster.setting(gateway, MAX_ATTEMPTS_PATH) == *value
        });
    }
}

/// Makes a change, kills all gateways, wipes the disks of the given voters and starts all gateways.
fn restart_fleet_with_wiped_disks(test: &str, wiped_voters: &[usize]) -> Cluster {
    let mut cluster = Cluster::started_under_load(test, &Plan::default());
    cluster.set(0, &[MAX_ATTEMPTS_PATH, "5"]).assert_success();
    (0..cluster.size()).for_each(|gateway| cluster.kill(gateway));
    wiped_voters
        .iter()
        .for_each(|voter| cluster.wipe_disk(*voter));
    (0..cluster.size()).for_each(|gateway| cluster.start(gateway));
    for gateway in 0..cluster.size() {
        wait_until("the gateway listens", || cluster.is_listening(gateway));
    }
    cluster
}

#[test]
fn loss_of_a_majority_of_disks_stops_the_fleet_until_an_operator_begins_a_new_generation() {
    let mut cluster = restart_fleet_with_wiped_disks("anew", &[0, 1]);
    cluster.wait_for_answers(AnswerKind::Rejected, 100);
    assert!((0..cluster.size()).all(|gateway| !cluster.is_fit(gateway)));
    // A bootstrap is refused, because one of the disks already has a generation.
    cluster
        .cli(0, &["fleet", "begin"])
        .assert_refused_with("g3 knows a cluster generation");
    let recovery = cluster.cli(2, &["fleet", "begin-anew"]);
    recovery.assert_success();
    assert!(
        recovery.stdout.contains("with revision 1")
            && recovery.stdout.contains("0 voters did not answer"),
        "{recovery:?}"
    );
    wait_until_all_are_fit_with_max_attempts(&cluster, &json!(5));
    assert!(cluster
        .cli(1, &["revisions", "--fleet"])
        .stdout
        .contains("disaster recovery after generation"));
    assert!(cluster
        .log(2)
        .contains("disaster recovery done, new cluster generation begins"));
    cluster.wait_for_answers(AnswerKind::Rows, 200);
    cluster.wait_until_all_vote(3);
    cluster.set(4, &[MAX_ATTEMPTS_PATH, "3"]).assert_success();
    wait_until_all_are_fit_with_max_attempts(&cluster, &json!(3));
    cluster
        .cli(2, &["fleet", "begin-anew"])
        .assert_refused_with("is the leader: the fleet's state is not lost");
    cluster.stop_load_and_check();
}

/// Guards against two generations with the same number. Neither would supersede the other, and the fleet would stay
/// split.
#[test]
fn two_simultaneous_disaster_recoveries_leave_one_generation() {
    let cluster = restart_fleet_with_wiped_disks("two-anew", &[0, 1]);
    // The isolation of voter 0 keeps each of the two voters from learning of the other one's recovery.
    cluster.isolate(0, Isolation::Full);
    std::thread::scope(|scope| {
        let recoveries = [0, 2].map(|gateway| {
            let cluster = &cluster;
            scope.spawn(move || cluster.cli(gateway, &["fleet", "begin-anew"]))
        });
        for recovery in recoveries {
            recovery.join().unwrap().assert_success();
        }
    });
    cluster.heal_links();
    wait_until("all voters have a vote in the same generation", || {
        let statuses: Vec<Value> = (0..VOTER_COUNT)
            .map(|voter| cluster.fleet_status(voter))
            .collect();
        statuses.iter().all(|status| {
            let voters = status["keepers"].as_array();
            voters.is_some_and(|voters| voters.len() == VOTER_COUNT)
                && status["history"] == statuses[0]["history"]
        })
    });
    cluster.wait_until_all_fit();
}

#[test]
fn loss_of_all_disks_restarts_from_the_configuration_and_a_foreign_disk_is_refused() {
    let mut cluster = restart_fleet_with_wiped_disks("nothing-left", &[0, 1, 2]);
    cluster.wait_for_answers(AnswerKind::Rejected, 50);
    let recovery = cluster.cli(1, &["fleet", "begin-anew"]);
    recovery.assert_success();
    assert!(
        recovery
            .stdout
            .contains("with the settings that this gateway started with"),
        "{recovery:?}"
    );
    wait_until_all_are_fit_with_max_attempts(&cluster, &json!(6));
    // A gateway that finds another gateway's disk logs the owner's name, and doesn't use the disk.
    cluster.kill(2);
    let disk = cluster.copy_disk(1);
    cluster.restore_disk(2, &disk);
    cluster.start(2);
    wait_until("the gateway logs whose disk it is", || {
        cluster
            .log(2)
            .contains("the log belongs to gateway g2 of fleet")
    });
    cluster.wait_for_answers_at(0, AnswerKind::Rows, 100);
    cluster.wipe_disk(2);
    cluster.start(2);
    cluster.wait_until_fit(2);
    cluster.stop_load_and_check();
}

/// Kills a majority of the voters, begins a new generation without them, makes a change in it and starts the killed
/// voters, as an operator would who wrongly believed their disks to be lost.
fn restart_voters_after_disaster_recovery(test: &str, plan: &Plan) -> Cluster {
    let mut cluster = Cluster::started_under_load(test, plan);
    cluster.set(0, &[MAX_ATTEMPTS_PATH, "5"]).assert_success();
    cluster.kill(0);
    cluster.kill(1);
    let recovery = cluster.cli(2, &["fleet", "begin-anew"]);
    recovery.assert_success();
    assert!(
        recovery.stdout.contains("2 voters did not answer"),
        "{recovery:?}"
    );
    (2..cluster.size()).for_each(|gateway| cluster.wait_until_fit(gateway));
    cluster.set(3, &[MAX_ATTEMPTS_PATH, "2"]).assert_success();
    cluster.start(0);
    cluster.start(1);
    cluster
}

#[test]
fn voters_of_an_earlier_generation_that_come_back_quarantine_it() {
    let mut cluster = restart_voters_after_disaster_recovery("earlier", &Plan::default());
    wait_until_all_are_fit_with_max_attempts(&cluster, &json!(2));
    wait_until("the voters quarantine their replicas", || {
        (0..2).all(|voter| {
            cluster
                .log(voter)
                .contains("disaster recovery took place without this voter")
        })
    });
    cluster.wait_until_all_vote(3);
    wait_until_all_are_fit_with_max_attempts(&cluster, &json!(2));
    cluster.stop_load_and_check();
}

#[test]
fn control_without_generation_check_two_generations_live_side_by_side() {
    let plan = Plan::default().disable_guard("generation-check");
    let cluster = restart_voters_after_disaster_recovery("control-earlier", &plan);
    let generation = |gateway: usize| cluster.fleet_status(gateway)["history"].clone();
    wait_until(
        "voters 0 and 2 each see a leader, of different generations",
        || generation(0).is_string() && generation(2).is_string() && generation(0) != generation(2),
    );
}
