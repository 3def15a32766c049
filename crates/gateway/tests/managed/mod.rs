//! A gateway with management, and a gNMI client of it. Each test binary compiles these helpers and uses some of them.
#![allow(dead_code)]

use ironstair_gnmi::proto::gnmi::g_nmi_client::GNmiClient;
use ironstair_gnmi::proto::gnmi::{
    self, subscribe_request, typed_value, SubscriptionMode, TypedValue,
};
use ironstair_gnmi::proto::gnmi_ext::{self, commit::Action, extension::Ext, Extension};
use ironstair_test_cluster::stub::{gateway_config, start_gateway_with_config, Gateway};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tonic::transport::{Channel, Endpoint};
use tonic::Status;

/// The registered port of gNMI.
const GNMI_PORT: u16 = 9339;
/// A gateway accepts connections within this time of its start.
const MAX_START: Duration = Duration::from_secs(10);

/// A gNMI client over plain HTTP/2 or TLS.
pub(crate) type GnmiClient = GNmiClient<Channel>;

/// A class with a base objective in ms, a hard limit of 5 s and a worth of 1.
pub(crate) fn class(name: &str, semantics: &str, objective_ms: f64) -> Value {
    json!({"name": name, "slo_ns": objective_ms * 1e6, "give_up_ns": 5e9, "semantics": semantics, "worth": 1.0})
}

/// Two idempotent classes and one with effect.
pub(crate) fn classes() -> Value {
    json!([
        class("lookup", "pure", 1000.0),
        class("report", "pure", 2000.0),
        class("post", "side_effect", 1000.0)
    ])
}

/// Starts a gateway with management, and returns it with the address of its gNMI service. `edit` may change the
/// operator's file, and prepare the gateway's directory.
pub(crate) fn managed_gateway_with(
    test: &str,
    engines: &[(&str, SocketAddr)],
    edit: impl FnOnce(&mut Value, &Path),
) -> (Gateway, SocketAddr) {
    let (config, name_answer) = gateway_config(1, classes(), engines);
    let listen: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    let at = SocketAddr::new(listen.ip(), GNMI_PORT);
    let dir = std::env::temp_dir().join(format!("ironstair-{test}-{}", std::process::id()));
    let mut operator =
        json!({"management": {"listen": at.to_string(), "state": dir.join("state")}});
    std::fs::create_dir_all(&dir).unwrap();
    edit(&mut operator, &dir);
    (
        start_gateway_with_config(test, config, name_answer, Some(operator)),
        at,
    )
}

/// As [`managed_gateway_with`], with the operator's file as it is.
pub(crate) fn managed_gateway(test: &str, engines: &[(&str, SocketAddr)]) -> (Gateway, SocketAddr) {
    managed_gateway_with(test, engines, |_, _| {})
}

/// A runtime on the test's own thread.
pub(crate) fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

/// Connects, with further attempts while the gateway starts.
pub(crate) async fn connect_to(endpoint: Endpoint) -> GnmiClient {
    let deadline = Instant::now() + MAX_START;
    loop {
        match endpoint.connect().await {
            Ok(channel) => return GNmiClient::new(channel).max_decoding_message_size(64 << 20),
            Err(error) => assert!(Instant::now() < deadline, "{error:?}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Connects without TLS.
pub(crate) async fn connect(at: SocketAddr) -> GnmiClient {
    connect_to(Endpoint::from_shared(format!("http://{at}")).unwrap()).await
}

/// Parses a path such as `/settings/band[name=lookup]/payoff`.
pub(crate) fn path(text: &str) -> gnmi::Path {
    let steps = text.split('/').filter(|step| !step.is_empty());
    gnmi::Path {
        elem: steps.map(path_step).collect(),
        ..Default::default()
    }
}

fn path_step(text: &str) -> gnmi::PathElem {
    let Some((name, key)) = text.split_once('[') else {
        return gnmi::PathElem {
            name: text.into(),
            ..Default::default()
        };
    };
    let (key, value) = key.trim_end_matches(']').split_once('=').unwrap();
    gnmi::PathElem {
        name: name.into(),
        key: [(key.to_owned(), value.to_owned())].into(),
    }
}

/// The text of a path below a prefix.
pub(crate) fn path_text(prefix: Option<&gnmi::Path>, path: Option<&gnmi::Path>) -> String {
    let steps = prefix.into_iter().chain(path).flat_map(|path| &path.elem);
    let step_text = |step: &gnmi::PathElem| {
        let keys = step
            .key
            .iter()
            .map(|(key, value)| format!("[{key}={value}]"));
        format!("/{}{}", step.name, keys.collect::<String>())
    };
    steps.map(step_text).collect()
}

/// An update whose value is JSON.
pub(crate) fn update(at: &str, value: Value) -> gnmi::Update {
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

/// A request that updates values, with extensions.
pub(crate) fn set_request(
    update: Vec<gnmi::Update>,
    extension: Vec<Extension>,
) -> gnmi::SetRequest {
    gnmi::SetRequest {
        update,
        extension,
        ..Default::default()
    }
}

/// Sends a request to change settings.
pub(crate) async fn send_set(
    client: &mut GnmiClient,
    request: gnmi::SetRequest,
) -> Result<(), Status> {
    client.set(request).await.map(drop)
}

/// Updates one value.
pub(crate) async fn set(client: &mut GnmiClient, at: &str, value: Value) -> Result<(), Status> {
    send_set(client, set_request(vec![update(at, value)], Vec::new())).await
}

/// Deletes one subtree.
pub(crate) async fn delete(client: &mut GnmiClient, at: &str) -> Result<(), Status> {
    let request = gnmi::SetRequest {
        delete: vec![path(at)],
        ..Default::default()
    };
    send_set(client, request).await
}

/// Reads one subtree as JSON.
pub(crate) async fn get(client: &mut GnmiClient, at: &str) -> Result<Value, Status> {
    let encoding = gnmi::Encoding::JsonIetf as i32;
    let answer = client
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

/// Reads one subtree as typed values by path.
pub(crate) async fn leaves(client: &mut GnmiClient, at: &str) -> BTreeMap<String, TypedValue> {
    let encoding = gnmi::Encoding::Proto as i32;
    let request = gnmi::GetRequest {
        path: vec![path(at)],
        encoding,
        ..Default::default()
    };
    let answer = client.get(request).await.unwrap().into_inner();
    let all = answer.notification.into_iter().flat_map(|n| n.update);
    all.map(|u| (path_text(None, u.path.as_ref()), u.val.unwrap()))
        .collect()
}

/// The extension of a commit with this id.
pub(crate) fn commit(id: &str, action: Action) -> Vec<Extension> {
    let commit = gnmi_ext::Commit {
        id: id.into(),
        action: Some(action),
    };
    vec![Extension {
        ext: Some(Ext::Commit(commit)),
    }]
}

/// A commit that rolls back after this time without a confirmation.
pub(crate) fn rollback_after(seconds: i64, nanos: i32) -> Action {
    let rollback_duration = Some(prost_types::Duration { seconds, nanos });
    Action::Commit(gnmi_ext::CommitRequest { rollback_duration })
}

/// A request to subscribe to one subtree as a stream.
pub(crate) fn subscription_request(at: &str, mode: SubscriptionMode) -> gnmi::SubscribeRequest {
    let subscription = gnmi::Subscription {
        path: Some(path(at)),
        mode: mode as i32,
        ..Default::default()
    };
    subscription_list_request(gnmi::SubscriptionList {
        subscription: vec![subscription],
        encoding: gnmi::Encoding::Proto as i32,
        ..Default::default()
    })
}

/// The first request of a stream, with its subscription list.
pub(crate) fn subscription_list_request(list: gnmi::SubscriptionList) -> gnmi::SubscribeRequest {
    gnmi::SubscribeRequest {
        request: Some(subscribe_request::Request::Subscribe(list)),
        extension: Vec::new(),
    }
}

/// Opens a stream with one request, and keeps its sending half open.
pub(crate) async fn subscribe(
    client: &mut GnmiClient,
    first: gnmi::SubscribeRequest,
) -> Result<tonic::Streaming<gnmi::SubscribeResponse>, Status> {
    let requested =
        tokio_stream::StreamExt::chain(tokio_stream::once(first), tokio_stream::pending());
    Ok(client.subscribe(requested).await?.into_inner())
}
