//! The request log of a run, and the checker of the invariants that a run must satisfy. The checker is independent of
//! the gateway's decision logic: it only reads which calls clients sent, which answers they received, which attempts
//! reached engines, and when.

mod request_log;

pub use request_log::{LogEntry, RequestLog};

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A connection whose first call was sent up to this many milliseconds after a kill may have been accepted by the
/// killed process, so its calls need no answer.
const KILL_TOLERANCE_MS: f64 = 500.0;

/// Identifies a call within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    /// The client's index, which is also the index of its gateway.
    pub client: usize,
    /// The number of the client's connection.
    pub connection: usize,
    /// The JSON-RPC id.
    pub call: u64,
}

impl CallId {
    fn connection_id(self) -> ConnectionId {
        ConnectionId {
            client: self.client,
            connection: self.connection,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionId {
    client: usize,
    connection: usize,
}

/// An event observed by a client, an engine or the test itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client sent a call.
    Requested {
        /// The call.
        id: CallId,
        /// Its class.
        class: &'static str,
    },
    /// A client received an answer.
    Answered {
        /// The call, identified by the id in the answer.
        id: CallId,
        /// The kind of the answer.
        kind: AnswerKind,
    },
    /// A client's connection ended.
    ConnectionClosed {
        /// The client.
        client: usize,
        /// The number of its connection.
        connection: usize,
    },
    /// A gateway's process was killed. Open calls of its client, which has the same index, need no answer.
    GatewayKilled {
        /// The gateway.
        gateway: usize,
    },
    /// An engine received an attempt.
    AttemptReceived {
        /// The index of the gateway that sent it.
        gateway: usize,
        /// The engine's index.
        engine: usize,
        /// The request's id in the engine protocol, which all of its attempts share.
        request_id: String,
        /// The request's class.
        class: String,
    },
    /// From now on, no gateway may send requests of the class to the engine, because the fleet has replaced every
    /// policy that allowed it.
    EngineForbidden {
        /// The engine's index.
        engine: usize,
        /// The class.
        class: &'static str,
    },
    /// Gateways may send requests of the class to the engine again.
    EngineAllowed {
        /// The engine's index.
        engine: usize,
        /// The class.
        class: &'static str,
    },
}

/// The kind of an answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerKind {
    /// The answer contains rows.
    Rows,
    /// The gateway didn't accept the request, or gave it up.
    Rejected,
    /// The engine reported an error.
    Failed,
    /// Any other error.
    OtherError,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// Rule 1: a call received a second answer, or an answer matches no call.
    DuplicateAnswer {
        /// The client.
        client: usize,
        /// The answer's id.
        call: u64,
    },
    /// Rule 1: a call received no answer although its gateway wasn't killed.
    MissingAnswer {
        /// The client.
        client: usize,
        /// The call's id.
        call: u64,
    },
    /// Rule 2: a request of an exactly-once class reached engines more than once.
    DuplicateExecution {
        /// The request's id in the engine protocol.
        request_id: String,
    },
    /// A gateway applied a policy that the fleet had replaced.
    StalePolicy {
        /// The gateway.
        gateway: usize,
        /// When the engine received the attempt, in milliseconds since the run began.
        at_ms: f64,
        /// When the policy was replaced, in milliseconds since the run began.
        replaced_at_ms: f64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Violation::DuplicateAnswer { client, call } => {
                write!(
                    formatter,
                    "client {client}: duplicate or unexpected answer to call {call}"
                )
            }
            Violation::MissingAnswer { client, call } => {
                write!(formatter, "client {client}: no answer to call {call}")
            }
            Violation::DuplicateExecution { request_id } => write!(
                formatter,
                "request {request_id} of an exactly-once class reached engines more than once"
            ),
            Violation::StalePolicy {
                gateway,
                at_ms,
                replaced_at_ms,
            } => write!(
                formatter,
                "gateway {gateway} applied a policy at {at_ms:.0} ms that had been replaced {:.0} ms before",
                at_ms - replaced_at_ms
            ),
        }
    }
}

/// Calls without an answer at the end of the log, except those whose gateway was killed.
fn unanswered_calls(entries: &[LogEntry]) -> BTreeSet<CallId> {
    let mut open = BTreeSet::new();
    let mut first_call_at_ms: BTreeMap<ConnectionId, f64> = BTreeMap::new();
    let mut killed_at_ms: BTreeMap<usize, f64> = BTreeMap::new();
    for entry in entries {
        match &entry.observation {
            Observation::Requested { id, .. } => {
                first_call_at_ms
                    .entry(id.connection_id())
                    .or_insert(entry.at_ms);
                open.insert(*id);
            }
            Observation::Answered { id, .. } => {
                open.remove(id);
            }
            Observation::ConnectionClosed { client, connection } => {
                let closed = ConnectionId {
                    client: *client,
                    connection: *connection,
                };
                let first_call_at_ms = first_call_at_ms.get(&closed);
                let is_excused = first_call_at_ms
                    .zip(killed_at_ms.get(client))
                    .is_some_and(|(first_call, kill)| *kill + KILL_TOLERANCE_MS >= *first_call);
                if is_excused {
                    open.retain(|id| id.connection_id() != closed);
                }
            }
            Observation::GatewayKilled { gateway } => {
                killed_at_ms.insert(*gateway, entry.at_ms);
            }
            Observation::AttemptReceived { .. }
            | Observation::EngineForbidden { .. }
            | Observation::EngineAllowed { .. } => {}
        }
    }
    open
}

/// Returns all violations of a run. Requests of `exactly_once_classes` may reach engines only once.
pub fn violations(entries: &[LogEntry], exactly_once_classes: &[&str]) -> Vec<Violation> {
    let mut checker = Checker {
        exactly_once_classes,
        awaiting_answer: BTreeSet::new(),
        attempts: BTreeMap::new(),
        forbidden_since_ms: BTreeMap::new(),
        violations: Vec::new(),
    };
    entries.iter().for_each(|entry| checker.check_entry(entry));
    let missing = unanswered_calls(entries)
        .into_iter()
        .map(|id| Violation::MissingAnswer {
            client: id.client,
            call: id.call,
        });
    checker.violations.extend(missing);
    checker.violations
}

/// Checks the entries of a log in order.
struct Checker<'a> {
    exactly_once_classes: &'a [&'a str],
    awaiting_answer: BTreeSet<CallId>,
    /// Number of attempts by request id, for exactly-once classes.
    attempts: BTreeMap<&'a str, u32>,
    /// When sending a class to an engine became forbidden, by engine and class.
    forbidden_since_ms: BTreeMap<(usize, &'a str), f64>,
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    fn check_entry(&mut self, entry: &'a LogEntry) {
        match &entry.observation {
            Observation::Requested { id, .. } => {
                self.awaiting_answer.insert(*id);
            }
            Observation::Answered { id, .. } => self.check_answer(*id),
            Observation::ConnectionClosed { .. } | Observation::GatewayKilled { .. } => {}
            Observation::AttemptReceived {
                gateway,
                engine,
                request_id,
                class,
            } => {
                self.check_policy(*gateway, *engine, class, entry.at_ms);
                self.check_execution(request_id, class);
            }
            Observation::EngineForbidden { engine, class } => {
                self.forbidden_since_ms
                    .entry((*engine, class))
                    .or_insert(entry.at_ms);
            }
            Observation::EngineAllowed { engine, class } => {
                self.forbidden_since_ms.remove(&(*engine, *class));
            }
        }
    }

    fn check_answer(&mut self, id: CallId) {
        if !self.awaiting_answer.remove(&id) {
            self.violations.push(Violation::DuplicateAnswer {
                client: id.client,
                call: id.call,
            });
        }
    }

    fn check_policy(&mut self, gateway: usize, engine: usize, class: &'a str, at_ms: f64) {
        if let Some(replaced_at_ms) = self.forbidden_since_ms.get(&(engine, class)) {
            self.violations.push(Violation::StalePolicy {
                gateway,
                at_ms,
                replaced_at_ms: *replaced_at_ms,
            });
        }
    }

    fn check_execution(&mut self, request_id: &'a str, class: &str) {
        if !self.exactly_once_classes.contains(&class) {
            return;
        }
        let attempts = self.attempts.entry(request_id).or_default();
        *attempts += 1;
        // Reported once, even if further attempts follow.
        if *attempts == 2 {
            self.violations.push(Violation::DuplicateExecution {
                request_id: request_id.to_owned(),
            });
        }
    }
}

#[cfg(test)]
mod tests;
