//! The sample configuration and operator file in deploy/example, with which the README starts a gateway.

use std::path::PathBuf;
use std::process::{Command, Output};

fn example_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../deploy/example")
        .join(name)
}

fn run_check(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ironstair"))
        .env_remove("ROUTER_CONFIG")
        .arg("check")
        .args(arguments)
        .output()
        .expect("the built gateway can be executed")
}

#[test]
fn sample_configuration_and_operator_file_pass_the_check() {
    // A change to the file formats or their checks may leave the samples invalid.
    let config = example_file("config.json");
    let operator = example_file("operator.json");
    let output = run_check(&[
        config.to_str().expect("a path in UTF-8"),
        "--operator",
        operator.to_str().expect("a path in UTF-8"),
    ]);
    assert!(output.status.success(), "{output:?}");
    let report = String::from_utf8(output.stdout).expect("a report in UTF-8");
    assert!(report.contains("listens on 127.0.0.1:8080"), "{report}");
    assert!(report.contains("gNMI on 127.0.0.1:9339"), "{report}");
}
