//! Threads, descriptors and log lines of the gateway's process.

use crate::managed::{classes, connect, get, managed_gateway, runtime};
use ironstair_test_cluster::stub::{
    allocate_address, gateway_config, start_gateway_with_config, Client,
};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

#[derive(Debug)]
struct ProcessResources {
    threads: usize,
    descriptors: usize,
}

impl ProcessResources {
    fn of(pid: u32) -> ProcessResources {
        let entries = |directory: &str| {
            std::fs::read_dir(format!("/proc/{pid}/{directory}"))
                .unwrap()
                .count()
        };
        ProcessResources {
            threads: entries("task"),
            descriptors: entries("fd"),
        }
    }
}

#[test]
fn management_without_the_operators_file_has_no_thread_and_no_descriptor() {
    let (managed, at) = managed_gateway("holds-with", &[]);
    let (config, name_answer) = gateway_config(1, classes(), &[]);
    let unmanaged = start_gateway_with_config("holds-without", config, name_answer, None);
    Client::connect(&managed).send_call(1);
    Client::connect(&unmanaged).send_call(1);
    runtime().block_on(async { get(&mut connect(at).await, "/settings").await.unwrap() });

    let with = ProcessResources::of(managed.process.id());
    let without = ProcessResources::of(unmanaged.process.id());

    // One thread for the gateway, one each for the log and for async-io.
    assert!(
        without.threads <= 3 && with.threads > without.threads,
        "{without:?} {with:?}"
    );
    assert!(
        with.descriptors > without.descriptors,
        "{without:?} {with:?}"
    );
}

#[test]
fn log_as_json_lines_has_stable_keys() {
    let (config, name_answer) = gateway_config(1, classes(), &[]);
    let gateway = start_gateway_with_config("log-json", config, name_answer, None);
    let path = gateway.dir.join("other.json");
    let serve = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ironstair"));
        command.args(["serve", "--log", "json"]).arg(&path);
        command
    };
    let without_file = serve().output().unwrap();
    assert!(
        String::from_utf8_lossy(&without_file.stderr).starts_with("ironstair: "),
        "no file, one sentence"
    );
    let config = std::fs::read_to_string(gateway.dir.join("told.json")).unwrap();
    let mut config: Value = serde_json::from_str(&config).unwrap();
    config["listen"] = json!(allocate_address().to_string());
    std::fs::write(&path, config.to_string()).unwrap();

    let mut process = serve().stderr(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    let mut log = BufReader::new(process.stderr.take().unwrap());
    log.read_line(&mut line).unwrap();
    process.kill().unwrap();
    process.wait().unwrap();

    let line: Value = serde_json::from_str(&line).unwrap();
    assert_eq!(
        (&line["msg"], &line["level"], &line["gateway"]),
        (&json!("serving"), &json!("INFO"), &json!("n0"))
    );
    assert!(
        line["ts"].is_string() && line["address"].is_string(),
        "{line}"
    );
}
