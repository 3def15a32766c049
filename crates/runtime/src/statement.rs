//! The statements of open requests, and the limit on their memory.

use std::cell::Cell;
use std::rc::Rc;

/// Limits the memory of all statements together.
#[derive(Debug)]
pub struct StatementMemory {
    max_bytes: usize,
    in_use: Cell<usize>,
}

/// A statement, in exactly as much memory as it needs. The memory counts as in use until the statement is dropped.
#[derive(Debug)]
pub struct Statement {
    bytes: Box<[u8]>,
    memory: Rc<StatementMemory>,
}

impl StatementMemory {
    /// Allows statements of `max_bytes` bytes together.
    pub fn with_capacity(max_bytes: usize) -> Rc<Self> {
        Rc::new(StatementMemory {
            max_bytes,
            in_use: Cell::new(0),
        })
    }

    /// The memory in use, in bytes.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// Whether a statement of so many bytes fits beside those that are open.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.in_use.get().saturating_add(bytes) <= self.max_bytes
    }
}

impl Statement {
    /// Stores a statement; `None` if the limit does not allow it.
    pub fn store(bytes: Vec<u8>, memory: &Rc<StatementMemory>) -> Option<Statement> {
        if !memory.has_room_for(bytes.len()) {
            return None;
        }
        memory.in_use.set(memory.in_use.get() + bytes.len());
        Some(Statement {
            bytes: bytes.into_boxed_slice(),
            memory: memory.clone(),
        })
    }

    /// The statement's text.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Statement {
    fn drop(&mut self) {
        let memory = &self.memory;
        memory.in_use.set(memory.in_use.get() - self.bytes.len());
    }
}
