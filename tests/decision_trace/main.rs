//! A trace of decisions: guards against refactorings that alter a decision of the policy unnoticed.
//!
//! Each scenario below passes several thousand events, drawn from a seed, to the policy. Every
//! action (each call of `Actions`, in order, with its time and all arguments, floats by their bits)
//! and, at regular intervals, the views of engines and classes are folded into one hash, which is
//! compared with the expected one. One action more, less or earlier, or a difference in the last
//! bit of one argument, changes the hash.
//!
//! A change that is meant to alter decisions changes the expected hashes; the failing test prints
//! the new ones. The commit of such a change says so and gives the reason.
//!
//! The hashes hold for one platform: `powf`, `ln` and `exp` come from its mathematical library, and
//! their last bits may differ on another. They were computed on x86-64 Linux with glibc. An
//! optimized build has hashes of its own: its compiler replaces `powf` with the constant base 0.5
//! or 2 by `exp2`, which differs in the last bit for about one value in a thousand. A base that is
//! no longer a constant has the same effect there.
//!
//! The host is a plain event loop: it sends requests, ends attempts after drawn times with drawn
//! outcomes, and carries out the policy's actions. Only `RecordedActions`, `Host::call`,
//! `Host::fold_views`, `Host::check_engine_ready`, the configurations and `boundaries::script` use
//! the policy's interface. Nothing here depends on the order of a hash table.
//!
//! The scenarios in `boundaries` complete these: each brings one comparison of the policy to exact
//! equality, which randomly drawn times hardly ever do.

mod boundaries;
mod configurations;
mod hash;
mod host;
mod model;
mod random;
mod recorded_actions;

use configurations::{
    classes_of_each_effect, hundreds_of_gateways, priorities_and_grants, without_memory_queue,
};
use host::Host;
use ironstair::PolicyConfig;
use std::collections::BTreeMap;

/// Every action, call and outcome, and evidence that each rule was applied. All of them have to
/// occur in the scenarios taken together.
const MUST_OCCUR: [&str; 46] = [
    "action start_attempt",
    "action forget",
    "action log",
    "action probe",
    "action reject",
    "action fail",
    "action subscribe",
    "action set_priority",
    "action wake_after",
    "action withdraw_attempt",
    "call update_config",
    "call on_client_closed",
    "call restrict_to_cells",
    "call on_timer",
    "call begin_shutdown",
    "call on_cancel",
    "call on_attempt_ended",
    "call on_progress",
    "call on_load_report",
    "call quarantine_keys",
    "call update_endpoints",
    "call update_endpoints, full",
    "call endpoint_watch_lost",
    "call on_request",
    "call renew_lease",
    "outcome EngineError",
    "outcome Rejected",
    "outcome ConnectFailed",
    "outcome ConnectionLost",
    "outcome Completed, cost reported",
    "outcome Completed, cost unknown",
    "outcome ConnectionLostByPeerAttempt",
    "outcome TimedOut",
    "outcome Unsent",
    "outcome Withdrawn",
    // Rules that cannot be told apart by their actions alone.
    "rule answer_at_the_deadline",
    "rule handle_overdue_attempts",
    "rule reject_without_lease",
    "rule shed_load",
    "seen cold engine with its allowance used up",
    "seen further attempt",
    "seen reused index",
    "seen request to a class out of service",
    "seen recovery probe of an ejected engine",
    "seen withdrawal at a progress report",
    "seen withdrawal for a client that cancelled",
];

struct Scenario {
    name: &'static str,
    seed: u64,
    config: fn() -> PolicyConfig,
    engine_count: usize,
    /// Mean time between two requests outside of bursts, in ms.
    mean_arrival_interval: f64,
    event_count: usize,
    table_group_count: u64,
    /// The number of keys; 0 if requests have none.
    key_count: u64,
    /// The configuration changes and needs a lease, keys are quarantined, and the gateway announces
    /// shutdowns.
    has_config_changes: bool,
    /// The hash in an unoptimized build, and in an optimized one.
    expected: [u64; 2],
}

const SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "classes of each effect, keys, retry budget, cold and draining engines",
        seed: 1,
        config: classes_of_each_effect,
        engine_count: 8,
        mean_arrival_interval: 25.0,
        event_count: 20000,
        table_group_count: 12,
        key_count: 6,
        has_config_changes: false,
        expected: [0xf406_0929_d125_fa1f, 0x0aa3_f02c_ed18_40a3],
    },
    Scenario {
        name: "engines that queue for memory, memory grants and priorities",
        seed: 2,
        config: priorities_and_grants,
        engine_count: 6,
        mean_arrival_interval: 40.0,
        event_count: 15000,
        table_group_count: 5,
        key_count: 0,
        has_config_changes: false,
        expected: [0x457c_a51a_4577_6ac9, 0x7c0c_dbee_f92b_8490],
    },
    Scenario {
        name: "engines that do not queue for memory and allow no withdrawals",
        seed: 3,
        config: without_memory_queue,
        engine_count: 5,
        mean_arrival_interval: 40.0,
        event_count: 15000,
        table_group_count: 40,
        key_count: 3,
        has_config_changes: false,
        expected: [0xf468_16c6_36fa_9f7f, 0xadd8_01f2_8b1e_08cb],
    },
    Scenario {
        name: "hundreds of gateways that probe",
        seed: 4,
        config: hundreds_of_gateways,
        engine_count: 30,
        mean_arrival_interval: 150.0,
        event_count: 15000,
        table_group_count: 400,
        key_count: 0,
        has_config_changes: false,
        expected: [0x71e3_e8d7_a398_8d04, 0xd6ba_8212_cb68_4c05],
    },
    Scenario {
        name: "configuration changes, leases that end, announced shutdowns",
        seed: 5,
        config: classes_of_each_effect,
        engine_count: 7,
        mean_arrival_interval: 30.0,
        event_count: 20000,
        table_group_count: 20,
        key_count: 5,
        has_config_changes: true,
        expected: [0xca84_6ab7_c1ba_1808, 0x3e02_7990_0ee1_5a67],
    },
    Scenario {
        name: "hundreds of gateways, configuration changes",
        seed: 6,
        config: hundreds_of_gateways,
        engine_count: 12,
        mean_arrival_interval: 120.0,
        event_count: 12000,
        table_group_count: 300,
        key_count: 4,
        has_config_changes: true,
        expected: [0x10ae_9e16_b5e0_4123, 0x10e5_761e_3609_4aab],
    },
];

#[test]
fn decisions_have_the_expected_hashes() {
    let (mut counts, mut differences) = (BTreeMap::new(), String::new());
    for scenario in &SCENARIOS {
        let hash = Host::new(scenario, &mut counts).play();
        println!("{hash:#018x} {}", scenario.name);
        let (name, expected) = (
            scenario.name,
            scenario.expected[!cfg!(debug_assertions) as usize],
        );
        if hash != expected {
            differences += &format!("\n{name}: {hash:#018x}, expected {expected:#018x}");
        }
    }
    for (label, count) in &counts {
        println!("{count:7} {label}");
    }
    let missing: Vec<_> = MUST_OCCUR
        .iter()
        .filter(|label| !counts.contains_key(**label))
        .collect();
    assert!(missing.is_empty(), "never occurred: {missing:?}");
    assert!(
        differences.is_empty(),
        "hashes of scenarios whose decisions differ:{differences}"
    );
}
