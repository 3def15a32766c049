//! One simulated gateway.

use crate::action_writer::ActionWriter;
use crate::error::RecordError;
use crate::event::{self, AttemptEndedRecord, EndpointRecord, Event, RequestRecord};
use crate::frame::EngineAddress;
use ironstair::interner::Interner;
use ironstair::policy::Gateway;
use ironstair::{Endpoint, Millis, PolicyConfig, Request};

/// The policy of one gateway, with the indices that it uses for engines and requests.
pub(crate) struct Instance {
    number: u16,
    gateway: Gateway,
    class_count: usize,
    engines: Interner<EngineAddress>,
    requests: Interner<u64>,
}

impl Instance {
    pub(crate) fn new(number: u16, config: PolicyConfig, seed: u64) -> Self {
        Instance {
            number,
            class_count: config.classes.len(),
            gateway: Gateway::new(config, seed),
            engines: Interner::default(),
            requests: Interner::default(),
        }
    }

    /// Passes an event other than an endpoint list to the policy and writes the resulting actions to `output`.
    pub(crate) fn on_event(
        &mut self,
        now: Millis,
        event: Event,
        output: &mut Vec<u8>,
    ) -> Result<(), RecordError> {
        match event {
            Event::Timer => {
                let (gateway, mut actions) = self.policy(output);
                gateway.on_timer(now, &mut actions);
            }
            Event::Progress { request, share } => {
                if let Some(index) = self.requests.find(request) {
                    let (gateway, mut actions) = self.policy(output);
                    gateway.on_progress(now, index, share, &mut actions);
                }
            }
            Event::Request(request) => self.on_request(now, &request, output)?,
            Event::Cancelled { request } => {
                if let Some(index) = self.requests.find(request) {
                    let (gateway, mut actions) = self.policy(output);
                    gateway.on_cancel(now, index, &mut actions);
                }
            }
            Event::LoadReport { engine, values } => {
                self.on_load_report(now, engine, &values, output);
            }
            Event::AttemptEnded(ended) => self.on_attempt_ended(now, &ended, output),
            Event::Endpoints(_) | Event::Unused => {}
        }
        Ok(())
    }

    pub(crate) fn on_endpoint_watch_lost(&mut self, now: Millis, output: &mut Vec<u8>) {
        let (gateway, mut actions) = self.policy(output);
        gateway.endpoint_watch_lost(now, &mut actions);
    }

    /// Passes a whole endpoint list, or the changes to it, to the policy.
    pub(crate) fn on_endpoints(
        &mut self,
        now: Millis,
        is_full: bool,
        list: &[u8],
        output: &mut Vec<u8>,
    ) -> Result<(), RecordError> {
        let endpoints = event::endpoints(list).map(|record| Ok(self.endpoint(&record?)));
        let endpoints = endpoints.collect::<Result<Vec<Endpoint>, RecordError>>()?;
        let (gateway, mut actions) = self.policy(output);
        gateway.update_endpoints(now, is_full, &endpoints, &mut actions);
        Ok(())
    }

    fn endpoint(&mut self, record: &EndpointRecord) -> Endpoint {
        let mut id = [0; 8];
        id[..record.address.len()].copy_from_slice(&record.address);
        Endpoint {
            engine: self.engines.intern(record.address),
            id: u64::from_le_bytes(id),
            zone: record.zone,
            machine_type: record.machine_type,
            dedup_domain: record.dedup_domain,
            cells: 0,
            state: record.state,
            started_at: record.started_at,
        }
    }

    fn on_request(
        &mut self,
        now: Millis,
        record: &RequestRecord,
        output: &mut Vec<u8>,
    ) -> Result<(), RecordError> {
        if record.class >= self.class_count {
            return Err(RecordError::UnknownClass(record.class));
        }
        let request = Request {
            class: record.class,
            key: record.key,
            time_remaining: record.time_remaining,
            work: record.work,
            memory_mb: record.memory_mb,
            table_group: record.table_group,
            cells: 0,
            is_retry: record.is_retry,
        };
        let index = self.requests.intern(record.id);
        let (gateway, mut actions) = self.policy(output);
        gateway.on_request(now, index, request, &mut actions);
        Ok(())
    }

    fn on_load_report(
        &mut self,
        now: Millis,
        engine: EngineAddress,
        values: &[f64],
        output: &mut Vec<u8>,
    ) {
        if let Some(engine) = self.engines.find(engine) {
            let (gateway, mut actions) = self.policy(output);
            gateway.on_load_report(now, engine, values, &mut actions);
        }
    }

    fn on_attempt_ended(&mut self, now: Millis, ended: &AttemptEndedRecord, output: &mut Vec<u8>) {
        if !ended.load.is_empty() {
            self.on_load_report(now, ended.engine, &ended.load, output);
        }
        if let Some(index) = self.requests.find(ended.request) {
            let (gateway, mut actions) = self.policy(output);
            gateway.on_attempt_ended(now, index, ended.outcome, ended.is_final, &mut actions);
        }
    }

    fn policy<'a>(&'a mut self, output: &'a mut Vec<u8>) -> (&'a mut Gateway, ActionWriter<'a>) {
        let actions = ActionWriter {
            instance: self.number,
            output,
            engines: &self.engines,
            requests: &mut self.requests,
        };
        (&mut self.gateway, actions)
    }
}
