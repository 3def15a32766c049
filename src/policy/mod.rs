//! Every decision of one gateway, without input or output. How it is called: a host builds a [`Gateway`] from
//! what it was told at start, then hands over each event by `endpoints`, `endpoint_watch_lost`, `take`, `outcome`,
//! `report`, `progress`, `left`, `closed` or `due`, by `amend` when its terms change, by `lease_until` when it is
//! known how long they hold, by `ending` when it will end. Each call notes what is new and goes through
//! `RULES` in order, from the top again after one that fired, until none does. Actions leave through
//! [`Actions`] at once; lib.rs has that and the types that cross.

use crate::state::{Attempt, ClassState, Engine, PendingRequest};
use crate::stats::{mix, part, DecayingMean, Pcg};
use crate::{
    Actions, ClassPolicy, Effect, Endpoint, EndpointState, Load, Ms, Outcome, PolicyConfig, Request, Within,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

mod view;
pub use view::{ClassView, EngineView};

/// Threads a core that all gateways may keep busy on an engine under pressure: not all are busy at once.
const FACTOR: f64 = 2.5;
/// Where engines do not line up: of the even share of all, what the least weight may fill, and the most.
const LEAST: f64 = 0.7;
const MOST: f64 = 2.0;
/// How many engines of a table group's order are its homes: more would share out its warm data.
const HOMES: usize = 2;
/// Pressure: this many times the best pace; up to the second the bound narrows to the even share.
const PRESSED: f64 = 1.2;
const STRAINED: f64 = 1.6;
/// Table groups of which is kept what share they have, and their order while the endpoint list does not change.
const ORDERS: usize = 256;
/// Half-lives of paces, long against looks and short against troubles, and of what hardly changes.
const HALF: Ms = 2000.0;
const LONG_HALF: Ms = 20_000.0;
/// Usual requests from which on a pace can be the best, and that stand beside it at the best.
const ENOUGH: f64 = 2.0;
const LEAN: f64 = 0.3;
/// The best pace is held for twice as long after this time.
const FORGOTTEN: Ms = 300_000.0;
/// Outcomes by which an engine is judged, and how many of them may fail.
const RECORD: u32 = 8;
const BAD: u32 = 5;
/// This many times its peers' pace is a fault of the engine, not of its load; of one attempt, maybe a loss.
const SLOW: f64 = 2.5;
/// A ejected engine first gets one small request this often; each that goes well halves it.
const RECOVERY_PROBE_INTERVAL: Ms = 1000.0;
/// An engine's report holds this long.
const FRESH: Ms = 400.0;
/// Probes for each request taken, and the most at once: each costs engines work.
const PROBES: f64 = 0.7;
const AT_ONCE: f64 = 10.0;
/// Wide queries enter by lot from this reported share of an engine up to all of it, where none does.
const EASY: f64 = 0.7;
/// The weight of a guess that gives way to the first thing learnt.
const NEARLY_NONE: f64 = 1e-6;
/// Share of the cold allowance used: capacity and the others' sendings are guesses.
const COLD_SHARE: f64 = 0.9;
/// A guess of memory falls short now and then; spilling costs more than a grant wider by so many deviations.
const GRANT: f64 = 1.0;
/// Outcomes' worth of deviation that a guess starts with.
const LITTLE: f64 = 3.0;

fn within(terms: &ClassPolicy, work: Ms) -> Ms {
    terms.expected + terms.expected_stretch * work / terms.threads
}

impl Engine {
    fn reported(&self, now: Ms) -> Option<(Ms, f64)> {
        self.report.filter(|r| now - r.0 < FRESH)
    }
    /// Share in use as it told last, fading: a jammed engine answers seldom, and its word must outlast that.
    fn reported_load(&self, now: Ms) -> f64 {
        self.report.map_or(0.0, |(at, share)| share * 0.5f64.powf((now - at) / HALF))
    }
    fn judge(&mut self, now: Ms, well: bool) {
        self.record = (self.record << 1 | !well as u32) & ((1 << RECORD) - 1);
        self.seen = (self.seen + 1).min(RECORD);
        if let Some((next, gap)) = self.ejected {
            let gap = if well { gap / 2.0 } else { (gap * 2.0).min(gap.max(RECOVERY_PROBE_INTERVAL * 2.0)) };
            self.ejected = Some((if well { next.min(now + gap) } else { now + gap }, gap));
            if gap < RECOVERY_PROBE_INTERVAL / 5.0 {
                (self.ejected, self.record, self.seen) = (None, 0, 0);
            }
        }
    }
}

#[derive(Default)]
pub struct Gateway {
    m: PolicyConfig,
    chance: Pcg,
    draw: u64, // drawn once
    now: Ms,
    engines: Vec<Engine>,
    subs: Vec<PendingRequest>,
    in_flight: Vec<usize>,
    classes: Vec<ClassState>,
    orders: RefCell<HashMap<u64, Vec<u32>>>, // by table group, until the endpoint list changes
    work_of_tables: HashMap<u64, DecayingMean>, // work by table group
    keys: BTreeMap<u64, (VecDeque<usize>, Ms)>, // who waits for a key, in order, and until when it rests
    taken_at: VecDeque<Ms>,
    further: VecDeque<Ms>,
    probes: f64,
    held: DecayingMean, // threads of a query that an engine holds
    /// Crowded, the even share of an engine being less than a wide query: engines that may be probed are asked.
    crowded: bool,
    asks: bool,
    share: f64, // of all engines in use: own threads, for as many gateways
    wake_at: Ms,
    until: Ms,                  // the terms hold; infinite where nobody else may change them
    keys_quarantined_until: Ms, // nothing of a key goes before: an earlier process of this gateway may have left it out
    subscribe_at: Option<Ms>,
}

const RULES: [fn(&mut Gateway, &mut dyn Actions) -> bool; 9] = [
    Gateway::subscribe_to_endpoints,
    Gateway::reject_without_lease,
    Gateway::answer_at_the_hard_limit,
    Gateway::count_the_overdue,
    Gateway::eject_outlier,
    Gateway::probe,
    Gateway::release,
    Gateway::reject,
    Gateway::wake,
];

impl Gateway {
    pub fn new(m: PolicyConfig, seed: u64) -> Self {
        let (chance, draw, subscribe_at) = (Pcg(seed), mix(seed), m.must_subscribe.then_some(0.0));
        let mut new = Gateway { chance, draw, subscribe_at, until: Ms::INFINITY, ..Default::default() };
        new.adopt(m);
        new
    }

    fn adopt(&mut self, mut m: PolicyConfig) {
        self.classes
            .resize_with(m.classes.len(), || ClassState { best: f64::INFINITY, ..Default::default() });
        self.classes.iter_mut().zip(&m.classes).for_each(|(b, terms)| b.terms = Arc::new(terms.clone()));
        m.may_probe &= m.reports.iter().any(|r| *r != Load::Other);
        let widest = m.classes.iter().map(|b| b.threads).fold(0.0, f64::max);
        let crowded = m.kinds.iter().all(|k| k.cores * FACTOR / m.gateways < widest);
        (self.crowded, self.asks) = (crowded, crowded && m.may_probe);
        self.m = m;
    }

    /// Other terms for the same classes, and maybe further classes behind them. What was taken before keeps its
    /// hard limit, its expected time and its order, and of the old terms and the new the stricter. What was
    /// counted stays counted.
    pub fn amend(&mut self, now: Ms, m: PolicyConfig, out: &mut dyn Actions) {
        let before = self.classes.len();
        self.adopt(m);
        for e in &mut self.engines {
            e.cores = self.m.kinds.get(e.endpoint.kind as usize).map_or(1.0, |k| k.cores);
            e.pace.resize(self.classes.len(), DecayingMean::default());
            e.fine.resize(self.classes.len(), 0.0);
        }
        // Against a class of which nothing came yet: while one's work is unknown, weights leave out all work.
        for (class, terms) in self.classes.iter_mut().zip(&self.m.classes).skip(before) {
            class.work.add(now, LONG_HALF, terms.expected * terms.threads * NEARLY_NONE, NEARLY_NONE);
        }
        self.due(now, out);
    }

    pub fn update_endpoints(&mut self, now: Ms, full: bool, lines: &[Endpoint], out: &mut dyn Actions) {
        self.orders.get_mut().clear();
        if full {
            self.engines.iter_mut().for_each(|e| e.endpoint.state = EndpointState::Gone);
        }
        for line in lines {
            if self.engines.len() <= line.engine {
                self.engines.resize_with(line.engine + 1, Engine::default);
            }
            let e = &mut self.engines[line.engine];
            // A new start, or another engine under an index given back, leaves nothing worth judging it by.
            if e.pace.is_empty() || e.endpoint.since != line.since || e.endpoint.id != line.id {
                let cores = self.m.kinds.get(line.kind as usize).map_or(1.0, |k| k.cores);
                let (pace, fine) =
                    (vec![DecayingMean::default(); self.m.classes.len()], vec![0.0; self.m.classes.len()]);
                *e = Engine { cores, pace, fine, threads: e.threads, ..Default::default() };
            }
            e.endpoint = *line;
        }
        self.due(now, out);
    }

    pub fn endpoint_watch_lost(&mut self, now: Ms, out: &mut dyn Actions) {
        // Not at once: all gateways lose the list together and would ask together.
        let later = now + 500.0 + (self.chance.draw() % 1000) as f64;
        self.subscribe_at = self.m.must_subscribe.then_some(later);
        self.due(now, out);
    }

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

    /// From its next attempt on, the request goes to engines of these cells.
    pub fn confine(&mut self, sub: usize, cells: u64) {
        self.subs.iter_mut().skip(sub).take(1).for_each(|s| s.of.cells = cells);
    }

    pub fn outcome(&mut self, now: Ms, sub: usize, what: Outcome, closed: bool, out: &mut dyn Actions) {
        self.now = now;
        let Some(fwd) = self.subs.get_mut(sub).and_then(|s| s.out.take()) else { return };
        self.in_flight.retain(|&f| f != sub);
        let (keyed, weight) = (self.keyed(sub), self.weight(self.subs[sub].of.class));
        let s = &mut self.subs[sub];
        let (b, elapsed, threads) = (s.of.class, now - fwd.sent, self.m.classes[s.of.class].threads);
        let class = &mut self.classes[b];
        (class.threads, class.started) = (class.threads - threads, class.started - threads * fwd.sent);
        class.charged += threads * elapsed / weight;
        self.held.add(now, LONG_HALF, threads * elapsed, elapsed);
        s.tried.push(fwd.engine);
        if matches!(what, Outcome::Full | Outcome::NoConnection | Outcome::Unsent) {
            // The last alone: an earlier one, sent at the same moment, may have run.
            s.may_have_run.pop();
        }
        // The budget leaves out attempts that were never sent.
        let unsent = self.further.iter().rposition(|&t| t == fwd.sent).filter(|_| what == Outcome::Unsent);
        unsent.filter(|_| s.attempts > 1).map(|i| self.further.remove(i));
        if matches!(what, Outcome::TimedOut | Outcome::Reset | Outcome::Swept | Outcome::Withdrawn) && keyed {
            self.keys.entry(s.of.key).or_default().1 = now + self.m.key_quarantine;
        }
        if let Outcome::Settled(Some(cost)) = what {
            match s.of.work {
                Some(hint) => class.work_of.add(now, LONG_HALF, hint, cost.work),
                None => class.work.add(now, LONG_HALF, cost.work, 1.0),
            }
            class.memory_of.add(now, LONG_HALF, s.of.memory_mb, cost.memory_mb);
            s.work = cost.work.max(1.0);
        }
        let (work, open, in_time, cells) = (s.work, s.open, now <= s.aim, s.of.cells);
        let usual = self.service(b, cells, work);
        let e = &mut self.engines[fwd.engine];
        e.threads -= threads;
        match what {
            _ if fwd.sent < e.endpoint.since => {} // of the process before: no word on this one
            Outcome::Settled(_) => {
                if !fwd.overdue {
                    e.fine[b] = e.fine[b].max(fwd.sent);
                    e.judge(now, elapsed < SLOW * usual || in_time && e.ejected.is_none());
                }
                self.learn(fwd.engine, b, (now - fwd.counted.0) * threads, work * (1.0 - fwd.counted.1));
            }
            // Among hundreds of gateways, one that rests for less than it meets the engine does not rest.
            Outcome::Full => self.engines[fwd.engine].full_until = now + self.seldom(),
            Outcome::Error | Outcome::NoConnection | Outcome::Reset => e.judge(now, false),
            _ => {}
        }
        match closed || !open {
            true => self.close(sub, out),
            false => self.classes[b].line.push(sub),
        }
        self.due(now, out);
    }

    pub fn progress(&mut self, now: Ms, sub: usize, share: f64, out: &mut dyn Actions) {
        self.now = now;
        let s = &mut self.subs[sub];
        if let Some(f) = s.out.as_mut() {
            let (done, (then, before)) = (share.max(f.counted.1).min(1.0), f.counted);
            f.counted = (now, done);
            let (f, b, part) = (*f, s.of.class, (done - before) * s.work);
            // Against a bad plan, drawn anew with the next attempt: by its notes it would take so long.
            let (s, whole) = (&self.subs[sub], (now - f.sent) / done.max(NEARLY_NONE));
            if whole > 2.0 * SLOW * self.service(b, s.of.cells, s.work) && self.may_begin_anew(s) {
                out.withdraw(sub, s.attempts - 1);
            } else {
                self.learn(f.engine, b, (now - then) * self.m.classes[b].threads, part);
            }
        }
        self.due(now, out);
    }

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

    pub fn left(&mut self, now: Ms, sub: usize, out: &mut dyn Actions) {
        self.close(sub, out);
        self.due(now, out);
    }

    /// Its client has closed, or its own way alone: what is out may still be answered, nothing more begins.
    pub fn closed(&mut self, now: Ms, sub: usize, out: &mut dyn Actions) {
        self.subs[sub].most = self.subs[sub].attempts;
        self.due(now, out);
    }

    pub fn ending(&mut self, now: Ms, at: Ms, out: &mut dyn Actions) {
        self.subs.iter_mut().for_each(|s| s.limit = s.limit.min(at));
        self.due(now, out);
    }

    pub fn renew_lease(&mut self, now: Ms, until: Ms, out: &mut dyn Actions) {
        self.until = until;
        self.due(now, out);
    }

    /// Until that time, in ms, nothing of a key goes out.
    pub fn quarantine_keys(&mut self, until: Ms) {
        self.keys_quarantined_until = until;
    }

    pub fn due(&mut self, now: Ms, out: &mut dyn Actions) {
        self.now = now;
        while RULES.iter().any(|rule| rule(self, out)) {}
    }

    fn subscribe_to_endpoints(&mut self, out: &mut dyn Actions) -> bool {
        self.subscribe_at.take_if(|t| *t <= self.now).map(|_| out.subscribe()).is_some()
    }

    // Against terms that others have left behind: what waits is answered at once, what runs goes on.
    fn reject_without_lease(&mut self, out: &mut dyn Actions) -> bool {
        let waits = self.classes.iter().flat_map(|b| &b.line).next().copied();
        // Not all that wait at all gateways together are to come back together.
        let Some(s) = waits.filter(|_| self.now >= self.until) else { return false };
        self.end(s, self.m.max_retry_after * (1.0 + self.subs[s].chance(0)) / 2.0, out)
    }

    // Against a last outcome that never comes, and answers that cross the client's leaving.
    fn answer_at_the_hard_limit(&mut self, out: &mut dyn Actions) -> bool {
        let mut held = self.classes.iter().flat_map(|b| &b.line).chain(&self.in_flight).copied();
        let late = |s: &PendingRequest| s.open && self.now >= s.limit - 2.0 * self.m.tick;
        held.find(|&s| late(&self.subs[s])).is_some_and(|s| self.end(s, 0.0, out))
    }

    // Against engines that take work and keep it: no outcome ever comes to judge them by, so passing the
    // expected time counts as one. Against answers that get lost: one that was sent in the later half of its
    // time is settled, so this says nothing of the pace, and from five times its usual time on goes again.
    fn count_the_overdue(&mut self, out: &mut dyn Actions) -> bool {
        for n in 0..self.in_flight.len() {
            let (sub, now, s) = (self.in_flight[n], self.now, &self.subs[self.in_flight[n]]);
            let (b, terms) = (s.of.class, &self.m.classes[s.of.class]);
            let Some(f) = s.out.filter(|f| !f.overdue) else { continue };
            let elapsed = now - f.sent;
            let overtaken = self.engines[f.engine].fine[b] > (f.sent + now) / 2.0;
            let lost = overtaken && elapsed > 2.0 * SLOW * self.service(b, s.of.cells, s.work);
            let (again, late) = (lost && self.may_begin_anew(s), elapsed > within(&s.under, s.work));
            if again || late {
                let (nth, spent) = (s.attempts - 1, (now - f.counted.0) * terms.threads);
                self.subs[sub].out = Some(Attempt { overdue: true, counted: (now, f.counted.1), ..f });
                if late {
                    self.engines[f.engine].judge(now, false);
                }
                self.learn(f.engine, b, if overtaken { 0.0 } else { spent }, 0.0);
                again.then(|| out.withdraw(sub, nth));
            }
        }
        false
    }

    // Against fast failures, silence, slowness and failed connects alike: an engine much worse than its
    // peers by its last outcomes. When all worsen together, that would only move the load: half may be aside.
    fn eject_outlier(&mut self, out: &mut dyn Actions) -> bool {
        let ready = || self.engines.iter().filter(|e| e.endpoint.state == EndpointState::Ready);
        let (n, ejected) = (ready().count(), ready().filter(|e| e.ejected.is_some()).count());
        let (bad, seen) = ready().fold((0, 0), |a, e| (a.0 + e.failures(), a.1 + e.seen));
        let share = |bad: u32, seen: u32| bad as f64 / seen.max(1) as f64;
        let worse = |e: &Engine| {
            (ejected + 1) * 2 <= n
                && e.in_use()
                && e.failures() >= BAD
                && share(e.failures(), e.seen) > 2.0 * share(bad - e.failures(), seen - e.seen)
        };
        let found = (0..self.engines.len()).filter(|&i| worse(&self.engines[i]));
        let Some(i) = found.max_by_key(|&i| self.engines[i].failures()) else { return false };
        let e = &mut self.engines[i];
        e.ejected = Some((self.now + RECOVERY_PROBE_INTERVAL, RECOVERY_PROBE_INTERVAL));
        out.note(&format!("engine {:012x} set aside: {} of {} failed", e.endpoint.id, e.failures(), e.seen));
        true
    }

    // Against wide queries that hundreds of gateways send where the others' already run: engines are asked
    // in the order until one has room. Silence counts as full, so that a hung engine is passed over.
    fn probe(&mut self, out: &mut dyn Actions) -> bool {
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

    // Lowest charged work over weight first; if that fits nowhere, the next cell's, then the next class's.
    fn release(&mut self, out: &mut dyn Actions) -> bool {
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

    fn reject(&mut self, out: &mut dyn Actions) -> bool {
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

    fn wake(&mut self, out: &mut dyn Actions) -> bool {
        let waiting = self.classes.iter().any(|b| !b.line.is_empty()) || self.subscribe_at.is_some();
        if self.wake_at <= self.now && (waiting || !self.in_flight.is_empty()) {
            self.wake_at = self.now + 2.0 * self.m.tick;
            out.wake(2.0 * self.m.tick);
        }
        false
    }

    /// Value for the work it takes; until that is known, value.
    fn weight(&self, b: usize) -> f64 {
        let mut classes = self.classes.iter().zip(&self.m.classes);
        let known = classes.all(|(class, terms)| terms.closed || class.work.mean().is_some());
        self.m.classes[b].value / if known { self.usual_work(b) } else { 1.0 }
    }

    fn charge(&self, b: usize) -> f64 {
        let class = &self.classes[b];
        class.charged + (class.threads * self.now - class.started) / self.weight(b)
    }

    fn usual_work(&self, b: usize) -> f64 {
        self.classes[b].work.mean().unwrap_or(self.m.classes[b].expected * self.m.classes[b].threads)
    }

    fn keyed(&self, sub: usize) -> bool {
        let of = &self.subs[sub].of;
        of.key != 0 && self.m.classes[of.class].in_order
    }

    /// Smallest work first among those that can still make their expected time; the first for each set of
    /// cells, in that order, against one that waits for its cell and holds up all others.
    fn firsts_in(&self, b: usize) -> Vec<usize> {
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

    fn may_go(&self, sub: usize) -> bool {
        let s = &self.subs[sub];
        // Order per key, and rest after an outcome that leaves an engine perhaps still at it.
        let turn =
            |k: &(VecDeque<usize>, Ms)| k.0.front() == Some(&sub) && (s.attempts > 0 || self.now >= k.1);
        self.may_attempt_again(s)
            && (s.attempts == 0 || self.rationed())
            && (!self.keyed(sub)
                || self.now >= self.keys_quarantined_until && self.keys.get(&s.of.key).is_none_or(turn))
    }

    fn may_attempt_again(&self, s: &PendingRequest) -> bool {
        let terms = &self.m.classes[s.of.class];
        s.attempts < self.m.max_attempts.min(s.most)
            && match terms.repeat {
                Effect::NonIdempotent => s.may_have_run.is_empty(),
                _ => self.now <= self.window_ends(s),
            }
    }

    fn may_begin_anew(&self, s: &PendingRequest) -> bool {
        let may = self.m.may_withdraw && s.open && self.now < self.until;
        may && self.may_attempt_again(s) && self.rationed()
    }

    /// Until when engines know a further attempt for one of those that may have run.
    fn window_ends(&self, s: &PendingRequest) -> Ms {
        let terms = &self.m.classes[s.of.class];
        let ran = s.may_have_run.iter().filter(|_| matches!(terms.repeat, Effect::Deduplicated(_)));
        ran.map(|r| r.1 + s.under.window.min(terms.window)).fold(f64::INFINITY, f64::min)
    }

    /// Whether the budget has one more further attempt, counted exactly over the window.
    fn rationed(&self) -> bool {
        let Some(r) = self.m.retry_budget else { return true };
        let further = self.further.iter().filter(|&&t| t >= self.now - r.span).count() as f64;
        let taken = self.taken_at.iter().filter(|&&t| t > self.now - r.span).count() as f64;
        further + 1.0 <= r.spare + r.share * taken
    }

    fn learn(&mut self, engine: usize, b: usize, spent: Ms, done: Ms) {
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
    fn pace(&self, e: &Engine, b: usize) -> f64 {
        self.leaning(e.pace[b].now(self.now, HALF), b, self.fleet_pace(b, e.endpoint.cells))
    }

    /// Of the engines in those cells: against a slow cell that makes the waits of others seem hopeless.
    fn fleet_pace(&self, b: usize, cells: u64) -> f64 {
        let best = Some(self.classes[b].best).filter(|p| p.is_finite()).unwrap_or(1.0);
        let all = self.classes[b].fleet.iter().filter(|f| cells == 0 || f.0 & cells != 0);
        let fleet = all.map(|f| f.1.now(self.now, HALF)).fold((0.0, 0.0), |a, f| (a.0 + f.0, a.1 + f.1));
        self.leaning(fleet, b, best)
    }

    fn leaning(&self, (sum, weight): (f64, f64), b: usize, to: f64) -> f64 {
        let lean = LEAN * self.usual_work(b);
        (sum + to * lean) / (weight + lean)
    }

    /// Times the best pace at which this engine answers now; 1 when nothing is known.
    fn stretch(&self, e: &Engine) -> f64 {
        let known = self.classes.iter().enumerate().filter(|b| b.1.best.is_finite());
        let (sum, weight) = known.fold((0.0, 0.0), |(sum, weight), (b, class)| {
            let w = e.pace[b].now(self.now, HALF).1 / self.usual_work(b) + LEAN;
            (sum + w * self.pace(e, b) / class.best, weight + w)
        });
        // Without a measure the sum is no number, and `max` drops it.
        (sum / weight).max(1.0)
    }

    /// How long a request would take now at the fleet's pace.
    fn service(&self, b: usize, cells: u64, work: Ms) -> Ms {
        work / self.m.classes[b].threads * self.fleet_pace(b, cells)
    }

    /// A line longer than this gateway's share of the fleet can work off in the expected time is full.
    fn room(&self, b: usize, cells: u64) -> usize {
        let (terms, usual) = (&self.m.classes[b], self.usual_work(b));
        let here = |e: &&Engine| e.in_use() && (cells == 0 || e.endpoint.cells & cells != 0);
        let cores: f64 = self.engines.iter().filter(here).map(|e| e.cores).sum();
        (2.0 * cores * within(terms, usual) / usual / self.m.gateways).max(4.0) as usize
    }

    /// How long until this gateway would meet one engine again by its usual traffic.
    fn seldom(&self) -> Ms {
        let taken: f64 = self.classes.iter().map(|b| b.work.now(self.now, LONG_HALF).1).sum();
        (self.engines.len() as f64 * LONG_HALF / taken).clamp(RECOVERY_PROBE_INTERVAL, LONG_HALF)
    }

    fn heavy(&self, b: usize) -> bool {
        (0..self.classes.len()).any(|o| self.usual_work(o) < self.usual_work(b))
    }

    // By lot, the fuller the less: all gateways see the same report, and would all come or all stay away.
    fn enters(&self, s: &PendingRequest, e: &Engine, (at, share): (Ms, f64)) -> bool {
        s.chance(e.endpoint.id ^ at.to_bits()) < (1.0 - share) / (1.0 - EASY)
    }

    // Against a crowd in which each sends one query where none of its own run, to every engine.
    fn fits_in_sum(&self, b: usize) -> bool {
        let threads: f64 = self.classes.iter().map(|b| b.threads).sum();
        let most = (0..self.classes.len()).map(|b| self.weight(b)).fold(0.0, f64::max);
        threads < self.share * (LEAST + (MOST - LEAST) * self.weight(b) / most)
    }

    // The bound is asked before the request's own threads: an even share may be less than one wide query.
    fn open(&self, engine: usize, s: &PendingRequest) -> bool {
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

    /// Of a cold engine: this gateway's even share of what all may send in a span, and its use.
    fn cold(&self, e: &Engine) -> Option<(Ms, Ms)> {
        let (m, age) = (&self.m, self.now - e.endpoint.since);
        // Half of an even ramp is counted on: how an engine warms up is not told.
        let warm = m.slow_start_from
            + (1.0 - m.slow_start_from) * (age / m.slow_start_duration).clamp(0.0, 1.0) / 2.0;
        let share = COLD_SHARE * m.fall_multiple * warm * 0.85 * e.cores * m.fall_span / m.gateways;
        let recent = e.cold_sent.iter().filter(|s| s.0 >= self.now - m.fall_span);
        (e.endpoint.since > 0.0 && age < m.slow_start_duration).then(|| (share, recent.map(|s| s.1).sum()))
    }

    // Against pushing over a cold engine: an even share of what all may send in any span. Among hundreds half
    // of its part below one is a lot, drawn once for each span of a gateway's own. Any span meets two such:
    // all send what they may in the mean at most, stray by its root, and save up nothing for a burst.
    fn cold_room(&self, s: &PendingRequest, e: &Engine) -> bool {
        let Some((share, recent)) = self.cold(e) else { return true };
        let (usual, own) = (self.usual_work(s.of.class), mix(self.draw ^ e.endpoint.id));
        let span = (self.now / self.m.fall_span + part(own)) as u64;
        let drawn = self.crowded && part(mix(own ^ span)) < (share / usual).fract() / 2.0;
        recent + usual <= share || drawn && recent <= share
    }

    fn allowed(&self, s: &PendingRequest, e: &Engine) -> bool {
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

    fn order(&self, s: &PendingRequest) -> Vec<usize> {
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
    fn homes(&self, tables: u64) -> usize {
        let ready = self.engines.iter().filter(|e| e.in_use()).count();
        let all: f64 = self.classes.iter().map(|b| b.work.now(self.now, LONG_HALF).0).sum();
        let share = self.work_of_tables.get(&tables).map_or(0.0, |f| f.now(self.now, LONG_HALF).0) / all;
        ((HOMES * ready) as f64 * share).round().max(HOMES as f64) as usize
    }

    /// By the order hashed from the table group: of its homes the least own threads a core, then the rest.
    fn place(&self, sub: usize) -> Option<usize> {
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

    fn attempt(&mut self, sub: usize, engine: usize, out: &mut dyn Actions) {
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

    /// Weights travel as priority: shares of scarce cores stand as 1 : 4 : 8 : 16.
    fn priority(&self, b: usize) -> u8 {
        let most = (0..self.classes.len()).map(|b| self.weight(b)).fold(0.0, f64::max);
        let share = 16.0 * self.weight(b) / most;
        [2.0, 6.0, 12.0].iter().filter(|&&t| share >= t).count() as u8
    }

    /// The final answer for what is given up: rejected where that claim is allowed, else failed.
    fn end(&mut self, sub: usize, retry_after: Ms, out: &mut dyn Actions) -> bool {
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
    fn close(&mut self, sub: usize, out: &mut dyn Actions) {
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
