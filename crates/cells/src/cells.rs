//! A set of cells.

/// The maximum number of cells: [`Cells`] stores a set as the bits of one 64-bit word.
pub const MAX_CELLS: usize = 64;

/// A set of cells, with one bit for each. As the cells of a request, the empty set allows any engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Cells(
    /// Bit `n` is set if the cell with index `n` is in the set.
    pub u64,
);

impl Cells {
    /// The set that contains only the cell with this index.
    pub fn single(index: usize) -> Cells {
        Cells(1 << (index % MAX_CELLS))
    }

    /// Whether the two sets have a cell in common.
    pub fn intersects(self, other: Cells) -> bool {
        self.0 & other.0 != 0
    }

    /// The cells that are in either set.
    pub fn union(self, other: Cells) -> Cells {
        Cells(self.0 | other.0)
    }

    /// The cells that are in this set and not in `other`.
    pub fn difference(self, other: Cells) -> Cells {
        Cells(self.0 & !other.0)
    }

    /// The number of cells in the set.
    pub fn count(self) -> u32 {
        self.0.count_ones()
    }

    /// Whether the set contains no cell.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// The indices of the cells in the set, in ascending order.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..MAX_CELLS).filter(move |index| self.0 >> index & 1 == 1)
    }
}

impl FromIterator<Cells> for Cells {
    /// The union of all sets.
    fn from_iter<I: IntoIterator<Item = Cells>>(sets: I) -> Cells {
        sets.into_iter().fold(Cells::default(), Cells::union)
    }
}
