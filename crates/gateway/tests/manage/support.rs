//! Engines, subscriptions and measurements that several modules of this test binary share.

use crate::managed::{format_path, parse_path, subscription_list_request};
use ironstair_gnmi::proto::gnmi::{self, TypedValue};
use ironstair_test_cluster::stub::{done_reply, start_engine, RecordedLines};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Starts an engine that answers each fetch after `latency`. Returns its address and the lines that it has received.
pub(crate) fn start_slow_engine(latency: Duration) -> (SocketAddr, RecordedLines) {
    start_slow_engine_that_disconnects(latency, |_| false)
}

/// Starts an engine that answers each fetch after `latency`, or closes the connection instead if `disconnects` returns
/// true for the number of the fetch, counted from 0.
pub(crate) fn start_slow_engine_that_disconnects(
    latency: Duration,
    disconnects: impl Fn(usize) -> bool + Send + Sync + 'static,
) -> (SocketAddr, RecordedLines) {
    let fetches = AtomicUsize::new(0);
    start_engine(move |line, _| {
        if !line.starts_with("fetch") {
            return (Vec::new(), false);
        }
        thread::sleep(latency);
        if disconnects(fetches.fetch_add(1, Ordering::Relaxed)) {
            return (Vec::new(), true);
        }
        (done_reply(line, "a\tb\tc\n"), false)
    })
}

/// The resident memory of a process in KiB.
pub(crate) fn resident_memory_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// The values that a subscriber has assembled from its notifications, by path.
#[derive(Default)]
pub(crate) struct SubscribedValues(pub BTreeMap<String, TypedValue>);

impl SubscribedValues {
    /// Applies the deletes of a notification before its updates. An atomic notification replaces everything below its
    /// prefix.
    pub(crate) fn apply(&mut self, notification: &gnmi::Notification) {
        let prefix = notification.prefix.as_ref();
        for deleted in &notification.delete {
            self.remove_subtree(&format_path(prefix, Some(deleted)));
        }
        if notification.atomic {
            self.remove_subtree(&format_path(prefix, None));
        }
        for update in &notification.update {
            let path = format_path(prefix, update.path.as_ref());
            self.0.insert(path, update.val.clone().unwrap());
        }
    }

    fn remove_subtree(&mut self, root: &str) {
        let below = format!("{root}/");
        self.0
            .retain(|path, _| path != root && !path.starts_with(&below));
    }
}

/// A subscribe request for several paths in one subscription list.
pub(crate) fn paths_subscription_request(
    paths: &[&str],
    mode: gnmi::subscription_list::Mode,
    updates_only: bool,
) -> gnmi::SubscribeRequest {
    let subscription = paths.iter().map(|path| gnmi::Subscription {
        path: Some(parse_path(path)),
        ..Default::default()
    });
    subscription_list_request(gnmi::SubscriptionList {
        subscription: subscription.collect(),
        mode: mode as i32,
        updates_only,
        encoding: gnmi::Encoding::Proto as i32,
        ..Default::default()
    })
}

/// A subscribe request for the next values of a subscription in POLL mode.
pub(crate) fn poll_request() -> gnmi::SubscribeRequest {
    gnmi::SubscribeRequest {
        request: Some(gnmi::subscribe_request::Request::Poll(gnmi::Poll {})),
        extension: Vec::new(),
    }
}
