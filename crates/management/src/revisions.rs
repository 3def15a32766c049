//! Changes of the settings: validates them, records them in the journal and has the dispatcher apply them.

use crate::actor::Manager;
use crate::classes::{cell_directory, classes};
use crate::error::Refused;
use crate::fleet_channel::{FleetRequest, Responder};
use crate::journal::Journal;
use crate::request::Change;
use ironstair::{EndpointState, Millis};
use ironstair_cells::migration::may_migrate;
use ironstair_cells::Cells;
use ironstair_config_change::{
    plan, Action, Command, Document, Input, Level, PersistedState, Record, WriteError,
};
use ironstair_data_tree::{state, Edit};
use ironstair_runtime::clock::duration;
use ironstair_runtime::fnv1a_64;
use ironstair_runtime::state_watch::{ConfigUpdate, ManagementCommand};
use slog::{info, warn};
use std::sync::atomic::Ordering;
use tokio::time::timeout;

/// The time in ms to wait for the dispatcher to apply settings; a warning is logged when it has passed.
const APPLY_TIMEOUT: Millis = 5000.0;

impl Manager {
    /// The settings in force: in a fleet those of the applied policy, otherwise those of the running revision.
    pub(crate) fn running(&self) -> &Document {
        match &self.applied {
            Some(policy) => &policy.document,
            None => self.tracker.running(),
        }
    }

    pub(crate) async fn change(&mut self, change: Change, answer: Responder) {
        if let Err(refused) = self.fleet_channel_for(change.scope) {
            return drop(answer.send(Err(refused)));
        }
        let document = match self.validated_candidate(&change.edits).await {
            Err(violations) => return drop(answer.send(Err(Refused::Invalid(violations)))),
            Ok(document) => document,
        };
        if self.fleet.is_some() {
            return self.propose(change, document, answer);
        }
        let command = Command::Set {
            author: change.author,
            summary: change.summary,
            document,
            confirmation: change.confirmation,
        };
        let _ = answer.send(self.advance(Input::Command(command)).await);
    }

    /// Proposes the change to the fleet.
    fn propose(&self, change: Change, document: Document, answer: Responder) {
        let (Some(fleet), Some(applied)) = (&self.fleet, &self.applied) else {
            let reason = "this gateway has not applied a policy of its fleet yet".into();
            return drop(answer.send(Err(Refused::Fleet(reason))));
        };
        let document = serde_json::to_value(&document).unwrap_or_default();
        fleet.request(answer, |answer| FleetRequest::Change {
            author: change.author,
            summary: change.summary,
            document,
            base_revision: applied.applied_index,
            commit: change
                .confirmation
                .map(|confirmation| (confirmation.id, confirmation.within)),
            answer,
        });
    }

    /// The settings document that would result from the edits. Fails with a sentence for each violation.
    async fn validated_candidate(&mut self, edits: &[Edit]) -> Result<Document, Vec<String>> {
        let document = self.candidate(edits)?;
        if document.cells != self.running().cells {
            // Whether a tenant may migrate depends on the engines that are ready now.
            self.refresh().await;
            self.check_migrations(&document)?;
        }
        Ok(document)
    }

    fn candidate(&self, edits: &[Edit]) -> Result<Document, Vec<String>> {
        let leaves = self
            .schema
            .edit(&self.leaves, edits)
            .map_err(|error| vec![error.to_string()])?;
        let document = self.schema.document(&leaves).map_err(to_strings)?;
        let running = self.running();
        plan(running, &document, &self.registry, &self.origin.name_index).map_err(to_strings)?;
        Ok(document)
    }

    /// Checks that every tenant whose pin is new or has changed may migrate to its new cells.
    fn check_migrations(&self, to: &Document) -> Result<(), Vec<String>> {
        let (Some(cells), Some(directory)) = (&to.cells, cell_directory(to)) else {
            return Ok(());
        };
        let ready = self
            .snapshot
            .engines
            .iter()
            .filter(|(_, engine)| engine.view.state == EndpointState::Ready)
            .map(|(_, engine)| directory.engine_cells(engine.id))
            .collect::<Cells>();
        let running_cells = self.running().cells.as_ref();
        let is_pinned = |pin| running_cells.is_some_and(|cells| cells.tenant_pins.contains(pin));
        let violations: Vec<String> = cells
            .tenant_pins
            .iter()
            .filter(|pin| !is_pinned(pin))
            .filter_map(|pin| {
                let new_cells = directory.tenant_cells(fnv1a_64(pin.name.as_bytes()));
                let reason = may_migrate(new_cells, ready, Cells::default()).err()?;
                let name = &pin.name;
                Some(format!(
                    "/settings/cells/tenant[name={name}]/cell: {reason}"
                ))
            })
            .collect();
        if violations.is_empty() {
            Ok(())
        } else {
            Err(violations)
        }
    }

    /// Passes an input to the tracker, carries out the resulting actions and returns the answer to the command.
    pub(crate) async fn advance(&mut self, input: Input<Document>) -> Result<u64, Refused> {
        let mut inputs = vec![input];
        let mut answer = Ok(self.tracker.running_number());
        while let Some(input) = inputs.pop() {
            for action in self.tracker.handle(self.clock.now(), input) {
                match action {
                    Action::Write(record) => inputs.push(Input::Written(self.write(record).await)),
                    Action::WriteUnacknowledged(record) => {
                        if let Err(error) = self.write(record).await {
                            warn!(self.log, "rollback not recorded in the revision journal"; "error" => %error);
                        }
                    }
                    Action::Apply { number, document } => drop(self.apply(number, document).await),
                    Action::Answer(outcome) => answer = outcome.map_err(Refused::Tracker),
                }
            }
        }
        self.leaves = state::with_revisions(&self.leaves, self.tracker.revisions().iter());
        self.publish();
        answer
    }

    /// Writes a record in a blocking task, so that a slow disk does not block readers of the tree.
    async fn write(&mut self, record: Record<Document>) -> Result<(), WriteError> {
        let Some(mut journal) = self.journal.take() else {
            return Err(WriteError("the revision journal is not open".into()));
        };
        let state = self.state_to_rewrite(&journal);
        let task = tokio::task::spawn_blocking(move || {
            let result = match state {
                Some(state) => journal
                    .rewrite(&state)
                    .and_then(|()| journal.append(&record)),
                None => journal.append(&record),
            };
            (journal, result)
        });
        let (journal, result) = task.await.map_err(|error| WriteError(error.to_string()))?;
        self.journal = Some(journal);
        result.map_err(|error| WriteError(error.to_string()))
    }

    /// The state to rewrite the journal with, if the journal needs a rewrite. `None` while a revision is unconfirmed:
    /// the rewritten journal would not contain that revision, since its deadline has no meaning for another process.
    fn state_to_rewrite(&self, journal: &Journal) -> Option<PersistedState<Document>> {
        let is_pending = self.tracker.pending_confirmation().is_some();
        let needs_rewrite = journal.needs_rewrite() && !is_pending;
        needs_rewrite.then(|| self.tracker.after_restart(self.configured.clone()))
    }

    /// Applies the settings: in the dispatcher, the tree and the log. Returns whether the dispatcher applied them in
    /// time.
    pub(crate) async fn apply(&mut self, number: u64, document: Document) -> bool {
        let settings = match self.schema.settings(&document) {
            Ok(settings) => settings,
            // Not expected, since the document was validated before.
            Err(error) => {
                warn!(self.log, "settings do not fit the tree, not applied"; "error" => %error);
                return false;
            }
        };
        let name_index = &self.origin.name_index;
        if let Ok(plan) = plan(&document, &document, &self.registry, name_index) {
            self.registry = plan.registry;
        }
        let is_applied = self.send_config_update(number, &document).await;
        self.replace_settings(settings);
        // The last snapshot precedes the change, so the next read must request the state again.
        self.refreshed_at = 0.0;
        self.set_log_level();
        info!(self.log, "settings changed"; "revision" => number);
        is_applied
    }

    /// Sends the settings to the dispatcher and waits until it has applied them, at most [`APPLY_TIMEOUT`].
    async fn send_config_update(&self, number: u64, document: &Document) -> bool {
        let policy_config = self.origin.policy_config(document, &self.registry);
        let (classes, max_deadline) = classes(&self.registry, document, &policy_config);
        let (done, applied) = async_channel::bounded(1);
        let update = ConfigUpdate {
            policy_config,
            classes,
            max_deadline,
            cells: Some(cell_directory(document)),
            transport_config: None,
            done,
        };
        let command = ManagementCommand::UpdateConfig(Box::new(update));
        if self.commands.send(command).await.is_err() {
            return false;
        }
        let is_applied = matches!(
            timeout(duration(APPLY_TIMEOUT), applied.recv()).await,
            Ok(Ok(()))
        );
        if !is_applied {
            warn!(self.log, "gateway thread did not apply the settings in time"; "revision" => number);
        }
        is_applied
    }

    pub(crate) fn set_log_level(&self) {
        let level = match self.running().log.level {
            Level::Error => slog::Level::Error,
            Level::Warning => slog::Level::Warning,
            Level::Info => slog::Level::Info,
            Level::Debug => slog::Level::Debug,
        };
        self.level.store(level.as_usize(), Ordering::Relaxed);
    }
}

fn to_strings<T: ToString>(errors: Vec<T>) -> Vec<String> {
    errors.iter().map(T::to_string).collect()
}
