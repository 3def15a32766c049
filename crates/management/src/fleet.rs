//! The manager of a gateway in a fleet: it forwards changes to the fleet and applies the fleet's policies.

use crate::actor::{AppliedPolicy, Manager};
use crate::error::{PolicyError, Refused};
use crate::fleet_channel::{FleetChannel, FleetRequest, Responder};
use crate::request::{FleetPolicy, Scope};
use ironstair_config_change::{plan, Document};
use serde_json::Value as Json;
use tokio::sync::oneshot;

impl FleetChannel {
    /// Sends a request to the fleet's actor, which answers it. If the queue is full, the request is refused at once.
    pub(crate) fn request<T>(
        &self,
        answer: oneshot::Sender<Result<T, Refused>>,
        request: impl FnOnce(oneshot::Sender<Result<T, Refused>>) -> FleetRequest,
    ) {
        match self.requests.try_reserve() {
            Ok(permit) => permit.send(request(answer)),
            Err(_) => {
                let reason = "the queue of requests to the fleet is full".into();
                let _ = answer.send(Err(Refused::Fleet(reason)));
            }
        }
    }
}

impl Manager {
    /// The channel to the fleet if a request of this scope goes to the fleet, `None` if it concerns this gateway alone.
    /// Fails if the scope does not fit this gateway: a gateway in a fleet must not change its settings alone.
    pub(crate) fn fleet_channel_for(&self, scope: Scope) -> Result<Option<&FleetChannel>, Refused> {
        let refused = |reason: &str| Err(Refused::Fleet(reason.into()));
        match (&self.fleet, scope) {
            (None, Scope::Gateway) => Ok(None),
            (Some(fleet), Scope::Fleet) => Ok(Some(fleet)),
            (None, Scope::Fleet) => refused("this gateway is not in a fleet"),
            (Some(_), Scope::Gateway) => refused(
                "this gateway's settings are changed in its fleet: use ironstair set --fleet",
            ),
        }
    }

    pub(crate) fn bootstrap(&self, is_disaster_recovery: bool, author: String, answer: Responder) {
        let fleet = match self.fleet_channel_for(Scope::Fleet) {
            Ok(Some(fleet)) => fleet,
            other => return drop(answer.send(other.map(|_| 0))),
        };
        let document = serde_json::to_value(&self.configured).unwrap_or_default();
        fleet.request(answer, |answer| {
            if is_disaster_recovery {
                FleetRequest::RecoverFromDisaster {
                    document,
                    author,
                    answer,
                }
            } else {
                FleetRequest::Bootstrap { document, answer }
            }
        });
    }

    pub(crate) fn fleet_state(&self, answer: oneshot::Sender<Result<Json, Refused>>) {
        match self.fleet_channel_for(Scope::Fleet) {
            Ok(Some(fleet)) => fleet.request(answer, FleetRequest::Show),
            other => drop(answer.send(other.map(|_| Json::Null))),
        }
    }

    /// Checks that this gateway could apply the policy, and returns its document.
    pub(crate) fn validate(&self, document: Json) -> Result<Document, PolicyError> {
        let document: Document = serde_json::from_value(document)?;
        self.schema.settings(&document).map_err(PolicyError::Tree)?;
        let running = self.running();
        plan(running, &document, &self.registry, &self.origin.name_index)
            .map_err(PolicyError::Violations)?;
        Ok(document)
    }

    pub(crate) async fn apply_fleet_policy(
        &mut self,
        policy: FleetPolicy,
    ) -> Result<(), PolicyError> {
        let document = self.validate(policy.document)?;
        self.applied = Some(AppliedPolicy {
            applied_index: policy.applied_index,
            document: document.clone(),
        });
        let is_applied = self.apply(policy.number, document).await;
        self.publish();
        // The leader must not learn that the policy is applied while the dispatcher still uses the previous one.
        is_applied.then_some(()).ok_or(PolicyError::NotAppliedYet)
    }
}
