//! The assignment of engines and tenants to cells. It is the same at every gateway that has the same revision, whatever
//! endpoint list that gateway has.

use crate::cells::{Cells, MAX_CELLS};
use std::sync::Arc;

/// Separates the draws of tenants from those of engines: a tenant and an engine may have the same id.
const TENANT_SALT: u64 = 0x7E4A_9C15_0000_0001;

/// Why an assignment is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentError {
    /// There is no cell.
    #[error("there is no cell")]
    NoCell,
    /// There are more cells than [`MAX_CELLS`].
    #[error("{0} cells are more than {MAX_CELLS}")]
    TooManyCells(usize),
    /// Two cells have that name.
    #[error("cell {0} is there twice")]
    DuplicateName(String),
    /// No cell has that name.
    #[error("there is no cell {0}")]
    UnknownCell(String),
    /// A tenant cannot have that many cells: at least one, and at most as many as there are.
    #[error("a tenant can't have {0} cells")]
    ShardSize(usize),
}

/// A cell as it is configured.
#[derive(Clone, Debug, PartialEq)]
pub struct CellWeight {
    /// The cell's name.
    pub name: String,
    /// The cell's weight among all cells. A cell of weight zero is drawn for no engine or tenant, but may be pinned.
    pub weight: f64,
}

/// One revision of the assignment.
///
/// Pins are persistent maps: a request keeps the revision under which it was accepted at the price of a pointer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Assignment {
    /// The revision's number.
    pub number: u64,
    names: Arc<[String]>,
    weights: Arc<[f64]>,
    shard_size: usize,
    pinned_engines: imbl::HashMap<u64, usize>,
    pinned_tenants: imbl::HashMap<u64, Cells>,
}

impl Assignment {
    /// An assignment without pins.
    ///
    /// `shard_size` is the number of cells of a tenant that is not pinned: 1 means fixed cells, more is shuffle
    /// sharding.
    ///
    /// # Errors
    /// There is no cell, there are too many, two have the same name, or `shard_size` does not fit their number.
    pub fn new(
        number: u64,
        cells: &[CellWeight],
        shard_size: usize,
    ) -> Result<Assignment, AssignmentError> {
        if cells.is_empty() {
            return Err(AssignmentError::NoCell);
        }
        if cells.len() > MAX_CELLS {
            return Err(AssignmentError::TooManyCells(cells.len()));
        }
        if let Some(name) = duplicate_name(cells) {
            return Err(AssignmentError::DuplicateName(name.to_owned()));
        }
        if !(1..=cells.len()).contains(&shard_size) {
            return Err(AssignmentError::ShardSize(shard_size));
        }
        let names = cells.iter().map(|cell| cell.name.clone()).collect();
        let weights = cells.iter().map(|cell| usable_weight(cell.weight));
        Ok(Assignment {
            number,
            names,
            weights: weights.collect(),
            shard_size,
            ..Assignment::default()
        })
    }

    /// The names of all cells, by index.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The index of the cell of that name.
    ///
    /// # Errors
    /// There is no such cell.
    pub fn cell_index(&self, name: &str) -> Result<usize, AssignmentError> {
        let found = self.names.iter().position(|known| known == name);
        found.ok_or_else(|| AssignmentError::UnknownCell(name.to_owned()))
    }

    /// The next revision, in which an engine is pinned to a cell, or drawn again if `cell` is `None`.
    ///
    /// # Errors
    /// There is no such cell.
    pub fn pin_engine(
        &self,
        engine: u64,
        cell: Option<&str>,
    ) -> Result<Assignment, AssignmentError> {
        let mut next = self.next_revision();
        match cell {
            Some(name) => drop(next.pinned_engines.insert(engine, self.cell_index(name)?)),
            None => drop(next.pinned_engines.remove(&engine)),
        }
        Ok(next)
    }

    /// The next revision, in which a tenant is pinned to cells, or drawn again if `cells` is `None`.
    ///
    /// # Errors
    /// There is no such cell, or no cell is named.
    pub fn pin_tenant(
        &self,
        tenant: u64,
        cells: Option<&[&str]>,
    ) -> Result<Assignment, AssignmentError> {
        let mut next = self.next_revision();
        match cells {
            Some([]) => return Err(AssignmentError::ShardSize(0)),
            Some(names) => {
                let cells = names
                    .iter()
                    .map(|name| self.cell_index(name).map(Cells::single));
                let cells = cells.collect::<Result<Cells, AssignmentError>>()?;
                next.pinned_tenants.insert(tenant, cells);
            }
            None => drop(next.pinned_tenants.remove(&tenant)),
        }
        Ok(next)
    }

    /// The cell of an engine.
    pub fn engine_cells(&self, id: u64) -> Cells {
        match self.pinned_engines.get(&id) {
            Some(&cell) => Cells::single(cell),
            None => self.drawn(id).next().map(Cells::single).unwrap_or_default(),
        }
    }

    /// The cells of a tenant.
    pub fn tenant_cells(&self, id: u64) -> Cells {
        match self.pinned_tenants.get(&id) {
            Some(&cells) => cells,
            None => self
                .drawn(id ^ TENANT_SALT)
                .take(self.shard_size)
                .map(Cells::single)
                .collect(),
        }
    }

    fn next_revision(&self) -> Assignment {
        Assignment {
            number: self.number + 1,
            ..self.clone()
        }
    }

    /// Weighted rendezvous hashing: each cell draws a number for the id, and the cells are ordered by it. The draw of
    /// one id depends on no other id, so that a change of the list moves as few engines as possible.
    fn drawn(&self, id: u64) -> impl Iterator<Item = usize> {
        let mut order: Vec<Draw> = (0..self.names.len())
            .map(|cell| Draw {
                cell,
                rank: -uniform(mix(id, cell as u64)).ln()
                    / self.weights[cell].max(f64::MIN_POSITIVE),
            })
            .collect();
        order.sort_by(|left, right| left.rank.total_cmp(&right.rank));
        order.into_iter().map(|draw| draw.cell)
    }
}

/// What one cell drew for an id; the lowest rank wins.
struct Draw {
    cell: usize,
    rank: f64,
}

fn duplicate_name(cells: &[CellWeight]) -> Option<&str> {
    let is_known = |index: usize| {
        let earlier = &cells[..index];
        earlier.iter().any(|cell| cell.name == cells[index].name)
    };
    let duplicate = (0..cells.len()).find(|&index| is_known(index))?;
    Some(&cells[duplicate].name)
}

fn usable_weight(weight: f64) -> f64 {
    if weight.is_finite() {
        weight.max(0.0)
    } else {
        0.0
    }
}

/// Hashes two ids to 64 bits, alike at every gateway. The policy uses another function, so that the cell of an engine
/// and the engine order of a table group are independent.
fn mix(id: u64, salt: u64) -> u64 {
    let mut hash = id ^ salt.rotate_left(32).wrapping_mul(0xFF51_AFD7_ED55_8CCD);
    for _ in 0..2 {
        hash = (hash ^ (hash >> 33)).wrapping_mul(0xC4CE_B9FE_1A85_EC53);
    }
    hash ^ (hash >> 33)
}

/// A number from a hash, uniform in the open interval from 0 to 1.
fn uniform(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
