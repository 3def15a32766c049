//! The cells of a document: groups of engines to which tenants are confined.

use super::validate::{violation, Violation};
use crate::decimal::Decimal;
use ironstair_cells::{Assignment, AssignmentError, CellDirectory, CellWeight, NoCapacityPolicy};
use serde::{Deserialize, Serialize};
use std::fmt::Display;

/// The number given to each assignment. It may be constant: every document gets a new assignment, and assignments are
/// never compared.
const ASSIGNMENT_NUMBER: u64 = 1;

/// Groups of engines, and the tenants confined to them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Cells {
    /// The number of cells of a tenant.
    #[serde(default = "default_shard_size", rename = "shard")]
    pub shard_size: u8,
    /// The cells.
    #[serde(rename = "cell")]
    pub cells: Vec<Cell>,
    /// Engines that are pinned to a cell.
    #[serde(default, rename = "engine", skip_serializing_if = "Vec::is_empty")]
    pub engine_pins: Vec<EnginePin>,
    /// Tenants that are pinned to cells.
    #[serde(default, rename = "tenant", skip_serializing_if = "Vec::is_empty")]
    pub tenant_pins: Vec<TenantPin>,
    /// If set, requests of a tenant whose cells have no ready engine are rejected with this retry-after in ms.
    #[serde(default, rename = "turn-back", skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u32>,
    /// If set, requests of such a tenant may use this share of the other cells instead.
    #[serde(default, rename = "lend", skip_serializing_if = "Option::is_none")]
    pub overflow_share: Option<Decimal<4>>,
}

fn default_shard_size() -> u8 {
    1
}

/// A group of engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Cell {
    /// The name, unique among the cells.
    pub name: String,
    /// Its weight in the distribution of engines and tenants, relative to the other cells.
    #[serde(default = "default_weight")]
    pub weight: Decimal<3>,
}

fn default_weight() -> Decimal<3> {
    Decimal(1.0)
}

/// Pins an engine to a cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct EnginePin {
    /// The name of the engine.
    pub name: String,
    /// The name of the cell.
    pub cell: String,
}

/// Pins a tenant to cells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TenantPin {
    /// The name of the tenant.
    pub name: String,
    /// The names of the cells.
    #[serde(default, rename = "cell")]
    pub cells: Vec<String>,
}

impl Cells {
    /// The directory by which a gateway finds the cells of engines and tenants. `hash` maps a name to an id and must be
    /// the same at every gateway.
    ///
    /// # Errors
    /// Fails if a cell does not exist, there are too many cells, or the shard size does not fit their number. The
    /// violation names the path.
    pub fn cell_directory(&self, hash: fn(&[u8]) -> u64) -> Result<CellDirectory, Violation> {
        let assignment = self.assignment()?;
        let assignment = self.pin_engines(assignment, hash)?;
        let assignment = self.pin_tenants(assignment, hash)?;
        Ok(CellDirectory::new(assignment, self.no_capacity_policy()?))
    }

    fn assignment(&self) -> Result<Assignment, Violation> {
        let mut cells: Vec<CellWeight> = self
            .cells
            .iter()
            .map(|cell| CellWeight {
                name: cell.name.clone(),
                weight: cell.weight.get(),
            })
            .collect();
        // The assignment must not depend on the order in which the cells are configured.
        cells.sort_by(|left, right| left.name.cmp(&right.name));
        Assignment::new(ASSIGNMENT_NUMBER, &cells, self.shard_size as usize).map_err(|error| {
            let field = match error {
                AssignmentError::ShardSize(_) => "shard",
                _ => "cell",
            };
            cells_violation(field, &error)
        })
    }

    fn pin_engines(
        &self,
        mut assignment: Assignment,
        hash: fn(&[u8]) -> u64,
    ) -> Result<Assignment, Violation> {
        for pin in &self.engine_pins {
            // Service discovery returns names in lower case.
            let id = hash(pin.name.to_ascii_lowercase().as_bytes());
            assignment = assignment
                .pin_engine(id, Some(&pin.cell))
                .map_err(|error| {
                    cells_violation(&format!("engine[name={}]/cell", pin.name), &error)
                })?;
        }
        Ok(assignment)
    }

    fn pin_tenants(
        &self,
        mut assignment: Assignment,
        hash: fn(&[u8]) -> u64,
    ) -> Result<Assignment, Violation> {
        for pin in &self.tenant_pins {
            let names: Vec<&str> = pin.cells.iter().map(String::as_str).collect();
            assignment = assignment
                .pin_tenant(hash(pin.name.as_bytes()), Some(&names))
                .map_err(|error| {
                    cells_violation(&format!("tenant[name={}]/cell", pin.name), &error)
                })?;
        }
        Ok(assignment)
    }

    fn no_capacity_policy(&self) -> Result<NoCapacityPolicy, Violation> {
        match (self.retry_after, self.overflow_share) {
            (Some(_), Some(_)) => Err(cells_violation("lend", &"either turn-back or lend")),
            (_, Some(share)) => Ok(NoCapacityPolicy::Overflow { share: share.get() }),
            (retry_after, None) => Ok(NoCapacityPolicy::Reject {
                retry_after: retry_after.unwrap_or(0) as f64,
            }),
        }
    }
}

fn cells_violation(field: &str, reason: &dyn Display) -> Violation {
    violation(format!("/settings/cells/{field}"), reason.to_string())
}
