//! Start, pause and end of the load on a cluster, and the check of its invariants.

use super::load::{ClientLoad, MAX_CONNECTIONS, MAX_OPEN_CALLS};
use super::{gateway_name, wait_until, Cluster, Plan, EXACTLY_ONCE_CLASSES};
use crate::invariants::{violations, AnswerKind, Violation};
use std::collections::BTreeMap;

/// Violations that a failed check names; a broken guard can cause thousands.
const MAX_NAMED_VIOLATIONS: usize = 8;

impl Cluster {
    /// Starts a fleet and its load, and waits for the first hundred calls to be settled.
    ///
    /// # Panics
    ///
    /// As [`Cluster::started`], or if the calls aren't settled within 40 seconds.
    pub fn started_under_load(test: &str, plan: &Plan) -> Cluster {
        let mut cluster = Cluster::started(test, plan);
        cluster.start_load();
        cluster.wait_for_answers(AnswerKind::Rows, 100);
        cluster
    }

    /// Starts a client of each gateway. Each calls all the time, until [`Cluster::stop_load`].
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

    /// Stops new calls of one gateway's client, and waits until its calls are answered.
    ///
    /// # Panics
    ///
    /// If that takes more than 40 seconds, or there is no load.
    pub fn pause_load(&mut self, gateway: usize) {
        wait_until("the gateway listens", || self.is_listening(gateway));
        let load = &self.loads[gateway];
        load.pause();
        wait_until("the client's calls are answered", || load.open_calls() == 0);
    }

    /// Lets one gateway's client call again.
    ///
    /// # Panics
    ///
    /// If there is no load.
    pub fn resume_load(&mut self, gateway: usize) {
        self.loads[gateway].resume();
    }

    /// Lets the client of a paused gateway call again, and waits until it has as many open calls as it may.
    ///
    /// # Panics
    ///
    /// If that takes more than 40 seconds, or there is no load.
    pub fn fill_queue(&mut self, gateway: usize) {
        self.resume_load(gateway);
        let load = &self.loads[gateway];
        wait_until("the client has as many open calls as it may", || {
            load.open_calls() == MAX_OPEN_CALLS
        });
    }

    /// Waits for that many further answers of a kind, over all clients.
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
        let condition_name = format!("{count} further answers {kind:?}");
        wait_until(&condition_name, || answers() >= before + count);
    }

    /// Waits for that many further answers of a kind at one gateway's client.
    ///
    /// # Panics
    ///
    /// If that takes more than 40 seconds.
    pub fn wait_for_answers_at(&self, gateway: usize, kind: AnswerKind, count: usize) {
        let answers = || self.request_log.answer_count_of_client(gateway, kind);
        let before = answers();
        let name = gateway_name(gateway);
        let condition_name = format!("{count} further answers {kind:?} of {name}");
        wait_until(&condition_name, || answers() >= before + count);
    }

    /// Ends the load once all calls are answered, and returns the violations of the whole run.
    pub fn stop_load(&mut self) -> Vec<Violation> {
        self.loads.iter().for_each(ClientLoad::request_stop);
        self.loads.drain(..).for_each(ClientLoad::join);
        violations(&self.request_log.entries(), &EXACTLY_ONCE_CLASSES)
    }

    /// Ends the load, and returns how many answers of each kind there were.
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
            "{} violations: {}",
            violations.len(),
            named.join("; ")
        );
        self.request_log.answer_counts()
    }
}
