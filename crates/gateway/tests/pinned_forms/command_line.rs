//! Helpers that run the `ironstair` command, and tests of the schema and the YANG module that it prints.
//!
//! The tests guard against a change to the operator's file or to the data tree that operators' tools don't know.

use crate::FORMS;
use ironstair_pinned_forms::schema_without_descriptions;
use serde_json::Value;
use std::path::Path;
use std::process::{Command, Output};

/// Runs the command without the environment variables that it reads.
fn run_ironstair(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ironstair"));
    for name in ["ROUTER_CONFIG", "IRONSTAIR_AT", "IRONSTAIR_CA"] {
        command.env_remove(name);
    }
    command.args(args).output().unwrap()
}

/// The standard output of a command, which must succeed.
pub(crate) fn stdout_of(args: &[&str]) -> String {
    let output = run_ironstair(args);
    assert!(output.status.success(), "{args:?}: {output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// The standard error of a command, which must fail with exit code 1.
pub(crate) fn refusal_of(args: &[&str]) -> String {
    let output = run_ironstair(args);
    assert_eq!(output.status.code(), Some(1), "{args:?}: {output:?}");
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn operator_schema_without_descriptions_is_the_pinned_one() {
    let schema: Value = serde_json::from_str(&stdout_of(&["schema", "operator"])).unwrap();
    let plain_schema = schema_without_descriptions(&schema);
    FORMS.assert_same("operator-schema.json", &format!("{plain_schema:#}\n"));
}

#[test]
fn printed_yang_module_is_the_shipped_one() {
    let printed = stdout_of(&["yang"]);
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../yang/ironstair-gateway.yang");
    assert_eq!(printed, std::fs::read_to_string(shipped).unwrap());
    assert!(
        printed.starts_with("module ironstair-gateway {"),
        "the module must have its name"
    );
}
