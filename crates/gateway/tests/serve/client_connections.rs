//! Client connections that are silent, send incomplete messages, exceed the connection limit or are half closed.

use crate::support::{assert_connection_closed, engine_with_latency, engine_with_rows, ROW};
use ironstair_test_cluster::stub::{self, Client, Gateway};
use std::io::{BufRead, Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Opens more connections than the gateway has slots for, and makes a call on a further one after each hundred: a
/// connection accepted later must not wait for the silent ones.
fn connect_silent_clients_beside_regular_ones(gateway: &Gateway) -> Vec<Client> {
    let mut silent_clients = Vec::new();
    for index in 0..600 {
        silent_clients.push(Client::connect(gateway));
        if index % 100 == 99 {
            let mut regular_client = Client::connect(gateway);
            regular_client.send_call(index);
            assert_eq!(regular_client.receive_rows().0, index);
        }
    }
    silent_clients
}

#[test]
fn silent_incomplete_and_flooding_clients_are_closed_while_regular_ones_are_served() {
    // Clients that send nothing, half a message or only malformed messages must not occupy the connection slots at the
    // expense of others.
    let (engine_address, _) = engine_with_rows(ROW);
    let gateway = stub::start_gateway("misbehaving-clients", &[("e1", engine_address)]);
    let started_at = Instant::now();
    let mut incomplete_client = Client::connect(&gateway);
    let socket = incomplete_client.0.get_mut();
    socket.write_all(b"Content-Length: 90\r\n\r\n{").unwrap();

    for mut client in connect_silent_clients_beside_regular_ones(&gateway) {
        assert_eq!(client.0.read(&mut [0; 1]).unwrap_or(0), 0);
    }
    assert_eq!(incomplete_client.receive()["error"]["code"], -32700);
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");

    // The gateway answers a few malformed messages, then closes the connection.
    let mut flooding_client = Client::connect(&gateway);
    for call in 1..200 {
        flooding_client.send(&format!("{call}{}", "|".repeat(100)));
    }
    let mut line_count = 0;
    while flooding_client
        .0
        .read_line(&mut String::new())
        .is_ok_and(|length| length > 0)
    {
        line_count += 1;
    }
    assert!((16..100).contains(&line_count), "{line_count}");
}

#[test]
fn each_client_is_answered_when_there_are_more_than_connection_slots() {
    // To accept further clients the gateway closes idle connections. A connection whose first call has arrived but has
    // not been read yet looks idle, and must be kept.
    let (engine_address, _) = engine_with_rows(ROW);
    let gateway = stub::start_gateway("crowd", &[("e1", engine_address)]);
    Client::connect(&gateway).send_call(9999);
    for round in 0..2 {
        let first = 1 + 700 * round;
        let calls = first..first + 700;
        let mut clients: Vec<Client> = calls
            .clone()
            .map(|call| {
                let mut client = Client::connect(&gateway);
                client.send_call(call);
                client
            })
            .collect();
        for (client, call) in clients.iter_mut().zip(calls) {
            assert_eq!(client.receive()["id"], call);
        }
    }
}

#[test]
fn client_that_has_closed_its_sending_half_still_receives_its_answer() {
    // The end of the requests must not be taken for the end of the connection: the answer of a call that an engine has
    // received is still sent.
    let (engine_address, _) = engine_with_latency(Duration::from_millis(100));
    let gateway = stub::start_gateway("half-closed", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    client.send_call(1);
    client.0.get_mut().shutdown(Shutdown::Write).unwrap();
    assert_eq!(client.receive_rows().0, 1);
    assert_connection_closed(&mut client);
}
