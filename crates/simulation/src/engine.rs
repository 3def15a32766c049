//! The engine model: cores that running queries share, a limited number of sessions, a cache of table groups, a slow
//! start, and a crash when a cold engine receives too much work. The model follows the design page and the settings; a
//! constant that neither of them specifies is marked as assumed.

use crate::event::ProcessId;
use ironstair::Millis;
use std::collections::VecDeque;

/// The number of cores of an engine.
pub const CORES: f64 = 16.0;
/// The maximum number of queries that run concurrently: assumed.
const MAX_SESSIONS: usize = 64;
/// The number of table groups that an engine caches: assumed.
const CACHED_TABLE_GROUPS: usize = 12;
/// Factor by which the work of a query increases if its table group is not cached: assumed.
const UNCACHED_WORK_FACTOR: f64 = 1.5;
/// Speed of a process that has just started, as a share of its full speed. Gateways are configured with the same value.
pub const COLD_START_SPEED: f64 = 0.3;
/// Time from a process's start to its full speed. Gateways are configured with the same value.
pub const WARM_UP_TIME: Millis = 15_000.0;
/// An engine below full speed crashes if it receives more than this multiple of the work that it can do in
/// [`OVERLOAD_WINDOW`].
pub const OVERLOAD_FACTOR: f64 = 4.0;
/// The time window over which received work is summed.
pub const OVERLOAD_WINDOW: Millis = 1000.0;
/// The number of ticks of an engine during [`WARM_UP_TIME`]. They are needed because its speed, and with it the time of
/// the next completion, changes continuously.
const WARM_UP_TICKS: f64 = 100.0;
/// The minimum delay of the next tick. Without it rounding could keep the virtual time from advancing.
const MIN_TICK_DELAY: Millis = 0.001;
/// A query with at most this much work left, in core milliseconds, counts as completed: the rest is a rounding error.
const COMPLETED_WORK: f64 = 1e-6;

/// An attempt of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The gateway's process that waits for it.
    pub process: ProcessId,
    /// The slot of its request.
    pub slot: usize,
    /// Distinguishes the uses of the slot by successive requests.
    pub use_number: u64,
}

/// The resources that an attempt needs at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// Threads that work on it.
    pub threads: f64,
    /// Its work in core milliseconds, if its table group is cached.
    pub work: f64,
    /// Its table group.
    pub table_group: u64,
}

#[derive(Clone, Copy, Debug)]
struct RunningQuery {
    attempt: AttemptId,
    threads: f64,
    work_left: f64,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedWork {
    at: Millis,
    work: f64,
}

/// The result of sending a query to an engine.
pub enum Admission {
    /// The query runs.
    Running,
    /// All sessions are in use.
    QueueFull,
    /// The engine received too much work before it was at full speed, and crashes with all its queries.
    Crash,
}

/// The state of an engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Whether a process runs.
    pub is_up: bool,
    /// When the process started; 0 for a process that is at full speed from the beginning of the run.
    pub started_at: Millis,
    /// How often the engine has restarted.
    pub process: u32,
    /// Number of the latest scheduled tick; earlier ticks are ignored.
    pub latest_tick: u64,
    running: Vec<RunningQuery>,
    /// The time up to which the work of the running queries is accounted for.
    advanced_to: Millis,
    recent_work: VecDeque<ReceivedWork>,
    /// The cached table groups, the most recently used first.
    cached_table_groups: VecDeque<u64>,
}

impl Default for Engine {
    fn default() -> Self {
        Engine {
            is_up: true,
            started_at: 0.0,
            process: 0,
            latest_tick: 0,
            running: Vec::new(),
            advanced_to: 0.0,
            recent_work: VecDeque::new(),
            cached_table_groups: VecDeque::new(),
        }
    }
}

impl Engine {
    /// The current speed as a share of the full speed.
    fn speed_factor(&self, now: Millis) -> f64 {
        if self.started_at <= 0.0 {
            return 1.0;
        }
        COLD_START_SPEED
            + (1.0 - COLD_START_SPEED) * ((now - self.started_at) / WARM_UP_TIME).clamp(0.0, 1.0)
    }

    /// The work that one thread does in a millisecond.
    fn work_per_thread(&self, now: Millis) -> f64 {
        let threads: f64 = self.running.iter().map(|query| query.threads).sum();
        (CORES * self.speed_factor(now) / threads.max(1e-9)).min(1.0)
    }

    /// Accounts for the work that was done until now.
    fn advance(&mut self, now: Millis) {
        let done_per_thread = self.work_per_thread(now) * (now - self.advanced_to);
        for query in &mut self.running {
            query.work_left -= done_per_thread * query.threads;
        }
        self.advanced_to = now;
    }

    /// Removes and returns the queries that are completed by now.
    pub fn take_completed(&mut self, now: Millis) -> Vec<AttemptId> {
        self.advance(now);
        let is_completed = |query: &RunningQuery| query.work_left <= COMPLETED_WORK;
        let completed = self
            .running
            .iter()
            .filter(|query| is_completed(query))
            .map(|query| query.attempt)
            .collect();
        self.running.retain(|query| !is_completed(query));
        completed
    }

    /// The time of the next completion if nothing changes before. While the engine warms up, possibly an earlier time,
    /// at which the completion has to be computed again. `None` for an idle engine at full speed.
    pub fn next_tick_at(&self, now: Millis) -> Option<Millis> {
        let work_per_thread = self.work_per_thread(now);
        let first_completion = self
            .running
            .iter()
            .map(|query| query.work_left / query.threads / work_per_thread)
            .fold(Millis::INFINITY, f64::min);
        let delay = match self.speed_factor(now) < 1.0 {
            true => first_completion.min(WARM_UP_TIME / WARM_UP_TICKS),
            false => first_completion,
        };
        delay.is_finite().then_some(now + delay.max(MIN_TICK_DELAY))
    }

    /// Runs a query, unless all sessions are in use or the engine crashes.
    pub fn admit(&mut self, now: Millis, attempt: AttemptId, query: Query) -> Admission {
        self.advance(now);
        if self.running.len() >= MAX_SESSIONS {
            return Admission::QueueFull;
        }
        let received_work = self.record_received_work(now, query.work);
        let speed_factor = self.speed_factor(now);
        if speed_factor < 1.0
            && received_work > OVERLOAD_FACTOR * speed_factor * CORES * OVERLOAD_WINDOW
        {
            return Admission::Crash;
        }
        let work_left = match self.touch_cache(query.table_group) {
            true => query.work,
            false => query.work * UNCACHED_WORK_FACTOR,
        };
        self.running.push(RunningQuery {
            attempt,
            threads: query.threads,
            work_left,
        });
        Admission::Running
    }

    /// Records received work, and returns the sum of the work received within [`OVERLOAD_WINDOW`].
    fn record_received_work(&mut self, now: Millis, work: f64) -> f64 {
        self.recent_work.push_back(ReceivedWork { at: now, work });
        while self
            .recent_work
            .front()
            .is_some_and(|oldest| oldest.at < now - OVERLOAD_WINDOW)
        {
            self.recent_work.pop_front();
        }
        self.recent_work.iter().map(|received| received.work).sum()
    }

    /// Moves a table group to the front of the cache. Returns whether it was cached before.
    fn touch_cache(&mut self, table_group: u64) -> bool {
        let position = self
            .cached_table_groups
            .iter()
            .position(|cached| *cached == table_group);
        position.and_then(|position| self.cached_table_groups.remove(position));
        self.cached_table_groups.push_front(table_group);
        self.cached_table_groups.truncate(CACHED_TABLE_GROUPS);
        position.is_some()
    }

    /// Stops a query. Returns whether it was running.
    pub fn withdraw(&mut self, now: Millis, attempt: AttemptId) -> bool {
        self.advance(now);
        let running_before = self.running.len();
        self.running.retain(|query| query.attempt != attempt);
        self.running.len() < running_before
    }

    /// Ends the process, and returns the attempts that are lost with it.
    pub fn terminate(&mut self) -> Vec<AttemptId> {
        self.is_up = false;
        self.recent_work.clear();
        self.cached_table_groups.clear();
        self.running.drain(..).map(|query| query.attempt).collect()
    }

    /// Starts a new process, which is cold.
    pub fn restart(&mut self, now: Millis) {
        self.is_up = true;
        self.started_at = now;
        self.advanced_to = now;
        self.process += 1;
    }
}

#[cfg(test)]
mod tests;
