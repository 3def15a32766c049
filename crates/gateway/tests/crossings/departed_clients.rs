//! Requests whose client has left or cancelled them, and their ids if they come again.

use crate::patient_gateway::{
    one_row_reply, send_call_with_long_deadline, start_with_long_connect_timeout,
    wait_until_processed,
};
use crate::support::{cancel_notification, health_check_call, ROW};
use ironstair_test_cluster::stub::{
    done_reply, start_engine, Client, Gateway, ManualEngine, ReceivedCommand,
};
use rustix::net::sockopt::set_socket_linger;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

/// The call that the client leaves, of a class whose requests must not run twice.
const CALL: u64 = 5;

/// A gateway, and a client with a call that its engine has received and not answered.
struct CallAtEngine {
    gateway: Gateway,
    engine: ManualEngine,
    client: Client,
    attempt: ReceivedCommand,
}

impl CallAtEngine {
    fn start(test: &str) -> CallAtEngine {
        let mut engine = ManualEngine::start();
        let gateway = start_with_long_connect_timeout(test, &[("e1", engine.address)]);
        let mut client = Client::connect(&gateway);
        send_call_with_long_deadline(&mut client, "post", CALL);
        let attempt = engine.wait_for("fetch 0000000000000005 ");
        CallAtEngine {
            gateway,
            engine,
            client,
            attempt,
        }
    }

    /// Has the engine complete the attempt, and waits until the gateway has forgotten the request.
    fn complete(&self) {
        let reply = String::from_utf8(done_reply(&self.attempt.line, ROW)).unwrap();
        self.engine.send(self.attempt.connection, &reply);
    }

    /// Sends the call again from another client until its id is free or it is refused for good, and asserts that the
    /// engine does not receive it a second time.
    fn assert_does_not_run_again(&mut self, test: &str) {
        // The gateway has handled the end of the first attempt by the time a later request is answered.
        let mut other_client = Client::connect(&self.gateway);
        for call in [100, 101] {
            send_call_with_long_deadline(&mut other_client, "lookup", call);
            let lookup = self.engine.wait_for(&format!("fetch {call:016x} "));
            let reply = String::from_utf8(done_reply(&lookup.line, ROW)).unwrap();
            self.engine.send(lookup.connection, &reply);
            assert_eq!(other_client.receive_rows().0, call);
        }
        send_call_with_long_deadline(&mut other_client, "post", CALL);
        wait_until_processed_or_answered(&mut other_client);
        assert!(
            !self.engine.has_received("fetch 0000000000000005 "),
            "{test}: the request ran a second time"
        );
    }
}

/// The name of a test, and how its client leaves.
type WayToLeave = (&'static str, fn(&mut Client));

/// Waits until the policy has processed the call: it is refused, or its attempt is at the engine.
fn wait_until_processed_or_answered(client: &mut Client) {
    client.send(&health_check_call(200));
    let first = client.receive();
    let is_refused = first["error"]["code"] == -32602;
    thread::sleep(Duration::from_millis(100));
    assert!(is_refused || first["id"] == 200, "{first}");
}

#[test]
fn id_of_a_request_whose_client_left_is_refused_when_it_comes_again() {
    // The first attempt may have run. A request with the same id, sent after the client left, must not run again.
    let ways: [WayToLeave; 4] = [
        ("again-closed", |client| {
            client.0.get_ref().shutdown(Shutdown::Both).unwrap();
        }),
        ("again-half-closed", |client| {
            client.0.get_ref().shutdown(Shutdown::Write).unwrap();
        }),
        ("again-cancelled", |client| {
            client.send(&cancel_notification(CALL));
            wait_until_processed(client);
        }),
        ("again-reset", |client| {
            set_socket_linger(client.0.get_ref(), Some(Duration::ZERO)).unwrap();
            // Dropping the other clone of the socket resets the connection.
            let other = TcpStream::connect(client.0.get_ref().peer_addr().unwrap()).unwrap();
            drop(std::mem::replace(
                &mut client.0,
                std::io::BufReader::new(other),
            ));
        }),
    ];
    for (test, leave) in ways {
        let mut call = CallAtEngine::start(test);
        leave(&mut call.client);
        // Longer than the time for which attempts of a client that left may start.
        thread::sleep(Duration::from_millis(120));
        call.complete();
        call.assert_does_not_run_again(test);
    }
}

/// Has the gateway stopped while the client writes a request and its cancellation, and returns the client.
fn cancel_while_stopped(gateway: &Gateway) -> Client {
    let mut client = Client::connect(gateway);
    wait_until_processed(&mut client);
    gateway.signal("-STOP");
    send_call_with_long_deadline(&mut client, "post", CALL);
    client.send(&cancel_notification(CALL));
    // Longer than the time for which attempts of a client that left may start.
    thread::sleep(Duration::from_millis(150));
    gateway.signal("-CONT");
    client
}

#[test]
fn request_that_is_read_with_its_cancellation_is_not_sent_and_its_id_stays_free() {
    // A gateway that was late to read must look at all that has arrived before it sends a request on. What did not reach
    // an engine did not run: the same id may come again.
    let (engine, lines) = start_engine(one_row_reply);
    let gateway = start_with_long_connect_timeout("again-unsent", &[("e1", engine)]);
    let mut client = cancel_while_stopped(&gateway);
    wait_until_processed(&mut client);
    assert_eq!(lines.lock().unwrap().len(), 0);
    send_call_with_long_deadline(&mut client, "post", CALL);
    assert_eq!(client.receive_rows().0, CALL);
}
