//! The choice of the next record that a leader writes to the log.

use super::{Command, ConfirmationDeadline, Leader};
use crate::fleet::{Fleet, Step};
use crate::record::Record;
use crate::Policy;
use ironstair::Millis;

/// The reason for the refusal of a change that an operator cancelled. It is stored in the log, and keeps the wording of
/// earlier versions.
const CANCELLED: &str = "taken back";

type Rule<D> = fn(&Leader<D>, Millis, &Fleet<D>) -> Option<Record<D>>;

impl<D: Policy> Leader<D> {
    /// The rules in the order of their precedence: sessions come before the change in progress. Operators' commands
    /// come after all rules.
    const RULES: [Rule<D>; 5] = [
        Self::update_members,
        Self::refuse_rejected_change,
        Self::bind_validated_change,
        Self::decide_applied_change,
        Self::roll_back_unconfirmed,
    ];

    /// Must be called when the log has applied the record in flight, or can no longer contain it. The leader may then
    /// write another record.
    pub fn record_settled(&mut self) {
        self.record_in_flight = false;
        self.ending.clear();
    }

    /// The next record to write; `None` while one is in flight, or if there is nothing to do.
    pub fn next_record(&mut self, now: Millis, fleet: &Fleet<D>) -> Option<Record<D>> {
        self.refresh_share_counter(now, fleet);
        if self.record_in_flight {
            return None;
        }
        self.refresh_sessions(now, fleet);
        self.refresh_confirmation_deadline(now, fleet);
        let by_rule = Self::RULES.iter().find_map(|rule| rule(self, now, fleet));
        let record = by_rule.or_else(|| self.next_command(fleet))?;
        if let Record::Members { joined, left } = &record {
            let replaced = joined.iter().filter_map(|(name, _)| {
                let session = fleet.members.get(name)?;
                Some((name.clone(), session.start))
            });
            self.ending = replaced.chain(left.iter().cloned()).collect();
        }
        self.record_in_flight = true;
        Some(record)
    }

    fn refresh_confirmation_deadline(&mut self, now: Millis, fleet: &Fleet<D>) {
        let revision = fleet.running_number();
        let known = self.confirmation_deadline;
        self.confirmation_deadline = fleet.pending_confirmation.as_ref().map(|pending| {
            known
                .filter(|deadline| deadline.revision == revision)
                .unwrap_or(ConfirmationDeadline {
                    revision,
                    at: now + pending.confirm_within,
                })
        });
    }

    fn refuse_rejected_change(&self, now: Millis, fleet: &Fleet<D>) -> Option<Record<D>> {
        let number = fleet.change_at(Step::Staged)?.number;
        let deciding = self
            .reports
            .iter()
            .filter(|(name, _)| self.may_decide(now, fleet, name));
        let mut rejections = deciding.filter_map(|(name, report)| {
            let validation = report.validated.as_ref()?;
            let reason = validation.rejection.as_ref()?;
            (validation.number == number).then(|| (name.clone(), reason.clone()))
        });
        let (by, reason) = rejections.next()?;
        Some(Record::Refused { number, by, reason })
    }

    fn bind_validated_change(&self, now: Millis, fleet: &Fleet<D>) -> Option<Record<D>> {
        let number = fleet.change_at(Step::Staged)?.number;
        let all_accept = self.all_deciding(now, fleet, |report| {
            let validation = report.validated.as_ref();
            validation.is_some_and(|validation| {
                validation.number == number && validation.rejection.is_none()
            })
        });
        all_accept.then_some(Record::Binding { number })
    }

    fn decide_applied_change(&self, now: Millis, fleet: &Fleet<D>) -> Option<Record<D>> {
        let number = fleet.change_at(Step::Binding)?.number;
        self.have_all_applied(now, fleet)
            .then_some(Record::Decided { number })
    }

    fn roll_back_unconfirmed(&self, now: Millis, fleet: &Fleet<D>) -> Option<Record<D>> {
        let deadline = self.confirmation_deadline?;
        let is_overdue = fleet.change.is_none() && now >= deadline.at;
        is_overdue.then_some(Record::RolledBack {
            number: deadline.revision,
        })
    }

    /// The record of the first waiting command that still fits the replicated state. Commands before it are dropped.
    fn next_command(&mut self, fleet: &Fleet<D>) -> Option<Record<D>> {
        while !self.commands.is_empty() {
            let command = self.commands.remove(0);
            if self.check(fleet, &command).is_ok() {
                return Some(record_of(fleet, command));
            }
        }
        None
    }
}

fn record_of<D>(fleet: &Fleet<D>, command: Command<D>) -> Record<D> {
    let running = fleet.running_number();
    match (command, &fleet.change) {
        (Command::Change(proposal), _) => Record::Staged(proposal),
        (Command::Confirm { .. }, _) => Record::Confirmed { number: running },
        (Command::Cancel { author, .. }, Some(change)) => Record::Refused {
            number: change.number,
            by: author,
            reason: CANCELLED.into(),
        },
        (Command::Cancel { .. }, None) => Record::RolledBack { number: running },
    }
}
