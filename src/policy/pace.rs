//! The pace of engines: thread time per unit of work. All estimates of how long a request takes are
//! made here.

use super::engine_health::RECOVERY_PROBE_INTERVAL;
use super::Gateway;
use crate::state::Engine;
use crate::stats::WeightedSum;
use crate::Millis;

/// The half-life of paces, in ms: long compared with one measurement, short compared with the
/// disturbances of an engine.
const PACE_HALF_LIFE: Millis = 2000.0;
/// The half-life of statistics that change slowly, such as the work of a class, in ms.
pub(super) const WORK_HALF_LIFE: Millis = 20_000.0;
/// The weight of the prior slope of an [`Estimator`](crate::stats::Estimator): that of this many
/// samples at a distance of one from the mean, on the logarithmic scale.
pub(super) const PRIOR_WEIGHT: f64 = 3.0;
/// A pace can become the best one only if it is based on this many typical requests: fewer may have
/// been fast by chance.
const MIN_REQUESTS_FOR_BEST: f64 = 2.0;
/// The weight of the prior pace towards which an uncertain one is shrunk, in typical requests.
const PRIOR_REQUESTS: f64 = 0.3;
/// The time in ms in which the best pace doubles unless an engine reaches it again.
const BEST_PACE_DOUBLES_IN: Millis = 300_000.0;
/// The smallest work of a request, in ms on a thread, so that nothing is divided by zero.
pub(super) const MIN_WORK: Millis = 1.0;
/// The pace assumed while none is known: work takes as much thread time as estimated.
const ASSUMED_PACE: f64 = 1.0;

impl Gateway {
    /// Updates an engine's pace in a class, and the pooled pace of the engines in the same cells,
    /// with thread time and the work done in it, both in ms on a thread.
    pub(super) fn learn_pace(
        &mut self,
        engine: usize,
        class_index: usize,
        thread_time: Millis,
        work_done: Millis,
    ) {
        let now = self.now;
        let typical_work = self.typical_work(class_index);
        let engine = &mut self.engines[engine];
        let class = &mut self.classes[class_index];
        let pace = &mut engine.pace_by_class[class_index];
        pace.add(now, PACE_HALF_LIFE, thread_time, work_done);
        let pooled_pace = class
            .pooled_pace_by_cells
            .entry(engine.endpoint.cells)
            .or_default();
        pooled_pace.add(now, PACE_HALF_LIFE, thread_time, work_done);

        // The best pace expires, so that one unusually fast second, or an early wrong work
        // estimate, does not indicate pressure forever.
        let age = now - class.best_pace_updated_at;
        let expired_best = class.best_pace * 2f64.powf(age / BEST_PACE_DOUBLES_IN);
        let is_certain = pace.weight() > MIN_REQUESTS_FOR_BEST * typical_work;
        let certain_pace = pace.mean().filter(|_| is_certain);
        class.best_pace = certain_pace.map_or(expired_best, |pace| pace.min(expired_best));
        class.best_pace_updated_at = now;
    }

    /// The pace of an engine in a class. While little is known of it, the pooled pace prevails, so
    /// that one heavy query does not count as congestion, nor past congestion as present.
    pub(super) fn pace(&self, engine: &Engine, class_index: usize) -> f64 {
        let own_pace = engine.pace_by_class[class_index].decayed(self.now, PACE_HALF_LIFE);
        let pooled_pace = self.pooled_pace(class_index, engine.endpoint.cells);
        self.shrink(own_pace, class_index, pooled_pace)
    }

    /// The pace of a class on all engines of these cells (a bit each; 0 for all cells). Other cells
    /// are left out, so that a slow cell does not cause the rejection of requests for other cells.
    /// While little is known, the best pace prevails.
    pub(super) fn pooled_pace(&self, class_index: usize, cells: u64) -> f64 {
        let class = &self.classes[class_index];
        let best_pace = if class.best_pace.is_finite() {
            class.best_pace
        } else {
            ASSUMED_PACE
        };
        let pooled_pace = class
            .pooled_pace_by_cells
            .iter()
            .filter(|(engine_cells, _)| cells == 0 || *engine_cells & cells != 0)
            .map(|(_, pace)| pace.decayed(self.now, PACE_HALF_LIFE))
            .fold(WeightedSum::default(), WeightedSum::plus);
        self.shrink(pooled_pace, class_index, best_pace)
    }

    /// A mean with a prior: the less weight it has, the closer the result is to `prior_mean`.
    fn shrink(&self, measured: WeightedSum, class_index: usize, prior_mean: f64) -> f64 {
        let prior_weight = PRIOR_REQUESTS * self.typical_work(class_index);
        (measured.sum + prior_mean * prior_weight) / (measured.weight + prior_weight)
    }

    /// How many times slower the engine is now than at the best pace: the mean over all classes,
    /// weighted by how much is known of each; 1 when nothing is known.
    pub(super) fn slowdown(&self, engine: &Engine) -> f64 {
        let mut sum = 0.0;
        let mut weight = 0.0;
        for (class_index, class) in self.classes.iter().enumerate() {
            if !class.best_pace.is_finite() {
                continue;
            }
            let pace = engine.pace_by_class[class_index].decayed(self.now, PACE_HALF_LIFE);
            let requests = pace.weight / self.typical_work(class_index) + PRIOR_REQUESTS;
            sum += requests * self.pace(engine, class_index) / class.best_pace;
            weight += requests;
        }
        // With no class known this is 0 / 0, which `max` replaces.
        (sum / weight).max(1.0)
    }

    /// How long a request takes now at the pace of the engines in these cells, in ms.
    pub(super) fn service_time(&self, class_index: usize, cells: u64, work: Millis) -> Millis {
        work / self.config.classes[class_index].threads * self.pooled_pace(class_index, cells)
    }

    /// How long to send nothing to an engine that is full, in ms: about the time in which this
    /// gateway receives as many requests as there are engines. With hundreds of gateways, each
    /// reaches a given engine so rarely that a shorter backoff would keep nothing away from it.
    pub(super) fn full_engine_backoff(&self) -> Millis {
        let requests: f64 = self
            .classes
            .iter()
            .map(|class| class.work.decayed(self.now, WORK_HALF_LIFE).weight)
            .sum();
        let time_for_all_engines = self.engines.len() as f64 * WORK_HALF_LIFE / requests;
        time_for_all_engines.clamp(RECOVERY_PROBE_INTERVAL, WORK_HALF_LIFE)
    }
}
