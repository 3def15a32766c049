//! Events: discovery delivers endpoints, or the connection to it is lost.

use crate::policy::Gateway;
use crate::state::Engine;
use crate::{Actions, Endpoint, EndpointState, Millis};

/// The shortest delay before the endpoint list is requested again, in ms.
const MIN_RESUBSCRIBE_DELAY: Millis = 500.0;
/// The range of the random delay added to that, in ms: all gateways lose the connection to
/// discovery at the same time, and would otherwise all request the list at once.
const RESUBSCRIBE_SPREAD: u64 = 1000;

impl Gateway {
    /// Discovery delivers the complete endpoint list (`is_complete`) or the endpoints that changed.
    /// An endpoint missing from a complete list is gone.
    pub fn update_endpoints(
        &mut self,
        now: Millis,
        is_complete: bool,
        endpoints: &[Endpoint],
        actions: &mut dyn Actions,
    ) {
        self.engine_order_by_table_group.get_mut().clear();
        if is_complete {
            for engine in &mut self.engines {
                engine.endpoint.state = EndpointState::Gone;
            }
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.on_timer(now, actions);
    }

    /// The connection to discovery is lost. Changes no longer arrive, so the endpoint list has to
    /// be requested again.
    pub fn endpoint_watch_lost(&mut self, now: Millis, actions: &mut dyn Actions) {
        let spread = (self.random.draw() % RESUBSCRIBE_SPREAD) as f64;
        let resubscribe_at = now + MIN_RESUBSCRIBE_DELAY + spread;
        self.resubscribe_at = self.config.must_subscribe.then_some(resubscribe_at);
        self.on_timer(now, actions);
    }

    /// Updates one engine. If it has restarted, or another engine has its index, its state is
    /// reset, except for the threads of attempts that have not ended yet.
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
