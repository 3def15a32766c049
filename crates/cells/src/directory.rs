//! A gateway's view of the cells: the assignment, the cells with a ready engine, the migrations in progress and the
//! overflow budgets.

use crate::assignment::Assignment;
use crate::cells::Cells;
use crate::migration::{MigrationEvent, TenantMigration};
use crate::overflow::{CellAvailability, NoCapacityPolicy, OverflowBudget, Placement};
use ironstair::Millis;
use std::collections::BTreeMap;

/// The maximum number of overflow budgets. It bounds the memory that requests with ever new tenant names can occupy. At
/// the limit all budgets are dropped and start from zero.
const MAX_BUDGETS: usize = 4096;

/// The directory's migrations have no time limit: they end with their last attempt in the old cells, and the policy
/// ends every attempt at its deadline.
const NO_EXPIRY: Millis = Millis::INFINITY;

/// Maps engines and tenants to cells, and places tenants' requests.
#[derive(Clone, Debug)]
pub struct CellDirectory {
    assignment: Assignment,
    no_capacity_policy: NoCapacityPolicy,
    available: CellAvailability,
    /// Overflow budgets by tenant, only for tenants whose cells have no ready engine.
    budgets: BTreeMap<u64, OverflowBudget>,
    /// Migrations by tenant, only for tenants with attempts in their old cells.
    migrations: BTreeMap<u64, TenantMigration>,
}

impl CellDirectory {
    /// A directory that has not received an endpoint list yet: no cell has a ready engine.
    pub fn new(assignment: Assignment, no_capacity_policy: NoCapacityPolicy) -> CellDirectory {
        let available = CellAvailability {
            ready: Cells::default(),
            all: (0..assignment.names().len()).map(Cells::single).collect(),
        };
        CellDirectory {
            assignment,
            no_capacity_policy,
            available,
            budgets: BTreeMap::new(),
            migrations: BTreeMap::new(),
        }
    }

    /// The cell of an engine.
    pub fn engine_cells(&self, id: u64) -> Cells {
        self.assignment.engine_cells(id)
    }

    /// The cells of a tenant.
    pub fn tenant_cells(&self, tenant: u64) -> Cells {
        self.assignment.tenant_cells(tenant)
    }

    /// The names of the cells, separated by spaces.
    pub fn names(&self, cells: Cells) -> String {
        let names: Vec<&str> = cells
            .iter()
            .filter_map(|cell| self.assignment.names().get(cell))
            .map(String::as_str)
            .collect();
        names.join(" ")
    }

    /// Applies a change of the endpoint list. `ready` are the ids of the ready engines.
    pub fn update_endpoints(&mut self, ready: impl Iterator<Item = u64>) {
        self.available.ready = ready.map(|id| self.assignment.engine_cells(id)).collect();
        let cells_without_engine = self.available.all.difference(self.available.ready);
        if cells_without_engine.is_empty() {
            self.budgets.clear();
        }
    }

    /// Takes over the migrations of `previous`, the directory that this one replaces, and starts a migration for each
    /// tenant whose cells differ between the two.
    ///
    /// `attempts` are the attempts in flight, each with its tenant and the cells that its engine was in when the
    /// attempt started. A tenant without an attempt in its old cells needs no migration.
    pub fn inherit_migrations(
        &mut self,
        now: Millis,
        previous: &CellDirectory,
        attempts: impl Iterator<Item = (u64, Cells)>,
    ) {
        let mut tenants: BTreeMap<u64, TenantMigration> = BTreeMap::new();
        for (tenant, cells) in attempts {
            let settled = || TenantMigration::settled(0, previous.tenant_cells(tenant));
            let migration = tenants.entry(tenant).or_insert_with(settled);
            migration.on_event(now, NO_EXPIRY, MigrationEvent::AttemptStarted(cells));
        }
        for (id, mut migration) in tenants {
            // Replays the tenant's cells as revisions. Cells that the tenant was already leaving come first, so that
            // they remain old cells.
            let earlier_migration = previous.migrations.get(&id);
            let already_leaving = earlier_migration
                .map(TenantMigration::old_cells)
                .unwrap_or_default();
            let history = [
                already_leaving,
                previous.tenant_cells(id),
                self.tenant_cells(id),
            ];
            for (number, cells) in (1..).zip(history) {
                if !cells.is_empty() {
                    let revision = MigrationEvent::Revision { number, cells };
                    migration.on_event(now, NO_EXPIRY, revision);
                }
            }
            if migration.is_migrating() {
                self.migrations.insert(id, migration);
            }
        }
    }

    /// The number of tenants that migrate.
    pub fn migration_count(&self) -> usize {
        self.migrations.len()
    }

    /// Records the end of an attempt of the tenant at an engine in `cells`. Returns whether this ended the tenant's
    /// migration.
    pub fn on_attempt_ended(&mut self, now: Millis, tenant: u64, cells: Cells) -> bool {
        let Some(migration) = self.migrations.get_mut(&tenant) else {
            return false;
        };
        let end = migration.on_event(now, NO_EXPIRY, MigrationEvent::AttemptEnded(cells));
        if end.is_some() {
            self.migrations.remove(&tenant);
        }
        end.is_some()
    }

    /// Decides in which cells a request of the tenant may run, or rejects it.
    pub fn place(&mut self, now: Millis, tenant: u64) -> Placement {
        let own = self.assignment.tenant_cells(tenant);
        if own.intersects(self.available.ready) {
            return Placement::Cells(own);
        }
        if self.budgets.len() >= MAX_BUDGETS {
            self.budgets.clear();
        }
        let budget = self.budgets.entry(tenant).or_default();
        budget.place(now, own, self.available, self.no_capacity_policy)
    }
}

#[cfg(test)]
mod tests;
