//! Case 3: a gateway with a recovery folder is killed and started again. An engine that drains afterwards must get
//! no new work.

use crate::common::*;
use crate::{Setting, Verdict};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const WAIT: u64 = 5_000;
/// What the rules allow after the gateway was told: `drain_grace_ns` (2 s) and the 50 ms that each time limit is
/// longer on sockets.
const GRACE: u64 = 2_050;
/// How long the engine is watched after that, in ms.
const WATCHED: u64 = 6_000;

/// The gateways of the deployment; n0 is the one that is killed.
const GATEWAYS: usize = 3;
/// How long n0 is down, in ms; the brief names 1.5 to 7.4 s.
const DOWN: u64 = 1_500;

fn config(name: &str, listen: SocketAddr, names: SocketAddr, seed: u64, list: &List) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"{seed:016x}","names":"{names}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{},
 "settings":{{
  "classes":[
   {{"name":"lookup","slo_ns":1000000000,"aim_stretch":1.5,"give_up_ns":5000000000,"semantics":"pure","worth":1,"window_ns":5000000000}},
   {{"name":"load","slo_ns":2000000000,"aim_stretch":1.5,"give_up_ns":5000000000,"semantics":"side_effect","worth":4,"window_ns":5000000000}}],
  "fleet_size":{GATEWAYS},"dcs":["room-a"],"machine_types":["std-16"],
  "registry_mode":"automatic","resolution_ns":5000000,"callers":{{"marks_retry":true}},
  "family_info":{{"size_cores":[16],"ram_of_kind_mb":[32768],"threads_by_class":[1,1],"lanes_count":true,"cost_in_answers":true,"when_short":"line_up","largest_share":0.4}},
  "guarantees":{{"answer_slack_ns":20000000,"cold_from":0.34,"warm_after_ns":15000000000,"overload_factor":4,"fall_ns":1000000000,"drain_grace_ns":2000000000}},
  "policy_limits":{{"max_attempts":6,"max_open":20000,"may_cancel":true,"connect_timeout_ns":250000000,"keepalive_ns":30000000000,"multiplex":32,"max_retry_after_ns":500000000,"second_copies":false}}}}}}"#,
        list.known()
    )
}

/// What the engines have seen.
#[derive(Default)]
struct Seen {
    /// When each request began to arrive, and at which engine.
    fetches: Vec<(&'static str, u64)>,
    /// The connections of e1, which end with its process.
    links: Vec<EngineLink>,
}

/// An engine that answers a lookup after 20 ms and a load after 300 ms, and notes when each request arrived.
fn engine(name: &'static str, record: Record, seen: Arc<Mutex<Seen>>) -> SocketAddr {
    start_engine(
        || {},
        move |link, command| {
            if let EngineCommand::Fetch { id, class } = command {
                record.line(&format!("engine {name} fetch {id} {class}"));
                let mut seen = seen.lock().unwrap();
                seen.fetches.push((name, record.now()));
                if name == "e1" {
                    seen.links.push(link.clone());
                }
                let link = link.clone();
                std::thread::spawn(move || {
                    sleep_ms(if class == "load" { 300 } else { 20 });
                    link.answer(
                        &id,
                        "DONE",
                        "pages=1,cost=20.0,need=16",
                        &format!("{id}\tok\t1\n"),
                    );
                });
            }
        },
    )
}

/// The class of a request: every second one is a load, which may run once only.
fn class_of(id: u64) -> &'static str {
    if id % 2 == 0 {
        "load"
    } else {
        "lookup"
    }
}

/// Sends `count` requests of different table groups, 20 a second, then calls `after` and waits for the answers;
/// returns how many were served, and how many loads failed.
fn send(
    setting: &Setting,
    listen: SocketAddr,
    first_id: u64,
    count: u64,
    after: impl FnOnce(),
) -> (u64, u64) {
    let record = &setting.record;
    let Ok(client) = Client::connect(listen, record) else {
        return (0, 0);
    };
    for number in 1..=count {
        let id = first_id + number;
        let statement = format!(
            "select account, note, amount from ledger_{}.entries",
            id % 40
        );
        client.send(
            number,
            class_of(id),
            &params(id, WAIT, 20.0, statement.as_bytes()),
        );
        sleep_ms(50);
    }
    after();
    let mut served = 0;
    let mut failed_loads = 0;
    for number in 1..=count {
        let answer = client.wait(number, WAIT + 500);
        let id = first_id + number;
        record.line(&match &answer {
            Some(Answer::Served(_)) => format!("client {id:016x} served"),
            Some(Answer::Error(code)) => format!("client {id:016x} error {code}"),
            None => format!("client {id:016x} no answer"),
        });
        served += u64::from(matches!(answer, Some(Answer::Served(_))));
        let has_failed = matches!(answer, Some(Answer::Error(code)) if code != -32014);
        failed_loads += u64::from(has_failed && class_of(id) == "load");
    }
    (served, failed_loads)
}

fn wait_until_told(list: &Mutex<List>) -> Option<u64> {
    for _ in 0..500 {
        if let Some(at) = list.lock().unwrap().told_at {
            return Some(at);
        }
        sleep_ms(10);
    }
    None
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let start = |name| {
        let address = engine(name, record.clone(), seen.clone());
        Listed {
            name,
            zone: "room-a",
            kind: "std-16",
            address,
            draining: false,
        }
    };
    let (first, second, third) = (start("e1"), start("e2"), start("e3"));
    let drained = |engine: &Listed| Listed {
        draining: true,
        ..engine.clone()
    };
    let both = vec![first.clone(), second.clone()];
    let list = Arc::new(Mutex::new(List {
        serial: 1,
        engines: both.clone(),
        told_at: None,
    }));
    // The other gateways, each with a name service of its own, serve on and have no clients here.
    let mut others = Vec::new();
    for number in 1..GATEWAYS {
        let name = format!("n{number}");
        let list = Arc::new(Mutex::new(List {
            serial: 1,
            engines: both.clone(),
            told_at: None,
        }));
        let names = start_name_service(list.clone(), &name, record.clone());
        let listen: SocketAddr = ([127, 0, 0, 1], free_port()).into();
        let path = setting.temporary.join(format!("{name}.json"));
        let text = config(&name, listen, names, number as u64, &list.lock().unwrap());
        std::fs::write(&path, text).expect("the configuration can be written");
        let mut gateway = GatewayProcess::start(&setting.root, &setting.temporary, &path, "");
        if !wait_until_fit(&mut gateway, listen, record) {
            record.line("another gateway did not become fit");
            return Verdict::CouldNotRun;
        }
        others.push((list, gateway));
    }
    let change = |engines: Vec<Listed>| {
        list.lock().unwrap().change(engines.clone());
        for (list, _) in &others {
            list.lock().unwrap().change(engines.clone());
        }
    };
    let names = start_name_service(list.clone(), "n0", record.clone());
    let listen: SocketAddr = ([127, 0, 0, 1], free_port()).into();
    let path = setting.temporary.join("config.json");
    let operator = setting.temporary.join("operator.json");
    let state = setting.temporary.join("gateway-state");
    let section = format!("{{\"recovery\":{{\"state\":\"{}\"}}}}", state.display());
    std::fs::write(&operator, section).expect("the operator's file can be written");
    let arguments = format!("--operator {}", operator.display());
    let write_config = |seed, list: &List| {
        std::fs::write(&path, config("n0", listen, names, seed, list))
            .expect("the configuration can be written");
    };
    write_config(0x8c1f30d27a5be964, &list.lock().unwrap());
    let mut gateway = GatewayProcess::start(&setting.root, &setting.temporary, &path, &arguments);
    if !wait_until_fit(&mut gateway, listen, record) || wait_until_told(&list).is_none() {
        record.line("gateway did not become fit");
        return Verdict::CouldNotRun;
    }
    // A release passes: e3 comes, drains and goes, which are the events 2 to 4.
    for engines in [
        vec![first.clone(), second.clone(), third.clone()],
        vec![first.clone(), second.clone(), drained(&third)],
        both.clone(),
    ] {
        change(engines);
        if wait_until_told(&list).is_none() {
            return Verdict::CouldNotRun;
        }
        sleep_ms(700);
    }
    if send(setting, listen, 0x1000, 20, || {}).0 != 20 {
        record.line("requests before the disruption were not served");
        return Verdict::CouldNotRun;
    }

    if trouble() {
        record.line(
            "disruption: n0, one of three gateways, is killed, and started again after 1.5 s",
        );
        gateway.kill();
        sleep_ms(DOWN);
        // The platform numbers the events from 1 again, and writes what it knows now into the configuration.
        *list.lock().unwrap() = List {
            serial: 1,
            engines: both.clone(),
            told_at: None,
        };
        write_config(0x51d2a7c3904be816, &list.lock().unwrap());
        gateway = GatewayProcess::start(&setting.root, &setting.temporary, &path, &arguments);
        if !wait_until_fit(&mut gateway, listen, record) || wait_until_told(&list).is_none() {
            record.line("gateway did not become fit again");
            return Verdict::CouldNotRun;
        }
    }
    if send(setting, listen, 0x2000, 20, || {}).0 != 20 {
        record.line("requests before the drain were not served");
        return Verdict::CouldNotRun;
    }
    change(vec![drained(&first), second.clone()]);
    let Some(told_at) = wait_until_told(&list) else {
        return Verdict::CouldNotRun;
    };
    // At the end of its drain the process of e1 ends, with whatever it still holds.
    let end_of_e1 = || {
        record.line("e1 ends");
        for link in &seen.lock().unwrap().links {
            link.end();
        }
    };
    let count = (GRACE + WATCHED) / 50;
    let (served, failed) = send(setting, listen, 0x3000, count, end_of_e1);
    let late: Vec<u64> = seen
        .lock()
        .unwrap()
        .fetches
        .iter()
        .filter(|(name, at)| *name == "e1" && *at > told_at + GRACE)
        .map(|(_, at)| at - told_at)
        .collect();
    if let Ok(log) = std::fs::read_to_string(setting.temporary.join("gateway.log")) {
        for line in log.lines().filter(|line| line.contains("snapshot")) {
            record.line(&format!("log    {line}"));
        }
    }
    record.line(&format!(
        "count  sent {count}, served {served}, loads that failed as e1 ended {failed}; new requests to e1 over {GRACE} ms after the gateway was told that it drains: {}, the last {} ms after",
        late.len(),
        late.last().unwrap_or(&0)
    ));
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
