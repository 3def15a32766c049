//! Read-only views of engines and classes, for operators. No decision depends on them.

use super::{Gateway, LoadReport};
use crate::{EndpointState, Millis};

/// One engine as this gateway sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineView {
    /// Whether it takes attempts.
    pub state: EndpointState,
    /// Its cores, by its machine type.
    pub cores: f64,
    /// Threads of this gateway's attempts in flight on it.
    pub threads: f64,
    /// Its last load report, or a placeholder of full load while a probe is unanswered.
    pub last_report: Option<LoadReport>,
    /// How many times slower it is than at the best pace; 1 when nothing is known.
    pub slowdown: f64,
    /// Failures among its recent outcomes.
    pub failures: u32,
    /// The number of recent outcomes that count.
    pub outcomes_seen: u32,
    /// When its next recovery probe is due; none unless it is ejected.
    pub next_probe_at: Option<Millis>,
    /// No attempt is sent to it up to this time, because it rejected one as full.
    pub full_until: Millis,
    /// While it is warming up: the work that this gateway may still send in the current window, in
    /// ms on a thread.
    pub slow_start_allowance: Option<Millis>,
}

/// One class as this gateway sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassView {
    /// Requests in its queue.
    pub waiting: usize,
    /// Threads of its attempts in flight.
    pub threads: f64,
    /// Thread time that it has used, divided by its weight, in ms.
    pub charged_work: f64,
    /// Its weight.
    pub weight: f64,
    /// The work of a typical request, in ms on a thread.
    pub typical_work: Millis,
}

impl Gateway {
    /// The engine with this index, if discovery has ever listed one.
    pub fn engine_view(&self, index: usize) -> Option<EngineView> {
        let engine = self.engines.get(index)?;
        let is_known = !engine.pace_by_class.is_empty();
        let allowance = self.slow_start_allowance(engine);
        Some(EngineView {
            state: engine.endpoint.state,
            cores: engine.cores,
            threads: engine.threads,
            last_report: engine.load_report,
            slowdown: if is_known { self.slowdown(engine) } else { 1.0 },
            failures: engine.outcomes.failures(),
            outcomes_seen: engine.outcomes.seen(),
            next_probe_at: engine.ejection.map(|ejection| ejection.next_probe_at),
            full_until: engine.full_until,
            slow_start_allowance: allowance.map(|allowance| allowance.remaining()),
        })
    }

    /// The class with this index, if the settings have it.
    pub fn class_view(&self, index: usize) -> Option<ClassView> {
        let class = self.classes.get(index)?;
        Some(ClassView {
            waiting: class.queue.len(),
            threads: class.running.threads(),
            charged_work: self.charged_work(index),
            weight: self.weight(index),
            typical_work: self.typical_work(index),
        })
    }
}
