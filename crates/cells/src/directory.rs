//! A gateway's view of the cells: the assignment, the cells with a ready engine, the migrations in progress and the
//! overflow budgets.

use crate::assignment::Assignment;
use crate::cells::Cells;
use crate::migration::{MigrationEvent, TenantMigration};
use crate::overflow::{CellAvailability, NoCapacityPolicy, OverflowBudget, Placement};
use ironstair::Millis;
use std::collections::BTreeMap;

/// The limit on overflow budgets, against tenants without number. When it is reached all budgets start again.
const MAX_BUDGETS: usize = 4096;

/// The directory's migrations end only with their last attempt: the policy ends every attempt at its deadline.
const NO_EXPIRY: Millis = Millis::INFINITY;

/// Routes tenants to cells.
#[derive(Clone, Debug)]
pub struct CellDirectory {
    assignment: Assignment,
    no_capacity_policy: NoCapacityPolicy,
    available: CellAvailability,
    /// Only tenants whose cells have no ready engine have a budget.
    budgets: BTreeMap<u64, OverflowBudget>,
    /// Tenants with attempts in their old cells.
    migrations: BTreeMap<u64, TenantMigration>,
}

impl CellDirectory {
    /// A directory before the first endpoint list.
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

    /// Continues the migrations of the directory that this one replaces, and starts those that follow from the change.
    ///
    /// `attempts` are the attempts in flight, each as its tenant and the cells of its engine when the attempt started.
    /// A tenant without an attempt in its old cells does not migrate.
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
            // Cells that the previous directory was leaving are still left.
            let still_left = previous.migrations.get(&id);
            let still_left = still_left
                .map(TenantMigration::old_cells)
                .unwrap_or_default();
            let history = [still_left, previous.tenant_cells(id), self.tenant_cells(id)];
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

    /// Records that an attempt of the tenant in those cells ended. Returns whether that ended the tenant's migration.
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

    /// Places one request of the tenant.
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
