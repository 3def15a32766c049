//! Weighted fair queueing between classes, and the order of requests by work within a class.

use super::Gateway;
use crate::Millis;
use std::cmp::Ordering;

/// The weight share of the class with the highest weight, on the scale of [`PRIORITY_STEPS`].
const HIGHEST_WEIGHT_SHARE: f64 = 16.0;
/// The weight shares from which on a class has the next higher priority. Engines divide scarce
/// cores between the priorities in the ratio 1 : 4 : 8 : 16; the steps lie between these numbers.
const PRIORITY_STEPS: [f64; 3] = [2.0, 6.0, 12.0];

/// The sort key of the requests of one class: those that can still meet their objective come first,
/// then those with less work.
#[derive(PartialEq, PartialOrd)]
struct Rank {
    misses_objective: bool,
    work: Millis,
}

impl Rank {
    fn compare(&self, other: &Rank) -> Ordering {
        self.partial_cmp(other).unwrap_or(Ordering::Equal)
    }
}

impl Gateway {
    /// The class's weight: the value of a request divided by its typical work. While the work of
    /// any class in service is unknown, the value alone, so that all weights have the same unit.
    pub(super) fn weight(&self, class_index: usize) -> f64 {
        let mut classes = self.classes.iter().zip(&self.config.classes);
        let is_work_known =
            classes.all(|(class, policy)| policy.out_of_service || class.work.mean().is_some());
        let work = if is_work_known {
            self.typical_work(class_index)
        } else {
            1.0
        };
        self.config.classes[class_index].value / work
    }

    /// The highest weight of all classes.
    pub(super) fn max_weight(&self) -> f64 {
        (0..self.classes.len())
            .map(|class_index| self.weight(class_index))
            .fold(0.0, f64::max)
    }

    /// The thread time that the class has used, divided by its weight: that of ended attempts as it
    /// was charged, and that of attempts in flight until now.
    pub(super) fn charged_work(&self, class_index: usize) -> f64 {
        let class = &self.classes[class_index];
        class.charged + class.running.thread_time(self.now) / self.weight(class_index)
    }

    /// The requests of a class that may be sent next, by rank: for each set of cells, the request
    /// that ranks first. One for each set, so that a request that waits for its cell does not block
    /// requests for other cells.
    pub(super) fn candidates(&self, class_index: usize) -> Vec<usize> {
        let mut firsts: Vec<usize> = Vec::new();
        for &index in &self.classes[class_index].queue {
            if !self.may_start(index) {
                continue;
            }
            let cells = self.requests[index].request.cells;
            let first = firsts
                .iter_mut()
                .find(|first| self.requests[**first].request.cells == cells);
            match first {
                Some(first) if self.compare_by_rank(index, *first).is_lt() => *first = index,
                Some(_) => {}
                None => firsts.push(index),
            }
        }
        firsts.sort_by(|&left, &right| self.compare_by_rank(left, right));
        firsts
    }

    /// Which of two requests comes first.
    fn compare_by_rank(&self, left: usize, right: usize) -> Ordering {
        self.rank(left).compare(&self.rank(right))
    }

    fn rank(&self, index: usize) -> Rank {
        let pending = &self.requests[index];
        let service_time =
            self.service_time(pending.request.class, pending.request.cells, pending.work);
        Rank {
            misses_objective: self.now + service_time > pending.objective,
            work: pending.work,
        }
    }

    /// Whether the class is heavy: a typical request of some other class needs less work.
    pub(super) fn is_heavy(&self, class_index: usize) -> bool {
        let typical_work = self.typical_work(class_index);
        (0..self.classes.len()).any(|other| self.typical_work(other) < typical_work)
    }

    /// The class's priority, from 0 to 3, by its weight.
    pub(super) fn priority(&self, class_index: usize) -> u8 {
        let share = HIGHEST_WEIGHT_SHARE * self.weight(class_index) / self.max_weight();
        let steps = PRIORITY_STEPS.iter().filter(|&&step| share >= step);
        steps.count() as u8
    }
}
