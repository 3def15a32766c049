//! Pressure: the pace of engines, and the bound that binds only when it shows a jam.

use super::{Gateway, FACTOR, HALF, LONG_HALF, RECOVERY_PROBE_INTERVAL};
use crate::state::{Engine, PendingRequest};
use crate::{Actions, Load, Ms};

/// Where engines do not line up: of the even share of all, what the least weight may fill, and the most.
const LEAST: f64 = 0.7;
const MOST: f64 = 2.0;
/// Pressure: this many times the best pace; up to the second the bound narrows to the even share.
const PRESSED: f64 = 1.2;
const STRAINED: f64 = 1.6;
/// Usual requests from which on a pace can be the best, and that stand beside it at the best.
const ENOUGH: f64 = 2.0;
const LEAN: f64 = 0.3;
/// The best pace is held for twice as long after this time.
const FORGOTTEN: Ms = 300_000.0;
/// An engine's report holds this long.
const FRESH: Ms = 400.0;
/// Wide queries enter by lot from this reported share of an engine up to all of it, where none does.
const EASY: f64 = 0.7;

impl Engine {
    pub(super) fn reported(&self, now: Ms) -> Option<(Ms, f64)> {
        self.report.filter(|r| now - r.0 < FRESH)
    }
    /// Share in use as it told last, fading: a jammed engine answers seldom, and its word must outlast that.
    pub(super) fn reported_load(&self, now: Ms) -> f64 {
        self.report.map_or(0.0, |(at, share)| share * 0.5f64.powf((now - at) / HALF))
    }
}

impl Gateway {
    /// What an engine tells of itself, in the order that the policy config names; nothing when it does not answer.
    pub fn report(&mut self, now: Ms, engine: usize, values: &[f64], out: &mut dyn Actions) {
        let cores = self.engines[engine].cores;
        let shares = self.m.reports.iter().zip(values).filter(|r| *r.0 != Load::Other);
        // A query held stands for the threads of a usual one; so many a core do the most work.
        let held = self.held.mean().unwrap_or(1.0) / (cores * FACTOR);
        let shares = shares.map(|(what, v)| if *what == Load::Held { v * held } else { *v });
        if let Some(most) = shares.filter(|v| v.is_finite()).max_by(f64::total_cmp) {
            self.engines[engine].report = Some((now, most));
        }
        self.due(now, out);
    }

    // Against wide queries that hundreds of gateways send where the others' already run: engines are asked
    // in the order until one has room. Silence counts as full, so that a hung engine is passed over.
    pub(super) fn probe(&mut self, out: &mut dyn Actions) -> bool {
        for b in (0..self.classes.len()).filter(|&b| self.probes >= 1.0 && self.asks && self.heavy(b)) {
            let Some(&sub) = self.firsts_in(b).first() else { continue };
            let (s, known) = (&self.subs[sub], |i: &usize| self.engines[*i].reported(self.now));
            let full = |i: &usize| known(i).is_none_or(|r| !self.enters(s, &self.engines[*i], r));
            if let Some(i) = self.order(s).into_iter().take_while(full).find(|i| known(i).is_none()) {
                self.probes -= 1.0;
                self.engines[i].report = Some((self.now, 1.0));
                out.probe(i);
                return true;
            }
        }
        false
    }

    pub(super) fn learn(&mut self, engine: usize, b: usize, spent: Ms, done: Ms) {
        let (now, usual) = (self.now, self.usual_work(b));
        let (e, class) = (&mut self.engines[engine], &mut self.classes[b]);
        let pace = &mut e.pace[b];
        pace.add(now, HALF, spent, done);
        class.fleet.entry(e.endpoint.cells).or_default().add(now, HALF, spent, done);
        // A lucky second, or a guess of work since corrected, must not mean pressure for good.
        let forgotten = class.best * 2f64.powf((now - class.learnt) / FORGOTTEN);
        let best = pace.mean().filter(|_| pace.weight > ENOUGH * usual);
        (class.best, class.learnt) = (best.map_or(forgotten, |p| p.min(forgotten)), now);
    }

    /// The pace of an engine in a class: time on its threads over work. It leans to the fleet's where little
    /// is known, and that to the best: one heavy query is no jam, and a jam not heard of may be over.
    pub(super) fn pace(&self, e: &Engine, b: usize) -> f64 {
        self.leaning(e.pace[b].now(self.now, HALF), b, self.fleet_pace(b, e.endpoint.cells))
    }

    /// Of the engines in those cells: against a slow cell that makes the waits of others seem hopeless.
    pub(super) fn fleet_pace(&self, b: usize, cells: u64) -> f64 {
        let best = Some(self.classes[b].best).filter(|p| p.is_finite()).unwrap_or(1.0);
        let all = self.classes[b].fleet.iter().filter(|f| cells == 0 || f.0 & cells != 0);
        let fleet = all.map(|f| f.1.now(self.now, HALF)).fold((0.0, 0.0), |a, f| (a.0 + f.0, a.1 + f.1));
        self.leaning(fleet, b, best)
    }

    pub(super) fn leaning(&self, (sum, weight): (f64, f64), b: usize, to: f64) -> f64 {
        let lean = LEAN * self.usual_work(b);
        (sum + to * lean) / (weight + lean)
    }

    /// Times the best pace at which this engine answers now; 1 when nothing is known.
    pub(super) fn stretch(&self, e: &Engine) -> f64 {
        let known = self.classes.iter().enumerate().filter(|b| b.1.best.is_finite());
        let (sum, weight) = known.fold((0.0, 0.0), |(sum, weight), (b, class)| {
            let w = e.pace[b].now(self.now, HALF).1 / self.usual_work(b) + LEAN;
            (sum + w * self.pace(e, b) / class.best, weight + w)
        });
        // Without a measure the sum is no number, and `max` drops it.
        (sum / weight).max(1.0)
    }

    /// How long a request would take now at the fleet's pace.
    pub(super) fn service(&self, b: usize, cells: u64, work: Ms) -> Ms {
        work / self.m.classes[b].threads * self.fleet_pace(b, cells)
    }

    /// How long until this gateway would meet one engine again by its usual traffic.
    pub(super) fn seldom(&self) -> Ms {
        let taken: f64 = self.classes.iter().map(|b| b.work.now(self.now, LONG_HALF).1).sum();
        (self.engines.len() as f64 * LONG_HALF / taken).clamp(RECOVERY_PROBE_INTERVAL, LONG_HALF)
    }

    // By lot, the fuller the less: all gateways see the same report, and would all come or all stay away.
    pub(super) fn enters(&self, s: &PendingRequest, e: &Engine, (at, share): (Ms, f64)) -> bool {
        s.chance(e.endpoint.id ^ at.to_bits()) < (1.0 - share) / (1.0 - EASY)
    }

    // Against a crowd in which each sends one query where none of its own run, to every engine.
    pub(super) fn fits_in_sum(&self, b: usize) -> bool {
        let threads: f64 = self.classes.iter().map(|b| b.threads).sum();
        let most = (0..self.classes.len()).map(|b| self.weight(b)).fold(0.0, f64::max);
        threads < self.share * (LEAST + (MOST - LEAST) * self.weight(b) / most)
    }

    // The bound is asked before the request's own threads: an even share may be less than one wide query.
    pub(super) fn open(&self, engine: usize, s: &PendingRequest) -> bool {
        let (e, b) = (&self.engines[engine], s.of.class);
        let stretch = self.stretch(e);
        let strain = ((stretch - PRESSED) / (STRAINED - PRESSED)).clamp(0.0, 1.0);
        let fits = e.threads == 0.0 || e.threads < e.cores * FACTOR / self.m.gateways.powf(strain);
        let fits = fits && (self.m.lines_up || self.fits_in_sum(b));
        // Against a jam that feeds itself: under pressure nothing goes where it would miss its expected time.
        let in_time = self.now + s.work / self.m.classes[b].threads * self.pace(e, b) <= s.aim;
        let asks = self.asks && self.heavy(b);
        let reported =
            if asks { e.reported(self.now) } else { e.report.map(|r| (r.0, e.reported_load(self.now))) };
        let enters = reported.map_or(!asks, |r| self.enters(s, e, r));
        self.now > e.full_until && enters && (fits && in_time || stretch <= PRESSED)
    }
}
