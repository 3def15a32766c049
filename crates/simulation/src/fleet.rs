//! The fleet of gateways: the production leader and members on top of a model of consensus. In the model a leader
//! exists while a majority of the voters runs, a lost leader is replaced after the time of an election, and a record is
//! committed after one round. The tests of `crates/raft-replica` verify that the consensus library behaves like this.

use ironstair::Millis;
use ironstair_coordination::{Fleet, Heartbeat, HeartbeatResponse, Leader, Policy, Record};

/// The number of voters, which are the gateways with the lowest indices.
pub const VOTER_COUNT: usize = 3;
/// The number of running voters that a leader requires.
const MAJORITY: usize = 2;
/// Duration of an election: twelve of the consensus library's ticks of 50 ms, and one round.
const ELECTION_TIME: Millis = 700.0;
/// Time until a proposed record is committed: network delays in both directions, and disk writes.
const COMMIT_TIME: Millis = 5.0;
/// Interval of [`FleetLog::tick`].
pub const TICK: Millis = 50.0;
/// Number of the only cluster generation.
const GENERATION: u64 = 1 << 48;

/// The only part of a policy that the fleet's decisions depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayCount(
    /// The number of gateways among which limits are shared.
    pub f64,
);

impl Policy for GatewayCount {
    fn intersection(&self, other: &Self) -> Option<Self> {
        Some(GatewayCount(self.0.max(other.0)))
    }

    fn gateways(&self) -> f64 {
        self.0
    }
}

struct ElectedLeader {
    voter: usize,
    leader: Leader<GatewayCount>,
}

struct PendingRecord {
    committed_at: Millis,
    record: Record<GatewayCount>,
}

/// The replicated log and its leader.
pub struct FleetLog {
    fleet: Fleet<GatewayCount>,
    lease: Millis,
    leader: Option<ElectedLeader>,
    /// When the current or latest election began; `None` while no majority of the voters runs.
    electing_since: Option<Millis>,
    pending: Option<PendingRecord>,
}

impl FleetLog {
    /// A bootstrapped log. A leader is elected at the first tick.
    pub fn new(gateway_count: f64, lease: Millis) -> FleetLog {
        let mut fleet = Fleet::default();
        fleet.apply(Record::Bootstrapped {
            generation: GENERATION,
            document: GatewayCount(gateway_count),
            revision: None,
        });
        FleetLog {
            fleet,
            lease,
            leader: None,
            electing_since: Some(-ELECTION_TIME),
            pending: None,
        }
    }

    /// Elects or drops the leader, and commits and proposes records. `running_voters` is true for each voter whose
    /// process runs.
    pub fn tick(&mut self, now: Millis, running_voters: [bool; VOTER_COUNT]) {
        self.update_leader(now, running_voters);
        let Some(ElectedLeader { leader, .. }) = &mut self.leader else {
            return;
        };
        let committed = self.pending.take_if(|pending| pending.committed_at <= now);
        if let Some(PendingRecord { record, .. }) = committed {
            self.fleet.apply(record);
            leader.record_settled();
        }
        if self.pending.is_none() {
            let next = leader.next_record(now, &self.fleet);
            self.pending = next.map(|record| PendingRecord {
                committed_at: now + COMMIT_TIME,
                record,
            });
        }
    }

    fn update_leader(&mut self, now: Millis, running_voters: [bool; VOTER_COUNT]) {
        let running_count = running_voters
            .iter()
            .filter(|is_running| **is_running)
            .count();
        if running_count < MAJORITY {
            return self.drop_leader(None);
        }
        let has_leader_stopped = self
            .leader
            .as_ref()
            .is_some_and(|elected| !running_voters[elected.voter]);
        if has_leader_stopped {
            self.drop_leader(Some(now));
        }
        let electing_since = *self.electing_since.get_or_insert(now);
        if self.leader.is_none() && now >= electing_since + ELECTION_TIME {
            let first_running = running_voters.iter().position(|is_running| *is_running);
            self.leader = Some(ElectedLeader {
                voter: first_running.unwrap_or(0),
                leader: Leader::new(now, self.lease),
            });
        }
    }

    /// Drops the leader, and with it a record that is not committed yet.
    fn drop_leader(&mut self, electing_since: Option<Millis>) {
        self.leader = None;
        self.pending = None;
        self.electing_since = electing_since;
    }

    /// The leader's response to a member's heartbeat; `None` without a leader.
    pub fn heartbeat(
        &mut self,
        now: Millis,
        heartbeat: &Heartbeat,
    ) -> Option<HeartbeatResponse<GatewayCount>> {
        let ElectedLeader { leader, .. } = self.leader.as_mut()?;
        Some(leader.heartbeat(now, &self.fleet, heartbeat))
    }
}
