//! Engines as discovery lists them.

use crate::Millis;

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes attempts.
    Ready,
    /// It finishes its attempts and takes no new ones.
    Draining,
    /// It is not in the list.
    #[default]
    Gone,
}

/// One engine as discovery lists it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The index that the host has assigned to it.
    pub engine: usize,
    /// Its id, the same at every gateway.
    pub id: u64,
    /// Its zone, by index.
    pub zone: u16,
    /// Its machine type, by index.
    pub machine_type: u16,
    /// Its deduplication domain, by index.
    pub dedup_domain: u16,
    /// The cells to which it belongs, a bit each.
    pub cells: u64,
    /// Whether it takes attempts.
    pub state: EndpointState,
    /// When its process started; 0 if that is long ago.
    pub started_at: Millis,
}
