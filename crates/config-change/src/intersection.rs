//! What is safe beside two policies at once: while a change goes through a fleet, some gateways hold the one and
//! some the other, and what they do in sum must break no rule by either.

use crate::document::{Class, Decimal, Document, RetryBudget, SlowStart};
use crate::plan::ClassSlot;

/// Names, none of them for any: those in both, or none where there is no such.
fn in_both(a: &[String], b: &[String]) -> Option<Vec<String>> {
    match (a.is_empty(), b.is_empty()) {
        (true, _) => Some(b.to_vec()),
        (_, true) => Some(a.to_vec()),
        _ => {
            let there = |n: &&String| b.iter().any(|m| m.eq_ignore_ascii_case(n));
            let both: Vec<String> = a.iter().filter(there).cloned().collect();
            (!both.is_empty()).then_some(both)
        }
    }
}

fn least<const N: u32>(a: Decimal<N>, b: Decimal<N>) -> Decimal<N> {
    if b < a {
        b
    } else {
        a
    }
}

// No retry budget is no bound. Counts over spans of different length do not bound one another: then none at all.
fn retry_budget(a: Option<RetryBudget>, b: Option<RetryBudget>) -> Option<RetryBudget> {
    let (Some(a), Some(b)) = (a, b) else {
        return a.or(b);
    };
    let comparable = a.span == b.span;
    let spare = if comparable { a.spare.min(b.spare) } else { 0 };
    let share = if comparable {
        least(a.share, b.share)
    } else {
        Decimal::default()
    };
    Some(RetryBudget {
        spare,
        share,
        span: a.span.max(b.span),
    })
}

fn class(a: &Class, b: &Class) -> Option<Class> {
    let (zone, kind) = (in_both(&a.zone, &b.zone)?, in_both(&a.kind, &b.kind)?);
    let window = a.window.zip(b.window).map(|(a, b)| a.min(b)).or(a.window);
    (ClassSlot::of(a) == ClassSlot::of(b)).then(|| Class {
        zone,
        kind,
        window,
        ..a.clone()
    })
}

impl Document {
    /// The stricter of both, field by field where gateways' sums are bounded; the rest is as here. None where no
    /// class is left that both have.
    pub fn intersection(&self, other: &Document) -> Option<Document> {
        let same = |a: &Class| {
            other
                .class
                .iter()
                .find(|b| b.name == a.name)
                .and_then(|b| class(a, b))
        };
        let (a, b) = (&self.slow_start, &other.slow_start);
        let left: Vec<Class> = self.class.iter().filter_map(same).collect();
        (!left.is_empty()).then(|| Document {
            class: left,
            gateways: self.gateways.max(other.gateways),
            max_attempts: self.max_attempts.min(other.max_attempts),
            retry_budget: retry_budget(self.retry_budget, other.retry_budget),
            slow_start: SlowStart {
                from: least(a.from, b.from),
                slow_start_duration: a.slow_start_duration.max(b.slow_start_duration),
                multiple: least(a.multiple, b.multiple),
                span: a.span.min(b.span),
            },
            ..self.clone()
        })
    }
}
