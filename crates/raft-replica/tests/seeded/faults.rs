//! Random faults and operators' commands, and the recovery from them.

use crate::world::{PolicyRange, World, PROCESS_COUNT, VOTER_COUNT};
use ironstair_coordination::leader::Command;
use ironstair_coordination::record::ChangeProposal;
use ironstair_raft_replica::{Image, Replica};
use rand_core::RngCore;

impl World {
    /// Ends a process for that time in ms.
    pub(crate) fn crash(&mut self, index: usize, for_ms: f64, loses_disk: bool) {
        let id = if self.lost_disk_keeps_id {
            self.processes[index].image.id
        } else {
            self.random.next_u64() | 1
        };
        let process = &mut self.processes[index];
        process.replica = None;
        process.member = None;
        process.applied_policy = None;
        process.pending_save = None;
        process.down_until = self.now + for_ms;
        if loses_disk {
            process.image = Image::blank(id);
        }
    }

    /// The first running voter that is a leader.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..VOTER_COUNT).find(|index| {
            self.is_running(*index)
                && self.processes[*index]
                    .replica
                    .as_ref()
                    .is_some_and(|replica| replica.leader().is_some())
        })
    }

    /// Proposes a change to the leader; returns whether the leader accepted it.
    pub(crate) fn propose(&mut self, needs_confirmation: bool) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let now = self.now;
        let replica = self.processes[leader].replica.as_mut().unwrap();
        let base_revision = replica.state().fleet.policy_index;
        self.commands_submitted += 1;
        let commit = needs_confirmation.then(|| ("c".to_owned(), 5000.0));
        let proposal = ChangeProposal {
            token: self.commands_submitted,
            author: "op".into(),
            created_at: now,
            summary: "set".into(),
            base_revision,
            document: PolicyRange(self.commands_submitted, self.commands_submitted),
            commit,
        };
        let Ok(outputs) = replica.submit(now, Command::Change(proposal)) else {
            return false;
        };
        self.handle_outputs(leader, outputs);
        true
    }

    /// Causes one fault, or submits one operator's command.
    pub(crate) fn cause_random_event(&mut self) {
        let event = self.random_below(12);
        let index = self.random_below(PROCESS_COUNT as u64) as usize;
        let ms = self.random_below(6000) as f64;
        match event {
            0..=2 => {
                self.propose(event == 2);
            }
            3 => self.confirm_or_cancel(),
            4 | 5 => self.crash(index, ms, false),
            6 => {
                // A disk is lost only if both other voters are intact: the guarantees do not cover the loss of a
                // majority.
                let others = (0..VOTER_COUNT).filter(|other| *other != index);
                let is_intact = |replica: &Replica<PolicyRange>| {
                    !replica.is_blank()
                        && !replica.is_replacing_voter()
                        && replica.state().voters.len() == VOTER_COUNT
                };
                let intact = others.filter(|other| {
                    self.processes[*other]
                        .replica
                        .as_ref()
                        .is_some_and(is_intact)
                });
                if index < VOTER_COUNT && intact.count() == 2 {
                    self.crash(index, ms, true);
                }
            }
            7 | 8 => self.processes[index].paused_until = self.now + ms,
            9 | 10 => {
                let to = self.random_below(PROCESS_COUNT as u64) as usize;
                self.cut_links[index][to] = true;
            }
            _ => self.cut_links = Default::default(),
        }
    }

    /// Confirms or cancels the pending change, at random.
    pub(crate) fn confirm_or_cancel(&mut self) {
        let confirms = self.random_below(2) == 0;
        let Some(leader) = self.leader() else {
            return;
        };
        let command = if confirms {
            Command::Confirm { id: "c".into() }
        } else {
            Command::Cancel {
                id: None,
                author: "op".into(),
            }
        };
        let now = self.now;
        let replica = self.processes[leader].replica.as_mut();
        let outputs = replica.map(|replica| replica.submit(now, command));
        self.handle_outputs(leader, outputs.and_then(Result::ok).unwrap_or_default());
    }

    /// Ends all faults and runs until all voters vote and all members have the newest policy; panics if that does not
    /// happen within two minutes.
    pub(crate) fn settle(&mut self) {
        self.cut_links = Default::default();
        for process in &mut self.processes {
            process.down_until = process.down_until.min(self.now);
            process.paused_until = self.now;
        }
        let end = self.now + 120_000.0;
        while !self.is_settled() {
            assert!(
                self.now < end,
                "the processes do not settle:\n{}",
                self.describe()
            );
            self.step();
        }
    }
}
