//! Whether an engine has capacity for a request: bounds that take effect only under pressure.

use super::engine_health::THREADS_PER_CORE;
use super::Gateway;
use crate::state::{Engine, LoadReport, PendingRequest};

/// The least thread share of a gateway, in threads: among many gateways the even share may be below
/// one query.
pub(super) const MIN_THREAD_SHARE: f64 = 4.0;
/// Where engines do not queue queries themselves: the part of its thread share that a gateway may
/// fill with requests of no weight, and with those of the highest weight.
const MIN_WEIGHT_SHARE: f64 = 0.7;
const MAX_WEIGHT_SHARE: f64 = 2.0;
/// The slowdown up to which an engine is under no pressure.
const PRESSURE_FROM: f64 = 1.2;
/// The slowdown from which on a gateway keeps to its even share of the engine.
const PRESSURE_FULL: f64 = 1.6;
/// Up to this reported load every wide query may enter an engine; above it some may, and none at a
/// load of 1.
const FULL_ADMISSION_LOAD: f64 = 0.7;

impl Gateway {
    /// Whether the engine takes the request now. Prevents a jam that feeds itself: under pressure
    /// an engine gets no request that would miss its objective there, and no more than a share of
    /// its threads is used.
    pub(super) fn has_capacity(&self, engine_index: usize, pending: &PendingRequest) -> bool {
        let engine = &self.engines[engine_index];
        let class_index = pending.request.class;
        if self.now <= engine.full_until || !self.is_admitted_by_load(pending, engine) {
            return false;
        }
        let slowdown = self.slowdown(engine);
        if slowdown <= PRESSURE_FROM {
            return true;
        }
        let service_time = pending.work / self.config.classes[class_index].threads
            * self.pace(engine, class_index);
        let meets_objective = self.now + service_time <= pending.objective;
        meets_objective
            && self.fits_engine_share(engine, slowdown)
            && (self.config.queues_when_memory_full || self.fits_thread_share(class_index))
    }

    /// Whether this gateway's threads on the engine are below the bound, which narrows with the
    /// pressure from all of the engine's threads to this gateway's even share. The request's own
    /// threads do not count: an even share may be less than one wide query.
    fn fits_engine_share(&self, engine: &Engine, slowdown: f64) -> bool {
        let pressure = (slowdown - PRESSURE_FROM) / (PRESSURE_FULL - PRESSURE_FROM);
        let sharing_gateways = self.config.gateway_count.powf(pressure.clamp(0.0, 1.0));
        engine.threads == 0.0 || engine.threads < engine.cores * THREADS_PER_CORE / sharing_gateways
    }

    /// Whether this gateway's threads on all engines are below its share, which is larger for a
    /// class of higher weight. Prevents a crowd of gateways from sending one query each to every
    /// engine on which they have none yet.
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

    /// Whether the engine's load leaves room. Before a wide request, where engines are probed, an
    /// unknown load counts as full. Otherwise the last report counts, decayed, and an unknown load
    /// as none.
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

    /// Draws whether a request may enter an engine of this load, with a lower probability for a
    /// higher load. All gateways see the same load, and without the draw all would send or none.
    /// The draw is the same until the engine reports again.
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
