//! Tests an engine's actor over real connections. Each test steps the executor itself, and so controls which messages
//! are in the actor's queue at the same time.

use super::Engine;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use ironstair::{EndpointState, Millis, Outcome};
use ironstair_runtime::clock::Clock;
use ironstair_runtime::pool::BufferPool;
use ironstair_runtime::receive_memory::ReceiveMemory;
use ironstair_runtime::state_watch::ClassSummary;
use ironstair_runtime::{
    Attempt, ConnectionNumbers, DispatcherMessage, EngineMessage, Metrics, RequestId, Shared,
    Statement, StatementMemory, UsedConnections,
};
use ironstair_settings::TransportConfig;
use slog::{o, Discard, Logger};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the test waits for a condition until it fails.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_DEADLINE: Millis = 5000.0;

/// An engine's actor, with a listener of the test in place of the engine.
struct TestEngine {
    shared: Rc<Shared>,
    events: Receiver<DispatcherMessage>,
    queue: Sender<EngineMessage>,
    listener: TcpListener,
    endpoint_state: Rc<Cell<EndpointState>>,
    client_is_waiting: Rc<Cell<bool>>,
    /// The connections that the attempts of each request have used.
    used_connections: RefCell<BTreeMap<u8, Rc<UsedConnections>>>,
}

/// The end of an attempt, as the actor reported it.
#[derive(Debug, PartialEq)]
struct AttemptEnd {
    id: RequestId,
    outcome: Outcome,
}

fn end_of(attempt: &Attempt, outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        id: attempt.id,
        outcome,
    }
}

fn shared_state(dispatcher: Sender<DispatcherMessage>) -> Rc<Shared> {
    let transport_config = TransportConfig {
        connect_timeout: 1000.0,
        idle_timeout: 3e4,
        max_attempts_per_connection: 8,
        max_open_requests: 100,
        max_deadline: MAX_DEADLINE,
        report_fields: Vec::new(),
    };
    let class = ClassSummary {
        name: "lookup".into(),
        base_objective: 1000.0,
        in_service: true,
    };
    Rc::new(Shared {
        clock: Clock::start(),
        pool: BufferPool::with_capacity(1 << 20),
        receive_memory: ReceiveMemory::with_capacity(1 << 20),
        statement_memory: StatementMemory::with_capacity(1 << 20),
        classes: RefCell::new(Rc::new(vec![class])),
        max_deadline: Cell::new(MAX_DEADLINE),
        longest_deadline: Cell::new(MAX_DEADLINE),
        metrics: Metrics::default(),
        accepts_tenant_names: false,
        transport_config: RefCell::new(Rc::new(transport_config)),
        max_engine_connections: 2,
        connection_numbers: ConnectionNumbers::default(),
        endpoint_count: Cell::new(1),
        lease_until: Cell::new(Millis::INFINITY),
        log: Logger::root(Discard, o!()),
        dispatcher,
        executor: Rc::new(LocalExecutor::new()),
    })
}

impl TestEngine {
    fn start() -> Self {
        let (dispatcher, events) = async_channel::unbounded();
        let shared = shared_state(dispatcher);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (queue, messages) = async_channel::bounded(64);
        let engine = Engine::new(0, address, shared.clone(), queue.clone(), Rc::default());
        shared.executor.spawn(engine.run(messages)).detach();
        TestEngine {
            shared,
            events,
            queue,
            listener,
            endpoint_state: Rc::new(Cell::new(EndpointState::Ready)),
            client_is_waiting: Rc::new(Cell::new(true)),
            used_connections: RefCell::default(),
        }
    }

    /// Creates an attempt of the request with that number.
    fn new_attempt(&self, request: u8) -> Rc<Attempt> {
        let statement = Statement::store(b"select 1".to_vec(), &self.shared.statement_memory);
        let deadline = self.shared.clock.now() + 4000.0;
        let mut used_connections = self.used_connections.borrow_mut();
        Rc::new(Attempt {
            id: format!("{request:016x}").into_bytes().try_into().unwrap(),
            class: 0,
            statement: Rc::new(statement.unwrap()),
            idempotency_key: None,
            priority: Cell::new(None),
            deadline,
            start_before: Cell::new(deadline),
            client_is_waiting: self.client_is_waiting.clone(),
            endpoint_state: self.endpoint_state.clone(),
            started: Cell::new(false),
            used_connections: used_connections.entry(request).or_default().clone(),
        })
    }

    fn send(&self, message: EngineMessage) {
        let sent = self.queue.try_send(message);
        assert!(sent.is_ok(), "the engine's queue is full or closed");
    }

    fn start_attempt(&self, attempt: &Rc<Attempt>) {
        self.send(EngineMessage::StartAttempt(attempt.clone()));
    }

    fn withdraw_attempt(&self, attempt: &Rc<Attempt>) {
        self.send(EngineMessage::WithdrawAttempt(attempt.clone()));
    }

    /// Steps the executor until the condition holds.
    fn step_until(&self, expectation: &str, mut condition: impl FnMut() -> bool) {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while !condition() {
            assert!(Instant::now() < deadline, "{expectation}");
            if !self.shared.executor.try_tick() {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
    }

    /// Waits for the actor's next report of an attempt's end.
    fn next_attempt_end(&self) -> AttemptEnd {
        let mut reported = None;
        self.step_until("an attempt ends", || {
            if let Ok(DispatcherMessage::AttemptEnded { id, outcome, .. }) = self.events.try_recv()
            {
                reported = Some(AttemptEnd { id, outcome });
            }
            reported.is_some()
        });
        reported.unwrap()
    }

    /// Waits for the actor's next connection.
    fn accept_connection(&self) -> TcpStream {
        let mut accepted = None;
        self.step_until("the actor connects", || {
            accepted = accepted.take().or_else(|| self.listener.accept().ok());
            accepted.is_some()
        });
        let (stream, _) = accepted.unwrap();
        stream.set_nonblocking(true).unwrap();
        stream
    }

    /// Reads from a connection until `text` has arrived, and returns everything received.
    fn read_until(&self, stream: &mut TcpStream, text: &str) -> String {
        let mut received = String::new();
        let mut bytes = [0; 4096];
        self.step_until(text, || {
            if let Ok(length) = stream.read(&mut bytes) {
                received += &String::from_utf8_lossy(&bytes[..length]);
            }
            received.contains(text)
        });
        received
    }
}

/// The reply with a complete result of one page.
fn done_reply(request: u8) -> Vec<u8> {
    format!("{request:016x} DONE pages=1,cost=5,need=4 6\r\nx\ty\tz\n\r\n").into_bytes()
}

/// Waits until the engine's close has arrived at the gateway's socket: the kernel then lists the connection in
/// state 08, CLOSE_WAIT.
fn wait_until_closed_by_peer(port: u16) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    let close_wait = format!(":{port:04X} 08 ");
    let is_closed = || {
        let connections = std::fs::read_to_string("/proc/net/tcp").unwrap();
        connections.contains(&close_wait)
    };
    while !is_closed() {
        assert!(Instant::now() < deadline, "the close has not arrived");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// An event that prevents an attempt from starting.
struct Obstacle {
    name: &'static str,
    occur: fn(&TestEngine, &Rc<Attempt>),
}

/// Each occurs after the message to start the attempt was sent, and before the attempt is written.
const OBSTACLES: [Obstacle; 6] = [
    Obstacle {
        name: "withdrawn, the withdrawal message not sent yet",
        occur: |_, attempt| attempt.withdraw(),
    },
    Obstacle {
        name: "withdrawn, the withdrawal message sent",
        occur: |engine, attempt| {
            attempt.withdraw();
            engine.withdraw_attempt(attempt);
        },
    },
    Obstacle {
        name: "the client no longer waits",
        occur: |engine, _| engine.client_is_waiting.set(false),
    },
    Obstacle {
        name: "the engine is draining",
        occur: |engine, _| engine.endpoint_state.set(EndpointState::Draining),
    },
    Obstacle {
        name: "the engine is gone and its queue closed",
        occur: |engine, _| {
            engine.endpoint_state.set(EndpointState::Gone);
            engine.queue.close();
        },
    },
    Obstacle {
        name: "the latest start time has passed",
        occur: |engine, attempt| attempt.start_before.set(engine.shared.clock.now()),
    },
];

#[test]
fn unstartable_attempt_is_never_written_and_reported_as_unsent() {
    for obstacle in OBSTACLES {
        for in_queue in [true, false] {
            let engine = TestEngine::start();
            let attempt = engine.new_attempt(1);
            engine.start_attempt(&attempt);
            if !in_queue {
                // After one step of the actor the attempt waits for its connection.
                assert!(engine.shared.executor.try_tick());
            }

            (obstacle.occur)(&engine, &attempt);

            let unsent = end_of(&attempt, Outcome::Unsent);
            let name = obstacle.name;
            assert_eq!(
                engine.next_attempt_end(),
                unsent,
                "{name}, in queue: {in_queue}"
            );
            assert!(!attempt.started.get(), "{name}");
        }
    }
}

#[test]
fn closed_idle_connection_is_not_written_to() {
    let engine = TestEngine::start();
    engine.start_attempt(&engine.new_attempt(1));
    let mut first = engine.accept_connection();
    engine.read_until(&mut first, "fetch");
    first.write_all(&done_reply(1)).unwrap();
    assert!(matches!(
        engine.next_attempt_end().outcome,
        Outcome::Completed(_)
    ));

    // The engine closes the connection; the message about that reaches the actor's queue after the next attempt.
    drop(first);
    wait_until_closed_by_peer(engine.listener.local_addr().unwrap().port());
    let attempt = engine.new_attempt(2);
    engine.start_attempt(&attempt);

    let unsent = end_of(&attempt, Outcome::Unsent);
    assert_eq!(engine.next_attempt_end(), unsent, "reported as never run");
}

#[test]
fn withdrawn_attempt_is_in_flight_until_engine_is_informed() {
    let engine = TestEngine::start();
    let first = engine.new_attempt(1);
    engine.start_attempt(&first);
    let mut stream = engine.accept_connection();
    engine.read_until(&mut stream, "fetch");
    first.withdraw();
    engine.withdraw_attempt(&first);
    let withdrawn = end_of(&first, Outcome::Withdrawn);
    assert_eq!(engine.next_attempt_end(), withdrawn);
    engine.read_until(&mut stream, "abort 0000000000000001");

    // The next attempt of the request uses another connection: the reply to the first one may still arrive.
    let second = engine.new_attempt(1);
    engine.start_attempt(&second);
    let mut other_stream = engine.accept_connection();
    engine.read_until(&mut other_stream, "fetch");
    stream.write_all(&done_reply(1)).unwrap();
    other_stream
        .write_all(b"0000000000000001 BROKE - 0\r\n\r\n")
        .unwrap();
    let failed = end_of(&second, Outcome::EngineError);
    assert_eq!(engine.next_attempt_end(), failed);

    // A late withdrawal of the first attempt does not affect the third, which uses a connection of its own as well.
    let third = engine.new_attempt(1);
    engine.start_attempt(&third);
    engine.withdraw_attempt(&first);
    // Queued after the withdrawal: once it starts, everything before it has been handled.
    let last = engine.new_attempt(2);
    engine.start_attempt(&last);
    engine.step_until("the last attempt starts", || last.started.get());
    let mut third_stream = engine.accept_connection();
    let received = engine.read_until(&mut third_stream, "fetch 0000000000000001");
    assert!(!received.contains("abort"), "{received}");
    assert!(third.started.get());
    assert!(engine.events.is_empty());
}
