//! The places for client connections: who holds one, and who leaves when they run short or at the end.

use crate::wait::until;
use event_listener::Event as Bell;
use ironstair::Ms;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

pub struct Places {
    most: usize,
    begun: Cell<bool>,
    closing: Cell<bool>,
    taken: RefCell<BTreeMap<u64, Rc<Seat>>>,
    nth: Cell<u64>,
    bell: Bell,
}

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
    pub fn new(most: usize) -> Rc<Self> {
        let (begun, closing, taken) = (Cell::new(false), Cell::new(false), RefCell::default());
        Rc::new(Places { most: most.max(1), begun, closing, taken, nth: Cell::new(0), bell: Bell::new() })
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

    pub async fn until_empty(&self) {
        until(&self.bell, || self.taken.borrow().is_empty().then_some(())).await
    }

    /// A place for a new connection. Where there is none, the one that has been quiet for longest leaves, of
    /// those first that never had an answer: against connections by the hundred that say nothing, and those
    /// kept for good by clients that ask once.
    pub async fn take(self: &Rc<Self>, now: Ms) -> Place {
        until(&self.bell, || {
            let taken = self.taken.borrow();
            if taken.len() >= self.most && !taken.values().any(|s| s.leave.get()) {
                let quiet = taken.values().filter(|s| s.quiet.get().is_finite());
                let rank = |s: &Rc<Seat>| (s.answered.get(), s.quiet.get());
                let first =
                    quiet.min_by(|a, b| rank(a).partial_cmp(&rank(b)).unwrap_or(std::cmp::Ordering::Equal));
                first.inspect(|s| s.ask());
            }
            (taken.len() < self.most).then_some(())
        })
        .await;
        let nth = self.nth.replace(self.nth.get() + 1);
        let (quiet, answered, leave) = (Cell::new(now), Cell::new(false), Cell::new(self.closing.get()));
        let seat = Rc::new(Seat { since: now, quiet, answered, leave, bell: Bell::new() });
        self.taken.borrow_mut().insert(nth, seat.clone());
        Place { of: self.clone(), seat, nth }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.of.taken.borrow_mut().remove(&self.nth);
        self.of.bell.notify(usize::MAX);
    }
}

impl Seat {
    fn ask(&self) {
        self.leave.set(true);
        self.bell.notify(usize::MAX);
    }
    pub fn asked_to_leave(&self) -> bool {
        self.leave.get()
    }
    pub fn answered(&self) -> bool {
        self.answered.get()
    }
    pub fn quiet_since(&self) -> Ms {
        self.quiet.get()
    }
}

impl Place {
    pub fn busy(&self) {
        self.seat.quiet.set(Ms::INFINITY);
    }

    /// Something was answered or taken back; with nothing left open, the place may be asked for.
    pub fn rest(&self, now: Ms, answered: bool, open: bool) {
        self.seat.answered.set(self.seat.answered() || answered);
        // One that only takes back what it never asked is no less quiet for it.
        if !open && (answered || self.seat.quiet.get().is_infinite()) {
            self.seat.quiet.set(now);
            if self.of.taken.borrow().len() >= self.of.most {
                self.of.bell.notify(usize::MAX);
            }
        }
        self.seat.bell.notify(usize::MAX);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use futures_lite::future::{block_on, poll_once};

    #[test]
    fn who_never_spoke_leaves_first_then_who_is_quiet_longest_and_nobody_with_an_open_call() {
        let places = Places::new(4);
        let mut held: Vec<Place> = (0..4).map(|n| block_on(places.take(n as Ms))).collect();
        held[0].busy();
        held[1].rest(8.0, true, false);
        held[2].rest(7.0, true, false);
        for leaver in [3, 2, 1] {
            assert!(block_on(poll_once(places.take(9.0))).is_none());
            let asked: Vec<bool> = held.iter().map(|p| p.seat.asked_to_leave()).collect();
            assert_eq!((asked.iter().filter(|a| **a).count(), asked[leaver]), (1, true), "{leaver}");
            drop(held.remove(leaver));
            let new = block_on(places.take(10.0));
            new.busy();
            held.push(new);
        }
        assert!(block_on(poll_once(places.take(11.0))).is_none());
        assert!(held.iter().all(|p| !p.seat.asked_to_leave()));
    }
}
