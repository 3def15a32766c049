//! Tenants confined to cells: tests of the built gateway process against stubs on loopback.

mod managed;

use ironstair_test_cluster::stub::{
    done_reply, engine_list_answer, gateway_config, request_id, start_engine,
    start_gateway_with_config, Client, Gateway, RecordedLines,
};
use managed::{connect_without_tls, current_thread_runtime, get_json, set_value};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Sends a call of a class for a tenant, with the statement `select 1`.
fn call_for_tenant(client: &mut Client, class: &str, call: u64, tenant: &str) {
    client.send(&format!(
        r#"{{"jsonrpc":"2.0","id":{call},"method":"{class}","params":{{"id":"{call:016x}","wait":4000,"bytes":"c2VsZWN0IDE=","tenant":"{tenant}"}}}}"#
    ));
}

/// An operator file with engine e1 in cell a and e2 in cell b. `without_capacity` says what happens to requests whose
/// cells have no ready engine.
fn two_cells(without_capacity: Value) -> Value {
    json!({"cells": {
        "names": {"a": 1, "b": 1},
        "named_by_clients": true,
        "engines": {"e1": "a", "e2": "b"},
        "tenants": {"t1": ["a"], "t2": ["b"], "both": ["a", "b"]},
        "without": without_capacity,
    }})
}

/// An engine that answers every attempt with a row.
struct AnsweringEngine {
    address: SocketAddr,
    recorded_lines: RecordedLines,
}

impl AnsweringEngine {
    fn start() -> AnsweringEngine {
        let (address, recorded_lines) =
            start_engine(|line, _| (done_reply(line, "a\tb\tc\n"), false));
        AnsweringEngine {
            address,
            recorded_lines,
        }
    }

    /// The calls of which an attempt reached this engine.
    fn calls(&self) -> BTreeSet<u64> {
        let lines = self.recorded_lines.lock().unwrap();
        let fetches = lines.iter().filter(|line| line.starts_with("fetch"));
        fetches
            .map(|line| u64::from_str_radix(request_id(line), 16).unwrap())
            .collect()
    }
}

fn start_with_two_engines(test: &str, operator: Option<Value>) -> (Gateway, [AnsweringEngine; 2]) {
    let engines = [AnsweringEngine::start(), AnsweringEngine::start()];
    let named_engines = [("e1", engines[0].address), ("e2", engines[1].address)];
    let class = json!({"name": "lookup", "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0});
    let (config, name_answer) = gateway_config(1, json!([class]), &named_engines);
    (
        start_gateway_with_config(test, config, name_answer, operator),
        engines,
    )
}

/// Makes calls 1 to 30 for tenant t1 and 31 to 60 for t2, in batches of fifteen, and waits for their rows.
fn make_calls_of_two_tenants(client: &mut Client) {
    for batch in 0..4 {
        for index in 0..15 {
            let call = 1 + batch * 15 + index;
            let tenant = if call <= 30 { "t1" } else { "t2" };
            call_for_tenant(client, "lookup", call, tenant);
        }
        (0..15).for_each(|_| drop(client.receive_rows()));
    }
}

#[test]
fn requests_of_a_tenant_reach_only_engines_of_its_cell() {
    // A request that is sent to an engine of another cell spreads one tenant's load or faults to other tenants.
    let (gateway, engines) =
        start_with_two_engines("cells", Some(two_cells(json!({"turn_back": 500}))));
    make_calls_of_two_tenants(&mut Client::connect(&gateway));
    assert_eq!(engines[0].calls(), (1..=30).collect());
    assert_eq!(engines[1].calls(), (31..=60).collect());
}

#[test]
fn both_tenants_reach_the_same_engines_when_cells_are_off() {
    // The control for the test above: without cells its assertions do not hold, so it is the cells that separate the
    // tenants.
    let (gateway, engines) = start_with_two_engines("cells-off", None);
    make_calls_of_two_tenants(&mut Client::connect(&gateway));
    let engines_reached_by = |calls: std::ops::RangeInclusive<u64>| {
        engines
            .iter()
            .filter(|engine| calls.clone().any(|call| engine.calls().contains(&call)))
            .count()
    };
    // All statements are of one table group, so the preferred engines are the same for both tenants.
    assert_eq!(engines_reached_by(1..=30), engines_reached_by(31..=60));
    assert!(engines.iter().any(|engine| {
        let calls = engine.calls();
        calls.iter().any(|call| *call <= 30) && calls.iter().any(|call| *call > 30)
    }));
}

/// Makes calls for tenant t1 until one is rejected because its cell has no ready engine any more.
fn wait_until_cell_has_no_engine(client: &mut Client) {
    let deadline = Instant::now() + Duration::from_secs(5);
    for call in 1000.. {
        call_for_tenant(client, "lookup", call, "t1");
        if client.receive()["error"].is_object() {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "the gateway has not received the list with the draining engine"
        );
    }
}

#[test]
fn cell_without_ready_engine_rejects_or_lends_at_once_and_affects_no_other() {
    // Requests of a cell without a ready engine must not wait for one, and must not slow down other tenants. Of the
    // twenty requests none is lent to the other cell with `turn_back`, and half of them are with a `lend` of 0.5.
    for (test, without_capacity, expected_lent_count) in [
        ("cells-back", json!({"turn_back": 500}), 0),
        ("cells-lend", json!({"lend": 0.5}), 10),
    ] {
        let (gateway, engines) = start_with_two_engines(test, Some(two_cells(without_capacity)));
        // Engine e1 is draining, so cell a has no ready engine.
        let list = [("e1", engines[0].address, 1), ("e2", engines[1].address, 0)];
        *gateway.name_answer.lock().unwrap() = engine_list_answer(2, &list);
        let mut client = Client::connect(&gateway);
        wait_until_cell_has_no_engine(&mut client);
        let calls_before = engines[0].calls();
        let mut lent_count: u32 = 0;
        let started_at = Instant::now();
        for call in 1..=20 {
            call_for_tenant(&mut client, "lookup", call, "t1");
            lent_count += client.receive()["result"].is_object() as u32;
            call_for_tenant(&mut client, "lookup", 100 + call, "t2");
            assert_eq!(client.receive_rows().0, 100 + call);
            call_for_tenant(&mut client, "lookup", 200 + call, "both");
            assert_eq!(client.receive_rows().0, 200 + call);
        }
        assert!(
            started_at.elapsed() < Duration::from_secs(2),
            "requests are answered at once"
        );
        assert_eq!(
            engines[0].calls(),
            calls_before,
            "a draining engine gets no new requests"
        );
        assert!(
            lent_count.abs_diff(expected_lent_count) <= 1,
            "{lent_count} lent"
        );
    }
}

/// The attempts that an engine has received, in order.
type ReceivedAttempts = Arc<Mutex<Vec<ReceivedAttempt>>>;

/// The line of an attempt, and when the engine received it.
struct ReceivedAttempt {
    line: String,
    received_at: Instant,
}

/// An engine that closes the connection at every n-th attempt, and answers all others with a row.
struct FailingEngine {
    address: SocketAddr,
    received: ReceivedAttempts,
}

impl FailingEngine {
    fn start(fails_every: usize) -> FailingEngine {
        let attempt_count = AtomicUsize::new(0);
        let received = ReceivedAttempts::default();
        let shared = Arc::clone(&received);
        let (address, _) = start_engine(move |line, _| {
            if !line.starts_with("fetch") {
                return (Vec::new(), false);
            }
            shared.lock().unwrap().push(ReceivedAttempt {
                line: line.to_owned(),
                received_at: Instant::now(),
            });
            std::thread::sleep(Duration::from_millis(3));
            match attempt_count.fetch_add(1, Ordering::Relaxed) % fails_every == fails_every - 1 {
                true => (Vec::new(), true),
                false => (done_reply(line, "a\tb\tc\n"), false),
            }
        });
        FailingEngine { address, received }
    }

    fn attempt_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

/// The engines of the migration tests, two in each of the cells a, b and c. Those of cell c never fail.
const ENGINE_NAMES: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];
/// By engine, how often it fails: at every n-th attempt.
const FAILS_EVERY: [usize; 6] = [19, 23, 17, 29, NEVER, NEVER];
const NEVER: usize = usize::MAX;
const ENGINES_OF_CELL_A: std::ops::Range<usize> = 0..2;
const ENGINES_OF_CELL_B: std::ops::Range<usize> = 2..4;
/// Clients 0 to 3 call for tenant t1, which is in cell a at first. Clients 4 and 5 call for t2, which is in cell c.
const CLIENT_COUNT: u64 = 6;
const CLIENTS_OF_FIRST_TENANT: u64 = 4;
const CALLS_PER_CLIENT: u64 = 200;
const MAX_OPEN_CALLS: usize = 16;
/// The call ids of client n begin at n times this.
const CALL_IDS_PER_CLIENT: u64 = 1000;
/// An attempt that was under way when the migration command returned may reach its engine this much later.
const LATE_ATTEMPT_TOLERANCE: Duration = Duration::from_millis(500);

fn start_gateway_of_three_cells(test: &str, engines: &[FailingEngine]) -> (Gateway, SocketAddr) {
    let named_engines: Vec<(&str, SocketAddr)> = ENGINE_NAMES
        .iter()
        .zip(engines)
        .map(|(name, engine)| (*name, engine.address))
        .collect();
    let class = |name: &str, semantics: &str| json!({"name": name, "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": semantics, "worth": 1.0});
    let classes = json!([class("lookup", "pure"), class("post", "side_effect")]);
    let (config, name_answer) = gateway_config(1, classes, &named_engines);
    let listen: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    let management = SocketAddr::new(listen.ip(), 9339);
    let cell_by_engine: serde_json::Map<String, Value> = ENGINE_NAMES
        .iter()
        .map(|name| (name.to_string(), json!(name[..1])))
        .collect();
    let operator = json!({
        "management": {"listen": management.to_string()},
        "cells": {
            "names": {"a": 1, "b": 1, "c": 1},
            "named_by_clients": true,
            "engines": cell_by_engine,
            "tenants": {"t1": ["a"], "t2": ["c"]},
        },
    });
    (
        start_gateway_with_config(test, config, name_answer, Some(operator)),
        management,
    )
}

/// Makes one client's calls, and returns how many were answered with rows.
///
/// # Panics
///
/// At a second answer to a call.
fn make_calls_of_client(mut client: Client, client_index: u64) -> u32 {
    let tenant = match client_index < CLIENTS_OF_FIRST_TENANT {
        true => "t1",
        false => "t2",
    };
    let mut open_calls = BTreeSet::new();
    let mut settled_count = 0;
    let mut sent_count = 0;
    for _ in 0..CALLS_PER_CLIENT {
        while sent_count < CALLS_PER_CLIENT && open_calls.len() < MAX_OPEN_CALLS {
            sent_count += 1;
            let call = client_index * CALL_IDS_PER_CLIENT + sent_count;
            let class = ["lookup", "post"][sent_count as usize % 2];
            call_for_tenant(&mut client, class, call, tenant);
            open_calls.insert(call);
        }
        let answer = client.receive();
        assert!(
            open_calls.remove(&answer["id"].as_u64().unwrap()),
            "second answer to a call: {answer}"
        );
        settled_count += answer["result"].is_object() as u32;
    }
    settled_count
}

/// Asserts that migrations to a cell that doesn't exist or has no ready engine are refused.
fn assert_impossible_migrations_are_refused(management: SocketAddr) {
    const CELLS_OF_TENANT: &str = "/settings/cells/tenant[name=t1]/cell";
    current_thread_runtime().block_on(async {
        let mut gnmi = connect_without_tls(management).await;
        assert_eq!(
            get_json(&mut gnmi, "/state/engine[name=a1]/cell")
                .await
                .unwrap(),
            json!("a")
        );
        let refusal = set_value(&mut gnmi, CELLS_OF_TENANT, json!(["z"]))
            .await
            .unwrap_err();
        assert!(
            refusal.message().contains("cell z does not exist"),
            "{refusal:?}"
        );
        let weight_of_new_cell = "/settings/cells/cell[name=empty]/weight";
        set_value(&mut gnmi, weight_of_new_cell, json!("0.0"))
            .await
            .unwrap();
        let refusal = set_value(&mut gnmi, CELLS_OF_TENANT, json!(["empty"]))
            .await
            .unwrap_err();
        assert!(
            refusal
                .message()
                .ends_with("no engine of the target cells is ready"),
            "{refusal:?}"
        );
    });
}

/// Migrates tenant t1 to cell b with the command-line tool, and returns the time at which the command finished.
fn migrate_first_tenant(management: SocketAddr) -> Instant {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_ironstair"))
        .args(["move", "t1", "b", "--at", &management.to_string()])
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    Instant::now()
}

/// Asserts that each tenant's attempts reached only engines of its cells, and that no request of class `post` was sent
/// twice. Returns the time at which the last attempt reached cell a.
fn assert_attempts_in_cells(engines: &[FailingEngine], is_migrated: bool) -> Option<Instant> {
    let first_call_of_second_tenant = CLIENTS_OF_FIRST_TENANT * CALL_IDS_PER_CLIENT;
    let mut attempts_by_request: BTreeMap<String, u32> = BTreeMap::new();
    let mut last_in_cell_a = None;
    for (index, engine) in engines.iter().enumerate() {
        for attempt in engine.received.lock().unwrap().iter() {
            let line = &attempt.line;
            let call = u64::from_str_radix(request_id(line), 16).unwrap();
            let is_of_first_tenant = call < first_call_of_second_tenant;
            let is_cell_a_or_b = index < ENGINES_OF_CELL_B.end;
            assert_eq!(
                is_of_first_tenant, is_cell_a_or_b,
                "{line} at {}",
                ENGINE_NAMES[index]
            );
            if line.contains(" c=post,") {
                *attempts_by_request
                    .entry(request_id(line).into())
                    .or_default() += 1;
            }
            if ENGINES_OF_CELL_A.contains(&index) {
                last_in_cell_a = last_in_cell_a.max(Some(attempt.received_at));
            }
            assert!(
                is_migrated || !ENGINES_OF_CELL_B.contains(&index),
                "an attempt reached cell b, to which no tenant was assigned"
            );
        }
    }
    assert!(
        attempts_by_request.values().all(|count| *count == 1),
        "a non-idempotent request was sent twice"
    );
    last_in_cell_a
}

/// Makes both tenants' calls, and checks their answers and attempts. If `is_migrated`, tenant t1 is migrated from cell
/// a to cell b meanwhile.
fn run_tenants_with_failing_engines(test: &str, is_migrated: bool) {
    let engines = FAILS_EVERY.map(FailingEngine::start);
    let (gateway, management) = start_gateway_of_three_cells(test, &engines);
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|client_index| {
            let client = Client::connect(&gateway);
            std::thread::spawn(move || make_calls_of_client(client, client_index))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(80));
    let migrated_at = is_migrated.then(|| {
        assert_impossible_migrations_are_refused(management);
        migrate_first_tenant(management)
    });
    let settled_counts: Vec<u32> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    assert!(
        settled_counts[CLIENTS_OF_FIRST_TENANT as usize..]
            .iter()
            .all(|count| u64::from(*count) == CALLS_PER_CLIENT),
        "calls of the other tenant, whose engines never fail, were not all answered: {settled_counts:?}"
    );
    assert!(
        settled_counts.iter().sum::<u32>() > 1000,
        "{settled_counts:?}"
    );
    let last_in_cell_a = assert_attempts_in_cells(&engines, is_migrated);
    if let (Some(migrated_at), Some(last_attempt_at)) = (migrated_at, last_in_cell_a) {
        assert!(
            last_attempt_at < migrated_at + LATE_ATTEMPT_TOLERANCE,
            "{:?} after the migration",
            last_attempt_at - migrated_at
        );
        let in_cell_b: usize = engines[ENGINES_OF_CELL_B]
            .iter()
            .map(FailingEngine::attempt_count)
            .sum();
        assert!(in_cell_b > 100);
    }
}

#[test]
fn tenant_migrates_under_load_while_engines_of_both_cells_fail() {
    // Case 1 of the design. A migration must not send attempts to the former cell, send non-idempotent requests again
    // or affect another tenant, even if engines fail while it is applied.
    run_tenants_with_failing_engines("cells-move", true);
}

#[test]
fn requests_of_a_tenant_that_does_not_migrate_stay_in_its_cell() {
    // The control for the test above: without a migration, failing engines alone send no request to another cell.
    run_tenants_with_failing_engines("cells-stay", false);
}
