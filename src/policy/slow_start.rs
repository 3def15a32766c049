//! Slow start: how much work all gateways together may send to an engine that is warming up.

use super::Gateway;
use crate::random::{mix, to_unit_interval};
use crate::state::{Engine, PendingRequest};
use crate::Millis;

/// The share of an engine's cold capacity that is used. The capacity, and what the other gateways
/// send, are only estimates.
const SLOW_START_SHARE: f64 = 0.9;
/// The work per core and ms from which an engine's capacity is calculated.
const WORK_PER_CORE: f64 = 0.85;
/// Only half of a linear warm-up is assumed, because engines do not report how warm they are.
const WARM_UP_DIVISOR: f64 = 2.0;
/// Any interval of a window's length overlaps two windows of a gateway, each with its own draw.
/// Dividing the probability between them keeps the mean at the allowance.
const DRAWS_PER_WINDOW: f64 = 2.0;

/// What this gateway may send to a cold engine within any window, and has sent in the last one, in
/// ms on a thread.
pub(super) struct SlowStartAllowance {
    pub(super) allowed: Millis,
    pub(super) sent: Millis,
}

impl SlowStartAllowance {
    /// What may still be sent.
    pub(super) fn remaining(&self) -> Millis {
        (self.allowed - self.sent).max(0.0)
    }
}

impl Gateway {
    /// The allowance of an engine that is warming up; none for a warm one.
    pub(super) fn slow_start_allowance(&self, engine: &Engine) -> Option<SlowStartAllowance> {
        let age = self.now - engine.endpoint.started_at;
        let has_started = engine.endpoint.started_at > 0.0;
        if !has_started || age >= self.config.slow_start_duration {
            return None;
        }
        let window_start = self.now - self.config.overload_window;
        let sent = engine
            .recently_sent
            .iter()
            .filter(|sent| sent.sent_at >= window_start)
            .map(|sent| sent.work)
            .sum();
        Some(SlowStartAllowance {
            allowed: self.even_share_of_cold_capacity(engine, age),
            sent,
        })
    }

    /// This gateway's even share of the work that a cold engine can take in a window, in ms on a
    /// thread.
    fn even_share_of_cold_capacity(&self, engine: &Engine, age: Millis) -> Millis {
        let config = &self.config;
        let warmed_up = (age / config.slow_start_duration).clamp(0.0, 1.0);
        let capacity =
            config.slow_start_from + (1.0 - config.slow_start_from) * warmed_up / WARM_UP_DIVISOR;
        SLOW_START_SHARE
            * config.overload_factor
            * capacity
            * WORK_PER_CORE
            * engine.cores
            * config.overload_window
            / config.gateway_count
    }

    /// Whether the slow-start allowance of the engine leaves room for the request. Prevents
    /// gateways from overloading an engine that has just started, with caches that are still cold.
    ///
    /// With many gateways the allowance of one may be below one request. A request beyond the
    /// allowance is then granted with a probability of half the fraction of a request that is
    /// allowed, drawn once for each window. All gateways together keep to the allowance on average,
    /// and no gateway accumulates draws for a burst.
    pub(super) fn fits_slow_start(&self, pending: &PendingRequest, engine: &Engine) -> bool {
        let Some(allowance) = self.slow_start_allowance(engine) else {
            return true;
        };
        let typical_work = self.typical_work(pending.request.class);
        if allowance.sent + typical_work <= allowance.allowed {
            return true;
        }
        let requests_allowed = allowance.allowed / typical_work;
        self.share_below_one_query
            && allowance.sent <= allowance.allowed
            && self.window_draw(engine) < requests_allowed.fract() / DRAWS_PER_WINDOW
    }

    /// A number in [0, 1) drawn for this gateway, the engine and the current window. The windows of
    /// different gateways begin at different times, so that their draws do not take effect at the
    /// same time.
    fn window_draw(&self, engine: &Engine) -> f64 {
        let gateway_and_engine = mix(self.seed_hash ^ engine.endpoint.id);
        let window =
            (self.now / self.config.overload_window + to_unit_interval(gateway_and_engine)) as u64;
        to_unit_interval(mix(gateway_and_engine ^ window))
    }
}
