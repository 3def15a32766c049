//! The attempts that the engines of a test have received, and when each was out.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// An engine may receive an attempt this long before it learns that the gateway has given up the one before it, which it
/// learns from another connection.
const GIVE_UP_TOLERANCE: Duration = Duration::from_secs(2);

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The request.
    pub id: String,
    /// The attempt's number among those of the request, at all engines.
    pub run: usize,
}

/// When an attempt was out, and whether it may have run.
#[derive(Clone, Copy, Debug)]
struct AttemptRecord {
    connection: u64,
    /// The time that the request had left when the gateway wrote the attempt, in ms. It orders the attempts as the
    /// gateway made them; an engine whose threads wait for a processor may read an earlier one later.
    time_remaining: u64,
    began_at: Instant,
    end: Option<End>,
    may_have_run: bool,
}

/// One event of a request at an engine.
#[derive(Clone, Debug)]
struct TraceEntry {
    at: Instant,
    event: String,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
enum End {
    /// The engine was about to reply.
    Replied(Instant),
    /// The engine learned that the gateway had given up the attempt.
    GivenUp(Instant),
}

impl AttemptRecord {
    /// Whether the attempt was still out when the next one arrived.
    fn overlaps(&self, next: &AttemptRecord) -> bool {
        match self.end {
            None => true,
            Some(End::Replied(at)) => at > next.began_at,
            Some(End::GivenUp(at)) => at > next.began_at + GIVE_UP_TOLERANCE,
        }
    }
}

#[derive(Default)]
struct State {
    attempts: HashMap<String, Vec<AttemptRecord>>,
    /// What happened to each request, in order.
    trace: HashMap<String, Vec<TraceEntry>>,
    last_connection: u64,
    late_replies: usize,
}

/// The log that all engines of a test share.
#[derive(Clone, Default)]
pub struct RunLog(Arc<Mutex<State>>);

impl RunLog {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A number for a new connection to any of the engines.
    pub(super) fn next_connection(&self) -> u64 {
        let mut state = self.state();
        state.last_connection += 1;
        state.last_connection
    }

    /// Adds an event to the trace of a request.
    pub(super) fn trace(&self, id: &str, event: String) {
        let mut state = self.state();
        let entry = TraceEntry {
            at: Instant::now(),
            event,
        };
        state.trace.entry(id.to_owned()).or_default().push(entry);
    }

    /// What happened to a request at the engines, a line for each event with its time in microseconds.
    pub fn trace_of(&self, id: &str) -> String {
        let state = self.state();
        let entries = state.trace.get(id).into_iter().flatten();
        let begin = entries.clone().next().map(|entry| entry.at);
        let lines = entries.map(|entry| {
            let elapsed = begin.map_or(0, |begin| (entry.at - begin).as_micros());
            format!("{elapsed:>9} {}\n", entry.event)
        });
        lines.collect()
    }

    /// Records an attempt that has arrived.
    pub(super) fn begin(&self, id: &str, connection: u64, time_remaining: u64) -> Attempt {
        let mut state = self.state();
        let attempts = state.attempts.entry(id.to_owned()).or_default();
        attempts.push(AttemptRecord {
            connection,
            time_remaining,
            began_at: Instant::now(),
            end: None,
            may_have_run: true,
        });
        Attempt {
            id: id.to_owned(),
            run: attempts.len() - 1,
        }
    }

    /// The latest attempt of a request on a connection, if there is one.
    pub(super) fn latest_on(&self, id: &str, connection: u64) -> Option<Attempt> {
        let state = self.state();
        let attempts = state.attempts.get(id)?;
        let is_meant = |record: &AttemptRecord| record.connection == connection;
        let run = attempts.iter().rposition(is_meant)?;
        let id = id.to_owned();
        Some(Attempt { id, run })
    }

    /// Records that the attempt never runs.
    pub(super) fn record_never_ran(&self, attempt: &Attempt) {
        self.change(attempt, |record| record.may_have_run = false);
    }

    /// Records a reply to an attempt, right before it is sent; the first one ends the attempt.
    pub(super) fn record_reply(&self, attempt: &Attempt) {
        self.change(attempt, |record| {
            record.end.get_or_insert(End::Replied(Instant::now()));
        });
        let mut state = self.state();
        let is_late = state
            .attempts
            .get(&attempt.id)
            .is_some_and(|attempts| attempts.len() > attempt.run + 1);
        state.late_replies += usize::from(is_late);
    }

    fn change(&self, attempt: &Attempt, change: impl FnOnce(&mut AttemptRecord)) {
        let mut state = self.state();
        let attempts = state.attempts.get_mut(&attempt.id);
        if let Some(record) = attempts.and_then(|attempts| attempts.get_mut(attempt.run)) {
            change(record);
        }
    }

    /// Records that the gateway has withdrawn the attempt of a request on a connection.
    pub(super) fn withdraw(&self, id: &str, connection: u64) {
        self.end_where(|attempt_id, record| attempt_id == id && record.connection == connection);
    }

    /// Records the end of a connection, which gives up the attempts on it.
    pub(super) fn close_connection(&self, connection: u64) {
        self.end_where(|_, record| record.connection == connection);
    }

    fn end_where(&self, is_meant: impl Fn(&str, &AttemptRecord) -> bool) {
        let end = End::GivenUp(Instant::now());
        for (id, attempts) in &mut self.state().attempts {
            let meant = attempts.iter_mut().filter(|record| is_meant(id, record));
            meant.for_each(|record| {
                record.end.get_or_insert(end);
            });
        }
    }

    /// The number of attempts of a request that may have run.
    pub fn possible_runs(&self, id: &str) -> usize {
        let state = self.state();
        let attempts = state.attempts.get(id).into_iter().flatten();
        attempts.filter(|record| record.may_have_run).count()
    }

    /// The number of attempts of a request.
    pub fn attempts(&self, id: &str) -> usize {
        self.state().attempts.get(id).map_or(0, Vec::len)
    }

    /// The requests of which two attempts were out at once.
    pub fn overlapping(&self) -> Vec<String> {
        let state = self.state();
        let overlaps = |attempts: &[AttemptRecord]| {
            let mut ordered = attempts.to_vec();
            ordered.sort_by_key(|record| std::cmp::Reverse(record.time_remaining));
            let mut pairs = ordered.windows(2);
            pairs.any(|pair| pair[0].overlaps(&pair[1]))
        };
        let overlapping = state
            .attempts
            .iter()
            .filter(|(_, attempts)| overlaps(attempts));
        overlapping.map(|(id, _)| id.clone()).collect()
    }

    /// The number of replies that were sent after a later attempt of their request had arrived.
    pub fn late_replies(&self) -> usize {
        self.state().late_replies
    }
}
