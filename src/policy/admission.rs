//! Admission: taking a request, rejecting what can no longer make its objective, the final answer.

use super::{within, Gateway, LITTLE, LONG_HALF};
use crate::state::{Engine, PendingRequest};
use crate::{Actions, Effect, Ms, Request, Within};

/// Table groups of which is kept what share they have, and their order while the endpoint list does not change.
const ORDERS: usize = 256;
/// Probes for each request taken, and the most at once: each costs engines work.
const PROBES: f64 = 0.7;
const AT_ONCE: f64 = 10.0;

impl Gateway {
    pub fn take(&mut self, now: Ms, sub: usize, of: Request, out: &mut dyn Actions) {
        self.now = now;
        // Idle time is not banked: a class that comes back starts level with the lowest active one.
        let active = |b: usize| !self.classes[b].line.is_empty() || self.classes[b].threads > 0.5;
        let others = (0..self.classes.len()).filter(|&b| active(b)).map(|b| self.charge(b));
        if let Some(level) = others.reduce(f64::min).filter(|_| !active(of.class)) {
            self.classes[of.class].charged = level.max(self.classes[of.class].charged);
        }
        let (terms, class) = (&self.m.classes[of.class], &mut self.classes[of.class]);
        // The mean of what scatters evenly by its logarithm.
        let guess = of.work.map(|h| class.work_of.of(h, LITTLE, |spread| spread * spread / 2.0));
        if let Some(work) = guess {
            class.work.add(now, LONG_HALF, work, 1.0);
        }
        let work = guess.or(class.work.mean()).unwrap_or(terms.expected * terms.threads / 4.0).max(1.0);
        // What it lacks of the time that others come with was spent in a gateway that stood still or on earlier
        // tries; where less is left than it is wanted within, and no later try is marked, its client lacks patience.
        let (time, usual) = (within(terms, work), &mut class.usual_left);
        *usual += match *usual {
            0.0 => of.left,
            usual if of.left > usual => 0.1 * (of.left - usual),
            _ => -0.01 * time,
        };
        let spent = of.later_try || !self.m.tries_marked && of.left > time;
        let lacks = if spent { (*usual - of.left).max(0.0) } else { 0.0 };
        let (aim, limit) = (now + time - lacks, now + of.left);
        class.line.push(sub);
        if self.subs.len() <= sub {
            self.subs.resize_with(sub + 1, PendingRequest::default);
        }
        self.subs[sub] = PendingRequest {
            of,
            work,
            open: true,
            aim,
            limit,
            draw: self.chance.draw(),
            ..Default::default()
        };
        (self.subs[sub].under, self.subs[sub].most) = (class.terms.clone(), self.m.max_attempts);
        if self.keyed(sub) {
            self.keys.entry(of.key).or_default().0.push_back(sub);
        }
        if self.work_of_tables.len() >= ORDERS && !self.work_of_tables.contains_key(&of.tables) {
            (self.work_of_tables, self.orders) = Default::default();
        }
        self.work_of_tables.entry(of.tables).or_default().add(now, LONG_HALF, work, 0.0);
        self.taken_at.push_back(now);
        self.probes = (self.probes + PROBES).min(AT_ONCE);
        if self.m.classes[of.class].closed {
            self.end(sub, self.m.max_retry_after, out);
        }
        self.due(now, out);
    }

    pub(super) fn reject(&mut self, out: &mut dyn Actions) -> bool {
        for b in 0..self.classes.len() {
            let line = &self.classes[b].line;
            let hopeless = |i: &usize| {
                let s = &self.subs[*i];
                !self.may_attempt_again(s)
                    || self.now + self.service(b, s.of.cells, s.work) > s.aim.min(s.limit)
            };
            // Against a cell whose line would reject what others could still take.
            let full = line.last().filter(|&&i| {
                let cells = self.subs[i].of.cells;
                let same = |i: &&usize| self.subs[**i].of.cells == cells;
                line.iter().filter(same).count() > self.room(b, cells)
            });
            if let Some(i) = full.or(line.iter().find(|i| hopeless(i))).copied() {
                return self.end(i, self.m.max_retry_after, out);
            }
        }
        false
    }

    /// A line longer than this gateway's share of the fleet can work off in the expected time is full.
    pub(super) fn room(&self, b: usize, cells: u64) -> usize {
        let (terms, usual) = (&self.m.classes[b], self.usual_work(b));
        let here = |e: &&Engine| e.in_use() && (cells == 0 || e.endpoint.cells & cells != 0);
        let cores: f64 = self.engines.iter().filter(here).map(|e| e.cores).sum();
        (2.0 * cores * within(terms, usual) / usual / self.m.gateways).max(4.0) as usize
    }

    /// The final answer for what is given up: rejected where that claim is allowed, else failed.
    pub(super) fn end(&mut self, sub: usize, retry_after: Ms, out: &mut dyn Actions) -> bool {
        let s = &self.subs[sub];
        let harmless = match self.m.classes[s.of.class].repeat {
            Effect::Idempotent | Effect::Deduplicated(Within::All) => self.now <= self.window_ends(s),
            _ => s.may_have_run.is_empty(),
        };
        match harmless {
            true => out.reject(sub, retry_after),
            false => out.fail(sub),
        }
        self.close(sub, out);
        true
    }

    /// The request is over for its client; its index is free again once no attempt is out.
    pub(super) fn close(&mut self, sub: usize, out: &mut dyn Actions) {
        let s = &mut self.subs[sub];
        s.open = false;
        self.classes[s.of.class].line.retain(|&i| i != sub);
        if s.out.is_some() {
            if self.m.may_withdraw {
                out.withdraw(sub, s.attempts - 1);
            }
            return;
        }
        if self.keyed(sub) {
            self.keys.entry(self.subs[sub].of.key).or_default().0.retain(|&i| i != sub);
            self.keys.retain(|_, k| !k.0.is_empty() || k.1 > self.now);
        }
        out.forget(sub);
    }
}
