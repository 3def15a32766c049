//! Executes the policy's actions, and holds the state of all open requests and endpoints.

use super::departed_requests::DepartedRequests;
use crate::engine::Engine;
use async_channel::Sender;
use ironstair::interner::Interner;
use ironstair::{Actions, EndpointState, Millis, Outcome, PolicyConfig};
use ironstair_cells::{CellDirectory, Cells};
use ironstair_coordination::Share;
use ironstair_data_tree::state::Counts;
use ironstair_runtime::{
    Attempt, DiscoveredEndpoint, DispatcherMessage, EngineMessage, Reply, RequestId, Shared,
    Statement, UsedConnections,
};
use slog::info;
use std::cell::Cell;
use std::rc::Rc;

/// Capacity of an engine actor's queue. An attempt that does not fit is reported as unsent.
const ENGINE_QUEUE_CAPACITY: usize = 1024;

/// A request from its arrival until the policy forgets it.
pub(super) struct OpenRequest {
    /// The number of the client's call.
    pub(super) call_id: u64,
    /// The index of its class.
    pub(super) class: usize,
    pub(super) received_at: Millis,
    pub(super) tenant: u64,
    /// When the client gives up or the process ends, whichever is earlier.
    pub(super) deadline: Millis,
    pub(super) statement: Rc<Statement>,
    pub(super) idempotency_key: Option<Rc<str>>,
    pub(super) priority: Option<u8>,
    /// Receives the final answer; `None` once it is sent, or the client has cancelled the request.
    pub(super) reply_to: Option<Sender<Reply>>,
    /// Cleared by the actor of the client's connection; this takes effect before any queued message.
    pub(super) client_is_waiting: Rc<Cell<bool>>,
    /// The client has cancelled the request, or closed its connection.
    pub(super) has_client_left: bool,
    /// The attempt in flight.
    pub(super) sent_attempt: Option<SentAttempt>,
    /// Indices of the engines that it was sent to. The policy refers to them as long as the request is open.
    pub(super) tried_engines: Vec<usize>,
    /// The connections on which its attempts have started.
    pub(super) used_connections: Rc<UsedConnections>,
}

/// An attempt that was sent to an engine's actor.
pub(super) struct SentAttempt {
    pub(super) attempt: Rc<Attempt>,
    /// The engine's index.
    pub(super) engine: usize,
    /// The engine's cells when the attempt was sent.
    pub(super) cells: Cells,
}

/// An endpoint of the list, with its actor.
pub(super) struct KnownEndpoint {
    pub(super) name: String,
    pub(super) discovered: DiscoveredEndpoint,
    /// The queue of its actor. The actor is started with the first message, so that an unused endpoint needs neither a
    /// task nor a queue.
    pub(super) queue: Option<Sender<EngineMessage>>,
    /// The number of connections to the engine; its actor updates it.
    pub(super) connection_count: Rc<Cell<u32>>,
    /// The endpoint's state, shared with the attempts sent to it.
    pub(super) state: Rc<Cell<EndpointState>>,
}

impl KnownEndpoint {
    /// Ends the actor, because this process of the engine has ended. The state keeps attempts that are still queued
    /// from starting.
    pub(super) fn close(&self) {
        self.state.set(EndpointState::Gone);
        if let Some(queue) = &self.queue {
            queue.close();
        }
    }
}

/// Executes the policy's actions immediately, and owns the state that they change.
pub(super) struct ActionExecutor {
    pub(super) shared: Rc<Shared>,
    /// The time at which the current message is handled.
    pub(super) now: Millis,
    /// Assigns indices to open requests.
    pub(super) request_ids: Interner<RequestId>,
    /// Open requests by index.
    pub(super) requests: Vec<Option<OpenRequest>>,
    pub(super) open_requests: usize,
    /// Requests that may have run, and whose client left.
    pub(super) departed_requests: DepartedRequests,
    /// Assigns indices to engines.
    pub(super) engine_ids: Interner<u64>,
    /// Endpoints by index.
    pub(super) engines: Vec<Option<KnownEndpoint>>,
    /// When the policy's timer expires; `None` if it is not set.
    pub(super) next_wake_at: Option<Millis>,
    /// When the process ends; infinite until the shutdown.
    pub(super) shutdown_at: Millis,
    /// Counters since the start of the process, by class.
    pub(super) class_counts: Vec<Counts>,
    /// The cells of engines and tenants, if the operator's file names cells.
    pub(super) cells: Option<CellDirectory>,
    /// The settings before this gateway's share is applied, kept for the next share; `None` without a fleet.
    pub(super) policy_config: Option<PolicyConfig>,
    /// This gateway's share of fleet-wide limits, if the fleet counts its members.
    pub(super) share: Option<Share>,
}

impl ActionExecutor {
    pub(super) fn new(shared: Rc<Shared>, cells: Option<CellDirectory>) -> Self {
        ActionExecutor {
            now: shared.clock.now(),
            shared,
            request_ids: Interner::default(),
            requests: Vec::new(),
            open_requests: 0,
            departed_requests: DepartedRequests::default(),
            engine_ids: Interner::default(),
            engines: Vec::new(),
            next_wake_at: None,
            shutdown_at: Millis::INFINITY,
            class_counts: Vec::new(),
            cells,
            policy_config: None,
            share: None,
        }
    }

    pub(super) fn request(&mut self, index: usize) -> Option<&mut OpenRequest> {
        self.requests.get_mut(index)?.as_mut()
    }

    pub(super) fn set_open_requests(&mut self, count: usize) {
        self.open_requests = count;
        self.shared.metrics.open_requests.set(count);
    }

    /// Sends the final answer of a request; false if it has already been sent, or the client has cancelled the request.
    pub(super) fn answer(&mut self, index: usize, reply: impl FnOnce(u64) -> Reply) -> bool {
        let Some(request) = self.request(index) else {
            return false;
        };
        let Some(client) = request.reply_to.take() else {
            return false;
        };
        if client.try_send(reply(request.call_id)).is_err() {
            // The connection is gone, or its queue is full because the client reads no replies: closing the queue ends
            // the connection.
            client.close();
        }
        true
    }

    /// The counters of a class.
    pub(super) fn counts(&mut self, class: usize) -> &mut Counts {
        if self.class_counts.len() <= class {
            self.class_counts.resize(class + 1, Counts::default());
        }
        &mut self.class_counts[class]
    }

    /// The counters for a request's class, if its client still waits.
    fn counts_if_waiting(&mut self, index: usize) -> Option<&mut Counts> {
        let request = self.request(index)?;
        let class = request.class;
        let is_waiting = request.reply_to.is_some();
        is_waiting.then(|| self.counts(class))
    }

    /// Counts a request that completed while its client waited.
    pub(super) fn count_completed(&mut self, index: usize) {
        let now = self.now;
        let Some(request) = self.request(index) else {
            return;
        };
        let class = request.class;
        let elapsed = now - request.received_at;
        let classes = self.shared.classes();
        let settings = classes.get(class);
        let is_late = settings.is_some_and(|class| elapsed > class.base_objective);
        let counts = self.counts(class);
        counts.completed += 1;
        counts.late += u64::from(is_late);
    }

    /// Records that an attempt of the tenant in these cells has ended, which may complete the tenant's migration.
    pub(super) fn on_attempt_in_cells_ended(&mut self, tenant: u64, cells: Cells) {
        let now = self.now;
        let Some(directory) = &mut self.cells else {
            return;
        };
        if directory.on_attempt_ended(now, tenant, cells) {
            info!(self.shared.log, "tenant migrated"; "tenant" => format!("{tenant:012x}"));
        }
    }

    /// Sends a message to an engine's actor; false if the engine is gone, or its queue is full.
    fn send_to_engine(&mut self, engine: usize, message: EngineMessage) -> bool {
        let Some(known) = self.engines.get_mut(engine).and_then(Option::as_mut) else {
            return false;
        };
        let shared = &self.shared;
        let queue = known.queue.get_or_insert_with(|| {
            let (queue, messages) = async_channel::bounded(ENGINE_QUEUE_CAPACITY);
            let actor = Engine::new(
                engine,
                known.discovered.address,
                shared.clone(),
                queue.clone(),
                known.connection_count.clone(),
            );
            shared.executor.spawn(actor.run(messages)).detach();
            queue
        });
        queue.try_send(message).is_ok()
    }

    /// Reports an attempt that no actor has received as unsent. A separate task sends the message: the dispatcher would
    /// block forever if it waited for space in its own queue.
    fn report_unsent(&self, id: RequestId) {
        let unsent = DispatcherMessage::AttemptEnded {
            id,
            outcome: Outcome::Unsent,
            rows: None,
        };
        let dispatcher = self.shared.dispatcher.clone();
        let report = async move {
            // Fails only once the dispatcher has ended.
            let _ = dispatcher.send(unsent).await;
        };
        self.shared.executor.spawn(report).detach();
    }

    fn cells_of_engine(&self, engine: usize) -> Cells {
        let directory = self.cells.as_ref();
        directory.map_or(Cells(0), |directory| {
            directory.engine_cells(self.engine_ids.id(engine))
        })
    }
}

impl Actions for ActionExecutor {
    fn start_attempt(&mut self, request: usize, engine: usize, start_before: Millis) {
        let id = self.request_ids.id(request);
        let cells = self.cells_of_engine(engine);
        let known = self.engines.get(engine).and_then(Option::as_ref);
        let endpoint_state = known.map_or_else(Rc::default, |known| known.state.clone());
        let Some(request) = self.request(request) else {
            return;
        };
        let attempt = Rc::new(Attempt {
            id,
            class: request.class,
            statement: request.statement.clone(),
            idempotency_key: request.idempotency_key.clone(),
            priority: Cell::new(request.priority),
            deadline: request.deadline,
            start_before: Cell::new(start_before),
            client_is_waiting: request.client_is_waiting.clone(),
            endpoint_state,
            started: Cell::new(false),
            used_connections: request.used_connections.clone(),
        });
        request.tried_engines.push(engine);
        request.sent_attempt = Some(SentAttempt {
            attempt: attempt.clone(),
            engine,
            cells,
        });
        self.counts(attempt.class).released += 1;
        if !self.send_to_engine(engine, EngineMessage::StartAttempt(attempt)) {
            self.report_unsent(id);
        }
    }

    fn withdraw_attempt(&mut self, request: usize, _nth: u8) {
        let Some(request) = self.request(request) else {
            return;
        };
        let Some(sent) = &request.sent_attempt else {
            return;
        };
        let engine = sent.engine;
        let attempt = sent.attempt.clone();
        attempt.withdraw();
        if self.send_to_engine(engine, EngineMessage::WithdrawAttempt(attempt.clone())) {
            return;
        }
        // The queue is full; a task waits for space. Without the message an attempt that has started would stay in
        // flight until its deadline.
        let known = self.engines.get(engine).and_then(Option::as_ref);
        if let Some(queue) = known.and_then(|known| known.queue.clone()) {
            let withdrawal = async move {
                // Fails only once the actor has ended, and every attempt with it.
                let _ = queue.send(EngineMessage::WithdrawAttempt(attempt)).await;
            };
            self.shared.executor.spawn(withdrawal).detach();
        }
    }

    fn set_priority(&mut self, request: usize, priority: u8, _grant_mb: f64) {
        // The memory grant is not sent: the engines' line protocol has no field for it.
        let id = self.request_ids.id(request);
        let Some(request) = self.request(request) else {
            return;
        };
        request.priority = Some(priority);
        if let Some(engine) = request.sent_attempt.as_ref().map(|sent| sent.engine) {
            self.send_to_engine(engine, EngineMessage::SetPriority { id, priority });
        }
    }

    fn reject(&mut self, request: usize, retry_after: Millis) {
        if let Some(counts) = self.counts_if_waiting(request) {
            counts.rejected += 1;
        }
        self.answer(request, |call_id| Reply::Rejected {
            call_id,
            retry_after,
        });
    }

    fn fail(&mut self, request: usize) {
        if let Some(counts) = self.counts_if_waiting(request) {
            counts.failed += 1;
        }
        self.answer(request, Reply::Failed);
    }

    fn subscribe(&mut self) {
        // Nothing to do: the discovery actor sends every change of the list without a subscription.
    }

    fn probe(&mut self, engine: usize) {
        self.send_to_engine(engine, EngineMessage::RequestLoadReport);
    }

    fn wake_after(&mut self, after: Millis) {
        // Replaces an earlier wake-up even if that one is already due. The policy requests the next wake-up only when
        // its latest one is due. An earlier one in its place would fire at once and find nothing due, and no timer
        // would be left: until the next message, requests would stay open past their deadlines.
        self.next_wake_at = Some(self.now + after);
    }

    fn log(&mut self, text: &str) {
        info!(self.shared.log, "{}", text);
    }

    fn forget(&mut self, request: usize) {
        let forgotten = self.requests.get_mut(request).and_then(Option::take);
        if let Some(forgotten) = forgotten {
            self.set_open_requests(self.open_requests - 1);
            if forgotten.has_client_left && !forgotten.used_connections.is_empty() {
                let id = self.request_ids.id(request);
                let until = self.now + self.shared.longest_deadline.get();
                self.departed_requests.insert(id, until);
            }
        }
        self.request_ids.release(request);
    }
}
