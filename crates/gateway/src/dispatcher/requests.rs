//! Handles messages about requests from clients and from engines' actors: arrival, cancellation, end of an attempt.

use super::executor::OpenRequest;
use super::Dispatcher;
use async_channel::Sender;
use ironstair::{Millis, Outcome, Request};
use ironstair_cells::Placement;
use ironstair_runtime::pool::BufferChain;
use ironstair_runtime::{NewRequest, Reply, RequestId};
use std::rc::Rc;

impl Dispatcher {
    /// Passes a new request to the policy. A request is answered here if its id is in use or was left by its client, too many requests are open,
    /// or the cells reject it for lack of a ready engine.
    pub(super) fn on_request(&mut self, new: NewRequest) {
        let executor = &mut self.executor;
        let is_open = executor.request_ids.find(new.id).is_some();
        if is_open || executor.departed_requests.contains(&new.id, executor.now) {
            // The id continues to refer to the earlier request. The send fails only if the client is gone.
            let _ = new.reply_to.try_send(Reply::DuplicateId(new.call_id));
            return;
        }
        let max_open_requests = executor.shared.transport_config().max_open_requests;
        if executor.open_requests >= max_open_requests {
            reject(&new, 0.0);
            return;
        }
        let now = executor.now;
        let tenant = new.tenant.unwrap_or(new.request.table_group);
        let directory = executor.cells.as_mut();
        let cells = match directory.map(|directory| directory.place(now, tenant)) {
            None => 0,
            Some(Placement::Cells(cells)) => cells.0,
            Some(Placement::Rejected { retry_after }) => {
                reject(&new, retry_after);
                return;
            }
        };
        let client_deadline = new.received_at + new.request.time_remaining;
        let deadline = client_deadline.min(executor.shutdown_at);
        let request = Request {
            time_remaining: deadline - now,
            cells,
            ..new.request
        };
        let index = self.open_request(new, tenant, deadline);
        self.policy
            .on_request(now, index, request, &mut self.executor);
    }

    /// Stores a request and returns its index.
    fn open_request(&mut self, new: NewRequest, tenant: u64, deadline: Millis) -> usize {
        let executor = &mut self.executor;
        executor.set_open_requests(executor.open_requests + 1);
        executor.counts(new.request.class).accepted += 1;
        let index = executor.request_ids.intern(new.id);
        if executor.requests.len() <= index {
            executor.requests.resize_with(index + 1, || None);
        }
        executor.requests[index] = Some(OpenRequest {
            call_id: new.call_id,
            class: new.request.class,
            received_at: new.received_at,
            tenant,
            deadline,
            statement: Rc::new(new.statement),
            idempotency_key: new.idempotency_key,
            priority: None,
            reply_to: Some(new.reply_to),
            client_is_waiting: new.client_is_waiting,
            has_client_left: false,
            sent_attempt: None,
            tried_engines: Vec::new(),
            used_connections: Rc::default(),
        });
        index
    }

    /// The client has cancelled a request.
    pub(super) fn on_cancel(&mut self, id: RequestId, client: &Sender<Reply>) {
        let Some(index) = self.request_of_client(id, client) else {
            return;
        };
        let Some(request) = self.executor.request(index) else {
            return;
        };
        request.reply_to = None;
        request.has_client_left = true;
        let class = request.class;
        self.executor.counts(class).cancelled += 1;
        let now = self.executor.now;
        self.policy.on_cancel(now, index, &mut self.executor);
    }

    /// The client has closed the connection, or at least its sending half: no further attempt of the request starts.
    pub(super) fn on_client_closed(&mut self, id: RequestId, client: &Sender<Reply>) {
        if let Some(index) = self.request_of_client(id, client) {
            if let Some(request) = self.executor.request(index) {
                request.has_client_left = true;
            }
            let now = self.executor.now;
            self.policy.on_client_closed(now, index, &mut self.executor);
        }
    }

    /// The index of the open request with that id, if that client sent it: a client must not cancel another client's
    /// request by its id.
    fn request_of_client(&mut self, id: RequestId, client: &Sender<Reply>) -> Option<usize> {
        let index = self.executor.request_ids.find(id)?;
        let request = self.executor.request(index)?;
        let owner = request.reply_to.as_ref()?;
        owner.same_channel(client).then_some(index)
    }

    /// An attempt has ended; `rows` is its complete result, if it succeeded.
    pub(super) fn on_attempt_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        rows: Option<BufferChain>,
    ) {
        let executor = &mut self.executor;
        let Some(index) = executor.request_ids.find(id) else {
            return;
        };
        let is_waiting = match executor.request(index) {
            Some(request) => {
                let is_waiting = request.reply_to.is_some();
                let tenant = request.tenant;
                if let Some(sent) = request.sent_attempt.take() {
                    executor.on_attempt_in_cells_ended(tenant, sent.cells);
                }
                is_waiting
            }
            None => false,
        };
        if is_waiting && rows.is_some() {
            executor.count_completed(index);
        }
        let is_answered = rows.is_some_and(|rows| {
            executor.answer(index, |call_id| Reply::Completed { call_id, rows })
        });
        let is_closed = is_answered || !is_waiting;
        let now = executor.now;
        self.policy
            .on_attempt_ended(now, index, outcome, is_closed, &mut self.executor);
    }
}

fn reject(new: &NewRequest, retry_after: Millis) {
    // Fails only if the client is gone.
    let _ = new.reply_to.try_send(Reply::Rejected {
        call_id: new.call_id,
        retry_after,
    });
}
