//! Tenants confined to cells, at the built gateway, between stand-ins on loopback.

mod common;

use common::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn ask(c: &mut Client, call: u64, tenant: &str) {
    c.say(&format!(
        r#"{{"jsonrpc":"2.0","id":{call},"method":"lookup","params":{{"id":"{call:016x}","wait":4000,"bytes":"c2VsZWN0IDE=","tenant":"{tenant}"}}}}"#
    ));
}

fn cells(without: Value) -> Value {
    json!({"cells": {"names": {"a": 1, "b": 1}, "named_by_clients": true, "engines": {"e1": "a", "e2": "b"},
        "tenants": {"t1": ["a"], "t2": ["b"], "both": ["a", "b"]}, "without": without}})
}

fn fleet(test: &str, operator: Option<Value>) -> (Gateway, Vec<(SocketAddr, Seen)>) {
    let engines: Vec<_> = (0..2).map(|_| engine(|line, _| (done(line, "a\tb\tc\n"), false))).collect();
    let listed = [("e1", engines[0].0), ("e2", engines[1].0)];
    let class =
        json!({"name": "lookup", "slo_ns": 1e9, "give_up_ns": 5e9, "semantics": "pure", "worth": 1.0});
    let (told, roster) = told(1, json!([class]), &listed);
    (started(test, told, roster, operator), engines)
}

/// The calls that reached an engine.
fn reached(seen: &Seen) -> BTreeSet<u64> {
    let lines = seen.lock().unwrap();
    let fetches = lines.iter().filter(|l| l.starts_with("fetch"));
    fetches.map(|l| u64::from_str_radix(id(l), 16).unwrap()).collect()
}

/// Thirty calls each of two tenants, sixteen open at a time.
fn play(c: &mut Client) {
    for half in 0..4 {
        for n in 0..15 {
            let call = 1 + half * 15 + n;
            ask(c, call, if call <= 30 { "t1" } else { "t2" });
        }
        (0..15).for_each(|_| drop(c.rows()));
    }
}

#[test]
fn submissions_of_a_tenant_reach_only_engines_of_its_cell() {
    let (gateway, engines) = fleet("cells", Some(cells(json!({"turn_back": 500}))));
    play(&mut Client::of(&gateway));
    assert_eq!(reached(&engines[0].1), (1..=30).collect());
    assert_eq!(reached(&engines[1].1), (31..=60).collect());
}

#[test]
fn control_without_cells_both_tenants_reach_the_same_engines() {
    let (gateway, engines) = fleet("cells-off", None);
    play(&mut Client::of(&gateway));
    let on = |t: std::ops::RangeInclusive<u64>| {
        engines.iter().filter(|e| t.clone().any(|c| reached(&e.1).contains(&c))).count()
    };
    // One table group: its homes are the same for both.
    assert_eq!(on(1..=30), on(31..=60));
    assert!(engines
        .iter()
        .any(|e| reached(&e.1).iter().any(|c| *c <= 30) && reached(&e.1).iter().any(|c| *c > 30)));
}

#[test]
fn a_cell_without_a_ready_engine_turns_its_tenant_back_at_once_and_touches_no_other() {
    for (test, without, lent) in
        [("cells-back", json!({"turn_back": 500}), 0), ("cells-lend", json!({"lend": 0.5}), 10)]
    {
        let (gateway, engines) = fleet(test, Some(cells(without)));
        let drained = [("e1", engines[0].0, 1), ("e2", engines[1].0, 0)];
        *gateway.roster.lock().unwrap() = answer(2, &drained);
        let mut c = Client::of(&gateway);
        // Until the list is heard.
        let late = Instant::now() + Duration::from_secs(5);
        for call in 1000.. {
            ask(&mut c, call, "t1");
            if c.hear()["error"].is_object() {
                break;
            }
            assert!(Instant::now() < late, "the drain is not heard");
        }
        let before = reached(&engines[0].1);
        let (mut settled, since) = (0, Instant::now());
        for call in 1..=20 {
            ask(&mut c, call, "t1");
            settled += c.hear()["result"].is_object() as u32;
            ask(&mut c, 100 + call, "t2");
            assert_eq!(c.rows().0, 100 + call);
            ask(&mut c, 200 + call, "both");
            assert_eq!(c.rows().0, 200 + call);
        }
        assert!(since.elapsed() < Duration::from_secs(2), "at once");
        assert_eq!(reached(&engines[0].1), before, "nothing new to a draining engine");
        assert!(settled.abs_diff(lent) <= 1, "{settled} lent");
    }
}
