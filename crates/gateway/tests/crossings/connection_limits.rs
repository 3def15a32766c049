//! Clients occupy all connection slots, or all file descriptors of the process.

use crate::patient_gateway::{
    answering_engine, send_call_with_long_deadline, start_with_limits,
    start_with_long_connect_timeout,
};
use crate::support::{change_name_service_address, engine_with_rows};
use ironstair_test_cluster::stub::{becomes_true, engine_list_answer, start_name_service, Client};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::net::TcpStream;

/// The row of the new engine, in base64.
const NEW_ROW_BASE64: &str = "bmV3CQkK";

#[test]
fn idle_clients_in_all_places_do_not_block_queries_to_a_changed_name_service() {
    // Idle clients must not use up the descriptors: the query to the new address needs a socket, and so does the
    // connection to the new engine.
    let (old_engine, _) = engine_with_rows("old\t\t\n");
    let (new_engine, _) = engine_with_rows("new\t\t\n");
    let gateway = start_with_limits("fill", &[("e1", old_engine)], 192, 64);
    drop(Client::connect(&gateway));
    let idle_connections: Vec<TcpStream> = (0..300)
        .filter_map(|_| TcpStream::connect(gateway.address).ok())
        .collect();

    let (name_service, name_answer) = start_name_service();
    *name_answer.lock().unwrap() = engine_list_answer(2, &[("e2", new_engine, 0)]);
    change_name_service_address(&gateway, name_service);

    let mut call = 1;
    assert!(becomes_true(|| {
        call += 1;
        let mut client = Client::connect(&gateway);
        client.send_call(call);
        let answer = client.try_receive();
        answer.is_some_and(|answer| answer["result"]["bytes"] == NEW_ROW_BASE64)
    }));
    drop(idle_connections);
}

/// Limits a process to `additional` descriptors beyond those that it has open.
fn limit_descriptors(pid: u32, additional: u64) {
    let directory = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let limit = Some(directory.count() as u64 + additional);
    let limits = Rlimit {
        current: limit,
        maximum: limit,
    };
    prlimit(Pid::from_raw(pid as i32), Resource::Nofile, limits).unwrap();
}

#[test]
fn client_without_a_descriptor_is_accepted_when_one_is_released() {
    // The release of a descriptor must wake the gateway's accept loop, which failed for lack of one. Twelve connections
    // exceed the four descriptors that are left; dropping ten of them releases some.
    let (engine_address, _) = answering_engine();
    let gateway = start_with_long_connect_timeout("descriptors", &[("e1", engine_address)]);
    let mut client = Client::connect(&gateway);
    send_call_with_long_deadline(&mut client, "lookup", 1);
    assert_eq!(client.receive_rows().0, 1);
    limit_descriptors(gateway.process.id(), 4);

    let mut other_clients: Vec<Client> = (0..12).map(|_| Client::connect(&gateway)).collect();
    other_clients.truncate(2);

    let mut last_client = Client::connect(&gateway);
    send_call_with_long_deadline(&mut last_client, "lookup", 2);
    assert_eq!(last_client.receive_rows().0, 2);
    send_call_with_long_deadline(&mut client, "lookup", 3);
    assert_eq!(
        client.receive_rows().0,
        3,
        "the connection from before the limit still works"
    );
}
