//! Events: a gateway starts, its settings change, the lease on them is renewed, all keys are
//! quarantined.

use crate::policy::engine_health::THREADS_PER_CORE;
use crate::policy::pace::WORK_HALF_LIFE;
use crate::policy::Gateway;
use crate::random::{mix, Pcg};
use crate::state::ClassState;
use crate::{Actions, LoadMetric, Millis, PolicyConfig};
use std::sync::Arc;

/// The weight of an assumed value, so low that the first sample practically replaces it.
const NEGLIGIBLE_WEIGHT: f64 = 1e-6;

impl Gateway {
    /// Creates a gateway that has processed no event. Its random draws derive from `seed`.
    pub fn new(config: PolicyConfig, seed: u64) -> Self {
        let mut gateway = Gateway {
            random: Pcg(seed),
            seed_hash: mix(seed),
            resubscribe_at: config.must_subscribe.then_some(0.0),
            lease_until: Millis::INFINITY,
            ..Default::default()
        };
        gateway.apply_config(config);
        gateway
    }

    /// Replaces the settings. Existing classes keep their indices; new ones may be appended.
    /// Requests that arrived earlier keep their deadline, objective and order, and are subject to
    /// the stricter of the settings of their class on arrival and now. Statistics are kept.
    pub fn update_config(&mut self, now: Millis, config: PolicyConfig, actions: &mut dyn Actions) {
        let classes_before = self.classes.len();
        self.apply_config(config);
        for engine in &mut self.engines {
            engine.apply_config(&self.config);
        }
        self.assume_work_of_new_classes(now, classes_before);
        self.on_timer(now, actions);
    }

    /// Renews the lease: the settings are valid until `until`, and queued requests are rejected
    /// from then on.
    pub fn renew_lease(&mut self, now: Millis, until: Millis, actions: &mut dyn Actions) {
        self.lease_until = until;
        self.on_timer(now, actions);
    }

    /// Quarantines all keys: no request that has to keep the order of its key starts before
    /// `until`.
    pub fn quarantine_keys(&mut self, until: Millis) {
        self.keys_quarantined_until = until;
    }

    /// Stores the settings and the values derived from them.
    fn apply_config(&mut self, mut config: PolicyConfig) {
        self.classes
            .resize_with(config.classes.len(), ClassState::default);
        for (class, policy) in self.classes.iter_mut().zip(&config.classes) {
            class.policy = Arc::new(policy.clone());
        }
        config.may_probe &= config
            .report_fields
            .iter()
            .any(|load| *load != LoadMetric::Other);
        self.share_below_one_query = is_share_below_one_query(&config);
        self.probes_enabled = self.share_below_one_query && config.may_probe;
        self.config = config;
    }

    /// Gives new classes an assumed typical work. A class without any would disable weighting by
    /// work for all classes until its first request (see `Gateway::weight`).
    fn assume_work_of_new_classes(&mut self, now: Millis, first_new: usize) {
        let classes = self.classes.iter_mut().zip(&self.config.classes);
        for (class, policy) in classes.skip(first_new) {
            let work = policy.base_objective * policy.threads;
            let weighted_work = work * NEGLIGIBLE_WEIGHT;
            class
                .work
                .add(now, WORK_HALF_LIFE, weighted_work, NEGLIGIBLE_WEIGHT);
        }
    }
}

/// Whether one gateway's even share of an engine has, for every machine type, fewer threads than
/// one query of the class with the most threads.
fn is_share_below_one_query(config: &PolicyConfig) -> bool {
    let threads = config.classes.iter().map(|class| class.threads);
    let max_threads = threads.fold(0.0, f64::max);
    let mut machine_types = config.machine_types.iter();
    machine_types
        .all(|machine| machine.cores * THREADS_PER_CORE / config.gateway_count < max_threads)
}
