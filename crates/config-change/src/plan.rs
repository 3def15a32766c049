//! What a change of the settings does, and when. It is checked whole; then the policy config that it makes is taken
//! over whole, between two events of the decision module, or none of it is.

use crate::document::{class_path, fault, Again, Class, Document, Fault, Frame, Group};
use ironstair::{ClassPolicy, Effect, Ms, PolicyConfig, RetryBudget, Within};
use std::collections::BTreeMap;

/// Classes that may ever have been in a gateway's life: their indices are never used again, since requests,
/// charges and paces hold on to them.
pub const ROLL_MOST: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    AtOnce,
    /// Only for requests taken from then on.
    NewOnly,
    /// New ones are rejected at once; it is over when those open are.
    OpenFirst,
}

/// One field that changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    pub path: String,
    pub from: Option<String>,
    pub to: Option<String>,
    pub when: When,
}

/// What of a class is fixed for the gateway's life; its place is the class's index.
#[derive(Clone, Debug, PartialEq)]
pub struct Slot {
    pub name: String,
    pub repeat: Again,
    pub within: Group,
    pub in_order: bool,
    pub threads: u16,
}

impl Slot {
    pub(crate) fn of(b: &Class) -> Slot {
        Slot {
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
pub struct Roll(pub Vec<Slot>);

/// A change that may be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub steps: Vec<Step>,
    pub roll: Roll,
}

type Shown = fn(&Class) -> String;

/// The fields of a class that may change, and when each takes effect. What tightens a rule binds at once even for
/// those taken before: the decision module holds each to the stricter of its own terms and the new ones.
const CLASS_FIELDS: [(&str, When, Shown); 7] = [
    ("expected", When::NewOnly, |b| b.expected.to_string()),
    ("expected-stretch", When::NewOnly, |b| {
        b.expected_stretch.to_string()
    }),
    ("hard-limit", When::NewOnly, |b| b.hard_limit.to_string()),
    ("payoff", When::AtOnce, |b| b.value.to_string()),
    ("window", When::AtOnce, |b| {
        b.window.map_or(String::new(), |w| w.to_string())
    }),
    ("zone", When::AtOnce, |b| b.zone.join(" ")),
    ("kind", When::AtOnce, |b| b.kind.join(" ")),
];

type Kept = fn(&Slot) -> String;

/// Those that may not: what was promised of a request's repeats, order and size rests on them.
const FIXED: [(&str, Kept); 4] = [
    ("repeat", |s| format!("{:?}", s.repeat)),
    ("within", |s| format!("{:?}", s.within)),
    ("in-order", |s| s.in_order.to_string()),
    ("threads", |s| s.threads.to_string()),
];

type DocumentText = fn(&Document) -> Option<String>;

/// The fields beside the classes; all of them at once but for the most attempts, of which fewer bind at once.
const REST: [(&str, When, DocumentText); 10] = [
    ("gateways", When::AtOnce, |d| Some(d.gateways.to_string())),
    ("forwards-most", When::AtOnce, |d| {
        Some(d.max_attempts.to_string())
    }),
    ("advice", When::AtOnce, |d| Some(d.advice.to_string())),
    ("ration/spare", When::AtOnce, |d| {
        d.retry_budget.map(|r| r.spare.to_string())
    }),
    ("ration/share", When::AtOnce, |d| {
        d.retry_budget.map(|r| r.share.to_string())
    }),
    ("ration/span", When::AtOnce, |d| {
        d.retry_budget.map(|r| r.span.to_string())
    }),
    ("cold/from", When::AtOnce, |d| Some(d.cold.from.to_string())),
    ("cold/warm-after", When::AtOnce, |d| {
        Some(d.cold.slow_start_duration.to_string())
    }),
    ("cold/multiple", When::AtOnce, |d| {
        Some(d.cold.multiple.to_string())
    }),
    ("cold/span", When::AtOnce, |d| Some(d.cold.span.to_string())),
];

impl Roll {
    pub fn of(document: &Document) -> Roll {
        Roll(document.class.iter().map(Slot::of).collect())
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|s| s.name == name)
    }
}

/// The plan from what runs to what is wanted, or all that stands against it.
pub fn plan(
    from: &Document,
    to: &Document,
    roll: &Roll,
    frame: &Frame,
) -> Result<Plan, Vec<Fault>> {
    let mut faults = to.faults(frame);
    let (mut steps, mut roll) = (Vec::new(), roll.clone());
    let was: BTreeMap<&str, &Class> = from.class.iter().map(|b| (b.name.as_str(), b)).collect();
    let step = |path: String, from: Option<String>, to: Option<String>, when: When| {
        (from != to).then_some(Step {
            path,
            from,
            to,
            when,
        })
    };
    for class in &to.class {
        let name = class.name.as_str();
        match roll.find(name) {
            Some(i) => {
                let (old, new) = (&roll.0[i], Slot::of(class));
                for (field, show) in FIXED {
                    if show(old) != show(&new) {
                        let why =
                            "cannot change in service: take the band out and use another name";
                        faults.push(fault(class_path(name, field), why));
                    }
                }
            }
            None if roll.0.len() >= ROLL_MOST => {
                let why =
                    format!("more than {ROLL_MOST} bands since the start: it takes a restart");
                faults.push(fault(class_path(name, "name"), why));
            }
            None => roll.0.push(Slot::of(class)),
        }
        match was.get(name) {
            Some(old) => {
                for (field, when, show) in CLASS_FIELDS {
                    steps.extend(step(
                        class_path(name, field),
                        Some(show(old)),
                        Some(show(class)),
                        when,
                    ));
                }
            }
            None => {
                let path = format!("/settings/band[name={name}]");
                steps.extend(step(path, None, Some("in service".into()), When::AtOnce));
            }
        }
    }
    for name in was
        .keys()
        .filter(|n| !to.class.iter().any(|b| b.name == **n))
    {
        let path = format!("/settings/band[name={name}]");
        steps.extend(step(path, Some("in service".into()), None, When::OpenFirst));
    }
    for (field, when, show) in REST {
        steps.extend(step(
            format!("/settings/{field}"),
            show(from),
            show(to),
            when,
        ));
    }
    // As a whole: a tenant's cells follow from all of it.
    let cells = |d: &Document| d.cells.as_ref().map(|c| format!("{c:?}"));
    steps.extend(step(
        "/settings/cells".into(),
        cells(from),
        cells(to),
        When::AtOnce,
    ));
    let level = |d: &Document| Some(format!("{:?}", d.log.level).to_lowercase());
    steps.extend(step(
        "/settings/log/level".into(),
        level(from),
        level(to),
        When::AtOnce,
    ));
    if faults.is_empty() {
        Ok(Plan { steps, roll })
    } else {
        Err(faults)
    }
}

/// What the gateway was told and the document made of that; every policy config is made from both, so that what was
/// not changed keeps its figure to the last digit, also after a change was rolled back.
#[derive(Clone)]
pub struct Origin {
    pub policy_config: PolicyConfig,
    pub document: Document,
    pub frame: Frame,
}

impl Origin {
    /// The policy config of a document that `plan` let through, in the order of the roll.
    pub fn policy_config(&self, to: &Document, roll: &Roll) -> PolicyConfig {
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
        let (cold, old) = (&to.cold, &was.cold);
        PolicyConfig {
            gateways: changed(to.gateways != was.gateways, to.gateways as f64, m.gateways),
            classes: roll.0.iter().map(|slot| self.terms(slot, to)).collect(),
            max_retry_after: changed(to.advice != was.advice, to.advice as f64, m.max_retry_after),
            max_attempts: to.max_attempts,
            slow_start_from: changed(cold.from != old.from, cold.from.get(), m.slow_start_from),
            slow_start_duration: changed(
                cold.slow_start_duration != old.slow_start_duration,
                cold.slow_start_duration as f64,
                m.slow_start_duration,
            ),
            fall_multiple: changed(
                cold.multiple != old.multiple,
                cold.multiple.get(),
                m.fall_multiple,
            ),
            fall_span: changed(cold.span != old.span, cold.span as f64, m.fall_span),
            retry_budget,
            ..m.clone()
        }
    }

    fn terms(&self, slot: &Slot, to: &Document) -> ClassPolicy {
        let told = self
            .document
            .class
            .iter()
            .position(|b| Slot::of(b) == *slot);
        let told = told.map(|i| (&self.policy_config.classes[i], &self.document.class[i]));
        let Some(class) = to.class.iter().find(|b| Slot::of(b) == *slot) else {
            // Out of service. What it was matters no more to new ones; open ones go by their own terms.
            let was = told.map(|t| t.0.clone()).unwrap_or_default();
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
                .filter_map(|n| Frame::index(known, n))
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
            zones: indices(&class.zone, &self.frame.zones),
            kinds: indices(&class.kind, &self.frame.kinds),
            holds: false,
            closed: false,
        };
        if let Some((told, was)) = told {
            terms.holds = told.holds;
            let keep = |same: bool, new: &mut f64, old: f64| {
                if same {
                    *new = old;
                }
            };
            keep(
                was.expected == class.expected,
                &mut terms.expected,
                told.expected,
            );
            keep(
                was.expected_stretch == class.expected_stretch,
                &mut terms.expected_stretch,
                told.expected_stretch,
            );
            keep(was.value == class.value, &mut terms.value, told.value);
            keep(was.window == class.window, &mut terms.window, told.window);
            if was.zone == class.zone {
                terms.zones = told.zones.clone();
            }
            if was.kind == class.kind {
                terms.kinds = told.kinds.clone();
            }
        }
        terms
    }
}

fn repeat(slot: &Slot) -> Effect {
    match (slot.repeat, slot.within) {
        (Again::Repeatable, _) => Effect::Idempotent,
        (Again::OnceOnly, _) => Effect::NonIdempotent,
        (Again::Tagged, Group::All) => Effect::Deduplicated(Within::All),
        (Again::Tagged, Group::Zone) => Effect::Deduplicated(Within::Zone),
        (Again::Tagged, Group::MarkGroup) => Effect::Deduplicated(Within::MarkGroup),
    }
}
