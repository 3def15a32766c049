//! Tests the adapter on encoded frames. They are built here from the protocol's documentation, independently of the
//! adapter's own code.

use ironstair_simulator_adapter::{read_policy_config, serve};

const SETTINGS: &str = r#"{"classes": [{"slo_ns": 1000000000, "give_up_ns": 5000000000, "semantics": "pure",
    "worth": 1.0, "some_new_key": 3}], "fleet_size": 2, "machine_types": ["m"], "registry_mode": "automatic",
    "family_info": {"size_cores": [16], "ram_of_kind_mb": [32768.0], "threads_by_class": [1], "lanes_count": true},
    "guarantees": {"cold_from": 0.3, "warm_after_ns": 15000000000, "overload_factor": 4.0, "fall_ns": 1000000000},
    "policy_limits": {"max_attempts": 6, "may_cancel": true}, "resolution_ns": 5000000}"#;

/// Codes of actions in replies.
const START_ATTEMPT: u16 = 67;
const REFUSE_START: u16 = 76;
const REJECT: u16 = 77;

/// The number of the instance in all records.
const INSTANCE: [u8; 2] = 3u16.to_le_bytes();

fn batch(clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut frame = (records.len() as u32).to_le_bytes().to_vec();
    frame.extend((body.len() as u32 + 8).to_le_bytes());
    frame.extend(clock.to_le_bytes());
    frame.extend(body);
    frame
}

fn start_instance(settings: &str) -> Vec<u8> {
    let code = 10u16.to_le_bytes();
    let seed = 9u64.to_le_bytes();
    let length = (settings.len() as u32).to_le_bytes();
    [&code[..], &INSTANCE, &seed, &length, settings.as_bytes()].concat()
}

fn endpoint_list(list: u8, port: u16) -> Vec<u8> {
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
        &[list],
        &1u32.to_le_bytes(),
        &entry,
    ]
    .concat()
}

fn endpoints(mode: u8, list: u8) -> Vec<u8> {
    [
        &4u16.to_le_bytes()[..],
        &INSTANCE,
        &[mode],
        &1u64.to_le_bytes(),
        &[list],
    ]
    .concat()
}

fn request(id: u64) -> Vec<u8> {
    let start = [
        &3u16.to_le_bytes()[..],
        &INSTANCE,
        &id.to_le_bytes(),
        &[0, 0, 0],
        &[0; 8],
    ]
    .concat();
    [
        &start[..],
        &4_000_000_000u64.to_le_bytes(),
        &100_000_000u64.to_le_bytes(),
        &[0; 8],
        &[1],
    ]
    .concat()
}

fn attempt_ended(id: u64, status: u8, is_final: u8) -> Vec<u8> {
    let start = [
        &11u16.to_le_bytes()[..],
        &INSTANCE,
        &id.to_le_bytes(),
        &[status],
        &[0; 13],
    ]
    .concat();
    [
        &start[..],
        &[is_final],
        &[10, 18, 74, 7],
        &8000u16.to_le_bytes(),
        &[0],
    ]
    .concat()
}

/// Serves the input. Returns the error's message, if there is one, and the replies without their headers.
fn serve_bytes(input: &[u8]) -> (Result<(), String>, Vec<Vec<u8>>) {
    let mut output = Vec::new();
    let result = serve(input, &mut output).map_err(|error| error.to_string());
    let mut rest = &output[..];
    let mut frames = Vec::new();
    while let Some((length, body)) = rest.split_first_chunk::<4>() {
        let (frame, after) = body.split_at(u32::from_le_bytes(*length) as usize);
        frames.push(frame.to_vec());
        rest = after;
    }
    (result, frames)
}

/// Whether the frame contains a record with this code for this request.
fn has_record(frame: &[u8], code: u16, id: u64) -> bool {
    let record = [&code.to_le_bytes()[..], &INSTANCE, &id.to_le_bytes()].concat();
    frame.windows(record.len()).any(|window| window == record)
}

#[test]
fn empty_batches_get_empty_replies_and_end_of_input_is_no_error() {
    let (result, frames) = serve_bytes(&[batch(5, &[]), batch(9, &[])].concat());
    assert_eq!((result, frames), (Ok(()), vec![vec![], vec![]]));
}

#[test]
fn reused_list_number_is_resolved_in_order_of_events() {
    let events = [
        start_instance(SETTINGS),
        endpoint_list(0, 8000),
        endpoints(2, 0),
        endpoint_list(0, 8001),
        request(7),
    ];
    let (result, frames) = serve_bytes(&batch(1, &events));
    assert_eq!(result, Ok(()));
    let start_attempt = [
        &START_ATTEMPT.to_le_bytes()[..],
        &INSTANCE,
        &7u64.to_le_bytes(),
        &[10, 18, 74, 7],
    ]
    .concat();
    let start_attempt = [
        &start_attempt[..],
        &8000u16.to_le_bytes(),
        &0u64.to_le_bytes(),
    ]
    .concat();
    assert!(
        frames[0]
            .windows(start_attempt.len())
            .any(|window| window == start_attempt),
        "{:02x?}",
        frames[0]
    );
}

#[test]
fn failed_attempt_is_retried_and_late_events_are_ignored() {
    let start = [
        start_instance(SETTINGS),
        endpoint_list(0, 8000),
        endpoints(2, 0),
        request(7),
    ];
    let cancelled = [&5u16.to_le_bytes()[..], &INSTANCE, &7u64.to_le_bytes()].concat();
    let stop = [&7u16.to_le_bytes()[..], &INSTANCE].concat();
    let input = [
        batch(1, &start),
        batch(2, &[attempt_ended(7, 4, 0)]),
        batch(3, &[attempt_ended(7, 1, 1), cancelled]),
        batch(
            4,
            &[stop, start_instance(SETTINGS), endpoints(2, 0), request(8)],
        ),
    ];
    let (result, frames) = serve_bytes(&input.concat());
    assert_eq!(result, Ok(()));
    assert!(
        has_record(&frames[0], START_ATTEMPT, 7) && has_record(&frames[1], START_ATTEMPT, 7),
        "the request is attempted and retried"
    );
    assert!(
        !has_record(&frames[2], START_ATTEMPT, 7) && !has_record(&frames[2], REJECT, 7),
        "a completed request is neither retried nor rejected"
    );
    assert!(
        has_record(&frames[3], START_ATTEMPT, 8),
        "the instance starts again in the batch that stopped it"
    );
}

#[test]
fn malformed_frame_is_reported_with_its_position() {
    let unknown = batch(1, &[vec![99, 0, 3, 0]]);
    assert!(serve_bytes(&unknown)
        .0
        .unwrap_err()
        .contains("unknown record code 99"));
    let start = batch(1, &[start_instance(SETTINGS)]);
    assert!(serve_bytes(&start[..40])
        .0
        .unwrap_err()
        .contains("input ends inside the frame"));
    assert!(serve_bytes(&start[..7])
        .0
        .unwrap_err()
        .contains("inside the header, after 7 bytes"));
    let truncated = batch(1, &[request(7)[..20].to_vec()]);
    assert!(serve_bytes(&truncated).0.unwrap_err().contains("record 0"));
}

#[test]
fn missing_setting_refuses_only_that_instance() {
    let settings = SETTINGS.replace("\"cold_from\": 0.3, ", "");
    assert!(read_policy_config(settings.as_bytes())
        .unwrap_err()
        .to_string()
        .contains("guarantees.cold_from"));
    let (result, frames) = serve_bytes(&batch(1, &[start_instance(&settings)]));
    assert_eq!(result, Ok(()));
    assert_eq!(frames[0][..2], REFUSE_START.to_le_bytes());
    assert_eq!(frames[0][2..4], INSTANCE);
}
