//! Helpers that start a gateway with management and call it as a gNMI client.
//!
//! Several test binaries and a benchmark include this module, and each uses only some of the helpers.
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

/// The port that IANA registered for gNMI.
const GNMI_PORT: u16 = 9339;
/// How long a gateway may take from its start until it accepts connections.
const MAX_START: Duration = Duration::from_secs(10);

/// A gNMI client over plain HTTP/2 or TLS.
pub(crate) type GnmiClient = GNmiClient<Channel>;

/// The configuration of a class with the given base objective, a hard limit of 5 s and a worth of 1.
pub(crate) fn class_config(name: &str, semantics: &str, objective_ms: f64) -> Value {
    json!({"name": name, "slo_ns": objective_ms * 1e6, "give_up_ns": 5e9, "semantics": semantics, "worth": 1.0})
}

/// The configurations of two idempotent classes, `lookup` and `report`, and of `post`, whose requests have side
/// effects.
pub(crate) fn class_configs() -> Value {
    json!([
        class_config("lookup", "pure", 1000.0),
        class_config("report", "pure", 2000.0),
        class_config("post", "side_effect", 1000.0)
    ])
}

/// Starts a gateway with management, and returns it with the address of its gNMI service. Before the start, `edit` can
/// change the operator's file and prepare the gateway's directory.
pub(crate) fn start_managed_gateway_with(
    test: &str,
    engines: &[(&str, SocketAddr)],
    edit: impl FnOnce(&mut Value, &Path),
) -> (Gateway, SocketAddr) {
    let (config, name_answer) = gateway_config(1, class_configs(), engines);
    let listen: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    let gnmi_address = SocketAddr::new(listen.ip(), GNMI_PORT);
    let dir = std::env::temp_dir().join(format!("ironstair-{test}-{}", std::process::id()));
    let mut operator =
        json!({"management": {"listen": gnmi_address.to_string(), "state": dir.join("state")}});
    std::fs::create_dir_all(&dir).unwrap();
    edit(&mut operator, &dir);
    (
        start_gateway_with_config(test, config, name_answer, Some(operator)),
        gnmi_address,
    )
}

/// Like [`start_managed_gateway_with`], without changes to the operator's file.
pub(crate) fn start_managed_gateway(
    test: &str,
    engines: &[(&str, SocketAddr)],
) -> (Gateway, SocketAddr) {
    start_managed_gateway_with(test, engines, |_, _| {})
}

/// A Tokio runtime that runs on the calling thread.
pub(crate) fn current_thread_runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

/// Connects a client to the endpoint, and retries while the gateway starts.
pub(crate) async fn connect_to_endpoint(endpoint: Endpoint) -> GnmiClient {
    let deadline = Instant::now() + MAX_START;
    loop {
        match endpoint.connect().await {
            Ok(channel) => return GNmiClient::new(channel).max_decoding_message_size(64 << 20),
            Err(error) => assert!(Instant::now() < deadline, "{error:?}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Connects a client without TLS, and retries while the gateway starts.
pub(crate) async fn connect_without_tls(gnmi_address: SocketAddr) -> GnmiClient {
    connect_to_endpoint(Endpoint::from_shared(format!("http://{gnmi_address}")).unwrap()).await
}

/// Parses a path such as `/settings/band[name=lookup]/payoff`.
pub(crate) fn parse_path(text: &str) -> gnmi::Path {
    let steps = text.split('/').filter(|step| !step.is_empty());
    gnmi::Path {
        elem: steps.map(parse_path_step).collect(),
        ..Default::default()
    }
}

fn parse_path_step(text: &str) -> gnmi::PathElem {
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

/// Formats a path below a prefix as text, such as `/settings/band[name=lookup]/payoff`.
pub(crate) fn format_path(prefix: Option<&gnmi::Path>, path: Option<&gnmi::Path>) -> String {
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

/// An update that sets the path to a value in JSON.
pub(crate) fn json_update(path: &str, value: Value) -> gnmi::Update {
    let bytes = value.to_string().into_bytes();
    let val = Some(TypedValue {
        value: Some(typed_value::Value::JsonIetfVal(bytes)),
    });
    gnmi::Update {
        path: Some(parse_path(path)),
        val,
        duplicates: 0,
    }
}

/// A `Set` request with the given updates and extensions.
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

/// Sends a `Set` request.
pub(crate) async fn send_set_request(
    client: &mut GnmiClient,
    request: gnmi::SetRequest,
) -> Result<(), Status> {
    client.set(request).await.map(drop)
}

/// Sets the path to a value.
pub(crate) async fn set_value(
    client: &mut GnmiClient,
    path: &str,
    value: Value,
) -> Result<(), Status> {
    send_set_request(
        client,
        set_request(vec![json_update(path, value)], Vec::new()),
    )
    .await
}

/// Deletes the subtree at the path.
pub(crate) async fn delete_subtree(client: &mut GnmiClient, path: &str) -> Result<(), Status> {
    let request = gnmi::SetRequest {
        delete: vec![parse_path(path)],
        ..Default::default()
    };
    send_set_request(client, request).await
}

/// Reads the subtree at the path as JSON.
pub(crate) async fn get_json(client: &mut GnmiClient, path: &str) -> Result<Value, Status> {
    let encoding = gnmi::Encoding::JsonIetf as i32;
    let answer = client
        .get(gnmi::GetRequest {
            path: vec![parse_path(path)],
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

/// Reads the leaves below the path as typed values, by their paths.
pub(crate) async fn get_leaves(
    client: &mut GnmiClient,
    path: &str,
) -> BTreeMap<String, TypedValue> {
    let encoding = gnmi::Encoding::Proto as i32;
    let request = gnmi::GetRequest {
        path: vec![parse_path(path)],
        encoding,
        ..Default::default()
    };
    let answer = client.get(request).await.unwrap().into_inner();
    let all = answer
        .notification
        .into_iter()
        .flat_map(|notification| notification.update);
    all.map(|update| (format_path(None, update.path.as_ref()), update.val.unwrap()))
        .collect()
}

/// The commit extension with the given id and action.
pub(crate) fn commit_extension(id: &str, action: Action) -> Vec<Extension> {
    let commit = gnmi_ext::Commit {
        id: id.into(),
        action: Some(action),
    };
    vec![Extension {
        ext: Some(Ext::Commit(commit)),
    }]
}

/// The action of a commit that is rolled back unless it is confirmed within the given time.
pub(crate) fn commit_with_rollback_after(seconds: i64, nanos: i32) -> Action {
    let rollback_duration = Some(prost_types::Duration { seconds, nanos });
    Action::Commit(gnmi_ext::CommitRequest { rollback_duration })
}

/// A request for a stream subscription to the subtree at the path.
pub(crate) fn subscription_request(path: &str, mode: SubscriptionMode) -> gnmi::SubscribeRequest {
    let subscription = gnmi::Subscription {
        path: Some(parse_path(path)),
        mode: mode as i32,
        ..Default::default()
    };
    subscription_list_request(gnmi::SubscriptionList {
        subscription: vec![subscription],
        encoding: gnmi::Encoding::Proto as i32,
        ..Default::default()
    })
}

/// A subscribe request with the given subscription list.
pub(crate) fn subscription_list_request(list: gnmi::SubscriptionList) -> gnmi::SubscribeRequest {
    gnmi::SubscribeRequest {
        request: Some(subscribe_request::Request::Subscribe(list)),
        extension: Vec::new(),
    }
}

/// Opens a stream with the given request, and keeps the request side of the stream open.
pub(crate) async fn open_subscription(
    client: &mut GnmiClient,
    first: gnmi::SubscribeRequest,
) -> Result<tonic::Streaming<gnmi::SubscribeResponse>, Status> {
    let requested =
        tokio_stream::StreamExt::chain(tokio_stream::once(first), tokio_stream::pending());
    Ok(client.subscribe(requested).await?.into_inner())
}
