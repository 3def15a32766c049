//! Every decision of one gateway, without input or output.
//!
//! How it is called: a host builds a [`Gateway`] from what it was told at start, then hands over each
//! event by `roster`, `roster_lost`, `take`, `outcome`, `progress`, `probed`, `left` or `due`. Each
//! call notes what is new and then goes through `RULES` in order, from the top again after one that
//! fired, until none does. Actions leave through [`Outlet`] at once. Equal calls give equal actions.
//!
//! Where the interface stands: lib.rs has the trait and the types that cross it; door.rs makes the
//! small indices by which submissions, engines and bands are known here.

use crate::{Listed, Mandate, Ms, Outcome, Outlet, Repeat, Standing, Submission, Within, Word};
use std::collections::{BTreeMap, VecDeque};

/// Threads a core that all gateways together may keep busy on an engine under pressure.
const FACTOR: f64 = 2.0;
/// How many engines of a table group's order are its homes: more would share out its warm data.
const HOMES: usize = 2;
/// Pressure: this many times the best pace seen. Below it, work shares an engine at little loss.
const PRESSED: f64 = 1.8;
/// Half-life of measured paces: long against one submission, short against a trouble.
const HALF: Ms = 1000.0;
/// Half-life of means that describe a band's work: these hardly change within a day.
const LONG_HALF: Ms = 20_000.0;
/// Outcomes by which an engine is judged, and how many of them may fail.
const RECORD: u32 = 8;
const BAD: u32 = 3;
/// A set-aside engine gets one small submission this often at first, and twice as often after each
/// that went well, until it is back.
const TRICKLE: Ms = 2000.0;
const BACK: Ms = 200.0;
/// After a full answer nothing goes there for this long: the engine said so itself.
const FULL_REST: Ms = 200.0;
/// Share of the cold allowance used: capacity and the others' sendings are guesses.
const COLD_SHARE: f64 = 0.7;
/// A guess of memory falls short now and then, and spilling costs more than a wider grant.
const GRANT: f64 = 1.2;

/// A sum and its weight, both fading; brought up to date when touched.
#[derive(Clone, Copy, Default)]
struct Fade {
    sum: f64,
    weight: f64,
    at: Ms,
}

impl Fade {
    fn add(&mut self, now: Ms, half: Ms, sum: f64, weight: f64) {
        let keep = 0.5f64.powf((now - self.at) / half);
        *self = Fade { sum: self.sum * keep + sum, weight: self.weight * keep + weight, at: now };
    }
    fn weight(&self, now: Ms, half: Ms) -> f64 {
        self.weight * 0.5f64.powf((now - self.at) / half)
    }
    fn mean(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// Permuted congruential generator, 32 bits out of 64.
struct Pcg(u64);

impl Pcg {
    fn next(&mut self) -> u32 {
        let s = self.0;
        self.0 = s.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((((s >> 18) ^ s) >> 27) as u32).rotate_right((s >> 59) as u32)
    }
    fn unit(&mut self) -> f64 {
        self.next() as f64 / 4294967296.0
    }
}

/// Spreads an engine id and a table group over 64 bits, alike at every gateway.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 29)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    x ^ (x >> 32)
}

struct Aside {
    next: Ms,
    gap: Ms,
}

struct Engine {
    listed: Listed,
    cores: f64,
    threads: f64,
    running: u32,
    ghosts: Vec<(Ms, f64)>,
    record: u32,
    seen: u32,
    pace: Vec<Fade>,
    full_until: Ms,
    aside: Option<Aside>,
    cold_sent: VecDeque<(Ms, f64)>,
}

impl Engine {
    fn ready(&self) -> bool {
        self.listed.standing == Standing::Ready
    }
    fn failures(&self) -> u32 {
        self.record.count_ones()
    }
    fn judge(&mut self, well: bool) {
        self.record = (self.record << 1 | !well as u32) & ((1 << RECORD) - 1);
        self.seen = (self.seen + 1).min(RECORD);
    }
    fn busy(&self) -> f64 {
        self.threads + self.ghosts.iter().map(|g| g.1).sum::<f64>()
    }
}

#[derive(Clone, Copy)]
struct Forward {
    engine: usize,
    sent: Ms,
    overdue: bool,
    withdrawn: bool,
}

struct Taken {
    of: Submission,
    work: Ms,
    open: bool,
    aim: Ms,
    limit: Ms,
    at: Ms,
    forwards: u8,
    out: Option<Forward>,
    may_have_run: Vec<(usize, Ms)>,
    tried: Vec<usize>,
}

#[derive(Default)]
struct Band {
    line: Vec<usize>,
    charged: f64,
    threads: f64,
    started: f64,
    work: Fade,
    bias: Fade,
    best: f64,
}

#[derive(Default)]
struct KeyLine {
    order: VecDeque<usize>,
    rest: Ms,
}

pub struct Gateway {
    m: Mandate,
    chance: Pcg,
    now: Ms,
    engines: Vec<Option<Engine>>,
    subs: Vec<Option<Taken>>,
    flying: Vec<usize>,
    bands: Vec<Band>,
    keys: BTreeMap<u64, KeyLine>,
    taken_at: VecDeque<Ms>,
    further: VecDeque<Ms>,
    wake_at: Ms,
    subscribe_at: Option<Ms>,
    bound_noted: Ms,
}

type Rule = fn(&mut Gateway, &mut dyn Outlet) -> bool;

const RULES: [Rule; 8] = [
    Gateway::ask_for_the_roster,
    Gateway::answer_at_the_hard_limit,
    Gateway::count_the_overdue,
    Gateway::set_aside,
    Gateway::call_back,
    Gateway::release,
    Gateway::turn_back,
    Gateway::wake,
];

impl Gateway {
    pub fn new(m: Mandate, seed: u64) -> Self {
        let bands = m.bands.iter().map(|_| Band::default()).collect();
        let subscribe_at = m.must_subscribe.then_some(0.0);
        Gateway {
            m,
            chance: Pcg(seed),
            now: 0.0,
            engines: Vec::new(),
            subs: Vec::new(),
            flying: Vec::new(),
            bands,
            keys: BTreeMap::new(),
            taken_at: VecDeque::new(),
            further: VecDeque::new(),
            wake_at: 0.0,
            subscribe_at,
            bound_noted: f64::MIN,
        }
    }

    /// How many bands there are: a host turns away what names another.
    pub fn bands(&self) -> usize {
        self.m.bands.len()
    }

    pub fn roster(&mut self, now: Ms, full: bool, lines: &[Listed], out: &mut dyn Outlet) {
        if full {
            for e in self.engines.iter_mut().flatten() {
                e.listed.standing = Standing::Gone;
            }
        }
        for line in lines {
            if self.engines.len() <= line.engine {
                self.engines.resize_with(line.engine + 1, || None);
            }
            let slot = &mut self.engines[line.engine];
            match slot {
                // A new start leaves nothing of the old process worth judging it by.
                Some(e) if e.listed.since == line.since => e.listed = *line,
                _ => {
                    let old = slot.take();
                    *slot = Some(Engine {
                        listed: *line,
                        cores: self.m.kinds.get(line.kind as usize).map_or(1.0, |k| k.cores),
                        threads: old.as_ref().map_or(0.0, |e| e.threads),
                        running: old.as_ref().map_or(0, |e| e.running),
                        ghosts: Vec::new(),
                        record: 0,
                        seen: 0,
                        pace: vec![Fade::default(); self.bands.len()],
                        full_until: 0.0,
                        aside: None,
                        cold_sent: old.map_or(VecDeque::new(), |e| e.cold_sent),
                    });
                }
            }
        }
        self.settle(now, out);
    }

    pub fn roster_lost(&mut self, now: Ms, out: &mut dyn Outlet) {
        if self.m.must_subscribe {
            // Not at once: all gateways lose the list together and would ask together.
            self.subscribe_at = Some(now + 500.0 + 1000.0 * self.chance.unit());
        }
        self.settle(now, out);
    }

    pub fn take(&mut self, now: Ms, sub: usize, of: Submission, out: &mut dyn Outlet) {
        self.now = now;
        let terms = &self.m.bands[of.band];
        let band = &mut self.bands[of.band];
        if let Some(hint) = of.work {
            band.work.add(now, LONG_HALF, hint * band.bias.mean().unwrap_or(1.0), 1.0);
        }
        let guess = of.work.map(|h| h * band.bias.mean().unwrap_or(1.0));
        let work = guess.or(band.work.mean()).unwrap_or(terms.expected * terms.threads / 4.0).max(1.0);
        let aim = now + (terms.expected + terms.expected_stretch * work / terms.threads).min(of.left);
        // Idle time is not banked: a band that comes back starts level with the lowest active one.
        if self.idle(of.band) {
            let lowest = (0..self.bands.len()).filter(|&b| !self.idle(b)).map(|b| self.charge(b));
            let level = lowest.fold(f64::INFINITY, f64::min);
            if level.is_finite() {
                let weight = self.weight(of.band);
                let band = &mut self.bands[of.band];
                band.charged = band.charged.max(level * weight);
            }
        }
        if self.subs.len() <= sub {
            self.subs.resize_with(sub + 1, || None);
        }
        self.subs[sub] = Some(Taken {
            of,
            work,
            open: true,
            aim,
            limit: now + of.left,
            at: now,
            forwards: 0,
            out: None,
            may_have_run: Vec::new(),
            tried: Vec::new(),
        });
        self.bands[of.band].line.push(sub);
        if self.keyed(sub) {
            self.keys.entry(of.key).or_default().order.push_back(sub);
        }
        if self.m.ration.is_some() {
            self.taken_at.push_back(now);
        }
        self.settle(now, out);
    }

    #[allow(clippy::too_many_arguments)]
    pub fn outcome(
        &mut self,
        now: Ms,
        sub: usize,
        nth: u8,
        what: Outcome,
        closed: bool,
        told: Option<Ms>,
        out: &mut dyn Outlet,
    ) {
        self.now = now;
        let Some(fwd) = self.subs.get(sub).and_then(|s| s.as_ref()).and_then(|s| s.out) else { return };
        let s = self.subs[sub].as_mut().unwrap();
        s.out = None;
        self.flying.retain(|&f| f != sub);
        let (b, elapsed) = (s.of.band, now - fwd.sent);
        let threads = self.m.bands[b].threads;
        let band = &mut self.bands[b];
        band.threads -= threads;
        band.started -= threads * fwd.sent;
        band.charged += threads * elapsed;
        let never_ran = matches!(what, Outcome::Full | Outcome::NoConnection | Outcome::Unsent);
        if never_ran {
            s.may_have_run.retain(|r| r.1 != fwd.sent);
        }
        if what == Outcome::Unsent && nth > 0 {
            // The budget leaves out forwards that were never sent.
            if let Some(i) = self.further.iter().rposition(|&t| t == fwd.sent) {
                self.further.remove(i);
            }
        }
        if matches!(what, Outcome::TimedOut | Outcome::Reset | Outcome::Withdrawn) && self.keyed(sub) {
            let rest = now + self.m.key_rest;
            let line = self.keys.entry(self.subs[sub].as_ref().unwrap().of.key).or_default();
            line.rest = line.rest.max(rest);
        }
        let s = self.subs[sub].as_mut().unwrap();
        if let (Outcome::Settled, Some(work)) = (what, told) {
            let band = &mut self.bands[b];
            match s.of.work {
                Some(hint) => band.bias.add(now, LONG_HALF, work, hint),
                None => band.work.add(now, LONG_HALF, work, 1.0),
            }
            s.work = work.max(1.0);
        }
        let in_time = now <= s.aim.max(s.at + self.m.bands[b].expected);
        let (work, open) = (s.work, s.open);
        s.tried.push(fwd.engine);
        let expected = self.service(fwd.engine, b, work);
        if let Some(e) = self.engines[fwd.engine].as_mut() {
            e.threads -= threads;
            e.running -= 1;
            match what {
                Outcome::Settled => {
                    if !fwd.overdue {
                        e.judge(in_time || elapsed < expected * PRESSED);
                        e.pace[b].add(now, HALF, elapsed * threads, work);
                    }
                    Self::fared(e, now, in_time);
                }
                Outcome::Full => e.full_until = now + FULL_REST,
                Outcome::Error | Outcome::NoConnection | Outcome::Reset => {
                    e.judge(false);
                    Self::fared(e, now, false);
                }
                // Where a time-out stops nothing, the threads stay busy; the bound must know.
                Outcome::TimedOut if !self.m.may_withdraw => {
                    let until = fwd.sent + (expected * 2.0).max(elapsed * 1.5);
                    e.ghosts.push((until, threads));
                }
                _ => {}
            }
        }
        if closed || what == Outcome::Settled || !open {
            self.close(sub);
            self.retire(sub, out);
        } else {
            self.bands[b].line.push(sub);
        }
        self.learn_best(now);
        self.settle(now, out);
    }

    pub fn progress(
        &mut self,
        now: Ms,
        _sub: usize,
        _engine: usize,
        _word: Word,
        _v: f64,
        out: &mut dyn Outlet,
    ) {
        self.settle(now, out);
    }

    pub fn probed(&mut self, now: Ms, _engine: usize, _well: bool, _report: &[f64], out: &mut dyn Outlet) {
        self.settle(now, out);
    }

    pub fn left(&mut self, now: Ms, sub: usize, out: &mut dyn Outlet) {
        if self.subs.get(sub).is_some_and(|s| s.is_some()) {
            self.close(sub);
            self.recall(sub, out);
            self.retire(sub, out);
        }
        self.settle(now, out);
    }

    pub fn due(&mut self, now: Ms, out: &mut dyn Outlet) {
        self.settle(now, out);
    }

    fn settle(&mut self, now: Ms, out: &mut dyn Outlet) {
        self.now = now;
        for e in self.engines.iter_mut().flatten() {
            e.ghosts.retain(|g| g.0 > now);
        }
        while RULES.iter().any(|rule| rule(self, out)) {}
    }

    // The rules, in order.

    fn ask_for_the_roster(&mut self, out: &mut dyn Outlet) -> bool {
        let due = self.subscribe_at.is_some_and(|t| t <= self.now);
        if due {
            self.subscribe_at = None;
            out.subscribe();
        }
        due
    }

    // Against a last outcome that never comes, and answers that cross the client's leaving.
    fn answer_at_the_hard_limit(&mut self, out: &mut dyn Outlet) -> bool {
        let late = |s: &Taken| s.open && self.now >= s.limit - 2.0 * self.m.tick;
        let queued = self.bands.iter().flat_map(|b| &b.line);
        let found = queued.chain(&self.flying).copied().find(|&s| self.subs[s].as_ref().is_some_and(late));
        found.is_some_and(|s| self.end(s, 0.0, out))
    }

    // Against engines that take work and keep it: no outcome ever comes to judge them by, so passing
    // the expected time counts as one. Harm: a band whose expected time nobody can meet marks every
    // engine alike, which `set_aside` lets pass since none is then worse than its peers.
    fn count_the_overdue(&mut self, _: &mut dyn Outlet) -> bool {
        let mut fired = false;
        for i in 0..self.flying.len() {
            let s = self.subs[self.flying[i]].as_mut().unwrap();
            let terms = &self.m.bands[s.of.band];
            let Some(fwd) = s.out.as_mut().filter(|f| !f.overdue) else { continue };
            let elapsed = self.now - fwd.sent;
            if elapsed > terms.expected + terms.expected_stretch * s.work / terms.threads {
                fwd.overdue = true;
                fired = true;
                if let Some(e) = self.engines[fwd.engine].as_mut() {
                    e.judge(false);
                    e.pace[s.of.band].add(self.now, HALF, elapsed * terms.threads, s.work);
                    Self::fared(e, self.now, false);
                }
            }
        }
        fired
    }

    // Against fast failures, silence, slowness and failed connects alike: an engine much worse than
    // its peers by its last outcomes. When all worsen together, setting aside would only move the
    // load, so the fleet's own share of failures counts and no more than a third may be aside.
    fn set_aside(&mut self, out: &mut dyn Outlet) -> bool {
        let ready = || self.engines.iter().flatten().filter(|e| e.ready());
        let (n, aside) = (ready().count(), ready().filter(|e| e.aside.is_some()).count());
        if (aside + 1) * 3 > n.max(3) || n < 2 {
            return false;
        }
        let (bad, seen) = ready().fold((0, 0), |a, e| (a.0 + e.failures(), a.1 + e.seen));
        let worst = (0..self.engines.len())
            .filter(|&i| {
                self.engines[i].as_ref().is_some_and(|e| {
                    let others = (bad - e.failures()) as f64 / (seen - e.seen).max(1) as f64;
                    let own = e.failures() as f64 / e.seen.max(1) as f64;
                    e.ready() && e.aside.is_none() && e.failures() >= BAD && own > 2.0 * others
                })
            })
            .max_by_key(|&i| self.engines[i].as_ref().map(|e| e.failures()));
        let Some(i) = worst else { return false };
        let e = self.engines[i].as_mut().unwrap();
        e.aside = Some(Aside { next: self.now + TRICKLE, gap: TRICKLE });
        out.note(&format!("engine {:012x} set aside: {} of {} failed", e.listed.id, e.failures(), e.seen));
        true
    }

    // Against work left on an engine that was set aside, where withdrawing frees it to go elsewhere.
    fn call_back(&mut self, out: &mut dyn Outlet) -> bool {
        if !self.m.may_withdraw {
            return false;
        }
        let stuck = self.flying.iter().copied().find(|&i| {
            let s = self.subs[i].as_ref().unwrap();
            let Some(f) = s.out.filter(|f| !f.withdrawn && s.open) else { return false };
            let aside = self.engines[f.engine].as_ref().is_some_and(|e| e.aside.is_some());
            let again = self.now + self.service_anywhere(s.of.band, s.work);
            aside
                && f.overdue
                && again < s.limit
                && s.forwards < self.m.most_forwards
                && self.rationed()
                && self.m.bands[s.of.band].repeat == Repeat::Repeatable
        });
        if let Some(i) = stuck {
            let s = self.subs[i].as_mut().unwrap();
            s.out.as_mut().unwrap().withdrawn = true;
            out.withdraw(i, s.forwards - 1);
        }
        stuck.is_some()
    }

    // Lowest charged work over weight first; if its submission fits nowhere, the next band's.
    fn release(&mut self, out: &mut dyn Outlet) -> bool {
        let mut order: Vec<usize> =
            (0..self.bands.len()).filter(|&b| !self.bands[b].line.is_empty()).collect();
        order.sort_by(|&a, &b| self.charge(a).total_cmp(&self.charge(b)));
        for b in order {
            let Some(sub) = self.first_in(b) else { continue };
            if let Some(engine) = self.place(sub) {
                self.forward(sub, engine, out);
                return true;
            }
            if self.now > self.bound_noted + 5000.0 {
                self.bound_noted = self.now;
                out.note(&format!("bound holds: band {b} waits, {} in line", self.bands[b].line.len()));
            }
        }
        false
    }

    fn turn_back(&mut self, out: &mut dyn Outlet) -> bool {
        for b in 0..self.bands.len() {
            let line = &self.bands[b].line;
            if line.len() > self.room(b) {
                let newest = *line.last().unwrap();
                return self.end(newest, self.m.come_back_most, out);
            }
            let hopeless = line.iter().copied().find(|&i| {
                let s = self.subs[i].as_ref().unwrap();
                let spent = s.forwards >= self.m.most_forwards;
                let stuck = s.forwards > 0 && !self.may_forward_again(s);
                spent || stuck || self.now + self.service_anywhere(b, s.work) > s.aim.min(s.limit)
            });
            if let Some(i) = hopeless {
                return self.end(i, self.m.come_back_most, out);
            }
        }
        false
    }

    fn wake(&mut self, out: &mut dyn Outlet) -> bool {
        let anything = !self.flying.is_empty() || self.bands.iter().any(|b| !b.line.is_empty());
        if self.wake_at <= self.now && (anything || self.subscribe_at.is_some()) {
            self.wake_at = self.now + 2.0 * self.m.tick;
            out.wake(2.0 * self.m.tick);
        }
        false
    }

    // What the rules ask.

    fn idle(&self, b: usize) -> bool {
        self.bands[b].line.is_empty() && self.bands[b].threads < 0.5
    }

    /// Payoff for the work it takes; until that is known, payoff.
    fn weight(&self, b: usize) -> f64 {
        let work = |b: usize| self.bands[b].work.mean();
        let known = (0..self.bands.len()).all(|b| work(b).is_some());
        self.m.bands[b].payoff / if known { work(b).unwrap_or(1.0) } else { 1.0 }
    }

    fn charge(&self, b: usize) -> f64 {
        let band = &self.bands[b];
        (band.charged + band.threads * self.now - band.started) / self.weight(b)
    }

    fn keyed(&self, sub: usize) -> bool {
        let of = self.subs[sub].as_ref().unwrap().of;
        of.key != 0 && self.m.bands[of.band].in_order
    }

    /// Smallest work first among those that can still make their expected time.
    fn first_in(&self, b: usize) -> Option<usize> {
        let rank = |i: usize| {
            let s = self.subs[i].as_ref().unwrap();
            let late = self.now + self.service_anywhere(b, s.work) > s.aim;
            (late, s.work)
        };
        let line = self.bands[b].line.iter().copied();
        line.filter(|&i| self.may_go(i)).min_by(|&x, &y| {
            let (x, y) = (rank(x), rank(y));
            x.0.cmp(&y.0).then(x.1.total_cmp(&y.1))
        })
    }

    fn may_go(&self, sub: usize) -> bool {
        let s = self.subs[sub].as_ref().unwrap();
        if s.forwards > 0 && !(self.rationed() && self.may_forward_again(s)) {
            return false;
        }
        // Order per key, and rest after an outcome that leaves the engine perhaps still at it.
        !self.keyed(sub)
            || self
                .keys
                .get(&s.of.key)
                .is_none_or(|k| k.order.front() == Some(&sub) && (s.forwards > 0 || self.now >= k.rest))
    }

    fn may_forward_again(&self, s: &Taken) -> bool {
        let terms = &self.m.bands[s.of.band];
        s.forwards < self.m.most_forwards
            && match terms.repeat {
                Repeat::Repeatable => true,
                Repeat::Tagged(_) => s.may_have_run.iter().all(|r| self.now <= r.1 + terms.window),
                Repeat::OnceOnly => s.may_have_run.is_empty(),
            }
    }

    /// Whether the budget has one more further forward, counted exactly over the window.
    fn rationed(&self) -> bool {
        let Some(r) = self.m.ration else { return true };
        let further = self.further.iter().filter(|&&t| t >= self.now - r.span).count() as f64;
        let taken = self.taken_at.iter().filter(|&&t| t > self.now - r.span).count() as f64;
        further + 1.0 <= r.spare + r.share * taken
    }

    /// Times the best pace at which this engine answers now; 1 when nothing is known.
    fn stretch(&self, e: &Engine) -> f64 {
        let (mut sum, mut weight) = (0.0, 0.0);
        for (band, pace) in self.bands.iter().zip(&e.pace) {
            let usual = band.work.mean().unwrap_or(1.0);
            let w = pace.weight(self.now, HALF) / usual;
            if w > 0.5 && band.best > 0.0 {
                sum += w * pace.mean().unwrap_or(band.best) / band.best;
                weight += w;
            }
        }
        if weight > 0.0 {
            (sum / weight).max(1.0)
        } else {
            1.0
        }
    }

    fn learn_best(&mut self, now: Ms) {
        for (b, band) in self.bands.iter_mut().enumerate() {
            let usual = band.work.mean().unwrap_or(1.0);
            for e in self.engines.iter().flatten() {
                if e.pace[b].weight(now, HALF) > 2.0 * usual {
                    let mean = e.pace[b].mean().unwrap_or(1.0);
                    if band.best == 0.0 || mean < band.best {
                        band.best = mean;
                    }
                }
            }
        }
    }

    fn service(&self, engine: usize, b: usize, work: Ms) -> Ms {
        let stretch = self.engines[engine].as_ref().map_or(1.0, |e| self.stretch(e));
        work / self.m.bands[b].threads
            * if self.bands[b].best > 0.0 { self.bands[b].best } else { 1.0 }
            * stretch
    }

    fn service_anywhere(&self, b: usize, work: Ms) -> Ms {
        work / self.m.bands[b].threads * if self.bands[b].best > 0.0 { self.bands[b].best } else { 1.0 }
    }

    /// A line longer than this gateway's share of the fleet can work off in the expected time is full.
    fn room(&self, b: usize) -> usize {
        let cores: f64 = self.engines.iter().flatten().filter(|e| e.ready()).map(|e| e.cores).sum();
        let terms = &self.m.bands[b];
        let usual = self.bands[b].work.mean().unwrap_or(terms.expected);
        let within = terms.expected + terms.expected_stretch * usual / terms.threads;
        (2.0 * cores * within / usual / self.m.gateways).max(4.0) as usize
    }

    fn pressed(&self, e: &Engine) -> bool {
        self.now < e.full_until || self.stretch(e) > PRESSED
    }

    fn open(&self, e: &Engine, threads: f64) -> bool {
        let bound = e.cores * FACTOR / self.m.gateways;
        if self.now < e.full_until {
            return false;
        }
        e.running == 0 || e.busy() + threads <= bound || !self.pressed(e)
    }

    fn usual_work(&self, b: usize) -> f64 {
        let terms = &self.m.bands[b];
        self.bands[b].work.mean().unwrap_or(terms.expected * terms.threads)
    }

    // Against pushing over a cold engine: this gateway's even share of what all may send in any span.
    fn cold_room(&self, e: &Engine, b: usize) -> bool {
        let age = self.now - e.listed.since;
        if e.listed.since <= 0.0 || age >= self.m.warm_after {
            return true;
        }
        let capacity = 0.85 * e.cores * self.m.cold_from * self.m.fall_span;
        let share = COLD_SHARE * self.m.fall_multiple * capacity / self.m.gateways;
        let sent: f64 = e.cold_sent.iter().filter(|s| s.0 >= self.now - self.m.fall_span).map(|s| s.1).sum();
        sent + self.usual_work(b) <= share
    }

    fn allowed(&self, s: &Taken, e: &Engine) -> bool {
        let terms = &self.m.bands[s.of.band];
        let line = &e.listed;
        let home = terms.zones.as_ref().is_none_or(|z| z.contains(&line.zone))
            && terms.kinds.as_ref().is_none_or(|k| k.contains(&line.kind));
        let same = |other: &Listed| match terms.repeat {
            Repeat::Tagged(Within::Zone) => other.zone == line.zone,
            Repeat::Tagged(Within::Cell) => other.cell == line.cell,
            _ => true,
        };
        let seen = s.may_have_run.iter().all(|r| self.engines[r.0].as_ref().is_none_or(|o| same(&o.listed)));
        home && seen && e.ready() && self.cold_room(e, s.of.band)
    }

    /// The shared order hashed from the table group; among its homes the one with the fewest own
    /// threads a core, slower cores counting for less; then the others in order.
    fn place(&self, sub: usize) -> Option<usize> {
        let s = self.subs[sub].as_ref().unwrap();
        let threads = self.m.bands[s.of.band].threads;
        let engine = |i: usize| self.engines[i].as_ref().unwrap();
        let mut order: Vec<(u64, usize)> = (0..self.engines.len())
            .filter(|&i| self.engines[i].as_ref().is_some_and(|e| self.allowed(s, e)))
            .map(|i| (mix(mix(s.of.tables) ^ engine(i).listed.id), i))
            .collect();
        order.sort();
        let small = (0..self.bands.len()).map(|b| self.usual_work(b)).fold(f64::INFINITY, f64::min);
        let fresh = |i: usize| !s.tried.contains(&i);
        let due = |i: usize| engine(i).aside.as_ref().is_some_and(|a| a.next <= self.now);
        if s.forwards == 0 && s.work <= small {
            if let Some(&(_, i)) = order.iter().find(|o| due(o.1)) {
                return Some(i);
            }
        }
        for keep in [
            |e: &Engine, fresh: bool| e.aside.is_none() && fresh,
            |e: &Engine, _| e.aside.is_none(),
            |_: &Engine, _| true,
        ] {
            let left: Vec<usize> = order.iter().map(|o| o.1).filter(|&i| keep(engine(i), fresh(i))).collect();
            if left.is_empty() {
                continue;
            }
            let load = |i: usize| engine(i).busy() / engine(i).cores * self.stretch(engine(i));
            let homes = left.iter().take(HOMES).copied().filter(|&i| self.open(engine(i), threads));
            return homes
                .min_by(|&x, &y| load(x).total_cmp(&load(y)))
                .or_else(|| left.iter().copied().skip(HOMES).find(|&i| self.open(engine(i), threads)));
        }
        None
    }

    // What the rules do.

    fn forward(&mut self, sub: usize, engine: usize, out: &mut dyn Outlet) {
        let now = self.now;
        let s = self.subs[sub].as_mut().unwrap();
        let b = s.of.band;
        let again = s.forwards > 0;
        s.forwards += 1;
        s.may_have_run.push((engine, now));
        s.out = Some(Forward { engine, sent: now, overdue: false, withdrawn: false });
        let memory = s.of.memory_mb;
        self.flying.push(sub);
        let threads = self.m.bands[b].threads;
        let band = &mut self.bands[b];
        band.line.retain(|&i| i != sub);
        band.threads += threads;
        band.started += threads * now;
        if let Some(r) = self.m.ration {
            if again {
                self.further.push_back(now);
            }
            while self.further.front().is_some_and(|&t| t < now - r.span) {
                self.further.pop_front();
            }
            while self.taken_at.front().is_some_and(|&t| t < now - r.span) {
                self.taken_at.pop_front();
            }
        }
        let usual = self.usual_work(b);
        let e = self.engines[engine].as_mut().unwrap();
        e.threads += threads;
        e.running += 1;
        e.cold_sent.push_back((now, usual));
        while e.cold_sent.front().is_some_and(|c| c.0 < now - self.m.fall_span) {
            e.cold_sent.pop_front();
        }
        if let Some(a) = e.aside.as_mut() {
            a.next = now + a.gap;
        }
        if !again && (self.m.priorities_heeded || self.m.grants_heeded) {
            let most =
                self.m.kinds.iter().map(|k| k.memory_mb).fold(f64::INFINITY, f64::min) * self.m.most_grant;
            let grant = if self.m.grants_heeded { (memory * GRANT).min(most) } else { 0.0 };
            out.terms(sub, self.priority(b), grant);
        }
        out.forward(sub, engine);
    }

    /// Weights travel as priority: shares of scarce cores stand as 1 : 4 : 8 : 16.
    fn priority(&self, b: usize) -> u8 {
        let most = (0..self.bands.len()).map(|b| self.weight(b)).fold(0.0, f64::max);
        let share = 16.0 * self.weight(b) / most;
        [2.0, 6.0, 12.0].iter().filter(|&&t| share >= t).count() as u8
    }

    fn fared(e: &mut Engine, now: Ms, well: bool) {
        let Some(a) = e.aside.as_mut() else { return };
        if !well {
            a.gap = (a.gap * 2.0).min(TRICKLE * 2.0);
            a.next = now + a.gap;
            return;
        }
        a.gap /= 2.0;
        a.next = a.next.min(now + a.gap);
        if a.gap < BACK {
            e.aside = None;
            e.record = 0;
            e.seen = 0;
        }
    }

    /// The final answer for what is given up: turned back where that claim is allowed, else scrapped.
    fn end(&mut self, sub: usize, come_back: Ms, out: &mut dyn Outlet) -> bool {
        let s = self.subs[sub].as_ref().unwrap();
        let harmless = s.may_have_run.is_empty()
            || match self.m.bands[s.of.band].repeat {
                Repeat::Repeatable => true,
                Repeat::Tagged(Within::All) => self.may_forward_again(s),
                _ => false,
            };
        if harmless {
            out.turn_back(sub, come_back);
        } else {
            out.scrap(sub);
        }
        self.close(sub);
        self.recall(sub, out);
        self.retire(sub, out);
        true
    }

    fn close(&mut self, sub: usize) {
        let s = self.subs[sub].as_mut().unwrap();
        s.open = false;
        let line = &mut self.bands[s.of.band].line;
        line.retain(|&i| i != sub);
    }

    fn recall(&mut self, sub: usize, out: &mut dyn Outlet) {
        let s = self.subs[sub].as_mut().unwrap();
        let (may, nth) = (self.m.may_withdraw, s.forwards.saturating_sub(1));
        if let Some(f) = s.out.as_mut().filter(|f| may && !f.withdrawn) {
            f.withdrawn = true;
            out.withdraw(sub, nth);
        }
    }

    fn retire(&mut self, sub: usize, out: &mut dyn Outlet) {
        if self.subs[sub].as_ref().is_none_or(|s| s.open || s.out.is_some()) {
            return;
        }
        if self.keyed(sub) {
            let key = self.subs[sub].as_ref().unwrap().of.key;
            if let Some(k) = self.keys.get_mut(&key) {
                k.order.retain(|&i| i != sub);
            }
            let now = self.now;
            self.keys.retain(|_, k| !k.order.is_empty() || k.rest > now);
        }
        self.subs[sub] = None;
        out.forget(sub);
    }
}
