//! Boundaries of how the policy judges engines: overdue attempts, ejection, full engines, probes,
//! pressure and slow start.

use super::script::{class, config, engine, request, Script};
use super::Boundary;
use ironstair::{ClassPolicy, Endpoint, EndpointState, LoadMetric, Outcome, PolicyConfig, Request};

/// The time at which the attempts of [`slow_down`] end, in ms.
const SLOWDOWN_AT: f64 = 2000.0;

pub(super) const BOUNDARIES: [Boundary; 22] = [
    Boundary {
        name: "an attempt that has taken as long as its objective is not overdue",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.at(1700.0).timer();
        },
        expected: [0xdfb0_1094_8cac_adc3, 0xdfb0_1094_8cac_adc3],
    },
    Boundary {
        name: "an answer sent halfway through an attempt does not overtake it",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(10.0));
            script.at(1200.0).request(1, request(200.0));
            script.at(1400.0).answer(1, Outcome::Completed(None));
        },
        expected: [0x9912_14f3_aead_e769, 0x9912_14f3_aead_e769],
    },
    Boundary {
        name: "the answer of an overtaken attempt is not lost after exactly five times its usual time",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.at(1400.0).request(1, request(100.0));
            script.at(1500.0).answer(1, Outcome::Completed(None));
        },
        expected: [0x7756_1249_287e_3fa8, 0x7756_1249_287e_3fa8],
    },
    Boundary {
        name: "five failures eject one of two engines",
        config: one_class,
        play: |script| {
            script.at(1000.0).endpoints(&[engine(0), engine(1)]);
            fail_requests(script, 5);
        },
        expected: [0x18a5_0e0b_bd6d_6c15, 0x18a5_0e0b_bd6d_6c15],
    },
    Boundary {
        name: "an engine with exactly twice the failure rate of the other one is not ejected",
        config: one_class,
        play: fail_twice_as_often,
        expected: [0x1561_97c8_44e8_a353, 0x1561_97c8_44e8_a353],
    },
    Boundary {
        name: "an ejected engine gets its recovery probe at the moment at which it is due",
        config: one_class,
        play: |script| {
            script.at(1000.0).endpoints(&[engine(0), engine(1)]);
            fail_requests(script, 5);
            script.at(1999.0).request(1, request(10.0));
            script.at(2000.0).request(2, request(10.0));
        },
        expected: [0xe474_c00c_e749_aa20, 0xe474_c00c_e749_aa20],
    },
    Boundary {
        name: "an ejected engine recovers after three successful probes",
        config: one_class,
        play: |script| {
            script.at(1000.0).endpoints(&[engine(0), engine(1)]);
            fail_requests(script, 5);
            for now in [2000.0, 3000.0, 4000.0, 5000.0] {
                script.at(now).request(0, request(10.0));
                script.at(now + 10.0).answer(0, Outcome::Completed(None));
            }
        },
        expected: [0xfc46_a65a_bb43_dfb3, 0xfc46_a65a_bb43_dfb3],
    },
    Boundary {
        name: "an answer exactly at its objective is not a failure",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.at(1700.0).answer(0, Outcome::Completed(None));
        },
        expected: [0x1d68_6c58_8858_4d76, 0x1d68_6c58_8858_4d76],
    },
    Boundary {
        name: "a late answer after exactly two and a half times its usual time is a failure",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .request(0, request(100.0))
                .cancel(0)
                .endpoints(&[engine(0)]);
            script.request(
                1,
                Request {
                    time_remaining: 2500.0,
                    is_retry: true,
                    ..request(100.0)
                },
            );
            script.at(1250.0).answer(1, Outcome::Completed(None));
        },
        expected: [0x8dce_bc9c_a1a2_7cfd, 0x8dce_bc9c_a1a2_7cfd],
    },
    Boundary {
        name: "an attempt sent at the moment of a restart belongs to the new process",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.endpoints(&[engine_started_at(1000.0)]);
            script.at(1100.0).answer(0, Outcome::EngineError);
        },
        expected: [0xe4d8_9d87_9702_1c8d, 0xe4d8_9d87_9702_1c8d],
    },
    Boundary {
        name: "a full engine gets no attempt at the moment at which its backoff ends",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.at(1100.0).answer(0, Outcome::Rejected);
            script.at(21_100.0).request(0, request(100.0));
        },
        expected: [0x454b_5eb8_c4b2_7de3, 0x454b_5eb8_c4b2_7de3],
    },
    Boundary {
        name: "the last probe token can be used",
        config: hundreds_of_probing_gateways,
        play: |script| {
            let engines: Vec<Endpoint> = (0..12).map(engine).collect();
            script.at(1000.0).endpoints(&engines);
            fill_probe_tokens(script);
            script.request(0, heavy_request());
        },
        expected: [0xf02d_15df_201a_a01b, 0xf02d_15df_201a_a01b],
    },
    Boundary {
        name: "a load report has expired at the end of its validity",
        config: hundreds_of_probing_gateways,
        play: |script| {
            script.at(1000.0).endpoints(&[engine(0)]);
            fill_probe_tokens(script);
            script.request(0, heavy_request());
            script.at(1399.0).timer().at(1400.0).timer();
        },
        expected: [0xce58_9246_5650_cd97, 0xce58_9246_5650_cd97],
    },
    Boundary {
        name: "an engine with a slowdown of exactly 1.2 is not under pressure",
        config: || unestimated_class(200.0),
        play: |script| {
            script.at(1000.0).endpoints(&[engine(0)]);
            slow_down(script, 50.0, [90.0, 90.0, 91.0]);
            // A retry with too little time remaining: under pressure it would be rejected.
            script.request(
                0,
                Request {
                    time_remaining: 2720.0,
                    is_retry: true,
                    ..unestimated_request()
                },
            );
        },
        expected: [0xb4ff_8139_8a4d_8275, 0xb4ff_8139_8a4d_8275],
    },
    Boundary {
        name: "under pressure a request that can just meet its objective is sent",
        config: || {
            // The pace of the second class is unknown, so its request is expected to take 12 ms.
            let keyed = ClassPolicy {
                base_objective: 48.0,
                preserves_key_order: true,
                ..class()
            };
            config(vec![
                ClassPolicy {
                    base_objective: 40.0,
                    ..class()
                },
                keyed,
            ])
        },
        play: |script| {
            script
                .at(SLOWDOWN_AT - 60.0)
                .endpoints(&[engine(0)])
                .quarantine_keys(SLOWDOWN_AT + 1.0);
            script.request(
                100,
                Request {
                    class: 1,
                    key: 1,
                    ..unestimated_request()
                },
            );
            slow_down(script, 10.0, [50.0, 50.0, 51.0]);
            script.quarantine_keys(SLOWDOWN_AT).timer();
        },
        expected: [0xc357_8d13_ee5d_867b, 0xc357_8d13_ee5d_867b],
    },
    Boundary {
        name: "under pressure an engine takes no more than 2.5 threads per core",
        config: || unestimated_class(40.0),
        play: |script| {
            script.at(1000.0).endpoints(&[engine(0)]);
            script.at(SLOWDOWN_AT - 52.0);
            for index in 100..120 {
                script.request(index, unestimated_request());
            }
            slow_down(script, 10.0, [50.0, 50.0, 51.0]);
            script.request(0, unestimated_request());
        },
        expected: [0x468b_7c1f_42d3_872e, 0x468b_7c1f_42d3_872e],
    },
    Boundary {
        name: "under pressure a gateway holds no more than its share of all engines",
        config: || PolicyConfig {
            gateway_count: 5.0,
            queues_when_memory_full: false,
            ..unestimated_class(40.0)
        },
        play: |script| {
            script.at(SLOWDOWN_AT - 52.0).endpoints(&[engine(0)]);
            for index in 100..108 {
                script.request(index, unestimated_request());
            }
            let draining = Endpoint {
                state: EndpointState::Draining,
                ..engine(0)
            };
            script.endpoints(&[draining, engine(1)]);
            slow_down(script, 10.0, [50.0, 50.0, 51.0]);
            script.request(0, unestimated_request());
        },
        expected: [0xf961_e61a_51a7_cdeb, 0xf961_e61a_51a7_cdeb],
    },
    Boundary {
        name: "a pace based on the work of exactly two typical requests does not become the best one",
        config: || unestimated_class(200.0),
        play: |script| {
            script
                .at(SLOWDOWN_AT - 100.0)
                .endpoints(&[engine(0)])
                .request(0, unestimated_request());
            script.at(SLOWDOWN_AT - 60.0);
            for index in 1..9 {
                script.request(index, unestimated_request());
            }
            script.at(SLOWDOWN_AT);
            for index in (1..9).chain([0]) {
                script.answer(index, Outcome::Completed(None));
            }
        },
        expected: [0x9d09_84c5_8ba2_cf4b, 0x9d09_84c5_8ba2_cf4b],
    },
    Boundary {
        name: "a cold engine takes exactly its allowance",
        config: one_class,
        play: |script| {
            script.at(1000.0).endpoints(&[engine_started_at(1000.0)]);
            let allowance = script.slow_start_allowance(0);
            script.request(
                0,
                Request {
                    time_remaining: 60_000.0,
                    ..request(allowance)
                },
            );
        },
        expected: [0x3683_472b_7344_5875, 0x3683_472b_7344_5875],
    },
    Boundary {
        name: "among hundreds of gateways a cold engine with its allowance just used up gets a request by the draw",
        config: || PolicyConfig {
            gateway_count: 300.0,
            ..one_class()
        },
        play: |script| {
            script.at(1000.0).endpoints(&[engine_started_at(1000.0)]);
            let allowance = script.slow_start_allowance(0);
            script.request(
                0,
                Request {
                    time_remaining: 60_000.0,
                    ..request(allowance)
                },
            );
            script.request(
                1,
                Request {
                    time_remaining: 60_000.0,
                    ..request(1.01 * allowance)
                },
            );
        },
        expected: [0x1f5f_dabb_bc78_3b49, 0x1f5f_dabb_bc78_3b49],
    },
    Boundary {
        name: "an engine is warm at the end of its slow start",
        config: one_class,
        play: |script| {
            script.at(1000.0).endpoints(&[engine_started_at(1000.0)]);
            script.at(8999.0).request(
                0,
                Request {
                    time_remaining: 90_000.0,
                    ..request(40_000.0)
                },
            );
            script.at(9000.0).timer();
        },
        expected: [0x8304_2855_124a_9221, 0x8304_2855_124a_9221],
    },
    Boundary {
        name: "work sent to a cold engine still counts at the end of its window",
        config: || config(vec![class(), class()]),
        play: |script| {
            script.at(1000.0).endpoints(&[engine_started_at(1000.0)]);
            let allowance = script.slow_start_allowance(0);
            let share_of_allowance = |class, share: f64| Request {
                class,
                time_remaining: 60_000.0,
                ..request(share * allowance)
            };
            script.request(0, share_of_allowance(0, 0.5));
            script
                .at(2000.0)
                .request(1, share_of_allowance(1, 0.4))
                .request(2, share_of_allowance(1, 0.4));
        },
        expected: [0x11d4_af7d_c1b5_4144, 0x11d4_af7d_c1b5_4144],
    },
];

fn one_class() -> PolicyConfig {
    config(vec![class()])
}

/// One class whose requests carry no estimate: their work is assumed to fill a quarter of this
/// objective, and the typical work of the class to fill all of it.
fn unestimated_class(objective: f64) -> PolicyConfig {
    config(vec![ClassPolicy {
        base_objective: objective,
        ..class()
    }])
}

/// Hundreds of gateways that probe engines before a request of class 1, whose threads exceed one
/// gateway's share.
fn hundreds_of_probing_gateways() -> PolicyConfig {
    let heavy = ClassPolicy {
        threads: 4.0,
        ..class()
    };
    PolicyConfig {
        gateway_count: 300.0,
        may_probe: true,
        report_fields: vec![LoadMetric::Utilization],
        ..config(vec![class(), heavy])
    }
}

fn heavy_request() -> Request {
    Request {
        class: 1,
        ..request(400.0)
    }
}

fn unestimated_request() -> Request {
    Request {
        work: None,
        ..request(0.0)
    }
}

/// Engine 0, whose process started at this time.
fn engine_started_at(started_at: f64) -> Endpoint {
    Endpoint {
        started_at,
        ..engine(0)
    }
}

/// Accumulates as many probe tokens as a gateway may have; fifteen requests are more than enough.
fn fill_probe_tokens(script: &mut Script) {
    for _ in 0..15 {
        script.request(0, request(10.0)).answer(0, Outcome::Unsent);
    }
}

/// This many requests fail one after another, each on the first engine in its order.
fn fail_requests(script: &mut Script, count: usize) {
    for _ in 0..count {
        script
            .request(0, request(10.0))
            .answer(0, Outcome::EngineError);
    }
}

/// One engine fails in four of eight attempts, the other one in five of five. A long request keeps
/// the other engine from having the least load.
fn fail_twice_as_often(script: &mut Script) {
    script
        .at(1000.0)
        .endpoints(&[engine(0), engine(1)])
        .request(1, request(100.0));
    for round in 0..4 {
        let now = 1000.0 + 20.0 * f64::from(round);
        script.at(now).request(0, request(10.0));
        script.at(now + 10.0).answer(0, Outcome::Completed(None));
        script
            .request(0, request(10.0))
            .answer(0, Outcome::EngineError);
    }
    script.request(2, request(100.0));
    fail_requests(script, 5);
}

/// Twelve attempts of the same work end on one engine at [`SLOWDOWN_AT`], so that no statistic
/// decays between them. Nine have taken as long as their work, then three the given times.
fn slow_down(script: &mut Script, work: f64, slow_durations: [f64; 3]) {
    for (index, elapsed) in slow_durations.iter().enumerate().rev() {
        script
            .at(SLOWDOWN_AT - elapsed)
            .request(index, unestimated_request());
    }
    script.at(SLOWDOWN_AT - work);
    for index in 3..12 {
        script.request(index, unestimated_request());
    }
    script.at(SLOWDOWN_AT);
    for index in (3..12).chain(0..3) {
        script.answer(index, Outcome::Completed(None));
    }
}
