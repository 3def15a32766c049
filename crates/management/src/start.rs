//! What a start makes of what is told and what was kept.

use crate::file::Journal;
use ironstair::{Ms, PolicyConfig};
use ironstair_cells::CellDirectory;
use ironstair_config_change::journal::{Found, Kept};
use ironstair_config_change::plan::{plan, Origin, Roll};
use ironstair_config_change::revisions::Ledger;
use ironstair_config_change::{Cells, Document, Frame};
use ironstair_data_tree::{Leaves, Schema};
use ironstair_runtime::number;
use ironstair_runtime::window::ClassSummary;
use std::path::Path;

/// All that the manager begins with.
pub struct Started {
    pub schema: Schema,
    pub origin: Origin,
    pub ledger: Ledger<Document>,
    pub told: Document,
    pub roll: Roll,
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
    frame: Frame,
    cells: Option<Cells>,
    folder: Option<&Path>,
) -> Result<Started, String> {
    let schema = Schema::shipped()?;
    let told = Document {
        cells,
        ..Document::told(&policy_config, names, limits, &frame)
    };
    // What is read and set must be able to say what runs.
    let leaves = schema
        .settings(&told)
        .map_err(|m| format!("the settings do not fit the tree: {m}"))?;
    if let Err(faults) = plan(&told, &told, &Roll::of(&told), &frame) {
        let faults: Vec<String> = faults.iter().map(|f| f.to_string()).collect();
        return Err(format!(
            "the settings do not fit the tree: {}",
            faults.join("; ")
        ));
    }
    let origin = Origin {
        policy_config,
        document: told.clone(),
        frame,
    };
    let mut notes = Vec::new();
    let (mut kept, mut roll) = (Kept::told(told.clone()), Roll::of(&told));
    let mut new_leaves = leaves;
    if let Some(folder) = folder {
        let (records, torn) = Journal::read(folder)?;
        notes.extend(torn.map(|t| format!("the journal of revisions is recovered: {t}")));
        let (found, how) = Kept::open(records, told.clone());
        let fits = plan(&told, &found.running, &roll, &origin.frame);
        match (fits, schema.settings(&found.running)) {
            (Ok(p), Ok(leaves)) => {
                match how {
                    Found::Nothing | Found::Revision(0) => {}
                    Found::Revision(n) => notes.push(format!("revision {n} runs")),
                    Found::RolledBack(n) => {
                        notes.push(format!(
                            "revision {n} was not confirmed and is taken back; {} runs",
                            found.number
                        ));
                    }
                    Found::Reconfigured => {
                        notes.push(
                            "the told settings have changed: they run, earlier revisions do not"
                                .into(),
                        );
                    }
                }
                (kept, roll, new_leaves) = (found, p.roll, leaves);
            }
            _ => {
                let n = found.number;
                notes.push(format!(
                    "revision {n} does not fit what is told any more: that runs"
                ));
                kept = Kept {
                    next: found.next,
                    ..kept
                };
            }
        }
    }
    let mut journal = None;
    if let Some(folder) = folder {
        journal = Some(Journal::begin(folder, &kept).unwrap_or_else(|why| {
            notes.push(format!(
                "revisions can't be kept, changes are refused: {why}"
            ));
            Journal::closed(folder)
        }));
    }
    let ledger = Ledger::new(kept, journal.is_some());
    Ok(Started {
        schema,
        origin,
        ledger,
        told,
        roll,
        leaves: new_leaves,
        journal,
        notes,
    })
}

impl Started {
    /// What the decision module begins with.
    pub fn policy_config(&self) -> PolicyConfig {
        self.origin.policy_config(self.ledger.running(), &self.roll)
    }

    pub fn cells(&self) -> Option<CellDirectory> {
        cell_directory(self.ledger.running())
    }

    pub fn classes(&self) -> (Vec<ClassSummary>, Ms) {
        classes(&self.roll, self.ledger.running(), &self.policy_config())
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
    roll: &Roll,
    document: &Document,
    policy_config: &PolicyConfig,
) -> (Vec<ClassSummary>, Ms) {
    let told = roll
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
    (told.collect(), longest)
}
