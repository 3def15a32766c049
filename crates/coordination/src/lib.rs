//! One policy for a fleet of gateways, without I/O, clock or thread: what the fleet's log says ([`fleet`]), what
//! its leader does next ([`leader`]), and what a member holds and until when ([`member`]). The promises stand in
//! `docs/design/fleet.md`.

pub mod fleet;
pub mod generation;
pub mod leader;
pub mod member;
pub mod record;
pub mod share_counter;

pub use fleet::Fleet;
pub use leader::Leader;
pub use member::Member;
pub use record::{Record, RevisionState, RevisionSummary};
pub use share_counter::Share;

use ironstair::Ms;
use serde::{Deserialize, Serialize};

/// What a fleet agrees on.
pub trait Policy: Clone + PartialEq {
    /// What is safe beside both, in sum over all gateways; none where nothing is.
    fn intersection(&self, other: &Self) -> Option<Self>;

    /// How many gateways it was made for.
    fn gateways(&self) -> f64 {
        1.0
    }
}

impl Policy for ironstair_config_change::Document {
    fn intersection(&self, other: &Self) -> Option<Self> {
        ironstair_config_change::Document::stricter(self, other)
    }

    fn gateways(&self) -> f64 {
        self.gateways as f64
    }
}

/// As it crosses between gateways: a version that can't read a field of it can still say so.
impl Policy for serde_json::Value {
    fn intersection(&self, other: &Self) -> Option<Self> {
        let read = |of: &Self| {
            serde_json::from_value::<ironstair_config_change::Document>(of.clone()).ok()
        };
        serde_json::to_value(read(self)?.stricter(&read(other)?)?).ok()
    }

    fn gateways(&self) -> f64 {
        self["gateways"].as_f64().unwrap_or(1.0)
    }
}

/// A leader counts a lease for this much longer than its member: what two clocks' rates may differ by, and more.
const DRIFT: f64 = 1.1;

/// After so long no lease that a leader granted before can be left.
pub fn grace(lease: Ms) -> Ms {
    lease * DRIFT
}

/// What a member says of itself, three times a lease and whenever that changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub name: String,
    /// Of this process: drawn at its start.
    pub start: u64,
    /// By the member's own clock; comes back with the answer.
    pub sent: Ms,
    /// The history that it knows, 0 for none, and what of it the member holds.
    #[serde(rename = "history")]
    pub generation: u64,
    #[serde(rename = "mark")]
    pub policy_index: u64,
    /// The latest of its heartbeats to which it heard an answer, by `sent`.
    #[serde(rename = "heard")]
    pub last_answered: Ms,
    /// Goes on without a lease.
    pub steady: bool,
    /// What it makes of a change that is staged: its number, and why it can't be here.
    #[serde(rename = "examined")]
    pub validated: Option<(u64, Result<(), String>)>,
    pub leaving: bool,
    /// What its process holds for itself alone as long as it lives; empty where nothing is.
    #[serde(default)]
    #[serde(rename = "place")]
    pub exclusive_resource: String,
    /// Takes a share of what all share out, by a lease that it holds.
    #[serde(default)]
    #[serde(rename = "shares")]
    pub takes_share: bool,
}

/// What the leader says to that, once a quorum has confirmed that it is the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse<D> {
    pub start: u64,
    pub sent: Ms,
    #[serde(rename = "history")]
    pub generation: u64,
    /// What is to be held; the policy and its revision, where the member does not hold it yet.
    #[serde(rename = "mark")]
    pub policy_index: u64,
    pub hold: Option<(u64, D)>,
    /// A staged change, to be examined.
    pub offer: Option<(u64, D)>,
    /// From when the heartbeat was sent.
    pub lease: Option<Ms>,
    /// Why there is no lease, where that is not for the mark alone.
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// The next step goes out with the next heartbeat, which is wanted soon: a change is under way, or the member is not in
    /// yet.
    #[serde(default)]
    #[serde(rename = "soon")]
    pub heartbeat_soon: bool,
    /// Goes with the lease.
    #[serde(default)]
    pub share: Option<Share>,
}
