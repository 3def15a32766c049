//! What the gateway's thread shows to who looks on, and what it is asked from outside. Both ways are free of
//! locks: the module's actor never waits for a reader, and builds a view only when one asks.

use arc_swap::ArcSwap;
use async_channel::Sender;
use event_listener::Event as Bell;
use ironstair::{Mandate, Ms};
use ironstair_tree::state::Snapshot;
use std::sync::Arc;

/// From another thread, to the module's actor.
pub enum Request {
    /// The window is wanted as it is now.
    Show,
    Amend(Box<Amendment>),
}

/// Other terms, taken over whole between two events of the module.
pub struct Amendment {
    pub mandate: Mandate,
    /// By the module's index; those out of service too.
    pub bands: Vec<Told>,
    /// The longest hard limit.
    pub longest: Ms,
    /// Told once it is done.
    pub done: Sender<()>,
}

/// What the carrying needs of a band.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub name: String,
    pub expected: Ms,
    pub in_service: bool,
}

/// The last view, and a bell that rings with each.
#[derive(Default)]
pub struct Window {
    latest: ArcSwap<Snapshot>,
    bell: Bell,
}

impl Window {
    pub fn show(&self, view: Snapshot) {
        self.latest.store(Arc::new(view));
        self.bell.notify(usize::MAX);
    }

    pub fn latest(&self) -> Arc<Snapshot> {
        self.latest.load_full()
    }

    /// A wait that begins now: taken before a view is asked for, its ring can't be missed.
    pub fn waiting(&self) -> event_listener::EventListener {
        self.bell.listen()
    }
}
