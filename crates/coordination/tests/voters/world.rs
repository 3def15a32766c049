//! The state of the model: voters with their logs, gateways, and the remaining budget of moves.

use crate::support::{hash_by_debug_text, Gateway, TestPolicy};
use ironstair_coordination::{Fleet, Leader, Record};

pub(crate) const VOTERS: usize = 3;
pub(crate) const GATEWAY_COUNT: usize = 2;

/// An entry of a voter's log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Entry {
    /// The first entry of a leader. Once a quorum has it, the leader knows that everything before it is committed.
    TermStart,
    Record(Record<TestPolicy>),
    /// The voter of that index votes under this id from this entry on.
    VoterId(usize, u8),
}

/// A voter's term as the leader, with the state that the committed entries yield.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LeaderTerm {
    pub term: u8,
    pub leader: Leader<TestPolicy>,
    pub fleet: Fleet<TestPolicy>,
    /// The number of entries that the leader knows to be committed: a quorum has them.
    pub committed: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Voter {
    /// The id under which it votes.
    pub id: u8,
    /// The latest term in which it voted or of which it has learned.
    pub term: u8,
    /// The log with the term of each entry; `None` if the disk is lost.
    pub log: Option<Vec<(u8, Entry)>>,
    /// The number of its entries that it knows to be committed; they determine the voters.
    pub committed: usize,
    pub leader_term: Option<LeaderTerm>,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct World {
    pub now: f64,
    pub voters: Vec<Voter>,
    pub gateways: Vec<Gateway>,
    /// The numbers of the policies that committed entries have ever decided; none of them may be lost.
    pub decided: Vec<u8>,
    /// The numbers of the policies that were refused.
    pub refused: Vec<u8>,
    /// The id of the next voter that starts without its disk.
    pub next_voter_id: u8,
    pub remaining: Budget,
}

/// How often each move may still happen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Budget {
    pub ticks: u8,
    pub elections: u8,
    pub disk_losses: u8,
    pub pauses: u8,
    pub commands: u8,
    pub kills: u8,
    pub duplicates: u8,
}

hash_by_debug_text!(World);

/// The voters' ids according to the first entries of a log.
pub(crate) fn voter_ids(log: &[(u8, Entry)], len: usize) -> [u8; VOTERS] {
    let mut ids = [0, 1, 2];
    for (_, entry) in &log[..len] {
        if let Entry::VoterId(voter, id) = entry {
            ids[*voter] = *id;
        }
    }
    ids
}

pub(crate) fn bootstrapped() -> Fleet<TestPolicy> {
    let mut fleet = Fleet::default();
    fleet.apply(Record::Bootstrapped {
        generation: 1,
        document: TestPolicy(0, 0),
        revision: None,
    });
    fleet
}

impl World {
    /// Voters without a log, and gateways without a policy.
    pub(crate) fn blank(remaining: Budget) -> World {
        let voter = |id| Voter {
            id,
            term: 0,
            log: Some(Vec::new()),
            committed: 0,
            leader_term: None,
        };
        World {
            now: 0.0,
            voters: (0..VOTERS as u8).map(voter).collect(),
            gateways: (0..GATEWAY_COUNT)
                .map(|index| Gateway::new(index, index as u64 + 1))
                .collect(),
            decided: vec![0],
            refused: Vec::new(),
            next_voter_id: VOTERS as u8,
            remaining,
        }
    }

    /// Whether two voters are a quorum of the three, by the ids that the first knows.
    pub(crate) fn are_quorum(&self, first: usize, second: usize) -> bool {
        let (Some(log), Some(_)) = (&self.voters[first].log, &self.voters[second].log) else {
            return false;
        };
        let ids = voter_ids(log, self.voters[first].committed);
        first != second
            && [first, second]
                .iter()
                .all(|voter| ids[*voter] == self.voters[*voter].id)
    }

    /// Whether a voter has the first `len` entries of the log, and votes under its id among these.
    fn has_entries(
        &self,
        voter: usize,
        log: &[(u8, Entry)],
        len: usize,
        ids: &[u8; VOTERS],
    ) -> bool {
        let other = &self.voters[voter];
        let has_same_entries = other
            .log
            .as_ref()
            .is_some_and(|other_log| other_log.len() >= len && other_log[..len] == log[..len]);
        has_same_entries && other.id == ids[voter]
    }

    /// Updates and applies the entries that a leader knows to be committed: a quorum has an entry of the leader's own
    /// term, and with it all entries before.
    pub(crate) fn advance_committed(&mut self, leader: usize) {
        let own = self.voters[leader].clone();
        let (Some(log), Some(mut leader_term)) = (own.log, own.leader_term) else {
            return;
        };
        for len in (leader_term.committed + 1..=log.len()).rev() {
            // A change of the voters needs a quorum of the old and of the new ones.
            let ids_before = voter_ids(&log, leader_term.committed);
            let ids_after = voter_ids(&log, len);
            let has_quorum = |ids| {
                (0..VOTERS)
                    .filter(|voter| self.has_entries(*voter, &log, len, ids))
                    .count()
                    >= 2
            };
            if log[len - 1].0 != leader_term.term
                || !has_quorum(&ids_before)
                || !has_quorum(&ids_after)
            {
                continue;
            }
            for (_, entry) in &log[leader_term.committed..len] {
                self.apply(&mut leader_term, entry);
            }
            leader_term.committed = len;
            break;
        }
        self.voters[leader].committed = self.voters[leader].committed.max(leader_term.committed);
        self.voters[leader].leader_term = Some(leader_term);
    }

    fn apply(&mut self, leader_term: &mut LeaderTerm, entry: &Entry) {
        let Entry::Record(record) = entry else {
            return;
        };
        let change = leader_term.fleet.change.clone();
        let is_refusal = matches!(record, Record::Refused { .. });
        if leader_term.fleet.apply(record.clone()) && is_refusal {
            self.refused.extend(change.map(|change| change.document.1));
        }
        self.decided
            .extend(leader_term.fleet.running.iter().map(|(_, policy)| policy.0));
        self.decided.sort();
        self.decided.dedup();
        leader_term.leader.record_settled();
    }

    /// Appends an entry of a leader's term to its log.
    pub(crate) fn append(&mut self, leader: usize, entry: Entry) {
        let term = self.voters[leader].term;
        self.voters[leader]
            .log
            .iter_mut()
            .for_each(|log| log.push((term, entry.clone())));
    }

    /// The gateways that may decide now.
    pub(crate) fn deciding(&self) -> impl Iterator<Item = &Gateway> {
        self.gateways
            .iter()
            .filter(|gateway| gateway.decides(self.now, false))
    }

    /// A voter's term as the leader, if its whole log is committed and applied.
    pub(crate) fn up_to_date_leader(&self, voter: usize) -> Option<&LeaderTerm> {
        let log = self.voters[voter].log.as_ref()?;
        self.voters[voter]
            .leader_term
            .as_ref()
            .filter(|leader_term| leader_term.committed == log.len())
    }
}
