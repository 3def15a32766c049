//! Tests the executor of the policy's actions without engine actors.

use super::executor::{ActionExecutor, KnownEndpoint, OpenRequest};
use async_channel::Sender;
use async_executor::LocalExecutor;
use ironstair::{Actions, EndpointState, Millis};
use ironstair_runtime::clock::Clock;
use ironstair_runtime::pool::BufferPool;
use ironstair_runtime::receive_memory::ReceiveMemory;
use ironstair_runtime::{
    ConnectionNumbers, DiscoveredEndpoint, EngineMessage, Metrics, Shared, Statement,
    StatementMemory,
};
use ironstair_settings::TransportConfig;
use slog::{o, Discard, Logger};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

const MAX_DEADLINE: Millis = 5000.0;

fn test_executor() -> ActionExecutor {
    let transport_config = TransportConfig {
        connect_timeout: 250.0,
        idle_timeout: 3e4,
        max_attempts_per_connection: 32,
        max_open_requests: 100,
        max_deadline: MAX_DEADLINE,
        report_fields: Vec::new(),
    };
    let (dispatcher, _) = async_channel::bounded(1);
    let shared = Rc::new(Shared {
        clock: Clock::start(),
        pool: BufferPool::with_capacity(1 << 16),
        receive_memory: ReceiveMemory::with_capacity(1 << 16),
        statement_memory: StatementMemory::with_capacity(1 << 16),
        classes: RefCell::default(),
        max_deadline: Cell::new(MAX_DEADLINE),
        longest_deadline: Cell::new(MAX_DEADLINE),
        metrics: Metrics::default(),
        accepts_tenant_names: false,
        transport_config: RefCell::new(Rc::new(transport_config)),
        max_engine_connections: 8,
        connection_numbers: ConnectionNumbers::default(),
        endpoint_count: Cell::new(0),
        lease_until: Cell::new(Millis::INFINITY),
        log: Logger::root(Discard, o!()),
        dispatcher,
        executor: Rc::new(LocalExecutor::new()),
    });
    ActionExecutor::new(shared, None)
}

fn ready_endpoint(queue: Sender<EngineMessage>) -> KnownEndpoint {
    let discovered = DiscoveredEndpoint {
        address: ([127, 0, 0, 1], 9).into(),
        zone: 0,
        machine_type: 0,
        dedup_domain: 0,
        state: EndpointState::Ready,
        started_at: 0.0,
    };
    KnownEndpoint {
        name: "e1".into(),
        discovered,
        queue: Some(queue),
        connection_count: Rc::default(),
        state: Rc::new(Cell::new(EndpointState::Ready)),
    }
}

fn open_request() -> OpenRequest {
    let statement = Statement::store(Vec::new(), &StatementMemory::with_capacity(0));
    OpenRequest {
        call_id: 1,
        class: 0,
        received_at: 0.0,
        tenant: 0,
        deadline: MAX_DEADLINE,
        statement: Rc::new(statement.unwrap()),
        idempotency_key: None,
        priority: None,
        reply_to: None,
        client_is_waiting: Rc::new(Cell::new(true)),
        has_client_left: false,
        sent_attempt: None,
        tried_engines: Vec::new(),
        used_connections: Rc::default(),
    }
}

/// Guards against a lost timer: the policy asks again only when its latest wake-up is due. If an earlier one were kept
/// in place of the latest, it would find nothing due, and an idle gateway would sleep past the deadlines of its
/// requests.
#[test]
fn newer_wake_up_replaces_one_that_is_due() {
    let mut executor = test_executor();
    executor.now = 10.0;
    executor.wake_after(5.0);
    executor.now = 16.0;
    executor.wake_after(5.0);
    assert_eq!(executor.next_wake_at, Some(21.0));
}

#[test]
fn withdrawal_is_delivered_although_the_engine_queue_is_full() {
    let mut executor = test_executor();
    let (queue, messages) = async_channel::bounded(2);
    executor.engines.push(Some(ready_endpoint(queue.clone())));
    let request = executor.request_ids.intern(*b"0000000000000001");
    executor.requests.push(Some(open_request()));
    executor.start_attempt(request, 0, MAX_DEADLINE);
    assert!(queue.try_send(EngineMessage::RequestLoadReport).is_ok());

    executor.withdraw_attempt(request, 0);

    let Ok(EngineMessage::StartAttempt(attempt)) = messages.try_recv() else {
        panic!("the attempt is missing from the queue")
    };
    assert!(
        !attempt.may_start(0.0),
        "withdrawn while it is queued, before the message about the withdrawal arrives"
    );
    assert!(matches!(
        messages.try_recv(),
        Ok(EngineMessage::RequestLoadReport)
    ));
    while executor.shared.executor.try_tick() {}
    let Ok(EngineMessage::WithdrawAttempt(withdrawn)) = messages.try_recv() else {
        panic!("the withdrawal is missing from the queue")
    };
    assert!(Rc::ptr_eq(&withdrawn, &attempt));
}
