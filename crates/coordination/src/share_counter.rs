//! How many gateways share out what a cold engine bears from all of them, and who of them takes a share: so that the
//! shares never come to more than the whole (`docs/design/recovery.md`, promise 2).

use ironstair::{Ms, PolicyConfig};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The count falls by so much of itself in a lease: a gateway that comes back within some leases finds its place.
const FALLS: f64 = 0.03;
/// A count that fell by less is not handed on: each time costs the decisions a look at all engines.
const HEARD: f64 = 0.02;

/// What one gateway goes by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// One of so many.
    pub among: f64,
    /// Whether it takes it: who came last waits until no lease rests on a smaller count.
    pub taken: bool,
}

impl Share {
    /// Whether the decisions are to hear of it: at once where the count grew, in some steps where it shrank.
    pub fn differs(self, was: Share) -> bool {
        self.taken != was.taken || self.among > was.among || self.among < was.among * (1.0 - HEARD)
    }

    /// What the decisions go by: of all gateways this many share, and who takes no share sends no cold engine anything.
    pub fn of(self, policy_config: &PolicyConfig) -> PolicyConfig {
        let bears = if self.taken {
            policy_config.fall_multiple
        } else {
            0.0
        };
        PolicyConfig {
            gateways: self.among,
            fall_multiple: bears,
            ..policy_config.clone()
        }
    }
}

/// The leader's.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareCounter {
    /// From when on no lease of an earlier leader is left.
    alone_from: Ms,
    lease: Ms,
    grace: Ms,
    used: f64,
    at: Ms,
    /// What was told before each growth, and until when. Within a grace after that a lease may rest on it.
    told: VecDeque<(Ms, f64)>,
    sharing: BTreeMap<String, u64>,
}

impl ShareCounter {
    /// Of a leader that sits since then; `most` is no less than any earlier leader can have told.
    pub fn new(since: Ms, lease: Ms, grace: Ms, most: f64) -> Self {
        let (told, sharing) = Default::default();
        ShareCounter {
            alone_from: since + grace,
            lease,
            grace,
            used: most.max(1.0),
            at: since,
            told,
            sharing,
        }
    }

    /// Grows at once to those that may decide, and shrinks slowly.
    pub fn look(&mut self, now: Ms, live: usize, lives: impl Fn(&str, u64) -> bool) {
        let fallen = self.used * (1.0 - FALLS).powf((now - self.at).max(0.0) / self.lease);
        let used = fallen.max(live as f64).max(1.0);
        if used > self.used {
            self.told.push_back((now, self.used));
        }
        (self.used, self.at) = (used, now);
        while self.told.front().is_some_and(|t| t.0 + self.grace <= now) {
            self.told.pop_front();
        }
        self.sharing.retain(|name, start| lives(name, *start));
    }

    /// The least that a lease still rests on. None was told less within the last grace than now, but before a growth.
    fn least(&self) -> f64 {
        self.told.iter().map(|t| t.1).fold(self.used, f64::min)
    }

    /// What goes with a lease that is granted now; `takes` is whether its member says that it has a share.
    pub fn share(&mut self, now: Ms, name: &str, start: u64, takes: bool) -> Share {
        let has = self.sharing.get(name) == Some(&start);
        let taken = has
            || match now < self.alone_from {
                // What an earlier leader gave stays; nobody knows how many took.
                true => takes,
                false => self.sharing.len() as f64 + 1.0 <= self.least() + 1e-9,
            };
        if taken && !has {
            self.sharing.insert(name.into(), start);
        }
        Share {
            among: self.used,
            taken,
        }
    }

    /// Told to members, and how many of them take a share.
    pub fn totals(&self) -> (f64, usize) {
        (self.used, self.sharing.len())
    }
}
