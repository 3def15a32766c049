//! The command `fleet`, which shows the fleet's state, or bootstraps the fleet for the first time or after the loss of
//! most voters' disks.

use super::arguments::{Fleet, FleetAction, Target};
use super::client::{connect, fleet_state, tree_prefix};
use super::encoding::{parse_path, plain_text};
use super::error::CommandResult;
use super::output::{object_table, print_line};
use ironstair_gnmi::proto::gnmi::{self, typed_value, TypedValue};
use serde_json::Value as Json;
use std::fmt::Write as _;
use std::time::Duration;

/// How often, and at what interval, to ask for the fleet's state until a leader is elected after a recovery: 4 s in
/// total.
const LEADER_POLLS: usize = 20;
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Shows or bootstraps the fleet.
///
/// # Errors
/// The connection fails, the gateway responds with an error status, or standard output cannot be written.
pub(crate) async fn fleet(arguments: Fleet) -> CommandResult {
    let target = &arguments.target;
    match arguments.action {
        None => show(target).await,
        Some(FleetAction::Begin) => bootstrap(target).await,
        Some(FleetAction::BeginAnew) => recover(target).await,
    }
}

async fn bootstrap(target: &Target) -> CommandResult {
    set_flag(target, "/begin").await?;
    print_line(match target.json {
        true => r#"{"begun":true}"#,
        false => "fleet bootstrapped",
    })
}

/// Bootstraps the fleet from the policy on this voter's disk. Once the voter, alone in the new configuration, is the
/// leader, prints the first revision of the new log.
async fn recover(target: &Target) -> CommandResult {
    set_flag(target, "/begin-anew").await?;
    for _ in 0..LEADER_POLLS {
        if let Ok(state) = fleet_state(target).await {
            let first = &state["revisions"][0];
            return print_line(&match target.json {
                true => first.to_string(),
                false => plain_text(&first["what"]),
            });
        }
        tokio::time::sleep(LEADER_POLL_INTERVAL).await;
    }
    print_line("fleet bootstrapped again; no leader is elected yet, check with `ironstair fleet`")
}

/// Sets a leaf of the fleet's tree to `true`, which is how a command is sent to the fleet.
async fn set_flag(target: &Target, at_path: &str) -> CommandResult {
    let flag = typed_value::Value::JsonIetfVal(b"true".to_vec());
    let update = gnmi::Update {
        path: Some(parse_path(at_path)?),
        val: Some(TypedValue { value: Some(flag) }),
        duplicates: 0,
    };
    let request = gnmi::SetRequest {
        prefix: tree_prefix(true),
        update: vec![update],
        ..Default::default()
    };
    connect(target).await?.set(request).await?;
    Ok(())
}

async fn show(target: &Target) -> CommandResult {
    let state = fleet_state(target).await?;
    print_line(&match target.json {
        true => format!("{state:#}"),
        false => state_text(&state),
    })
}

fn state_text(state: &Json) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "revision {}, leader {}, voters {}",
        plain_text(&state["revision"]),
        plain_text(&state["chair"]),
        plain_text(&state["keepers"])
    );
    let change = &state["change"];
    if !change.is_null() {
        let _ = writeln!(
            text,
            "pending revision {}: {}, waiting for {}",
            plain_text(&change["number"]),
            plain_text(&change["step"]),
            plain_text(&change["waits-for"])
        );
    }
    let unconfirmed = &state["unconfirmed"];
    if !unconfirmed.is_null() {
        let _ = writeln!(
            text,
            "waiting for confirmation: {}",
            plain_text(unconfirmed)
        );
    }
    let columns = [
        "name",
        "cut-off",
        "heard-ms-ago",
        "lease-left-ms",
        "holds-what-is-held",
    ];
    text += &object_table(&state["members"], &columns);
    text
}
