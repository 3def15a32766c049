//! The guarantees of `docs/design/fleet.md`, checked after each step.

use crate::world::{PolicyRange, Process, World, LEASE, VOTER_COUNT};
use ironstair_raft_replica::Replica;

impl World {
    /// Checks the guarantees; panics if one is violated.
    pub(crate) fn check_guarantees(&mut self) {
        let voters = self.processes[..VOTER_COUNT].iter();
        for replica in voters.filter_map(|process| process.replica.as_ref()) {
            let fleet = &replica.state().fleet;
            self.policy_index_times
                .entry(fleet.policy_index)
                .or_insert(self.now);
            if let Some((number, policy)) = fleet.running {
                let decided = *self.decided.entry(number).or_insert(policy);
                assert_eq!(
                    decided, policy,
                    "two policies were decided as revision {number}"
                );
            }
        }
        let mut common_policy = None;
        for (index, process) in self
            .processes
            .iter()
            .enumerate()
            .skip(VOTER_COUNT)
            .filter(|(index, _)| self.is_running(*index))
        {
            let member = process.member.as_ref();
            let Some(member) = member.filter(|member| member.has_lease(self.now)) else {
                continue;
            };
            let policy = process
                .applied_policy
                .expect("a member with a lease has applied no policy");
            let next_index_time = self
                .policy_index_times
                .range(member.applied_state().applied_index + 1..)
                .next()
                .map(|(_, time)| *time);
            assert!(
                next_index_time.is_none_or(|time| self.now < time + LEASE),
                "member {index} has a lease and lacks a policy index that is older than a lease"
            );
            // With equal bounds it is a proposed policy, not the intersection of two.
            if policy.0 == policy.1 {
                assert!(
                    self.decided.values().any(|decided| *decided == policy),
                    "member {index} applies {policy:?}, which was never decided"
                );
                assert!(
                    common_policy.is_none_or(|other| other == policy),
                    "members apply {common_policy:?} and {policy:?} at the same time"
                );
                common_policy = Some(policy);
            }
        }
    }

    /// The state of all processes, one a line, for failure messages.
    pub(crate) fn describe(&self) -> String {
        let describe_replica = |replica: &Replica<PolicyRange>| {
            format!(
                "{:?}, is leader: {}",
                replica.state(),
                replica.leader().is_some()
            )
        };
        let describe_process = |process: &Process| match (&process.replica, &process.member) {
            (Some(replica), _) => describe_replica(replica),
            (_, member) => format!("{member:?}, has applied {:?}", process.applied_policy),
        };
        let lines: Vec<_> = self.processes.iter().map(describe_process).collect();
        lines.join("\n")
    }

    /// Whether all members have a lease and the newest policy index, and no voter is blank.
    pub(crate) fn is_settled(&self) -> bool {
        let newest = self.policy_index_times.last_key_value();
        let newest = newest.map_or(0, |(index, _)| *index);
        self.processes[VOTER_COUNT..].iter().all(|process| {
            process.member.as_ref().is_some_and(|member| {
                member.has_lease(self.now) && member.applied_state().applied_index == newest
            })
        }) && self.processes[..VOTER_COUNT].iter().all(|process| {
            process
                .replica
                .as_ref()
                .is_some_and(|replica| !replica.is_blank())
        })
    }
}
