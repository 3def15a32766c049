//! Calls that cannot be served are refused with a status code, a reason and the path or field that is at fault.
//!
//! The test guards against invalid requests that are accepted or answered with a code or reason that misleads the
//! client, and against streams beyond the limit.

use crate::managed::{
    commit_extension, commit_with_rollback_after, connect_without_tls, current_thread_runtime,
    json_update, open_subscription, parse_path, send_set_request, set_request,
    start_managed_gateway_with, subscription_list_request, subscription_request, GnmiClient,
};
use crate::support::poll_request;
use ironstair_gnmi::proto::gnmi::{self, SubscriptionMode};
use ironstair_gnmi::proto::gnmi_ext::{self, commit::Action};
use serde_json::json;
use std::time::{Duration, Instant};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Code;

const ADVICE_PATH: &str = "/settings/advice";
/// The limit of concurrent streams that the gateway is configured with.
const MAX_STREAMS: usize = 2;
const JSON_IETF: i32 = gnmi::Encoding::JsonIetf as i32;
const BYTES: i32 = gnmi::Encoding::Bytes as i32;
const UNKNOWN_ENCODING: i32 = 77;

async fn assert_capabilities(client: &mut GnmiClient) {
    let capabilities = client
        .capabilities(gnmi::CapabilityRequest::default())
        .await
        .unwrap()
        .into_inner();
    assert_eq!(
        capabilities.supported_models[0].name.as_str(),
        "ironstair-gateway"
    );
    assert_eq!(capabilities.supported_encodings, vec![4, 0, 2]);
}

async fn assert_get_refused(
    client: &mut GnmiClient,
    request: gnmi::GetRequest,
    code: Code,
    reason: &str,
) {
    let refused = client.get(request).await.unwrap_err();
    assert!(
        refused.code() == code && refused.message().starts_with(reason),
        "{reason}: {refused:?}"
    );
}

fn get_request(path: gnmi::Path, encoding: i32, kind: i32) -> gnmi::GetRequest {
    gnmi::GetRequest {
        path: vec![path],
        encoding,
        r#type: kind,
        ..Default::default()
    }
}

async fn assert_absent_or_unsupported_refused(client: &mut GnmiClient) {
    for (path_text, encoding, kind, code, reason) in [
        (
            "/settings/bands",
            JSON_IETF,
            0,
            Code::InvalidArgument,
            "/settings/bands: unknown node",
        ),
        (
            "/settings/band[name=none]",
            JSON_IETF,
            0,
            Code::NotFound,
            "/settings/band[name=none]: the tree has no data",
        ),
        (
            "/state/list",
            JSON_IETF,
            1,
            Code::NotFound,
            "/state/list: the tree has no data",
        ),
        ("/settings", BYTES, 0, Code::Unimplemented, "encoding BYTES"),
        (
            "/settings",
            UNKNOWN_ENCODING,
            0,
            Code::InvalidArgument,
            "encoding 77",
        ),
        ("/settings", JSON_IETF, 9, Code::InvalidArgument, "type 9"),
    ] {
        let request = get_request(parse_path(path_text), encoding, kind);
        assert_get_refused(client, request, code, reason).await;
    }
}

async fn assert_bad_paths_refused(client: &mut GnmiClient) {
    let foreign_origin = gnmi::Path {
        origin: "openconfig".into(),
        ..parse_path("/settings")
    };
    let foreign_target = gnmi::Path {
        target: "n9".into(),
        ..parse_path("/settings")
    };
    let two_keys = gnmi::PathElem {
        name: "band".into(),
        key: [("a".into(), "b".into()), ("c".into(), "d".into())].into(),
    };
    let two_keys = gnmi::Path {
        elem: vec![two_keys],
        ..Default::default()
    };
    for (path, reason) in [
        (foreign_origin, "origin \"openconfig\""),
        (foreign_target, "target \"n9\""),
        (two_keys, "band: the elem has 2 keys, at most one"),
        (parse_path(&"/a".repeat(40)), "the path has 40 steps"),
    ] {
        let request = get_request(path, JSON_IETF, 0);
        assert_get_refused(client, request, Code::InvalidArgument, reason).await;
    }
    let too_many = gnmi::GetRequest {
        path: vec![parse_path("/"); 300],
        encoding: JSON_IETF,
        ..Default::default()
    };
    assert_get_refused(
        client,
        too_many,
        Code::InvalidArgument,
        "the request has 300 paths, at most 256",
    )
    .await;
}

async fn assert_bad_sets_refused(client: &mut GnmiClient) {
    let advice = || vec![json_update(ADVICE_PATH, json!(1))];
    let union_with_update = gnmi::SetRequest {
        union_replace: vec![json_update("/settings", json!(1))],
        update: advice(),
        ..Default::default()
    };
    let confirm = Action::Confirm(gnmi_ext::CommitConfirm {});
    for (request, reason) in [
        (union_with_update, "union_replace cannot be combined"),
        (
            set_request(advice(), commit_extension("a", confirm)),
            "confirm, cancel and set_rollback_duration",
        ),
        (
            set_request(
                advice(),
                commit_extension("a", commit_with_rollback_after(0, 5)),
            ),
            "rollback_duration of 0.000005 ms is outside 1 s to 86400 s",
        ),
        (
            set_request(
                advice(),
                commit_extension("", commit_with_rollback_after(5, 0)),
            ),
            "the commit id has 0 bytes, 1 to 128",
        ),
    ] {
        let refused = send_set_request(client, request).await.unwrap_err();
        assert!(
            refused.code() == Code::InvalidArgument && refused.message().starts_with(reason),
            "{reason}: {refused:?}"
        );
    }
}

fn one_subscription(subscription: gnmi::Subscription) -> gnmi::SubscribeRequest {
    subscription_list_request(gnmi::SubscriptionList {
        subscription: vec![subscription],
        encoding: JSON_IETF,
        ..Default::default()
    })
}

async fn assert_bad_subscriptions_refused(client: &mut GnmiClient) {
    let too_frequent = gnmi::Subscription {
        path: Some(parse_path("/state")),
        mode: SubscriptionMode::Sample as i32,
        sample_interval: 5,
        ..Default::default()
    };
    let unknown_node = gnmi::Subscription {
        path: Some(parse_path("/nothing")),
        ..Default::default()
    };
    let empty_list = subscription_list_request(gnmi::SubscriptionList {
        encoding: JSON_IETF,
        ..Default::default()
    });
    for (first, reason) in [
        (
            one_subscription(too_frequent),
            "sample_interval is 5 ns, 100 ms to",
        ),
        (one_subscription(unknown_node), "/nothing: unknown node"),
        (
            poll_request(),
            "the first message of a stream must be a subscription list",
        ),
        (
            empty_list,
            "the subscription list has 0 subscriptions, 1 to 64",
        ),
    ] {
        let mut stream = open_subscription(client, first).await.unwrap();
        let refused = stream.message().await.unwrap_err();
        assert!(
            refused.code() == Code::InvalidArgument && refused.message().starts_with(reason),
            "{reason}: {refused:?}"
        );
    }
}

/// Asserts that a stream beyond the limit is refused, and that a new one is served once the open ones are dropped.
async fn assert_streams_limited(client: &mut GnmiClient) {
    let request = || subscription_request("/settings", SubscriptionMode::OnChange);
    let mut open = Vec::new();
    for index in 0..=MAX_STREAMS {
        let (requests, requested) = tokio::sync::mpsc::channel(1);
        requests.send(request()).await.unwrap();
        let requested = ReceiverStream::new(requested);
        let mut stream = client.subscribe(requested).await.unwrap().into_inner();
        let first = stream.message().await;
        assert_eq!(first.is_ok(), index < MAX_STREAMS);
        assert!(index < MAX_STREAMS || first.unwrap_err().code() == Code::ResourceExhausted);
        open.push((requests, stream));
    }
    drop(open);
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        let mut stream = open_subscription(client, request()).await.unwrap();
        if stream.message().await.is_ok() {
            break;
        }
        assert!(Instant::now() < deadline);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn calls_that_cannot_be_served_are_refused_with_code_and_reason() {
    let (_gateway, gnmi_address) = start_managed_gateway_with("wrong-calls", &[], |operator, _| {
        operator["management"]["streams"] = json!(MAX_STREAMS);
    });
    current_thread_runtime().block_on(async {
        let mut client = connect_without_tls(gnmi_address).await;
        assert_capabilities(&mut client).await;
        assert_absent_or_unsupported_refused(&mut client).await;
        assert_bad_paths_refused(&mut client).await;
        assert_bad_sets_refused(&mut client).await;
        assert_bad_subscriptions_refused(&mut client).await;
        assert_streams_limited(&mut client).await;
    });
}
