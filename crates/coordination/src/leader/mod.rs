//! The leader's decisions: which members to admit, which of them may still decide, and when a change takes its next
//! step. A leader's own state lasts for its term. The next leader knows only the log, and waits until no lease granted
//! before its term can still be valid.

mod commands;
mod heartbeats;
mod records;
mod sessions;

pub use commands::{Command, Refusal};
pub use sessions::MemberStatus;

use crate::fleet::Fleet;
use crate::grace_period;
use crate::record::Session;
use crate::share_counter::{ShareCounter, ShareTotals};
use crate::Policy;
use ironstair::Millis;
use sessions::{KnownSession, MemberReport};
use std::collections::BTreeMap;

/// The state that a leader keeps during its term.
#[derive(Clone, Debug, PartialEq)]
pub struct Leader<D> {
    /// The beginning of the term.
    since: Millis,
    lease: Millis,
    /// The reports of members in this term.
    reports: BTreeMap<String, MemberReport>,
    /// Sessions to be written to the log.
    joining: BTreeMap<String, Session>,
    /// Accepted commands that the log does not contain yet.
    commands: Vec<Command<D>>,
    /// Whether a record was passed to the log and its outcome is unknown. No other record is written until it is known.
    record_in_flight: bool,
    /// Sessions that the record in flight ends: name and `start`. They get no further lease, because the conditions for
    /// the record must still hold when the log applies it.
    ending: BTreeMap<String, u64>,
    /// The time at which this leader first saw each session.
    known_sessions: BTreeMap<String, KnownSession>,
    confirmation_deadline: Option<ConfirmationDeadline>,
    /// Created when this leader first sees the replicated state.
    share_counter: Option<ShareCounter>,
}

/// When a revision that is pending confirmation is rolled back. The time to confirm it runs from when this leader first
/// saw the revision running.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ConfirmationDeadline {
    revision: u64,
    at: Millis,
}

impl<D: Policy> Leader<D> {
    /// Creates the leader of a term that begins now; `lease` is in ms.
    pub fn new(now: Millis, lease: Millis) -> Self {
        Leader {
            since: now,
            lease,
            reports: BTreeMap::new(),
            joining: BTreeMap::new(),
            commands: Vec::new(),
            record_in_flight: false,
            ending: BTreeMap::new(),
            known_sessions: BTreeMap::new(),
            confirmation_deadline: None,
            share_counter: None,
        }
    }

    fn grace(&self) -> Millis {
        grace_period(self.lease)
    }

    fn share_counter(&mut self, fleet: &Fleet<D>) -> &mut ShareCounter {
        // No earlier leader granted shares by a count larger than the number of members and the configured number of
        // gateways, with which it began.
        let configured = fleet
            .running
            .as_ref()
            .map_or(1.0, |(_, policy)| policy.gateways());
        let initial = configured.max(fleet.members.len() as f64);
        let since = self.since;
        let lease = self.lease;
        let grace = self.grace();
        self.share_counter
            .get_or_insert_with(|| ShareCounter::new(since, lease, grace, initial))
    }

    /// The number of gateways that share the fleet-wide limits and of those with a granted share; `None` until this
    /// leader has first seen the replicated state.
    pub fn share_totals(&self) -> Option<ShareTotals> {
        self.share_counter.as_ref().map(ShareCounter::totals)
    }
}
