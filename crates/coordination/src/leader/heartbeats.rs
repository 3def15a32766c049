//! The leader's answers to heartbeats: it admits sessions, sends the policy and staged changes, and grants leases.

use super::sessions::MemberReport;
use super::Leader;
use crate::fleet::{Fleet, Step};
use crate::record::Session;
use crate::{Heartbeat, HeartbeatResponse, Policy};
use ironstair::Millis;

/// Whether a heartbeat's session may be granted a lease.
enum Admission {
    /// The log contains the session.
    Admitted,
    /// Another process of that name may still decide.
    NameInUse,
    /// The log does not contain the session yet, or the session is leaving.
    NotInLog,
}

impl<D: Policy> Leader<D> {
    /// Answers a heartbeat. The caller must have confirmed with a quorum, after the heartbeat arrived, that this is
    /// still the leader.
    pub fn heartbeat(
        &mut self,
        now: Millis,
        fleet: &Fleet<D>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatResponse<D> {
        let applied_index = applied_index(fleet, heartbeat);
        let mut response = respond_without_lease(fleet, heartbeat, applied_index);
        if fleet.generation == 0 {
            response.heartbeat_soon = true;
            response.reason =
                Some("the fleet is not bootstrapped yet: an operator must bootstrap it".into());
            return response;
        }
        response.validate = change_to_validate(fleet, heartbeat);
        match self.admit(now, fleet, heartbeat) {
            Admission::Admitted => {
                self.record_report(now, heartbeat, applied_index);
                self.grant_lease(now, fleet, heartbeat, applied_index, &mut response);
            }
            Admission::NameInUse => {
                response.heartbeat_soon = true;
                response.reason = Some(format!(
                    "another process is {} in this fleet, or was and its lease may still be valid",
                    heartbeat.name
                ));
            }
            Admission::NotInLog => response.heartbeat_soon |= !heartbeat.leaving,
        }
        response
    }

    /// Checks the heartbeat's session against the log, and queues a new session for the log.
    fn admit(&mut self, now: Millis, fleet: &Fleet<D>, heartbeat: &Heartbeat) -> Admission {
        let session = Session {
            start: heartbeat.start,
            steady: heartbeat.steady,
            exclusive_resource: heartbeat.exclusive_resource.clone(),
        };
        if let Some(known) = fleet.members.get(&heartbeat.name) {
            if *known == session {
                return Admission::Admitted;
            }
            if self.may_be_live(now, fleet, &heartbeat.name, known, &session) {
                return Admission::NameInUse;
            }
        }
        if !heartbeat.leaving {
            self.joining.insert(heartbeat.name.clone(), session);
        }
        Admission::NotInLog
    }

    /// Stores the report in a heartbeat. Heartbeats may arrive late or twice, so that the applied index and the
    /// validated number never decrease.
    fn record_report(&mut self, now: Millis, heartbeat: &Heartbeat, applied_index: u64) {
        let first_report = MemberReport {
            start: heartbeat.start,
            heard_at: now,
            applied_index: 0,
            lease_end: 0.0,
            validated: None,
            leaving: false,
        };
        let report = self
            .reports
            .entry(heartbeat.name.clone())
            .or_insert_with(|| first_report.clone());
        if report.start != heartbeat.start {
            *report = first_report;
        }
        report.heard_at = now;
        report.applied_index = report.applied_index.max(applied_index);
        report.leaving |= heartbeat.leaving;
        if validated_number(heartbeat)
            > report
                .validated
                .as_ref()
                .map(|validation| validation.number)
        {
            report.validated = heartbeat.validated.clone();
        }
    }

    /// Grants a lease to an admitted session if it has applied the policy, receives responses and is not ending.
    fn grant_lease(
        &mut self,
        now: Millis,
        fleet: &Fleet<D>,
        heartbeat: &Heartbeat,
        applied_index: u64,
        response: &mut HeartbeatResponse<D>,
    ) {
        let name = &heartbeat.name;
        let lease_end = now + self.grace();
        // A member whose heartbeats arrive but that receives no responses would otherwise count as deciding forever,
        // and block every change.
        let receives_responses = heartbeat.sent - heartbeat.last_answered <= self.lease;
        let is_ending = self.ending.contains_key(name);
        let Some(report) = self.reports.get_mut(name) else {
            return;
        };
        if applied_index != fleet.policy_index || !receives_responses || report.leaving || is_ending
        {
            return;
        }
        report.lease_end = report.lease_end.max(lease_end);
        response.lease = Some(self.lease);
        let counter = self.share_counter(fleet);
        response.share = Some(counter.share(now, name, heartbeat.start, heartbeat.uses_share));
    }
}

/// The index of the policy that a member has applied; 0 if the member follows another generation.
fn applied_index<D>(fleet: &Fleet<D>, heartbeat: &Heartbeat) -> u64 {
    if heartbeat.generation == fleet.generation {
        heartbeat.applied_index
    } else {
        0
    }
}

fn respond_without_lease<D: Policy>(
    fleet: &Fleet<D>,
    heartbeat: &Heartbeat,
    applied_index: u64,
) -> HeartbeatResponse<D> {
    HeartbeatResponse {
        start: heartbeat.start,
        sent: heartbeat.sent,
        generation: fleet.generation,
        policy_index: fleet.policy_index,
        apply: fleet
            .effective_policy()
            .filter(|_| applied_index != fleet.policy_index),
        validate: None,
        lease: None,
        reason: None,
        heartbeat_soon: fleet.change.is_some(),
        share: None,
    }
}

/// The staged change, if the member has not validated it yet.
fn change_to_validate<D: Policy>(fleet: &Fleet<D>, heartbeat: &Heartbeat) -> Option<(u64, D)> {
    let change = fleet.change_at(Step::Staged)?;
    if validated_number(heartbeat) == Some(change.number) {
        return None;
    }
    Some((change.number, change.document.clone()))
}

fn validated_number(heartbeat: &Heartbeat) -> Option<u64> {
    heartbeat
        .validated
        .as_ref()
        .map(|validation| validation.number)
}
