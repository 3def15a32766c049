//! Rule: load shedding. Rejects queued requests that can no longer meet their objective, and those
//! beyond the capacity of their queue.

use crate::policy::Gateway;
use crate::Actions;

/// A queue may hold this many times the requests that the gateway's share of the cores serves
/// within the latency objective.
const QUEUE_OVERSUBSCRIPTION: f64 = 2.0;
/// The smallest capacity of a queue, in requests. With many gateways, the share of one of them may
/// be below one request.
const MIN_QUEUE_CAPACITY: f64 = 4.0;

impl Gateway {
    /// Rejects one request: the last one of a queue that is over its capacity, otherwise the first
    /// one that cannot be served in time. Keeps engines from working on answers that come too late
    /// to be useful, and lets clients try elsewhere early.
    pub(in crate::policy) fn shed_load(&mut self, actions: &mut dyn Actions) -> bool {
        for class_index in 0..self.classes.len() {
            let rejected = self
                .excess_request(class_index)
                .or_else(|| self.first_unservable(class_index));
            if let Some(index) = rejected {
                self.reject_or_fail(index, self.config.max_retry_after, actions);
                return true;
            }
        }
        false
    }

    /// The last request of the queue, if too many are queued for the same cells. Requests for other
    /// cells do not count, so that the queue of a slow cell does not cause rejections in others.
    fn excess_request(&self, class_index: usize) -> Option<usize> {
        let queue = &self.classes[class_index].queue;
        let &latest = queue.last()?;
        let cells = self.requests[latest].request.cells;
        let queued = queue
            .iter()
            .filter(|&&index| self.requests[index].request.cells == cells)
            .count();
        (queued > self.queue_capacity(class_index, cells)).then_some(latest)
    }

    /// The first request that may not be attempted again, or would not complete before its
    /// objective and its deadline.
    fn first_unservable(&self, class_index: usize) -> Option<usize> {
        let is_unservable = |index: usize| {
            let pending = &self.requests[index];
            let service_time = self.service_time(class_index, pending.request.cells, pending.work);
            !self.may_attempt_again(pending)
                || self.now + service_time > pending.objective.min(pending.deadline)
        };
        let mut queue = self.classes[class_index].queue.iter().copied();
        queue.find(|&index| is_unservable(index))
    }

    /// How many requests this gateway's share of the engines in these cells can serve within the
    /// latency objective.
    fn queue_capacity(&self, class_index: usize, cells: u64) -> usize {
        let typical_work = self.typical_work(class_index);
        let objective = self.config.classes[class_index].latency_objective(typical_work);
        let cores = self.cores_in_use(cells);
        let requests =
            QUEUE_OVERSUBSCRIPTION * cores * objective / typical_work / self.config.gateway_count;
        requests.max(MIN_QUEUE_CAPACITY) as usize
    }
}
