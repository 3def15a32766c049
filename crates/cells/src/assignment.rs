//! The assignment of engines and tenants to cells. It depends only on the revision and the ids, not on the endpoint
//! list, so gateways with the same revision agree on it even while their endpoint lists differ.

use crate::cells::{Cells, MAX_CELLS};
use std::sync::Arc;

/// Combined with tenant ids before hashing, so that a tenant and an engine with the same id are assigned independently.
const TENANT_SALT: u64 = 0x7E4A_9C15_0000_0001;

/// Why an assignment is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentError {
    /// No cell is configured.
    #[error("no cell is configured, at least one is required")]
    NoCell,
    /// More than [`MAX_CELLS`] cells are configured.
    #[error("{0} cells are configured, at most {MAX_CELLS} are allowed")]
    TooManyCells(usize),
    /// Two cells have this name.
    #[error("cell {0} is configured twice")]
    DuplicateName(String),
    /// No cell has this name.
    #[error("cell {0} does not exist")]
    UnknownCell(String),
    /// A tenant cannot have this number of cells: it needs at least one, and at most all that are configured.
    #[error("a tenant cannot have {0} cells, expected 1 to the number of configured cells")]
    ShardSize(usize),
}

/// A configured cell.
#[derive(Clone, Debug, PartialEq)]
pub struct CellWeight {
    /// The cell's name.
    pub name: String,
    /// The cell's share of engines and tenants, relative to the other cells' weights. A cell of weight zero ranks
    /// behind all others, so in practice it contains only what is pinned to it.
    pub weight: f64,
}

/// One revision of the assignment.
///
/// Pins are persistent (structurally shared) maps, so a request can cheaply hold the revision under which it was
/// accepted.
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
    /// `shard_size` is the number of cells of a tenant that is not pinned: with 1 each tenant has a single cell, with
    /// more the tenants are shuffle-sharded.
    ///
    /// # Errors
    /// `cells` is empty or longer than [`MAX_CELLS`], two cells have the same name, or `shard_size` is zero or exceeds
    /// the number of cells.
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

    /// The index of the cell with this name.
    ///
    /// # Errors
    /// No cell has this name.
    pub fn cell_index(&self, name: &str) -> Result<usize, AssignmentError> {
        let index = self.names.iter().position(|known| known == name);
        index.ok_or_else(|| AssignmentError::UnknownCell(name.to_owned()))
    }

    /// The next revision, in which an engine is pinned to a cell, or no longer pinned if `cell` is `None`.
    ///
    /// # Errors
    /// No cell has this name.
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

    /// The next revision, in which a tenant is pinned to cells, or no longer pinned if `cells` is `None`.
    ///
    /// # Errors
    /// `cells` is an empty list, or one of the names belongs to no cell.
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

    /// The cell of an engine: the cell to which it is pinned, or else the first in its hash order.
    pub fn engine_cells(&self, id: u64) -> Cells {
        match self.pinned_engines.get(&id) {
            Some(&cell) => Cells::single(cell),
            None => self
                .rendezvous_order(id)
                .next()
                .map(Cells::single)
                .unwrap_or_default(),
        }
    }

    /// The cells of a tenant: those to which it is pinned, or else the first `shard_size` in its hash order.
    pub fn tenant_cells(&self, id: u64) -> Cells {
        match self.pinned_tenants.get(&id) {
            Some(&cells) => cells,
            None => self
                .rendezvous_order(id ^ TENANT_SALT)
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

    /// All cells in the order of weighted rendezvous hashing: each cell gets a rank from a hash of the id and the
    /// cell's index, and the lowest rank comes first. The order of one id does not depend on other ids, and a cell
    /// appended to the list only attracts ids, so that a change moves as few engines as possible.
    fn rendezvous_order(&self, id: u64) -> impl Iterator<Item = usize> {
        let mut order: Vec<RankedCell> = (0..self.names.len())
            .map(|cell| RankedCell {
                cell,
                rank: -uniform(mix(id, cell as u64)).ln()
                    / self.weights[cell].max(f64::MIN_POSITIVE),
            })
            .collect();
        order.sort_by(|left, right| left.rank.total_cmp(&right.rank));
        order.into_iter().map(|ranked| ranked.cell)
    }
}

/// A cell and its rank for one id; the lowest rank comes first.
struct RankedCell {
    cell: usize,
    rank: f64,
}

fn duplicate_name(cells: &[CellWeight]) -> Option<&str> {
    let occurs_earlier = |index: usize| {
        let earlier = &cells[..index];
        earlier.iter().any(|cell| cell.name == cells[index].name)
    };
    let duplicate = (0..cells.len()).find(|&index| occurs_earlier(index))?;
    Some(&cells[duplicate].name)
}

/// Negative, infinite and NaN weights count as zero.
fn usable_weight(weight: f64) -> f64 {
    if weight.is_finite() {
        weight.max(0.0)
    } else {
        0.0
    }
}

/// Hashes an id and a cell's index to 64 bits; the result is the same at every gateway. The policy uses a different
/// function, so that the cell of an engine and its position in a table group's engine order are independent.
fn mix(id: u64, salt: u64) -> u64 {
    let mut hash = id ^ salt.rotate_left(32).wrapping_mul(0xFF51_AFD7_ED55_8CCD);
    for _ in 0..2 {
        hash = (hash ^ (hash >> 33)).wrapping_mul(0xC4CE_B9FE_1A85_EC53);
    }
    hash ^ (hash >> 33)
}

/// Maps a hash to a number that is uniform in the open interval from 0 to 1.
fn uniform(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
