//! A gateway with management, and a gNMI client of it.
#![allow(dead_code)]

use crate::common::*;
use ironstair_gnmi::proto::gnmi::g_nmi_client::GNmiClient;
use ironstair_gnmi::proto::gnmi::{
    self, subscribe_request, typed_value, SubscriptionMode, TypedValue,
};
use ironstair_gnmi::proto::gnmi_ext::{self, commit::Action, extension::Ext, Extension};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tonic::transport::{Channel, Endpoint};
use tonic::Status;

pub type Command = GNmiClient<Channel>;

pub fn class(name: &str, semantics: &str, expected_ms: f64) -> Value {
    json!({"name": name, "slo_ns": expected_ms * 1e6, "give_up_ns": 5e9, "semantics": semantics, "worth": 1.0})
}

pub fn classes() -> Value {
    json!([
        class("lookup", "pure", 1000.0),
        class("report", "pure", 2000.0),
        class("post", "side_effect", 1000.0)
    ])
}

pub fn managed_with(
    test: &str,
    engines: &[(&str, SocketAddr)],
    more: impl FnOnce(&mut Value, &std::path::Path),
) -> (Gateway, SocketAddr) {
    let (config, name_answer) = config(1, classes(), engines);
    let at = SocketAddr::new(
        config["listen"]
            .as_str()
            .unwrap()
            .parse::<SocketAddr>()
            .unwrap()
            .ip(),
        9339,
    );
    let dir = std::env::temp_dir().join(format!("ironstair-{test}-{}", std::process::id()));
    let mut operator =
        json!({"management": {"listen": at.to_string(), "state": dir.join("state")}});
    std::fs::create_dir_all(&dir).unwrap();
    more(&mut operator, &dir);
    (started(test, config, name_answer, Some(operator)), at)
}

pub fn managed(test: &str, engines: &[(&str, SocketAddr)]) -> (Gateway, SocketAddr) {
    managed_with(test, engines, |_, _| {})
}

pub fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

pub async fn connected(endpoint: Endpoint) -> Command {
    let late = Instant::now() + Duration::from_secs(10);
    loop {
        match endpoint.connect().await {
            Ok(channel) => return GNmiClient::new(channel).max_decoding_message_size(64 << 20),
            Err(e) => assert!(Instant::now() < late, "{e:?}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub async fn client(at: SocketAddr) -> Command {
    connected(Endpoint::from_shared(format!("http://{at}")).unwrap()).await
}

pub fn path(text: &str) -> gnmi::Path {
    let steps = text
        .split('/')
        .filter(|s| !s.is_empty())
        .map(|s| match s.split_once('[') {
            None => gnmi::PathElem {
                name: s.into(),
                ..Default::default()
            },
            Some((name, key)) => {
                let (k, v) = key.trim_end_matches(']').split_once('=').unwrap();
                gnmi::PathElem {
                    name: name.into(),
                    key: [(k.to_string(), v.to_string())].into(),
                }
            }
        });
    gnmi::Path {
        elem: steps.collect(),
        ..Default::default()
    }
}

pub fn shown(prefix: Option<&gnmi::Path>, path: Option<&gnmi::Path>) -> String {
    let steps = prefix.into_iter().chain(path).flat_map(|p| &p.elem);
    let step = |e: &gnmi::PathElem| {
        let keys: String = e.key.iter().map(|(k, v)| format!("[{k}={v}]")).collect();
        format!("/{}{keys}", e.name)
    };
    steps.map(step).collect()
}

pub fn update(at: &str, value: Value) -> gnmi::Update {
    let bytes = value.to_string().into_bytes();
    let val = Some(TypedValue {
        value: Some(typed_value::Value::JsonIetfVal(bytes)),
    });
    gnmi::Update {
        path: Some(path(at)),
        val,
        duplicates: 0,
    }
}

pub async fn set(c: &mut Command, at: &str, value: Value) -> Result<(), Status> {
    let request = gnmi::SetRequest {
        update: vec![update(at, value)],
        ..Default::default()
    };
    c.set(request).await.map(drop)
}

pub async fn delete(c: &mut Command, at: &str) -> Result<(), Status> {
    let request = gnmi::SetRequest {
        delete: vec![path(at)],
        ..Default::default()
    };
    c.set(request).await.map(drop)
}

pub async fn get(c: &mut Command, at: &str) -> Result<Value, Status> {
    let encoding = gnmi::Encoding::JsonIetf as i32;
    let answer = c
        .get(gnmi::GetRequest {
            path: vec![path(at)],
            encoding,
            ..Default::default()
        })
        .await?;
    let update = &answer.get_ref().notification[0].update[0];
    let Some(typed_value::Value::JsonIetfVal(bytes)) = &update.val.as_ref().unwrap().value else {
        panic!()
    };
    Ok(serde_json::from_slice(bytes).unwrap())
}

pub async fn leaves(c: &mut Command, at: &str) -> BTreeMap<String, TypedValue> {
    let encoding = gnmi::Encoding::Proto as i32;
    let request = gnmi::GetRequest {
        path: vec![path(at)],
        encoding,
        ..Default::default()
    };
    let answer = c.get(request).await.unwrap().into_inner();
    let all = answer.notification.into_iter().flat_map(|n| n.update);
    all.map(|u| (shown(None, u.path.as_ref()), u.val.unwrap()))
        .collect()
}

pub fn commit(id: &str, action: Action) -> Vec<Extension> {
    let commit = gnmi_ext::Commit {
        id: id.into(),
        action: Some(action),
    };
    vec![Extension {
        ext: Some(Ext::Commit(commit)),
    }]
}

pub fn within(seconds: i64, nanos: i32) -> Action {
    let rollback_duration = Some(prost_types::Duration { seconds, nanos });
    Action::Commit(gnmi_ext::CommitRequest { rollback_duration })
}

pub fn subscribing(at: &str, mode: SubscriptionMode) -> gnmi::SubscribeRequest {
    let subscription = vec![gnmi::Subscription {
        path: Some(path(at)),
        mode: mode as i32,
        ..Default::default()
    }];
    let encoding = gnmi::Encoding::Proto as i32;
    let list = gnmi::SubscriptionList {
        subscription,
        encoding,
        ..Default::default()
    };
    gnmi::SubscribeRequest {
        request: Some(subscribe_request::Request::Subscribe(list)),
        extension: vec![],
    }
}

pub async fn subscribe(
    c: &mut Command,
    first: gnmi::SubscribeRequest,
) -> Result<tonic::Streaming<gnmi::SubscribeResponse>, Status> {
    let requested =
        tokio_stream::StreamExt::chain(tokio_stream::once(first), tokio_stream::pending());
    Ok(c.subscribe(requested).await?.into_inner())
}
