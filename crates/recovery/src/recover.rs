//! The rules by which a process uses the snapshot that the previous process left.

use crate::snapshot::{Engine, Snapshot};
use ironstair::Millis;
use std::fmt::Display;

/// Age limit of a recovered endpoint list, in ms: engines in an older list may have moved to other addresses.
pub const MAX_LIST_AGE: Millis = 60_000.0;
/// How far in the future a snapshot's time may be, in ms; beyond that the clock counts as set back.
const CLOCK_TOLERANCE: Millis = 1000.0;

/// What the process takes over from the previous one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovery {
    /// The endpoint list to use until the name service answers.
    pub endpoints: Option<RecoveredList>,
    /// Whether idempotency keys must be quarantined, because the previous process may have left attempts in flight.
    pub needs_key_quarantine: bool,
    /// Why the snapshot or its endpoint list is not used, for the log; `None` if both are used or there is no snapshot.
    pub note: Option<String>,
}

/// The endpoint list of the previous process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredList {
    /// The serial number of the list's last change.
    pub serial: u32,
    /// The time in ms since the list was last received.
    pub age: Millis,
    /// The engines of the list, without the draining ones.
    pub engines: Vec<Engine>,
}

impl Recovery {
    /// Nothing is known about the previous process, so it may have left any attempt in flight.
    fn nothing(note: Option<String>) -> Recovery {
        Recovery {
            endpoints: None,
            needs_key_quarantine: true,
            note,
        }
    }
}

/// The inputs of the rules.
struct RuleInputs<'a> {
    snapshot: &'a Snapshot,
    /// Unix time in ms.
    now: Millis,
    /// The serial number of the configuration file's endpoint list.
    config_serial: u32,
}

/// A rule that rejects the snapshot's endpoint list.
struct Rejection {
    applies: fn(&RuleInputs) -> bool,
    reason: &'static str,
}

/// The rules, in the order in which they are checked; the first that applies gives the reason.
const LIST_REJECTIONS: [Rejection; 4] = [
    Rejection {
        applies: |inputs| inputs.snapshot.written_at > inputs.now + CLOCK_TOLERANCE,
        reason: "the snapshot was written in the future: the clock was set back",
    },
    Rejection {
        applies: |inputs| inputs.now - inputs.snapshot.heard_at > MAX_LIST_AGE,
        reason: "the endpoint list in the snapshot exceeds its age limit",
    },
    Rejection {
        applies: |inputs| inputs.config_serial > inputs.snapshot.serial,
        reason: "the endpoint list of the configuration file is newer than the one in the snapshot",
    },
    Rejection {
        applies: |inputs| inputs.snapshot.engines.is_empty(),
        reason: "the endpoint list in the snapshot is empty",
    },
];

/// Decides what this process of the gateway `gateway` uses of the snapshot. `read` is the result of reading the
/// snapshot, `config_serial` the serial number of the configuration file's endpoint list; `now` is Unix time in ms.
pub fn recover<E: Display>(
    read: Result<Option<Snapshot>, E>,
    gateway: &str,
    now: Millis,
    config_serial: u32,
) -> Recovery {
    let snapshot = match read {
        Ok(Some(snapshot)) => snapshot,
        Ok(None) => return Recovery::nothing(None),
        Err(error) => return Recovery::nothing(Some(error.to_string())),
    };
    if snapshot.gateway != gateway {
        return Recovery::nothing(Some(format!(
            "the snapshot belongs to gateway {}, not to {gateway}",
            snapshot.gateway
        )));
    }
    let inputs = RuleInputs {
        snapshot: &snapshot,
        now,
        config_serial,
    };
    let rejection = LIST_REJECTIONS
        .iter()
        .find(|rejection| (rejection.applies)(&inputs));
    // If the clock was set back, the time since the end of the previous process is unknown.
    let is_time_plausible = snapshot.written_at <= now + CLOCK_TOLERANCE;
    let needs_key_quarantine = !(snapshot.ended_cleanly && is_time_plausible);
    let mut recovery = Recovery {
        endpoints: None,
        needs_key_quarantine,
        note: rejection.map(|rejection| rejection.reason.into()),
    };
    if rejection.is_none() {
        let engines = snapshot
            .engines
            .into_iter()
            .filter(|engine| !engine.draining);
        recovery.endpoints = Some(RecoveredList {
            serial: snapshot.serial,
            age: (now - snapshot.heard_at).max(0.0),
            engines: engines.collect(),
        });
    }
    recovery
}
