//! The events of a run.

use crate::engine::AttemptId;
use crate::fleet::GatewayCount;
use ironstair::Millis;
use ironstair_coordination::{Heartbeat, HeartbeatResponse};

/// One process of a gateway. A gateway that restarts gets a new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    /// The gateway's index.
    pub gateway: usize,
    /// How often the gateway had restarted before this process started.
    pub process: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptEnd {
    Withdrawn,
    Completed,
    /// The engine had no free session.
    QueueFull,
    /// No engine process listened at the address.
    ConnectionRefused,
    /// The engine's process ended.
    ConnectionLost,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A client makes its next request.
    RequestCreated,
    RequestArrives {
        request: usize,
        gateway: usize,
    },
    AttemptArrives {
        attempt: AttemptId,
        engine: usize,
        /// The engine's process when the gateway sent the attempt.
        engine_process: u32,
    },
    WithdrawalArrives {
        attempt: AttemptId,
        engine: usize,
    },
    /// Queries of an engine may have completed. Ignored unless `tick` is the engine's latest.
    EngineTick {
        engine: usize,
        tick: u64,
    },
    AttemptEnded {
        attempt: AttemptId,
        end: AttemptEnd,
    },
    /// Ignored unless `timer` is the gateway's latest.
    TimerFires {
        process: ProcessId,
        timer: u64,
    },
    /// A gateway discovers the engines' current state.
    EndpointsDiscovered {
        process: ProcessId,
    },
    /// The scenario's fault with this index.
    FaultOccurs {
        index: usize,
    },
    GatewayRestarted {
        gateway: usize,
    },
    EngineRestarted {
        engine: usize,
    },
    FleetTick,
    /// Ignored unless `heartbeat` is the member's latest.
    HeartbeatDue {
        process: ProcessId,
        heartbeat: u64,
    },
    HeartbeatArrives {
        process: ProcessId,
        heartbeat: Box<Heartbeat>,
        sent_at: Millis,
    },
    HeartbeatAnswered {
        process: ProcessId,
        response: Box<HeartbeatResponse<GatewayCount>>,
    },
}

impl Event {
    /// The gateway whose process handles the event, or `None` for an event of another model. A paused process handles
    /// it when it resumes.
    pub(crate) fn handling_gateway(&self) -> Option<usize> {
        match self {
            Event::RequestArrives { gateway, .. } => Some(*gateway),
            Event::AttemptEnded { attempt, .. } => Some(attempt.process.gateway),
            Event::TimerFires { process, .. }
            | Event::EndpointsDiscovered { process }
            | Event::HeartbeatDue { process, .. }
            | Event::HeartbeatAnswered { process, .. } => Some(process.gateway),
            Event::RequestCreated
            | Event::AttemptArrives { .. }
            | Event::WithdrawalArrives { .. }
            | Event::EngineTick { .. }
            | Event::FaultOccurs { .. }
            | Event::GatewayRestarted { .. }
            | Event::EngineRestarted { .. }
            | Event::FleetTick
            | Event::HeartbeatArrives { .. } => None,
        }
    }
}
