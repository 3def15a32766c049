//! The messages between a member and the leader.

use crate::Share;
use ironstair::Millis;
use serde::{Deserialize, Serialize};

/// A member's report to the leader, sent three times per lease and whenever its content changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The member's name, unique in the cluster.
    pub name: String,
    /// A random number that identifies the member's process.
    pub start: u64,
    /// The time of sending in ms of the member's own clock. The response repeats it.
    pub sent: Millis,
    /// The cluster generation that the member follows; 0 if it follows none.
    #[serde(rename = "history")]
    pub generation: u64,
    /// The index of the policy that the member has applied in that generation; 0 if it has applied none.
    #[serde(rename = "mark")]
    pub applied_index: u64,
    /// The `sent` of the member's latest heartbeat that was answered.
    #[serde(rename = "heard")]
    pub last_answered: Millis,
    /// Whether the member continues to decide after its lease has expired.
    pub steady: bool,
    /// The result of the member's latest validation of a staged change.
    #[serde(rename = "examined")]
    pub validated: Option<Validation>,
    /// Whether the process is shutting down and makes no further decisions.
    pub leaving: bool,
    /// The name of a resource that only one process can hold at a time, such as a listening address; empty if there is
    /// none.
    #[serde(default, rename = "place")]
    pub exclusive_resource: String,
    /// Whether the member uses its share of the fleet-wide limits under a lease that is still valid.
    #[serde(default, rename = "shares")]
    pub uses_share: bool,
}

/// The leader's response, sent once a quorum has confirmed that it still is the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse<D> {
    /// The `start` of the heartbeat.
    pub start: u64,
    /// The `sent` of the heartbeat.
    pub sent: Millis,
    /// The cluster's generation, 0 before the bootstrap.
    #[serde(rename = "history")]
    pub generation: u64,
    /// The index of the policy that the member has to apply.
    #[serde(rename = "mark")]
    pub policy_index: u64,
    /// The policy to apply and its revision number, if the member has not applied it yet.
    #[serde(rename = "hold")]
    pub apply: Option<(u64, D)>,
    /// A staged change to validate: its number and document.
    #[serde(rename = "offer")]
    pub validate: Option<(u64, D)>,
    /// The granted lease in ms, counted from `sent`; `None` if no lease is granted.
    pub lease: Option<Millis>,
    /// Why no lease is granted, unless the only reason is that the member has not applied the current policy.
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// Whether the member should send its next heartbeat soon: a change is in progress, or the log does not contain the
    /// member's session yet.
    #[serde(default, rename = "soon")]
    pub heartbeat_soon: bool,
    /// The member's share of the fleet-wide limits, valid as long as the lease.
    #[serde(default)]
    pub share: Option<Share>,
}

/// A member's validation of a staged change. Serialized as the pair of number and result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "ValidationPair", into = "ValidationPair")]
pub struct Validation {
    /// The change's revision number.
    pub number: u64,
    /// Why the member can't apply the change; `None` if it can.
    pub rejection: Option<String>,
}

type ValidationPair = (u64, Result<(), String>);

impl Validation {
    /// The validation of a change that the member can apply.
    pub fn accepted(number: u64) -> Self {
        Validation {
            number,
            rejection: None,
        }
    }

    /// The validation of a change that the member can't apply for this reason.
    pub fn rejected(number: u64, reason: impl Into<String>) -> Self {
        Validation {
            number,
            rejection: Some(reason.into()),
        }
    }
}

impl From<ValidationPair> for Validation {
    fn from((number, result): ValidationPair) -> Self {
        Validation {
            number,
            rejection: result.err(),
        }
    }
}

impl From<Validation> for ValidationPair {
    fn from(validation: Validation) -> Self {
        (validation.number, validation.rejection.map_or(Ok(()), Err))
    }
}
