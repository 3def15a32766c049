//! Rule: ask engines for their load before a heavy request is sent.

use crate::policy::Gateway;
use crate::state::{LoadReport, PendingRequest};
use crate::Actions;

/// The load assumed for an engine from the probe until its report arrives, so that a hung engine
/// does not look idle.
const LOAD_WHILE_PROBED: f64 = 1.0;

impl Gateway {
    /// Prevents many gateways from sending heavy queries to the same engine at once: each gateway
    /// has too few attempts in flight to infer the load that the others cause. Reads the load
    /// reports of the engines in the request's order until one has room. If none before it has
    /// room, the first engine of unknown load is probed, which takes one probe token.
    pub(in crate::policy) fn probe_engines(&mut self, actions: &mut dyn Actions) -> bool {
        for class_index in 0..self.classes.len() {
            if self.probe_tokens < 1.0 || !self.probes_enabled || !self.is_heavy(class_index) {
                continue;
            }
            let Some(&index) = self.candidates(class_index).first() else {
                continue;
            };
            if let Some(engine) = self.engine_to_probe(&self.requests[index]) {
                self.probe_tokens -= 1.0;
                self.engines[engine].load_report = Some(LoadReport {
                    at: self.now,
                    share: LOAD_WHILE_PROBED,
                });
                actions.probe(engine);
                return true;
            }
        }
        false
    }

    /// The first engine of unknown load, unless one before it is known to have room.
    fn engine_to_probe(&self, pending: &PendingRequest) -> Option<usize> {
        for engine_index in self.engine_order(pending) {
            let engine = &self.engines[engine_index];
            match engine.valid_load_report(self.now) {
                None => return Some(engine_index),
                Some(report) if self.passes_load_draw(pending, engine, report) => return None,
                Some(_) => {}
            }
        }
        None
    }
}
