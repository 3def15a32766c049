//! The ids of requests that may have run, and whose client left without an answer.

use ironstair::Millis;
use ironstair_runtime::RequestId;
use std::collections::{HashMap, VecDeque};

/// The most ids that are remembered; then the oldest is forgotten.
const MAX_IDS: usize = 16_384;

/// Remembers ids for some time: a request that comes again under one of them could run a second time.
#[derive(Default)]
pub(super) struct DepartedRequests {
    /// Until when each id is remembered.
    until: HashMap<RequestId, Millis>,
    /// The ids in the order in which they were added.
    order: VecDeque<RequestId>,
}

impl DepartedRequests {
    /// Remembers an id until this time.
    pub(super) fn insert(&mut self, id: RequestId, until: Millis) {
        if self.until.insert(id, until).is_none() {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_IDS {
            self.forget_oldest();
        }
    }

    /// Whether an id is remembered. Forgets the oldest ids whose time is over.
    pub(super) fn contains(&mut self, id: &RequestId, now: Millis) -> bool {
        while self.is_oldest_over(now) {
            self.forget_oldest();
        }
        self.until.get(id).is_some_and(|until| now < *until)
    }

    fn is_oldest_over(&self, now: Millis) -> bool {
        let oldest = self.order.front();
        oldest.is_some_and(|id| self.until.get(id).is_none_or(|until| *until <= now))
    }

    fn forget_oldest(&mut self) {
        if let Some(id) = self.order.pop_front() {
            self.until.remove(&id);
        }
    }
}
