//! Rule 4: how much work the gateways may send to an engine that has just started.

use crate::common::{endpoint_at, request_with, RecordedActions};
use crate::support::{send_request, two_classes};
use ironstair::policy::Gateway;
use ironstair::random::{mix, Pcg};
use ironstair::{Endpoint, Millis, Outcome, PolicyConfig, Request};

// With hundreds of gateways, the share of each one is less than one request, and the sum of what they send may overload
// an engine: no gateway knows of the others. Here some have ten times the traffic, and nearly all engines start at once.
#[test]
fn cold_engines_are_not_overloaded_by_hundreds_of_gateways() {
    let config = PolicyConfig {
        gateway_count: 300.0,
        ..two_classes()
    };
    let limit =
        config.overload_factor * config.slow_start_from * 0.85 * 8.0 * config.overload_window;
    let mut fleet: Vec<Gateway> = (0..300)
        .map(|seed| Gateway::new(config.clone(), seed))
        .collect();
    let started_at = |engine| if engine < 58 { 1000.0 } else { 0.0 };
    let endpoints: Vec<Endpoint> = (0..60)
        .map(|engine| Endpoint {
            started_at: started_at(engine),
            ..endpoint_at(engine)
        })
        .collect();
    let mut sent = vec![0.0; 60];
    for (gateway_index, gateway) in fleet.iter_mut().enumerate() {
        gateway.update_endpoints(1000.0, true, &endpoints, &mut RecordedActions::default());
        for nth in 0..if gateway_index % 10 == 0 { 50 } else { 5 } {
            let request = Request {
                table_group: (gateway_index + nth) as u64 % 120,
                ..request_with(0, 100.0)
            };
            send_request(gateway, 1000.0 + nth as f64, nth, request)
                .iter()
                .for_each(|(_, engine)| sent[*engine] += 100.0);
        }
    }
    let max_sent = sent[..58].iter().copied().fold(0.0, f64::max);
    assert!(
        max_sent < limit && max_sent > 0.0,
        "{max_sent} ms of work sent to one engine, limit {limit} ms"
    );
}

#[test]
fn share_of_a_cold_engine_shrinks_at_once_with_more_gateways() {
    let mut config = two_classes();
    let mut gateway = Gateway::new(config.clone(), 1);
    gateway.update_endpoints(
        1000.0,
        true,
        &[Endpoint {
            started_at: 1000.0,
            ..endpoint_at(0)
        }],
        &mut RecordedActions::default(),
    );
    let sent: usize = (0..4)
        .map(|slot| send_request(&mut gateway, 1001.0, slot, request_with(0, 100.0)).len())
        .sum();
    let allowance = gateway
        .engine_view(0)
        .unwrap()
        .slow_start_allowance
        .unwrap();
    assert_eq!((sent, allowance > 1000.0), (4, true));
    config.gateway_count = 20.0;
    gateway.update_config(1002.0, config, &mut RecordedActions::default());
    assert_eq!(
        gateway.engine_view(0).unwrap().slow_start_allowance,
        Some(0.0)
    );
    assert_eq!(
        send_request(&mut gateway, 1003.0, 4, request_with(0, 100.0)).len(),
        0
    );
}

const ENGINES: usize = 12;
/// The time at which every second engine starts, in ms.
const COLD_START: Millis = 1000.0;
/// The work of each request, in ms.
const WORK: Millis = 100.0;

fn endpoints_with_every_second_cold() -> Vec<Endpoint> {
    let cold = |engine| Endpoint {
        started_at: if engine % 2 == 0 { COLD_START } else { 0.0 },
        ..endpoint_at(engine)
    };
    (0..ENGINES).map(cold).collect()
}

/// The times at which a gateway's requests arrive: a burst in the last 100 ms of the third second after the start, or
/// steady traffic over four seconds. Every tenth gateway has ten times the traffic of the others.
fn arrival_times(
    random: &mut Pcg,
    gateways: u64,
    gateway_index: usize,
    steady: bool,
) -> Vec<Millis> {
    let requests = (if gateway_index.is_multiple_of(10) {
        40
    } else {
        4
    }) * 300
        / gateways as usize;
    let requests = if gateways < 10 {
        requests / 3
    } else {
        requests
    };
    let arrivals = requests.max(2) * if steady { 4 } else { 1 };
    let mut times: Vec<Millis> = (0..arrivals)
        .map(|_| (random.draw() % 4096) as f64 / 4096.0)
        .map(|fraction| match steady {
            true => 1001.0 + 4000.0 * fraction,
            false => 3900.0 + 100.0 * fraction,
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times
}

/// Sends one request, and a further attempt for each one that fails; a quarter of the attempts fail at once. Adds the
/// time of each attempt to those of its engine.
fn send_with_retries(
    gateway: &mut Gateway,
    random: &mut Pcg,
    slot: usize,
    now: Millis,
    sent: &mut [Vec<Millis>],
) {
    let request = Request {
        table_group: random.draw() % 60,
        ..request_with(0, WORK)
    };
    let mut in_flight = send_request(gateway, now, slot, request);
    while let Some((slot, engine)) = in_flight.pop() {
        sent[engine].push(now);
        let fails = random.draw().is_multiple_of(4);
        let outcome = if fails {
            Outcome::EngineError
        } else {
            Outcome::Completed(None)
        };
        let mut actions = RecordedActions::default();
        gateway.on_attempt_ended(now, slot, outcome, !fails, &mut actions);
        in_flight.extend(actions.attempts());
    }
}

/// Windows that end with an attempt on a cold engine.
#[derive(Clone, Copy, Default)]
struct WindowCounts {
    total: usize,
    /// Windows with more than N + 2 sqrt(N) + 2 attempts, where N is the number that the configuration allows.
    over_bound: usize,
}

impl WindowCounts {
    fn add(&mut self, other: WindowCounts) {
        self.total += other.total;
        self.over_bound += other.over_bound;
    }
}

fn count_windows(config: &PolicyConfig, times: &[Millis]) -> WindowCounts {
    let mut counts = WindowCounts::default();
    for (nth, &end) in times.iter().enumerate() {
        let capacity_share = config.slow_start_from
            + (1.0 - config.slow_start_from)
                * ((end - COLD_START) / config.slow_start_duration).clamp(0.0, 1.0);
        let allowed =
            config.overload_factor * capacity_share * 0.85 * 8.0 * config.overload_window / WORK;
        let window_start = end - config.overload_window;
        let attempts = times[..=nth]
            .iter()
            .filter(|&&time| time > window_start)
            .count() as f64;
        counts.total += 1;
        counts.over_bound += usize::from(attempts > allowed + 2.0 * allowed.sqrt() + 2.0);
    }
    counts
}

/// Counts the windows over the attempts of all gateways together on each cold engine. The traffic is far more than the
/// engines can serve, and a burst follows some time without requests.
fn windows_over_bound(gateways: u64, seed: u64, steady: bool) -> WindowCounts {
    let config = PolicyConfig {
        gateway_count: gateways as f64,
        ..two_classes()
    };
    let mut sent: Vec<Vec<Millis>> = vec![Vec::new(); ENGINES];
    for index in 0..gateways {
        let mut gateway = Gateway::new(config.clone(), mix(seed * 1000 + index));
        let endpoints = endpoints_with_every_second_cold();
        gateway.update_endpoints(
            COLD_START,
            true,
            &endpoints,
            &mut RecordedActions::default(),
        );
        let mut random = Pcg(mix(seed ^ index << 32));
        let times = arrival_times(&mut random, gateways, index as usize, steady);
        for (slot, now) in times.into_iter().enumerate() {
            send_with_retries(&mut gateway, &mut random, slot, now, &mut sent);
        }
    }
    let mut counts = WindowCounts::default();
    for times in sent.iter_mut().step_by(2) {
        times.sort_by(f64::total_cmp);
        counts.add(count_windows(&config, times));
    }
    counts
}

#[test]
fn cold_engine_is_not_overloaded_by_any_count_of_gateways_or_traffic() {
    // A random draw for each request lets a burst through, as an earlier rule did: docs/results/brink.md has its figures.
    for gateways in [2, 20, 30, 300] {
        let mut counts = WindowCounts::default();
        for seed in 0..5 {
            counts.add(windows_over_bound(gateways, seed, false));
            counts.add(windows_over_bound(gateways, seed, true));
        }
        let WindowCounts { total, over_bound } = counts;
        println!("{gateways} gateways: {over_bound} of {total} windows over the bound");
        assert!(
            total > 500 && over_bound * 1000 <= total,
            "{gateways} gateways: {over_bound} of {total} windows over the bound"
        );
    }
}
