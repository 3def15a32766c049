//! Random schedules of faults and changes, generated from seeds (case 9 of the design).
//!
//! The test guards against failures that need a combination of faults which no other test sets up.

use ironstair_test_cluster::cluster::{Cluster, Plan};
use ironstair_test_cluster::{environment, schedule};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// The number of schedules that run at the same time. Each of them has a fleet of five processes.
const MAX_CONCURRENT_SCHEDULES: u64 = 4;

/// Runs the schedule of the seed on a fleet of its own. Returns the number of changes that were made.
fn run_schedule_of_seed(seed: u64) -> usize {
    let steps = schedule::generate_steps(seed);
    let run_result = std::panic::catch_unwind(|| {
        let mut cluster = Cluster::started_under_load(&format!("case-9-{seed}"), &Plan::default());
        let changes_made = schedule::run(&mut cluster, &steps);
        cluster.stop_load_and_check();
        changes_made
    });
    match run_result {
        Ok(changes_made) => changes_made,
        Err(_) => panic!("the schedule of seed {seed} failed: {steps:#?}"),
    }
}

/// `SEEDS` is the number of schedules and `FIRST` the first seed; the defaults are 3 and 1. The command for 200
/// schedules from seed 1000 on is `SEEDS=200 FIRST=1000 cargo test -p ironstair-gateway --test fleet seeded_schedules`.
#[test]
fn seeded_schedules_of_faults_violate_no_invariant() {
    let seed_count = environment::number("SEEDS", 3);
    let first_seed = environment::number("FIRST", 1);
    let next_seed = AtomicU64::new(first_seed);
    let changes_made = AtomicUsize::new(0);
    assert_eq!(schedule::generate_steps(7), schedule::generate_steps(7));
    std::thread::scope(|scope| {
        for _ in 0..seed_count.min(MAX_CONCURRENT_SCHEDULES) {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= first_seed + seed_count {
                    return;
                }
                changes_made.fetch_add(run_schedule_of_seed(seed), Ordering::Relaxed);
            });
        }
    });
    println!("{seed_count} schedules from seed {first_seed}, {changes_made:?} changes made");
    assert!(changes_made.into_inner() > 0);
}
