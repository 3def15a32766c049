//! Subscribers that read slowly or not at all.
//!
//! The test guards against a gateway that waits until such a subscriber has read its notifications, which would delay
//! requests and other subscribers, or that buffers notifications for it without a limit.

use crate::managed::{
    connect_to_endpoint, connect_without_tls, current_thread_runtime, delete_subtree, get_leaves,
    open_subscription, set_value, start_managed_gateway, subscription_request, GnmiClient,
};
use crate::support::{resident_memory_kib, start_slow_engine, SubscribedValues};
use ironstair_gnmi::proto::gnmi::{subscribe_response::Response, SubscriptionMode, TypedValue};
use ironstair_test_cluster::stub::Client;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tonic::transport::Endpoint;

/// The number of subscribers that read at once.
const READER_COUNT: usize = 50;
const PAYOFF_PATH: &str = "/settings/band[name=lookup]/payoff";
const ADVICE_PATH: &str = "/settings/advice";
/// The growth of the gateway's resident memory that is allowed during the test.
const MAX_GROWTH_KIB: u64 = 64 << 10;

/// The payoff after the last change, formatted as text; `None` until it is known.
type LastPayoff = Arc<Mutex<Option<String>>>;

/// The measurements of the calls that run at the same time as the subscriptions.
struct Traffic {
    /// The number of calls.
    calls: u64,
    /// The longest time from a call to its answer.
    slowest: Duration,
}

/// Starts a proxy to `to` that forwards requests at once and answers at about one byte per 50 ms.
fn start_slow_proxy(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy_address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for client_side in listener.incoming().flatten() {
            let gateway_side = TcpStream::connect(to).unwrap();
            let mut requests_from = client_side.try_clone().unwrap();
            let mut requests_to = gateway_side.try_clone().unwrap();
            thread::spawn(move || std::io::copy(&mut requests_from, &mut requests_to));
            thread::spawn(move || forward_slowly(gateway_side, client_side));
        }
    });
    proxy_address
}

fn forward_slowly(mut from: TcpStream, mut to: TcpStream) {
    let mut byte = [0];
    while from.read(&mut byte).is_ok_and(|length| length > 0) {
        if to.write_all(&byte).is_err() {
            return;
        }
        // Zero bytes, of which the HTTP/2 handshake has many, are forwarded faster. Otherwise the stream would not be
        // open before the end of the test.
        thread::sleep(Duration::from_millis(if byte[0] == 0 { 1 } else { 50 }));
    }
}

/// Sends one call after the other, each after the answer to the previous one, until `stop` is set.
fn spawn_traffic(mut request_client: Client, stop: Arc<AtomicBool>) -> JoinHandle<Traffic> {
    thread::spawn(move || {
        let mut traffic = Traffic {
            calls: 0,
            slowest: Duration::ZERO,
        };
        loop {
            traffic.calls += 1;
            let sent_at = Instant::now();
            request_client.send_call(traffic.calls);
            assert_eq!(request_client.receive_rows().0, traffic.calls);
            traffic.slowest = traffic.slowest.max(sent_at.elapsed());
            if stop.load(Ordering::Relaxed) {
                return traffic;
            }
        }
    })
}

/// Subscribes to the settings and reads until the last payoff is known and received. Returns the values received.
async fn read_until_last(mut client: GnmiClient, last_payoff: LastPayoff) -> SubscribedValues {
    let request = subscription_request("/settings", SubscriptionMode::OnChange);
    let mut stream = open_subscription(&mut client, request).await.unwrap();
    let mut values = SubscribedValues::default();
    loop {
        let message = stream.message().await.unwrap().unwrap();
        let Response::Update(notification) = message.response.unwrap() else {
            continue;
        };
        values.apply(&notification);
        let payoff = values.0.get(PAYOFF_PATH).map(|value| format!("{value:?}"));
        let last_payoff = last_payoff.lock().unwrap();
        if last_payoff.is_some() && payoff == *last_payoff {
            return values;
        }
    }
}

/// Changes a leaf, a leaf-list and a container 40 times, and then sets the payoff to 77.5.
async fn change_settings(client: &mut GnmiClient) {
    for index in 0..40 {
        set_value(client, PAYOFF_PATH, json!(format!("{index}.25")))
            .await
            .unwrap_or_else(|error| assert_eq!(index, 0, "{error}"));
        let zone = if index % 2 == 0 {
            json!(["a"])
        } else {
            json!([])
        };
        set_value(client, "/settings/band[name=lookup]/zone", zone)
            .await
            .unwrap();
        if index % 4 == 0 {
            delete_subtree(client, "/settings/ration").await.unwrap();
        } else {
            let retry_budget = json!({"spare": index, "share": "0.5", "span": 1000});
            set_value(client, "/settings/ration", retry_budget)
                .await
                .unwrap();
        }
    }
    set_value(client, PAYOFF_PATH, json!("77.5")).await.unwrap();
}

/// The values without the advice, which changes after the last payoff is known, so that a reader may have received any
/// of its values.
fn without_advice(all: &BTreeMap<String, TypedValue>) -> BTreeMap<String, TypedValue> {
    let mut rest = all.clone();
    rest.remove(ADVICE_PATH);
    rest
}

/// Starts the readers, changes the settings, and asserts that each reader's values are the settings at the end.
async fn assert_readers_miss_nothing(gnmi_address: SocketAddr) {
    let last_payoff = LastPayoff::default();
    let mut readers = Vec::new();
    for _ in 0..READER_COUNT {
        let client = connect_without_tls(gnmi_address).await;
        readers.push(tokio::spawn(read_until_last(client, last_payoff.clone())));
    }
    let mut client = connect_without_tls(gnmi_address).await;
    change_settings(&mut client).await;
    let expected = get_leaves(&mut client, "/settings").await;
    *last_payoff.lock().unwrap() = Some(format!("{:?}", expected[PAYOFF_PATH]));
    // A reader compares the payoff when it receives a notification. These changes cause one after the last payoff is
    // known.
    set_value(&mut client, ADVICE_PATH, json!(1)).await.unwrap();
    set_value(&mut client, ADVICE_PATH, json!(0)).await.unwrap();
    for reader in readers {
        let values = tokio::time::timeout(Duration::from_secs(10), reader)
            .await
            .unwrap()
            .unwrap();
        assert_eq!(without_advice(&values.0), without_advice(&expected));
    }
}

#[test]
fn stalled_subscribers_delay_no_attempt_and_fifty_that_read_miss_nothing() {
    let (engine_address, _) = start_slow_engine(Duration::from_millis(1));
    let (gateway, gnmi_address) = start_managed_gateway("case-3", &[("e1", engine_address)]);
    let stop = Arc::new(AtomicBool::new(false));
    let traffic = spawn_traffic(Client::connect(&gateway), stop.clone());

    current_thread_runtime().block_on(async {
        let before = resident_memory_kib(gateway.process.id());
        let mut unread_client = connect_without_tls(gnmi_address).await;
        let request = subscription_request("/", SubscriptionMode::OnChange);
        let _unread = open_subscription(&mut unread_client, request)
            .await
            .unwrap();
        let proxy = start_slow_proxy(gnmi_address);
        let mut slow_client =
            connect_to_endpoint(Endpoint::from_shared(format!("http://{proxy}")).unwrap()).await;
        let slow_subscription = tokio::spawn(async move {
            let request = subscription_request("/state", SubscriptionMode::Sample);
            if let Ok(mut stream) = open_subscription(&mut slow_client, request).await {
                while stream
                    .message()
                    .await
                    .is_ok_and(|message| message.is_some())
                {}
            }
        });
        assert_readers_miss_nothing(gnmi_address).await;
        let growth_kib = resident_memory_kib(gateway.process.id()).saturating_sub(before);
        assert!(
            growth_kib < MAX_GROWTH_KIB,
            "resident memory has grown by {growth_kib} KiB"
        );
        slow_subscription.abort();
    });
    stop.store(true, Ordering::Relaxed);

    let Traffic { calls, slowest } = traffic.join().unwrap();
    // The limit is far above the usual latency and suffices, because an attempt that waits for a stalled subscriber
    // waits for as long as the subscriber doesn't read.
    assert!(
        calls > 50 && slowest < Duration::from_secs(2),
        "{calls} calls, the slowest {slowest:?}"
    );
}
