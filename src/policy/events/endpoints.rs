//! Events: discovery delivers endpoints, or its connection is lost.

use crate::policy::Gateway;
use crate::state::Engine;
use crate::{Actions, Endpoint, EndpointState, Millis};

/// The shortest delay before the endpoint list is requested again, in ms.
const MIN_RESUBSCRIBE_DELAY: Millis = 500.0;
/// Over how many ms the gateways spread their requests: all of them lose the endpoint list at the
/// same moment, and would ask for it together.
const RESUBSCRIBE_SPREAD: u64 = 1000;

impl Gateway {
    /// Discovery delivers the complete endpoint list (`full`) or the endpoints that changed. An
    /// endpoint missing from a complete list is gone.
    pub fn update_endpoints(
        &mut self,
        now: Millis,
        full: bool,
        endpoints: &[Endpoint],
        actions: &mut dyn Actions,
    ) {
        self.engine_order_by_table_group.get_mut().clear();
        if full {
            for engine in &mut self.engines {
                engine.endpoint.state = EndpointState::Gone;
            }
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.on_timer(now, actions);
    }

    /// The connection to discovery is lost: changes no longer arrive, and the endpoint list has to
    /// be requested again.
    pub fn endpoint_watch_lost(&mut self, now: Millis, actions: &mut dyn Actions) {
        let spread = (self.random.draw() % RESUBSCRIBE_SPREAD) as f64;
        let resubscribe_at = now + MIN_RESUBSCRIBE_DELAY + spread;
        self.resubscribe_at = self.config.must_subscribe.then_some(resubscribe_at);
        self.on_timer(now, actions);
    }

    /// Updates one engine. A restarted engine, or another one under the same index, keeps nothing
    /// of its predecessor's record but the threads of attempts that have not ended yet.
    fn update_endpoint(&mut self, endpoint: &Endpoint) {
        if self.engines.len() <= endpoint.engine {
            self.engines
                .resize_with(endpoint.engine + 1, Engine::default);
        }
        let engine = &mut self.engines[endpoint.engine];
        let is_new = engine.pace_by_class.is_empty();
        let has_restarted = engine.endpoint.started_at != endpoint.started_at;
        let is_replaced = engine.endpoint.id != endpoint.id;
        if is_new || has_restarted || is_replaced {
            *engine = Engine {
                threads: engine.threads,
                endpoint: *endpoint,
                ..Default::default()
            };
            engine.apply_config(&self.config);
        }
        engine.endpoint = *endpoint;
    }
}
