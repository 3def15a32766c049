//! The gateway closes a connection while the client still sends.

use crate::patient_gateway::{
    answering_engine, send_call_with_long_deadline, start_with_long_connect_timeout,
};
use crate::support::{assert_connection_closed, fetch_count};
use ironstair_test_cluster::stub::Client;
use std::io::{Read, Write};
use std::thread;
use std::time::Duration;

#[test]
fn close_over_unread_bytes_does_not_destroy_the_last_answer() {
    // The gateway closes after each of these messages, while more bytes arrive than it reads.
    let (engine_address, _) = answering_engine();
    let malformed = ["GET / HTTP/1.1\r\n\r\n", "Content-Length: 1e9\r\n\r\n"];
    for (index, message) in malformed.into_iter().enumerate() {
        let gateway =
            start_with_long_connect_timeout(&format!("unread-{index}"), &[("e1", engine_address)]);
        let mut client = Client::connect(&gateway);
        send_call_with_long_deadline(&mut client, "lookup", 1);
        assert_eq!(client.receive_rows().0, 1);

        client.0.get_mut().write_all(message.as_bytes()).unwrap();
        let mut sending_half = client.0.get_ref().try_clone().unwrap();
        let flooding_thread = thread::spawn(move || drop(sending_half.write_all(&[b'x'; 100_000])));

        assert_eq!(client.receive()["error"]["code"], -32700, "{index}");
        flooding_thread.join().unwrap();
        let read_result = client.0.read(&mut [0; 1]);
        assert!(matches!(read_result, Ok(0)), "{index}: {read_result:?}");
    }
}

#[test]
fn request_that_crosses_an_idle_close_finds_the_end_of_the_connection_and_no_reset() {
    let (engine_address, recorded_lines) = answering_engine();
    let mut gateway = start_with_long_connect_timeout("idle-close", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    send_call_with_long_deadline(&mut client, "lookup", 1);
    assert_eq!(client.receive_rows().0, 1);
    gateway.signal("-TERM");
    // The connection is idle, so it is closed.
    assert_connection_closed(&mut client);

    // As if sent before the client saw the end: it arrives behind the gateway's close.
    send_call_with_long_deadline(&mut client, "lookup", 2);
    thread::sleep(Duration::from_millis(20));

    assert!(client.try_send("{}"), "reset");
    assert_eq!(
        fetch_count(&recorded_lines),
        1,
        "read after the end, it is not sent"
    );
    drop(client);
    assert!(gateway.process.wait().unwrap().success());
}
