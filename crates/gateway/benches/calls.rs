//! What a call costs a gateway as the list of engines grows: its processor for each call between stand-ins on
//! loopback, and the module's part alone. `cargo bench -p ironstair-gateway --bench calls`

use ironstair_test_cluster::stub as common;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use common::{done_reply, gateway_config, start_engine, start_gateway_with_config, Client};
use ironstair::policy::Gateway as Module;
use ironstair::{Actions, Cost, Endpoint, EndpointState, Millis, Outcome, Request};
use serde_json::json;
use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

const ROUNDS: usize = 5;
const SIZES: [usize; 3] = [10, 100, 1000];

fn spread(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    format!(
        "{:.1} ({:.1} to {:.1})",
        all[all.len() / 2],
        all[0],
        all[all.len() - 1]
    )
}

fn processor_us(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = text
        .rsplit_once(')')
        .unwrap()
        .1
        .split_whitespace()
        .collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) * 1e4
}

/// Takes what the module asks for, and remembers the attempt.
#[derive(Default)]
struct ActionExecutor(Option<usize>);

impl Actions for ActionExecutor {
    fn start_attempt(&mut self, request: usize, _engine: usize, _by: Millis) {
        self.0 = Some(request);
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

fn module() {
    println!("\n| engines | the module for each call, us | with cells, 8 |");
    println!("| --- | --- | --- |");
    for n in SIZES {
        let mut sides = [Vec::new(), Vec::new()];
        for round in 0..2 * ROUNDS {
            let cells = round % 2 == 1;
            let policy_config = ironstair_settings::read_policy_config(
                json!({"classes": [{"name": "lookup", "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0}],
                    "fleet_size": 4, "machine_types": ["m"], "dcs": ["a"], "registry_mode": "automatic", "resolution_ns": 1e6,
                    "family_info": {"size_cores": [16], "ram_of_kind_mb": [32768.0], "threads_by_class": [1]},
                    "guarantees": {"cold_from": 0.3, "warm_after_ns": 15e9, "overload_factor": 4.0, "fall_ns": 1e9},
                    "policy_limits": {"max_attempts": 6, "may_cancel": true}})
                .to_string()
                .as_bytes(),
            );
            let mut module = Module::new(policy_config.unwrap(), 7);
            let mut executor = ActionExecutor::default();
            let lines: Vec<Endpoint> = (0..n)
                .map(|engine| Endpoint {
                    engine,
                    id: 0x9E37_79B9_7F4A_7C15u64.wrapping_mul(engine as u64 + 1),
                    cells: 1 << (engine % 8),
                    state: EndpointState::Ready,
                    ..Endpoint::default()
                })
                .collect();
            module.update_endpoints(1.0, true, &lines, &mut executor);
            let calls = 20_000;
            let since = Instant::now();
            for call in 0..calls {
                let now = 2.0 + call as f64 / 10.0;
                let cells = if cells { 1 << (call % 8) } else { 0 };
                let of = Request {
                    time_remaining: 5000.0,
                    table_group: call % 40,
                    cells,
                    ..Request::default()
                };
                module.on_request(now, call as usize % 64, of, &mut executor);
                if let Some(s) = executor.0.take() {
                    module.on_attempt_ended(
                        now + 0.05,
                        s,
                        Outcome::Completed(Some(Cost {
                            work: 1.0,
                            memory_mb: 0.0,
                        })),
                        true,
                        &mut executor,
                    );
                }
            }
            sides[cells as usize].push(since.elapsed().as_secs_f64() * 1e6 / calls as f64);
        }
        let [off, on] = sides;
        println!("| {n} | {} | {} |", spread(off), spread(on));
    }
}

/// A call on one of so many table groups: each has its engines.
fn ask(c: &mut Client, call: u64, groups: u64) {
    let bytes = STANDARD.encode(format!("select x from sales_{}.orders", call % groups));
    c.send(&format!(
        r#"{{"jsonrpc":"2.0","id":{call},"method":"lookup","params":{{"id":"{call:016x}","wait":4000,"bytes":"{bytes}"}}}}"#
    ));
}

fn gateway_alone(groups: u64) {
    println!("\nTable groups: {groups}\n\n| engines | processor for each call, us | calls a second | resident, KiB |");
    println!("| --- | --- | --- | --- |");
    for n in SIZES {
        // Eight that answer at once stand behind all names.
        let real: Vec<SocketAddr> = (0..8)
            .map(|_| start_engine(|line, _| (done_reply(line, "a\tb\tc\n"), false)).0)
            .collect();
        let names: Vec<String> = (0..n).map(|i| format!("engine-{i}")).collect();
        let listed: Vec<(&str, SocketAddr)> = names
            .iter()
            .enumerate()
            .map(|(i, n)| (n.as_str(), real[i % 8]))
            .collect();
        let class = json!({"name": "lookup", "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0});
        let (mut config, endpoints) = gateway_config(1, json!([class]), &listed);
        config["limits"] = json!({"memory_mb": 512, "sockets": 8192});
        let gateway = start_gateway_with_config(
            &format!("bench-calls-{groups}-{n}"),
            config,
            endpoints,
            None,
        );
        let (mut costs, mut rates) = (Vec::new(), Vec::new());
        for round in 0..ROUNDS as u64 {
            let (before, since) = (processor_us(gateway.process.id()), Instant::now());
            let clients: Vec<_> = (0..32u64)
                .map(|who| {
                    let mut c = Client::connect(&gateway);
                    thread::spawn(move || {
                        let base = (round * 32 + who) * 1_000_000 + 1;
                        let most = 400;
                        (0..16).for_each(|k| ask(&mut c, base + k, groups));
                        for k in 0..most {
                            c.receive();
                            if k + 16 < most {
                                ask(&mut c, base + k + 16, groups);
                            }
                        }
                    })
                })
                .collect();
            clients.into_iter().for_each(|c| c.join().unwrap());
            let calls = 32.0 * 400.0;
            costs.push((processor_us(gateway.process.id()) - before) / calls);
            rates.push(calls / since.elapsed().as_secs_f64());
        }
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", gateway.process.id())).unwrap();
        let rss = text
            .lines()
            .find(|l| l.starts_with("VmRSS"))
            .unwrap()
            .split_whitespace()
            .nth(1)
            .unwrap()
            .to_owned();
        println!("| {n} | {} | {} | {rss} |", spread(costs), spread(rates));
    }
}

fn main() {
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    module();
    [1, 40, 1000].into_iter().for_each(gateway_alone);
}
