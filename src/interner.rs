//! Maps ids of any type to small indices, so that the policy can keep its state in vectors.

use std::collections::HashMap;
use std::hash::Hash;

/// Ids and their indices. Released indices are reused.
pub struct Interner<Id> {
    index_by_id: HashMap<Id, usize>,
    ids: Vec<Id>,
    free: Vec<usize>,
}

impl<Id: Copy + Eq + Hash> Default for Interner<Id> {
    fn default() -> Self {
        Interner {
            index_by_id: HashMap::new(),
            ids: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<Id: Copy + Eq + Hash> Interner<Id> {
    /// The id's index, which is newly assigned if it has none.
    pub fn intern(&mut self, id: Id) -> usize {
        if let Some(&index) = self.index_by_id.get(&id) {
            return index;
        }
        let index = self.assign(id);
        self.index_by_id.insert(id, index);
        index
    }

    /// Assigns a free index to the id, or the next one if none is free.
    fn assign(&mut self, id: Id) -> usize {
        if let Some(index) = self.free.pop() {
            self.ids[index] = id;
            return index;
        }
        self.ids.push(id);
        self.ids.len() - 1
    }

    /// The id's index, if it has one.
    pub fn find(&self, id: Id) -> Option<usize> {
        self.index_by_id.get(&id).copied()
    }

    /// The id to which the index is assigned, or was last assigned.
    ///
    /// # Panics
    /// If the index was never assigned.
    pub fn id(&self, index: usize) -> Id {
        self.ids[index]
    }

    /// Releases the index, so that it can be assigned to another id. Has no effect on an index that
    /// is free.
    ///
    /// # Panics
    /// If the index was never assigned.
    pub fn release(&mut self, index: usize) {
        let id = self.ids[index];
        // The index may have been released already, and its id may have a newer one.
        if self.find(id) == Some(index) {
            self.index_by_id.remove(&id);
            self.free.push(index);
        }
    }
}

#[cfg(test)]
mod tests;
