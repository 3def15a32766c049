//! The intersection of two documents. While a change is in progress in a fleet, some gateways apply the old settings
//! and some the new ones; together they must not violate either.

use crate::document::{Class, Document, RetryBudget, SlowStart};
use crate::registry::ClassSlot;

impl Document {
    /// A document with the stricter value of each field that limits what all gateways do together; other fields are
    /// those of `self`. `None` if the two have no class in common.
    pub fn intersection(&self, other: &Document) -> Option<Document> {
        let classes: Vec<Class> = self
            .classes
            .iter()
            .filter_map(|left| {
                let right = other.classes.iter().find(|right| right.name == left.name)?;
                class_intersection(left, right)
            })
            .collect();
        if classes.is_empty() {
            return None;
        }
        Some(Document {
            classes,
            gateways: self.gateways.max(other.gateways),
            max_attempts: self.max_attempts.min(other.max_attempts),
            retry_budget: retry_budget_intersection(self.retry_budget, other.retry_budget),
            slow_start: slow_start_intersection(&self.slow_start, &other.slow_start),
            ..self.clone()
        })
    }
}

fn class_intersection(left: &Class, right: &Class) -> Option<Class> {
    if ClassSlot::from_class(left) != ClassSlot::from_class(right) {
        return None;
    }
    let dedup_window = left
        .dedup_window
        .zip(right.dedup_window)
        .map(|(left, right)| left.min(right))
        .or(left.dedup_window);
    Some(Class {
        zones: name_intersection(&left.zones, &right.zones)?,
        machine_types: name_intersection(&left.machine_types, &right.machine_types)?,
        dedup_window,
        ..left.clone()
    })
}

/// The names in both lists, where an empty list means any name. `None` if no name is in both.
fn name_intersection(left: &[String], right: &[String]) -> Option<Vec<String>> {
    if left.is_empty() {
        return Some(right.to_vec());
    }
    if right.is_empty() {
        return Some(left.to_vec());
    }
    let in_both: Vec<String> = left
        .iter()
        .filter(|name| right.iter().any(|other| other.eq_ignore_ascii_case(name)))
        .cloned()
        .collect();
    (!in_both.is_empty()).then_some(in_both)
}

/// `None` means that retries are not limited. Budgets over windows of different lengths cannot be compared, so no retry
/// is allowed then.
fn retry_budget_intersection(
    left: Option<RetryBudget>,
    right: Option<RetryBudget>,
) -> Option<RetryBudget> {
    let (Some(left), Some(right)) = (left, right) else {
        return left.or(right);
    };
    if left.window != right.window {
        return Some(RetryBudget {
            min_retries: 0,
            retry_ratio: Default::default(),
            window: left.window.max(right.window),
        });
    }
    Some(RetryBudget {
        min_retries: left.min_retries.min(right.min_retries),
        retry_ratio: left.retry_ratio.min(right.retry_ratio),
        window: left.window,
    })
}

fn slow_start_intersection(left: &SlowStart, right: &SlowStart) -> SlowStart {
    SlowStart {
        initial_share: left.initial_share.min(right.initial_share),
        slow_start_duration: left.slow_start_duration.max(right.slow_start_duration),
        overload_factor: left.overload_factor.min(right.overload_factor),
        overload_window: left.overload_window.min(right.overload_window),
    }
}
