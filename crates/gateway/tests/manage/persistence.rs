//! Changes of the settings that are replaced as a union, that a full disk can't store, or that a changed configuration
//! file supersedes.
//!
//! The tests guard against a change that is in force but not stored, so that the next process starts without it, and
//! against stored revisions that hide a changed configuration file.

use crate::managed::{
    connect_without_tls, current_thread_runtime, get_json, json_update, set_value,
    start_managed_gateway, start_managed_gateway_with,
};
use crate::support::start_slow_engine;
use ironstair_gnmi::proto::gnmi;
use ironstair_test_cluster::stub::Client;
use serde_json::{json, Value};
use std::time::Duration;
use tonic::Code;

#[test]
fn union_replace_sets_the_settings_to_the_union_of_its_values() {
    let (_gateway, gnmi_address) = start_managed_gateway("union", &[]);
    current_thread_runtime().block_on(async {
        let mut client = connect_without_tls(gnmi_address).await;
        let settings = get_json(&mut client, "/settings").await.unwrap();
        let member = |name: &str| settings[format!("ironstair-gateway:{name}")].clone();
        let two_classes = json!([member("band")[0], member("band")[2]]);
        let union_replace = vec![
            json_update("/settings/band", two_classes),
            json_update("/settings/cold", member("cold")),
            json_update("/settings", json!({"gateways": 7, "forwards-most": 3})),
        ];

        let request = gnmi::SetRequest {
            union_replace,
            ..Default::default()
        };
        client.set(request).await.unwrap();

        let new = get_json(&mut client, "/settings").await.unwrap();
        assert_eq!(new["ironstair-gateway:band"].as_array().unwrap().len(), 2);
        assert_eq!(new["ironstair-gateway:gateways"], json!(7));
        assert_eq!(new["ironstair-gateway:forwards-most"], json!(3));
    });
}

#[test]
fn change_is_refused_and_the_gateway_continues_to_serve_when_the_disk_is_full() {
    let (engine_address, _) = start_slow_engine(Duration::from_millis(1));
    let engines = [("e1", engine_address)];
    let (mut gateway, gnmi_address) =
        start_managed_gateway_with("full-disk", &engines, |_, dir| {
            std::fs::create_dir_all(dir.join("state")).unwrap();
            // Every write to this device fails with ENOSPC.
            std::os::unix::fs::symlink("/dev/full", dir.join("state/revisions.new")).unwrap();
        });
    let runtime = current_thread_runtime();
    runtime.block_on(async {
        let mut client = connect_without_tls(gnmi_address).await;

        let refused = set_value(&mut client, "/settings/advice", json!(9))
            .await
            .unwrap_err();

        assert_eq!(refused.code(), Code::ResourceExhausted, "{refused:?}");
        assert!(refused.message().contains("was not made"), "{refused:?}");
        let advice = get_json(&mut client, "/settings/advice").await.unwrap();
        assert_eq!(advice, json!(0));
        let mut request_client = Client::connect(&gateway);
        request_client.send_call(1);
        assert_eq!(request_client.receive_rows().0, 1);
        std::fs::remove_file(gateway.dir.join("state/revisions.new")).unwrap();
        set_value(&mut client, "/settings/advice", json!(10))
            .await
            .unwrap();
    });
    gateway.restart();
    let persisted = runtime.block_on(async {
        get_json(
            &mut connect_without_tls(gnmi_address).await,
            "/settings/advice",
        )
        .await
    });
    assert_eq!(persisted.unwrap(), json!(10));
}

#[test]
fn configuration_file_that_has_changed_supersedes_the_revisions_at_the_next_start() {
    let (mut gateway, gnmi_address) = start_managed_gateway("told-anew", &[]);
    let runtime = current_thread_runtime();
    let fleet_size = || {
        runtime
            .block_on(async {
                get_json(
                    &mut connect_without_tls(gnmi_address).await,
                    "/settings/gateways",
                )
                .await
            })
            .unwrap()
    };
    runtime
        .block_on(async {
            set_value(
                &mut connect_without_tls(gnmi_address).await,
                "/settings/gateways",
                json!(5),
            )
            .await
        })
        .unwrap();
    let path = gateway.dir.join("told.json");
    let config = std::fs::read_to_string(&path).unwrap();
    let mut config: Value = serde_json::from_str(&config).unwrap();
    config["settings"]["fleet_size"] = json!(8);
    std::fs::write(&path, config.to_string()).unwrap();

    gateway.signal("-HUP");
    assert_eq!(
        fleet_size(),
        json!(5),
        "SIGHUP must not change the settings"
    );
    gateway.restart();
    assert_eq!(fleet_size(), json!(8));
    gateway.restart();
    assert_eq!(
        fleet_size(),
        json!(8),
        "the configuration file must still be in force after another restart"
    );
}
