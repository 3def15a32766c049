//! Settings change, engines drain and connections to engines break while clients keep requests in flight.
//!
//! The test guards against requests that get no answer, a second one or a late one because the settings by which they
//! were accepted have changed, and against requests with side effects that are sent twice.

use crate::managed::{
    connect_without_tls, current_thread_runtime, set_value, start_managed_gateway, GnmiClient,
};
use crate::support::start_slow_engine_that_disconnects;
use ironstair_test_cluster::stub::{
    engine_list_answer, request_id, Client, NameServiceAnswer, RecordedLines,
};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tonic::Status;

const ENGINE_NAMES: [&str; 4] = ["e1", "e2", "e3", "e4"];
/// The number of clients.
const CLIENTS: u64 = 8;
const MIN_REQUESTS_PER_CLIENT: usize = 100;
const MAX_OPEN_PER_CLIENT: usize = 12;
/// The load lasts until this many changes have been attempted. A duration would not do, because a slow machine makes
/// fewer changes in the same time.
const MIN_CHANGES_ATTEMPTED: u64 = 36;
/// The clients' deadline of 4 s, and 0.3 s until the client has read the answer.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(4300);

#[derive(Default)]
struct ChangeCounts {
    accepted: u32,
    refused: u32,
}

/// The answers to one client's requests.
struct ClientResult {
    /// The error code of the answer to each call; `None` if the answer has rows.
    codes: BTreeMap<u64, Option<i64>>,
    slowest: Duration,
    requested: usize,
}

/// Attempts one of six changes, by turns. The last one is refused, because it changes a setting that is fixed for a
/// class.
async fn make_change(client: &mut GnmiClient, index: u64) -> Result<(), Status> {
    match index % 6 {
        0 => {
            let payoff = json!(format!("{}.5", index % 9 + 1));
            set_value(client, "/settings/band[name=lookup]/payoff", payoff).await
        }
        1 => {
            let objective_ms = json!(500 + index % 900);
            set_value(client, "/settings/band[name=report]/expected", objective_ms).await
        }
        2 => {
            let retry_budget =
                json!({"spare": 5 + index % 50, "share": "0.5", "span": 1000 + index % 5000});
            set_value(client, "/settings/ration", retry_budget).await
        }
        3 => set_value(client, "/settings/gateways", json!(1 + index % 3)).await,
        4 => set_value(client, "/settings/forwards-most", json!(2 + index % 5)).await,
        _ => set_value(client, "/settings/band[name=post]/threads", json!(7)).await,
    }
}

/// Attempts a change of the settings every 5 ms until `stop` is set. `attempted` counts the attempts.
fn spawn_changer(
    gnmi_address: SocketAddr,
    stop: Arc<AtomicBool>,
    attempted: Arc<AtomicU64>,
) -> JoinHandle<ChangeCounts> {
    thread::spawn(move || {
        current_thread_runtime().block_on(async {
            let mut client = connect_without_tls(gnmi_address).await;
            let mut counts = ChangeCounts::default();
            let mut index = 0;
            while !stop.load(Ordering::Relaxed) {
                match make_change(&mut client, index).await {
                    Ok(()) => counts.accepted += 1,
                    Err(_) => counts.refused += 1,
                }
                index += 1;
                attempted.store(index, Ordering::Relaxed);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            counts
        })
    })
}

/// Has the name service list the last engine by turns as draining and as ready, and changes that every 300 ms until
/// `stop` is set.
fn spawn_drain_toggler(
    engines: Vec<SocketAddr>,
    name_answer: NameServiceAnswer,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        for serial in 2.. {
            let state = |index: usize| u16::from(serial % 2 == 0 && index == 3);
            let listed: Vec<(&str, SocketAddr, u16)> = ENGINE_NAMES
                .iter()
                .zip(&engines)
                .enumerate()
                .map(|(index, (name, address))| (*name, *address, state(index)))
                .collect();
            *name_answer.lock().unwrap() = engine_list_answer(serial, &listed);
            thread::sleep(Duration::from_millis(300));
            if stop.load(Ordering::Relaxed) {
                return;
            }
        }
    })
}

/// Keeps requests of all classes open until enough requests are sent and enough changes attempted, and reads all
/// answers. Panics at a second answer to a request.
fn spawn_client(
    client_number: u64,
    mut client: Client,
    attempted: Arc<AtomicU64>,
) -> JoinHandle<ClientResult> {
    thread::spawn(move || {
        let mut open_calls: BTreeMap<u64, Instant> = BTreeMap::new();
        let mut result = ClientResult {
            codes: BTreeMap::new(),
            slowest: Duration::ZERO,
            requested: 0,
        };
        let has_more_to_request = |requested: usize| {
            requested < MIN_REQUESTS_PER_CLIENT
                || attempted.load(Ordering::Relaxed) < MIN_CHANGES_ATTEMPTED
        };
        while result.codes.len() < result.requested || has_more_to_request(result.requested) {
            while has_more_to_request(result.requested) && open_calls.len() < MAX_OPEN_PER_CLIENT {
                result.requested += 1;
                let call = client_number * 1_000_000 + result.requested as u64;
                client.send_call_of_class(["lookup", "report", "post"][result.requested % 3], call);
                open_calls.insert(call, Instant::now());
            }
            let reply = client.receive();
            let call = reply["id"].as_u64().unwrap();
            let sent_at = open_calls
                .remove(&call)
                .unwrap_or_else(|| panic!("an answer to no open call: {reply}"));
            result.slowest = result.slowest.max(sent_at.elapsed());
            let code = reply["error"]["code"].as_i64();
            result.codes.insert(call, code);
        }
        assert_nothing_more_comes(&mut client);
        result
    })
}

/// Asserts that nothing is received after the last answer: a further message would be a second answer to a request.
fn assert_nothing_more_comes(client: &mut Client) {
    let socket = client.0.get_mut();
    socket
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let read = std::io::Read::read(&mut client.0, &mut [0; 16]);
    assert!(
        read.is_err(),
        "a message was received after the last answer"
    );
}

/// Asserts that the engines received each request of the class `post` once. Such a request has side effects and may
/// have run as soon as it was sent, so it must not be sent again.
fn assert_requests_with_effect_sent_once(engines: &[(SocketAddr, RecordedLines)]) {
    let mut attempts: BTreeMap<String, u32> = BTreeMap::new();
    for line in engines
        .iter()
        .flat_map(|engine| engine.1.lock().unwrap().clone())
    {
        if line.starts_with("fetch") && line.contains(" c=post,") {
            *attempts.entry(request_id(&line).to_owned()).or_default() += 1;
        }
    }
    assert!(attempts.len() > 200, "{}", attempts.len());
    assert!(attempts.values().all(|count| *count == 1), "{attempts:?}");
}

fn assert_each_answered_in_time(results: &[ClientResult]) {
    let codes: Vec<Option<i64>> = results
        .iter()
        .flat_map(|result| result.codes.values().copied())
        .collect();
    let calls_with_rows: BTreeSet<u64> = results
        .iter()
        .flat_map(|result| &result.codes)
        .filter(|(_, code)| code.is_none())
        .map(|(call, _)| *call)
        .collect();
    let with_rows = calls_with_rows.len();
    let requested: usize = results.iter().map(|result| result.requested).sum();
    assert_eq!(codes.len(), requested, "each request must have one answer");
    assert!(
        results
            .iter()
            .all(|result| result.slowest < MAX_ANSWER_TIME),
        "each answer must arrive within {MAX_ANSWER_TIME:?}"
    );
    assert!(
        with_rows * 10 > requested * 8,
        "{with_rows} of {requested} answers have rows"
    );
}

#[test]
fn requests_get_one_answer_in_time_while_settings_change_under_load() {
    // The first two engines close the connection, with all attempts that are open on it, at every 23rd fetch.
    let engines: Vec<(SocketAddr, RecordedLines)> = (0..4)
        .map(|index| {
            let latency = Duration::from_millis(4 + 3 * index);
            start_slow_engine_that_disconnects(latency, move |fetch| index < 2 && fetch % 23 == 22)
        })
        .collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.0).collect();
    let listed: Vec<(&str, SocketAddr)> = ENGINE_NAMES
        .into_iter()
        .zip(addresses.iter().copied())
        .collect();
    let (gateway, gnmi_address) = start_managed_gateway("case-1", &listed);
    let stop = Arc::new(AtomicBool::new(false));
    let attempted = Arc::new(AtomicU64::new(0));

    let changer = spawn_changer(gnmi_address, stop.clone(), attempted.clone());
    let drains = spawn_drain_toggler(addresses, gateway.name_answer.clone(), stop.clone());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| spawn_client(number, Client::connect(&gateway), attempted.clone()))
        .collect();
    let results: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    stop.store(true, Ordering::Relaxed);
    let counts = changer.join().unwrap();
    drains.join().unwrap();

    assert_each_answered_in_time(&results);
    let ChangeCounts { accepted, refused } = counts;
    assert!(
        accepted > 20 && refused > 3,
        "{accepted} changes accepted, {refused} refused"
    );
    assert_requests_with_effect_sent_once(&engines);
}
