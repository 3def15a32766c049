//! Subscriptions in the modes ONCE, POLL and STREAM.
//!
//! The test guards against a sync response that precedes some of the current values, and against polls that repeat
//! unchanged values although the client asked for updates only.

use crate::managed::{
    connect_without_tls, current_thread_runtime, format_path, get_leaves, open_subscription,
    set_value, start_managed_gateway, GnmiClient,
};
use crate::support::{paths_subscription_request, poll_request};
use ironstair_gnmi::proto::gnmi::{
    subscribe_response::Response, subscription_list::Mode, SubscribeResponse,
};
use serde_json::json;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

/// The list of all classes.
const CLASSES_PATH: &str = "/settings/band";
/// The number of leaves of one class. The change of a leaf is sent with its whole list entry, so that a client never
/// sees a part of an entry.
const LEAVES_OF_ONE_CLASS: usize = 9;

/// Counts the updates before the sync response.
async fn count_updates_until_sync(
    stream: &mut Streaming<SubscribeResponse>,
) -> Result<usize, Status> {
    let mut updates = 0;
    loop {
        match stream.message().await?.and_then(|message| message.response) {
            Some(Response::SyncResponse(true)) => return Ok(updates),
            Some(Response::Update(notification)) => updates += notification.update.len(),
            other => panic!("{other:?}"),
        }
    }
}

/// Polls twice, changes one leaf and polls again. Asserts the number of updates of each poll.
async fn assert_polls(client: &mut GnmiClient, updates_only: bool, class_leaves: usize) {
    let (requests, requested) = tokio::sync::mpsc::channel(4);
    let first = paths_subscription_request(&[CLASSES_PATH], Mode::Poll, updates_only);
    requests.send(first).await.unwrap();
    let requested = ReceiverStream::new(requested);
    let mut polled = client.subscribe(requested).await.unwrap().into_inner();
    let unchanged = if updates_only { 0 } else { class_leaves };
    for _ in 0..2 {
        requests.send(poll_request()).await.unwrap();
        assert_eq!(
            count_updates_until_sync(&mut polled).await.unwrap(),
            unchanged
        );
    }

    let payoff = json!(if updates_only { "3.5" } else { "2.5" });
    set_value(client, "/settings/band[name=lookup]/payoff", payoff)
        .await
        .unwrap();
    requests.send(poll_request()).await.unwrap();

    let changed = if updates_only {
        LEAVES_OF_ONE_CLASS
    } else {
        class_leaves
    };
    assert_eq!(
        count_updates_until_sync(&mut polled).await.unwrap(),
        changed
    );
}

#[test]
fn once_poll_and_stream_send_all_values_then_the_sync_response() {
    let (_gateway, gnmi_address) =
        start_managed_gateway("modes", &[("e1", "127.0.0.1:9".parse().unwrap())]);
    current_thread_runtime().block_on(async {
        let mut client = connect_without_tls(gnmi_address).await;
        let class_leaves = get_leaves(&mut client, CLASSES_PATH).await.len();
        let once = paths_subscription_request(&[CLASSES_PATH], Mode::Once, false);
        let mut once = open_subscription(&mut client, once).await.unwrap();
        assert_eq!(
            count_updates_until_sync(&mut once).await.unwrap(),
            class_leaves
        );
        assert!(
            once.message().await.unwrap().is_none(),
            "the stream must end after the sync response"
        );

        assert_polls(&mut client, false, class_leaves).await;
        assert_polls(&mut client, true, class_leaves).await;

        let both = ["/settings/advice", "/state/process/name"];
        let stream = paths_subscription_request(&both, Mode::Stream, false);
        let mut stream = open_subscription(&mut client, stream).await.unwrap();
        assert_eq!(count_updates_until_sync(&mut stream).await.unwrap(), 2);
        set_value(&mut client, "/settings/advice", json!(5))
            .await
            .unwrap();
        let message = stream.message().await.unwrap().unwrap();
        let Some(Response::Update(notification)) = message.response else {
            panic!("{message:?}")
        };
        let changed = format_path(None, notification.update[0].path.as_ref());
        assert_eq!(changed, "/settings/advice");
    });
}
