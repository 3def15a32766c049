//! The adapter on bytes, written anew from the layout of the wire.

use ironstair_simulator_adapter::{read_policy_config, serve};

const FACTS: &str = r#"{"classes": [{"slo_ns": 1000000000, "give_up_ns": 5000000000, "semantics": "pure",
    "worth": 1.0, "some_new_key": 3}], "fleet_size": 2, "machine_types": ["m"], "registry_mode": "automatic",
    "family_info": {"size_cores": [16], "ram_of_kind_mb": [32768.0], "threads_by_class": [1], "lanes_count": true},
    "guarantees": {"cold_from": 0.3, "warm_after_ns": 15000000000, "overload_factor": 4.0, "fall_ns": 1000000000},
    "policy_limits": {"max_attempts": 6, "may_cancel": true}, "resolution_ns": 5000000}"#;

fn batch(clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut all = (records.len() as u32).to_le_bytes().to_vec();
    all.extend((body.len() as u32 + 8).to_le_bytes());
    all.extend(clock.to_le_bytes());
    all.extend(body);
    all
}

fn provision(facts: &str) -> Vec<u8> {
    let (code, who, seed) = (10u16.to_le_bytes(), 3u16.to_le_bytes(), 9u64.to_le_bytes());
    let length = (facts.len() as u32).to_le_bytes();
    [&code[..], &who, &seed, &length, facts.as_bytes()].concat()
}

fn register(table: u8, port: u16) -> Vec<u8> {
    let entry = [
        &[10, 18, 74, 7][..],
        &port.to_le_bytes(),
        &[0; 6],
        &[1],
        &1f32.to_le_bytes(),
        &[0; 8],
    ]
    .concat();
    [
        &9u16.to_le_bytes()[..],
        &[table],
        &1u32.to_le_bytes(),
        &entry,
    ]
    .concat()
}

fn endpoints(mode: u8, table: u8) -> Vec<u8> {
    [
        &4u16.to_le_bytes()[..],
        &3u16.to_le_bytes(),
        &[mode],
        &1u64.to_le_bytes(),
        &[table],
    ]
    .concat()
}

fn query(id: u64) -> Vec<u8> {
    let head = [
        &3u16.to_le_bytes()[..],
        &3u16.to_le_bytes(),
        &id.to_le_bytes(),
        &[0, 0, 0],
        &[0; 8],
    ]
    .concat();
    [
        &head[..],
        &4_000_000_000u64.to_le_bytes(),
        &100_000_000u64.to_le_bytes(),
        &[0; 8],
        &[1],
    ]
    .concat()
}

fn outcome(id: u64, status: u8, closed: u8) -> Vec<u8> {
    let head = [
        &11u16.to_le_bytes()[..],
        &3u16.to_le_bytes(),
        &id.to_le_bytes(),
        &[status],
        &[0; 13],
    ]
    .concat();
    [
        &head[..],
        &[closed],
        &[10, 18, 74, 7],
        &8000u16.to_le_bytes(),
        &[0],
    ]
    .concat()
}

fn replies(input: &[u8]) -> (Result<(), String>, Vec<Vec<u8>>) {
    let mut out = Vec::new();
    let result = serve(input, &mut out);
    let (mut rest, mut frames) = (&out[..], Vec::new());
    while let Some((length, body)) = rest.split_first_chunk::<4>() {
        let (frame, after) = body.split_at(u32::from_le_bytes(*length) as usize);
        frames.push(frame.to_vec());
        rest = after;
    }
    (result, frames)
}

fn has(frame: &[u8], code: u16, id: u64) -> bool {
    let record = [
        &code.to_le_bytes()[..],
        &3u16.to_le_bytes(),
        &id.to_le_bytes(),
    ]
    .concat();
    frame.windows(record.len()).any(|w| w == record)
}

#[test]
fn empty_batches_get_empty_replies_and_the_end_of_input_is_clean() {
    let (result, frames) = replies(&[batch(5, &[]), batch(9, &[])].concat());
    assert_eq!((result, frames), (Ok(()), vec![vec![], vec![]]));
}

#[test]
fn a_reused_list_number_is_resolved_in_order_of_events() {
    let events = [
        provision(FACTS),
        register(0, 8000),
        endpoints(2, 0),
        register(0, 8001),
        query(7),
    ];
    let (result, frames) = replies(&batch(1, &events));
    assert_eq!(result, Ok(()));
    let sent = [
        &67u16.to_le_bytes()[..],
        &3u16.to_le_bytes(),
        &7u64.to_le_bytes(),
        &[10, 18, 74, 7],
    ]
    .concat();
    let sent = [&sent[..], &8000u16.to_le_bytes(), &0u64.to_le_bytes()].concat();
    assert!(
        frames[0].windows(sent.len()).any(|w| w == sent),
        "{:02x?}",
        frames[0]
    );
}

#[test]
fn a_failed_attempt_goes_out_again_and_what_is_over_is_ignored() {
    let start = [
        provision(FACTS),
        register(0, 8000),
        endpoints(2, 0),
        query(7),
    ];
    let gone = [
        &5u16.to_le_bytes()[..],
        &3u16.to_le_bytes(),
        &7u64.to_le_bytes(),
    ]
    .concat();
    let off = [&7u16.to_le_bytes()[..], &3u16.to_le_bytes()].concat();
    let input = [
        batch(1, &start),
        batch(2, &[outcome(7, 4, 0)]),
        batch(3, &[outcome(7, 1, 1), gone]),
        batch(4, &[off, provision(FACTS), endpoints(2, 0), query(8)]),
    ];
    let (result, frames) = replies(&input.concat());
    assert_eq!(result, Ok(()));
    assert!(
        has(&frames[0], 67, 7) && has(&frames[1], 67, 7),
        "sent, and sent again"
    );
    assert!(
        !has(&frames[2], 67, 7) && !has(&frames[2], 77, 7),
        "settled"
    );
    assert!(
        has(&frames[3], 67, 8),
        "started anew in the batch of its stop"
    );
}

#[test]
fn what_is_malformed_is_reported_with_its_place() {
    let unknown = batch(1, &[vec![99, 0, 3, 0]]);
    assert!(replies(&unknown).0.unwrap_err().contains("unknown code 99"));
    let cut = batch(1, &[provision(FACTS)]);
    assert!(replies(&cut[..40])
        .0
        .unwrap_err()
        .contains("input ends inside the frame"));
    assert!(replies(&cut[..7])
        .0
        .unwrap_err()
        .contains("inside the header, after 7 bytes"));
    let short = batch(1, &[query(7)[..20].to_vec()]);
    assert!(replies(&short).0.unwrap_err().contains("record 0"));
}

#[test]
fn a_rule_without_its_figure_is_a_fault_of_that_instance_alone() {
    let facts = FACTS.replace("\"cold_from\": 0.3, ", "");
    assert!(read_policy_config(facts.as_bytes())
        .unwrap_err()
        .to_string()
        .contains("guarantees.cold_from"));
    let (result, frames) = replies(&batch(1, &[provision(&facts)]));
    assert_eq!(result, Ok(()));
    assert_eq!(frames[0][..4], [76, 0, 3, 0]);
}
