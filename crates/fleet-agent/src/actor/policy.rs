//! The fleet's policy at this gateway: management validates and applies it, and it is in force while the lease lasts.

use super::Actor;
use crate::error::PolicyError;
use crate::fault_injection::{is_disabled, Guard};
use crate::message::AgentMessage;
use ironstair::Millis;
use ironstair_coordination::member::Input;
use ironstair_coordination::{Share, Validation};
use ironstair_management::ManagementHandle;
use ironstair_runtime::state_watch::ManagementCommand;
use serde_json::Value as Json;

/// The field that this version treats as unknown when a test makes it behave like an older version.
const FIELD_OF_LATER_VERSIONS: &str = "advice";

impl Actor {
    /// Starts applying a policy.
    pub(super) fn apply_policy(&self, applied_index: u64, revision: u64, document: Json) {
        let management = self.management.clone();
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let result = match is_disabled(Guard::PolicyApplied) {
                true => Ok(()),
                false => apply(&management, applied_index, revision, document).await,
            };
            let message = AgentMessage::PolicyApplied {
                applied_index,
                result,
            };
            let _ = handle.send(message).await;
        });
    }

    pub(super) fn handle_policy_applied(
        &mut self,
        policy_index: u64,
        result: Result<(), PolicyError>,
    ) {
        self.drive_member(match result {
            Ok(()) => Input::Applied { policy_index },
            Err(error) => Input::ApplyFailed {
                policy_index,
                reason: error.to_string(),
            },
        });
    }

    /// Starts validating a policy, that is, checking whether this gateway could apply it.
    pub(super) fn validate_policy(&self, revision: u64, document: Json) {
        let management = self.management.clone();
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let result = match is_disabled(Guard::PolicyValidated) {
                true => Ok(()),
                false => validate(&management, document).await,
            };
            let message = AgentMessage::PolicyValidated { revision, result };
            let _ = handle.send(message).await;
        });
    }

    pub(super) fn handle_policy_validated(&mut self, number: u64, result: Result<(), PolicyError>) {
        let rejection = result.err().map(|error| error.to_string());
        self.drive_member(Input::Validated(Validation { number, rejection }));
    }

    /// Passes the end of the lease (in ms of this process's clock) and the gateway's share of fleet-wide limits to the
    /// dispatcher.
    pub(super) fn extend_lease(&self, until: Millis, share: Share) {
        let until = if is_disabled(Guard::LeaseExpiry) {
            Millis::INFINITY
        } else {
            until
        };
        let share = Some(share).filter(|_| self.config.counts_members);
        let lease = ManagementCommand::RenewLease { until, share };
        // The command must not be dropped if the queue is full: a steady gateway receives its lease only once.
        if let Err(full) = self.gateway_commands.try_send(lease) {
            let gateway_commands = self.gateway_commands.clone();
            tokio::spawn(async move {
                let _ = gateway_commands.send(full.into_inner()).await;
            });
        }
    }
}

/// Applies a policy. A policy with a field that this version does not know is rejected, and the member reports that.
async fn apply(
    management: &ManagementHandle,
    applied_index: u64,
    revision: u64,
    document: Json,
) -> Result<(), PolicyError> {
    check_known_fields(&document)?;
    management
        .apply(applied_index, revision, document)
        .await
        .map_err(PolicyError::rejected)
}

/// Validates a policy. Management validates the document even if it has an unknown field, so that the order of its work
/// does not depend on the policy.
async fn validate(management: &ManagementHandle, document: Json) -> Result<(), PolicyError> {
    let known_fields = check_known_fields(&document);
    let validated = management.validate(document).await;
    known_fields.and(validated.map_err(PolicyError::rejected))
}

/// Rejects a field that this version treats as unknown in tests.
fn check_known_fields(document: &Json) -> Result<(), PolicyError> {
    let field = &document[FIELD_OF_LATER_VERSIONS];
    if is_disabled(Guard::KnownFields) && field.as_u64().unwrap_or(0) != 0 {
        return Err(PolicyError::UnknownField(FIELD_OF_LATER_VERSIONS));
    }
    Ok(())
}
