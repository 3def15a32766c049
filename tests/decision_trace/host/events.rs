//! The events of a scenario: each is turned into calls of the policy, and into further events.

use super::Host;
use crate::configurations::changed_config;
use crate::model::{Call, Event};
use ironstair::LoadMetric;

impl Host<'_> {
    /// Handles an event at its time.
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestArrives => self.on_arrival(),
            Event::RetryArrives(request) => self.send_request(request),
            Event::AttemptEnds(index, serial) => self.end_attempt(index, serial),
            Event::Progress(index, serial) => self.report_progress(index, serial),
            Event::Timer => self.call(Call::Timer),
            Event::LoadReport(index, is_requested) => self.report_load(index, is_requested),
            Event::FullEndpointList => {
                let endpoints = self.engines.iter().map(|engine| engine.endpoint).collect();
                self.call(Call::UpdateEndpoints(true, endpoints));
            }
            Event::EngineChanges => self.change_engine(),
            Event::EndpointWatchLost => self.lose_endpoint_watch(),
            Event::ClientCancels(index, serial) if self.is_open(index, serial) => {
                self.cancel(index);
            }
            Event::ClientCloses(index, serial) if self.is_open(index, serial) => {
                self.call(Call::ClientClosed(index));
            }
            Event::CellsAreRestricted(index, serial) if self.is_open(index, serial) => {
                let cells = self.random.below(8);
                self.call(Call::RestrictToCells(index, cells));
            }
            Event::ClientCancels(..) | Event::ClientCloses(..) | Event::CellsAreRestricted(..) => {}
            Event::ConfigChanges => self.change_config(),
            Event::LeaseIsRenewed => self.renew_lease(),
            Event::KeysAreQuarantined => self.quarantine_keys(),
            Event::ShutdownBegins => self.begin_shutdown(),
        }
    }

    /// A client sends a request; the next one follows after a drawn time.
    fn on_arrival(&mut self) {
        let request = self.draw_request();
        self.send_request(request);
        // During 3 s of every 8 s, three times as many requests arrive.
        let burst = if self.now % 8000.0 < 3000.0 { 3.0 } else { 1.0 };
        let interval = 2.0 * self.scenario.mean_arrival_interval / burst * self.random.unit();
        self.schedule(interval, Event::RequestArrives);
    }

    /// An engine reports the progress of an attempt; some reports have no share.
    fn report_progress(&mut self, index: usize, serial: u64) {
        let Some(attempt) = self.running_attempt(index, serial) else {
            return;
        };
        let duration = (attempt.ends_at - attempt.sent_at).max(1.0);
        let share = (self.now - attempt.sent_at) / duration;
        let share = if self.random.chance(0.05) {
            f64::NAN
        } else {
            share
        };
        self.call(Call::Progress(index, share));
        let next = self.random.between(50.0, 400.0);
        self.schedule(next, Event::Progress(index, serial));
    }

    /// An engine reports its load.
    fn report_load(&mut self, index: usize, is_requested: bool) {
        let engine = &self.engines[index];
        let machine_type = engine.endpoint.machine_type as usize;
        let cores = self.config.machine_types[machine_type].cores;
        let busy_threads = engine.busy_threads as f64;
        let utilization = busy_threads / cores * engine.slowdown;
        let report_fields = self.config.report_fields.iter();
        let values = report_fields.map(|metric| match metric {
            LoadMetric::Utilization => utilization.min(1.0),
            LoadMetric::HeldQueries => busy_threads,
            LoadMetric::Other => 17.0,
        });
        // Some reports are empty.
        let values: Vec<f64> = values.collect();
        let values = if self.random.chance(0.08) {
            vec![]
        } else {
            values
        };
        self.call(Call::LoadReport(index, values));
        if !is_requested {
            let next = self.random.between(100.0, 900.0);
            self.schedule(next, Event::LoadReport(index, false));
        }
    }

    /// The subscription to discovery is lost, and will be again.
    fn lose_endpoint_watch(&mut self) {
        self.call(Call::EndpointWatchLost);
        let next = self.random.between(3000.0, 9000.0);
        self.schedule(next, Event::EndpointWatchLost);
    }

    /// The client of an open request cancels it.
    fn cancel(&mut self, index: usize) {
        let request = self.requests[index].as_mut().expect("the request is open");
        request.is_over = true;
        let is_running = request.running.is_some();
        if is_running && self.config.may_withdraw {
            self.count("seen withdrawal for a client that cancelled");
        }
        self.call(Call::Cancel(index));
    }

    /// The configuration changes, and will again.
    fn change_config(&mut self) {
        let config = changed_config(self.config.clone(), &mut self.random);
        self.config = config.clone();
        self.call(Call::UpdateConfig(config));
        let next = self.random.between(200.0, 1500.0);
        self.schedule(next, Event::ConfigChanges);
    }

    /// The lease is renewed, and will be again.
    fn renew_lease(&mut self) {
        self.lease_until = self.now + self.random.between(900.0, 1500.0);
        self.call(Call::RenewLease(self.lease_until));
        // One renewal in ten comes too late.
        let next = if self.random.chance(0.1) {
            2500.0
        } else {
            500.0
        };
        self.schedule(next, Event::LeaseIsRenewed);
    }

    /// All keys are quarantined, and will be again.
    fn quarantine_keys(&mut self) {
        let until = self.now + self.random.between(50.0, 600.0);
        self.call(Call::QuarantineKeys(until));
        let next = self.random.between(3000.0, 6000.0);
        self.schedule(next, Event::KeysAreQuarantined);
    }

    /// The process begins to shut down.
    fn begin_shutdown(&mut self) {
        let shutdown_at = self.now + self.random.between(100.0, 900.0);
        for request in self.requests.iter_mut().flatten() {
            request.deadline = request.deadline.min(shutdown_at);
        }
        self.call(Call::BeginShutdown(shutdown_at));
        self.schedule(20_000.0, Event::ShutdownBegins);
    }
}
