//! What a change of the settings does, and when. It is checked whole; then the policy config that it makes is taken
//! over whole, between two events of the decision module, or none of it is.

use crate::document::{
    class_path, violation, Class, DeduplicationScope, Document, NameIndex, RepeatSafety, Violation,
};
use ironstair::{ClassPolicy, Effect, Ms, PolicyConfig, RetryBudget, Within};
use std::collections::BTreeMap;

/// Classes that may ever have been in a gateway's life: their indices are never used again, since requests,
/// charges and paces hold on to them.
pub const MAX_CLASSES: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    Immediately,
    /// Only for requests taken from then on.
    ForNewRequests,
    /// New ones are rejected at once; it is over when those open are.
    AfterOpenRequests,
}

/// One field that changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    pub path: String,
    pub from: Option<String>,
    pub to: Option<String>,
    pub takes_effect: TakesEffect,
}

/// What of a class is fixed for the gateway's life; its place is the class's index.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSlot {
    pub name: String,
    pub repeat: RepeatSafety,
    pub within: DeduplicationScope,
    pub in_order: bool,
    pub threads: u16,
}

impl ClassSlot {
    pub(crate) fn of(b: &Class) -> ClassSlot {
        ClassSlot {
            name: b.name.clone(),
            repeat: b.repeat,
            within: b.within,
            in_order: b.in_order,
            threads: b.threads,
        }
    }
}

/// Every class that ever was, in the order of their indices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassRegistry(pub Vec<ClassSlot>);

/// A change that may be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub changes: Vec<FieldChange>,
    pub registry: ClassRegistry,
}

type Shown = fn(&Class) -> String;

/// The fields of a class that may change, and when each takes effect. What tightens a rule binds at once even for
/// those taken before: the decision module holds each to the stricter of its own terms and the new ones.
const CLASS_FIELDS: [(&str, TakesEffect, Shown); 7] = [
    ("expected", TakesEffect::ForNewRequests, |b| {
        b.expected.to_string()
    }),
    ("expected-stretch", TakesEffect::ForNewRequests, |b| {
        b.expected_stretch.to_string()
    }),
    ("hard-limit", TakesEffect::ForNewRequests, |b| {
        b.hard_limit.to_string()
    }),
    ("payoff", TakesEffect::Immediately, |b| b.value.to_string()),
    ("window", TakesEffect::Immediately, |b| {
        b.window.map_or(String::new(), |w| w.to_string())
    }),
    ("zone", TakesEffect::Immediately, |b| b.zone.join(" ")),
    ("kind", TakesEffect::Immediately, |b| b.kind.join(" ")),
];

type PersistedState = fn(&ClassSlot) -> String;

/// Those that may not: what was promised of a request's repeats, order and size rests on them.
const FIXED: [(&str, PersistedState); 4] = [
    ("repeat", |s| format!("{:?}", s.repeat)),
    ("within", |s| format!("{:?}", s.within)),
    ("in-order", |s| s.in_order.to_string()),
    ("threads", |s| s.threads.to_string()),
];

type DocumentText = fn(&Document) -> Option<String>;

/// The fields beside the classes; all of them at once but for the most attempts, of which fewer bind at once.
const REST: [(&str, TakesEffect, DocumentText); 10] = [
    ("gateways", TakesEffect::Immediately, |d| {
        Some(d.gateways.to_string())
    }),
    ("forwards-most", TakesEffect::Immediately, |d| {
        Some(d.max_attempts.to_string())
    }),
    ("advice", TakesEffect::Immediately, |d| {
        Some(d.advice.to_string())
    }),
    ("ration/spare", TakesEffect::Immediately, |d| {
        d.retry_budget.map(|r| r.spare.to_string())
    }),
    ("ration/share", TakesEffect::Immediately, |d| {
        d.retry_budget.map(|r| r.share.to_string())
    }),
    ("ration/span", TakesEffect::Immediately, |d| {
        d.retry_budget.map(|r| r.span.to_string())
    }),
    ("cold/from", TakesEffect::Immediately, |d| {
        Some(d.slow_start.from.to_string())
    }),
    ("cold/warm-after", TakesEffect::Immediately, |d| {
        Some(d.slow_start.slow_start_duration.to_string())
    }),
    ("cold/multiple", TakesEffect::Immediately, |d| {
        Some(d.slow_start.multiple.to_string())
    }),
    ("cold/span", TakesEffect::Immediately, |d| {
        Some(d.slow_start.span.to_string())
    }),
];

impl ClassRegistry {
    pub fn of(document: &Document) -> ClassRegistry {
        ClassRegistry(document.class.iter().map(ClassSlot::of).collect())
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|s| s.name == name)
    }
}

/// The plan from what runs to what is wanted, or all that stands against it.
pub fn plan(
    from: &Document,
    to: &Document,
    registry: &ClassRegistry,
    name_index: &NameIndex,
) -> Result<Plan, Vec<Violation>> {
    let mut violations = to.violations(name_index);
    let (mut changes, mut registry) = (Vec::new(), registry.clone());
    let was: BTreeMap<&str, &Class> = from.class.iter().map(|b| (b.name.as_str(), b)).collect();
    let step =
        |path: String, from: Option<String>, to: Option<String>, takes_effect: TakesEffect| {
            (from != to).then_some(FieldChange {
                path,
                from,
                to,
                takes_effect,
            })
        };
    for class in &to.class {
        let name = class.name.as_str();
        match registry.find(name) {
            Some(i) => {
                let (old, new) = (&registry.0[i], ClassSlot::of(class));
                for (field, show) in FIXED {
                    if show(old) != show(&new) {
                        let reason =
                            "cannot change in service: take the band out and use another name";
                        violations.push(violation(class_path(name, field), reason));
                    }
                }
            }
            None if registry.0.len() >= MAX_CLASSES => {
                let reason =
                    format!("more than {MAX_CLASSES} bands since the start: it takes a restart");
                violations.push(violation(class_path(name, "name"), reason));
            }
            None => registry.0.push(ClassSlot::of(class)),
        }
        match was.get(name) {
            Some(old) => {
                for (field, takes_effect, show) in CLASS_FIELDS {
                    changes.extend(step(
                        class_path(name, field),
                        Some(show(old)),
                        Some(show(class)),
                        takes_effect,
                    ));
                }
            }
            None => {
                let path = format!("/settings/band[name={name}]");
                changes.extend(step(
                    path,
                    None,
                    Some("in service".into()),
                    TakesEffect::Immediately,
                ));
            }
        }
    }
    for name in was
        .keys()
        .filter(|n| !to.class.iter().any(|b| b.name == **n))
    {
        let path = format!("/settings/band[name={name}]");
        changes.extend(step(
            path,
            Some("in service".into()),
            None,
            TakesEffect::AfterOpenRequests,
        ));
    }
    for (field, takes_effect, show) in REST {
        changes.extend(step(
            format!("/settings/{field}"),
            show(from),
            show(to),
            takes_effect,
        ));
    }
    // As a whole: a tenant's cells follow from all of it.
    let cells = |d: &Document| d.cells.as_ref().map(|c| format!("{c:?}"));
    changes.extend(step(
        "/settings/cells".into(),
        cells(from),
        cells(to),
        TakesEffect::Immediately,
    ));
    let level = |d: &Document| Some(format!("{:?}", d.log.level).to_lowercase());
    changes.extend(step(
        "/settings/log/level".into(),
        level(from),
        level(to),
        TakesEffect::Immediately,
    ));
    if violations.is_empty() {
        Ok(Plan { changes, registry })
    } else {
        Err(violations)
    }
}

/// What the gateway was told and the document made of that; every policy config is made from both, so that what was
/// not changed keeps its figure to the last digit, also after a change was rolled back.
#[derive(Clone)]
pub struct Origin {
    pub policy_config: PolicyConfig,
    pub document: Document,
    pub name_index: NameIndex,
}

impl Origin {
    /// The policy config of a document that `plan` let through, in the order of the roll.
    pub fn policy_config(&self, to: &Document, registry: &ClassRegistry) -> PolicyConfig {
        let (m, was) = (&self.policy_config, &self.document);
        let changed = |at: bool, new: f64, old: f64| if at { new } else { old };
        let retry_budget = match (to.retry_budget, was.retry_budget == to.retry_budget) {
            (_, true) => m.retry_budget,
            (None, _) => None,
            (Some(r), _) => Some(RetryBudget {
                spare: r.spare as f64,
                share: r.share.get(),
                span: r.span as f64,
            }),
        };
        let (slow_start, old) = (&to.slow_start, &was.slow_start);
        PolicyConfig {
            gateways: changed(to.gateways != was.gateways, to.gateways as f64, m.gateways),
            classes: registry.0.iter().map(|slot| self.terms(slot, to)).collect(),
            max_retry_after: changed(to.advice != was.advice, to.advice as f64, m.max_retry_after),
            max_attempts: to.max_attempts,
            slow_start_from: changed(
                slow_start.from != old.from,
                slow_start.from.get(),
                m.slow_start_from,
            ),
            slow_start_duration: changed(
                slow_start.slow_start_duration != old.slow_start_duration,
                slow_start.slow_start_duration as f64,
                m.slow_start_duration,
            ),
            fall_multiple: changed(
                slow_start.multiple != old.multiple,
                slow_start.multiple.get(),
                m.fall_multiple,
            ),
            fall_span: changed(
                slow_start.span != old.span,
                slow_start.span as f64,
                m.fall_span,
            ),
            retry_budget,
            ..m.clone()
        }
    }

    fn terms(&self, slot: &ClassSlot, to: &Document) -> ClassPolicy {
        let configured = self
            .document
            .class
            .iter()
            .position(|b| ClassSlot::of(b) == *slot);
        let configured =
            configured.map(|i| (&self.policy_config.classes[i], &self.document.class[i]));
        let Some(class) = to.class.iter().find(|b| ClassSlot::of(b) == *slot) else {
            // Out of service. What it was matters no more to new ones; open ones go by their own terms.
            let was = configured.map(|t| t.0.clone()).unwrap_or_default();
            return ClassPolicy {
                closed: true,
                threads: slot.threads as f64,
                repeat: repeat(slot),
                window: Ms::INFINITY,
                zones: None,
                kinds: None,
                expected: was.expected.max(1.0),
                value: if was.value > 0.0 { was.value } else { 1.0 },
                in_order: slot.in_order,
                ..was
            };
        };
        let indices = |names: &[String], known: &[String]| {
            let found = names
                .iter()
                .filter_map(|n| NameIndex::index(known, n))
                .collect();
            (!names.is_empty()).then_some(found)
        };
        let mut terms = ClassPolicy {
            expected: class.expected as f64,
            expected_stretch: class.expected_stretch.get(),
            value: class.value.get(),
            threads: slot.threads as f64,
            repeat: repeat(slot),
            window: class.window.unwrap_or(0) as f64,
            in_order: slot.in_order,
            zones: indices(&class.zone, &self.name_index.zones),
            kinds: indices(&class.kind, &self.name_index.kinds),
            holds: false,
            closed: false,
        };
        if let Some((configured, was)) = configured {
            terms.holds = configured.holds;
            let keep = |same: bool, new: &mut f64, old: f64| {
                if same {
                    *new = old;
                }
            };
            keep(
                was.expected == class.expected,
                &mut terms.expected,
                configured.expected,
            );
            keep(
                was.expected_stretch == class.expected_stretch,
                &mut terms.expected_stretch,
                configured.expected_stretch,
            );
            keep(was.value == class.value, &mut terms.value, configured.value);
            keep(
                was.window == class.window,
                &mut terms.window,
                configured.window,
            );
            if was.zone == class.zone {
                terms.zones = configured.zones.clone();
            }
            if was.kind == class.kind {
                terms.kinds = configured.kinds.clone();
            }
        }
        terms
    }
}

fn repeat(slot: &ClassSlot) -> Effect {
    match (slot.repeat, slot.within) {
        (RepeatSafety::Repeatable, _) => Effect::Idempotent,
        (RepeatSafety::OnceOnly, _) => Effect::NonIdempotent,
        (RepeatSafety::Tagged, DeduplicationScope::All) => Effect::Deduplicated(Within::All),
        (RepeatSafety::Tagged, DeduplicationScope::Zone) => Effect::Deduplicated(Within::Zone),
        (RepeatSafety::Tagged, DeduplicationScope::MarkGroup) => {
            Effect::Deduplicated(Within::MarkGroup)
        }
    }
}
