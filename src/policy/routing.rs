//! Routing: a hashed order of engines for each table group, the same at every gateway.

use super::{Gateway, LITTLE, LONG_HALF};
use crate::state::{Attempt, Engine, PendingRequest};
use crate::stats::mix;
use crate::{Actions, ClassPolicy, Effect, Endpoint, EndpointState, Within};

/// How many engines of a table group's order are its homes: more would share out its warm data.
const HOMES: usize = 2;
/// A guess of memory falls short now and then; spilling costs more than a grant wider by so many deviations.
const GRANT: f64 = 1.0;

impl Gateway {
    pub(super) fn allowed(&self, s: &PendingRequest, e: &Engine) -> bool {
        let (terms, line) = (&self.m.classes[s.of.class], &e.endpoint);
        let same = |other: &Endpoint| match terms.repeat {
            Effect::Deduplicated(Within::Zone) => other.zone == line.zone,
            Effect::Deduplicated(Within::MarkGroup) => other.marks == line.marks,
            _ => true,
        };
        (terms.fits(line) && s.under.fits(line))
            && (s.of.cells == 0 || s.of.cells & line.cells != 0)
            && s.may_have_run.iter().all(|r| same(&self.engines[r.0].endpoint))
            && line.state == EndpointState::Ready
    }

    pub(super) fn order(&self, s: &PendingRequest) -> Vec<usize> {
        let mut orders = self.orders.borrow_mut();
        let order = orders.entry(s.of.tables).or_insert_with(|| {
            let mut order: Vec<u32> = (0..self.engines.len() as u32).collect();
            order.sort_by_cached_key(|&i| mix(mix(s.of.tables) ^ self.engines[i as usize].endpoint.id));
            order
        });
        let mut able: Vec<usize> = order.iter().map(|&i| i as usize).collect();
        able.retain(|&i| self.allowed(s, &self.engines[i]));
        if self.m.classes[s.of.class].holds {
            able.reverse();
            able.truncate(able.len().max(2 * HOMES) - HOMES);
        }
        // Engines that another class must have come last, against a place taken that is its only one.
        if self.heavy(s.of.class) {
            let bound = |t: &&ClassPolicy| t.zones.is_some() || t.kinds.is_some();
            let others = self.m.classes.iter().filter(bound).filter(|t| **t != self.m.classes[s.of.class]);
            able.sort_by_key(|&i| others.clone().any(|t| t.fits(&self.engines[i].endpoint)));
        }
        able.retain(|&i| self.cold_room(s, &self.engines[i]));
        able
    }

    /// Of all engines twice the group's share of the work: few groups would fill two each and leave the rest.
    pub(super) fn homes(&self, tables: u64) -> usize {
        let ready = self.engines.iter().filter(|e| e.in_use()).count();
        let all: f64 = self.classes.iter().map(|b| b.work.now(self.now, LONG_HALF).0).sum();
        let share = self.work_of_tables.get(&tables).map_or(0.0, |f| f.now(self.now, LONG_HALF).0) / all;
        ((HOMES * ready) as f64 * share).round().max(HOMES as f64) as usize
    }

    /// By the order hashed from the table group: of its homes the least own threads a core, then the rest.
    pub(super) fn place(&self, sub: usize) -> Option<usize> {
        let s = &self.subs[sub];
        let mut order = self.order(s);
        let due = |i: &usize| self.engines[*i].ejected.is_some_and(|a| a.0 <= self.now);
        if let Some(i) = order.iter().find(|i| due(i) && s.attempts == 0 && !self.heavy(s.of.class)) {
            return Some(*i);
        }
        // What was tried already comes last but for what is ejected.
        let last = |i: usize| 2 * self.engines[i].ejected.is_some() as u8 + s.tried.contains(&i) as u8;
        let best = order.iter().map(|&i| last(i)).min()?;
        order.retain(|&i| last(i) == best || best == 3);
        let load = |e: &Engine| e.threads / e.cores + e.reported_load(self.now);
        let (homes, rest) = order.split_at(self.homes(s.of.tables).min(order.len()));
        let home = homes.iter().copied().filter(|&i| self.open(i, s));
        home.min_by(|&x, &y| load(&self.engines[x]).total_cmp(&load(&self.engines[y])))
            .or_else(|| rest.iter().copied().find(|&i| self.open(i, s)))
    }

    pub(super) fn attempt(&mut self, sub: usize, engine: usize, out: &mut dyn Actions) {
        let (now, s) = (self.now, &self.subs[sub]);
        let by = self.window_ends(s).min(s.limit).min(self.until);
        let s = &mut self.subs[sub];
        let (b, memory, again) = (s.of.class, s.of.memory_mb, s.attempts > 0);
        s.attempts += 1;
        s.may_have_run.push((engine, now));
        s.out = Some(Attempt { engine, sent: now, counted: (now, 0.0), ..Default::default() });
        self.in_flight.push(sub);
        let threads = self.m.classes[b].threads;
        let class = &mut self.classes[b];
        class.line.retain(|&i| i != sub);
        (class.threads, class.started) = (class.threads + threads, class.started + threads * now);
        self.further.extend(again.then_some(now));
        let span = self.m.retry_budget.map_or(0.0, |r| r.span);
        self.further.retain(|&t| t >= now - span);
        self.taken_at.retain(|&t| t >= now - span);
        let (usual, class, e) = (self.usual_work(b), &self.classes[b], &mut self.engines[engine]);
        e.threads += threads;
        e.cold_sent.push_back((now, usual));
        e.cold_sent.retain(|c| c.0 >= now - self.m.fall_span);
        e.ejected = e.ejected.map(|(_, gap)| (now + gap, gap));
        if !again && (self.m.priorities_heeded || self.m.grants_heeded) {
            let least = self.m.kinds.iter().map(|k| k.memory_mb).fold(f64::INFINITY, f64::min);
            let known = self.m.grants_heeded && memory > 0.0;
            let grant = if known { class.memory_of.of(memory, LITTLE, |spread| GRANT * spread) } else { 0.0 };
            out.set_priority(sub, self.priority(b), grant.min(least * self.m.most_grant));
        }
        out.attempt(sub, engine, by);
    }
}
