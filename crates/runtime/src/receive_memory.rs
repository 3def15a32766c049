//! Shares a bounded memory for incomplete messages among client connections.
//!
//! When the memory is used up, the connection that holds most of it has to release its part: a connection that holds
//! less than an even share never loses it to others.

use crate::wait::wait_for;
use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The memory for incomplete messages of all connections.
#[derive(Debug)]
pub struct ReceiveMemory {
    max_bytes: usize,
    shares: RefCell<BTreeMap<u64, Rc<ShareState>>>,
    next_number: Cell<u64>,
}

/// The part of the memory that one connection holds; released when dropped.
#[derive(Debug)]
pub struct ReceiveShare {
    memory: Rc<ReceiveMemory>,
    number: u64,
    state: Rc<ShareState>,
}

#[derive(Debug, Default)]
struct ShareState {
    bytes: Cell<usize>,
    is_releasable: Cell<bool>,
    is_release_requested: Cell<bool>,
    release_requested: Event,
}

impl ShareState {
    /// The bytes that count against the limit: none if they are about to be released.
    fn counted_bytes(&self) -> usize {
        match self.is_release_requested.get() {
            true => 0,
            false => self.bytes.get(),
        }
    }

    fn request_release(&self) {
        self.is_release_requested.set(true);
        self.release_requested.notify(usize::MAX);
    }
}

impl ReceiveMemory {
    /// Allows all connections together to hold `max_bytes` bytes.
    pub fn with_capacity(max_bytes: usize) -> Rc<Self> {
        Rc::new(ReceiveMemory {
            max_bytes,
            shares: RefCell::default(),
            next_number: Cell::new(0),
        })
    }

    /// The share of a new connection, which holds nothing yet.
    pub fn share(self: &Rc<Self>) -> ReceiveShare {
        let number = self.next_number.replace(self.next_number.get() + 1);
        ReceiveShare {
            memory: self.clone(),
            number,
            state: Rc::default(),
        }
    }

    /// The bytes that all connections hold.
    pub fn in_use(&self) -> usize {
        let shares = self.shares.borrow();
        shares.values().map(|share| share.bytes.get()).sum()
    }

    /// Requests the release of the largest shares until the others are within the limit.
    fn enforce_limit(&self) {
        let shares = self.shares.borrow();
        let mut counted: usize = shares.values().map(|share| share.counted_bytes()).sum();
        while counted > self.max_bytes {
            let releasable = shares.values().filter(|share| share.is_releasable.get());
            let largest = releasable.max_by_key(|share| share.counted_bytes());
            let Some(largest) = largest.filter(|share| share.counted_bytes() > 0) else {
                return;
            };
            counted -= largest.counted_bytes();
            largest.request_release();
        }
    }
}

impl ReceiveShare {
    /// Records how many bytes the connection holds, and whether it can release them: it can skip the rest of a message
    /// only once it knows the message's length. A release that was requested counts as done.
    pub fn set(&self, bytes: usize, is_releasable: bool) {
        let state = &self.state;
        state.bytes.set(bytes);
        state.is_releasable.set(is_releasable);
        state.is_release_requested.set(false);
        let mut shares = self.memory.shares.borrow_mut();
        if bytes == 0 {
            shares.remove(&self.number);
            return;
        }
        shares.insert(self.number, state.clone());
        drop(shares);
        self.memory.enforce_limit();
    }

    /// Waits until the connection has to release its bytes.
    pub async fn until_release_requested(&self) {
        let state = &self.state;
        wait_for(&state.release_requested, || {
            state.is_release_requested.get().then_some(())
        })
        .await;
    }
}

impl Drop for ReceiveShare {
    fn drop(&mut self) {
        self.memory.shares.borrow_mut().remove(&self.number);
    }
}
