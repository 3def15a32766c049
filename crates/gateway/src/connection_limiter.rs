//! The places for client connections: who holds one, and who leaves when they run short or at the end.

use event_listener::Event as Bell;
use ironstair::Ms;
use ironstair_runtime::clock::Clock;
use ironstair_runtime::wait::until;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How long a connection counts as new.
const NEW: Ms = 250.0;
/// One in so many places may linger beside them.
const LINGER_SHARE: usize = 16;

pub struct Places {
    most: usize,
    begun: Cell<bool>,
    closing: Cell<bool>,
    taken: RefCell<BTreeMap<u64, Rc<Seat>>>,
    nth: Cell<u64>,
    bell: Bell,
    /// Connections that are over but for what their clients still send, and the most of them.
    lingering: Cell<usize>,
    most_lingering: usize,
    /// How many are taken, for who looks on.
    count: Rc<Cell<u32>>,
}

/// Held while a connection lingers after its end.
pub struct Lingers(Rc<Places>);

/// What is known of a connection here.
pub struct Seat {
    /// When it was connected.
    pub since: Ms,
    /// Since when nothing is open on it; infinite while something is.
    quiet: Cell<Ms>,
    answered: Cell<bool>,
    leave: Cell<bool>,
    /// Rung whenever any of this changes.
    pub bell: Bell,
}

/// A place held; given back when dropped.
pub struct Place {
    pub of: Rc<Places>,
    pub seat: Rc<Seat>,
    nth: u64,
}

impl Places {
    /// At most `most` connections, and a sixteenth as many that linger after their end.
    pub fn new(most: usize, count: Rc<Cell<u32>>) -> Rc<Self> {
        let (begun, closing, taken) = (Cell::new(false), Cell::new(false), RefCell::default());
        Rc::new(Places {
            most: most.max(1),
            begun,
            closing,
            taken,
            nth: Cell::new(0),
            bell: Bell::new(),
            lingering: Cell::new(0),
            most_lingering: (most / LINGER_SHARE).max(1),
            count,
        })
    }

    /// The end has been announced.
    pub fn begun(&self) -> bool {
        self.begun.get()
    }

    pub fn begin(&self) {
        self.begun.set(true);
        self.bell.notify(usize::MAX);
    }

    pub async fn until_begun(&self) {
        until(&self.bell, || self.begun().then_some(())).await
    }

    /// Every connection is to close as soon as it is quiet.
    pub fn close(&self) {
        self.closing.set(true);
        self.taken.borrow().values().for_each(|s| s.ask());
    }

    /// Who waits for a place looks anew.
    fn press(&self) {
        if self.taken.borrow().len() >= self.most {
            self.bell.notify(usize::MAX);
        }
    }

    pub fn closing(&self) -> bool {
        self.closing.get()
    }

    pub async fn until_empty(&self) {
        let empty = || self.taken.borrow().is_empty() && self.lingering.get() == 0;
        until(&self.bell, || empty().then_some(())).await
    }

    /// Until a place or a descriptor may have become free.
    pub async fn until_given_back(&self) {
        self.bell.listen().await
    }

    /// A place for a new connection. Where there is none, the one that has been quiet for longest leaves, of
    /// those first that never had an answer: against connections by the hundred that say nothing, and those
    /// kept for good by clients that ask once. New ones leave last: their first word may be under way.
    pub async fn take(self: &Rc<Self>, clock: &Clock) -> Place {
        until(&self.bell, || {
            let (taken, now) = (self.taken.borrow(), clock.now());
            let quiet = || taken.values().filter(|s| s.quiet.get().is_finite());
            if taken.len() >= self.most && !quiet().any(|s| s.leave.get()) {
                let new = |s: &Seat| !s.answered.get() && now - s.since < NEW;
                let rank = |s: &Rc<Seat>| (new(s), s.answered.get(), s.quiet.get());
                let first = quiet().min_by(|a, b| {
                    rank(a)
                        .partial_cmp(&rank(b))
                        .unwrap_or(std::cmp::Ordering::Equal)
                });
                first.inspect(|s| s.ask());
            }
            (taken.len() < self.most).then_some(())
        })
        .await;
        self.seat(clock)
    }

    /// Without waiting, a few beyond the places: for what the system has accepted before the end.
    pub fn last(self: &Rc<Self>, clock: &Clock) -> Option<Place> {
        let few = self.taken.borrow().len() < self.most + self.most_lingering;
        few.then(|| self.seat(clock))
    }

    fn seat(self: &Rc<Self>, clock: &Clock) -> Place {
        let (now, nth) = (clock.now(), self.nth.replace(self.nth.get() + 1));
        let (quiet, answered, leave) = (
            Cell::new(now),
            Cell::new(false),
            Cell::new(self.closing.get()),
        );
        let seat = Rc::new(Seat {
            since: now,
            quiet,
            answered,
            leave,
            bell: Bell::new(),
        });
        self.taken.borrow_mut().insert(nth, seat.clone());
        self.count.set(self.taken.borrow().len() as u32);
        Place {
            of: self.clone(),
            seat,
            nth,
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.of.taken.borrow_mut().remove(&self.nth);
        self.of.count.set(self.of.taken.borrow().len() as u32);
        self.of.bell.notify(usize::MAX);
    }
}

impl Seat {
    fn ask(&self) {
        self.leave.set(true);
        self.bell.notify(usize::MAX);
    }
    pub fn must_leave(&self) -> bool {
        self.leave.get()
    }
    pub fn answered(&self) -> bool {
        self.answered.get()
    }
    pub fn quiet_since(&self) -> Ms {
        self.quiet.get()
    }
}

impl Drop for Lingers {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
        self.0.bell.notify(usize::MAX);
    }
}

impl Place {
    /// Gives the place back; none where too many linger already, but for the end, when nobody comes any more.
    pub fn linger(self) -> Option<Lingers> {
        let (of, lingering) = (self.of.clone(), self.of.lingering.get());
        (lingering < of.most_lingering || of.closing()).then(|| {
            of.lingering.set(lingering + 1);
            Lingers(of)
        })
    }

    pub fn busy(&self) {
        self.seat.quiet.set(Ms::INFINITY);
        // Another is asked in its stead.
        self.seat.leave.set(self.of.closing.get());
        self.of.press();
    }

    /// Something was answered or rolled back; with nothing left open, the place may be asked for.
    pub fn rest(&self, now: Ms, answered: bool, open: bool) {
        self.seat.answered.set(self.seat.answered() || answered);
        // One that only takes back what it never asked is no less quiet for it.
        if !open && (answered || self.seat.quiet.get().is_infinite()) {
            self.seat.quiet.set(now);
            self.of.press();
        }
        self.seat.bell.notify(usize::MAX);
    }
}

#[cfg(test)]
#[path = "connection_limiter_tests.rs"]
mod tests;
