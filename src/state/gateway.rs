//! The state of the whole policy.

use super::{ClassState, Engine, KeyQueue, PendingRequest};
use crate::random::Pcg;
use crate::stats::DecayingMean;
use crate::{Millis, PolicyConfig};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// All that the decisions of one gateway depend on. The functions in `policy` make the decisions.
#[derive(Default)]
pub struct Gateway {
    pub(crate) config: PolicyConfig,
    pub(crate) random: Pcg,
    /// Hashed from the seed; differs from gateway to gateway.
    pub(crate) seed_hash: u64,
    /// The time of the present event.
    pub(crate) now: Millis,
    pub(crate) engines: Vec<Engine>,
    pub(crate) requests: Vec<PendingRequest>,
    /// Indices of requests with an attempt in flight, in order of sending.
    pub(crate) in_flight: Vec<usize>,
    pub(crate) classes: Vec<ClassState>,
    /// A cache: engines in the order hashed from a table group, until the endpoint list changes.
    pub(crate) engine_order_by_table_group: RefCell<HashMap<u64, Vec<u32>>>,
    pub(crate) work_by_table_group: HashMap<u64, DecayingMean>,
    pub(crate) key_queues: BTreeMap<u64, KeyQueue>,
    /// When requests arrived and retries were sent, within the span of the retry budget.
    pub(crate) arrivals: VecDeque<Millis>,
    pub(crate) retries: VecDeque<Millis>,
    /// Probes that may be sent now; requests add a fraction each.
    pub(crate) probe_tokens: f64,
    /// Threads of a usual attempt in flight.
    pub(crate) threads_per_attempt: DecayingMean,
    /// Whether this gateway's even share of any engine is less than one query of the widest class.
    pub(crate) share_below_one_query: bool,
    /// Whether engines are asked for their load before wide queries.
    pub(crate) probes_enabled: bool,
    /// This gateway's even share of all engines in use, in threads.
    pub(crate) thread_share: f64,
    /// The next timer event for which the host was asked; none is asked for before it.
    pub(crate) next_wake_at: Millis,
    /// Until when the settings hold; infinite if nobody else may change them.
    pub(crate) lease_until: Millis,
    /// Until when no request with a key starts: an earlier process of this gateway may have sent
    /// one.
    pub(crate) keys_quarantined_until: Millis,
    /// When to ask discovery for the endpoint list again.
    pub(crate) resubscribe_at: Option<Millis>,
}

impl Gateway {
    /// The work of a usual request of a class, in ms on a thread. Before any is known, the work
    /// that fills the class's base objective.
    pub(crate) fn typical_work(&self, class_index: usize) -> Millis {
        let policy = &self.config.classes[class_index];
        self.classes[class_index]
            .work
            .mean()
            .unwrap_or(policy.base_objective * policy.threads)
    }

    /// Whether this request has to keep the order of its key.
    pub(crate) fn is_keyed(&self, index: usize) -> bool {
        let request = &self.requests[index].request;
        request.key != 0 && self.config.classes[request.class].preserves_key_order
    }

    /// Cores of all engines in use in these cells (a bit each; 0 for all cells).
    pub(crate) fn cores_in_use(&self, cells: u64) -> f64 {
        self.engines
            .iter()
            .filter(|engine| engine.is_in_use() && engine.is_in_cells(cells))
            .map(|engine| engine.cores)
            .sum()
    }

    /// The class of a request, by index.
    pub(crate) fn class_of(&self, index: usize) -> usize {
        self.requests[index].request.class
    }
}
