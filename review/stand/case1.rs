//! Case 1: one of two engines hangs, to which one class is bound. Requests of the other class, whose engine is well,
//! have to get their final answers.

use crate::common::*;
use crate::{Setting, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Requests a second, both classes together; the pages name up to 520 for a gateway.
const RATE: u64 = 500;
/// One request in so many is a lookup.
const LOOKUP_ONE_IN: u64 = 25;
/// How long requests are sent before the engine hangs, and in all, in ms.
const BEFORE: u64 = 2_000;
const SENDING: u64 = 11_000;
/// How long an engine works on a request, in ms.
const WORK: u64 = 20;
/// How long the engine hangs, in ms; the pages name 16 s.
const HANG: u64 = 16_000;
const REPORT_CONNECTIONS: usize = 64;
const LOOKUP_CONNECTIONS: usize = 8;
/// The protocol page allows so many open requests on a connection.
const MOST_OPEN: usize = 32;
const LOOKUP_WAIT: u64 = 6_000;
const REPORT_WAIT: u64 = 20_000;
/// An answer up to this long after the client's time only earns nothing; later, the request is lost.
const LATE: u64 = 500;

fn config(listen: SocketAddr, names: SocketAddr, list: &List) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","names":"{names}",
 "limits":{{"cores":1.0,"memory_mb":64,"sockets":1024}},
 "known":{},
 "settings":{{
  "classes":[
   {{"name":"lookup","slo_ns":1200000000,"aim_stretch":2.0,"give_up_ns":6000000000,"semantics":"pure","worth":1,"window_ns":5000000000}},
   {{"name":"report","slo_ns":3000000000,"aim_stretch":2.5,"give_up_ns":20000000000,"semantics":"pure","worth":4,"window_ns":5000000000,"machine_types_allowed":[0]}}],
  "fleet_size":1,"dcs":["hall-a"],"machine_types":["c12","c8"],
  "registry_mode":"automatic","resolution_ns":5000000,"callers":{{"marks_retry":true}},
  "family_info":{{"size_cores":[12,8],"ram_of_kind_mb":[24576,16384],"threads_by_class":[1,1],"lanes_count":false,"cost_in_answers":true,"when_short":"line_up","largest_share":0.4}},
  "guarantees":{{"answer_slack_ns":20000000,"cold_from":0.34,"warm_after_ns":15000000000,"overload_factor":4,"fall_ns":1000000000,"drain_grace_ns":1000000000}},
  "policy_limits":{{"max_attempts":4,"max_open":20000,"may_cancel":false,"connect_timeout_ns":250000000,"keepalive_ns":30000000000,"multiplex":32,"max_retry_after_ns":500000000,"second_copies":false}}}}}}"#,
        list.known()
    )
}

/// An engine that answers after its work. While `hangs` is set, it reads and answers nothing; its connections stay
/// open.
fn engine(name: &'static str, hangs: Arc<AtomicBool>, record: Record) -> SocketAddr {
    let wait = move || {
        while hangs.load(Ordering::SeqCst) {
            sleep_ms(5);
        }
    };
    let wait_to_answer = wait.clone();
    start_engine(wait, move |link, command| match command {
        EngineCommand::Fetch { id, class, .. } => {
            record.line(&format!("engine {name} fetch {id} {class}"));
            let (link, record, wait) = (link.clone(), record.clone(), wait_to_answer.clone());
            std::thread::spawn(move || {
                sleep_ms(WORK);
                wait();
                record.line(&format!("engine {name} DONE {id}"));
                link.answer(
                    &id,
                    "DONE",
                    "pages=1,cost=20.0,need=16",
                    &format!("{id}\tok\t1\n"),
                );
            });
        }
        EngineCommand::Abort { id } => record.line(&format!("engine {name} abort {id}")),
        EngineCommand::More { .. } | EngineCommand::Done { .. } => {}
    })
}

/// One class's client: its connections, and what it has sent.
struct Caller {
    class: &'static str,
    wait: u64,
    clients: Vec<Client>,
    /// The calls on each connection: id, and when the last byte was written.
    sent: Vec<Vec<(u64, u64)>>,
    /// Requests that were not sent because all connections had their most open requests.
    held_back: u64,
}

impl Caller {
    fn connect(
        class: &'static str,
        wait: u64,
        connections: usize,
        listen: SocketAddr,
        record: &Record,
    ) -> Option<Caller> {
        let clients: Result<Vec<Client>, _> = (0..connections)
            .map(|_| Client::connect(listen, record))
            .collect();
        Some(Caller {
            class,
            wait,
            clients: clients.ok()?,
            sent: vec![Vec::new(); connections],
            held_back: 0,
        })
    }

    fn open(&self, connection: usize) -> usize {
        self.sent[connection].len()
            - self.clients[connection].received(|received| received.answers.len())
    }

    /// Sends a request on the next connection that has not its most open requests.
    fn send(&mut self, id: u64, record: &Record) {
        let count = self.clients.len();
        let first = (id as usize) % count;
        let usable = (0..count).map(|step| (first + step) % count);
        let Some(connection) = usable
            .into_iter()
            .find(|number| self.open(*number) < MOST_OPEN)
        else {
            self.held_back += 1;
            return;
        };
        let call = self.sent[connection].len() as u64 + 1;
        let statement = format!(
            "select account, note, amount from ledger_{}.entries",
            id % 40
        );
        if self.clients[connection].send(
            call,
            self.class,
            &params(id, self.wait, 20.0, statement.as_bytes()),
        ) {
            self.sent[connection].push((id, record.now()));
            record.line(&format!(
                "client sent {id:016x} {}, call {call} on its connection {connection}",
                self.class
            ));
        }
    }

    /// Waits for the answers to all requests sent so far, each until its time and half a second more have passed.
    /// Returns how many were served, refused or failed, and lost.
    fn judge(&self, record: &Record) -> (u64, u64, u64) {
        let (mut served, mut ended, mut lost) = (0, 0, 0);
        let mut calls: Vec<(usize, u64, u64, u64)> = Vec::new();
        for (connection, sent) in self.sent.iter().enumerate() {
            let numbered = (1..).zip(sent);
            calls.extend(numbered.map(|(call, (id, at))| (connection, call, *id, *at)));
        }
        calls.sort_by_key(|(_, _, _, at)| *at);
        for (connection, call, id, at) in calls {
            {
                let until = at + self.wait + LATE;
                let answer =
                    self.clients[connection].wait(call, until.saturating_sub(record.now()));
                let told = self.clients[connection].received(|received| {
                    let mut answers = received.answers.iter();
                    answers
                        .find(|(of, _, _)| *of == Some(call))
                        .map(|(_, _, at)| *at)
                });
                let text = match (answer, told) {
                    (Some(Answer::Served(_)), Some(told)) if told <= until => {
                        served += 1;
                        format!("served after {} ms", told - at)
                    }
                    (Some(Answer::Error(code)), Some(told)) if told <= until => {
                        ended += 1;
                        format!("error {code} after {} ms", told - at)
                    }
                    (_, told) => {
                        lost += 1;
                        self.clients[connection].interrupt(call);
                        format!("LOST: no answer within its {} ms and {LATE} ms more (answered: {told:?})", self.wait)
                    }
                };
                record.line(&format!(
                    "client {id:016x} {} sent at {at}: {text}",
                    self.class
                ));
            }
        }
        (served, ended, lost)
    }
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let hangs = Arc::new(AtomicBool::new(false));
    let first = engine("e1", Arc::new(AtomicBool::new(false)), record.clone());
    let second = engine("e2", hangs.clone(), record.clone());
    let listed = |name, kind, address| Listed {
        name,
        zone: "hall-a",
        kind,
        address,
        draining: false,
    };
    let list = Arc::new(Mutex::new(List {
        serial: 1,
        engines: vec![listed("e1", "c8", first), listed("e2", "c12", second)],
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
    let callers = Caller::connect("lookup", LOOKUP_WAIT, LOOKUP_CONNECTIONS, listen, record).zip(
        Caller::connect("report", REPORT_WAIT, REPORT_CONNECTIONS, listen, record),
    );
    let Some((mut lookups, mut reports)) = callers else {
        record.line("the gateway accepts no connections");
        return Verdict::CouldNotRun;
    };
    // A quiet start: every connection is answered once.
    for number in 0..REPORT_CONNECTIONS as u64 {
        reports.send(0x100 + number, record);
        if number < LOOKUP_CONNECTIONS as u64 {
            lookups.send(0x200 + number, record);
        }
        sleep_ms(2);
    }
    sleep_ms(500);
    if (0..REPORT_CONNECTIONS).any(|number| reports.open(number) > 0) {
        record.line("requests before the disruption were not answered");
        return Verdict::CouldNotRun;
    }

    if trouble() {
        let (hangs, record) = (hangs.clone(), record.clone());
        std::thread::spawn(move || {
            sleep_ms(BEFORE);
            record.line("disruption: e2, one of two engines, hangs");
            hangs.store(true, Ordering::SeqCst);
            sleep_ms(HANG);
            record.line("disruption over: e2 goes on");
            hangs.store(false, Ordering::SeqCst);
        });
    }
    let start = Instant::now();
    let elapsed = || start.elapsed().as_millis() as u64;
    for number in 0..RATE * SENDING / 1000 {
        sleep_ms((number * 1000 / RATE).saturating_sub(elapsed()));
        let id = 0x10000 + number;
        if number % LOOKUP_ONE_IN == 0 {
            lookups.send(id, record);
        } else {
            reports.send(id, record);
        }
    }
    let (served, ended, lost) = lookups.judge(record);
    record.line(&format!(
        "count  lookups, whose engine e1 is well: served {served}, refused or failed {ended}, lost {lost}, held back {}",
        lookups.held_back
    ));
    let (reports_served, reports_ended, reports_lost) = reports.judge(record);
    record.line(&format!(
        "count  reports, bound to e2: served {reports_served}, refused or failed {reports_ended}, lost {reports_lost}, held back {}",
        reports.held_back
    ));
    if gateway.has_ended() {
        record.line("the gateway has ended");
        return Verdict::Broken;
    }
    if lost + reports_lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
