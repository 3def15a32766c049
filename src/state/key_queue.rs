//! The order of requests that share a key.

use crate::Millis;
use std::collections::VecDeque;

/// The open requests of one key.
#[derive(Default)]
pub(crate) struct KeyQueue {
    /// Their indices, in order of arrival.
    pub(crate) waiting: VecDeque<usize>,
    /// Until when no other request of the key starts, because an attempt of unknown outcome may
    /// still be running.
    pub(crate) quarantined_until: Millis,
}
