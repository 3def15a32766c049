//! The gateway closes a connection while the client is still sending.

use crate::patient_gateway::{
    answering_engine, send_call_with_long_deadline, start_with_long_connect_timeout,
};
use crate::support::{assert_connection_closed, fetch_count};
use ironstair_test_cluster::stub::Client;
use std::io::{Read, Write};
use std::thread;
use std::time::Duration;

#[test]
fn close_over_unread_bytes_delivers_the_last_answer_first() {
    // A close with unread bytes in the receive buffer makes the kernel send a reset, which may discard the last answer
    // before the client has read it. The gateway closes after each of these messages, while more bytes arrive than it
    // reads.
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
fn request_that_crosses_an_idle_close_reads_the_end_of_the_connection_and_no_reset() {
    // If the gateway closes its socket without reading what still arrives, a late request makes the kernel reset the
    // connection.
    let (engine_address, recorded_lines) = answering_engine();
    let mut gateway = start_with_long_connect_timeout("idle-close", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    send_call_with_long_deadline(&mut client, "lookup", 1);
    assert_eq!(client.receive_rows().0, 1);
    gateway.signal("-TERM");
    // The shutdown closes idle connections.
    assert_connection_closed(&mut client);

    // The same as a request sent before the client noticed the close: it arrives after the close.
    send_call_with_long_deadline(&mut client, "lookup", 2);
    thread::sleep(Duration::from_millis(20));

    assert!(client.try_send("{}"), "the connection was reset");
    assert_eq!(
        fetch_count(&recorded_lines),
        1,
        "a request read after the close is not sent to an engine"
    );
    drop(client);
    assert!(gateway.process.wait().unwrap().success());
}
