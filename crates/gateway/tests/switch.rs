//! Other settings in a running gateway, there and back, between stubs on loopback.

use ironstair_test_cluster::stub as common;

use common::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Classes that come and go, one of the same name under other threads and stricter repeats, zones and kinds in
/// another order, figures that the decisions did not read before.
fn other(settings: &Value) -> Value {
    let mut s = settings.clone();
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "slo_ns": 1.2e9, "give_up_ns": 4e9, "semantics": semantics, "worth": 2.0,
            "machine_types_allowed": [1], "late_worth": 0.6})
    };
    s["classes"] = json!([
        class("load", "side_effect"),
        class("report", "side_effect"),
        class("lookup", "pure")
    ]);
    s["classes"][0]["by_arrival"] = json!(true);
    s["dcs"] = json!(["b", "a"]);
    s["machine_types"] = json!(["new", "m"]);
    s["family_info"] = json!({"size_cores": [4, 16], "ram_of_kind_mb": [1024.0, 32768.0],
        "threads_by_class": [2, 2, 1], "class_load": [true, false, false], "when_short": "cut",
        "takes_grants": true, "lanes_count": false});
    s["guarantees"]["settle_after_doubt_ns"] = json!(300e6);
    s["report"]["fields"] = json!(["depth", "concurrent"]);
    s["policy_limits"]["max_attempts"] = json!(4);
    s["policy_limits"]["may_cancel"] = json!(false);
    s["callers"] = json!({"marks_retry": false});
    s
}

fn put(g: &Gateway, config: &Value, settings: &Value) {
    let mut v = config.clone();
    v["settings"] = settings.clone();
    std::fs::write(g.dir.join("told.json"), v.to_string()).unwrap();
    g.signal("-HUP");
}

/// A gateway whose log lines are kept.
fn logged(
    test: &str,
    config: &Value,
    name_answer: NameServiceAnswer,
    operator: Option<Value>,
) -> (Gateway, Seen) {
    let dir = std::env::temp_dir().join(format!("ironstair-{test}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join("told.json"), config.to_string()).unwrap();
    let mut serve = Command::new(env!("CARGO_BIN_EXE_ironstair"));
    serve
        .arg("serve")
        .env("ROUTER_CONFIG", dir.join("told.json"))
        .stderr(Stdio::piped());
    if let Some(operator) = operator {
        std::fs::write(dir.join("operator.json"), operator.to_string()).unwrap();
        serve.arg("--operator").arg(dir.join("operator.json"));
    }
    let mut process = serve.spawn().unwrap();
    let (lines, err) = (Seen::default(), process.stderr.take().unwrap());
    let kept = lines.clone();
    thread::spawn(move || {
        BufReader::new(err)
            .lines()
            .map_while(Result::ok)
            .for_each(|l| kept.lock().unwrap().push(l))
    });
    let at = config["listen"].as_str().unwrap().parse().unwrap();
    (
        Gateway {
            process,
            at,
            name_answer,
            dir,
        },
        lines,
    )
}

fn count(lines: &Seen, what: &str) -> usize {
    lines
        .lock()
        .unwrap()
        .iter()
        .filter(|l| l.contains(what))
        .count()
}

/// Calls by id: how many final answers of each kind.
type Answers = Arc<Mutex<BTreeMap<u64, Vec<&'static str>>>>;

fn hear(c: &mut Client, answers: &Answers) {
    let a = c.hear();
    let kind = match (&a["result"], a["error"]["code"].as_i64()) {
        (Value::Object(_), _) => "settled",
        (_, Some(-32014)) => "turned back",
        (_, Some(_)) => "scrapped",
        _ => panic!("{a}"),
    };
    answers
        .lock()
        .unwrap()
        .entry(a["id"].as_u64().unwrap())
        .or_default()
        .push(kind);
}

#[test]
fn settings_change_under_load_and_back_with_nothing_lost_or_sent_twice() {
    // Against requests that lose their class, place or answer with an index, and once-only ones that go again.
    let act = |line: &str, _: &str| {
        thread::sleep(Duration::from_millis(4));
        (
            if line.starts_with("fetch") {
                done(line, "x\ty\tz\n")
            } else {
                vec![]
            },
            false,
        )
    };
    let ((a, seen_a), (b, seen_b)) = (engine(act), engine(act));
    let class = |name: &str| json!({"name": name, "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0});
    let (config, name_answer) = config(
        2,
        json!([class("lookup"), class("report")]),
        &[("e1", a), ("e2", b)],
    );
    let (first, second) = (config["settings"].clone(), other(&config["settings"]));
    let g = started("switch", config.clone(), name_answer, None);
    // A class that was never told is a client's fault, of which a connection bears few: it is told once.
    // Before it serves, the signal would end it.
    drop(Client::of(&g));
    put(&g, &config, &second);
    let mut nth = 0;
    assert!(soon(|| {
        nth += 1;
        let mut c = Client::of(&g);
        c.ask_in("load", (1 << 40) + nth);
        c.hear()["result"].is_object()
    }));
    put(&g, &config, &first);
    let answers = Answers::default();
    let classes = ["lookup", "report", "load"];
    let load: Vec<_> = (0..3u64)
        .map(|n| {
            let (mut c, answers) = (Client::of(&g), answers.clone());
            thread::spawn(move || {
                for turn in 0..100u64 {
                    let calls: Vec<u64> = (0..6).map(|i| 1 + n * 100_000 + turn * 6 + i).collect();
                    calls
                        .iter()
                        .for_each(|&call| c.ask_in(classes[(call % 3) as usize], call));
                    calls.iter().for_each(|_| hear(&mut c, &answers));
                }
            })
        })
        .collect();
    for turn in 0..8 {
        thread::sleep(Duration::from_millis(150));
        put(&g, &config, if turn % 2 == 0 { &second } else { &first });
        if turn % 3 == 0 {
            // Two in a row, the second with the same file.
            g.signal("-HUP");
        }
    }
    load.into_iter().for_each(|l| l.join().unwrap());
    let answers = answers.lock().unwrap();
    assert_eq!(answers.len(), 1800, "each call is answered");
    assert!(answers.values().all(|a| a.len() == 1), "once");
    let answered = |kind: &str| answers.values().filter(|a| a[0] == kind).count();
    assert_eq!(answered("scrapped"), 0);
    assert!(
        answered("settled") > 1200,
        "{} settled",
        answered("settled")
    );
    assert!(
        answered("turned back") > 0,
        "load is out of service half of the time"
    );
    let mut sent = BTreeMap::new();
    for seen in [seen_a, seen_b] {
        let seen = seen.lock().unwrap();
        seen.iter()
            .filter(|l| l.starts_with("fetch"))
            .for_each(|l| *sent.entry(id(l).to_string()).or_insert(0) += 1);
    }
    assert_eq!(
        sent.len(),
        answered("settled") + 1,
        "what was settled was sent, and nothing else"
    );
    assert!(sent.values().all(|&n| n == 1), "none twice");
}

#[test]
fn a_bad_file_leaves_the_old_settings_whole_and_says_which_field() {
    let (at, _) = engine(|line, _| (done(line, "x\ty\tz\n"), false));
    let class = |name: &str| json!({"name": name, "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0});
    let (config, name_answer) = config(2, json!([class("lookup"), class("report")]), &[("e1", at)]);
    let (g, lines) = logged("bad", &config, name_answer, None);
    let mut c = Client::of(&g);
    let said = |what: &str| soon(|| lines.lock().unwrap().iter().any(|l| l.contains(what)));
    let good = other(&config["settings"]);
    let spoil = |path: &str, to: Value| {
        let mut s = good.clone();
        *s.pointer_mut(path).unwrap() = to;
        s
    };
    let no_rest = spoil("/guarantees/settle_after_doubt_ns", Value::Null);
    for (settings, field) in [
        (
            spoil("/classes/0/semantics", json!("sometimes")),
            "classes[0]: semantics sometimes is unknown",
        ),
        (
            spoil("/classes/1/machine_types_allowed", json!([5])),
            "classes[1]: machine_types_allowed names 5",
        ),
        (
            spoil("/classes/2/worth", json!("much")),
            "classes[2]: worth is not a number",
        ),
        (
            spoil("/family_info/threads_by_class", json!([1, "x", 1])),
            "family_info.threads_by_class[1]",
        ),
        (
            spoil("/family_info/size_cores", json!([0, 4])),
            "family_info.size_cores[0]",
        ),
        (
            spoil("/family_info/class_load", json!([true])),
            "family_info.class_load[1]",
        ),
        (
            spoil("/family_info/when_short", json!("beg")),
            "family_info.when_short beg is unknown",
        ),
        (no_rest, "guarantees.settle_after_doubt_ns is missing"),
    ] {
        put(&g, &config, &settings);
        assert!(said(field), "{field}: {:?}", lines.lock().unwrap());
        c.ask_in("report", 1);
        assert_eq!(c.rows().0, 1, "{field}");
    }
    assert_eq!(count(&lines, "configuration reloaded"), 0);
    put(&g, &config, &good);
    assert!(said("configuration reloaded"));
    c.ask_in("load", 2);
    assert_eq!(c.rows().0, 2);
    put(&g, &config, &config["settings"]);
    assert!(soon(|| count(&lines, "configuration reloaded") == 2));
    c.ask_in("load", 3);
    assert_eq!(c.hear()["error"]["code"], -32014, "out of service again");
    put(&g, &config, &config["settings"]);
    c.ask_in("lookup", 4);
    assert_eq!(c.rows().0, 4);
    assert_eq!(count(&lines, "configuration reloaded"), 2);
}

#[test]
fn what_the_carrying_alone_goes_by_is_taken_over_too() {
    // Against a file that seems to say the same as the last, as the decisions go by nothing that it changes.
    let (at, _) = engine(|line, _| {
        thread::sleep(Duration::from_millis(300));
        (done(line, "x\ty\tz\n"), false)
    });
    let class = json!({"name": "lookup", "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0});
    let (config, name_answer) = config(1, json!([class]), &[("e1", at)]);
    let (g, lines) = logged("carriage", &config, name_answer, None);
    let mut c = Client::of(&g);
    let mut s = config["settings"].clone();
    s["policy_limits"]["max_open"] = json!(1);
    put(&g, &config, &s);
    assert!(soon(|| count(&lines, "configuration reloaded") == 1));
    (1..3).for_each(|call| c.ask(call));
    assert_eq!(c.hear()["error"]["code"], -32014, "one may be open");
    assert_eq!(c.rows().0, 1);
    put(&g, &config, &config["settings"]);
    assert!(soon(|| count(&lines, "configuration reloaded") == 2));
    (3..5).for_each(|call| c.ask(call));
    assert_eq!([c.rows().0, c.rows().0], [3, 4]);
}

#[test]
fn where_management_is_on_the_file_moves_the_list_alone() {
    // Against a commit and a file that contradict each other.
    let (at, _) = engine(|line, _| (done(line, "x\ty\tz\n"), false));
    let class = |name: &str| json!({"name": name, "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0});
    let (config, name_answer) = config(1, json!([class("lookup"), class("report")]), &[("e1", at)]);
    let operator = json!({"management": {"listen": own_address().to_string()}});
    let (g, lines) = logged("managed-switch", &config, name_answer, Some(operator));
    let mut c = Client::of(&g);
    put(&g, &config, &other(&config["settings"]));
    assert!(soon(|| count(
        &lines,
        "settings of the file ignored, they come by management"
    ) == 1
        && count(&lines, "name service address changed") == 1));
    c.ask_in("load", 1);
    assert_eq!(c.hear()["error"]["code"], -32601, "never told");
    c.ask_in("lookup", 2);
    assert_eq!(c.rows().0, 2);
    assert_eq!(count(&lines, "configuration reloaded"), 0);
}

#[test]
fn cells_of_the_operators_file_outlive_a_switch() {
    let engines: Vec<_> = (0..2)
        .map(|_| engine(|line, _| (done(line, "x\ty\tz\n"), false)))
        .collect();
    let class = json!({"name": "lookup", "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0});
    let (config, name_answer) = config(
        1,
        json!([class]),
        &[("e1", engines[0].0), ("e2", engines[1].0)],
    );
    let cells = json!({"cells": {"names": {"a": 1, "b": 1}, "named_by_clients": true,
        "engines": {"e1": "a", "e2": "b"}, "tenants": {"t1": ["a"], "t2": ["b"]}, "without": {"turn_back": 500}}});
    let (g, lines) = logged("cells-switch", &config, name_answer, Some(cells));
    let mut c = Client::of(&g);
    put(&g, &config, &other(&config["settings"]));
    assert!(soon(|| count(&lines, "configuration reloaded") == 1));
    for call in 1..20u64 {
        let tenant = ["t1", "t2"][call as usize % 2];
        c.say(&format!(
            r#"{{"jsonrpc":"2.0","id":{call},"method":"lookup","params":{{"id":"{call:016x}","wait":4000,"bytes":"c2VsZWN0IDE=","tenant":"{tenant}"}}}}"#
        ));
        assert_eq!(c.rows().0, call);
    }
    for (nth, (_, seen)) in engines.iter().enumerate() {
        let seen = seen.lock().unwrap();
        let calls = seen.iter().filter(|l| l.starts_with("fetch"));
        let calls: Vec<u64> = calls
            .map(|l| u64::from_str_radix(id(l), 16).unwrap())
            .collect();
        assert!(
            !calls.is_empty() && calls.iter().all(|c| *c as usize % 2 == nth),
            "engine {nth}: {calls:?}"
        );
    }
}

#[test]
fn an_engine_list_that_changes_with_the_settings_is_read_under_their_names() {
    // Against engines of the new list known by the old file's numbers: classes would find no place, or a wrong one.
    let answers = |row: &'static str| engine(move |line, _| (done(line, row), false));
    let ((old, _), (new, _)) = (answers("old\t\t\n"), answers("new\t\t\n"));
    let class = |kind: u16| {
        json!([{"name": "lookup", "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0,
            "machine_types_allowed": [kind]}])
    };
    let (config, name_answer) = config(1, class(0), &[("e1", old)]);
    let (g, _lines) = logged("list-switch", &config, name_answer, None);
    let mut c = Client::of(&g);
    let mut moved = config.clone();
    moved["settings"]["machine_types"] = json!(["new", "m"]);
    moved["settings"]["family_info"]["size_cores"] = json!([4, 16]);
    moved["settings"]["classes"] = class(0);
    let mut back = config.clone();
    for (v, rev, name, at, kind) in [
        (&mut moved, 2, "e9", new, "new"),
        (&mut back, 3, "e1", old, "m"),
    ] {
        v["known"] = json!({"rev": rev, "notices": [{"rev": rev, "pool": {"reset": true, "instances": [
            {"instanceId": name, "hostPort": at.to_string(), "zone": "a", "machineType": kind, "cell": 0,
                "lifecycle": "ready", "startedAtMs": 0}]}}]});
    }
    let mut call = 0;
    for (file, want) in [
        (&config, b"old\t\t\n"),
        (&moved, b"new\t\t\n"),
        (&back, b"old\t\t\n"),
    ] {
        put(&g, file, &file["settings"]);
        assert!(soon(|| {
            call += 1;
            c.ask(call);
            let answer = c.hear();
            use base64::Engine;
            answer["result"]["bytes"].as_str().is_some_and(|t| {
                base64::engine::general_purpose::STANDARD.decode(t).unwrap() == want
            })
        }));
    }
}
