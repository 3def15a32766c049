//! The intersection of two policies: while a change goes through a fleet, some gateways apply the one and some the
//! other, and what they do in sum must break no rule of either.

use crate::document::{Class, Document, RetryBudget, SlowStart};
use crate::registry::ClassSlot;

impl Document {
    /// The stricter of both, field by field where gateways' sums are bounded; the rest is as here. None where no
    /// class is left that both have.
    pub fn intersection(&self, other: &Document) -> Option<Document> {
        let class: Vec<Class> = self
            .class
            .iter()
            .filter_map(|a| {
                let b = other.class.iter().find(|b| b.name == a.name)?;
                class_intersection(a, b)
            })
            .collect();
        if class.is_empty() {
            return None;
        }
        Some(Document {
            class,
            gateways: self.gateways.max(other.gateways),
            max_attempts: self.max_attempts.min(other.max_attempts),
            retry_budget: retry_budget_intersection(self.retry_budget, other.retry_budget),
            slow_start: slow_start_intersection(&self.slow_start, &other.slow_start),
            ..self.clone()
        })
    }
}

fn class_intersection(a: &Class, b: &Class) -> Option<Class> {
    if ClassSlot::of(a) != ClassSlot::of(b) {
        return None;
    }
    let window = a.window.zip(b.window).map(|(a, b)| a.min(b)).or(a.window);
    Some(Class {
        zone: name_intersection(&a.zone, &b.zone)?,
        kind: name_intersection(&a.kind, &b.kind)?,
        window,
        ..a.clone()
    })
}

/// Names, where an empty list stands for any: those in both, or none where there is no such.
fn name_intersection(a: &[String], b: &[String]) -> Option<Vec<String>> {
    if a.is_empty() {
        return Some(b.to_vec());
    }
    if b.is_empty() {
        return Some(a.to_vec());
    }
    let in_both: Vec<String> = a
        .iter()
        .filter(|name| b.iter().any(|other| other.eq_ignore_ascii_case(name)))
        .cloned()
        .collect();
    (!in_both.is_empty()).then_some(in_both)
}

/// No retry budget is no bound. Counts over spans of different length do not bound one another: then no retry at all.
fn retry_budget_intersection(
    a: Option<RetryBudget>,
    b: Option<RetryBudget>,
) -> Option<RetryBudget> {
    let (Some(a), Some(b)) = (a, b) else {
        return a.or(b);
    };
    if a.span != b.span {
        return Some(RetryBudget {
            spare: 0,
            share: Default::default(),
            span: a.span.max(b.span),
        });
    }
    Some(RetryBudget {
        spare: a.spare.min(b.spare),
        share: a.share.min(b.share),
        span: a.span,
    })
}

fn slow_start_intersection(a: &SlowStart, b: &SlowStart) -> SlowStart {
    SlowStart {
        from: a.from.min(b.from),
        slow_start_duration: a.slow_start_duration.max(b.slow_start_duration),
        multiple: a.multiple.min(b.multiple),
        span: a.span.min(b.span),
    }
}
