//! What becomes of the settings that run when the file behind them is replaced: one step, there and back.
//!
//! Requests, charges and paces hold on to the index of their class, engines to those of their zone and kind.
//! So whatever had an index keeps it: a class that the file no longer names, or names with other threads, order
//! or repeats, is closed rather than forgotten, and is opened again under its index when a file brings it back.

use crate::document::{Document, Frame};
use crate::plan::{Origin, Roll, Slot, ROLL_MOST};
use ironstair::{Kind, Ms, PolicyConfig};

/// What one file says, decoded.
#[derive(Clone, Debug)]
pub struct File {
    pub policy_config: PolicyConfig,
    /// The classes' names and hard limits, in ms, in their order.
    pub names: Vec<String>,
    pub limits: Vec<Ms>,
    pub frame: Frame,
}

/// The file that runs, under the indices that all files before it gave.
#[derive(Clone)]
pub struct Renewal {
    origin: Origin,
    roll: Roll,
}

impl Renewal {
    /// The first file's order is that of the indices.
    pub fn new(file: File) -> Renewal {
        let File {
            policy_config,
            names,
            limits,
            frame,
        } = file;
        let document = Document::told(&policy_config, &names, &limits, &frame);
        let roll = Roll::of(&document);
        Renewal {
            origin: Origin {
                policy_config,
                document,
                frame,
            },
            roll,
        }
    }

    /// What runs once this file is taken over; none where it says the same as the last.
    ///
    /// # Errors
    /// The sentence names the field; nothing has changed then.
    pub fn renew(&self, file: File) -> Result<Option<Renewal>, String> {
        let was = &self.origin;
        let zones = united(&was.frame.zones, &file.frame.zones);
        let kinds = united(&was.frame.kinds, &file.frame.kinds);
        let frame = Frame { zones, kinds };
        let place = |known: &[String], names: &[String], i: u16| {
            let name = names
                .get(i as usize)
                .ok_or_else(|| format!("index {i} is past the {} told", names.len()));
            name.map(|n| Frame::index(known, n).unwrap_or(u16::MAX))
        };
        let mut policy_config = file.policy_config;
        for (terms, name) in policy_config.classes.iter_mut().zip(&file.names) {
            for (field, at, known, names) in [
                (
                    "dcs_allowed",
                    &mut terms.zones,
                    &frame.zones,
                    &file.frame.zones,
                ),
                (
                    "machine_types_allowed",
                    &mut terms.kinds,
                    &frame.kinds,
                    &file.frame.kinds,
                ),
            ] {
                let moved = at
                    .iter()
                    .flatten()
                    .map(|&i| place(known, names, i))
                    .collect::<Result<_, _>>();
                let moved =
                    moved.map_err(|why| format!("settings: class {name}: {field}: {why}"))?;
                *at = at.is_some().then_some(moved);
            }
        }
        let told = |name: &String| {
            Frame::index(&file.frame.kinds, name).map(|i| policy_config.kinds[i as usize])
        };
        let kept = |i: usize| {
            was.policy_config.kinds.get(i).copied().unwrap_or(Kind {
                cores: 1.0,
                memory_mb: 0.0,
            })
        };
        let all = frame.kinds.iter().enumerate();
        policy_config.kinds = all
            .map(|(i, name)| told(name).unwrap_or_else(|| kept(i)))
            .collect();
        if !policy_config.classes.iter().any(|b| b.in_order) {
            // Those still open in a class that is closed keep their order, and its rest after doubt.
            policy_config.key_quarantine = was.policy_config.key_quarantine;
        }
        let document = Document::told(&policy_config, &file.names, &file.limits, &frame);
        // Before the checks: a file that only moves the list does what it did at the start.
        if policy_config == was.policy_config && document == was.document {
            return Ok(None);
        }
        let faults: Vec<String> = document
            .faults(&frame)
            .iter()
            .map(|f| f.to_string())
            .collect();
        if !faults.is_empty() {
            return Err(faults.join("; "));
        }
        let mut roll = self.roll.clone();
        for slot in document.class.iter().map(Slot::of) {
            if !roll.0.contains(&slot) {
                roll.0.push(slot);
            }
        }
        if roll.0.len() > ROLL_MOST {
            return Err(format!(
                "settings: classes: more than {ROLL_MOST} since the start: it takes a restart"
            ));
        }
        let origin = Origin {
            policy_config,
            document,
            frame,
        };
        Ok(Some(Renewal { origin, roll }))
    }

    /// For the decisions, by the indices kept.
    pub fn policy_config(&self) -> PolicyConfig {
        self.origin.policy_config(&self.origin.document, &self.roll)
    }

    /// All classes by index; which are in service, the policy config says.
    pub fn roll(&self) -> &Roll {
        &self.roll
    }

    /// What the file says of those in service.
    pub fn document(&self) -> &Document {
        &self.origin.document
    }

    /// The names of zones and kinds by index.
    pub fn frame(&self) -> &Frame {
        &self.origin.frame
    }
}

/// What was known in its order, then what is new.
fn united(known: &[String], names: &[String]) -> Vec<String> {
    let mut all = known.to_vec();
    for name in names {
        if Frame::index(&all, name).is_none() {
            all.push(name.clone());
        }
    }
    all
}
