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
    /// The configured policy config and document, from which the policy config of every document is derived.
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
struct RunningState {
    state: PersistedState<Document>,
    registry: ClassRegistry,
    leaves: LeafMap,
}

/// Determines the initial state from the configuration file and the revisions that are persisted in the folder, and
/// rewrites the journal there. Without a folder, revisions are lost when the process ends.
///
/// # Errors
/// Fails if the configured settings are invalid, or the journal can't be read.
pub fn open(
    file: ConfigFile,
    cells: Option<Cells>,
    folder: Option<&Path>,
) -> Result<InitialState, OpenError> {
    let schema = Schema::shipped()?;
    let origin = origin(file, cells);
    let mut running = configured_state(&schema, &origin)?;
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

/// The state if the configured settings are in force.
fn configured_state(schema: &Schema, origin: &Origin) -> Result<RunningState, OpenError> {
    let document = &origin.document;
    // A client must be able to read the running settings and send them back: they have to fit the tree.
    let leaves = schema.settings(document).map_err(OpenError::Tree)?;
    let registry = ClassRegistry::from_document(document);
    plan(document, document, &registry, &origin.name_index).map_err(OpenError::Violations)?;
    Ok(RunningState {
        state: PersistedState::configured(document.clone()),
        registry,
        leaves,
    })
}

/// The state that results from the journal. If its running revision does not fit the configuration file, the configured
/// settings are in force.
fn recover(
    folder: &Path,
    schema: &Schema,
    origin: &Origin,
    configured: RunningState,
    messages: &mut Vec<String>,
) -> Result<RunningState, OpenError> {
    let (records, ignored) = Journal::read(folder)?;
    messages.extend(ignored.map(|text| format!("revision journal is damaged: {text}")));
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
            "revision {} does not fit the configuration file any more: the configured settings are in force",
            state.running_number
        ));
        return Ok(RunningState {
            state: PersistedState {
                next_number: state.next_number,
                ..configured.state
            },
            ..configured
        });
    };
    messages.extend(start_message(&outcome, state.running_number));
    Ok(RunningState {
        state,
        registry: plan.registry,
        leaves,
    })
}

/// The message for the log about the outcome of the start, if it needs one.
fn start_message(outcome: &StartOutcome, running: u64) -> Option<String> {
    match outcome {
        StartOutcome::EmptyJournal | StartOutcome::Revision(0) => None,
        StartOutcome::Revision(number) => Some(format!("revision {number} is in force")),
        StartOutcome::RolledBack(number) => Some(format!(
            "revision {number} was not confirmed and is rolled back; revision {running} is in force"
        )),
        StartOutcome::Reconfigured => Some(
            "the configuration file has changed: its settings replace those of earlier revisions"
                .into(),
        ),
    }
}

fn create_journal(
    folder: &Path,
    state: &PersistedState<Document>,
    messages: &mut Vec<String>,
) -> Journal {
    Journal::create(folder, state).unwrap_or_else(|error| {
        messages.push(format!(
            "the revision journal can't be written, changes are refused until it can: {error}"
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
