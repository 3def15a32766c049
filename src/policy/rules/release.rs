//! Rule: start an attempt of a queued request.

use crate::policy::capacity::MIN_THREAD_SHARE;
use crate::policy::engine_health::THREADS_PER_CORE;
use crate::policy::Gateway;
use crate::Actions;

impl Gateway {
    /// Starts one attempt of a queued request on an engine with capacity. The order between classes
    /// is weighted fair queueing by thread time: the class with the least charged work for its
    /// weight comes first. If none of its candidates fits on an engine, the next class follows, so
    /// that a request that waits for its engines does not block the others.
    ///
    /// Reads the queues and all engines, and updates `thread_share`.
    pub(in crate::policy) fn dispatch_request(&mut self, actions: &mut dyn Actions) -> bool {
        let share = self.cores_in_use(0) * THREADS_PER_CORE / self.config.gateway_count;
        self.thread_share = share.max(MIN_THREAD_SHARE);
        for class_index in self.classes_by_charged_work() {
            for index in self.candidates(class_index) {
                if let Some(engine) = self.choose_engine(index) {
                    self.start_attempt(index, engine, actions);
                    return true;
                }
            }
        }
        false
    }

    /// Class indices by increasing charged work.
    fn classes_by_charged_work(&self) -> Vec<usize> {
        let mut class_indices: Vec<usize> = (0..self.classes.len()).collect();
        class_indices
            .sort_by(|&left, &right| self.charged_work(left).total_cmp(&self.charged_work(right)));
        class_indices
    }
}
