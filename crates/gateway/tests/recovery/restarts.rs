//! Gateways that are killed or paused and come back (cases 1, 6 and 7 of the design).
//!
//! The tests guard against a restarted gateway that has to wait until the lease of its previous process expires, and
//! against a fleet that serves no requests after several gateways were killed or paused at the same time.

use ironstair_test_cluster::cluster::{wait_until, Cluster, Plan};
use ironstair_test_cluster::invariants::AnswerKind;

/// Kills and starts gateway 4. The plan's leases last as long as a test waits for a condition, so that the gateway
/// can't be fit in time by waiting for the end of its old lease.
fn restart_gateway_within_its_lease(test: &str, plan: &Plan) -> Cluster {
    let mut cluster = Cluster::started(test, plan);
    cluster.kill(4);
    cluster.start(4);
    cluster
}

#[test]
fn killed_gateway_that_restarts_in_place_does_not_wait_for_its_old_lease() {
    let plan = Plan::default().lease_ms(40_000);
    let cluster = restart_gateway_within_its_lease("in-place", &plan);
    cluster.wait_until_fit(4);
}

#[test]
fn control_restarted_gateway_without_proof_of_its_end_waits_for_its_old_lease() {
    let plan = Plan::default()
        .lease_ms(40_000)
        .disable_guard("proof-of-end");
    let cluster = restart_gateway_within_its_lease("no-proof", &plan);
    wait_until("the gateway logs why it doesn't join the fleet", || {
        cluster
            .log(4)
            .contains("another process is g5 in this fleet")
    });
    assert!(!cluster.is_fit(4));
}

#[test]
fn gateways_killed_at_once_under_load_serve_again() {
    let mut cluster = Cluster::started_under_load("killed", &Plan::default());
    for killed in [&[0, 1, 3, 4][..], &[1, 2, 3, 4], &[0, 1, 2, 3, 4]] {
        killed.iter().for_each(|gateway| cluster.kill(*gateway));
        killed.iter().for_each(|gateway| cluster.start(*gateway));
        cluster.wait_until_all_fit();
        for gateway in 0..cluster.size() {
            cluster.wait_for_answers_at(gateway, AnswerKind::Rows, 20);
        }
    }
    cluster.stop_load_and_check();
}

#[test]
fn fleet_serves_after_a_crash_loop_of_one_gateway_and_a_pause_of_a_majority() {
    let mut cluster = Cluster::started_under_load("again", &Plan::default());
    assert_crash_loop_does_not_slow_the_others(&mut cluster);
    let paused = [1, 2, 4];
    for gateway in paused {
        cluster.pause_load(gateway);
        cluster.pause(gateway);
        cluster.fill_queue(gateway);
    }
    wait_until("the gateways that run have no lease", || {
        !cluster.is_fit(0) && !cluster.is_fit(3)
    });
    paused
        .into_iter()
        .for_each(|gateway| cluster.resume(gateway));
    cluster.wait_until_all_fit();
    cluster.wait_for_answers(AnswerKind::Rows, 200);
    cluster.stop_load_and_check();
}

/// Restarts gateway 3 six times: by turns, it is killed as soon as it listens and when it has been fit. Meanwhile,
/// gateway 0 must keep answering.
fn assert_crash_loop_does_not_slow_the_others(cluster: &mut Cluster) {
    for _ in 0..3 {
        cluster.kill(3);
        cluster.start(3);
        wait_until("the gateway listens", || cluster.is_listening(3));
        cluster.kill(3);
        cluster.start(3);
        cluster.wait_until_fit(3);
        cluster.wait_for_answers_at(0, AnswerKind::Rows, 20);
    }
}
