//! Whether an engine has capacity for a request. Most limits apply only to an engine under
//! pressure.

use super::engine_health::THREADS_PER_CORE;
use super::Gateway;
use crate::state::{Engine, LoadReport, PendingRequest};

/// The smallest thread share of a gateway, in threads. With many gateways, the even share may be
/// below one query.
pub(super) const MIN_THREAD_SHARE: f64 = 4.0;
/// How many times its thread share a gateway may use for requests of weight zero, and for those of
/// the highest weight. Applies where engines do not queue queries when memory is full.
const MIN_WEIGHT_SHARE: f64 = 0.7;
const MAX_WEIGHT_SHARE: f64 = 2.0;
/// An engine with more than this slowdown is under pressure.
const PRESSURE_THRESHOLD: f64 = 1.2;
/// The slowdown from which on a gateway is limited to its even share of the engine.
const FULL_PRESSURE: f64 = 1.6;
/// Up to this load an engine admits every request. Above it, the probability of admission falls
/// linearly, to zero at a load of 1.
const FULL_ADMISSION_LOAD: f64 = 0.7;

impl Gateway {
    /// Whether the engine may get the request now. Prevents congestion that sustains itself: an
    /// engine under pressure gets no request that would miss its objective there, and only a share
    /// of its threads is used.
    pub(super) fn has_capacity(&self, engine_index: usize, pending: &PendingRequest) -> bool {
        let engine = &self.engines[engine_index];
        let class_index = pending.request.class;
        if self.now <= engine.full_until || !self.is_admitted_by_load(pending, engine) {
            return false;
        }
        let slowdown = self.slowdown(engine);
        if slowdown <= PRESSURE_THRESHOLD {
            return true;
        }
        let service_time = pending.work / self.config.classes[class_index].threads
            * self.pace(engine, class_index);
        let meets_objective = self.now + service_time <= pending.objective;
        meets_objective
            && self.fits_engine_share(engine, slowdown)
            && (self.config.queues_when_memory_full || self.fits_thread_share(class_index))
    }

    /// Whether this gateway's threads on the engine are below the limit, which falls with rising
    /// pressure from all of the engine's threads to this gateway's even share of them. The
    /// request's own threads do not count, because an even share may be less than one query.
    fn fits_engine_share(&self, engine: &Engine, slowdown: f64) -> bool {
        let pressure = (slowdown - PRESSURE_THRESHOLD) / (FULL_PRESSURE - PRESSURE_THRESHOLD);
        let sharing_gateways = self.config.gateway_count.powf(pressure.clamp(0.0, 1.0));
        engine.threads == 0.0 || engine.threads < engine.cores * THREADS_PER_CORE / sharing_gateways
    }

    /// Whether this gateway's threads on all engines are below its share, which is larger for a
    /// class of higher weight. Prevents a large number of gateways from each sending one query to
    /// every engine on which they have none yet.
    fn fits_thread_share(&self, class_index: usize) -> bool {
        let threads: f64 = self
            .classes
            .iter()
            .map(|class| class.running.threads())
            .sum();
        let weight_share = MIN_WEIGHT_SHARE
            + (MAX_WEIGHT_SHARE - MIN_WEIGHT_SHARE) * self.weight(class_index) / self.max_weight();
        threads < self.thread_share * weight_share
    }

    /// Whether the engine's reported load admits the request. Where engines are probed before heavy
    /// requests, an engine without a valid report admits no heavy request. In all other cases the
    /// last report counts, decayed, and an engine without one counts as idle.
    fn is_admitted_by_load(&self, pending: &PendingRequest, engine: &Engine) -> bool {
        let needs_report = self.probes_enabled && self.is_heavy(pending.request.class);
        let report = if needs_report {
            engine.valid_load_report(self.now)
        } else {
            engine.load_report.map(|report| LoadReport {
                share: engine.decayed_load(self.now),
                ..report
            })
        };
        match report {
            Some(report) => self.passes_load_draw(pending, engine, report),
            None => !needs_report,
        }
    }

    /// Draws whether an engine of this load admits the request; the higher the load, the lower the
    /// probability. All gateways see the same load, and without the draw either all or none of them
    /// would send. The draw stays the same until the engine reports again.
    pub(super) fn passes_load_draw(
        &self,
        pending: &PendingRequest,
        engine: &Engine,
        report: LoadReport,
    ) -> bool {
        let draw = pending.draw_for(engine.endpoint.id ^ report.at.to_bits());
        draw < (1.0 - report.share) / (1.0 - FULL_ADMISSION_LOAD)
    }
}
