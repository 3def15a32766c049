//! A name service does not answer one of the gateway's sockets.

use crate::patient_gateway::start_with_long_connect_timeout;
use crate::support::{change_name_service_address, engine_with_rows};
use ironstair_test_cluster::stub::{becomes_true, engine_list_answer, Client};
use std::net::{SocketAddr, UdpSocket};
use std::thread;

/// Starts a name service that never answers the first socket that queries it, and answers all others.
fn name_service_deaf_to_first_socket(engine: SocketAddr) -> SocketAddr {
    let service = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = service.local_addr().unwrap();
    thread::spawn(move || {
        let mut query = [0; 512];
        let mut first_socket = None;
        let list = engine_list_answer(2, &[("e2", engine, 0)]);
        while let Ok((_, sender)) = service.recv_from(&mut query) {
            if *first_socket.get_or_insert(sender) != sender {
                let _ = service.send_to(&[&query[..2], &list].concat(), sender);
            }
        }
    });
    address
}

#[test]
fn name_service_that_is_silent_towards_one_socket_is_queried_from_another() {
    // A gateway that repeats its queries on a socket that gets no answers keeps an old list for ever, although another
    // socket would be answered.
    let (old_engine, _) = engine_with_rows("old\t\t\n");
    let (new_engine, _) = engine_with_rows("new\t\t\n");
    let gateway = start_with_long_connect_timeout("silent-socket", &[("e1", old_engine)]);
    drop(Client::connect(&gateway));

    change_name_service_address(&gateway, name_service_deaf_to_first_socket(new_engine));

    let mut client = Client::connect(&gateway);
    let mut call = 1;
    assert!(becomes_true(|| {
        call += 1;
        client.send_call(call);
        client.receive_rows().1 == b"new\t\t\n"
    }));
}
