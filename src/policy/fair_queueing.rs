//! Fair queueing: the class with the least charged work for its weight goes first.

use super::{Gateway, FACTOR};
use crate::state::PendingRequest;
use crate::Actions;

impl Gateway {
    // Lowest charged work over weight first; if that fits nowhere, the next cell's, then the next class's.
    pub(super) fn release(&mut self, out: &mut dyn Actions) -> bool {
        let cores: f64 = self.engines.iter().filter(|e| e.in_use()).map(|e| e.cores).sum();
        self.share = (cores * FACTOR / self.m.gateways).max(4.0);
        let mut order: Vec<usize> = (0..self.classes.len()).collect();
        order.sort_by(|&a, &b| self.charge(a).total_cmp(&self.charge(b)));
        for b in order {
            for sub in self.firsts_in(b) {
                if let Some(engine) = self.place(sub) {
                    self.attempt(sub, engine, out);
                    return true;
                }
            }
        }
        false
    }

    /// Value for the work it takes; until that is known, value.
    pub(super) fn weight(&self, b: usize) -> f64 {
        let mut classes = self.classes.iter().zip(&self.m.classes);
        let known = classes.all(|(class, terms)| terms.closed || class.work.mean().is_some());
        self.m.classes[b].value / if known { self.usual_work(b) } else { 1.0 }
    }

    pub(super) fn charge(&self, b: usize) -> f64 {
        let class = &self.classes[b];
        class.charged + (class.threads * self.now - class.started) / self.weight(b)
    }

    pub(super) fn usual_work(&self, b: usize) -> f64 {
        self.classes[b].work.mean().unwrap_or(self.m.classes[b].expected * self.m.classes[b].threads)
    }

    /// Smallest work first among those that can still make their expected time; the first for each set of
    /// cells, in that order, against one that waits for its cell and holds up all others.
    pub(super) fn firsts_in(&self, b: usize) -> Vec<usize> {
        let late = |s: &PendingRequest| self.now + self.service(b, s.of.cells, s.work) > s.aim;
        let rank = |i: usize| (late(&self.subs[i]), self.subs[i].work);
        let less = |x: usize, y: usize| rank(x).partial_cmp(&rank(y)).unwrap_or(std::cmp::Ordering::Equal);
        let mut firsts: Vec<usize> = Vec::new();
        for i in self.classes[b].line.iter().copied().filter(|&i| self.may_go(i)) {
            match firsts.iter_mut().find(|f| self.subs[**f].of.cells == self.subs[i].of.cells) {
                Some(first) if less(i, *first).is_lt() => *first = i,
                Some(_) => {}
                None => firsts.push(i),
            }
        }
        firsts.sort_by(|&x, &y| less(x, y));
        firsts
    }

    pub(super) fn heavy(&self, b: usize) -> bool {
        (0..self.classes.len()).any(|o| self.usual_work(o) < self.usual_work(b))
    }

    /// Weights travel as priority: shares of scarce cores stand as 1 : 4 : 8 : 16.
    pub(super) fn priority(&self, b: usize) -> u8 {
        let most = (0..self.classes.len()).map(|b| self.weight(b)).fold(0.0, f64::max);
        let share = 16.0 * self.weight(b) / most;
        [2.0, 6.0, 12.0].iter().filter(|&&t| share >= t).count() as u8
    }
}
