//! Rule: eject an engine that fails much more often than its peers.

use crate::policy::engine_health::{FAILURES_TO_EJECT, RECOVERY_PROBE_INTERVAL};
use crate::policy::Gateway;
use crate::state::{Ejection, Engine};
use crate::Actions;

/// An engine is an outlier if its failure rate is more than this many times the combined failure
/// rate of all other ready engines.
const OUTLIER_FAILURE_RATIO: f64 = 2.0;

/// The recent outcomes of all ready engines, added up.
#[derive(Default)]
struct PooledOutcomes {
    ready: usize,
    ejected: usize,
    failures: u32,
    seen: u32,
}

impl PooledOutcomes {
    fn from_ready_engines(engines: &[Engine]) -> Self {
        let mut pooled = PooledOutcomes::default();
        for engine in engines.iter().filter(|engine| engine.is_ready()) {
            pooled.ready += 1;
            pooled.ejected += usize::from(engine.ejection.is_some());
            pooled.failures += engine.outcomes.failures();
            pooled.seen += engine.outcomes.seen();
        }
        pooled
    }

    /// Whether one more engine may be ejected. At most half of the ready engines may be: if all
    /// fail together, ejecting more would only move the load.
    fn may_eject_another(&self) -> bool {
        (self.ejected + 1) * 2 <= self.ready
    }

    fn is_outlier(&self, engine: &Engine) -> bool {
        let failures = engine.outcomes.failures();
        let seen = engine.outcomes.seen();
        let own_rate = failure_rate(failures, seen);
        let rate_of_others = failure_rate(self.failures - failures, self.seen - seen);
        failures >= FAILURES_TO_EJECT && own_rate > OUTLIER_FAILURE_RATIO * rate_of_others
    }
}

/// Failures as a fraction of the outcomes seen; 0 if there are none.
fn failure_rate(failures: u32, seen: u32) -> f64 {
    f64::from(failures) / f64::from(seen.max(1))
}

impl Gateway {
    /// Ejects the outlier with the most failures. Prevents requests from being lost to an engine
    /// that returns errors, does not answer, answers much too late or refuses connections. Reads
    /// the recent outcomes of all ready engines. Similar to outlier detection by failure percentage
    /// in Envoy.
    pub(in crate::policy) fn eject_outlier(&mut self, actions: &mut dyn Actions) -> bool {
        let pooled = PooledOutcomes::from_ready_engines(&self.engines);
        if !pooled.may_eject_another() {
            return false;
        }
        let outliers = self
            .engines
            .iter_mut()
            .filter(|engine| engine.is_in_use() && pooled.is_outlier(engine));
        let Some(engine) = outliers.max_by_key(|engine| engine.outcomes.failures()) else {
            return false;
        };
        engine.ejection = Some(Ejection {
            next_probe_at: self.now + RECOVERY_PROBE_INTERVAL,
            probe_interval: RECOVERY_PROBE_INTERVAL,
        });
        actions.log(&format!(
            "engine {:012x} ejected: {} of {} failed",
            engine.endpoint.id,
            engine.outcomes.failures(),
            engine.outcomes.seen()
        ));
        true
    }
}
