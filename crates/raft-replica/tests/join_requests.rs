//! How long the join request of a blank replica is valid.

use ironstair_coordination::Policy;
use ironstair_raft_replica::{Output, Replica, TICK};
use serde::{Deserialize, Serialize};
use slog::{o, Discard, Logger};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct TestPolicy(u8);

impl Policy for TestPolicy {
    fn intersection(&self, _: &Self) -> Option<Self> {
        Some(self.clone())
    }
}

/// The names of the replicas that a single voter admits once it is the leader, if replica b sent its only join request
/// this long before, in ms.
fn admitted_replicas(request_age: f64) -> Vec<String> {
    let image = Replica::bootstrap_image("a", 1, 7, TestPolicy(1), None).unwrap();
    let log = Logger::root(Discard, o!());
    let mut replica: Replica<TestPolicy> =
        Replica::open("a", 0, 1000.0, &image, 0.0, &log).unwrap();
    replica.handle_join_request("b".into(), 99);
    let mut now = request_age;
    for _ in 0..40 {
        now += TICK;
        let mut outputs = replica.tick(now);
        while outputs
            .iter()
            .any(|output| matches!(output, Output::Save(_)))
        {
            outputs = replica.save_completed(now);
        }
    }
    assert!(replica.leader().is_some());
    replica.state().joining.keys().cloned().collect()
}

#[test]
fn a_join_request_that_is_not_repeated_expires() {
    // The replica may have been bootstrapped or have lost its disk again since its request. Waiting for its old id would
    // block the admission of others.
    assert_eq!(
        (admitted_replicas(0.0), admitted_replicas(4000.0)),
        (vec!["b".to_owned()], vec![])
    );
}
