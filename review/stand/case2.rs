//! Case 2: an engine no longer knows one page of a result. The rows of an answer have to be those of one run.

use crate::common::*;
use crate::{Setting, Verdict};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The site's `error_rate` is 0.002 at most: of so many requests, one meets the disruption.
const REQUESTS: u64 = 500;
const DISRUPTED: u64 = 250;
const WAIT: u64 = 5_000;
/// The times in ms after which the engine has run a statement, and has read a page.
const RUN_TIME: u64 = 10;
const PAGE_TIME: u64 = 40;
const PAGES: usize = 3;

fn config(listen: SocketAddr, names: SocketAddr, list: &List) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","names":"{names}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{},
 "settings":{{
  "classes":[
   {{"name":"lookup","slo_ns":1000000000,"aim_stretch":1.5,"give_up_ns":5000000000,"semantics":"pure","worth":1,"window_ns":5000000000}}],
  "fleet_size":1,"dcs":["room-a"],"machine_types":["std-16"],
  "registry_mode":"automatic","resolution_ns":5000000,"callers":{{"marks_retry":true}},
  "family_info":{{"size_cores":[16],"ram_of_kind_mb":[32768],"threads_by_class":[1],"lanes_count":true,"cost_in_answers":true,"when_short":"line_up","largest_share":0.4}},
  "guarantees":{{"answer_slack_ns":20000000,"cold_from":0.34,"warm_after_ns":15000000000,"overload_factor":4,"fall_ns":1000000000,"drain_grace_ns":2000000000}},
  "policy_limits":{{"max_attempts":6,"max_open":20000,"may_cancel":true,"connect_timeout_ns":250000000,"keepalive_ns":30000000000,"multiplex":32,"max_retry_after_ns":500000000,"second_copies":false}}}}}}"#,
        list.known()
    )
}

fn page_text(id: &str, run: u32, page: usize) -> String {
    (0..20)
        .map(|row| format!("{id}\trun {run}\tpage {page} row {row}\n"))
        .collect()
}

/// The engine: `runs` counts the runs of each request. Each command is answered from the latest run at the time
/// at which the command arrived; the table changes between two runs, which the second column shows.
fn engine(record: Record) -> SocketAddr {
    let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    start_engine(
        || {},
        move |link, command| {
            let link = link.clone();
            let record = record.clone();
            match command {
                EngineCommand::Fetch { id, class, .. } => {
                    let mut runs = runs.lock().unwrap();
                    let run = runs.entry(id.clone()).or_default();
                    *run += 1;
                    let run = *run;
                    record.line(&format!(
                        "engine fetch {id} {class}: run {run}, connection {}",
                        link.number
                    ));
                    std::thread::spawn(move || {
                        sleep_ms(RUN_TIME);
                        record.line(&format!("engine DONE {id}, run {run}, page 0 of {PAGES}"));
                        let fields = format!("pages={PAGES},cost=20.0,need=16");
                        link.answer(&id, "DONE", &fields, &page_text(&id, run, 0));
                    });
                }
                EngineCommand::More { id, page } => {
                    let run = runs.lock().unwrap().get(&id).copied().unwrap_or(0);
                    record.line(&format!("engine more {id} {page}, of run {run}"));
                    let number = u64::from_str_radix(&id, 16).unwrap_or(0);
                    let is_unknown = trouble() && number == DISRUPTED && run == 1 && page == 1;
                    if is_unknown {
                        record.line(&format!(
                            "disruption: engine no longer knows page 1 of {id}, run 1: BROKE"
                        ));
                        link.answer(&id, "BROKE", "-", "");
                        return;
                    }
                    // Later runs are read from a busier disk: their pages take a little longer.
                    let time = if run == 1 { PAGE_TIME } else { PAGE_TIME + 20 };
                    std::thread::spawn(move || {
                        sleep_ms(time);
                        record.line(&format!("engine MORE {id} page {page}, run {run}"));
                        link.answer(
                            &id,
                            "MORE",
                            &format!("page={page}"),
                            &page_text(&id, run, page),
                        );
                    });
                }
                EngineCommand::Done { id } => record.line(&format!("engine done {id}")),
                EngineCommand::Abort { id } => record.line(&format!("engine abort {id}")),
            }
        },
    )
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let address = engine(record.clone());
    let list = Arc::new(Mutex::new(List {
        serial: 1,
        engines: vec![Listed {
            name: "e1",
            zone: "room-a",
            kind: "std-16",
            address,
            draining: false,
        }],
        told_at: None,
    }));
    let names = start_name_service(list.clone(), "n0", record.clone());
    let listen: SocketAddr = ([127, 0, 0, 1], free_port()).into();
    let path = setting.temporary.join("config.json");
    let text = config(listen, names, &list.lock().unwrap());
    std::fs::write(&path, text).expect("the configuration can be written");
    let mut gateway = GatewayProcess::start(&setting.root, &setting.temporary, &path, "");
    if !wait_until_fit(&mut gateway, listen, record) {
        record.line("gateway did not become fit");
        return Verdict::CouldNotRun;
    }
    let Ok(client) = Client::connect(listen, record) else {
        return Verdict::CouldNotRun;
    };
    let mut served = 0;
    let mut mixed = 0;
    for number in 1..=REQUESTS {
        let id = number;
        record.line(&format!("client sent {id:016x}, call {number}"));
        let statement = b"select account, note, amount from ledger_17.entries";
        client.send(number, "lookup", &params(id, WAIT, 20.0, statement));
        match client.wait(number, WAIT + 500) {
            Some(Answer::Served(rows)) => {
                served += 1;
                let text = String::from_utf8_lossy(&rows).into_owned();
                let mut pages: Vec<String> = Vec::new();
                for row in text.lines() {
                    let columns: Vec<&str> = row.split('\t').collect();
                    let page = columns
                        .get(2)
                        .and_then(|text| text.split(" row").next())
                        .unwrap_or("");
                    let part = format!("{} of {}", page, columns.get(1).unwrap_or(&""));
                    if pages.last() != Some(&part) {
                        pages.push(part);
                    }
                }
                let id = format!("{id:016x}");
                let is_one_run = (1..=9).any(|run| {
                    let whole: String = (0..PAGES).map(|page| page_text(&id, run, page)).collect();
                    whole == text
                });
                let verdict = if is_one_run {
                    "rows of one run"
                } else {
                    "ROWS THAT NO RUN MADE"
                };
                mixed += usize::from(!is_one_run);
                record.line(&format!(
                    "client {id} served, {verdict}: {}",
                    pages.join(", ")
                ));
            }
            Some(Answer::Error(code)) => record.line(&format!("client {id:016x} error {code}")),
            None => record.line(&format!("client {id:016x} no answer")),
        }
    }
    record.line(&format!(
        "count  sent {REQUESTS}, served {served}, with rows that no run made {mixed}"
    ));
    if mixed > 0 {
        Verdict::Broken
    } else if served == 0 {
        Verdict::CouldNotRun
    } else {
        Verdict::Held
    }
}
