//! Boundaries in the processing of a request: arrival, order, deadlines, retries, the final answer.

use super::script::{class, config, engine, request, Script};
use super::Boundary;
use ironstair::{ClassPolicy, DedupScope, Effect, Outcome, PolicyConfig, Request, RetryBudget};

pub(super) const BOUNDARIES: [Boundary; 25] = [
    Boundary {
        name: "the gateway subscribes at the moment at which it is due",
        config: || PolicyConfig {
            must_subscribe: true,
            ..one_class()
        },
        play: |script| {
            script.at(0.0).timer().at(1.0).timer();
        },
        expected: [0xa659_be6e_805c_e481, 0xa659_be6e_805c_e481],
    },
    Boundary {
        name: "a queued request is rejected at the moment at which the lease ends",
        config: one_class,
        play: |script| {
            script.at(1000.0).lease(1500.0).request(0, request(100.0));
            script.at(1499.0).timer().at(1500.0).timer();
        },
        expected: [0xddd7_10d3_3810_f8a2, 0xddd7_10d3_3810_f8a2],
    },
    Boundary {
        name: "a request is answered exactly two clock ticks before its deadline",
        config: one_class,
        play: |script| {
            script.at(1000.0).request(
                0,
                Request {
                    time_remaining: 500.0,
                    ..request(1.0)
                },
            );
            script.at(1489.0).timer().at(1490.0).timer();
        },
        expected: [0x037b_74a8_12a5_c00e, 0x037b_74a8_12a5_c00e],
    },
    Boundary {
        name: "a request that can just meet its objective stays queued",
        config: one_class,
        play: |script| {
            script.at(1000.0).request(0, request(100.0));
            script.at(1600.0).timer();
        },
        expected: [0x323c_4991_f869_6577, 0x323c_4991_f869_6577],
    },
    Boundary {
        name: "a queue of four is not full",
        config: one_class,
        play: |script| {
            script.at(1000.0);
            for index in 0..5 {
                script.request(index, request(100.0));
            }
        },
        expected: [0x1721_2af8_ebdd_0b9d, 0x1721_2af8_ebdd_0b9d],
    },
    Boundary {
        name: "a request that can just meet its objective goes before one with more work",
        config: one_class,
        play: |script| {
            script.at(1000.0).request(0, request(100.0));
            script.at(1500.0).request(1, request(200.0));
            script.at(1600.0).endpoints(&[engine(0)]);
        },
        expected: [0x2690_a57c_b5a3_fad9, 0x2690_a57c_b5a3_fad9],
    },
    Boundary {
        name: "of two equal requests the one that arrived first goes first",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .request(0, request(100.0))
                .request(1, request(100.0));
            script.at(1010.0).endpoints(&[engine(0)]);
        },
        expected: [0x3e49_d2a2_5123_5bfc, 0x3e49_d2a2_5123_5bfc],
    },
    Boundary {
        name: "a class with exactly half a thread in flight is not active",
        config: || {
            config(vec![
                ClassPolicy {
                    threads: 0.5,
                    ..class()
                },
                class(),
            ])
        },
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.at(1100.0).request(
                1,
                Request {
                    class: 1,
                    ..request(100.0)
                },
            );
        },
        expected: [0xa0c7_a58e_9eb3_06c2, 0xa0c7_a58e_9eb3_06c2],
    },
    Boundary {
        name: "a time remaining equal to the typical one lowers the typical one",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .request(0, request(100.0))
                .request(1, request(100.0));
            script.request(
                2,
                Request {
                    time_remaining: 2900.0,
                    is_retry: true,
                    ..request(100.0)
                },
            );
            script.at(1510.0).timer();
        },
        expected: [0x3622_397b_7ad6_f45b, 0x3622_397b_7ad6_f45b],
    },
    Boundary {
        name: "a time remaining equal to the objective does not indicate a retry",
        config: || PolicyConfig {
            retries_are_marked: false,
            ..one_class()
        },
        play: |script| {
            script.at(1000.0).request(0, request(100.0));
            script.request(
                1,
                Request {
                    time_remaining: 700.0,
                    ..request(100.0)
                },
            );
        },
        expected: [0x74fd_a470_493c_7f1c, 0x74fd_a470_493c_7f1c],
    },
    Boundary {
        name: "256 table groups are remembered",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0), engine(1), engine(2), engine(3), engine(4)]);
            // Group 0 has nearly all work, and therefore all engines as home engines, until the
            // table groups are cleared.
            let request_for_group = |table_group, work| Request {
                table_group,
                ..request(work)
            };
            send_and_answer(script, request_for_group(0, 100_000.0));
            for table_group in 1..257 {
                send_and_answer(script, request_for_group(table_group, 1.0));
            }
            for index in 0..8 {
                script.request(index, request_for_group(0, 100.0));
            }
        },
        expected: [0x4acb_cf1e_55a0_8c8c, 0x4acb_cf1e_55a0_8c8c],
    },
    Boundary {
        name: "the quarantine of a key is over at its end",
        config: keyed_class,
        play: |script| {
            let keyed = Request {
                key: 1,
                ..request(100.0)
            };
            script.at(1000.0).endpoints(&[engine(0)]).request(0, keyed);
            script
                .at(1100.0)
                .request(1, keyed)
                .answer(0, Outcome::ConnectionLost);
            script.at(1399.0).timer().at(1400.0).timer();
        },
        expected: [0xbae6_9c46_c225_b67d, 0xbae6_9c46_c225_b67d],
    },
    Boundary {
        name: "the quarantine of all keys is over at its end",
        config: keyed_class,
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .quarantine_keys(1500.0);
            script.request(
                0,
                Request {
                    key: 1,
                    ..request(100.0)
                },
            );
            script.at(1499.0).timer().at(1500.0).timer();
        },
        expected: [0x1607_524a_6155_a477, 0x1607_524a_6155_a477],
    },
    Boundary {
        name: "a request has exactly as many attempts as the settings allow",
        config: || PolicyConfig {
            max_attempts: 2,
            ..one_class()
        },
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.at(1010.0).attempt_ends(0, Outcome::EngineError);
            script.at(1020.0).attempt_ends(0, Outcome::EngineError);
        },
        expected: [0x4c6d_2eac_feb1_3908, 0x4c6d_2eac_feb1_3908],
    },
    Boundary {
        name: "a deduplicated request is attempted again at the end of its window",
        config: deduplicated_class,
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.at(2000.0).attempt_ends(0, Outcome::ConnectionLost);
        },
        expected: [0x2c5c_ec23_ec28_efb9, 0x2c5c_ec23_ec28_efb9],
    },
    Boundary {
        name: "a deduplicated request may be rejected at the end of its window",
        config: || PolicyConfig {
            max_attempts: 1,
            ..deduplicated_class()
        },
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.at(2000.0).attempt_ends(0, Outcome::ConnectionLost);
        },
        expected: [0x5c4a_8a25_67c1_ad09, 0x5c4a_8a25_67c1_ad09],
    },
    Boundary {
        name: "no attempt is withdrawn for another at the moment at which the lease ends",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .lease(1600.0)
                .request(0, request(100.0));
            script.at(1400.0).request(1, request(100.0));
            script.at(1600.0).answer(1, Outcome::Completed(None));
        },
        expected: [0xd2d2_48e6_03bb_d05f, 0xd2d2_48e6_03bb_d05f],
    },
    Boundary {
        name: "a retry still counts against the budget at the end of its window",
        config: || retry_budget(1.0, 0.0),
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.attempt_ends(0, Outcome::EngineError);
            script.at(1500.0).attempt_ends(0, Outcome::EngineError);
        },
        expected: [0x8214_3203_eab6_967c, 0x8214_3203_eab6_967c],
    },
    Boundary {
        name: "a request no longer adds to the budget at the end of its window",
        config: || retry_budget(0.0, 1.0),
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.at(1500.0).attempt_ends(0, Outcome::EngineError);
        },
        expected: [0x245d_6254_5b3e_3ec6, 0x245d_6254_5b3e_3ec6],
    },
    Boundary {
        name: "a budget of one allows one retry",
        config: || retry_budget(1.0, 0.0),
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.at(1010.0).attempt_ends(0, Outcome::EngineError);
        },
        expected: [0x5183_ed5c_0fb9_c307, 0x5183_ed5c_0fb9_c307],
    },
    Boundary {
        name: "an attempt that never started gives its retry back",
        config: || retry_budget(1.0, 0.0),
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.at(1010.0).attempt_ends(0, Outcome::EngineError);
            script.at(1020.0).attempt_ends(0, Outcome::Unsent);
        },
        expected: [0xf7ab_ba48_d4fe_c4d9, 0xf7ab_ba48_d4fe_c4d9],
    },
    Boundary {
        name: "progress below the last report counts as no progress",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(400.0));
            script
                .at(1100.0)
                .progress(0, 0.5)
                .at(1200.0)
                .progress(0, 0.25);
        },
        expected: [0x6124_a227_ef86_fb34, 0x6124_a227_ef86_fb34],
    },
    Boundary {
        name: "a projected time of exactly five times the usual one does not indicate a bad plan",
        config: one_class,
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
            script.at(1250.0).progress(0, 0.5);
        },
        expected: [0xcc49_ce3f_8216_2b6e, 0xcc49_ce3f_8216_2b6e],
    },
    Boundary {
        name: "a class with exactly an eighth of the highest weight has the second priority",
        config: || {
            let classes = vec![
                class(),
                ClassPolicy {
                    value: 8.0,
                    ..class()
                },
            ];
            PolicyConfig {
                honors_priorities: true,
                ..config(classes)
            }
        },
        play: |script| {
            script
                .at(1000.0)
                .endpoints(&[engine(0)])
                .request(0, request(100.0));
        },
        expected: [0x22b9_04f6_6a26_1125, 0x22b9_04f6_6a26_1125],
    },
    Boundary {
        name: "the timer is requested again when it fires on time",
        config: one_class,
        play: |script| {
            script.at(1000.0).request(0, request(100.0));
            script.at(1009.0).timer().at(1010.0).timer();
        },
        expected: [0xafc9_7f07_70cb_5f14, 0xafc9_7f07_70cb_5f14],
    },
];

fn one_class() -> PolicyConfig {
    config(vec![class()])
}

fn keyed_class() -> PolicyConfig {
    config(vec![ClassPolicy {
        preserves_key_order: true,
        ..class()
    }])
}

fn deduplicated_class() -> PolicyConfig {
    config(vec![ClassPolicy {
        effect: Effect::Deduplicated(DedupScope::AllEngines),
        ..class()
    }])
}

/// Retries are counted over 500 ms.
fn retry_budget(min_retries: f64, retry_ratio: f64) -> PolicyConfig {
    PolicyConfig {
        retry_budget: Some(RetryBudget {
            min_retries,
            retry_ratio,
            window: 500.0,
        }),
        ..one_class()
    }
}

/// Sends a request that is answered at once, so that index 0 is free again.
fn send_and_answer(script: &mut Script, request: Request) {
    script.request(0, request).answer(0, Outcome::Unsent);
}
