//! Counts the gateways that share the fleet-wide limits, and decides which of them use a share. The shares in use must
//! never add up to more than the whole (`docs/design/recovery.md`, promise 2).

use ironstair::{Millis, PolicyConfig};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The fraction by which the count declines per lease. The slow decline lets a gateway that returns within a few leases
/// find its share.
const DECLINE_PER_LEASE: f64 = 0.03;
/// A smaller relative decline is not reported to the policy: each new value costs it a pass over all engines.
const MIN_REPORTED_DECLINE: f64 = 0.02;
/// Tolerance in the comparison of counts, which are fractional after a decline.
const COUNT_TOLERANCE: f64 = 1e-9;

/// A gateway's share of the fleet-wide limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The number of gateways that the limits are divided by.
    #[serde(rename = "among")]
    pub gateway_count: f64,
    /// Whether the gateway uses its share. A gateway that joined last waits until no valid lease is based on a smaller
    /// count.
    #[serde(rename = "taken")]
    pub is_granted: bool,
}

impl Share {
    /// Whether the policy needs the new share: always if the count grew, and for larger steps only if it fell.
    pub fn differs(self, previous: Share) -> bool {
        self.is_granted != previous.is_granted
            || self.gateway_count > previous.gateway_count
            || self.gateway_count < previous.gateway_count * (1.0 - MIN_REPORTED_DECLINE)
    }

    /// The policy config with this share. Without a share the gateway sends nothing to engines in slow start.
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

/// A count that a larger one replaced, and the time at which.
#[derive(Clone, Debug, PartialEq)]
struct SmallerCount {
    until: Millis,
    gateways: f64,
}

/// A leader's count of gateways and of the shares that it has granted.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareCounter {
    /// The time from which on no lease of an earlier leader can be valid.
    sole_leader_from: Millis,
    lease: Millis,
    grace: Millis,
    gateways: f64,
    updated_at: Millis,
    /// The counts that valid leases may still be based on: those replaced within the last grace period.
    smaller_counts: VecDeque<SmallerCount>,
    /// The members that use a share, with the `start` of their processes.
    sharing: BTreeMap<String, u64>,
}

/// The totals that operators see.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareTotals {
    /// The count that members receive with their leases.
    pub gateways: f64,
    /// The number of members that use a share.
    pub sharing: usize,
}

impl ShareCounter {
    /// Creates the counter of a leader elected at `since`. `initial` must be at least the count of any earlier leader's
    /// grants.
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

    /// Raises the count to the number of live members at once, or lets it decline slowly. Removes the shares of
    /// processes, identified by name and `start`, that are not live.
    pub fn update(&mut self, now: Millis, live: usize, is_live: impl Fn(&str, u64) -> bool) {
        let leases_passed = (now - self.updated_at).max(0.0) / self.lease;
        let declined = self.gateways * (1.0 - DECLINE_PER_LEASE).powf(leases_passed);
        let gateways = declined.max(live as f64).max(1.0);
        if gateways > self.gateways {
            self.smaller_counts.push_back(SmallerCount {
                until: now,
                gateways: self.gateways,
            });
        }
        self.gateways = gateways;
        self.updated_at = now;
        let grace = self.grace;
        while self
            .smaller_counts
            .front()
            .is_some_and(|count| count.until + grace <= now)
        {
            self.smaller_counts.pop_front();
        }
        self.sharing.retain(|name, start| is_live(name, *start));
    }

    /// The smallest count that a valid lease may be based on. Within the last grace period only a count that a larger
    /// one replaced was smaller than the current one.
    fn smallest_in_use(&self) -> f64 {
        self.smaller_counts
            .iter()
            .map(|count| count.gateways)
            .fold(self.gateways, f64::min)
    }

    /// The share for a lease that is granted now. `uses_share` comes from the member's heartbeat.
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

    /// The current count and the number of shares in use.
    pub fn totals(&self) -> ShareTotals {
        ShareTotals {
            gateways: self.gateways,
            sharing: self.sharing.len(),
        }
    }
}
