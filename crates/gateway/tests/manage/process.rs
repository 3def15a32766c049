//! Threads, file descriptors and log lines of the gateway's process.
//!
//! The tests guard against resources for management in a gateway that doesn't use it, and against renamed keys in the
//! JSON log, which log processors rely on.

use crate::managed::{
    class_configs, connect_without_tls, current_thread_runtime, get_json, start_managed_gateway,
};
use ironstair_test_cluster::stub::{
    allocate_address, gateway_config, start_gateway_with_config, Client,
};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

/// The numbers of threads and open file descriptors of a process.
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
fn gateway_without_an_operators_file_has_no_thread_and_no_descriptor_for_management() {
    let (managed, gnmi_address) = start_managed_gateway("holds-with", &[]);
    let (config, name_answer) = gateway_config(1, class_configs(), &[]);
    let unmanaged = start_gateway_with_config("holds-without", config, name_answer, None);
    Client::connect(&managed).send_call(1);
    Client::connect(&unmanaged).send_call(1);
    current_thread_runtime().block_on(async {
        get_json(&mut connect_without_tls(gnmi_address).await, "/settings")
            .await
            .unwrap()
    });

    let managed_resources = ProcessResources::of(managed.process.id());
    let unmanaged_resources = ProcessResources::of(unmanaged.process.id());

    // Without management there are at most three threads: one for the gateway, one for the log and one for async-io.
    assert!(
        unmanaged_resources.threads <= 3 && managed_resources.threads > unmanaged_resources.threads,
        "{unmanaged_resources:?} {managed_resources:?}"
    );
    assert!(
        managed_resources.descriptors > unmanaged_resources.descriptors,
        "{unmanaged_resources:?} {managed_resources:?}"
    );
}

#[test]
fn log_as_json_lines_has_stable_keys() {
    let (config, name_answer) = gateway_config(1, class_configs(), &[]);
    let gateway = start_gateway_with_config("log-json", config, name_answer, None);
    let path = gateway.dir.join("other.json");
    let serve = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ironstair"));
        command.args(["serve", "--log", "json"]).arg(&path);
        command
    };
    let output_without_config = serve().output().unwrap();
    assert!(
        String::from_utf8_lossy(&output_without_config.stderr).starts_with("ironstair: "),
        "a missing configuration file is reported as a sentence, not as a log line"
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
