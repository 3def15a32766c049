//! What the fleet's log is made of. Each record is a step that all voters agree on; one that does not fit what
//! stands before it has no effect, so that a leader may write one again whose fate it does not know.

use ironstair::Ms;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record<D> {
    /// A history begins, by an operator's word, with what one gateway was told; or anew, with what its line says.
    #[serde(rename = "begun")]
    Bootstrapped {
        #[serde(rename = "history")]
        generation: u64,
        document: D,
        #[serde(rename = "line")]
        revision: Option<RevisionSummary>,
    },
    /// Members come in with a process, instead of an earlier one of that name, and go.
    Members {
        joined: Vec<(String, Session)>,
        left: Vec<(String, u64)>,
    },
    /// Somebody wants a change: it is examined everywhere.
    Staged(ChangeProposal<D>),
    /// It holds nowhere: a member or an operator has said no.
    Refused {
        number: u64,
        by: String,
        #[serde(rename = "why")]
        reason: String,
    },
    /// The stricter of both holds from here.
    Binding { number: u64 },
    /// The new one holds from here.
    Decided { number: u64 },
    /// What waited to be confirmed stays.
    Confirmed { number: u64 },
    /// What waited to be confirmed goes; what ran before it is bound, and then decided anew.
    #[serde(rename = "taken-back")]
    RolledBack { number: u64 },
}

/// A member's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    pub start: u64,
    /// It goes on without a lease: no change is decided without it.
    pub steady: bool,
    /// What it holds for itself alone as long as it lives: who holds that after it knows that it is no more. Empty where
    /// that is not known.
    #[serde(default)]
    #[serde(rename = "place")]
    pub exclusive_resource: String,
}

impl Session {
    /// Whether another process of that name proves by what it holds that this one has ended.
    pub fn ended_before(&self, other: &Session) -> bool {
        !self.exclusive_resource.is_empty()
            && self.exclusive_resource == other.exclusive_resource
            && self.start != other.start
    }
}

/// A change that somebody wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeProposal<D> {
    /// By which its asker finds it again.
    pub token: u64,
    #[serde(rename = "who")]
    pub author: String,
    /// Unix time in ms, where it was asked for.
    #[serde(rename = "when")]
    pub created_at: Ms,
    #[serde(rename = "what")]
    pub summary: String,
    /// The mark that its asker held: what it was made of is what runs, not the stricter of two.
    #[serde(rename = "upon")]
    pub base_revision: u64,
    pub document: D,
    /// To be confirmed under that id within so many ms.
    pub commit: Option<(String, Ms)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RevisionState {
    Staged,
    Binding,
    Running,
    Unconfirmed,
    Replaced,
    #[serde(rename = "taken-back")]
    RolledBack,
    Refused,
}

/// One revision as it is shown and remembered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionSummary {
    pub number: u64,
    pub token: u64,
    #[serde(rename = "who")]
    pub author: String,
    #[serde(rename = "when")]
    pub created_at: Ms,
    #[serde(rename = "what")]
    pub summary: String,
    #[serde(rename = "standing")]
    pub state: RevisionState,
    pub commit: Option<String>,
    /// Who said no, and why.
    pub refused: Option<(String, String)>,
}
