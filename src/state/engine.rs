//! The state of one engine.

use crate::stats::DecayingMean;
use crate::{Endpoint, EndpointState, Millis, PolicyConfig};
use std::collections::VecDeque;

/// One engine as this gateway knows it.
#[derive(Default)]
pub(crate) struct Engine {
    /// As discovery lists it.
    pub(crate) endpoint: Endpoint,
    /// Its cores, by its machine type.
    pub(crate) cores: f64,
    /// Threads that this gateway's attempts in flight use on it.
    pub(crate) threads: f64,
    /// The outcomes that determine its health.
    pub(crate) outcomes: RecentOutcomes,
    /// Thread time per unit of work, by class.
    pub(crate) pace_by_class: Vec<DecayingMean>,
    /// By class: the latest time at which an attempt was sent that was answered before it was
    /// overdue.
    pub(crate) latest_on_time_sent_at: Vec<Millis>,
    /// No attempt is sent to it up to this time, because it rejected one as full.
    pub(crate) full_until: Millis,
    /// Present while the engine is ejected.
    pub(crate) ejection: Option<Ejection>,
    /// Recently sent work, for the slow-start allowance.
    pub(crate) recently_sent: VecDeque<SentWork>,
    /// Its last load report, or when it was asked for one.
    pub(crate) load_report: Option<LoadReport>,
}

/// When an ejected engine gets its next recovery probe.
#[derive(Clone, Copy)]
pub(crate) struct Ejection {
    pub(crate) next_probe_at: Millis,
    pub(crate) probe_interval: Millis,
}

/// Work that this gateway sent to an engine.
#[derive(Clone, Copy)]
pub(crate) struct SentWork {
    pub(crate) sent_at: Millis,
    /// The work of a typical request of the class, in ms on a thread.
    pub(crate) work: Millis,
}

/// The load that an engine reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// When it reported, or was probed.
    pub at: Millis,
    /// The largest share in use of its resources; 1 from a probe until the report.
    pub share: f64,
}

/// The latest outcomes of an engine's attempts, one bit each: set for a failure, the latest in the
/// lowest bit.
#[derive(Clone, Copy, Default)]
pub(crate) struct RecentOutcomes {
    recent_failures: u32,
    outcomes_seen: u32,
}

impl RecentOutcomes {
    /// Adds an outcome and keeps the last `kept` ones; `kept` has to be less than 32.
    pub(crate) fn record(&mut self, is_success: bool, kept: u32) {
        let kept_bits = (1 << kept) - 1;
        let failure_bit = u32::from(!is_success);
        self.recent_failures = (self.recent_failures << 1 | failure_bit) & kept_bits;
        self.outcomes_seen = (self.outcomes_seen + 1).min(kept);
    }

    /// The number of failures among the kept outcomes.
    pub(crate) fn failures(&self) -> u32 {
        self.recent_failures.count_ones()
    }

    /// The number of outcomes that are kept now.
    pub(crate) fn seen(&self) -> u32 {
        self.outcomes_seen
    }
}

impl Engine {
    /// Applies the settings: sets the cores by machine type, and makes room for statistics of each
    /// class.
    pub(crate) fn apply_config(&mut self, config: &PolicyConfig) {
        let machine_type = config
            .machine_types
            .get(usize::from(self.endpoint.machine_type));
        self.cores = machine_type.map_or(1.0, |machine_type| machine_type.cores);
        self.pace_by_class
            .resize(config.classes.len(), DecayingMean::default());
        self.latest_on_time_sent_at
            .resize(config.classes.len(), 0.0);
    }

    /// Whether discovery lists it as ready.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Whether it is ready and not ejected.
    pub(crate) fn is_in_use(&self) -> bool {
        self.is_ready() && self.ejection.is_none()
    }

    /// Whether it is in one of these cells (a bit each; 0 for any cell).
    pub(crate) fn is_in_cells(&self, cells: u64) -> bool {
        cells == 0 || self.endpoint.cells & cells != 0
    }
}
