//! How an engine's health follows from the outcomes of its attempts, and how an ejected one
//! recovers.

use crate::state::{Ejection, Engine, LoadReport};
use crate::Millis;

/// Threads per core that all gateways together may use on an engine under pressure. More than one,
/// because not all threads are busy at the same time. 2 and 3 scored lower (`docs/design.md`).
pub(super) const THREADS_PER_CORE: f64 = 2.5;
/// An answer that takes this many times as long as usual is attributed to its engine, not to the
/// load. A single attempt may also be late because its answer was lost.
pub(super) const SLOW_ANSWER_FACTOR: f64 = 2.5;
/// An attempt that takes this many times as long as usual is assumed to have lost its answer, or to
/// run with a bad query plan.
pub(super) const LOST_ANSWER_FACTOR: f64 = 2.0 * SLOW_ANSWER_FACTOR;
/// The number of latest outcomes from which an engine's health is determined.
const OUTCOMES_KEPT: u32 = 8;
/// The number of failures among them from which on an engine may be ejected.
pub(super) const FAILURES_TO_EJECT: u32 = 5;
/// The initial interval of recovery probes after an engine's ejection, in ms. A success halves it,
/// a failure doubles it.
pub(super) const RECOVERY_PROBE_INTERVAL: Millis = 1000.0;
/// The longest interval of recovery probes, in ms.
const MAX_PROBE_INTERVAL: Millis = RECOVERY_PROBE_INTERVAL * 2.0;
/// The ejection ends when the interval of the recovery probes has fallen below this, in ms: after
/// three successes more than failures.
const RECOVERED_PROBE_INTERVAL: Millis = RECOVERY_PROBE_INTERVAL / 5.0;
/// A load report is valid for this long, in ms.
const REPORT_VALID_FOR: Millis = 400.0;
/// The half-life of a load report, in ms. A congested engine reports rarely, so its last report has
/// to count for longer than it is valid.
const REPORT_HALF_LIFE: Millis = 2000.0;

impl Engine {
    /// Records the outcome of an attempt. On an ejected engine, it also changes the interval of the
    /// recovery probes, and may end the ejection.
    pub(super) fn record_outcome(&mut self, now: Millis, is_success: bool) {
        self.outcomes.record(is_success, OUTCOMES_KEPT);
        let Some(ejection) = self.ejection else {
            return;
        };
        let ejection = if is_success {
            ejection.after_success(now)
        } else {
            ejection.after_failure(now)
        };
        self.ejection = Some(ejection);
        if ejection.probe_interval < RECOVERED_PROBE_INTERVAL {
            self.ejection = None;
            self.outcomes = Default::default();
        }
    }

    /// The last load report or probe, while it is valid.
    pub(super) fn valid_load_report(&self, now: Millis) -> Option<LoadReport> {
        self.load_report
            .filter(|report| now - report.at < REPORT_VALID_FOR)
    }

    /// The share in use by the last report, decayed since.
    pub(super) fn decayed_load(&self, now: Millis) -> f64 {
        self.load_report.map_or(0.0, |report| {
            report.share * 0.5f64.powf((now - report.at) / REPORT_HALF_LIFE)
        })
    }
}

impl Ejection {
    /// Halves the interval; the next probe is due one new interval from now at the latest.
    fn after_success(self, now: Millis) -> Ejection {
        let probe_interval = self.probe_interval / 2.0;
        Ejection {
            next_probe_at: self.next_probe_at.min(now + probe_interval),
            probe_interval,
        }
    }

    /// Doubles the interval up to its maximum; the next probe is due one new interval from now.
    fn after_failure(self, now: Millis) -> Ejection {
        let longest = self.probe_interval.max(MAX_PROBE_INTERVAL);
        let probe_interval = (self.probe_interval * 2.0).min(longest);
        Ejection {
            next_probe_at: now + probe_interval,
            probe_interval,
        }
    }

    /// A probe was sent: the next one is due one interval from now.
    pub(super) fn after_probe(self, now: Millis) -> Ejection {
        Ejection {
            next_probe_at: now + self.probe_interval,
            ..self
        }
    }
}
