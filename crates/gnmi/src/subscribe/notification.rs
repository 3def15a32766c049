//! Writes updates as gNMI notifications.

use crate::codec::{self, Encoding};
use crate::context::timestamp;
use crate::proto::gnmi::{self, subscribe_response::Response as ServerMessage, SubscribeResponse};
use crate::update_queue::PathUpdate;
use ironstair::Millis;
use ironstair_data_tree::{Path, Value};

/// Writes the notifications of one stream.
pub(super) struct NotificationWriter {
    pub(super) encoding: Encoding,
    /// The target in the prefix of each notification; empty if the client named none.
    pub(super) target: String,
}

impl NotificationWriter {
    /// The messages for the updates: one for each atomic update, and one for all others together.
    pub(super) fn messages(&self, at: Millis, updates: Vec<PathUpdate>) -> Vec<SubscribeResponse> {
        let mut notifications = Vec::new();
        let mut others = gnmi::Notification {
            timestamp: timestamp(at),
            prefix: self.prefix(None),
            ..Default::default()
        };
        for update in updates {
            if update.is_deleted {
                others.delete.push(codec::path(&update.at));
            }
            if update.is_atomic {
                notifications.push(self.atomic_notification(at, &update));
            } else {
                others.update.extend(self.leaf_updates(&update, 0));
            }
        }
        if !others.update.is_empty() || !others.delete.is_empty() {
            notifications.push(others);
        }
        notifications.into_iter().map(response).collect()
    }

    /// An atomic notification: its leaves replace all leaves below its prefix.
    fn atomic_notification(&self, at: Millis, update: &PathUpdate) -> gnmi::Notification {
        let prefix_length = update.at.0.len();
        gnmi::Notification {
            timestamp: timestamp(at),
            prefix: self.prefix(Some(&update.at)),
            update: self.leaf_updates(update, prefix_length).collect(),
            delete: Vec::new(),
            atomic: true,
        }
    }

    /// The leaves of an update, with paths relative to a prefix of `prefix_length` steps.
    fn leaf_updates<'a>(
        &'a self,
        update: &'a PathUpdate,
        prefix_length: usize,
    ) -> impl Iterator<Item = gnmi::Update> + 'a {
        let leaves = update.leaves.iter();
        leaves.map(move |(path, value): &(Path, Value)| {
            let relative = Path(path.0[prefix_length..].into());
            gnmi::Update {
                path: Some(codec::path(&relative)),
                val: Some(self.encoding.leaf(value)),
                duplicates: update.duplicates,
            }
        })
    }

    fn prefix(&self, at: Option<&Path>) -> Option<gnmi::Path> {
        let target = self.target.clone();
        let path = at.map(codec::path);
        if path.is_none() && target.is_empty() {
            return None;
        }
        Some(gnmi::Path {
            target,
            ..path.unwrap_or_default()
        })
    }
}

fn response(notification: gnmi::Notification) -> SubscribeResponse {
    SubscribeResponse {
        response: Some(ServerMessage::Update(notification)),
        extension: Vec::new(),
    }
}
