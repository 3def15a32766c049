//! The operations that the policy requests from its host.

use crate::Millis;

/// The actions of the policy, carried out by the host in the order of the calls. Requests and
/// engines are identified by their indices.
pub trait Actions {
    /// Sends an attempt of the request to the engine. Its first byte is written at `start_before`
    /// at the latest; an attempt that has not started by then never starts, and ends as
    /// [`Outcome::Unsent`](crate::Outcome::Unsent).
    fn start_attempt(&mut self, request: usize, engine: usize, start_before: Millis);
    /// Withdraws the request's attempt with the number `nth`, counted from 0. The host still
    /// reports its outcome.
    fn withdraw_attempt(&mut self, request: usize, nth: u8);
    /// Sets the priority, from 0 to 3, and the memory grant in MB for the attempts of the request
    /// that follow. A grant of 0 leaves the memory to the engine.
    fn set_priority(&mut self, request: usize, priority: u8, grant_mb: f64);
    /// Gives the final answer that the request was rejected. The client may repeat it after
    /// `retry_after`, which has no second effect.
    fn reject(&mut self, request: usize, retry_after: Millis);
    /// Gives the final answer that the request failed; it may have run.
    fn fail(&mut self, request: usize);
    /// Subscribes to the endpoint list of discovery and to its changes.
    fn subscribe(&mut self);
    /// Asks an engine for its load. The host passes the report to
    /// [`Gateway::on_load_report`](crate::policy::Gateway::on_load_report).
    fn probe(&mut self, engine: usize);
    /// Asks for a call of [`Gateway::on_timer`](crate::policy::Gateway::on_timer) after this time.
    fn wake_after(&mut self, after: Millis);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
    /// Releases the request's index: no further event about the request is expected.
    fn forget(&mut self, request: usize);
}
