//! The handle through which other tasks use the manager.

use crate::error::{PolicyError, Refused};
use crate::request::{Change, FleetPolicy, Request, Scope};
use crate::tree::Tree;
use ironstair_config_change::{Command, Document};
use ironstair_data_tree::Schema;
use serde_json::Value as Json;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// Reads and changes the tree. Clones use the same manager, which ends when the last one is dropped.
#[derive(Clone)]
pub struct ManagementHandle {
    pub(crate) schema: Arc<Schema>,
    pub(crate) requests: mpsc::Sender<Request>,
    pub(crate) trees: watch::Receiver<Arc<Tree>>,
    pub(crate) watchers: Arc<AtomicUsize>,
}

/// Follows the tree. While at least one exists, the manager keeps the tree up to date.
pub struct Watch {
    /// The latest tree.
    pub trees: watch::Receiver<Arc<Tree>>,
    watchers: Arc<AtomicUsize>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.watchers.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ManagementHandle {
    /// The schema of the tree.
    pub fn schema(&self) -> &Schema {
        &self.schema
    }

    /// The current tree, or the last known one if the dispatcher does not answer.
    pub async fn tree(&self) -> Arc<Tree> {
        let tree = self.request(Request::ReadTree).await;
        tree.unwrap_or_else(|| self.trees.borrow().clone())
    }

    /// Starts to follow the tree.
    pub fn watch(&self) -> Watch {
        self.watchers.fetch_add(1, Ordering::Relaxed);
        Watch {
            trees: self.trees.clone(),
            watchers: self.watchers.clone(),
        }
    }

    /// Changes the settings, permanently or until they are confirmed. Returns the number of the revision that is
    /// running after the change.
    ///
    /// # Errors
    /// Fails if the change is rejected or can't be persisted; the settings are unchanged then.
    pub async fn set(&self, change: Change) -> Result<u64, Refused> {
        self.request(|answer| Request::Change(Box::new(change), answer))
            .await
            .unwrap_or(Err(Refused::ShuttingDown))
    }

    /// Confirms, cancels or extends the unconfirmed change. Returns the number of the revision that is running
    /// afterwards.
    ///
    /// # Errors
    /// Fails if no such change is pending, or the command can't be persisted.
    pub async fn command(
        &self,
        command: Command<Document>,
        author: String,
        scope: Scope,
    ) -> Result<u64, Refused> {
        let request = |answer| Request::Command {
            command: Box::new(command),
            author,
            scope,
            answer,
        };
        self.request(request)
            .await
            .unwrap_or(Err(Refused::ShuttingDown))
    }

    /// Bootstraps the fleet with the configured settings of this gateway. A disaster recovery uses the fleet's settings
    /// that are left in this voter's log, if any.
    ///
    /// # Errors
    /// Fails if the gateway is in no fleet, or the fleet is bootstrapped already; a disaster recovery if the fleet's
    /// state is not lost.
    pub async fn bootstrap(
        &self,
        is_disaster_recovery: bool,
        author: String,
    ) -> Result<u64, Refused> {
        let request = |answer| Request::Bootstrap {
            is_disaster_recovery,
            author,
            answer,
        };
        self.request(request)
            .await
            .unwrap_or(Err(Refused::ShuttingDown))
    }

    /// The leader's view of the fleet, as JSON.
    ///
    /// # Errors
    /// Fails if the gateway is in no fleet, or no leader answers.
    pub async fn fleet_state(&self) -> Result<Json, Refused> {
        self.request(Request::FleetState)
            .await
            .unwrap_or(Err(Refused::ShuttingDown))
    }

    /// Checks that this gateway could apply the policy.
    ///
    /// # Errors
    /// Fails with the reason why this gateway can't apply it.
    pub async fn validate(&self, document: Json) -> Result<(), PolicyError> {
        self.request(|answer| Request::Validate(document, answer))
            .await
            .unwrap_or(Err(PolicyError::ShuttingDown))
    }

    /// Applies a policy of the fleet. The policy is in force when this returns without an error.
    ///
    /// # Errors
    /// Fails if the gateway can't apply the policy, or does not apply it in time.
    pub async fn apply(
        &self,
        applied_index: u64,
        number: u64,
        document: Json,
    ) -> Result<(), PolicyError> {
        let policy = FleetPolicy {
            applied_index,
            number,
            document,
        };
        self.request(|answer| Request::Apply(policy, answer))
            .await
            .unwrap_or(Err(PolicyError::ShuttingDown))
    }

    /// Sends a request and waits for its answer; `None` if the manager has ended.
    async fn request<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> Request) -> Option<T> {
        let (answer, response) = oneshot::channel();
        self.requests.send(request(answer)).await.ok()?;
        response.await.ok()
    }
}
