//! Clients occupy all places, or all descriptors of the process.

use crate::patient_gateway::{
    answering_engine, ask_patiently, patient_gateway, patient_gateway_with_limits,
};
use crate::support::{change_name_service_address, engine_with_rows};
use ironstair_test_cluster::stub::{becomes_true, engine_list_answer, start_name_service, Client};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::net::TcpStream;

/// The row of the new engine in base64.
const NEW_ROW_BASE64: &str = "bmV3CQkK";

#[test]
fn idle_clients_in_all_places_do_not_prevent_reading_a_moved_name_service() {
    let (old, _) = engine_with_rows("old\t\t\n");
    let (new, _) = engine_with_rows("new\t\t\n");
    let gateway = patient_gateway_with_limits("fill", &[("e1", old)], 192, 64);
    drop(Client::connect(&gateway));
    let idle: Vec<TcpStream> = (0..300)
        .filter_map(|_| TcpStream::connect(gateway.address).ok())
        .collect();

    let (names, name_answer) = start_name_service();
    *name_answer.lock().unwrap() = engine_list_answer(2, &[("e2", new, 0)]);
    change_name_service_address(&gateway, names);

    let mut call = 1;
    assert!(becomes_true(|| {
        call += 1;
        let mut client = Client::connect(&gateway);
        client.send_call(call);
        let answer = client.try_receive();
        answer.is_some_and(|a| a["result"]["bytes"] == NEW_ROW_BASE64)
    }));
    drop(idle);
}

/// Lets a process open only `more` descriptors beyond those that it has.
fn limit_descriptors(pid: u32, more: u64) {
    let directory = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let limit = Some(directory.count() as u64 + more);
    let limits = Rlimit {
        current: limit,
        maximum: limit,
    };
    prlimit(Pid::from_raw(pid as i32), Resource::Nofile, limits).unwrap();
}

#[test]
fn client_without_a_descriptor_is_accepted_when_the_next_one_is_released() {
    let (at, _) = answering_engine();
    let gateway = patient_gateway("descriptors", &[("e1", at)]);
    let mut client = Client::connect(&gateway);
    ask_patiently(&mut client, "lookup", 1);
    assert_eq!(client.receive_rows().0, 1);
    limit_descriptors(gateway.process.id(), 4);

    let mut others: Vec<Client> = (0..12).map(|_| Client::connect(&gateway)).collect();
    others.truncate(2);

    let mut last = Client::connect(&gateway);
    ask_patiently(&mut last, "lookup", 2);
    assert_eq!(last.receive_rows().0, 2);
    ask_patiently(&mut client, "lookup", 3);
    assert_eq!(
        client.receive_rows().0,
        3,
        "the connection from before serves on"
    );
}
