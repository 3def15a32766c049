//! The classes that a gateway has ever had, by index.

use crate::document::{Class, DeduplicationScope, Document, RepeatSafety};

/// Classes that a gateway may have had in its life: their indices are never used again, since requests, charges and
/// pacing hold on to them.
pub const MAX_CLASSES: usize = 256;

/// What of a class is fixed for the gateway's life; its position in the registry is the class's index.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSlot {
    /// The class's.
    pub name: String,
    /// Whether its requests may run more than once.
    pub repeat: RepeatSafety,
    /// Among which engines a repeat is recognized.
    pub within: DeduplicationScope,
    /// Whether requests of the same key run in the order they came in.
    pub in_order: bool,
    /// Threads that a request takes at its engine.
    pub threads: u16,
}

impl ClassSlot {
    pub(crate) fn of(class: &Class) -> ClassSlot {
        ClassSlot {
            name: class.name.clone(),
            repeat: class.repeat,
            within: class.within,
            in_order: class.in_order,
            threads: class.threads,
        }
    }
}

/// Every class that ever was, in the order of their indices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassRegistry(pub Vec<ClassSlot>);

impl ClassRegistry {
    /// The classes of a document, in its order.
    pub fn of(document: &Document) -> ClassRegistry {
        ClassRegistry(document.class.iter().map(ClassSlot::of).collect())
    }

    /// The index of the first class of that name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|slot| slot.name == name)
    }
}
