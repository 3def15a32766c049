//! The order in which engines are tried for a table group.

use crate::common::{class, endpoint_at, policy_config, request_with, RecordedActions};
use crate::support::{complete_requests, send_request, start_gateway, two_classes};
use ironstair::policy::Gateway;
use ironstair::{Cost, Effect, Endpoint, LoadMetric, Request};

#[test]
fn engine_order_is_the_same_at_every_gateway_whatever_its_indices() {
    let first_engine_id = |endpoints: Vec<Endpoint>, table_group| {
        let mut gateway = Gateway::new(two_classes(), 5);
        gateway.update_endpoints(0.0, true, &endpoints, &mut RecordedActions::default());
        let sent = send_request(
            &mut gateway,
            1.0,
            0,
            Request {
                table_group,
                ..request_with(0, 100.0)
            },
        );
        endpoints
            .iter()
            .find(|endpoint| endpoint.engine == sent[0].1)
            .map(|endpoint| endpoint.id)
    };
    for table_group in 0..20 {
        let endpoints: Vec<Endpoint> = (0..6).map(endpoint_at).collect();
        let with_reversed_indices: Vec<Endpoint> = (0..6)
            .map(|engine| Endpoint {
                engine,
                ..endpoint_at(5 - engine)
            })
            .collect();
        assert_eq!(
            first_engine_id(endpoints, table_group),
            first_engine_id(with_reversed_indices, table_group)
        );
    }
}

#[test]
fn class_that_pins_its_table_group_runs_on_other_engines_than_its_readers() {
    // Lookups must not wait behind a load on the same engine.
    let mut config = two_classes();
    config.classes[1].pins_table_group = true;
    config.report_fields = vec![LoadMetric::HeldQueries];
    for table_group in 0..20 {
        let mut gateway = start_gateway(config.clone(), 8);
        // Requests for other table groups leave this one with its usual two home engines.
        let request_for_other_group = |nth: usize| Request {
            table_group: 100 + nth as u64,
            ..request_with(0, 100.0)
        };
        let now = complete_requests(&mut gateway, 60, request_for_other_group, |_| Cost {
            work: 100.0,
            memory_mb: 0.0,
        });
        let engine_for = |gateway: &mut Gateway, slot, class| {
            send_request(
                gateway,
                now,
                slot,
                Request {
                    table_group,
                    time_remaining: 20_000.0,
                    ..request_with(class, 100.0)
                },
            )[0]
            .1
        };
        let reader_engines: Vec<usize> = (1..9)
            .map(|slot| engine_for(&mut gateway, slot, 0))
            .collect();
        assert!(
            (9..17).all(|slot| !reader_engines.contains(&engine_for(&mut gateway, slot, 1))),
            "table group {table_group}"
        );
        // The load waits even when all other engines are full.
        for engine in (0..8).filter(|engine| !reader_engines.contains(engine)) {
            gateway.on_load_report(now, engine, &[100.0], &mut RecordedActions::default());
        }
        let load = Request {
            table_group,
            time_remaining: 20_000.0,
            ..request_with(1, 100.0)
        };
        assert_eq!(
            send_request(&mut gateway, now, 17, load),
            [],
            "table group {table_group}"
        );
    }
}

#[test]
fn table_group_of_most_requests_has_more_home_engines() {
    // With a fixed number of home engines, a few table groups would fill two engines each and leave the others idle.
    let home_engines_of_first_group = |groups: u64| {
        let mut gateway =
            start_gateway(policy_config(vec![class(1.0, 1.0, Effect::Idempotent)]), 12);
        let sent: Vec<usize> = (0..120)
            .map(|slot| {
                send_request(
                    &mut gateway,
                    1.0,
                    slot,
                    Request {
                        table_group: slot as u64 % groups,
                        ..request_with(0, 100.0)
                    },
                )[0]
                .1
            })
            .collect();
        let mut engines: Vec<usize> = sent.iter().step_by(groups as usize).copied().collect();
        engines.sort();
        engines.dedup();
        engines.len()
    };
    assert_eq!(
        (
            home_engines_of_first_group(1),
            home_engines_of_first_group(4) > 2,
            home_engines_of_first_group(12)
        ),
        (12, true, 2)
    );
}

#[test]
fn unrestricted_class_uses_engines_that_a_restricted_class_needs_last() {
    // A machine type must not be filled with requests that could run on another one.
    let mut config = policy_config(vec![class(1.0, 1.0, Effect::Idempotent); 3]);
    config.classes[1].machine_types = Some(vec![1]);
    let mut gateway = start_gateway(config, 8);
    let now = complete_requests(
        &mut gateway,
        20,
        |_| request_with(0, 100.0),
        |_| Cost {
            work: 100.0,
            memory_mb: 0.0,
        },
    );
    for nth in 1..20 {
        let request = |class| Request {
            table_group: nth as u64,
            time_remaining: 20_000.0,
            ..request_with(class, 400.0)
        };
        let (restricted, unrestricted) = (
            send_request(&mut gateway, now, 2 * nth, request(1))[0].1,
            send_request(&mut gateway, now, 2 * nth + 1, request(2))[0].1,
        );
        assert_eq!(
            (
                endpoint_at(restricted).machine_type,
                endpoint_at(unrestricted).machine_type
            ),
            (1, 0)
        );
    }
}
