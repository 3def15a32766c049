//! Who is where: the same at every gateway that has the same revision, whatever its endpoint list.

use std::fmt;
use std::sync::Arc;

/// As many as a word has bits.
pub const CELLS_MOST: usize = 64;

/// A set of cells, a bit for each. None at all stands for anywhere, where a request carries it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Cells(pub u64);

impl Cells {
    pub fn one(nth: usize) -> Cells {
        Cells(1 << (nth % CELLS_MOST))
    }
    pub fn meets(self, other: Cells) -> bool {
        self.0 & other.0 != 0
    }
    pub fn with(self, other: Cells) -> Cells {
        Cells(self.0 | other.0)
    }
    pub fn without(self, other: Cells) -> Cells {
        Cells(self.0 & !other.0)
    }
    pub fn count(self) -> u32 {
        self.0.count_ones()
    }
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..CELLS_MOST).filter(move |n| self.0 >> n & 1 == 1)
    }
}

/// Why a revision can't be, with what it names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    NoCell,
    TooManyCells(usize),
    TwiceNamed(String),
    NoSuchCell(String),
    /// A tenant's cells are 1 to all of them.
    Shard(usize),
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Wrong::NoCell => f.write_str("there is no cell"),
            Wrong::TooManyCells(n) => write!(f, "{n} cells are more than {CELLS_MOST}"),
            Wrong::TwiceNamed(name) => write!(f, "cell {name} is there twice"),
            Wrong::NoSuchCell(name) => write!(f, "there is no cell {name}"),
            Wrong::Shard(k) => write!(f, "a tenant can't have {k} cells"),
        }
    }
}

/// One revision: the cells with their weights, how many a tenant has, and who is pinned where. Pins are persistent
/// maps: a request keeps the revision under which it was taken at the price of a pointer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Assignment {
    pub number: u64,
    names: Arc<[String]>,
    weights: Arc<[f64]>,
    shard: usize,
    engines: imbl::HashMap<u64, usize>,
    tenants: imbl::HashMap<u64, Cells>,
}

/// Spreads two ids over 64 bits, alike at every gateway; another mix than the module's, so that cells and homes of
/// table groups are not drawn by the same lot.
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0xFF51_AFD7_ED55_8CCD);
    for _ in 0..2 {
        x = (x ^ (x >> 33)).wrapping_mul(0xC4CE_B9FE_1A85_EC53);
    }
    x ^ (x >> 33)
}

/// A share drawn from a hash, between 0 and 1 and neither.
fn share(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

impl Assignment {
    /// `shard`: how many cells a tenant has that is pinned nowhere; 1 is fixed cells, more is shuffle sharding.
    ///
    /// # Errors
    /// The cells or the shard can't be.
    pub fn new(number: u64, cells: &[(String, f64)], shard: usize) -> Result<Assignment, Wrong> {
        if cells.is_empty() {
            return Err(Wrong::NoCell);
        }
        if cells.len() > CELLS_MOST {
            return Err(Wrong::TooManyCells(cells.len()));
        }
        if let Some((i, c)) = cells
            .iter()
            .enumerate()
            .find(|(i, c)| cells[..*i].iter().any(|o| o.0 == c.0))
        {
            debug_assert!(i > 0);
            return Err(Wrong::TwiceNamed(c.0.clone()));
        }
        if !(1..=cells.len()).contains(&shard) {
            return Err(Wrong::Shard(shard));
        }
        let names = cells.iter().map(|c| c.0.clone()).collect();
        // A cell without weight is drawn by nobody, but may be pinned to.
        let weights = cells
            .iter()
            .map(|c| if c.1.is_finite() { c.1.max(0.0) } else { 0.0 })
            .collect();
        Ok(Assignment {
            number,
            names,
            weights,
            shard,
            ..Assignment::default()
        })
    }

    pub fn names(&self) -> &[String] {
        &self.names
    }

    pub fn cell(&self, name: &str) -> Result<usize, Wrong> {
        let found = self.names.iter().position(|n| n == name);
        found.ok_or_else(|| Wrong::NoSuchCell(name.to_string()))
    }

    /// The next revision, with an engine kept to a cell or drawn again.
    ///
    /// # Errors
    /// There is no such cell.
    pub fn pin_engine(&self, engine: u64, cell: Option<&str>) -> Result<Assignment, Wrong> {
        let mut next = Assignment {
            number: self.number + 1,
            ..self.clone()
        };
        match cell {
            Some(name) => drop(next.engines.insert(engine, self.cell(name)?)),
            None => drop(next.engines.remove(&engine)),
        }
        Ok(next)
    }

    /// The next revision, with a tenant kept to cells or drawn again.
    ///
    /// # Errors
    /// There is no such cell, or none is named.
    pub fn pin_tenant(&self, tenant: u64, cells: Option<&[&str]>) -> Result<Assignment, Wrong> {
        let mut next = Assignment {
            number: self.number + 1,
            ..self.clone()
        };
        match cells {
            Some([]) => return Err(Wrong::Shard(0)),
            Some(names) => {
                let all = names.iter().map(|n| self.cell(n).map(Cells::one));
                let all = all.collect::<Result<Vec<_>, _>>()?;
                next.tenants
                    .insert(tenant, all.into_iter().fold(Cells::default(), Cells::with));
            }
            None => drop(next.tenants.remove(&tenant)),
        }
        Ok(next)
    }

    /// Weighted rendezvous: each cell draws for the id, and the highest by its weight has it. What one id draws
    /// depends on no other id.
    fn drawn(&self, id: u64) -> impl Iterator<Item = usize> {
        let mut order: Vec<(f64, usize)> = (0..self.names.len())
            .map(|c| {
                (
                    -share(mix(id, c as u64)).ln() / self.weights[c].max(f64::MIN_POSITIVE),
                    c,
                )
            })
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        order.into_iter().map(|o| o.1)
    }

    /// An engine's cell.
    pub fn engine(&self, id: u64) -> Cells {
        match self.engines.get(&id) {
            Some(&cell) => Cells::one(cell),
            None => self.drawn(id).next().map(Cells::one).unwrap_or_default(),
        }
    }

    /// A tenant's cells.
    pub fn tenant(&self, id: u64) -> Cells {
        match self.tenants.get(&id) {
            Some(&cells) => cells,
            None => self
                .drawn(id ^ TENANTS)
                .take(self.shard)
                .map(Cells::one)
                .fold(Cells::default(), Cells::with),
        }
    }
}

/// Engines and tenants with the same id draw apart.
const TENANTS: u64 = 0x7E4A_9C15_0000_0001;
