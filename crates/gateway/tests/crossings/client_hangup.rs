//! A client cancels its requests, or closes or resets its connection, while they wait for an engine.

use crate::patient_gateway::{
    call_with_long_deadline, marker_message, one_row_reply, send_call_with_long_deadline,
    start_with_edited_config, start_with_limits, start_with_long_connect_timeout,
    wait_for_marker_answer, wait_until_processed,
};
use crate::support::{
    assert_connection_closed, cancel_notification, engine_with_status, fetch_count,
};
use ironstair_test_cluster::stub::{becomes_true, framed, Client, FullListener, REJECTED};
use rustix::net::sockopt::{set_socket_linger, set_socket_recv_buffer_size};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// For this long after a client's close the gateway may still start attempts of its requests.
const MAX_START_AFTER_CLOSE: Duration = Duration::from_millis(100);

/// The ways in which a client abandons its eight requests: cancellation, close, half close and reset.
fn hangups() -> [fn(Client); 4] {
    let cancel_all = |mut client: Client| {
        (1..=8).for_each(|call| client.send(&cancel_notification(call)));
        wait_until_processed(&mut client);
    };
    let close = |client: Client| client.0.get_ref().shutdown(Shutdown::Both).unwrap();
    let half_close = |mut client: Client| {
        client.0.get_ref().shutdown(Shutdown::Write).unwrap();
        // The receiving half stays open for the answers.
        thread::spawn(move || while client.try_receive().is_some() {});
    };
    let reset = |client: Client| {
        set_socket_linger(client.0.get_ref(), Some(Duration::ZERO)).unwrap();
    };
    [cancel_all, close, half_close, reset]
}

#[test]
fn client_that_hung_up_before_its_engine_connection_was_up_has_no_attempt_started() {
    // An attempt that waits for its engine connection must not be written once that is established, if its client has
    // left in the meantime.
    for (index, hang_up) in hangups().into_iter().enumerate() {
        let (engine_address, full_listener) = FullListener::bind();
        let gateway =
            start_with_long_connect_timeout(&format!("left-{index}"), &[("e1", engine_address)]);
        let mut client = Client::connect(&gateway);
        (1..=8).for_each(|call| send_call_with_long_deadline(&mut client, "lookup", call));
        full_listener.wait_for_pending_connections(8);

        hang_up(client);
        thread::sleep(MAX_START_AFTER_CLOSE);
        let opened_listener = full_listener.open(one_row_reply);
        opened_listener.wait_for_established_connections(8);

        let mut other_client = Client::connect(&gateway);
        send_call_with_long_deadline(&mut other_client, "lookup", 77);
        assert_eq!(other_client.receive_rows().0, 77, "{index}");
        let recorded_lines = opened_listener.recorded_lines.lock().unwrap();
        assert!(
            recorded_lines
                .iter()
                .all(|line| line.starts_with("fetch 000000000000004d ")),
            "{index}: {recorded_lines:?}"
        );
    }
}

/// Reads to the end of a connection, or until nothing has arrived for a second, since the gateway may keep it open.
fn read_to_end(mut connection: TcpStream) -> String {
    let timeout = Some(Duration::from_secs(1));
    connection.set_read_timeout(timeout).unwrap();
    let mut received = Vec::new();
    let _ = connection.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

/// Starts an engine that accepts two connections, and reads them only once `start_signal` arrives. Its thread returns
/// all that it read.
fn stalled_engine(listener: TcpListener, start_signal: mpsc::Receiver<()>) -> JoinHandle<String> {
    thread::spawn(move || {
        let connections = [(); 2].map(|()| listener.accept().unwrap().0);
        start_signal.recv().unwrap();
        let readers = connections.map(|connection| thread::spawn(move || read_to_end(connection)));
        readers.map(|reader| reader.join().unwrap()).concat()
    })
}

#[test]
fn cancellation_overtakes_an_attempt_that_waits_behind_a_stalled_engine() {
    // The cancellation must take back the attempt where it is queued: written behind it, the engine would run the
    // attempt first. The engine's two connections are full of statements that it does not read; the last attempt waits
    // behind them.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    set_socket_recv_buffer_size(&listener, 4096).unwrap();
    let engine_address = listener.local_addr().unwrap();
    let (start_reading, start_signal) = mpsc::channel::<()>();
    let engine = stalled_engine(listener, start_signal);
    let gateway = start_with_edited_config("held-back", &[("e1", engine_address)], |config| {
        config["limits"] = json!({"memory_mb": 192, "sockets": 8});
        config["settings"]["policy_limits"]["multiplex"] = json!(64);
    });
    // Each connection gets more than the 4 MiB that the kernel buffers for a peer that reads nothing.
    let long_statement = "QUJD".repeat(62_000);
    let mut filling_clients = [Client::connect(&gateway), Client::connect(&gateway)];
    for call in 1..=60u64 {
        filling_clients[call as usize % 2].send(&call_with_long_deadline(
            call,
            "lookup",
            &long_statement,
        ));
    }
    filling_clients.iter_mut().for_each(wait_until_processed);
    let mut client = Client::connect(&gateway);
    send_call_with_long_deadline(&mut client, "lookup", 77);
    wait_until_processed(&mut client);

    client.send(&cancel_notification(77));
    wait_until_processed(&mut client);
    start_reading.send(()).unwrap();

    let received = engine.join().unwrap();
    assert!(
        received.contains("fetch 000000000000003c"),
        "the attempts queued before it were not written"
    );
    assert!(
        !received.contains("fetch 000000000000004d"),
        "the attempt was started after its cancellation"
    );
}

#[test]
fn half_closed_client_has_no_further_attempt_started_and_is_answered_at_once() {
    // A request whose client has left must not be retried until its deadline. The engine reports that it is full, so
    // the request waits between two attempts when its client closes.
    let (engine_address, recorded_lines) = engine_with_status("WAIT");
    let gateway = start_with_long_connect_timeout("half-closed", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    send_call_with_long_deadline(&mut client, "lookup", 1);
    assert!(becomes_true(|| fetch_count(&recorded_lines) >= 1));

    client.0.get_ref().shutdown(Shutdown::Write).unwrap();
    let closed_at = Instant::now();

    assert_eq!(client.receive()["error"]["code"], REJECTED);
    let elapsed = closed_at.elapsed();
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    assert_connection_closed(&mut client);
}

#[test]
fn client_that_closes_while_the_gateway_does_not_read_it_has_no_attempt_started() {
    // At a gateway with little memory, of which another client's requests hold a part, the close comes right behind
    // requests that may not be read yet, and must be noticed all the same.
    let (engine_address, full_listener) = FullListener::bind();
    let gateway = start_with_limits("unread", &[("e1", engine_address)], 1, 64);
    let mut client = Client::connect(&gateway);
    let mut occupying_client = Client::connect(&gateway);
    (1..=4).for_each(|call| send_call_with_long_deadline(&mut client, "lookup", call));
    full_listener.wait_for_pending_connections(4);
    let calls =
        (100..130).map(|call| framed(&call_with_long_deadline(call, "lookup", "c2VsZWN0IDE=")));
    let calls: String = calls.chain([framed(&marker_message())]).collect();
    let socket = occupying_client.0.get_mut();
    socket.write_all(calls.as_bytes()).unwrap();
    wait_for_marker_answer(&mut occupying_client);

    (5..=9).for_each(|call| send_call_with_long_deadline(&mut client, "lookup", call));
    client.0.get_ref().shutdown(Shutdown::Write).unwrap();
    thread::sleep(Duration::from_millis(200));
    let opened_listener = full_listener.open(one_row_reply);

    (0..30).for_each(|_| assert!(occupying_client.receive_rows().0 >= 100));
    // At the end of the connection the gateway has read all that the client sent.
    let _ = client.0.read_to_end(&mut Vec::new());
    let recorded_lines = opened_listener.recorded_lines.lock().unwrap();
    let is_of_client = |line: &&String| line.starts_with("fetch 000000000000000");
    assert_eq!(
        recorded_lines.iter().filter(is_of_client).count(),
        0,
        "{recorded_lines:?}"
    );
}
