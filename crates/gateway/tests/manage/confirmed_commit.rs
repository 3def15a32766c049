//! Commits that are rolled back unless they are confirmed, and a gateway that is killed in between.
//!
//! The test guards against an unconfirmed commit that survives a restart, a confirmed one that doesn't, a journal whose
//! last record is incomplete after a kill and that can't be read any more, and a rollback that comes early or never.

use crate::managed::{
    commit_extension, commit_with_rollback_after, connect_without_tls, current_thread_runtime,
    get_json, json_update, send_set_request, set_request, set_value, start_managed_gateway,
    GnmiClient,
};
use ironstair_gnmi::proto::gnmi;
use ironstair_gnmi::proto::gnmi_ext::{self, commit::Action};
use ironstair_test_cluster::stub::Gateway;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tonic::Code;

const OBJECTIVE_PATH: &str = "/settings/band[name=lookup]/expected";

async fn get_objective(gnmi_address: SocketAddr) -> Value {
    get_json(&mut connect_without_tls(gnmi_address).await, OBJECTIVE_PATH)
        .await
        .unwrap()
}

/// A request that commits an objective, which is rolled back unless it is confirmed within `seconds`.
fn unconfirmed_commit(id: &str, objective_ms: u32, seconds: i64) -> gnmi::SetRequest {
    let update = vec![json_update(OBJECTIVE_PATH, json!(objective_ms))];
    set_request(
        update,
        commit_extension(id, commit_with_rollback_after(seconds, 0)),
    )
}

fn confirmation_request(id: &str) -> gnmi::SetRequest {
    let confirm = Action::Confirm(gnmi_ext::CommitConfirm {});
    set_request(Vec::new(), commit_extension(id, confirm))
}

fn longer_rollback_request(id: &str, seconds: i64) -> gnmi::SetRequest {
    let rollback_duration = Some(prost_types::Duration { seconds, nanos: 0 });
    let set_duration = gnmi_ext::CommitSetRollbackDuration { rollback_duration };
    set_request(
        Vec::new(),
        commit_extension(id, Action::SetRollbackDuration(set_duration)),
    )
}

async fn assert_failed_precondition(client: &mut GnmiClient, request: gnmi::SetRequest) {
    let refused = send_set_request(client, request).await.unwrap_err();
    assert_eq!(refused.code(), Code::FailedPrecondition, "{refused:?}");
}

/// Kills the gateway, truncates its journal within the last record, and starts the gateway again.
fn restart_with_torn_journal(gateway: &mut Gateway) {
    let journal = gateway.dir.join("state/revisions.journal");
    let bytes = std::fs::read(&journal).unwrap();
    gateway.process.kill().unwrap();
    gateway.process.wait().unwrap();
    std::fs::write(&journal, &bytes[..bytes.len() - 7]).unwrap();
    gateway.restart();
}

/// Makes a commit with a rollback after 1 s and extends that to 2 s. Asserts that the commit is in force after 1.3 s
/// and rolled back after 2.3 s.
async fn assert_rolls_back_by_itself(gnmi_address: SocketAddr) {
    let mut client = connect_without_tls(gnmi_address).await;
    send_set_request(&mut client, unconfirmed_commit("c3", 500, 1))
        .await
        .unwrap();
    send_set_request(&mut client, longer_rollback_request("c3", 2))
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(1300)).await;
    assert_eq!(
        get_json(&mut client, OBJECTIVE_PATH).await.unwrap(),
        json!(500)
    );
    tokio::time::sleep(Duration::from_millis(1000)).await;
    assert_eq!(
        get_json(&mut client, OBJECTIVE_PATH).await.unwrap(),
        json!(700)
    );
}

#[test]
fn gateway_killed_between_apply_and_confirm_starts_with_the_settings_before() {
    let (mut gateway, gnmi_address) = start_managed_gateway("case-4", &[]);
    let runtime = current_thread_runtime();
    runtime.block_on(async {
        let mut client = connect_without_tls(gnmi_address).await;
        set_value(&mut client, OBJECTIVE_PATH, json!(900))
            .await
            .unwrap();
        let request = unconfirmed_commit("c1", 800, 600);
        send_set_request(&mut client, request.clone())
            .await
            .unwrap();
        assert_failed_precondition(&mut client, request).await;
    });
    assert_eq!(runtime.block_on(get_objective(gnmi_address)), json!(800));
    gateway.restart();
    assert_eq!(
        runtime.block_on(get_objective(gnmi_address)),
        json!(900),
        "an unconfirmed commit must not survive a restart"
    );

    runtime.block_on(async {
        let mut client = connect_without_tls(gnmi_address).await;
        assert_failed_precondition(&mut client, confirmation_request("c1")).await;
        send_set_request(&mut client, unconfirmed_commit("c2", 700, 600))
            .await
            .unwrap();
        send_set_request(&mut client, confirmation_request("c2"))
            .await
            .unwrap();
    });
    gateway.restart();
    assert_eq!(
        runtime.block_on(get_objective(gnmi_address)),
        json!(700),
        "a confirmed commit must survive a restart"
    );

    // After a restart with an incomplete last record, the revision before that record is in force.
    runtime.block_on(async {
        set_value(
            &mut connect_without_tls(gnmi_address).await,
            OBJECTIVE_PATH,
            json!(600),
        )
        .await
        .unwrap();
    });
    restart_with_torn_journal(&mut gateway);
    assert_eq!(runtime.block_on(get_objective(gnmi_address)), json!(700));

    runtime.block_on(assert_rolls_back_by_itself(gnmi_address));
}
