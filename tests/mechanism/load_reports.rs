//! The load reports of engines, and the costs in their answers.

use crate::common::{request_with, Action, RecordedActions};
use crate::support::{
    complete_requests, patient_request, send_request, start_gateway, two_classes,
};
use ironstair::policy::Gateway;
use ironstair::{Cost, LoadMetric, Millis, Outcome, PolicyConfig, Request};

#[test]
fn heavy_requests_wait_for_a_probe_where_own_traffic_shows_too_little() {
    let reports = vec![LoadMetric::Utilization, LoadMetric::HeldQueries];
    let mut gateway = start_gateway(
        PolicyConfig {
            gateway_count: 300.0,
            may_probe: true,
            report_fields: reports,
            ..two_classes()
        },
        4,
    );
    for slot in 0..4 {
        send_request(&mut gateway, 1.0, slot, request_with(0, 100.0));
    }
    let mut actions = RecordedActions::default();
    gateway.on_request(2.0, 9, patient_request(1, 4000.0), &mut actions);
    let first_probe = |actions: &RecordedActions| {
        actions.0.iter().find_map(|action| {
            if let Action::Probe(engine) = action {
                Some(*engine)
            } else {
                None
            }
        })
    };
    let probed = first_probe(&actions).expect("an engine is probed");
    assert_eq!(
        actions.attempts(),
        [],
        "no attempt before an engine reports capacity"
    );
    let mut actions = RecordedActions::default();
    gateway.on_load_report(3.0, probed, &[0.4, 24.0], &mut actions);
    assert_eq!(
        actions.attempts(),
        [],
        "cores are idle, but three queries are held for each: they queue for memory"
    );
    gateway.on_load_report(4.0, probed, &[0.4, 2.0], &mut actions);
    assert_eq!(actions.attempts(), [(9, probed)]);
}

/// The memory granted to a request with this estimate, in MB. The request is never sent.
fn granted_memory(gateway: &mut Gateway, now: Millis, memory_mb: f64) -> f64 {
    let request = Request {
        memory_mb,
        ..request_with(0, 100.0)
    };
    let mut actions = RecordedActions::default();
    gateway.on_request(now, 1, request, &mut actions);
    let granted = actions.0.iter().find_map(|action| match action {
        Action::Grant(granted_mb) => Some(*granted_mb),
        _ => None,
    });
    gateway.on_attempt_ended(now + 1.0, 1, Outcome::Unsent, true, &mut actions);
    granted.expect("a grant")
}

#[test]
fn estimates_of_work_and_memory_are_corrected_by_the_costs_in_answers() {
    // Memory estimates that are too low make the queries of a class spill; estimates that are too high for large queries
    // starve others.
    let mut gateway = start_gateway(
        PolicyConfig {
            honors_memory_grants: true,
            queues_when_memory_full: true,
            ..two_classes()
        },
        2,
    );
    assert_eq!(
        granted_memory(&mut gateway, 0.5, 100.0),
        100.0,
        "the estimate itself while nothing is known"
    );
    // The usual need is 200 MB; an estimate four times as large means a need twice as large.
    let scale = |nth: usize| 4f64.powi(nth as i32 % 3 - 1);
    let request = |nth| Request {
        memory_mb: 100.0 * scale(nth),
        ..request_with(0, 100.0 * scale(nth))
    };
    let cost = |nth| Cost {
        work: 300.0 * scale(nth).sqrt(),
        memory_mb: 200.0 * scale(nth).sqrt(),
    };
    let now = complete_requests(&mut gateway, 300, request, cost);
    for (estimate, needed) in [(25.0, 100.0), (100.0, 200.0), (400.0, 400.0)] {
        let granted = granted_memory(&mut gateway, now, estimate);
        assert!(
            (granted / needed - 1.0).abs() < 0.1,
            "{granted} MB granted for an estimate of {estimate} MB, {needed} MB needed"
        );
    }
    let typical_work = gateway.class_view(0).unwrap().typical_work;
    assert!((300.0..500.0).contains(&typical_work), "{typical_work}");
    // Answers without a valid memory figure change nothing.
    let before = granted_memory(&mut gateway, now, 100.0);
    for memory_mb in [0.0, -4.0, f64::NAN] {
        let mut actions = RecordedActions::default();
        gateway.on_request(now, 0, request_with(0, 100.0), &mut actions);
        gateway.on_attempt_ended(
            now,
            0,
            Outcome::Completed(Some(Cost {
                work: 100.0,
                memory_mb,
            })),
            true,
            &mut actions,
        );
    }
    assert!((granted_memory(&mut gateway, now, 100.0) / before - 1.0).abs() < 0.01);
}

#[test]
fn load_report_counts_while_its_engine_is_silent_and_decays() {
    // An overloaded engine reports rarely: if its last report were forgotten, all requests would go there at once.
    let reports = vec![LoadMetric::Other, LoadMetric::HeldQueries];
    let mut gateway = start_gateway(
        PolicyConfig {
            report_fields: reports,
            ..two_classes()
        },
        2,
    );
    let home = send_request(&mut gateway, 1.0, 0, request_with(0, 100.0))[0].1;
    gateway.on_attempt_ended(
        10.0,
        0,
        Outcome::Completed(None),
        true,
        &mut RecordedActions::default(),
    );
    gateway.on_load_report(10.0, home, &[0.0, 100.0], &mut RecordedActions::default());
    gateway.on_load_report(10.0, home, &[f64::NAN], &mut RecordedActions::default());
    gateway.on_load_report(10.0, home, &[], &mut RecordedActions::default());
    let complete_one = |gateway: &mut Gateway, now| {
        let engine = send_request(gateway, now, 0, request_with(0, 100.0))[0].1;
        gateway.on_attempt_ended(
            now + 1.0,
            0,
            Outcome::Completed(None),
            true,
            &mut RecordedActions::default(),
        );
        engine
    };
    assert!(
        (1..4).all(|second| complete_one(&mut gateway, 1000.0 * second as Millis) != home),
        "its report shows five times the threads that its cores serve"
    );
    gateway.on_load_report(
        4000.0,
        1 - home,
        &[0.0, 100.0],
        &mut RecordedActions::default(),
    );
    assert_eq!(
        complete_one(&mut gateway, 14_000.0),
        home,
        "the report has decayed"
    );
}
