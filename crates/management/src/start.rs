//! What a start makes of what is told and what was kept.

use crate::journal::Journal;
use ironstair::{Ms, PolicyConfig};
use ironstair_cells::CellDirectory;
use ironstair_config_change::{
    plan, Cells, ClassRegistry, Document, NameIndex, Origin, PersistedState, RevisionTracker,
    StartOutcome,
};
use ironstair_data_tree::{Leaves, Schema};
use ironstair_runtime::number;
use ironstair_runtime::window::ClassSummary;
use std::path::Path;

/// All that the manager begins with.
pub struct Started {
    pub schema: Schema,
    pub origin: Origin,
    pub tracker: RevisionTracker<Document>,
    pub configured: Document,
    pub registry: ClassRegistry,
    pub leaves: Leaves,
    pub journal: Option<Journal>,
    /// Worth a line each in the log.
    pub notes: Vec<String>,
}

/// Reads what the folder keeps, beside what was told; without a folder revisions live as long as the process.
///
/// # Errors
/// What was told does not fit the tree, or the folder can't be read.
pub fn open(
    policy_config: PolicyConfig,
    names: &[String],
    limits: &[Ms],
    name_index: NameIndex,
    cells: Option<Cells>,
    folder: Option<&Path>,
) -> Result<Started, String> {
    let schema = Schema::shipped()?;
    let configured = Document {
        cells,
        ..Document::configured(&policy_config, names, limits, &name_index)
    };
    // What is read and set must be able to say what runs.
    let leaves = schema
        .settings(&configured)
        .map_err(|m| format!("the settings do not fit the tree: {m}"))?;
    if let Err(violations) = plan(
        &configured,
        &configured,
        &ClassRegistry::of(&configured),
        &name_index,
    ) {
        let violations: Vec<String> = violations.iter().map(|f| f.to_string()).collect();
        return Err(format!(
            "the settings do not fit the tree: {}",
            violations.join("; ")
        ));
    }
    let origin = Origin {
        policy_config,
        document: configured.clone(),
        name_index,
    };
    let mut notes = Vec::new();
    let (mut persisted, mut registry) = (
        PersistedState::configured(configured.clone()),
        ClassRegistry::of(&configured),
    );
    let mut new_leaves = leaves;
    if let Some(folder) = folder {
        let (records, torn) = Journal::read(folder)?;
        notes.extend(torn.map(|t| format!("the journal of revisions is recovered: {t}")));
        let (found, how) = PersistedState::open(records, configured.clone());
        let fits = plan(&configured, &found.running, &registry, &origin.name_index);
        match (fits, schema.settings(&found.running)) {
            (Ok(p), Ok(leaves)) => {
                match how {
                    StartOutcome::Nothing | StartOutcome::Revision(0) => {}
                    StartOutcome::Revision(n) => notes.push(format!("revision {n} runs")),
                    StartOutcome::RolledBack(n) => {
                        notes.push(format!(
                            "revision {n} was not confirmed and is taken back; {} runs",
                            found.number
                        ));
                    }
                    StartOutcome::Reconfigured => {
                        notes.push(
                            "the told settings have changed: they run, earlier revisions do not"
                                .into(),
                        );
                    }
                }
                (persisted, registry, new_leaves) = (found, p.registry, leaves);
            }
            _ => {
                let n = found.number;
                notes.push(format!(
                    "revision {n} does not fit what is told any more: that runs"
                ));
                persisted = PersistedState {
                    next: found.next,
                    ..persisted
                };
            }
        }
    }
    let mut journal = None;
    if let Some(folder) = folder {
        journal = Some(Journal::begin(folder, &persisted).unwrap_or_else(|why| {
            notes.push(format!(
                "revisions can't be kept, changes are refused: {why}"
            ));
            Journal::closed(folder)
        }));
    }
    let tracker = RevisionTracker::new(persisted, journal.is_some());
    Ok(Started {
        schema,
        origin,
        tracker,
        configured,
        registry,
        leaves: new_leaves,
        journal,
        notes,
    })
}

impl Started {
    /// What the decision module begins with.
    pub fn policy_config(&self) -> PolicyConfig {
        self.origin
            .policy_config(self.tracker.running(), &self.registry)
    }

    pub fn cells(&self) -> Option<CellDirectory> {
        cell_directory(self.tracker.running())
    }

    pub fn classes(&self) -> (Vec<ClassSummary>, Ms) {
        classes(
            &self.registry,
            self.tracker.running(),
            &self.policy_config(),
        )
    }
}

/// What is kept of a document's cells; one that was let through can be kept.
pub fn cell_directory(document: &Document) -> Option<CellDirectory> {
    document
        .cells
        .as_ref()
        .and_then(|c| c.cell_directory(number).ok())
}

/// The classes by index, and the longest hard limit.
pub fn classes(
    registry: &ClassRegistry,
    document: &Document,
    policy_config: &PolicyConfig,
) -> (Vec<ClassSummary>, Ms) {
    let configured = registry
        .0
        .iter()
        .zip(&policy_config.classes)
        .map(|(slot, terms)| ClassSummary {
            name: slot.name.clone(),
            expected: terms.expected,
            in_service: !terms.closed,
        });
    let longest = document
        .class
        .iter()
        .map(|b| b.hard_limit as f64)
        .fold(1.0, f64::max);
    (configured.collect(), longest)
}
