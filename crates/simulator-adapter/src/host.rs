//! The simulated gateways in one process.

use crate::action_writer::write_start_refused;
use crate::error::{AdapterError, RecordError};
use crate::event::{self, EndpointList, EndpointsRecord, Event, StartRecord};
use crate::frame::FrameReader;
use crate::instance::Instance;
use crate::time::to_millis;
use ironstair::Millis;
use ironstair_settings::read_policy_config;
use std::collections::BTreeMap;

/// The simulated gateways, by instance number, and the last endpoint list of each list number.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u8, Vec<u8>>,
}

/// The contents of one frame.
pub(crate) struct Batch<'a> {
    pub(crate) number: u64,
    pub(crate) record_count: u32,
    pub(crate) clock_nanos: u64,
    pub(crate) body: &'a [u8],
}

impl Host {
    /// Handles all records of a batch at the time of the batch's clock. Returns the reply without its header.
    pub(crate) fn handle(&mut self, batch: &Batch<'_>) -> Result<Vec<u8>, AdapterError> {
        let mut output = Vec::new();
        let mut reader = FrameReader::new(batch.body);
        let now = to_millis(batch.clock_nanos);
        for record in 0..batch.record_count {
            let offset = reader.position();
            let handled = self.handle_record(&mut reader, now, &mut output);
            handled.map_err(|source| AdapterError::Record {
                batch: batch.number,
                record,
                offset,
                source,
            })?;
        }
        if reader.remaining() > 0 {
            return Err(AdapterError::TrailingBytes {
                batch: batch.number,
                bytes: reader.remaining(),
                records: batch.record_count,
            });
        }
        Ok(output)
    }

    fn handle_record(
        &mut self,
        reader: &mut FrameReader<'_>,
        now: Millis,
        output: &mut Vec<u8>,
    ) -> Result<(), RecordError> {
        let code = reader.u16("code")?;
        // This record is the only one that does not belong to an instance.
        if code == event::ENDPOINT_LIST {
            let list = EndpointList::read(reader)?;
            self.lists.insert(list.number, list.bytes);
            return Ok(());
        }
        if !(event::TIMER..=event::PEER_MESSAGE).contains(&code) {
            return Err(RecordError::UnknownCode(code));
        }
        let instance = reader.u16("instance")?;
        match code {
            event::START_INSTANCE => {
                self.start(instance, &StartRecord::read(reader)?, output);
                Ok(())
            }
            event::STOP_INSTANCE => {
                self.instances.remove(&instance);
                Ok(())
            }
            _ => {
                let started = self.instances.get_mut(&instance);
                let started = started.ok_or(RecordError::UnknownInstance { code, instance })?;
                match Event::read(code, reader)? {
                    Event::Endpoints(record) => {
                        on_endpoints(started, &self.lists, now, &record, output)
                    }
                    event => started.on_event(now, event, output),
                }
            }
        }
    }

    /// Starts an instance. If its settings can't be used, the reply refuses the start and other instances continue.
    fn start(&mut self, instance: u16, record: &StartRecord<'_>, output: &mut Vec<u8>) {
        match read_policy_config(record.settings) {
            Ok(config) => {
                let started = Instance::new(instance, config, record.seed);
                self.instances.insert(instance, started);
            }
            Err(error) => {
                write_start_refused(output, instance, &format!("start message: {error}"));
                self.instances.remove(&instance);
            }
        }
    }
}

fn on_endpoints(
    instance: &mut Instance,
    lists: &BTreeMap<u8, Vec<u8>>,
    now: Millis,
    record: &EndpointsRecord,
    output: &mut Vec<u8>,
) -> Result<(), RecordError> {
    match record {
        EndpointsRecord::WatchLost => {
            instance.on_endpoint_watch_lost(now, output);
            Ok(())
        }
        EndpointsRecord::List { is_full, list } => {
            let bytes = lists.get(list).ok_or(RecordError::UnknownList(*list))?;
            instance.on_endpoints(now, *is_full, bytes, output)
        }
    }
}
