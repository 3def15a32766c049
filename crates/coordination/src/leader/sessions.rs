//! The sessions of members: which exist, which may still decide, and what this leader knows about each.

use super::Leader;
use crate::fleet::Fleet;
use crate::record::{Record, Session};
use crate::{Policy, Validation};
use ironstair::Millis;

/// A session from which no heartbeat has arrived for this many leases is removed from the log.
const LEASES_UNTIL_REMOVED: f64 = 10.0;
/// The maximum number of sessions that one record starts, and of those that it ends.
const MAX_SESSIONS_PER_RECORD: usize = 256;

/// The reports of one member in this term.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MemberReport {
    pub(super) start: u64,
    pub(super) heard_at: Millis,
    pub(super) applied_index: u64,
    /// The latest end of the leases that this leader has granted to the member, by this leader's clock.
    pub(super) lease_end: Millis,
    pub(super) validated: Option<Validation>,
    pub(super) leaving: bool,
}

/// The time at which a leader first saw a session.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct KnownSession {
    start: u64,
    since: Millis,
}

/// A leader's knowledge of a member. Times are in ms of the leader's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberStatus {
    /// The arrival of its last heartbeat.
    pub heard_at: Millis,
    /// The index of the policy that it has applied.
    pub applied_index: u64,
    /// The latest end of its lease.
    pub lease_end: Millis,
}

impl<D: Policy> Leader<D> {
    /// Whether a member may still decide by the policy that it applied last.
    pub fn may_decide(&self, now: Millis, fleet: &Fleet<D>, name: &str) -> bool {
        let Some(session) = fleet.members.get(name) else {
            return false;
        };
        let report = self.report(name, session);
        if report.is_some_and(|report| report.leaving) {
            return false;
        }
        // The leases that earlier leaders granted are unknown: until they have expired, every member may have one.
        let earlier_leases_may_run = now < self.since + self.grace();
        session.steady
            || earlier_leases_may_run
            || report.is_some_and(|report| report.lease_end > now)
    }

    /// This leader's knowledge of a member; `None` if it has not received a heartbeat from it.
    pub fn member_status(&self, name: &str) -> Option<MemberStatus> {
        self.reports.get(name).map(|report| MemberStatus {
            heard_at: report.heard_at,
            applied_index: report.applied_index,
            lease_end: report.lease_end,
        })
    }

    /// Whether a member has reported its validation of that change.
    pub fn has_validated(&self, name: &str, number: u64) -> bool {
        self.reports
            .get(name)
            .and_then(|report| report.validated.as_ref())
            .is_some_and(|validation| validation.number == number)
    }

    /// Whether all members that may still decide have applied the current policy.
    pub fn have_all_applied(&self, now: Millis, fleet: &Fleet<D>) -> bool {
        self.all_deciding(now, fleet, |report| {
            report.applied_index == fleet.policy_index
        })
    }

    /// Whether all members that may still decide have reported, and their reports satisfy the condition.
    pub(super) fn all_deciding(
        &self,
        now: Millis,
        fleet: &Fleet<D>,
        condition: impl Fn(&MemberReport) -> bool,
    ) -> bool {
        let mut deciding = fleet
            .members
            .iter()
            .filter(|(name, _)| self.may_decide(now, fleet, name));
        deciding.all(|(name, session)| self.report(name, session).is_some_and(&condition))
    }

    /// The report of that session; reports of another session of the same name are ignored.
    fn report(&self, name: &str, session: &Session) -> Option<&MemberReport> {
        self.reports
            .get(name)
            .filter(|report| report.start == session.start)
    }

    /// Whether the process of an earlier session may still decide. It may not if the later session proves that the
    /// process has ended. A steady session never blocks a later one.
    pub(super) fn may_be_live(
        &self,
        now: Millis,
        fleet: &Fleet<D>,
        name: &str,
        earlier: &Session,
        later: &Session,
    ) -> bool {
        earlier.start != later.start
            && !earlier.steady
            && !earlier.ended_before(later)
            && self.may_decide(now, fleet, name)
    }

    /// Drops what this leader knows about sessions that are no longer in the log, and adds the new ones.
    pub(super) fn refresh_sessions(&mut self, now: Millis, fleet: &Fleet<D>) {
        let members = &fleet.members;
        self.joining
            .retain(|name, session| members.get(name) != Some(session));
        self.reports.retain(|name, _| members.contains_key(name));
        self.known_sessions.retain(|name, known| {
            members
                .get(name)
                .is_some_and(|session| session.start == known.start)
        });
        for (name, session) in members {
            self.known_sessions
                .entry(name.clone())
                .or_insert(KnownSession {
                    start: session.start,
                    since: now,
                });
        }
    }

    /// Updates the share counter with the members that may still decide.
    pub(super) fn refresh_share_counter(&mut self, now: Millis, fleet: &Fleet<D>) {
        self.share_counter(fleet);
        let Some(mut counter) = self.share_counter.take() else {
            return;
        };
        let live = fleet
            .members
            .keys()
            .filter(|name| self.may_decide(now, fleet, name))
            .count();
        let is_live = |name: &str, start: u64| {
            let session = fleet.members.get(name);
            session.is_some_and(|session| session.start == start)
                && self.may_decide(now, fleet, name)
        };
        counter.update(now, live, is_live);
        self.share_counter = Some(counter);
    }

    /// The record that starts and ends sessions. It precedes a session's first lease, so that the next leader knows
    /// about the session.
    pub(super) fn update_members(&self, now: Millis, fleet: &Fleet<D>) -> Option<Record<D>> {
        let left: Vec<(String, u64)> = fleet
            .members
            .iter()
            .filter(|(name, session)| self.has_left(now, fleet, name, session))
            .map(|(name, session)| (name.clone(), session.start))
            .take(MAX_SESSIONS_PER_RECORD)
            .collect();
        let joined: Vec<(String, Session)> = self
            .joining
            .iter()
            .filter(|(name, session)| {
                let earlier = fleet.members.get(*name);
                !earlier.is_some_and(|earlier| self.may_be_live(now, fleet, name, earlier, session))
            })
            .map(|(name, session)| (name.clone(), session.clone()))
            .take(MAX_SESSIONS_PER_RECORD)
            .collect();
        if left.is_empty() && joined.is_empty() {
            return None;
        }
        Some(Record::Members { joined, left })
    }

    /// Whether a session is leaving, or is overdue for removal and can't decide any more.
    fn has_left(&self, now: Millis, fleet: &Fleet<D>, name: &str, session: &Session) -> bool {
        let report = self.report(name, session);
        if report.is_some_and(|report| report.leaving) {
            return true;
        }
        let known_since = self
            .known_sessions
            .get(name)
            .map_or(now, |known| known.since);
        let heard_at = report.map_or(known_since, |report| report.heard_at);
        let is_overdue = now >= heard_at + LEASES_UNTIL_REMOVED * self.lease;
        is_overdue && !session.steady && !self.may_decide(now, fleet, name)
    }
}
