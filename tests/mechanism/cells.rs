//! Requests that are restricted to cells.

use crate::common::{endpoint_at, request_with, RecordedActions};
use crate::support::{send_request, two_classes};
use ironstair::policy::Gateway;
use ironstair::{Endpoint, EndpointState, Millis, Outcome, PolicyConfig, Request};

/// Two engines, each in a cell of its own.
fn two_cells(config: PolicyConfig) -> Gateway {
    let mut gateway = Gateway::new(config, 1);
    let endpoints: Vec<Endpoint> = (0..2)
        .map(|engine| Endpoint {
            cells: 1 << engine,
            ..endpoint_at(engine)
        })
        .collect();
    gateway.update_endpoints(0.0, true, &endpoints, &mut RecordedActions::default());
    gateway
}

fn request_in_cell(cell: u64, work: Millis) -> Request {
    Request {
        cells: 1 << cell,
        ..request_with(0, work)
    }
}

/// Both cells answer quickly at first, then the first one answers slowly. Returns the time at the end.
fn slow_down_first_cell(gateway: &mut Gateway) -> Millis {
    let (mut now, mut actions) = (1.0, RecordedActions::default());
    for first_cell_duration in [100.0, 100.0, 100.0, 450.0, 450.0, 450.0] {
        for slot in 0..16 {
            let request = request_in_cell(slot as u64 / 8, 100.0);
            gateway.on_request(now, slot, request, &mut actions);
        }
        (8..16).for_each(|slot| {
            gateway.on_attempt_ended(
                now + 100.0,
                slot,
                Outcome::Completed(None),
                true,
                &mut actions,
            );
        });
        (0..8).for_each(|slot| {
            gateway.on_attempt_ended(
                now + first_cell_duration,
                slot,
                Outcome::Completed(None),
                true,
                &mut actions,
            );
        });
        now += first_cell_duration + 1.0;
    }
    now
}

#[test]
fn requests_run_on_engines_of_their_cells_only() {
    let mut gateway = two_cells(two_classes());
    for cell in 0..2 {
        let sent: Vec<_> = (0..6)
            .flat_map(|nth| {
                send_request(
                    &mut gateway,
                    1.0,
                    8 * cell + nth,
                    request_in_cell(cell as u64, 10.0),
                )
            })
            .collect();
        assert!(
            sent.len() == 6 && sent.iter().all(|attempt| attempt.1 == cell),
            "{sent:?}"
        );
    }
    let sent_to_unknown_cell = send_request(
        &mut gateway,
        1.0,
        40,
        Request {
            cells: 4,
            ..request_with(0, 10.0)
        },
    );
    assert!(sent_to_unknown_cell.is_empty());
    assert_eq!(
        send_request(&mut gateway, 1.0, 41, request_with(0, 10.0)).len(),
        1,
        "a request without cells runs on any engine"
    );
}

#[test]
fn request_queued_for_its_cell_does_not_block_other_cells() {
    let mut gateway = two_cells(two_classes());
    let now = slow_down_first_cell(&mut gateway);
    // The first cell is under pressure and full, and its queued requests, which have the least work, come first in the
    // queue of the class.
    let sent: usize = (0..14)
        .map(|slot| send_request(&mut gateway, now, slot, request_in_cell(0, 20.0)).len())
        .sum();
    assert!(sent < 14, "some requests are queued");
    assert_eq!(
        send_request(&mut gateway, now, 20, request_in_cell(1, 100.0)),
        [(20, 1)]
    );
}

#[test]
fn slow_cell_fills_only_its_own_queue_and_causes_no_rejections_in_other_cells() {
    let mut config = two_classes();
    config.classes[0].objective_per_work = 0.5;
    let mut gateway = two_cells(config);
    let now = slow_down_first_cell(&mut gateway);
    let mut actions = RecordedActions::default();
    (0..200)
        .for_each(|slot| gateway.on_request(now, slot, request_in_cell(0, 100.0), &mut actions));
    assert!(
        actions.rejections() > 50,
        "the queue of the first cell is full"
    );
    // The other cell's engine drains for a moment. A request that waits for it can still meet its objective, at the
    // pace of its own cell.
    let draining = Endpoint {
        cells: 2,
        state: EndpointState::Draining,
        ..endpoint_at(1)
    };
    gateway.update_endpoints(now, false, &[draining], &mut RecordedActions::default());
    let mut actions = RecordedActions::default();
    gateway.on_request(now, 200, request_in_cell(1, 900.0), &mut actions);
    assert_eq!((actions.rejections(), actions.attempts().len()), (0, 0));
    gateway.update_endpoints(
        now + 1.0,
        false,
        &[Endpoint {
            state: EndpointState::Ready,
            ..draining
        }],
        &mut actions,
    );
    assert_eq!(actions.attempts(), [(200, 1)]);
}

#[test]
fn request_restricted_to_new_cells_runs_there_with_its_next_attempt() {
    let mut gateway = two_cells(two_classes());
    assert_eq!(
        send_request(&mut gateway, 1.0, 0, request_in_cell(0, 10.0)),
        [(0, 0)]
    );
    gateway.restrict_to_cells(0, 2);
    let mut actions = RecordedActions::default();
    gateway.on_timer(2.0, &mut actions);
    assert_eq!(
        actions.attempts(),
        [],
        "the attempt in flight stays on its engine"
    );
    gateway.on_attempt_ended(3.0, 0, Outcome::EngineError, false, &mut actions);
    assert_eq!(actions.attempts(), [(0, 1)]);
    gateway.restrict_to_cells(99, 1);
}
