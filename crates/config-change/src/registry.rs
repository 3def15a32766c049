//! The classes that a gateway has had since its start, by index.

use crate::document::{Class, DeduplicationScope, Document, RepeatSafety};

/// The limit of classes since the start. It bounds the memory: indices are never reused, since requests, charges and
/// pacing refer to them.
pub const MAX_CLASSES: usize = 256;

/// The fields of a class that never change. The position of the slot in the registry is the index of the class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSlot {
    /// The name of the class.
    pub name: String,
    /// Whether its requests may run more than once.
    pub repeat_safety: RepeatSafety,
    /// The engines among which a repetition is recognized.
    pub dedup_scope: DeduplicationScope,
    /// Whether requests of the same key run in the order of their arrival.
    pub preserves_key_order: bool,
    /// The threads that a request uses at its engine.
    pub threads: u16,
}

impl ClassSlot {
    pub(crate) fn from_class(class: &Class) -> ClassSlot {
        ClassSlot {
            name: class.name.clone(),
            repeat_safety: class.repeat_safety,
            dedup_scope: class.dedup_scope,
            preserves_key_order: class.preserves_key_order,
            threads: class.threads,
        }
    }
}

/// All classes since the start, in the order of their indices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassRegistry(pub Vec<ClassSlot>);

impl ClassRegistry {
    /// The classes of a document, in its order.
    pub fn from_document(document: &Document) -> ClassRegistry {
        ClassRegistry(document.classes.iter().map(ClassSlot::from_class).collect())
    }

    /// The index of the first class of that name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|slot| slot.name == name)
    }
}
