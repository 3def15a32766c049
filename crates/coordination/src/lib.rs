//! Agreement of a cluster of gateways on one policy, without I/O, clock or thread: the content of the replicated log
//! ([`record`], [`fleet`]), the decisions of the leader ([`leader`]), and a member's applied policy and lease
//! ([`member`]). `docs/design/fleet.md` describes the guarantees.
//!
//! A member *decides* when it handles requests by the policy that it has applied. It may do so while it has a lease; a
//! steady member may also do so afterwards.

pub mod fleet;
pub mod generation;
pub mod heartbeat;
pub mod leader;
pub mod member;
pub mod policy;
pub mod record;
pub mod share_counter;

pub use fleet::Fleet;
pub use heartbeat::{Heartbeat, HeartbeatResponse, Validation};
pub use leader::Leader;
pub use member::Member;
pub use policy::Policy;
pub use record::{Record, RevisionState, RevisionSummary};
pub use share_counter::Share;

use ironstair::Millis;

/// A leader treats a lease as valid for this many times its length. The margin is larger than the difference between
/// the rates of the leader's and the member's clocks.
const CLOCK_DRIFT_FACTOR: f64 = 1.1;

/// How long, in ms, a leader must assume that a lease of this length is valid after it has granted it.
pub fn grace_period(lease: Millis) -> Millis {
    lease * CLOCK_DRIFT_FACTOR
}
