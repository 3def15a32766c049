//! The effects of a change of the settings. The change is checked as a whole, so that the dispatcher can apply the new
//! policy config completely, between two events, or not at all.

mod fields;

use crate::document::{class_path, violation, Class, Document, NameIndex, Violation};
use crate::registry::{ClassRegistry, ClassSlot, MAX_CLASSES};
use fields::{cells_text, CLASS_FIELDS, DOCUMENT_FIELDS, FIXED_FIELDS};
use std::collections::BTreeMap;

/// The value of a class in the list of changes when it is added or removed.
const IN_SERVICE: &str = "in service";

/// When a changed field takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    /// For all requests, including those accepted before.
    Immediately,
    /// Only for requests accepted from then on.
    ForNewRequests,
    /// New requests are rejected at once; the change is complete when no request is open any more.
    AfterOpenRequests,
}

/// One field that changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// The path of the node in the settings tree.
    pub path: String,
    /// The old value; `None` if there was none.
    pub from: Option<String>,
    /// The new value; `None` if there is none.
    pub to: Option<String>,
    /// When the new value takes effect.
    pub takes_effect: TakesEffect,
}

/// The effects of a valid change.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The fields that differ.
    pub changes: Vec<FieldChange>,
    /// The classes by index after the change.
    pub registry: ClassRegistry,
}

/// Plans the change from the running document to the proposed one.
///
/// # Errors
/// Fails with all violations of the proposed document, and with all changes that are not possible in service.
pub fn plan(
    from: &Document,
    to: &Document,
    registry: &ClassRegistry,
    name_index: &NameIndex,
) -> Result<Plan, Vec<Violation>> {
    let mut violations = to.violations(name_index);
    let mut registry = registry.clone();
    for class in &to.classes {
        violations.extend(register(class, &mut registry));
    }
    if !violations.is_empty() {
        return Err(violations);
    }
    let mut changes = class_changes(from, to);
    changes.extend(document_changes(from, to));
    Ok(Plan { changes, registry })
}

/// Finds the class in the registry or adds it. Returns a violation for each fixed field that differs.
fn register(class: &Class, registry: &mut ClassRegistry) -> Vec<Violation> {
    let slot = ClassSlot::from_class(class);
    if let Some(index) = registry.find(&class.name) {
        let before = &registry.0[index];
        return FIXED_FIELDS
            .iter()
            .filter(|(_, is_same)| !is_same(before, &slot))
            .map(|(field, _)| {
                let reason =
                    "cannot change in service: remove the band and add it under another name";
                violation(class_path(&class.name, field), reason)
            })
            .collect();
    }
    if registry.0.len() >= MAX_CLASSES {
        let reason = format!(
            "the gateway has had {MAX_CLASSES} bands since its start, the limit: restart it to add more"
        );
        return vec![violation(class_path(&class.name, "name"), reason)];
    }
    registry.0.push(slot);
    Vec::new()
}

fn class_changes(from: &Document, to: &Document) -> Vec<FieldChange> {
    let before: BTreeMap<&str, &Class> = from
        .classes
        .iter()
        .map(|class| (class.name.as_str(), class))
        .collect();
    let mut changes = Vec::new();
    for class in &to.classes {
        let Some(old_class) = before.get(class.name.as_str()) else {
            changes.push(FieldChange {
                path: class_node(&class.name),
                from: None,
                to: Some(IN_SERVICE.into()),
                takes_effect: TakesEffect::Immediately,
            });
            continue;
        };
        for (field, takes_effect, text) in CLASS_FIELDS {
            changes.extend(field_change(
                class_path(&class.name, field),
                Some(text(old_class)),
                Some(text(class)),
                takes_effect,
            ));
        }
    }
    let is_removed = |name: &&&str| !to.classes.iter().any(|class| class.name == **name);
    changes.extend(before.keys().filter(is_removed).map(|name| FieldChange {
        path: class_node(name),
        from: Some(IN_SERVICE.into()),
        to: None,
        takes_effect: TakesEffect::AfterOpenRequests,
    }));
    changes
}

fn document_changes(from: &Document, to: &Document) -> Vec<FieldChange> {
    let mut changes = Vec::new();
    for (field, text) in DOCUMENT_FIELDS {
        changes.extend(field_change(
            format!("/settings/{field}"),
            text(from),
            text(to),
            TakesEffect::Immediately,
        ));
    }
    // The cells are compared as a whole, since the assignment of a tenant depends on all of them.
    changes.extend(field_change(
        "/settings/cells".into(),
        from.cells.as_ref().map(cells_text),
        to.cells.as_ref().map(cells_text),
        TakesEffect::Immediately,
    ));
    changes.extend(field_change(
        "/settings/log/level".into(),
        Some(from.log.level.as_str().into()),
        Some(to.log.level.as_str().into()),
        TakesEffect::Immediately,
    ));
    changes
}

fn field_change(
    path: String,
    from: Option<String>,
    to: Option<String>,
    takes_effect: TakesEffect,
) -> Option<FieldChange> {
    (from != to).then_some(FieldChange {
        path,
        from,
        to,
        takes_effect,
    })
}

fn class_node(name: &str) -> String {
    format!("/settings/band[name={name}]")
}
