//! What the fleet's leader does next: who is let in, who still counts, and when a change takes its next step. Its
//! memory is of one term: a later leader knows only the log, and waits until no lease of the earlier can be left.

use crate::fleet::{Fleet, Step};
use crate::record::{ChangeProposal, Record, Session};
use crate::share_counter::ShareCounter;
use crate::{grace, Heartbeat, HeartbeatResponse, Policy};
use ironstair::Ms;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A member that was not heard for so many leases is taken out of the log's list.
const FORGOTTEN: f64 = 10.0;
/// Asks that wait for the log.
const ASKS_MOST: usize = 16;
/// Members let in or out by one record.
const SEATED_AT_ONCE: usize = 256;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command<D> {
    Change(ChangeProposal<D>),
    Confirm {
        id: String,
    },
    /// A change that waits to be confirmed, or one under way.
    Cancel {
        id: Option<String>,
        #[serde(rename = "who")]
        author: String,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// No history has begun.
    NotBootstrapped,
    /// One is under way, or waits to be confirmed.
    InProgress { number: u64, author: String },
    /// It was made upon what runs no more.
    StaleBaseRevision { runs: u64 },
    /// Nothing is safe beside both.
    NoIntersection,
    /// Nothing of the kind waits.
    NothingPending,
    /// Too many wait.
    Busy,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::NotBootstrapped => f.write_str("the fleet has no history, or no chair, yet"),
            Refusal::InProgress { number, author } => {
                write!(f, "revision {number} by {author} is under way, or waits to be confirmed")
            }
            Refusal::StaleBaseRevision { runs } => {
                write!(f, "revision {runs} runs by now, and the change was made upon another: look, and ask again")
            }
            Refusal::NoIntersection => f.write_str(
                "nothing is safe beside what runs and what is asked for, or this version can't read it: make it in two changes",
            ),
            Refusal::NothingPending => f.write_str("nothing of the kind waits: it was confirmed or taken back already"),
            Refusal::Busy => f.write_str("too many changes wait"),
        }
    }
}

/// What one member said in this term.
#[derive(Clone, Debug, PartialEq)]
struct Heard {
    start: u64,
    at: Ms,
    policy_index: u64,
    /// No lease granted by this leader runs longer.
    until: Ms,
    validated: Option<(u64, Result<(), String>)>,
    leaving: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Leader<D> {
    since: Ms,
    lease: Ms,
    last_answered: BTreeMap<String, Heard>,
    knocking: BTreeMap<String, Session>,
    asks: Vec<Command<D>>,
    /// Something was handed to the log: nothing more until that has taken it.
    written: bool,
    /// Processes that go by what was handed to it, no lease for them any more, since what
    /// was found when it was written must still be so when the log takes it.
    going: BTreeMap<String, u64>,
    /// Since when this leader knows of a process.
    seated: BTreeMap<String, (u64, Ms)>,
    pending_confirmation: Option<(u64, Ms)>,
    /// From the first look at the log on.
    count: Option<ShareCounter>,
}

type Rule<D> = fn(&Leader<D>, Ms, &Fleet<D>) -> Option<Record<D>>;

impl<D: Policy> Leader<D> {
    /// In order: who is there, then the change that is under way, then what is asked.
    const RULES: [Rule<D>; 5] = [
        Self::seat,
        Self::refuse,
        Self::bind,
        Self::decide,
        Self::take_back_the_overdue,
    ];

    pub fn new(now: Ms, lease: Ms) -> Self {
        let (last_answered, knocking, asks, going, seated) = Default::default();
        Leader {
            since: now,
            lease,
            last_answered,
            knocking,
            asks,
            written: false,
            going,
            seated,
            pending_confirmation: None,
            count: None,
        }
    }

    fn grace(&self) -> Ms {
        grace(self.lease)
    }

    /// Whether a member may still decide by what it last held.
    pub fn counts(&self, now: Ms, fleet: &Fleet<D>, name: &str) -> bool {
        let Some(seat) = fleet.members.get(name) else {
            return false;
        };
        let last_answered = self
            .last_answered
            .get(name)
            .filter(|h| h.start == seat.start);
        if last_answered.is_some_and(|h| h.leaving) {
            return false;
        }
        // Leases of an earlier leader are known to nobody.
        seat.steady
            || now < self.since + self.grace()
            || last_answered.is_some_and(|h| h.until > now)
    }

    /// A heartbeat, once a quorum has confirmed this leader since it came.
    pub fn heartbeat(
        &mut self,
        now: Ms,
        fleet: &Fleet<D>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatResponse<D> {
        let known = heartbeat.generation == fleet.generation;
        let policy_index = if known { heartbeat.policy_index } else { 0 };
        let mut answer = HeartbeatResponse {
            start: heartbeat.start,
            sent: heartbeat.sent,
            generation: fleet.generation,
            policy_index: fleet.policy_index,
            hold: fleet.held().filter(|_| policy_index != fleet.policy_index),
            offer: None,
            lease: None,
            reason: None,
            heartbeat_soon: fleet.change.is_some(),
            share: None,
        };
        if fleet.generation == 0 {
            answer.heartbeat_soon = true;
            answer.reason = Some("the fleet has no history yet: an operator begins it".into());
            return answer;
        }
        let staged = fleet.change.as_ref().filter(|c| c.step == Step::Staged);
        let seen = heartbeat.validated.as_ref().map(|e| e.0);
        answer.offer = staged
            .filter(|c| seen != Some(c.number))
            .map(|c| (c.number, c.document.clone()));
        let seat = Session {
            start: heartbeat.start,
            steady: heartbeat.steady,
            exclusive_resource: heartbeat.exclusive_resource.clone(),
        };
        match fleet.members.get(&heartbeat.name) {
            Some(s) if *s == seat => {}
            // Not beside a process of that name that may still decide.
            Some(s) if self.may_live(now, fleet, s, &seat, &heartbeat.name) => {
                answer.heartbeat_soon = true;
                answer.reason = Some(format!(
                    "another process is {} in this fleet, or was until a moment ago",
                    heartbeat.name
                ));
                return answer;
            }
            _ => {
                if !heartbeat.leaving {
                    self.knocking.insert(heartbeat.name.clone(), seat);
                    answer.heartbeat_soon = true;
                }
                return answer;
            }
        }
        let grace = self.grace();
        let fresh = Heard {
            start: heartbeat.start,
            at: now,
            policy_index: 0,
            until: 0.0,
            validated: None,
            leaving: false,
        };
        let h = self
            .last_answered
            .entry(heartbeat.name.clone())
            .or_insert(fresh.clone());
        if h.start != heartbeat.start {
            *h = fresh;
        }
        // Heartbeats come late and twice: what a process holds and has examined only grows.
        (h.at, h.policy_index, h.leaving) = (
            now,
            h.policy_index.max(policy_index),
            h.leaving || heartbeat.leaving,
        );
        if seen > h.validated.as_ref().map(|e| e.0) {
            h.validated = heartbeat.validated.clone();
        }
        // Against a member that is heard and hears nothing: it would count for good, and hold up every change.
        let hears = heartbeat.sent - heartbeat.last_answered <= self.lease;
        if policy_index == fleet.policy_index
            && hears
            && !h.leaving
            && !self.going.contains_key(&heartbeat.name)
        {
            h.until = h.until.max(now + grace);
            answer.lease = Some(self.lease);
            answer.share = Some(self.count(fleet).share(
                now,
                &heartbeat.name,
                heartbeat.start,
                heartbeat.takes_share,
            ));
        }
        answer
    }

    fn count(&mut self, fleet: &Fleet<D>) -> &mut ShareCounter {
        // No earlier leader told more than there are members, or than it began with.
        let told = fleet.running.as_ref().map_or(1.0, |r| r.1.gateways());
        let most = told.max(fleet.members.len() as f64);
        let (since, lease, grace) = (self.since, self.lease, self.grace());
        self.count
            .get_or_insert_with(|| ShareCounter::new(since, lease, grace, most))
    }

    /// How many gateways share, and how many of them have their share by now.
    pub fn sharing(&self) -> Option<(f64, usize)> {
        self.count.as_ref().map(ShareCounter::totals)
    }

    /// What this leader knows of a member: when it was last heard, what it holds, until when its lease may run.
    pub fn seen(&self, name: &str) -> Option<(Ms, u64, Ms)> {
        self.last_answered
            .get(name)
            .map(|h| (h.at, h.policy_index, h.until))
    }

    /// Whether a member has said what it makes of a change.
    pub fn validated(&self, name: &str, number: u64) -> bool {
        self.last_answered
            .get(name)
            .is_some_and(|h| h.validated.as_ref().is_some_and(|e| e.0 == number))
    }

    /// Whether all that may still decide hold what is to be held.
    pub fn all_hold(&self, now: Ms, fleet: &Fleet<D>) -> bool {
        self.all(now, fleet, |h| h.policy_index == fleet.policy_index)
    }

    /// Whether an ask still waits for the log, or something does that may be it.
    pub fn waits(&self, ask: &Command<D>) -> bool {
        self.written || self.asks.contains(ask)
    }

    /// Takes an ask to be written to the log.
    ///
    /// # Errors
    /// It can't be as things stand.
    pub fn ask(&mut self, fleet: &Fleet<D>, ask: Command<D>) -> Result<(), Refusal> {
        self.fits(fleet, &ask)?;
        if self.asks.len() >= ASKS_MOST {
            return Err(Refusal::Busy);
        }
        self.asks.push(ask);
        Ok(())
    }

    fn fits(&self, fleet: &Fleet<D>, ask: &Command<D>) -> Result<(), Refusal> {
        let (runs, running) = fleet.running.as_ref().ok_or(Refusal::NotBootstrapped)?;
        let id = fleet.pending_confirmation.as_ref().map(|t| &t.id);
        match ask {
            Command::Change(proposal) => {
                let asked = |a: &&Command<D>| matches!(a, Command::Change(_));
                if let Some(Command::Change(w)) = self.asks.iter().find(asked).filter(|a| *a != ask)
                {
                    return Err(Refusal::InProgress {
                        number: fleet.next,
                        author: w.author.clone(),
                    });
                }
                let number = fleet
                    .change
                    .as_ref()
                    .map(|c| c.number)
                    .or(id.map(|_| *runs));
                if let Some(number) = number {
                    let line = fleet.revisions.iter().find(|l| l.number == number);
                    let author = line.map(|l| l.author.clone()).unwrap_or_default();
                    return Err(Refusal::InProgress { number, author });
                }
                if proposal.base_revision != fleet.policy_index {
                    return Err(Refusal::StaleBaseRevision { runs: *runs });
                }
                running
                    .intersection(&proposal.document)
                    .map(drop)
                    .ok_or(Refusal::NoIntersection)
            }
            Command::Confirm { id: asked } if id == Some(asked) => Ok(()),
            Command::Cancel { id: asked, .. } => {
                let way = fleet.change.as_ref().is_some_and(|c| !c.is_rollback);
                let which = asked.as_ref().is_none_or(|a| {
                    id == Some(a)
                        || fleet
                            .change
                            .iter()
                            .any(|c| c.commit.as_ref().is_some_and(|c| c.0 == *a))
                });
                if which && (way || id.is_some()) {
                    Ok(())
                } else {
                    Err(Refusal::NothingPending)
                }
            }
            Command::Confirm { .. } => Err(Refusal::NothingPending),
        }
    }

    /// The log has taken a record, or will never take what was written: the leader looks anew.
    pub fn applied(&mut self) {
        self.written = false;
        self.going.clear();
    }

    /// The next record to be written, one at a time.
    pub fn next(&mut self, now: Ms, fleet: &Fleet<D>) -> Option<Record<D>> {
        self.count_all(now, fleet);
        if self.written {
            return None;
        }
        self.knocking
            .retain(|name, seat| fleet.members.get(name) != Some(seat));
        self.last_answered
            .retain(|name, _| fleet.members.contains_key(name));
        self.seated
            .retain(|name, at| fleet.members.get(name).is_some_and(|s| s.start == at.0));
        for (name, seat) in &fleet.members {
            self.seated.entry(name.clone()).or_insert((seat.start, now));
        }
        // Its time begins when this leader first sees it run.
        let runs = fleet.running.as_ref().map_or(0, |r| r.0);
        let pending_confirmation = fleet
            .pending_confirmation
            .as_ref()
            .map(|t| (runs, now + t.confirm_within));
        self.pending_confirmation = pending_confirmation.map(|new| {
            self.pending_confirmation
                .filter(|old| old.0 == new.0)
                .unwrap_or(new)
        });
        let record = Self::RULES.iter().find_map(|rule| rule(self, now, fleet));
        let record = record.or_else(|| self.asked(fleet))?;
        if let Record::Members { joined, left } = &record {
            let replaced = joined
                .iter()
                .filter_map(|(n, _)| Some((n.clone(), fleet.members.get(n)?.start)));
            self.going = replaced.chain(left.iter().cloned()).collect();
        }
        self.written = true;
        Some(record)
    }

    /// Whether an earlier process of that name may still decide, for all that a later one shows.
    fn may_live(
        &self,
        now: Ms,
        fleet: &Fleet<D>,
        earlier: &Session,
        later: &Session,
        name: &str,
    ) -> bool {
        let other = earlier.start != later.start && !earlier.steady;
        other && !earlier.ended_before(later) && self.counts(now, fleet, name)
    }

    fn count_all(&mut self, now: Ms, fleet: &Fleet<D>) {
        self.count(fleet);
        let Some(mut count) = self.count.take() else {
            return;
        };
        let live = fleet
            .members
            .keys()
            .filter(|name| self.counts(now, fleet, name))
            .count();
        let lives = |name: &str, start: u64| {
            fleet.members.get(name).is_some_and(|s| s.start == start)
                && self.counts(now, fleet, name)
        };
        count.look(now, live, lives);
        self.count = Some(count);
    }

    // Before their first lease, so that a later leader knows of them.
    fn seat(&self, now: Ms, fleet: &Fleet<D>) -> Option<Record<D>> {
        let gone = |(name, seat): &(&String, &Session)| {
            let last_answered = self
                .last_answered
                .get(*name)
                .filter(|h| h.start == seat.start);
            let since = self.seated.get(*name).map_or(now, |s| s.1);
            let last = last_answered.map_or(since, |h| h.at);
            let long = now >= last + FORGOTTEN * self.lease && !seat.steady;
            last_answered.is_some_and(|h| h.leaving) || long && !self.counts(now, fleet, name)
        };
        let left = fleet
            .members
            .iter()
            .filter(gone)
            .map(|(name, seat)| (name.clone(), seat.start));
        let left: Vec<_> = left.take(SEATED_AT_ONCE).collect();
        let joined = self.knocking.iter().filter(|(name, seat)| {
            !fleet
                .members
                .get(*name)
                .is_some_and(|s| self.may_live(now, fleet, s, seat, name))
        });
        let joined: Vec<_> = joined
            .take(SEATED_AT_ONCE)
            .map(|(n, s)| (n.clone(), s.clone()))
            .collect();
        (!left.is_empty() || !joined.is_empty()).then_some(Record::Members { joined, left })
    }

    fn staged<'a>(&self, fleet: &'a Fleet<D>, step: Step) -> Option<&'a crate::fleet::Change<D>> {
        fleet.change.as_ref().filter(|c| c.step == step)
    }

    /// Whether all that may still decide are so.
    fn all(&self, now: Ms, fleet: &Fleet<D>, so: impl Fn(&Heard) -> bool) -> bool {
        let mut counted = fleet
            .members
            .iter()
            .filter(|(name, _)| self.counts(now, fleet, name));
        counted.all(|(name, seat)| {
            self.last_answered
                .get(name)
                .is_some_and(|h| h.start == seat.start && so(h))
        })
    }

    fn refuse(&self, now: Ms, fleet: &Fleet<D>) -> Option<Record<D>> {
        let number = self.staged(fleet, Step::Staged)?.number;
        let counted = self
            .last_answered
            .iter()
            .filter(|(name, _)| self.counts(now, fleet, name));
        let mut faults = counted.filter_map(|(name, h)| match &h.validated {
            Some((n, Err(reason))) if *n == number => Some((name.clone(), reason.clone())),
            _ => None,
        });
        faults
            .next()
            .map(|(by, reason)| Record::Refused { number, by, reason })
    }

    fn bind(&self, now: Ms, fleet: &Fleet<D>) -> Option<Record<D>> {
        let number = self.staged(fleet, Step::Staged)?.number;
        let fit = |h: &Heard| h.validated == Some((number, Ok(())));
        self.all(now, fleet, fit)
            .then_some(Record::Binding { number })
    }

    fn decide(&self, now: Ms, fleet: &Fleet<D>) -> Option<Record<D>> {
        let number = self.staged(fleet, Step::Binding)?.number;
        self.all(now, fleet, |h| h.policy_index == fleet.policy_index)
            .then_some(Record::Decided { number })
    }

    fn take_back_the_overdue(&self, now: Ms, fleet: &Fleet<D>) -> Option<Record<D>> {
        let (number, until) = self.pending_confirmation?;
        (fleet.change.is_none() && now >= until).then_some(Record::RolledBack { number })
    }

    fn asked(&mut self, fleet: &Fleet<D>) -> Option<Record<D>> {
        while !self.asks.is_empty() {
            let ask = self.asks.remove(0);
            if self.fits(fleet, &ask).is_err() {
                continue;
            }
            let number = fleet.running.as_ref().map_or(0, |r| r.0);
            return Some(match ask {
                Command::Change(proposal) => Record::Staged(proposal),
                Command::Confirm { .. } => Record::Confirmed { number },
                Command::Cancel { author, .. } => match &fleet.change {
                    Some(c) => Record::Refused {
                        number: c.number,
                        by: author,
                        reason: "taken back".into(),
                    },
                    None => Record::RolledBack { number },
                },
            });
        }
        None
    }
}
