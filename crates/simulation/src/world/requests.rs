//! Requests between clients and gateways.

use super::World;
use crate::clients::random_index;
use crate::event::Event;
use crate::gateway::SlotUse;
use crate::network::RECONNECT_DELAY;
use ironstair::{Millis, Request as PolicyRequest};

/// A client does not send a request with less time than this until its deadline.
const MIN_TIME_REMAINING: Millis = 1.0;
/// How often a client draws a random gateway before it stays with its current one.
const MAX_GATEWAY_DRAWS: usize = 8;

impl World {
    pub(super) fn create_request(&mut self) {
        let now = self.clock.now();
        let interval = self.clients.next_interval(&mut self.random);
        self.clock.schedule_after(interval, Event::RequestCreated);
        let request = self.clients.create_request(&mut self.random, now);
        let value = self.clients.requests[request].value();
        self.metrics.second_mut(now).requested += value;
        let gateway = random_index(&mut self.random, self.gateways.len());
        self.clock
            .schedule_after(0.0, Event::RequestArrives { request, gateway });
    }

    /// A request reaches a gateway. If the gateway's process is down, the client connects to another gateway.
    pub(super) fn accept_request(&mut self, request: usize, gateway: usize) {
        let now = self.clock.now();
        let request_state = &mut self.clients.requests[request];
        if request_state.is_finished || request_state.deadline <= now + MIN_TIME_REMAINING {
            return;
        }
        if !self.gateways[gateway].is_up {
            return self.reconnect(request, gateway);
        }
        let is_retry = request_state.tries > 0;
        request_state.tries += 1;
        let policy_request = PolicyRequest {
            class: request_state.class,
            time_remaining: request_state.deadline - now,
            work: Some(request_state.work),
            table_group: request_state.table_group,
            is_retry,
            ..PolicyRequest::default()
        };
        self.slot_use_count += 1;
        let slot = self.gateways[gateway].slots.occupy(SlotUse {
            request,
            use_number: self.slot_use_count,
            engine: None,
            is_answered: false,
        });
        self.call_policy(gateway, |policy, now, actions| {
            policy.on_request(now, slot, policy_request, actions);
        });
    }

    /// The client of a gateway whose process has ended connects to another gateway.
    pub(super) fn reconnect(&mut self, request: usize, ended_gateway: usize) {
        let gateway = self.other_gateway(ended_gateway);
        self.clock
            .schedule_after(RECONNECT_DELAY, Event::RequestArrives { request, gateway });
    }

    /// Answers a request that was not executed successfully: it is rejected with advice if `retry_after` is given, and
    /// otherwise failed. The client may retry it at another gateway.
    pub(super) fn answer_unsettled(
        &mut self,
        gateway: usize,
        slot: usize,
        retry_after: Option<Millis>,
    ) {
        let now = self.clock.now();
        let Some(slot_use) = self.gateways[gateway].slots.get_mut(slot) else {
            return;
        };
        let request = slot_use.request;
        if std::mem::replace(&mut slot_use.is_answered, true) {
            let violation = format!("two answers for submission {request} at {now:.0} ms");
            return self.metrics.record_violation(violation);
        }
        let second = self.metrics.second_mut(now);
        match retry_after {
            Some(_) => second.rejected += 1,
            None => second.failed += 1,
        }
        match self.retry_at(request, retry_after) {
            Some(at) => {
                let gateway = self.other_gateway(gateway);
                self.clock
                    .schedule_after(at - now, Event::RequestArrives { request, gateway });
            }
            None => self.clients.requests[request].is_finished = true,
        }
    }

    /// When the client retries, if it does. A failed request may have been executed, so the client does not retry it if
    /// it may be executed only once.
    fn retry_at(&self, request: usize, retry_after: Option<Millis>) -> Option<Millis> {
        let request_state = &self.clients.requests[request];
        let may_retry = retry_after.is_some() || !request_state.is_non_idempotent();
        if !may_retry || request_state.is_finished {
            return None;
        }
        request_state.retry_at(self.clock.now(), retry_after.unwrap_or(0.0))
    }

    /// A random running gateway other than `gateway`, or `gateway` if [`MAX_GATEWAY_DRAWS`] draws find none.
    fn other_gateway(&mut self, gateway: usize) -> usize {
        let count = self.gateways.len();
        (0..MAX_GATEWAY_DRAWS)
            .map(|_| random_index(&mut self.random, count))
            .find(|drawn| *drawn != gateway && self.gateways[*drawn].is_up)
            .unwrap_or(gateway)
    }
}
