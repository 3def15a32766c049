//! What management costs: a gateway between stand-ins on loopback, both sides of each comparison interleaved in one
//! run. `cargo bench -p ironstair-gateway --bench management` prints the tables of docs/results/gnmi.md.

use ironstair_test_cluster::stub as common;
#[path = "../tests/managed/mod.rs"]
mod managed;

use common::{done_reply, start_engine, Client};
use hdrhistogram::Histogram;
use ironstair_gnmi::proto::gnmi::{self, subscribe_response::Response as Sent, SubscriptionMode};
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

const ROUNDS: usize = 5;

fn us(h: &Histogram<u64>, q: f64) -> u64 {
    h.value_at_quantile(q) / 1000
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap()
}

/// Median over rounds, and least to most.
fn spread(mut all: Vec<u64>) -> String {
    all.sort_unstable();
    format!(
        "{} ({} to {})",
        all[all.len() / 2],
        all[0],
        all[all.len() - 1]
    )
}

fn resident(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn processor_ms(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = text
        .rsplit_once(')')
        .unwrap()
        .1
        .split_whitespace()
        .collect();
    (fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()) * 10
}

/// Engines that are told and never asked.
fn listed(n: usize) -> Vec<(String, SocketAddr)> {
    let address = |i: usize| SocketAddr::from(([127, 9, (i / 250) as u8, 1 + (i % 250) as u8], 9));
    (0..n)
        .map(|i| (format!("engine-{i}"), address(i)))
        .collect()
}

fn reads() {
    println!(
        "\n| engines | one leaf, us | the whole tree, us | its bytes | processor for a watched second, ms |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for n in [10, 100, 1000] {
        let engines = listed(n);
        let engines: Vec<(&str, SocketAddr)> =
            engines.iter().map(|(n, a)| (n.as_str(), *a)).collect();
        let (gateway, at) = start_managed_gateway(&format!("bench-reads-{n}"), &engines);
        current_thread_runtime().block_on(async {
            let mut c = connect_without_tls(at).await;
            let (mut leaf, mut whole, mut bytes) = (Vec::new(), Vec::new(), 0);
            for _ in 0..ROUNDS {
                let (mut a, mut b) = (histogram(), histogram());
                for _ in 0..40 {
                    // Long enough apart for each to ask the gateway's thread.
                    tokio::time::sleep(Duration::from_millis(25)).await;
                    let since = Instant::now();
                    get_json(&mut c, "/state/process/name").await.unwrap();
                    a.record(since.elapsed().as_nanos() as u64).unwrap();
                    tokio::time::sleep(Duration::from_millis(25)).await;
                    let since = Instant::now();
                    let all = get_json(&mut c, "/").await.unwrap();
                    b.record(since.elapsed().as_nanos() as u64).unwrap();
                    bytes = all.to_string().len();
                }
                leaf.push(us(&a, 0.5));
                whole.push(us(&b, 0.5));
            }
            let idle = processor_ms(gateway.process.id());
            tokio::time::sleep(Duration::from_secs(3)).await;
            let idle = processor_ms(gateway.process.id()) - idle;
            let mut s = open_subscription(
                &mut c,
                subscription_request("/state", SubscriptionMode::OnChange),
            )
            .await
            .unwrap();
            let before = processor_ms(gateway.process.id());
            let reading = async { while s.message().await.is_ok() {} };
            let _ = tokio::time::timeout(Duration::from_secs(3), reading).await;
            let watched = (processor_ms(gateway.process.id()) - before).saturating_sub(idle) / 3;
            println!(
                "| {n} | {} | {} | {bytes} | {watched} |",
                spread(leaf),
                spread(whole)
            );
        });
    }
}

fn changes() {
    println!(
        "\n| subscribers | changes a second | told to each, a second | changes one message stands for |"
    );
    println!("| --- | --- | --- | --- |");
    for n in [0, 1, 50] {
        let (_gateway, at) = start_managed_gateway(&format!("bench-changes-{n}"), &[]);
        let (mut rates, mut updates_delivered, mut folded) = (Vec::new(), Vec::new(), Vec::new());
        let heard = Arc::new(AtomicU64::new(0));
        let duplicates = Arc::new(AtomicU64::new(0));
        for _ in 0..n {
            let (heard, duplicates) = (heard.clone(), duplicates.clone());
            thread::spawn(move || {
                current_thread_runtime().block_on(async {
                    let mut c = connect_without_tls(at).await;
                    let first =
                        subscription_request("/settings/advice", SubscriptionMode::OnChange);
                    let mut s = open_subscription(&mut c, first).await.unwrap();
                    while let Ok(Some(m)) = s.message().await {
                        if let Some(Sent::Update(u)) = m.response {
                            heard.fetch_add(1, Ordering::Relaxed);
                            let more: u64 = u.update.iter().map(|u| 1 + u.duplicates as u64).sum();
                            duplicates.fetch_add(more, Ordering::Relaxed);
                        }
                    }
                });
            });
        }
        current_thread_runtime().block_on(async {
            let mut c = connect_without_tls(at).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            for round in 0..ROUNDS as u32 {
                let (before, stood) = (
                    heard.load(Ordering::Relaxed),
                    duplicates.load(Ordering::Relaxed),
                );
                let (since, mut made) = (Instant::now(), 0u32);
                while since.elapsed() < Duration::from_secs(1) {
                    made += 1;
                    set_value(&mut c, "/settings/advice", json!(1 + (made + round) % 5000))
                        .await
                        .unwrap();
                }
                let seconds = since.elapsed().as_secs_f64();
                rates.push((made as f64 / seconds) as u64);
                let config = heard.load(Ordering::Relaxed) - before;
                let stood = duplicates.load(Ordering::Relaxed) - stood;
                updates_delivered.push((config as f64 / seconds / n.max(1) as f64) as u64);
                folded.push(stood / config.max(1));
            }
        });
        println!(
            "| {n} | {} | {} | {} |",
            spread(rates),
            spread(updates_delivered),
            spread(folded)
        );
    }
}

fn applying() {
    println!("\n| revisions | time of a Set, us (median) | us (99%) |");
    println!("| --- | --- | --- |");
    for kept in [false, true] {
        let (_gateway, at) =
            start_managed_gateway_with(&format!("bench-apply-{kept}"), &[], |operator, _| {
                if !kept {
                    operator["management"]
                        .as_object_mut()
                        .unwrap()
                        .remove("state");
                }
            });
        current_thread_runtime().block_on(async {
            let mut c = connect_without_tls(at).await;
            let (mut half, mut tail) = (Vec::new(), Vec::new());
            for _ in 0..ROUNDS {
                let mut h = histogram();
                for n in 0..200u32 {
                    let since = Instant::now();
                    set_value(&mut c, "/settings/advice", json!(1 + n))
                        .await
                        .unwrap();
                    h.record(since.elapsed().as_nanos() as u64).unwrap();
                }
                half.push(us(&h, 0.5));
                tail.push(us(&h, 0.99));
            }
            let how = if kept {
                "kept on disk"
            } else {
                "as long as the process"
            };
            println!("| {how} | {} | {} |", spread(half), spread(tail));
        });
    }
}

/// An engine that tells when each attempt reached it.
fn telling() -> (SocketAddr, Receiver<Instant>) {
    let (tell, config) = channel();
    let tell = Mutex::new(tell);
    let (at, _) = start_engine(move |line, _| {
        if line.starts_with("fetch") {
            let _ = tell.lock().unwrap().send(Instant::now());
            return (done_reply(line, "a\tb\tc\n"), false);
        }
        (Vec::new(), false)
    });
    (at, config)
}

/// A client of management that reads the whole tree, or changes a setting, while the gateway is busy.
fn spawn_caller(nth: u64, at: SocketAddr, busy: Arc<AtomicBool>) {
    thread::spawn(move || {
        current_thread_runtime().block_on(async {
            let mut c = connect_without_tls(at).await;
            loop {
                while !busy.load(Ordering::Relaxed) {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                match nth % 4 {
                    0 => drop(set_value(&mut c, "/settings/advice", json!(nth + 1)).await),
                    _ => drop(get_json(&mut c, "/").await),
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
    });
}

/// A subscriber to the state, while the gateway is busy.
fn spawn_subscriber(at: SocketAddr, busy: Arc<AtomicBool>) {
    thread::spawn(move || {
        current_thread_runtime().block_on(async {
            let mut c = connect_without_tls(at).await;
            loop {
                while !busy.load(Ordering::Relaxed) {
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
                let first = gnmi::SubscribeRequest {
                    request,
                    extension: Vec::new(),
                };
                let Ok(mut s) = open_subscription(&mut c, first).await else {
                    continue;
                };
                while busy.load(Ordering::Relaxed) && s.message().await.is_ok() {}
            }
        });
    });
}

fn forwarding() {
    println!("\n| management | submission to first forward, us (median) | us (99%) | us (99.9%) |");
    println!("| --- | --- | --- | --- |");
    let (real, config) = telling();
    let (gateway, at) = start_managed_gateway("bench-forwarding", &[("engine-real", real)]);
    let busy = Arc::new(AtomicBool::new(false));
    (0..20).for_each(|nth| spawn_caller(nth, at, busy.clone()));
    (0..30).for_each(|_| spawn_subscriber(at, busy.clone()));
    thread::sleep(Duration::from_millis(500));
    let mut asker = Client::connect(&gateway);
    let mut sides = [(Vec::new(), Vec::new(), Vec::new()), Default::default()];
    let mut call = 0;
    for round in 0..2 * ROUNDS {
        let side = round % 2;
        busy.store(side == 1, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(300));
        let mut h = histogram();
        for _ in 0..3000 {
            call += 1;
            while config.try_recv().is_ok() {}
            let since = Instant::now();
            asker.send_call(call);
            let there = config.recv().unwrap();
            h.record((there - since).as_nanos() as u64).unwrap();
            asker.receive_rows();
        }
        sides[side].0.push(us(&h, 0.5));
        sides[side].1.push(us(&h, 0.99));
        sides[side].2.push(us(&h, 0.999));
    }
    for (name, (a, b, c)) in ["idle", "busy"].iter().zip(sides) {
        println!("| {name} | {} | {} | {} |", spread(a), spread(b), spread(c));
    }
}

fn memory() {
    println!("\n| open streams | resident, KiB | a stream, KiB |");
    println!("| --- | --- | --- |");
    let engines = listed(100);
    let engines: Vec<(&str, SocketAddr)> = engines.iter().map(|(n, a)| (n.as_str(), *a)).collect();
    let (gateway, at) = start_managed_gateway_with("bench-memory", &engines, |operator, _| {
        operator["management"]["streams"] = json!(2000);
    });
    current_thread_runtime().block_on(async {
        let mut open = Vec::new();
        let mut clients = Vec::new();
        let mut c = connect_without_tls(at).await;
        get_json(&mut c, "/").await.unwrap();
        let first = resident(gateway.process.id());
        println!("| 0 | {first} | - |");
        for most in [10, 100, 1000] {
            while open.len() < most {
                if open.len() % 50 == 0 {
                    clients.push(connect_without_tls(at).await);
                }
                let c = clients.last_mut().unwrap();
                let mut s = open_subscription(
                    c,
                    subscription_request("/state", SubscriptionMode::OnChange),
                )
                .await
                .unwrap();
                // Up to the first word's end; then it is left to itself.
                while let Some(m) = s.message().await.unwrap() {
                    if matches!(m.response, Some(Sent::SyncResponse(_))) {
                        break;
                    }
                }
                open.push(s);
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
            let now = resident(gateway.process.id());
            println!(
                "| {most} | {now} | {} |",
                now.saturating_sub(first) / most as u64
            );
        }
    });
}

fn main() {
    // `cargo test` runs benches too, with another argument: nothing is measured then.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    reads();
    changes();
    applying();
    forwarding();
    memory();
}
