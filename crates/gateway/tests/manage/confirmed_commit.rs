//! Commits that roll back unless they are confirmed, across kills of the gateway.

use crate::managed::{
    commit, connect, get, managed_gateway, rollback_after, runtime, send_set, set, set_request,
    update, GnmiClient,
};
use ironstair_gnmi::proto::gnmi;
use ironstair_gnmi::proto::gnmi_ext::{self, commit::Action};
use ironstair_test_cluster::stub::Gateway;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tonic::Code;

const OBJECTIVE: &str = "/settings/band[name=lookup]/expected";

async fn objective(at: SocketAddr) -> Value {
    get(&mut connect(at).await, OBJECTIVE).await.unwrap()
}

/// A commit of an objective that rolls back after `seconds` without a confirmation.
fn unconfirmed(id: &str, objective_ms: u32, seconds: i64) -> gnmi::SetRequest {
    let update = vec![update(OBJECTIVE, json!(objective_ms))];
    set_request(update, commit(id, rollback_after(seconds, 0)))
}

fn confirmation(id: &str) -> gnmi::SetRequest {
    let confirm = Action::Confirm(gnmi_ext::CommitConfirm {});
    set_request(Vec::new(), commit(id, confirm))
}

fn longer_rollback(id: &str, seconds: i64) -> gnmi::SetRequest {
    let rollback_duration = Some(prost_types::Duration { seconds, nanos: 0 });
    let longer = gnmi_ext::CommitSetRollbackDuration { rollback_duration };
    set_request(Vec::new(), commit(id, Action::SetRollbackDuration(longer)))
}

async fn assert_failed_precondition(client: &mut GnmiClient, request: gnmi::SetRequest) {
    let refused = send_set(client, request).await.unwrap_err();
    assert_eq!(refused.code(), Code::FailedPrecondition, "{refused:?}");
}

/// Kills the gateway, cuts its journal in the middle of the last record, and starts it.
fn restart_with_torn_journal(gateway: &mut Gateway) {
    let journal = gateway.dir.join("state/revisions.journal");
    let bytes = std::fs::read(&journal).unwrap();
    gateway.process.kill().unwrap();
    gateway.process.wait().unwrap();
    std::fs::write(&journal, &bytes[..bytes.len() - 7]).unwrap();
    gateway.restart();
}

/// A commit of 1 s, prolonged to 2 s, is in force after 1.3 s and rolled back after 2.3 s.
async fn assert_rolls_back_by_itself(at: SocketAddr) {
    let mut client = connect(at).await;
    send_set(&mut client, unconfirmed("c3", 500, 1))
        .await
        .unwrap();
    send_set(&mut client, longer_rollback("c3", 2))
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(1300)).await;
    assert_eq!(get(&mut client, OBJECTIVE).await.unwrap(), json!(500));
    tokio::time::sleep(Duration::from_millis(1000)).await;
    assert_eq!(get(&mut client, OBJECTIVE).await.unwrap(), json!(700));
}

#[test]
fn gateway_killed_between_apply_and_confirm_starts_with_the_settings_before() {
    let (mut gateway, at) = managed_gateway("case-4", &[]);
    let rt = runtime();
    rt.block_on(async {
        let mut client = connect(at).await;
        set(&mut client, OBJECTIVE, json!(900)).await.unwrap();
        let request = unconfirmed("c1", 800, 600);
        send_set(&mut client, request.clone()).await.unwrap();
        assert_failed_precondition(&mut client, request).await;
    });
    assert_eq!(rt.block_on(objective(at)), json!(800));
    gateway.restart();
    assert_eq!(
        rt.block_on(objective(at)),
        json!(900),
        "not confirmed, not kept"
    );

    rt.block_on(async {
        let mut client = connect(at).await;
        assert_failed_precondition(&mut client, confirmation("c1")).await;
        send_set(&mut client, unconfirmed("c2", 700, 600))
            .await
            .unwrap();
        send_set(&mut client, confirmation("c2")).await.unwrap();
    });
    gateway.restart();
    assert_eq!(rt.block_on(objective(at)), json!(700), "confirmed, kept");

    // The revision before the torn record comes into force.
    rt.block_on(async {
        set(&mut connect(at).await, OBJECTIVE, json!(600))
            .await
            .unwrap();
    });
    restart_with_torn_journal(&mut gateway);
    assert_eq!(rt.block_on(objective(at)), json!(700));

    rt.block_on(assert_rolls_back_by_itself(at));
}
