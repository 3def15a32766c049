//! A bounded pool of buffers of one size. A buffer returns to its pool when it is dropped.

use crate::wait::wait_for;
use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The size of a buffer in bytes: enough for an engine's longest answer line.
pub const BUFFER_SIZE: usize = 8 * 1024;

/// The smallest pool: one buffer to read into and one to write from.
const MIN_BUFFERS: usize = 2;

/// A bounded pool of buffers.
pub struct BufferPool {
    max_buffers: usize,
    free: RefCell<Vec<Box<[u8]>>>,
    in_use: Cell<usize>,
    released: Event,
}

/// How much of a pool is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolUsage {
    /// Buffers in use.
    pub in_use: usize,
    /// The limit on buffers in use.
    pub max_buffers: usize,
}

impl BufferPool {
    /// Creates a pool whose buffers hold up to `bytes` bytes together. It has at least two buffers.
    pub fn with_capacity(bytes: usize) -> Rc<Self> {
        Rc::new(BufferPool {
            max_buffers: (bytes / BUFFER_SIZE).max(MIN_BUFFERS),
            free: RefCell::default(),
            in_use: Cell::new(0),
            released: Event::new(),
        })
    }

    /// The buffers in use and their limit.
    pub fn usage(&self) -> PoolUsage {
        PoolUsage {
            in_use: self.in_use.get(),
            max_buffers: self.max_buffers,
        }
    }

    /// Takes a buffer; `None` if all are in use.
    pub fn try_acquire(self: &Rc<Self>) -> Option<Buffer> {
        if self.in_use.get() >= self.max_buffers {
            return None;
        }
        self.in_use.set(self.in_use.get() + 1);
        let free = self.free.borrow_mut().pop();
        Some(Buffer {
            bytes: free.unwrap_or_else(|| vec![0; BUFFER_SIZE].into_boxed_slice()),
            start: 0,
            end: 0,
            pool: self.clone(),
        })
    }

    /// Waits for a buffer.
    pub async fn acquire(self: &Rc<Self>) -> Buffer {
        wait_for(&self.released, || self.try_acquire()).await
    }
}

/// A buffer from a pool: bytes are appended at the end and consumed from the front.
pub struct Buffer {
    bytes: Box<[u8]>,
    start: usize,
    end: usize,
    pool: Rc<BufferPool>,
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.pool.free.borrow_mut().push(bytes);
        self.pool.in_use.set(self.pool.in_use.get() - 1);
        self.pool.released.notify(usize::MAX);
    }
}

impl Buffer {
    /// The bytes that have not been consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// The free space after the bytes, which are moved to the front of the buffer first.
    pub fn spare_capacity(&mut self) -> &mut [u8] {
        self.bytes.copy_within(self.start..self.end, 0);
        self.end -= self.start;
        self.start = 0;
        &mut self.bytes[self.end..]
    }

    /// Adds the first `count` bytes of the spare capacity to the buffer's bytes.
    pub fn advance(&mut self, count: usize) {
        self.end = (self.end + count).min(self.bytes.len());
    }

    /// Removes `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
    }

    /// Appends as many bytes as fit and returns their number.
    pub fn append(&mut self, bytes: &[u8]) -> usize {
        let space = self.spare_capacity();
        let count = bytes.len().min(space.len());
        space[..count].copy_from_slice(&bytes[..count]);
        self.advance(count);
        count
    }
}

/// A byte sequence that may span several buffers, such as the rows of a result.
#[derive(Default)]
pub struct BufferChain(
    /// The buffers in order.
    pub Vec<Buffer>,
);

impl BufferChain {
    /// The number of bytes in all buffers.
    pub fn byte_count(&self) -> usize {
        self.0.iter().map(|buffer| buffer.bytes().len()).sum()
    }
}

#[cfg(test)]
mod tests;
