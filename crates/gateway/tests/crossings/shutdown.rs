//! Connections and requests that arrive during the shutdown of the gateway.

use crate::patient_gateway::{
    answering_engine, send_call_with_long_deadline, start_with_limits,
    start_with_long_connect_timeout,
};
use crate::support::{fetch_count, silent_engine};
use ironstair_test_cluster::stub::{becomes_true, Client, REJECTED};
use std::io::ErrorKind;
use std::thread;
use std::time::Duration;

#[test]
fn connection_accepted_by_the_system_is_answered_before_the_gateway_exits() {
    // Connections in the kernel's accept queue must not be dropped with the listener. Requests without an answer occupy
    // all connection slots; further connections have arrived and wait.
    let (engine_address, recorded_lines) = silent_engine();
    let mut gateway = start_with_limits("backlog", &[("e1", engine_address)], 192, 32);
    let mut busy_clients: Vec<Client> = (1..=16).map(|_| Client::connect(&gateway)).collect();
    for (call, client) in (1..).zip(&mut busy_clients) {
        send_call_with_long_deadline(client, "lookup", call);
    }
    assert!(becomes_true(|| fetch_count(&recorded_lines) == 16));
    let mut waiting_clients: Vec<Client> = (0..2).map(|_| Client::connect(&gateway)).collect();
    for (call, client) in (77..).zip(&mut waiting_clients) {
        send_call_with_long_deadline(client, "lookup", call);
    }

    gateway.signal("-TERM");

    assert_eq!(
        waiting_clients[0].receive()["error"]["code"],
        REJECTED,
        "the connection accepted by the system is answered"
    );
    for client in &mut busy_clients {
        assert!(client.try_receive().is_some());
    }
    assert!(gateway.process.wait().unwrap().success());
    assert_eq!(
        fetch_count(&recorded_lines),
        16,
        "requests read after the signal are not sent to an engine"
    );
}

#[test]
fn request_that_meets_the_shutdown_on_an_idle_connection_is_answered_or_never_sent() {
    // A request that arrives as the gateway closes the idle connection must not be sent to an engine and left
    // unanswered.
    for round in 0..3 {
        let (engine_address, recorded_lines) = answering_engine();
        let mut gateway =
            start_with_long_connect_timeout(&format!("resting-{round}"), &[("e1", engine_address)]);
        let mut client = Client::connect(&gateway);
        send_call_with_long_deadline(&mut client, "lookup", 1);
        assert_eq!(client.receive_rows().0, 1);

        // The process is paused until idle connections are due to be closed. When it continues, it finds that and the
        // request at the same time.
        gateway.signal("-TERM");
        gateway.signal("-STOP");
        thread::sleep(Duration::from_millis(750));
        send_call_with_long_deadline(&mut client, "lookup", 2);
        gateway.signal("-CONT");

        match client.0.get_ref().peek(&mut [0; 1]) {
            Ok(0) => assert_eq!(
                fetch_count(&recorded_lines),
                1,
                "the request was sent to an engine and not answered"
            ),
            Ok(_) => assert_eq!(client.receive()["id"], 2),
            Err(error) => panic!(
                "the connection failed: {error}; reset: {:?}",
                error.kind() == ErrorKind::ConnectionReset
            ),
        }
        drop(client);
        assert!(gateway.process.wait().unwrap().success());
    }
}
