//! The start of management from the configured settings and the persisted revisions.

use crate::classes::{cell_directory, classes};
use crate::error::OpenError;
use crate::journal::Journal;
use ironstair::{Millis, PolicyConfig};
use ironstair_cells::CellDirectory;
use ironstair_config_change::{
    plan, Cells, ClassRegistry, ConfigFile, Document, Origin, PersistedState, RevisionTracker,
    StartOutcome,
};
use ironstair_data_tree::{LeafMap, Schema};
use ironstair_runtime::state_watch::ClassSummary;
use std::path::Path;

/// The initial state of the manager.
pub struct InitialState {
    /// The schema of the tree.
    pub schema: Schema,
    /// The contents of the configuration file that documents refer to.
    pub origin: Origin,
    /// The revisions, and which of them is running.
    pub tracker: RevisionTracker<Document>,
    /// The settings of the configuration file.
    pub configured: Document,
    /// The classes by index.
    pub registry: ClassRegistry,
    /// The leaves of the running settings.
    pub leaves: LeafMap,
    /// The journal of revisions; `None` if they are not persisted.
    pub journal: Option<Journal>,
    /// Messages about the start, for the log.
    pub messages: Vec<String>,
}

/// The running settings with everything derived from them.
struct Running {
    state: PersistedState<Document>,
    registry: ClassRegistry,
    leaves: LeafMap,
}

/// Opens management with the revisions that are persisted in the folder. Without a folder, revisions are lost when the
/// process ends.
///
/// # Errors
/// Fails if the configured settings do not fit the tree, or the folder can't be read.
pub fn open(
    file: ConfigFile,
    cells: Option<Cells>,
    folder: Option<&Path>,
) -> Result<InitialState, OpenError> {
    let schema = Schema::shipped()?;
    let origin = origin(file, cells);
    let mut running = configured(&schema, &origin)?;
    let mut messages = Vec::new();
    let mut journal = None;
    if let Some(folder) = folder {
        running = recover(folder, &schema, &origin, running, &mut messages)?;
        journal = Some(create_journal(folder, &running.state, &mut messages));
    }
    Ok(InitialState {
        schema,
        tracker: RevisionTracker::new(running.state, journal.is_some()),
        configured: origin.document.clone(),
        origin,
        registry: running.registry,
        leaves: running.leaves,
        journal,
        messages,
    })
}

fn origin(file: ConfigFile, cells: Option<Cells>) -> Origin {
    let document = Document::configured(
        &file.policy_config,
        &file.class_names,
        &file.hard_limits,
        &file.name_index,
    );
    Origin {
        policy_config: file.policy_config,
        document: Document { cells, ..document },
        name_index: file.name_index,
    }
}

/// Starts from the configured settings.
fn configured(schema: &Schema, origin: &Origin) -> Result<Running, OpenError> {
    let document = &origin.document;
    // A client must be able to read the running settings and send them back: they have to fit the tree.
    let leaves = schema.settings(document).map_err(OpenError::Tree)?;
    let registry = ClassRegistry::from_document(document);
    plan(document, document, &registry, &origin.name_index).map_err(OpenError::Violations)?;
    Ok(Running {
        state: PersistedState::configured(document.clone()),
        registry,
        leaves,
    })
}

/// Starts from the revision that the journal holds as running, if it fits the configuration file.
fn recover(
    folder: &Path,
    schema: &Schema,
    origin: &Origin,
    configured: Running,
    messages: &mut Vec<String>,
) -> Result<Running, OpenError> {
    let (records, left_out) = Journal::read(folder)?;
    messages.extend(left_out.map(|text| format!("revision journal recovered: {text}")));
    let document = &origin.document;
    let (state, outcome) = PersistedState::replay(records, document.clone());
    let plan = plan(
        document,
        &state.running,
        &configured.registry,
        &origin.name_index,
    );
    let (Ok(plan), Ok(leaves)) = (plan, schema.settings(&state.running)) else {
        messages.push(format!(
            "revision {} does not fit the configured settings any more: those run",
            state.running_number
        ));
        return Ok(Running {
            state: PersistedState {
                next_number: state.next_number,
                ..configured.state
            },
            ..configured
        });
    };
    messages.extend(start_message(&outcome, state.running_number));
    Ok(Running {
        state,
        registry: plan.registry,
        leaves,
    })
}

/// The line that the log shows about the start, if any.
fn start_message(outcome: &StartOutcome, running: u64) -> Option<String> {
    match outcome {
        StartOutcome::EmptyJournal | StartOutcome::Revision(0) => None,
        StartOutcome::Revision(number) => Some(format!("revision {number} runs")),
        StartOutcome::RolledBack(number) => Some(format!(
            "revision {number} was not confirmed and is rolled back; {running} runs"
        )),
        StartOutcome::Reconfigured => {
            Some("the configured settings have changed: they run, earlier revisions do not".into())
        }
    }
}

fn create_journal(
    folder: &Path,
    state: &PersistedState<Document>,
    messages: &mut Vec<String>,
) -> Journal {
    Journal::create(folder, state).unwrap_or_else(|error| {
        messages.push(format!(
            "revisions can't be persisted, changes are refused: {error}"
        ));
        Journal::closed(folder)
    })
}

impl InitialState {
    /// The policy config of the running settings.
    pub fn policy_config(&self) -> PolicyConfig {
        self.origin
            .policy_config(self.tracker.running(), &self.registry)
    }

    /// The cells of the running settings.
    pub fn cells(&self) -> Option<CellDirectory> {
        cell_directory(self.tracker.running())
    }

    /// The classes by index, and the longest hard limit in ms.
    pub fn classes(&self) -> (Vec<ClassSummary>, Millis) {
        classes(
            &self.registry,
            self.tracker.running(),
            &self.policy_config(),
        )
    }
}
