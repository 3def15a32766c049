//! The log of a run's observations, written by the client, engine and test threads.

use super::{unanswered_calls, AnswerKind, Observation};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// An observation and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Milliseconds since the run began.
    pub at_ms: f64,
    /// The observation.
    pub observation: Observation,
}

/// The observations of a run in chronological order. Clones share the log.
#[derive(Clone)]
pub struct RequestLog {
    started_at: Instant,
    entries: Arc<Mutex<Vec<LogEntry>>>,
}

impl Default for RequestLog {
    fn default() -> Self {
        RequestLog {
            started_at: Instant::now(),
            entries: Arc::default(),
        }
    }
}

impl RequestLog {
    /// Milliseconds since the run began.
    pub fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Appends an observation with the current time.
    pub fn record(&self, observation: Observation) {
        // The clock is read under the lock so that entries are appended in the order of their times.
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let at_ms = self.now_ms();
        entries.push(LogEntry { at_ms, observation });
    }

    /// Returns a copy of all entries so far.
    pub fn entries(&self) -> Vec<LogEntry> {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The number of answers by kind, over all clients.
    pub fn answer_counts(&self) -> BTreeMap<AnswerKind, usize> {
        let mut count_by_kind = BTreeMap::new();
        for entry in self.entries() {
            if let Observation::Answered { kind, .. } = entry.observation {
                *count_by_kind.entry(kind).or_default() += 1;
            }
        }
        count_by_kind
    }

    /// The number of answers of a kind to one client.
    pub fn answer_count_of_client(&self, client: usize, kind: AnswerKind) -> usize {
        let is_counted = |observation: &Observation| match observation {
            Observation::Answered { id, kind: actual } => id.client == client && *actual == kind,
            _ => false,
        };
        self.entries()
            .iter()
            .filter(|entry| is_counted(&entry.observation))
            .count()
    }

    /// The number of calls that still need an answer.
    pub fn open_calls(&self) -> usize {
        unanswered_calls(&self.entries()).len()
    }
}
