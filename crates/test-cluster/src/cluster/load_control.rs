//! Starts, pauses and stops the load on a cluster, and checks its invariants.

use super::load::{ClientLoad, MAX_CONNECTIONS, MAX_OPEN_CALLS};
use super::{gateway_name, wait_until, Cluster, Plan, EXACTLY_ONCE_CLASSES};
use crate::invariants::{violations, AnswerKind, Violation};
use std::collections::BTreeMap;

/// Number of violations listed when a check fails. A broken guard can cause thousands.
const MAX_NAMED_VIOLATIONS: usize = 8;

impl Cluster {
    /// Starts a fleet and its load, and waits until the first hundred calls have been answered with rows.
    ///
    /// # Panics
    ///
    /// As [`Cluster::started`], or if the calls aren't answered with rows within 40 seconds.
    pub fn started_under_load(test: &str, plan: &Plan) -> Cluster {
        let mut cluster = Cluster::started(test, plan);
        cluster.start_load();
        cluster.wait_for_answers(AnswerKind::Rows, 100);
        cluster
    }

    /// Starts a client for each gateway. The clients send calls continuously until [`Cluster::stop_load`].
    pub fn start_load(&mut self) {
        let first_connection = MAX_CONNECTIONS * self.load_count;
        self.load_count += 1;
        for client in 0..self.size() {
            let address = self.gateways[client].addresses.clients;
            let request_log = self.request_log.clone();
            let load = ClientLoad::start(address, client, first_connection, request_log);
            self.loads.push(load);
        }
    }

    /// Pauses the client of one gateway, and waits until all of its open calls are answered.
    ///
    /// # Panics
    ///
    /// If that takes more than 40 seconds, or no load is running.
    pub fn pause_load(&mut self, gateway: usize) {
        wait_until("the gateway listens", || self.is_listening(gateway));
        let load = &self.loads[gateway];
        load.pause();
        wait_until("the client's calls are answered", || load.open_calls() == 0);
    }

    /// Lets the client of one gateway send calls again.
    ///
    /// # Panics
    ///
    /// If no load is running.
    pub fn resume_load(&mut self, gateway: usize) {
        self.loads[gateway].resume();
    }

    /// Lets the client of a paused gateway send calls again, and waits until it has reached its limit of open calls.
    ///
    /// # Panics
    ///
    /// If that takes more than 40 seconds, or no load is running.
    pub fn fill_queue(&mut self, gateway: usize) {
        self.resume_load(gateway);
        let load = &self.loads[gateway];
        wait_until("the client has reached its limit of open calls", || {
            load.open_calls() == MAX_OPEN_CALLS
        });
    }

    /// Waits for `count` further answers of a kind, over all clients.
    ///
    /// # Panics
    ///
    /// If that takes more than 40 seconds.
    pub fn wait_for_answers(&self, kind: AnswerKind, count: usize) {
        let answers = || {
            let answers = self.request_log.answer_counts();
            answers.get(&kind).copied().unwrap_or(0)
        };
        let before = answers();
        let condition_name = format!("{count} further answers of kind {kind:?}");
        wait_until(&condition_name, || answers() >= before + count);
    }

    /// Waits for `count` further answers of a kind to the client of one gateway.
    ///
    /// # Panics
    ///
    /// If that takes more than 40 seconds.
    pub fn wait_for_answers_at(&self, gateway: usize, kind: AnswerKind, count: usize) {
        let answers = || self.request_log.answer_count_of_client(gateway, kind);
        let before = answers();
        let name = gateway_name(gateway);
        let condition_name = format!("{count} further answers of kind {kind:?} from {name}");
        wait_until(&condition_name, || answers() >= before + count);
    }

    /// Stops the load once all calls are answered, and returns the violations of the whole run.
    pub fn stop_load(&mut self) -> Vec<Violation> {
        self.loads.iter().for_each(ClientLoad::request_stop);
        self.loads.drain(..).for_each(ClientLoad::join);
        violations(&self.request_log.entries(), &EXACTLY_ONCE_CLASSES)
    }

    /// Stops the load, asserts that the run has no violations, and returns the number of answers of each kind.
    ///
    /// # Panics
    ///
    /// If the run violates an invariant.
    pub fn stop_load_and_check(&mut self) -> BTreeMap<AnswerKind, usize> {
        let violations = self.stop_load();
        let named: Vec<String> = violations
            .iter()
            .take(MAX_NAMED_VIOLATIONS)
            .map(Violation::to_string)
            .collect();
        assert!(
            violations.is_empty(),
            "{} invariant violations: {}",
            violations.len(),
            named.join("; ")
        );
        self.request_log.answer_counts()
    }
}
