//! The client that makes a call now and then, and must be answered in time whatever others do.

use crate::support::call_with_fields;
use ironstair_test_cluster::stub::{Client, Gateway, REJECTED};
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// How long the client waits for each answer, and how late an answer still counts.
const WAIT: Duration = Duration::from_millis(1000);
const GRACE: Duration = Duration::from_millis(500);

/// Makes calls until the time is over, and returns how long each answer took.
pub(crate) fn call_regularly(gateway: &Gateway, duration: Duration) -> Vec<Duration> {
    let mut client = Client::connect(gateway);
    let begun_at = Instant::now();
    let mut latencies = Vec::new();
    let wait = WAIT.as_millis();
    while begun_at.elapsed() < duration {
        let call = latencies.len() as u64 + 1;
        let fields = format!(r#""id":"{call:016x}","wait":{wait},"bytes":"c2VsZWN0IDE=""#);
        let sent_at = Instant::now();
        client.send(&call_with_fields(call, "lookup", &fields));
        let answer = client.receive();
        latencies.push(sent_at.elapsed());
        assert_eq!(answer["id"], call);
        let is_final = answer["result"].is_object() || answer["error"]["code"] == REJECTED;
        assert!(is_final, "{answer}");
        thread::sleep(CALL_INTERVAL);
    }
    latencies
}

/// Asserts that every answer came in time.
pub(crate) fn assert_answered_in_time(test: &str, latencies: &[Duration]) {
    let slowest = latencies.iter().max().unwrap();
    println!("{test}: {} calls, slowest {slowest:?}", latencies.len());
    assert!(
        *slowest <= WAIT + GRACE,
        "{test}: the slowest answer took {slowest:?}"
    );
}
