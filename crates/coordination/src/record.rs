//! The records of the replicated log. All voters apply them in the same order. A record that doesn't fit the current
//! state has no effect, so that a leader may write a record again if it doesn't know whether the log contains it.

use ironstair::Millis;
use serde::{Deserialize, Serialize};

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record<D> {
    /// A bootstrap or a disaster recovery begins a generation.
    #[serde(rename = "begun")]
    Bootstrapped {
        /// Its number.
        #[serde(rename = "history")]
        generation: u64,
        /// The first policy.
        document: D,
        /// After a disaster recovery: who ran it and how, in the form of a revision.
        #[serde(rename = "line")]
        revision: Option<RevisionSummary>,
    },
    /// Sessions of members begin and end.
    Members {
        /// New sessions by member name; each replaces an earlier one of that name.
        joined: Vec<(String, Session)>,
        /// Ended sessions: name and `start`.
        left: Vec<(String, u64)>,
    },
    /// A change is proposed: every member validates it.
    Staged(ChangeProposal<D>),
    /// The change is dropped because a member or an operator rejected it.
    Refused {
        /// Its revision number.
        number: u64,
        /// The member or operator that rejected it.
        by: String,
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
    /// From this record on members apply the intersection of the running policy and the change.
    Binding {
        /// The change's revision number.
        number: u64,
    },
    /// From this record on members apply the change.
    Decided {
        /// The change's revision number.
        number: u64,
    },
    /// The revision that was pending confirmation is confirmed.
    Confirmed {
        /// Its number.
        number: u64,
    },
    /// The revision that was pending confirmation is rolled back: the policy before it becomes the change in progress,
    /// at the step [`Binding`](crate::fleet::Step::Binding).
    #[serde(rename = "taken-back")]
    RolledBack {
        /// Its number.
        number: u64,
    },
}

/// A member's process as the log records it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// A random number that identifies the process.
    pub start: u64,
    /// Whether the member continues to decide after its lease has expired. No change is decided then until this member
    /// has applied it.
    pub steady: bool,
    /// The name of a resource that only one process can hold at a time, and that this process holds until it ends. A
    /// later process that holds it proves that this one has ended. Empty if there is none.
    #[serde(default, rename = "place")]
    pub exclusive_resource: String,
}

impl Session {
    /// Whether another session of the same name proves, by the resource that it holds, that the process of this one has
    /// ended.
    pub fn ended_before(&self, other: &Session) -> bool {
        !self.exclusive_resource.is_empty()
            && self.exclusive_resource == other.exclusive_resource
            && self.start != other.start
    }
}

/// A change that an operator proposes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeProposal<D> {
    /// A random number by which the proposing gateway recognizes the change in the log.
    pub token: u64,
    /// Who proposes it.
    #[serde(rename = "who")]
    pub author: String,
    /// Unix time in ms at the gateway that proposes it.
    #[serde(rename = "when")]
    pub created_at: Millis,
    /// A summary of the change for operators.
    #[serde(rename = "what")]
    pub summary: String,
    /// The index of the policy on which the proposal is based; it must still be the current one.
    #[serde(rename = "upon")]
    pub base_revision: u64,
    /// The proposed policy.
    pub document: D,
    /// The id by which it must be confirmed and the time in ms within which; `None` if it needs no confirmation.
    pub commit: Option<(String, Millis)>,
}

/// The state of a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RevisionState {
    /// Members validate it.
    Staged,
    /// Members apply its intersection with the policy that was running.
    Binding,
    /// It is the running policy.
    Running,
    /// It is the running policy, and pending confirmation.
    Unconfirmed,
    /// A later revision replaced it.
    Replaced,
    /// It was not confirmed, or an operator cancelled it while it was pending confirmation.
    #[serde(rename = "taken-back")]
    RolledBack,
    /// A member or an operator rejected it.
    Refused,
}

/// A revision as the state records it and operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionSummary {
    /// Its number.
    pub number: u64,
    /// As in [`ChangeProposal::token`].
    pub token: u64,
    /// Who proposed it.
    #[serde(rename = "who")]
    pub author: String,
    /// Unix time in ms at the gateway that proposed it.
    #[serde(rename = "when")]
    pub created_at: Millis,
    /// A summary of the change.
    #[serde(rename = "what")]
    pub summary: String,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: RevisionState,
    /// The id by which it must be confirmed, if it must be.
    pub commit: Option<String>,
    /// Who rejected it, and why.
    pub refused: Option<(String, String)>,
}
