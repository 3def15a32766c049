//! What was seen of a run, and which promises it breaks. It knows nothing of how gateways decide: it sees what
//! clients were answered and what reached the engines, and when.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// One thing seen; times in ms since the run began.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A client sent a request: under which call, on which of its connections.
    Requested {
        client: usize,
        connection: usize,
        call: u64,
        class: &'static str,
    },
    Answered {
        client: usize,
        connection: usize,
        call: u64,
        what: What,
    },
    /// The connection ended.
    Closed { client: usize, connection: usize },
    /// A gateway's process was killed outright, and owes its client (of the same number) nothing on what was open.
    Killed { gateway: usize },
    /// An engine got an attempt.
    Attempt {
        gateway: usize,
        engine: usize,
        id: String,
        class: String,
    },
    /// From now on no gateway that decides may send that class to the engine, by a policy that holds.
    Barred { engine: usize, class: &'static str },
    /// It may again.
    Free { engine: usize, class: &'static str },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum What {
    Settled,
    Rejected,
    Failed,
    Refused,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Breach {
    /// Rule 1: a second answer, or one that nobody asked for.
    TwoAnswers { client: usize, call: u64 },
    /// Rule 1: no answer, on a connection that stayed.
    NoAnswer { client: usize, call: u64 },
    /// Rule 2: what may run once reached engines twice.
    TwiceOut { id: String },
    /// A gateway decided by a policy that the fleet had left.
    Left { gateway: usize, at: f64, after: f64 },
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Breach::TwoAnswers { client, call } => {
                write!(f, "client {client}: a further answer for call {call}")
            }
            Breach::NoAnswer { client, call } => {
                write!(f, "client {client}: no answer for call {call}")
            }
            Breach::TwiceOut { id } => {
                write!(f, "submission {id}, which may run once, was out twice")
            }
            Breach::Left { gateway, at, after } => {
                write!(
                    f,
                    "gateway {gateway} decided by a policy left {:.0} ms before (at {at:.0} ms)",
                    at - after
                )
            }
        }
    }
}

/// What is seen, by many threads.
#[derive(Clone)]
pub struct RequestLog {
    since: Instant,
    lines: Arc<Mutex<Vec<(f64, Seen)>>>,
}

impl Default for RequestLog {
    fn default() -> Self {
        RequestLog {
            since: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl RequestLog {
    pub fn now(&self) -> f64 {
        self.since.elapsed().as_secs_f64() * 1000.0
    }

    pub fn note(&self, seen: Seen) {
        // Under the lock, so that the lines stand in the order of their times.
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.now();
        lines.push((now, seen));
    }

    pub fn lines(&self) -> Vec<(f64, Seen)> {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// How many answers of each kind clients had.
    pub fn answers(&self) -> BTreeMap<What, usize> {
        let mut found = BTreeMap::new();
        for (_, seen) in self.lines() {
            if let Seen::Answered { what, .. } = seen {
                *found.entry(what).or_default() += 1;
            }
        }
        found
    }

    /// How many of that kind one client had.
    pub fn answers_of(&self, of: usize, kind: What) -> usize {
        let hit = |s: &Seen| matches!(s, Seen::Answered { client, what, .. } if *client == of && *what == kind);
        self.lines().iter().filter(|l| hit(&l.1)).count()
    }

    /// Calls without an answer on connections that stand.
    pub fn open(&self) -> usize {
        owed(&self.lines()).len()
    }
}

fn owed(lines: &[(f64, Seen)]) -> BTreeMap<(usize, usize, u64), ()> {
    let (mut open, mut began, mut killed) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    for (at, seen) in lines {
        match seen {
            Seen::Requested {
                client,
                connection,
                call,
                ..
            } => {
                began.entry((*client, *connection)).or_insert(*at);
                open.insert((*client, *connection, *call), ());
            }
            Seen::Answered {
                client,
                connection,
                call,
                ..
            } => {
                open.remove(&(*client, *connection, *call));
            }
            Seen::Closed { client, connection } => {
                let first = began.get(&(*client, *connection));
                if first
                    .zip(killed.get(client))
                    .is_some_and(|(first, at)| *at + KILLED_WITHIN >= *first)
                {
                    open.retain(|k, _| (k.0, k.1) != (*client, *connection));
                }
            }
            Seen::Killed { gateway } => {
                killed.insert(*gateway, *at);
            }
            _ => {}
        }
    }
    open
}

/// A connection that was opened this shortly after a kill may still have been the old process's.
const KILLED_WITHIN: f64 = 500.0;

/// All that the run breaks. `once` are the classes whose requests may run once.
pub fn breaches(lines: &[(f64, Seen)], once: &[&str]) -> Vec<Breach> {
    let mut found = Vec::new();
    let mut requested = BTreeMap::new();
    let mut out: BTreeMap<&str, u32> = BTreeMap::new();
    let mut barred: BTreeMap<(usize, &str), f64> = BTreeMap::new();
    for (at, seen) in lines {
        match seen {
            Seen::Requested {
                client,
                connection,
                call,
                ..
            } => {
                requested.insert((*client, *connection, *call), ());
            }
            Seen::Answered {
                client,
                connection,
                call,
                ..
            } => {
                if requested.remove(&(*client, *connection, *call)).is_none() {
                    found.push(Breach::TwoAnswers {
                        client: *client,
                        call: *call,
                    });
                }
            }
            Seen::Closed { .. } | Seen::Killed { .. } => {}
            Seen::Attempt {
                gateway,
                engine,
                id,
                class,
            } => {
                if let Some(after) = barred.get(&(*engine, class.as_str())) {
                    found.push(Breach::Left {
                        gateway: *gateway,
                        at: *at,
                        after: *after,
                    });
                }
                if once.contains(&class.as_str()) {
                    let times = out.entry(id).or_default();
                    *times += 1;
                    if *times == 2 {
                        found.push(Breach::TwiceOut { id: id.clone() });
                    }
                }
            }
            Seen::Barred { engine, class } => {
                barred.entry((*engine, class)).or_insert(*at);
            }
            Seen::Free { engine, class } => {
                barred.remove(&(*engine, *class));
            }
        }
    }
    let lost = owed(lines)
        .into_keys()
        .map(|(client, _, call)| Breach::NoAnswer { client, call });
    found.extend(lost);
    found
}

#[cfg(test)]
mod tests;
