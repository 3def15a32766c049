//! The state of a tenant's migration between cells at one gateway: where new attempts go, which attempts still run in
//! the old cells, and when the migration ends.

use crate::cells::Cells;
use ironstair::Millis;
use std::collections::BTreeMap;

/// How a migration ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationEnd {
    /// The last attempt in the old cells ended.
    Drained,
    /// The longest deadline and the key quarantine have passed, so no attempt can still run in the old cells.
    Expired,
}

/// An event of a tenant's migration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MigrationEvent {
    /// A revision of the assignment arrived.
    Revision {
        /// The revision's number.
        number: u64,
        /// The tenant's cells in that revision.
        cells: Cells,
    },
    /// An attempt of the tenant started at an engine in this cell.
    AttemptStarted(Cells),
    /// An attempt of the tenant at an engine in this cell ended.
    AttemptEnded(Cells),
    /// Time has passed.
    Timer,
}

/// The state of one tenant's migration at one gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantMigration {
    revision: u64,
    cells: Cells,
    /// The cells that the tenant is leaving; empty when no attempt can run there any more.
    old_cells: Cells,
    started_at: Millis,
    /// The number of attempts in flight by cell, with [`Cells`]' bits as the key.
    attempts: BTreeMap<u64, u32>,
}

impl TenantMigration {
    /// The state of a tenant that is not migrating.
    pub fn settled(revision: u64, cells: Cells) -> TenantMigration {
        TenantMigration {
            revision,
            cells,
            ..TenantMigration::default()
        }
    }

    /// The cells in which new attempts start.
    pub fn cells(&self) -> Cells {
        self.cells
    }

    /// The cells in which earlier attempts may still run.
    pub fn old_cells(&self) -> Cells {
        self.old_cells
    }

    /// Whether a migration is in progress.
    pub fn is_migrating(&self) -> bool {
        !self.old_cells.is_empty()
    }

    /// When the caller should next send [`MigrationEvent::Timer`], if a migration is in progress. `max_attempt_time` is
    /// the longest time for which an attempt that started before the migration can run.
    pub fn expires_at(&self, max_attempt_time: Millis) -> Option<Millis> {
        self.is_migrating()
            .then_some(self.started_at + max_attempt_time)
    }

    /// Applies an event. Returns how the migration ended, if the event ended it.
    pub fn on_event(
        &mut self,
        now: Millis,
        max_attempt_time: Millis,
        event: MigrationEvent,
    ) -> Option<MigrationEnd> {
        match event {
            MigrationEvent::Revision { number, cells } => self.on_revision(now, number, cells),
            MigrationEvent::AttemptStarted(cell) => *self.attempts.entry(cell.0).or_default() += 1,
            MigrationEvent::AttemptEnded(cell) => self.on_attempt_ended(cell),
            MigrationEvent::Timer => {}
        }
        self.end_if_over(now, max_attempt_time)
    }

    fn on_revision(&mut self, now: Millis, number: u64, cells: Cells) {
        // Revisions may arrive late, repeatedly and out of order. One that is not newer is obsolete.
        if number <= self.revision {
            return;
        }
        self.revision = number;
        // Old cells of a migration in progress remain old cells, unless the tenant returns to them.
        let old_cells = self.old_cells.union(self.cells).difference(cells);
        if cells != self.cells && !old_cells.is_empty() {
            self.started_at = now;
        }
        self.cells = cells;
        self.old_cells = old_cells;
    }

    fn on_attempt_ended(&mut self, cell: Cells) {
        if let Some(count) = self.attempts.get_mut(&cell.0) {
            *count = count.saturating_sub(1);
        }
        self.attempts.retain(|_, count| *count > 0);
    }

    fn end_if_over(&mut self, now: Millis, max_attempt_time: Millis) -> Option<MigrationEnd> {
        if !self.is_migrating() {
            return None;
        }
        let runs_in_old_cells = |&cell: &u64| self.old_cells.intersects(Cells(cell));
        let end = if !self.attempts.keys().any(runs_in_old_cells) {
            MigrationEnd::Drained
        } else if now >= self.started_at + max_attempt_time {
            MigrationEnd::Expired
        } else {
            return None;
        };
        self.old_cells = Cells::default();
        Some(end)
    }
}

/// Why a migration is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MigrationRefused {
    /// The request names no target cell.
    #[error("no target cell is named, a tenant needs at least one")]
    NoTarget,
    /// No engine of the target cells is ready.
    #[error("no engine of the target cells is ready")]
    NoReadyEngine,
    /// A target cell is degraded, or a release is paused in it.
    #[error("a target cell is degraded, or a release is paused in it")]
    PausedTarget,
}

/// Checks whether a tenant may migrate to the cells `target`. `ready` are the cells with a ready engine, `paused` those
/// that are degraded or in which a release is paused.
///
/// # Errors
/// The reason why the migration is refused.
pub fn may_migrate(target: Cells, ready: Cells, paused: Cells) -> Result<(), MigrationRefused> {
    if target.is_empty() {
        return Err(MigrationRefused::NoTarget);
    }
    if !target.intersects(ready) {
        return Err(MigrationRefused::NoReadyEngine);
    }
    if target.intersects(paused) {
        return Err(MigrationRefused::PausedTarget);
    }
    Ok(())
}
