//! Event: an engine reports its load.

use crate::policy::engine_health::THREADS_PER_CORE;
use crate::policy::Gateway;
use crate::state::LoadReport;
use crate::{Actions, LoadMetric, Millis};

/// Threads assumed for each query that an engine holds, until an attempt of this gateway has ended.
const ASSUMED_THREADS_PER_QUERY: f64 = 1.0;

impl Gateway {
    /// An engine reports its load. `values` are in the order of
    /// [`report_fields`](crate::PolicyConfig::report_fields). An empty report, or one without a
    /// finite value, leaves the earlier one in place.
    pub fn on_load_report(
        &mut self,
        now: Millis,
        engine: usize,
        values: &[f64],
        actions: &mut dyn Actions,
    ) {
        if let Some(share) = self.largest_share_in_use(engine, values) {
            self.engines[engine].load_report = Some(LoadReport { at: now, share });
        }
        self.on_timer(now, actions);
    }

    /// The largest share in use of the engine's resources. A number of held queries is converted to
    /// a share of the threads that the engine's cores serve.
    fn largest_share_in_use(&self, engine: usize, values: &[f64]) -> Option<f64> {
        let threads_per_query = self
            .threads_per_attempt
            .mean()
            .unwrap_or(ASSUMED_THREADS_PER_QUERY);
        let share_per_query = threads_per_query / (self.engines[engine].cores * THREADS_PER_CORE);
        let loads = self.config.report_fields.iter().zip(values);
        let shares = loads.filter_map(|(load, value)| match load {
            LoadMetric::Utilization => Some(*value),
            LoadMetric::HeldQueries => Some(value * share_per_query),
            LoadMetric::Other => None,
        });
        shares
            .filter(|share| share.is_finite())
            .max_by(f64::total_cmp)
    }
}
