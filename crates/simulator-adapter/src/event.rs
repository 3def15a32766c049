//! Decodes the records of a frame.

use crate::error::RecordError;
use crate::frame::{EngineAddress, FrameReader};
use crate::time::to_millis;
use ironstair::{Cost, EndpointState, Millis, Outcome};

pub(crate) const TIMER: u16 = 1;
pub(crate) const PROGRESS: u16 = 2;
pub(crate) const REQUEST: u16 = 3;
pub(crate) const ENDPOINTS: u16 = 4;
pub(crate) const CANCELLED: u16 = 5;
pub(crate) const LOAD_REPORT: u16 = 6;
pub(crate) const STOP_INSTANCE: u16 = 7;
pub(crate) const ATTEMPT_STARTED: u16 = 8;
pub(crate) const ENDPOINT_LIST: u16 = 9;
pub(crate) const START_INSTANCE: u16 = 10;
pub(crate) const ATTEMPT_ENDED: u16 = 11;
pub(crate) const PEER_MESSAGE: u16 = 12;

/// The topic of a progress record that reports which share of an attempt is done.
const SHARE_DONE: u8 = 1;

/// Flags of a request.
const HAS_WORK_ESTIMATE: u8 = 1;
const IS_RETRY: u8 = 2;

/// Length of one endpoint in a list, in bytes.
const ENDPOINT_BYTES: usize = 25;

/// A cost is encoded as one number: work in ms times this factor, plus memory in units of [`MEMORY_UNIT_MB`].
const WORK_FACTOR: u32 = 4096;
const MEMORY_UNIT_MB: u32 = 4;

/// An event of one instance.
pub(crate) enum Event {
    /// Time has passed.
    Timer,
    /// This share of an attempt of the request is done.
    Progress { request: u64, share: f64 },
    /// A client sent a request.
    Request(RequestRecord),
    /// The endpoint list changed.
    Endpoints(EndpointsRecord),
    /// A client cancelled a request.
    Cancelled { request: u64 },
    /// An engine reported its load.
    LoadReport {
        engine: EngineAddress,
        values: Vec<f64>,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEndedRecord),
    /// The policy uses nothing in the record.
    Unused,
}

pub(crate) struct RequestRecord {
    pub(crate) id: u64,
    pub(crate) class: usize,
    pub(crate) key: u64,
    pub(crate) time_remaining: Millis,
    /// The client's estimate of the work, if it gave one.
    pub(crate) work: Option<Millis>,
    pub(crate) memory_mb: f64,
    pub(crate) table_group: u64,
    pub(crate) is_retry: bool,
}

pub(crate) enum EndpointsRecord {
    /// No further changes will be sent.
    WatchLost,
    /// The list with this number contains the whole endpoint list, or only the changes to it.
    List { is_full: bool, list: u8 },
}

pub(crate) struct AttemptEndedRecord {
    pub(crate) request: u64,
    pub(crate) outcome: Outcome,
    /// Whether the request has ended: its client has the answer or is gone.
    pub(crate) is_final: bool,
    pub(crate) engine: EngineAddress,
    /// The engine's load, if it came with the answer.
    pub(crate) load: Vec<f64>,
}

/// One endpoint of a list.
pub(crate) struct EndpointRecord {
    pub(crate) address: EngineAddress,
    pub(crate) zone: u16,
    pub(crate) machine_type: u16,
    pub(crate) dedup_domain: u16,
    pub(crate) state: EndpointState,
    pub(crate) started_at: Millis,
}

/// A record that starts an instance.
pub(crate) struct StartRecord<'a> {
    pub(crate) seed: u64,
    pub(crate) settings: &'a [u8],
}

impl Event {
    /// Decodes the rest of a record, after its code and instance.
    pub(crate) fn read(code: u16, reader: &mut FrameReader<'_>) -> Result<Event, RecordError> {
        match code {
            TIMER => {
                reader.u64("token")?;
                Ok(Event::Timer)
            }
            PROGRESS => read_progress(reader),
            REQUEST => Ok(Event::Request(RequestRecord::read(reader)?)),
            ENDPOINTS => Ok(Event::Endpoints(EndpointsRecord::read(reader)?)),
            CANCELLED => Ok(Event::Cancelled {
                request: reader.u64("id")?,
            }),
            LOAD_REPORT => {
                let engine = reader.engine()?;
                reader.u8("status")?;
                reader.u64("latency")?;
                let values = reader.load_report()?;
                Ok(Event::LoadReport { engine, values })
            }
            ATTEMPT_STARTED => {
                reader.u64("id")?;
                reader.u8("attempt")?;
                reader.engine()?;
                reader.u64("latency")?;
                Ok(Event::Unused)
            }
            ATTEMPT_ENDED => Ok(Event::AttemptEnded(AttemptEndedRecord::read(reader)?)),
            PEER_MESSAGE => {
                reader.u32("sender")?;
                let length = reader.u16("message length")?;
                reader.bytes(usize::from(length), "message")?;
                Ok(Event::Unused)
            }
            unknown => Err(RecordError::UnknownCode(unknown)),
        }
    }
}

fn read_progress(reader: &mut FrameReader<'_>) -> Result<Event, RecordError> {
    let request = reader.u64("id")?;
    let share = reader.f32("value")?;
    let topic = reader.u8("topic")?;
    reader.u8("attempt")?;
    reader.engine()?;
    Ok(match topic {
        SHARE_DONE => Event::Progress { request, share },
        _ => Event::Unused,
    })
}

impl RequestRecord {
    fn read(reader: &mut FrameReader<'_>) -> Result<Self, RecordError> {
        let id = reader.u64("id")?;
        let class = usize::from(reader.u8("class")?);
        reader.u16("tenant")?;
        let key = reader.u64("key")?;
        let time_remaining = to_millis(reader.u64("time left")?);
        let work = to_millis(reader.u64("hint")?);
        let memory_mb = reader.f32("memory")?;
        let table_group = u64::from(reader.u32("tables")?);
        let flags = reader.u8("flags")?;
        let has_work = flags & HAS_WORK_ESTIMATE != 0 && work > 0.0;
        Ok(RequestRecord {
            id,
            class,
            key,
            time_remaining,
            work: has_work.then_some(work),
            memory_mb,
            table_group,
            is_retry: flags & IS_RETRY != 0,
        })
    }
}

impl EndpointsRecord {
    /// The mode of a list that contains only changes.
    const CHANGES: u8 = 0;
    const WATCH_LOST: u8 = 3;

    fn read(reader: &mut FrameReader<'_>) -> Result<Self, RecordError> {
        let mode = reader.u8("mode")?;
        reader.u64("version")?;
        let list = reader.u8("list number")?;
        if mode == Self::WATCH_LOST {
            return Ok(EndpointsRecord::WatchLost);
        }
        Ok(EndpointsRecord::List {
            is_full: mode != Self::CHANGES,
            list,
        })
    }
}

impl AttemptEndedRecord {
    fn read(reader: &mut FrameReader<'_>) -> Result<Self, RecordError> {
        let request = reader.u64("id")?;
        let status = reader.u8("status")?;
        reader.u64("latency")?;
        reader.u8("attempt")?;
        let cost = reader.u32("cost")?;
        let is_final = reader.u8("closed")? != 0;
        let engine = reader.engine()?;
        let load = reader.load_report()?;
        Ok(AttemptEndedRecord {
            request,
            outcome: outcome(status, cost)?,
            is_final,
            engine,
            load,
        })
    }
}

fn outcome(status: u8, cost: u32) -> Result<Outcome, RecordError> {
    Ok(match status {
        0 => Outcome::EngineError,
        1 => Outcome::Completed(decode_cost(cost)),
        2 => Outcome::Rejected,
        3 => Outcome::TimedOut,
        4 => Outcome::ConnectFailed,
        5 => Outcome::ConnectionLost,
        6 => Outcome::Withdrawn,
        7 => Outcome::Unsent,
        unknown => return Err(RecordError::UnknownOutcome(unknown)),
    })
}

/// Decodes the cost in an answer; zero means that the answer contains none.
fn decode_cost(cost: u32) -> Option<Cost> {
    (cost > 0).then(|| Cost {
        work: f64::from(cost / WORK_FACTOR),
        memory_mb: f64::from(cost % WORK_FACTOR * MEMORY_UNIT_MB),
    })
}

impl<'a> StartRecord<'a> {
    pub(crate) fn read(reader: &mut FrameReader<'a>) -> Result<Self, RecordError> {
        let seed = reader.u64("seed")?;
        let length = reader.u32("start message length")? as usize;
        let settings = reader.bytes(length, "start message")?;
        Ok(StartRecord { seed, settings })
    }
}

/// An endpoint list as the simulator sent it, with its number.
pub(crate) struct EndpointList {
    pub(crate) number: u8,
    pub(crate) bytes: Vec<u8>,
}

impl EndpointList {
    pub(crate) fn read(reader: &mut FrameReader<'_>) -> Result<Self, RecordError> {
        let number = reader.u8("list number")?;
        let count = reader.u32("list length")? as usize;
        let length = count
            .checked_mul(ENDPOINT_BYTES)
            .ok_or(RecordError::ListTooLong)?;
        let bytes = reader.bytes(length, "list")?.to_vec();
        Ok(EndpointList { number, bytes })
    }
}

/// Decodes the endpoints of a list.
pub(crate) fn endpoints(
    list: &[u8],
) -> impl Iterator<Item = Result<EndpointRecord, RecordError>> + '_ {
    list.chunks_exact(ENDPOINT_BYTES).map(EndpointRecord::read)
}

impl EndpointRecord {
    fn read(bytes: &[u8]) -> Result<Self, RecordError> {
        let mut reader = FrameReader::new(bytes);
        let address = reader.engine()?;
        let zone = reader.u16("zone")?;
        let machine_type = reader.u16("kind")?;
        let dedup_domain = reader.u16("cell")?;
        let state = match reader.u8("state")? {
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            _ => EndpointState::Gone,
        };
        reader.f32("weight")?;
        let started_at = to_millis(reader.u64("start")?);
        Ok(EndpointRecord {
            address,
            zone,
            machine_type,
            dedup_domain,
            state,
            started_at,
        })
    }
}
