//! The state of the policy of one gateway.

use super::{ClassState, Engine, KeyQueue, PendingRequest};
use crate::random::Pcg;
use crate::stats::DecayingMean;
use crate::{Millis, PolicyConfig};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// All state on which the decisions of one gateway depend. The functions in `policy` make the
/// decisions.
#[derive(Default)]
pub struct Gateway {
    pub(crate) config: PolicyConfig,
    pub(crate) random: Pcg,
    /// Hashed from the seed; differs from gateway to gateway.
    pub(crate) seed_hash: u64,
    /// The time of the current event.
    pub(crate) now: Millis,
    pub(crate) engines: Vec<Engine>,
    pub(crate) requests: Vec<PendingRequest>,
    /// Indices of requests with an attempt in flight, in order of sending.
    pub(crate) in_flight: Vec<usize>,
    pub(crate) classes: Vec<ClassState>,
    /// Cache of the engine order hashed from each table group; cleared when the endpoint list
    /// changes.
    pub(crate) engine_order_by_table_group: RefCell<HashMap<u64, Vec<u32>>>,
    pub(crate) work_by_table_group: HashMap<u64, DecayingMean>,
    pub(crate) key_queues: BTreeMap<u64, KeyQueue>,
    /// The requests that arrived within the window of the retry budget, oldest first.
    pub(crate) arrivals: VecDeque<ArrivalCount>,
    /// When retries were sent, within the window of the retry budget.
    pub(crate) retries: VecDeque<Millis>,
    /// The number of probes that may be sent now; each request adds a fraction.
    pub(crate) probe_tokens: f64,
    /// The mean number of threads of an attempt in flight, weighted by time.
    pub(crate) threads_per_attempt: DecayingMean,
    /// Whether this gateway's even share of an engine has, for every machine type, fewer threads
    /// than one query of the class with the most threads.
    pub(crate) share_below_one_query: bool,
    /// Whether engines are asked for their load before heavy requests.
    pub(crate) probes_enabled: bool,
    /// This gateway's even share of all engines in use, in threads.
    pub(crate) thread_share: f64,
    /// When the next timer event requested from the host is due; no other one is requested before.
    pub(crate) next_wake_at: Millis,
    /// The end of the lease on the settings; infinite if nobody else may change them.
    pub(crate) lease_until: Millis,
    /// Until when no request that keeps the order of its key starts, because an earlier process of
    /// this gateway may have sent one that is still running.
    pub(crate) keys_quarantined_until: Millis,
    /// When to subscribe to the endpoint list; none while no subscription is due.
    pub(crate) resubscribe_at: Option<Millis>,
}

/// Requests that arrived at about the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalCount {
    /// When the first of them arrived.
    pub(crate) at: Millis,
    /// Their number.
    pub(crate) count: f64,
}

impl Gateway {
    /// The work of a typical request of a class, in ms on a thread. While none is known, the work
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

    /// The total cores of the engines in use in these cells (a bit each; 0 for all cells).
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
