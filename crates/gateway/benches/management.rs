//! The cost of management: a gateway with stub clients and engines on loopback. The two sides of each comparison are
//! interleaved in one run. `cargo bench -p ironstair-gateway --bench management` prints the tables of
//! docs/results/gnmi.md.

#[path = "../tests/managed/mod.rs"]
mod managed;

use hdrhistogram::Histogram;
use ironstair_gnmi::proto::gnmi::{self, subscribe_response::Response, SubscriptionMode};
use ironstair_test_cluster::stub::{done_reply, start_engine, Client};
use managed::{
    connect_without_tls, current_thread_runtime, get_json, open_subscription, parse_path,
    set_value, start_managed_gateway, start_managed_gateway_with, subscription_request,
};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of measurements of each figure.
const ROUNDS: usize = 5;

/// A quantile of a histogram of nanoseconds, in microseconds.
fn quantile_us(histogram: &Histogram<u64>, fraction: f64) -> u64 {
    histogram.value_at_quantile(fraction) / 1000
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap()
}

/// Formats the median, the minimum and the maximum.
fn spread(mut values: Vec<u64>) -> String {
    values.sort_unstable();
    format!(
        "{} ({} to {})",
        values[values.len() / 2],
        values[0],
        values[values.len() - 1]
    )
}

/// Resident memory of a process in KiB.
fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// CPU time that a process has used, in milliseconds. The kernel counts it in ticks of 10 ms.
fn cpu_time_ms(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .unwrap()
        .1
        .split_whitespace()
        .collect();
    (fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()) * 10
}

/// Names and addresses of engines that are in the gateway's list but never receive a request.
fn unused_engines(count: usize) -> Vec<(String, SocketAddr)> {
    let address = |index: usize| {
        SocketAddr::from(([127, 9, (index / 250) as u8, 1 + (index % 250) as u8], 9))
    };
    (0..count)
        .map(|index| (format!("engine-{index}"), address(index)))
        .collect()
}

fn measure_reads() {
    println!(
        "\n| engines | Get of one leaf, us | Get of the whole tree, us | bytes of the whole tree | CPU time per second of a subscription, ms |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for engine_count in [10, 100, 1000] {
        let engines = unused_engines(engine_count);
        let engines: Vec<(&str, SocketAddr)> = engines
            .iter()
            .map(|(name, address)| (name.as_str(), *address))
            .collect();
        let (gateway, address) =
            start_managed_gateway(&format!("bench-reads-{engine_count}"), &engines);
        current_thread_runtime().block_on(async {
            let mut client = connect_without_tls(address).await;
            let (mut leaf_us, mut tree_us, mut tree_bytes) = (Vec::new(), Vec::new(), 0);
            for _ in 0..ROUNDS {
                let (mut leaf_times, mut tree_times) = (histogram(), histogram());
                for _ in 0..40 {
                    // The pause is long enough that each read requests the state from the gateway's thread.
                    tokio::time::sleep(Duration::from_millis(25)).await;
                    let started_at = Instant::now();
                    get_json(&mut client, "/state/process/name").await.unwrap();
                    leaf_times
                        .record(started_at.elapsed().as_nanos() as u64)
                        .unwrap();
                    tokio::time::sleep(Duration::from_millis(25)).await;
                    let started_at = Instant::now();
                    let tree = get_json(&mut client, "/").await.unwrap();
                    tree_times
                        .record(started_at.elapsed().as_nanos() as u64)
                        .unwrap();
                    tree_bytes = tree.to_string().len();
                }
                leaf_us.push(quantile_us(&leaf_times, 0.5));
                tree_us.push(quantile_us(&tree_times, 0.5));
            }
            let cpu_before_idle = cpu_time_ms(gateway.process.id());
            tokio::time::sleep(Duration::from_secs(3)).await;
            let idle_cpu = cpu_time_ms(gateway.process.id()) - cpu_before_idle;
            let mut stream = open_subscription(
                &mut client,
                subscription_request("/state", SubscriptionMode::OnChange),
            )
            .await
            .unwrap();
            let cpu_before = cpu_time_ms(gateway.process.id());
            let read_stream = async { while stream.message().await.is_ok() {} };
            let _ = tokio::time::timeout(Duration::from_secs(3), read_stream).await;
            let subscription_cpu =
                (cpu_time_ms(gateway.process.id()) - cpu_before).saturating_sub(idle_cpu) / 3;
            println!(
                "| {engine_count} | {} | {} | {tree_bytes} | {subscription_cpu} |",
                spread(leaf_us),
                spread(tree_us)
            );
        });
    }
}

fn measure_changes() {
    println!(
        "\n| subscribers | changes per second | updates per second to each | changes per update |"
    );
    println!("| --- | --- | --- | --- |");
    for subscribers in [0, 1, 50] {
        let (_gateway, address) =
            start_managed_gateway(&format!("bench-changes-{subscribers}"), &[]);
        let (mut change_rates, mut update_rates, mut changes_per_update) =
            (Vec::new(), Vec::new(), Vec::new());
        let update_count = Arc::new(AtomicU64::new(0));
        // Changes that the updates stand for: an update that replaces earlier ones counts them as duplicates.
        let covered_count = Arc::new(AtomicU64::new(0));
        for _ in 0..subscribers {
            let (update_count, covered_count) = (update_count.clone(), covered_count.clone());
            thread::spawn(move || {
                current_thread_runtime().block_on(async {
                    let mut client = connect_without_tls(address).await;
                    let request =
                        subscription_request("/settings/advice", SubscriptionMode::OnChange);
                    let mut stream = open_subscription(&mut client, request).await.unwrap();
                    while let Ok(Some(message)) = stream.message().await {
                        if let Some(Response::Update(notification)) = message.response {
                            update_count.fetch_add(1, Ordering::Relaxed);
                            let updates = notification.update.iter();
                            let changes = updates.map(|update| 1 + update.duplicates as u64);
                            let covered: u64 = changes.sum();
                            covered_count.fetch_add(covered, Ordering::Relaxed);
                        }
                    }
                });
            });
        }
        current_thread_runtime().block_on(async {
            let mut client = connect_without_tls(address).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            for round in 0..ROUNDS as u32 {
                let updates_before = update_count.load(Ordering::Relaxed);
                let covered_before = covered_count.load(Ordering::Relaxed);
                let (started_at, mut change_count) = (Instant::now(), 0u32);
                while started_at.elapsed() < Duration::from_secs(1) {
                    change_count += 1;
                    let value = json!(1 + (change_count + round) % 5000);
                    set_value(&mut client, "/settings/advice", value)
                        .await
                        .unwrap();
                }
                let seconds = started_at.elapsed().as_secs_f64();
                change_rates.push((change_count as f64 / seconds) as u64);
                let updates = update_count.load(Ordering::Relaxed) - updates_before;
                let covered = covered_count.load(Ordering::Relaxed) - covered_before;
                update_rates.push((updates as f64 / seconds / subscribers.max(1) as f64) as u64);
                changes_per_update.push(covered / updates.max(1));
            }
        });
        println!(
            "| {subscribers} | {} | {} | {} |",
            spread(change_rates),
            spread(update_rates),
            spread(changes_per_update)
        );
    }
}

fn measure_set() {
    println!("\n| revisions | time of a Set, us (median) | us (99%) |");
    println!("| --- | --- | --- |");
    for is_persistent in [false, true] {
        let (_gateway, address) = start_managed_gateway_with(
            &format!("bench-apply-{is_persistent}"),
            &[],
            |operator, _| {
                if !is_persistent {
                    operator["management"]
                        .as_object_mut()
                        .unwrap()
                        .remove("state");
                }
            },
        );
        current_thread_runtime().block_on(async {
            let mut client = connect_without_tls(address).await;
            let (mut median_us, mut p99_us) = (Vec::new(), Vec::new());
            for _ in 0..ROUNDS {
                let mut times = histogram();
                for index in 0..200u32 {
                    let started_at = Instant::now();
                    set_value(&mut client, "/settings/advice", json!(1 + index))
                        .await
                        .unwrap();
                    times
                        .record(started_at.elapsed().as_nanos() as u64)
                        .unwrap();
                }
                median_us.push(quantile_us(&times, 0.5));
                p99_us.push(quantile_us(&times, 0.99));
            }
            let storage = if is_persistent {
                "stored on disk"
            } else {
                "in memory only"
            };
            println!("| {storage} | {} | {} |", spread(median_us), spread(p99_us));
        });
    }
}

/// Starts an engine that reports the arrival time of each attempt.
fn start_reporting_engine() -> (SocketAddr, Receiver<Instant>) {
    let (sender, arrivals) = channel();
    let sender = Mutex::new(sender);
    let (address, _) = start_engine(move |line, _| {
        if line.starts_with("fetch") {
            let _ = sender.lock().unwrap().send(Instant::now());
            return (done_reply(line, "a\tb\tc\n"), false);
        }
        (Vec::new(), false)
    });
    (address, arrivals)
}

/// Starts a management client. While `is_busy` is set, every fourth client changes a setting repeatedly, and the others
/// read the whole tree.
fn spawn_management_client(index: u64, address: SocketAddr, is_busy: Arc<AtomicBool>) {
    thread::spawn(move || {
        current_thread_runtime().block_on(async {
            let mut client = connect_without_tls(address).await;
            loop {
                while !is_busy.load(Ordering::Relaxed) {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                match index % 4 {
                    0 => drop(set_value(&mut client, "/settings/advice", json!(index + 1)).await),
                    _ => drop(get_json(&mut client, "/").await),
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
    });
}

/// Starts a client that subscribes to the state while `is_busy` is set.
fn spawn_subscriber(address: SocketAddr, is_busy: Arc<AtomicBool>) {
    thread::spawn(move || {
        current_thread_runtime().block_on(async {
            let mut client = connect_without_tls(address).await;
            loop {
                while !is_busy.load(Ordering::Relaxed) {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                let subscription = vec![gnmi::Subscription {
                    path: Some(parse_path("/state")),
                    mode: SubscriptionMode::Sample as i32,
                    ..Default::default()
                }];
                let list = gnmi::SubscriptionList {
                    subscription,
                    encoding: 2,
                    ..Default::default()
                };
                let request = Some(gnmi::subscribe_request::Request::Subscribe(list));
                let subscribe_request = gnmi::SubscribeRequest {
                    request,
                    extension: Vec::new(),
                };
                let Ok(mut stream) = open_subscription(&mut client, subscribe_request).await else {
                    continue;
                };
                while is_busy.load(Ordering::Relaxed) && stream.message().await.is_ok() {}
            }
        });
    });
}

fn measure_attempt_latency() {
    println!("\n| management | call to first attempt, us (median) | us (99%) | us (99.9%) |");
    println!("| --- | --- | --- | --- |");
    let (engine, arrivals) = start_reporting_engine();
    let (gateway, address) = start_managed_gateway("bench-forwarding", &[("engine-real", engine)]);
    let is_busy = Arc::new(AtomicBool::new(false));
    (0..20).for_each(|index| spawn_management_client(index, address, is_busy.clone()));
    (0..30).for_each(|_| spawn_subscriber(address, is_busy.clone()));
    thread::sleep(Duration::from_millis(500));
    let mut client = Client::connect(&gateway);
    let mut latencies_us = [(Vec::new(), Vec::new(), Vec::new()), Default::default()];
    let mut call = 0;
    for round in 0..2 * ROUNDS {
        let management = round % 2;
        is_busy.store(management == 1, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(300));
        let mut times = histogram();
        for _ in 0..3000 {
            call += 1;
            while arrivals.try_recv().is_ok() {}
            let sent_at = Instant::now();
            client.send_call(call);
            let arrived_at = arrivals.recv().unwrap();
            times
                .record((arrived_at - sent_at).as_nanos() as u64)
                .unwrap();
            client.receive_rows();
        }
        latencies_us[management].0.push(quantile_us(&times, 0.5));
        latencies_us[management].1.push(quantile_us(&times, 0.99));
        latencies_us[management].2.push(quantile_us(&times, 0.999));
    }
    for (name, (median, p99, p999)) in ["idle", "busy"].iter().zip(latencies_us) {
        println!(
            "| {name} | {} | {} | {} |",
            spread(median),
            spread(p99),
            spread(p999)
        );
    }
}

fn measure_stream_memory() {
    println!("\n| open streams | resident memory, KiB | KiB per stream |");
    println!("| --- | --- | --- |");
    let engines = unused_engines(100);
    let engines: Vec<(&str, SocketAddr)> = engines
        .iter()
        .map(|(name, address)| (name.as_str(), *address))
        .collect();
    let (gateway, address) = start_managed_gateway_with("bench-memory", &engines, |operator, _| {
        operator["management"]["streams"] = json!(2000);
    });
    current_thread_runtime().block_on(async {
        let mut streams = Vec::new();
        let mut clients = Vec::new();
        let mut client = connect_without_tls(address).await;
        get_json(&mut client, "/").await.unwrap();
        let initial_kib = resident_kib(gateway.process.id());
        println!("| 0 | {initial_kib} | - |");
        for stream_count in [10, 100, 1000] {
            while streams.len() < stream_count {
                if streams.len() % 50 == 0 {
                    clients.push(connect_without_tls(address).await);
                }
                let client = clients.last_mut().unwrap();
                let mut stream = open_subscription(
                    client,
                    subscription_request("/state", SubscriptionMode::OnChange),
                )
                .await
                .unwrap();
                // The stream is read up to the sync response, which ends the initial updates, and stays open unread.
                while let Some(message) = stream.message().await.unwrap() {
                    if matches!(message.response, Some(Response::SyncResponse(_))) {
                        break;
                    }
                }
                streams.push(stream);
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
            let current_kib = resident_kib(gateway.process.id());
            println!(
                "| {stream_count} | {current_kib} | {} |",
                current_kib.saturating_sub(initial_kib) / stream_count as u64
            );
        }
    });
}

fn main() {
    // `cargo test` runs benchmarks without `--bench`, and then nothing is measured.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    measure_reads();
    measure_changes();
    measure_set();
    measure_attempt_latency();
    measure_stream_memory();
}
