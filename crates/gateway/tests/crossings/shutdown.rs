//! Connections and requests that meet the shutdown of the gateway.

use crate::patient_gateway::{
    answering_engine, ask_patiently, patient_gateway, patient_gateway_with_limits,
};
use crate::support::{fetch_count, silent_engine};
use ironstair_test_cluster::stub::{becomes_true, Client, REJECTED};
use std::io::ErrorKind;
use std::thread;
use std::time::Duration;

#[test]
fn connection_accepted_by_the_system_is_answered_before_the_gateway_ends() {
    // All places are taken by requests that nobody answers; one more connection has arrived and waits for a place.
    let (at, seen) = silent_engine();
    let mut gateway = patient_gateway_with_limits("backlog", &[("e1", at)], 192, 32);
    let mut busy: Vec<Client> = (1..=16).map(|_| Client::connect(&gateway)).collect();
    for (call, client) in (1..).zip(&mut busy) {
        ask_patiently(client, "lookup", call);
    }
    assert!(becomes_true(|| fetch_count(&seen) == 16));
    let mut waiting: Vec<Client> = (0..2).map(|_| Client::connect(&gateway)).collect();
    for (call, client) in (77..).zip(&mut waiting) {
        ask_patiently(client, "lookup", call);
    }

    gateway.signal("-TERM");

    assert_eq!(
        waiting[0].receive()["error"]["code"],
        REJECTED,
        "accepted by the system, and answered"
    );
    for client in &mut busy {
        assert!(client.try_receive().is_some());
    }
    assert!(gateway.process.wait().unwrap().success());
    assert_eq!(
        fetch_count(&seen),
        16,
        "requests read after the signal are not sent"
    );
}

#[test]
fn request_that_meets_the_shutdown_on_an_idle_connection_is_answered_or_never_accepted() {
    for round in 0..3 {
        let (at, seen) = answering_engine();
        let mut gateway = patient_gateway(&format!("resting-{round}"), &[("e1", at)]);
        let mut client = Client::connect(&gateway);
        ask_patiently(&mut client, "lookup", 1);
        assert_eq!(client.receive_rows().0, 1);

        // The stopped gateway finds the shutdown and the request at the same moment.
        gateway.signal("-TERM");
        gateway.signal("-STOP");
        thread::sleep(Duration::from_millis(750));
        ask_patiently(&mut client, "lookup", 2);
        gateway.signal("-CONT");

        match client.0.get_ref().peek(&mut [0; 1]) {
            Ok(0) => assert_eq!(fetch_count(&seen), 1, "not answered, and sent"),
            Ok(_) => assert_eq!(client.receive()["id"], 2),
            Err(e) => panic!("{:?}: reset", e.kind() == ErrorKind::ConnectionReset),
        }
        drop(client);
        assert!(gateway.process.wait().unwrap().success());
    }
}
