//! Updates and publishes the tree that clients read: the settings, the revisions and the gateway's state.

use crate::actor::Manager;
use crate::tree::Tree;
use ironstair::Millis;
use ironstair_data_tree::{state, LeafMap, Path};
use ironstair_runtime::clock::duration;
use ironstair_runtime::state_watch::ManagementCommand;
use slog::warn;
use std::sync::Arc;
use tokio::time::timeout;

/// The time in ms to wait for the dispatcher to publish its state; a warning is logged when it has passed.
const STATE_TIMEOUT: Millis = 1000.0;

impl Manager {
    /// Requests the state from the dispatcher, updates the tree with it and publishes the tree. If the dispatcher does
    /// not answer in time, the tree keeps the last known state.
    pub(crate) async fn refresh(&mut self) {
        self.refreshed_at = self.clock.now();
        let state_changed = self.state_watch.changed();
        let is_sent = self
            .commands
            .send(ManagementCommand::PublishState)
            .await
            .is_ok();
        if !is_sent
            || timeout(duration(STATE_TIMEOUT), state_changed)
                .await
                .is_err()
        {
            warn!(self.log, "gateway thread did not publish its state in time");
        }
        let snapshot = self.state_watch.current();
        self.leaves = state::with_changes(&self.leaves, &self.snapshot, &snapshot);
        self.snapshot = snapshot;
        self.publish();
    }

    /// Replaces all leaves of the settings.
    pub(crate) fn replace_settings(&mut self, settings: LeafMap) {
        let root = Path::root().child(&"settings".into(), None);
        let old_paths: Vec<Path> = self
            .leaves
            .range(root.clone()..)
            .map(|(path, _)| path)
            .take_while(|path| path.starts_with(&root))
            .cloned()
            .collect();
        for path in &old_paths {
            self.leaves.remove(path);
        }
        for (path, value) in settings {
            self.leaves.insert(path, value);
        }
    }

    /// Publishes the tree to its readers.
    pub(crate) fn publish(&self) {
        let leaves = match &self.fleet {
            Some(fleet) => state::with_fleet(&self.leaves, &fleet.status.borrow()),
            None => self.leaves.clone(),
        };
        let at = if self.snapshot.at > 0.0 {
            self.snapshot.at
        } else {
            self.clock.now()
        };
        self.trees.send_replace(Arc::new(Tree { at, leaves }));
    }
}
