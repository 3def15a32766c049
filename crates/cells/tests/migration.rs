//! Tenant migrations. A model checker explores the orders of consecutive migrations, a return to the first cell,
//! gateway crashes, late and duplicate revisions, drained cells, and gateways that lag behind.

use ironstair_cells::migration::{may_migrate, MigrationEnd, MigrationEvent, TenantMigration};
use ironstair_cells::Cells;
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

const A: Cells = Cells(1);
const B: Cells = Cells(2);
const C: Cells = Cells(4);
/// The tenant's cells in each revision: at first A, then B, C, and A again.
const REVISIONS: [Cells; 4] = [A, B, C, A];
/// The longest time in ticks for which an attempt runs.
const MAX_ATTEMPT_TICKS: u32 = 2;
const MAX_TICKS: u32 = 5;
const MAX_ATTEMPTS: u32 = 4;

#[derive(Clone, Debug, PartialEq)]
struct Gateway {
    migration: TenantMigration,
    /// The newest revision that the gateway received.
    known_revision: usize,
    attempts: Vec<RunningAttempt>,
}

#[derive(Clone, Debug, PartialEq)]
struct RunningAttempt {
    cells: Cells,
    started_at: u32,
}

#[derive(Clone, Debug, PartialEq)]
struct World {
    gateways: Vec<Gateway>,
    newest_revision: usize,
    now: u32,
    attempts_left: u32,
    crashes_left: u32,
    violation: Option<&'static str>,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        format!("{self:?}").hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    CreateRevision,
    /// Revisions reach a gateway in any order, and more than once.
    ReceiveRevision {
        gateway: usize,
        revision: usize,
    },
    StartAttempt {
        gateway: usize,
    },
    EndAttempt {
        gateway: usize,
        attempt: usize,
    },
    /// All attempts in this cell end, at every gateway.
    Drain(Cells),
    Tick,
    Crash {
        gateway: usize,
    },
}

struct MigrationModel;

impl World {
    fn apply(&mut self, gateway: usize, event: MigrationEvent) {
        let now = f64::from(self.now);
        let gateway = &mut self.gateways[gateway];
        let migration = &mut gateway.migration;
        let before = migration.old_cells().union(migration.cells());
        let end = migration.on_event(now, f64::from(MAX_ATTEMPT_TICKS), event);
        let left_cells = before.difference(migration.cells());
        let runs_in_left_cell = |attempt: &RunningAttempt| left_cells.intersects(attempt.cells);
        if end == Some(MigrationEnd::Drained) && gateway.attempts.iter().any(runs_in_left_cell) {
            self.violation = Some("migration ended as drained while an attempt ran in an old cell");
        }
    }

    fn start_attempt(&mut self, gateway: usize) {
        self.attempts_left -= 1;
        let started_at = self.now;
        let sender = &mut self.gateways[gateway];
        let cells = sender.migration.cells();
        if cells != REVISIONS[sender.known_revision] {
            self.violation = Some("attempt started outside the cells of the newest known revision");
        }
        sender.attempts.push(RunningAttempt { cells, started_at });
        self.apply(gateway, MigrationEvent::AttemptStarted(cells));
    }

    fn end_attempt(&mut self, gateway: usize, attempt: usize) {
        let ended = self.gateways[gateway].attempts.remove(attempt);
        self.apply(gateway, MigrationEvent::AttemptEnded(ended.cells));
    }

    fn end_attempts_where(&mut self, gateway: usize, is_ending: impl Fn(&RunningAttempt) -> bool) {
        while let Some(attempt) = self.gateways[gateway].attempts.iter().position(&is_ending) {
            self.end_attempt(gateway, attempt);
        }
    }

    fn tick(&mut self) {
        self.now += 1;
        let now = self.now;
        for gateway in 0..self.gateways.len() {
            // The policy ends each attempt at its deadline.
            self.end_attempts_where(gateway, |attempt| {
                now - attempt.started_at >= MAX_ATTEMPT_TICKS
            });
            self.apply(gateway, MigrationEvent::Timer);
        }
    }

    fn crash(&mut self, gateway: usize) {
        self.crashes_left -= 1;
        let known_revision = self.gateways[gateway].known_revision;
        self.gateways[gateway] = Gateway {
            migration: TenantMigration::settled(known_revision as u64, REVISIONS[known_revision]),
            known_revision,
            attempts: Vec::new(),
        };
    }
}

impl Model for MigrationModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let gateway = Gateway {
            migration: TenantMigration::settled(0, A),
            known_revision: 0,
            attempts: Vec::new(),
        };
        vec![World {
            gateways: vec![gateway; 2],
            newest_revision: 0,
            now: 0,
            attempts_left: MAX_ATTEMPTS,
            crashes_left: 1,
            violation: None,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.newest_revision + 1 < REVISIONS.len() {
            steps.push(Step::CreateRevision);
        }
        for (gateway, state) in world.gateways.iter().enumerate() {
            let revisions = 1..=world.newest_revision;
            steps.extend(revisions.map(|revision| Step::ReceiveRevision { gateway, revision }));
            if world.attempts_left > 0 {
                steps.push(Step::StartAttempt { gateway });
            }
            let attempts = 0..state.attempts.len();
            steps.extend(attempts.map(|attempt| Step::EndAttempt { gateway, attempt }));
            if world.crashes_left > 0 {
                steps.push(Step::Crash { gateway });
            }
        }
        if world
            .gateways
            .iter()
            .any(|state| !state.attempts.is_empty())
        {
            steps.push(Step::Drain(A));
        }
        if world.now < MAX_TICKS {
            steps.push(Step::Tick);
        }
    }

    fn next_state(&self, previous: &World, step: Step) -> Option<World> {
        let mut world = previous.clone();
        match step {
            Step::CreateRevision => world.newest_revision += 1,
            Step::ReceiveRevision { gateway, revision } => {
                let known = &mut world.gateways[gateway].known_revision;
                *known = (*known).max(revision);
                let event = MigrationEvent::Revision {
                    number: revision as u64,
                    cells: REVISIONS[revision],
                };
                world.apply(gateway, event);
            }
            Step::StartAttempt { gateway } => world.start_attempt(gateway),
            Step::EndAttempt { gateway, attempt } => world.end_attempt(gateway, attempt),
            Step::Drain(cell) => {
                for gateway in 0..world.gateways.len() {
                    world.end_attempts_where(gateway, |attempt| attempt.cells == cell);
                }
            }
            Step::Tick => world.tick(),
            Step::Crash { gateway } => world.crash(gateway),
        }
        (world != *previous).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "attempts start in the newest known cells, and none is left in drained cells",
                |_, world: &World| world.violation.is_none(),
            ),
            Property::always(
                "attempts run only in the tenant's current or old cells",
                |_, world: &World| {
                    world
                        .gateways
                        .iter()
                        .all(Gateway::attempts_run_in_known_cells)
                },
            ),
            Property::always(
                "a migrating tenant has an attempt in its old cells",
                |_, world: &World| {
                    let is_justified = |gateway: &Gateway| {
                        !gateway.migration.is_migrating() || gateway.runs_in_old_cells()
                    };
                    world.gateways.iter().all(is_justified)
                },
            ),
            Property::always(
                "no migration lasts longer than the longest attempt",
                |_, world: &World| {
                    let is_overdue = |gateway: &Gateway| {
                        let expires_at = gateway.migration.expires_at(f64::from(MAX_ATTEMPT_TICKS));
                        expires_at.is_some_and(|expires_at| expires_at <= f64::from(world.now))
                    };
                    !world.gateways.iter().any(is_overdue)
                },
            ),
            Property::sometimes(
                "a second migration starts during the first",
                |_, world: &World| {
                    let has_two_old_cells =
                        |gateway: &Gateway| gateway.migration.old_cells().count() == 2;
                    world.gateways.iter().any(has_two_old_cells)
                },
            ),
            Property::sometimes(
                "gateways know different revisions while a migration is in progress",
                |_, world: &World| {
                    world.gateways[0].known_revision != world.gateways[1].known_revision
                        && world
                            .gateways
                            .iter()
                            .any(|gateway| gateway.migration.is_migrating())
                },
            ),
        ]
    }
}

impl Gateway {
    fn attempts_run_in_known_cells(&self) -> bool {
        let known = self.migration.cells().union(self.migration.old_cells());
        let mut attempts = self.attempts.iter();
        attempts.all(|attempt| known.intersects(attempt.cells))
    }

    fn runs_in_old_cells(&self) -> bool {
        let old_cells = self.migration.old_cells();
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| old_cells.intersects(attempt.cells))
    }
}

/// The longest time for which an attempt runs, in the tests that do not use the model.
const MAX_ATTEMPT_TIME: f64 = 9.0;

fn revision(number: u64, cells: Cells) -> MigrationEvent {
    MigrationEvent::Revision { number, cells }
}

#[test]
fn migrations_end_and_no_attempt_runs_outside_old_and_new_cells_in_every_order() {
    let checked = MigrationModel
        .checker()
        .threads(4)
        .target_state_count(400_000)
        .spawn_bfs()
        .join();
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 50_000,
        "only {} states were explored",
        checked.unique_state_count()
    );
}

#[test]
fn tenant_that_returns_during_a_migration_leaves_only_the_other_cells() {
    let mut tenant = TenantMigration::settled(0, A);
    let mut apply = |now: f64, event| {
        let end = tenant.on_event(now, MAX_ATTEMPT_TIME, event);
        (end, tenant.clone())
    };
    apply(0.0, MigrationEvent::AttemptStarted(A));
    assert_eq!(apply(1.0, revision(1, B)).0, None);
    let (_, migrating) = apply(1.0, MigrationEvent::AttemptStarted(B));
    assert_eq!((migrating.cells(), migrating.old_cells()), (B, A));
    let (_, returning) = apply(2.0, revision(2, A));
    assert_eq!(
        (
            returning.cells(),
            returning.old_cells(),
            returning.expires_at(MAX_ATTEMPT_TIME)
        ),
        (A, B, Some(11.0))
    );
    assert_eq!(
        apply(3.0, revision(1, C)).0,
        None,
        "an older revision is obsolete"
    );
    assert_eq!(apply(4.0, MigrationEvent::AttemptEnded(A)).0, None);
    let (end, settled) = apply(5.0, MigrationEvent::AttemptEnded(B));
    assert_eq!(end, Some(MigrationEnd::Drained));
    assert!(!settled.is_migrating());
}

#[test]
fn migration_with_a_lost_outcome_expires() {
    let mut tenant = TenantMigration::settled(0, A);
    let mut apply = |now: f64, event| tenant.on_event(now, MAX_ATTEMPT_TIME, event);
    apply(0.0, MigrationEvent::AttemptStarted(A));
    apply(1.0, revision(1, B));
    assert_eq!(apply(9.9, MigrationEvent::Timer), None);
    assert_eq!(
        apply(10.0, MigrationEvent::Timer),
        Some(MigrationEnd::Expired)
    );
}

#[test]
fn migration_to_cells_without_ready_engine_or_with_paused_release_is_refused() {
    let none = Cells::default();
    assert!(may_migrate(B, A.union(B), none).is_ok());
    assert!(
        may_migrate(B.union(C), C, none).is_ok(),
        "one ready cell is enough"
    );
    for (target, ready, paused) in [(none, A, C), (B, A, none), (B, A.union(B), B)] {
        assert!(may_migrate(target, ready, paused).is_err());
    }
}
