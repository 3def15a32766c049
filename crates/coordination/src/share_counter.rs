//! Counts the gateways that share the fleet-wide limits, and decides which of them may use a share. The shares in use
//! must never add up to more than the whole (`docs/design/recovery.md`, promise 2).

use ironstair::{Millis, PolicyConfig};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The fraction by which the count declines per lease. It is small so that a gateway which returns within a few leases
/// still gets its share at once.
const DECLINE_PER_LEASE: f64 = 0.03;
/// A smaller relative decline is not passed to the policy, which visits all engines for each new value.
const MIN_REPORTED_DECLINE: f64 = 0.02;
/// Tolerance in comparisons with the count, which is fractional after a decline.
const COUNT_TOLERANCE: f64 = 1e-9;

/// A gateway's share of the fleet-wide limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The number of gateways that the limits are divided by.
    #[serde(rename = "among")]
    pub gateway_count: f64,
    /// Whether the gateway may use its share. A gateway that has just joined waits until no valid lease is based on a
    /// smaller count.
    #[serde(rename = "taken")]
    pub is_granted: bool,
}

impl Share {
    /// Whether the policy must be updated with this share: if the grant changed, the count grew, or the count fell by
    /// more than `MIN_REPORTED_DECLINE`.
    pub fn differs(self, previous: Share) -> bool {
        self.is_granted != previous.is_granted
            || self.gateway_count > previous.gateway_count
            || self.gateway_count < previous.gateway_count * (1.0 - MIN_REPORTED_DECLINE)
    }

    /// The policy config with this share. Without a granted share the gateway sends nothing to engines in slow start.
    pub fn apply_to(self, policy_config: &PolicyConfig) -> PolicyConfig {
        let overload_factor = if self.is_granted {
            policy_config.overload_factor
        } else {
            0.0
        };
        PolicyConfig {
            gateway_count: self.gateway_count,
            overload_factor,
            ..policy_config.clone()
        }
    }
}

/// A count that was replaced by a larger one.
#[derive(Clone, Debug, PartialEq)]
struct SmallerCount {
    /// The time at which it was replaced.
    replaced_at: Millis,
    gateways: f64,
}

/// A leader's count of gateways and of the shares that it has granted.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareCounter {
    /// From this time on no lease of an earlier leader can be valid.
    sole_leader_from: Millis,
    lease: Millis,
    grace: Millis,
    gateways: f64,
    updated_at: Millis,
    /// Smaller counts that valid leases may still be based on: those replaced within the last grace period.
    smaller_counts: VecDeque<SmallerCount>,
    /// The members with a granted share: name and `start` of the process.
    sharing: BTreeMap<String, u64>,
}

/// The totals that operators see.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareTotals {
    /// The count that members receive with their leases.
    pub gateways: f64,
    /// The number of members with a granted share.
    pub sharing: usize,
}

impl ShareCounter {
    /// Creates the counter of a leader elected at `since`. `initial` must be at least as large as the count by which
    /// any earlier leader granted shares.
    pub fn new(since: Millis, lease: Millis, grace: Millis, initial: f64) -> Self {
        ShareCounter {
            sole_leader_from: since + grace,
            lease,
            grace,
            gateways: initial.max(1.0),
            updated_at: since,
            smaller_counts: VecDeque::new(),
            sharing: BTreeMap::new(),
        }
    }

    /// Raises the count to the number of live members at once, or lets it decline slowly. Revokes the shares of
    /// processes, identified by name and `start`, that are not live.
    pub fn update(&mut self, now: Millis, live: usize, is_live: impl Fn(&str, u64) -> bool) {
        let leases_passed = (now - self.updated_at).max(0.0) / self.lease;
        let declined = self.gateways * (1.0 - DECLINE_PER_LEASE).powf(leases_passed);
        let gateways = declined.max(live as f64).max(1.0);
        if gateways > self.gateways {
            self.smaller_counts.push_back(SmallerCount {
                replaced_at: now,
                gateways: self.gateways,
            });
        }
        self.gateways = gateways;
        self.updated_at = now;
        let grace = self.grace;
        while self
            .smaller_counts
            .front()
            .is_some_and(|count| count.replaced_at + grace <= now)
        {
            self.smaller_counts.pop_front();
        }
        self.sharing.retain(|name, start| is_live(name, *start));
    }

    /// The smallest count that a valid lease may be based on. A count below the current one was followed by an
    /// increase, and `smaller_counts` contains the count before each increase.
    fn smallest_in_use(&self) -> f64 {
        self.smaller_counts
            .iter()
            .map(|count| count.gateways)
            .fold(self.gateways, f64::min)
    }

    /// The share for a lease that is granted now. `uses_share` is as in the member's [`Heartbeat`](crate::Heartbeat).
    pub fn share(&mut self, now: Millis, name: &str, start: u64, uses_share: bool) -> Share {
        let has_share = self.sharing.get(name) == Some(&start);
        let may_grant = if now < self.sole_leader_from {
            // Leases of an earlier leader may still be valid, and the number of its grants is unknown: members keep
            // their shares, and nobody gets a new one.
            uses_share
        } else {
            self.sharing.len() as f64 + 1.0 <= self.smallest_in_use() + COUNT_TOLERANCE
        };
        let is_granted = has_share || may_grant;
        if is_granted && !has_share {
            self.sharing.insert(name.into(), start);
        }
        Share {
            gateway_count: self.gateways,
            is_granted,
        }
    }

    /// The current count and the number of granted shares.
    pub fn totals(&self) -> ShareTotals {
        ShareTotals {
            gateways: self.gateways,
            sharing: self.sharing.len(),
        }
    }
}
