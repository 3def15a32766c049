//! Buffers of one size, lent from a bounded pool and given back when dropped.

use crate::wait::until;
use event_listener::Event;
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Holds an engine's longest answer with its line.
pub const SIZE: usize = 8 * 1024;
pub struct Pool {
    /// The most that are ever made. Half of them are left to what is under way when new work has to wait:
    /// against answers that wait for the room that only their own end would give back.
    most: usize,
    free: RefCell<Vec<Box<[u8]>>>,
    lent: Cell<usize>,
    back: Event,
}

pub struct Buffer {
    bytes: Box<[u8]>,
    from: usize,
    to: usize,
    pool: Rc<Pool>,
}

impl Pool {
    pub fn of(bytes: usize) -> Rc<Self> {
        let most = (bytes / SIZE).max(2);
        Rc::new(Pool {
            most,
            free: RefCell::default(),
            lent: Cell::new(0),
            back: Event::new(),
        })
    }

    /// How many are lent, and the most that may be.
    pub fn lent(&self) -> (usize, usize) {
        (self.lent.get(), self.most)
    }

    /// A buffer for what is under way; none when all are lent.
    pub fn lend(self: &Rc<Self>) -> Option<Buffer> {
        (self.lent.get() < self.most).then(|| {
            self.lent.set(self.lent.get() + 1);
            let bytes = self.free.borrow_mut().pop();
            let bytes = bytes.unwrap_or_else(|| vec![0; SIZE].into_boxed_slice());
            Buffer {
                bytes,
                from: 0,
                to: 0,
                pool: self.clone(),
            }
        })
    }

    /// A buffer for a message that needs many; none while a quarter are lent: half-sent ones must leave room
    /// to all others.
    pub fn lend_long(self: &Rc<Self>) -> Option<Buffer> {
        (self.lent.get() < self.most / 4)
            .then(|| self.lend())
            .flatten()
    }

    /// A buffer for new work, as soon as there is one to spare.
    pub async fn spare(self: &Rc<Self>) -> Buffer {
        let to_spare = || {
            (self.lent.get() < self.most - self.most / 2)
                .then(|| self.lend())
                .flatten()
        };
        until(&self.back, to_spare).await
    }

    /// A buffer for what is under way, as soon as one is back.
    pub async fn wait(self: &Rc<Self>) -> Buffer {
        until(&self.back, || self.lend()).await
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.pool
            .free
            .borrow_mut()
            .push(std::mem::take(&mut self.bytes));
        self.pool.lent.set(self.pool.lent.get() - 1);
        self.pool.back.notify(usize::MAX);
    }
}

impl Buffer {
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.from..self.to]
    }

    /// Room behind what is held, which is moved to the front first.
    pub fn space(&mut self) -> &mut [u8] {
        self.bytes.copy_within(self.from..self.to, 0);
        (self.from, self.to) = (0, self.to - self.from);
        &mut self.bytes[self.to..]
    }

    pub fn filled(&mut self, n: usize) {
        self.to = (self.to + n).min(self.bytes.len());
    }

    pub fn consume(&mut self, n: usize) {
        self.from = (self.from + n).min(self.to);
    }

    /// Takes in as much as fits and says how much that was.
    pub fn append(&mut self, bytes: &[u8]) -> usize {
        let space = self.space();
        let n = bytes.len().min(space.len());
        space[..n].copy_from_slice(&bytes[..n]);
        self.filled(n);
        n
    }
}

/// A long body: buffers in a row.
#[derive(Default)]
pub struct Chain(pub Vec<Buffer>);

impl Chain {
    pub fn size(&self) -> usize {
        self.0.iter().map(|b| b.bytes().len()).sum()
    }

    /// In one piece, copied only where it lies in several.
    pub fn joined(&self) -> Cow<'_, [u8]> {
        match &self.0[..] {
            [one] => Cow::Borrowed(one.bytes()),
            all => Cow::Owned(all.iter().flat_map(|b| b.bytes()).copied().collect()),
        }
    }
}

#[cfg(test)]
mod tests;
