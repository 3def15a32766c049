//! CPU time per call as the list of engines grows: of a gateway process with stub clients and engines on loopback, and
//! of the policy alone. `cargo bench -p ironstair-gateway --bench calls`

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use ironstair::policy::Gateway as Policy;
use ironstair::{Actions, Cost, Endpoint, EndpointState, Millis, Outcome, Request};
use ironstair_test_cluster::stub::{
    done_reply, gateway_config, start_engine, start_gateway_with_config, Client,
};
use serde_json::json;
use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

/// Number of measurements of each figure.
const ROUNDS: usize = 5;
/// Numbers of engines in the list.
const LIST_SIZES: [usize; 3] = [10, 100, 1000];

/// Formats the median, the minimum and the maximum.
fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    format!(
        "{:.1} ({:.1} to {:.1})",
        values[values.len() / 2],
        values[0],
        values[values.len() - 1]
    )
}

/// CPU time that a process has used, in microseconds. The kernel counts it in ticks of 10 ms.
fn cpu_time_us(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .unwrap()
        .1
        .split_whitespace()
        .collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) * 1e4
}

/// Remembers the request of the last attempt that the policy started, and ignores all other actions.
#[derive(Default)]
struct ActionExecutor {
    started_request: Option<usize>,
}

impl Actions for ActionExecutor {
    fn start_attempt(&mut self, request: usize, _engine: usize, _by: Millis) {
        self.started_request = Some(request);
    }
    fn withdraw_attempt(&mut self, _: usize, _: u8) {}
    fn set_priority(&mut self, _: usize, _: u8, _: f64) {}
    fn reject(&mut self, _: usize, _: Millis) {}
    fn fail(&mut self, _: usize) {}
    fn subscribe(&mut self) {}
    fn probe(&mut self, _: usize) {}
    fn wake_after(&mut self, _: Millis) {}
    fn log(&mut self, _: &str) {}
    fn forget(&mut self, _: usize) {}
}

fn measure_policy() {
    println!("\n| engines | policy CPU time per call, us | with 8 cells |");
    println!("| --- | --- | --- |");
    for size in LIST_SIZES {
        let mut costs_by_cells = [Vec::new(), Vec::new()];
        for round in 0..2 * ROUNDS {
            let has_cells = round % 2 == 1;
            let policy_config = ironstair_settings::read_policy_config(
                json!({"classes": [{"name": "lookup", "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0}],
                    "fleet_size": 4, "machine_types": ["m"], "dcs": ["a"], "registry_mode": "automatic", "resolution_ns": 1e6,
                    "family_info": {"size_cores": [16], "ram_of_kind_mb": [32768.0], "threads_by_class": [1]},
                    "guarantees": {"cold_from": 0.3, "warm_after_ns": 15e9, "overload_factor": 4.0, "fall_ns": 1e9},
                    "policy_limits": {"max_attempts": 6, "may_cancel": true}})
                .to_string()
                .as_bytes(),
            );
            let mut policy = Policy::new(policy_config.unwrap(), 7);
            let mut executor = ActionExecutor::default();
            let endpoints: Vec<Endpoint> = (0..size)
                .map(|engine| Endpoint {
                    engine,
                    id: 0x9E37_79B9_7F4A_7C15u64.wrapping_mul(engine as u64 + 1),
                    cells: 1 << (engine % 8),
                    state: EndpointState::Ready,
                    ..Endpoint::default()
                })
                .collect();
            policy.update_endpoints(1.0, true, &endpoints, &mut executor);
            let calls = 20_000;
            let started_at = Instant::now();
            for call in 0..calls {
                let now = 2.0 + call as f64 / 10.0;
                let cells = if has_cells { 1 << (call % 8) } else { 0 };
                let request = Request {
                    time_remaining: 5000.0,
                    table_group: call % 40,
                    cells,
                    ..Request::default()
                };
                policy.on_request(now, call as usize % 64, request, &mut executor);
                if let Some(started_request) = executor.started_request.take() {
                    policy.on_attempt_ended(
                        now + 0.05,
                        started_request,
                        Outcome::Completed(Some(Cost {
                            work: 1.0,
                            memory_mb: 0.0,
                        })),
                        true,
                        &mut executor,
                    );
                }
            }
            costs_by_cells[has_cells as usize]
                .push(started_at.elapsed().as_secs_f64() * 1e6 / calls as f64);
        }
        let [without, with] = costs_by_cells;
        println!("| {size} | {} | {} |", spread(without), spread(with));
    }
}

/// Sends a call whose statement names one of `group_count` table groups. Each group prefers its own engines.
fn send_call(client: &mut Client, call: u64, group_count: u64) {
    let bytes = STANDARD.encode(format!("select x from sales_{}.orders", call % group_count));
    client.send(&format!(
        r#"{{"jsonrpc":"2.0","id":{call},"method":"lookup","params":{{"id":"{call:016x}","wait":4000,"bytes":"{bytes}"}}}}"#
    ));
}

fn measure_gateway(group_count: u64) {
    println!("\nTable groups: {group_count}\n\n| engines | CPU time per call, us | calls per second | resident memory, KiB |");
    println!("| --- | --- | --- | --- |");
    for size in LIST_SIZES {
        // The list names all engines, but their addresses are those of eight stub engines that answer immediately.
        let addresses: Vec<SocketAddr> = (0..8)
            .map(|_| start_engine(|line, _| (done_reply(line, "a\tb\tc\n"), false)).0)
            .collect();
        let names: Vec<String> = (0..size).map(|index| format!("engine-{index}")).collect();
        let named_engines: Vec<(&str, SocketAddr)> = names
            .iter()
            .enumerate()
            .map(|(index, name)| (name.as_str(), addresses[index % 8]))
            .collect();
        let class = json!({"name": "lookup", "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0});
        let (mut config, name_answer) = gateway_config(1, json!([class]), &named_engines);
        config["limits"] = json!({"memory_mb": 512, "sockets": 8192});
        let gateway = start_gateway_with_config(
            &format!("bench-calls-{group_count}-{size}"),
            config,
            name_answer,
            None,
        );
        let (mut costs_us, mut rates) = (Vec::new(), Vec::new());
        for round in 0..ROUNDS as u64 {
            let (cpu_before_us, started_at) = (cpu_time_us(gateway.process.id()), Instant::now());
            let tasks: Vec<_> = (0..32u64)
                .map(|client_index| {
                    let mut client = Client::connect(&gateway);
                    thread::spawn(move || {
                        let first_call = (round * 32 + client_index) * 1_000_000 + 1;
                        let call_count = 400;
                        (0..16).for_each(|index| {
                            send_call(&mut client, first_call + index, group_count);
                        });
                        for index in 0..call_count {
                            client.receive();
                            if index + 16 < call_count {
                                send_call(&mut client, first_call + index + 16, group_count);
                            }
                        }
                    })
                })
                .collect();
            tasks.into_iter().for_each(|task| task.join().unwrap());
            let calls = 32.0 * 400.0;
            costs_us.push((cpu_time_us(gateway.process.id()) - cpu_before_us) / calls);
            rates.push(calls / started_at.elapsed().as_secs_f64());
        }
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", gateway.process.id())).unwrap();
        let resident_kib = status
            .lines()
            .find(|line| line.starts_with("VmRSS"))
            .unwrap()
            .split_whitespace()
            .nth(1)
            .unwrap()
            .to_owned();
        let (cost, rate) = (spread(costs_us), spread(rates));
        println!("| {size} | {cost} | {rate} | {resident_kib} |");
    }
}

fn main() {
    // `cargo test` runs benchmarks without `--bench`, and then nothing is measured.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    measure_policy();
    [1, 40, 1000].into_iter().for_each(measure_gateway);
}
