//! Conversion between the simulator's time in nanoseconds and the policy's in milliseconds.

use ironstair::Millis;

const NANOS_PER_MILLI: f64 = 1e6;

pub(crate) fn to_millis(nanos: u64) -> Millis {
    nanos as f64 / NANOS_PER_MILLI
}

pub(crate) fn to_nanos(millis: Millis) -> u64 {
    (millis.max(0.0) * NANOS_PER_MILLI) as u64
}
