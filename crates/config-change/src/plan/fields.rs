//! The fields of the document: how operators see their values, and when a change of each takes effect.

use super::TakesEffect::{self, ForNewRequests, Immediately};
use crate::decimal::Decimal;
use crate::document::{Cell, Cells, Class, Document, EnginePin, TenantPin};
use crate::registry::ClassSlot;

type ClassText = fn(&Class) -> String;

/// The fields of a class that may change. A stricter rule applies at once, even to requests accepted before: the policy
/// holds each request to the intersection of the settings under which it was accepted and the new ones.
pub(super) const CLASS_FIELDS: [(&str, TakesEffect, ClassText); 7] = [
    ("expected", ForNewRequests, |class| {
        class.base_objective.to_string()
    }),
    ("expected-stretch", ForNewRequests, |class| {
        class.objective_per_work.to_string()
    }),
    ("hard-limit", ForNewRequests, |class| {
        class.hard_limit.to_string()
    }),
    ("payoff", Immediately, |class| class.value.to_string()),
    ("window", Immediately, |class| {
        class
            .dedup_window
            .map_or(String::new(), |window| window.to_string())
    }),
    ("zone", Immediately, |class| class.zones.join(" ")),
    ("kind", Immediately, |class| class.machine_types.join(" ")),
];

type IsSame = fn(&ClassSlot, &ClassSlot) -> bool;

/// The fields of a class that must not change: what requests were promised about repetition and order, and the threads
/// they were accounted with, depends on them.
pub(super) const FIXED_FIELDS: [(&str, IsSame); 4] = [
    ("repeat", |left, right| {
        left.repeat_safety == right.repeat_safety
    }),
    ("within", |left, right| {
        left.dedup_scope == right.dedup_scope
    }),
    ("in-order", |left, right| {
        left.preserves_key_order == right.preserves_key_order
    }),
    ("threads", |left, right| left.threads == right.threads),
];

type DocumentText = fn(&Document) -> Option<String>;

/// The fields other than classes, cells and log; changes of them take effect at once.
pub(super) const DOCUMENT_FIELDS: [(&str, DocumentText); 10] = [
    ("gateways", |document| Some(document.gateways.to_string())),
    ("forwards-most", |document| {
        Some(document.max_attempts.to_string())
    }),
    ("advice", |document| {
        Some(document.max_retry_after.to_string())
    }),
    ("ration/spare", |document| {
        document
            .retry_budget
            .map(|budget| budget.min_retries.to_string())
    }),
    ("ration/share", |document| {
        document
            .retry_budget
            .map(|budget| budget.retry_ratio.to_string())
    }),
    ("ration/span", |document| {
        document
            .retry_budget
            .map(|budget| budget.window.to_string())
    }),
    ("cold/from", |document| {
        Some(document.slow_start.initial_share.to_string())
    }),
    ("cold/warm-after", |document| {
        Some(document.slow_start.slow_start_duration.to_string())
    }),
    ("cold/multiple", |document| {
        Some(document.slow_start.overload_factor.to_string())
    }),
    ("cold/span", |document| {
        Some(document.slow_start.overload_window.to_string())
    }),
];

/// The cells as one string. Its form is written out here, so that it does not change with the names in the code.
pub(super) fn cells_text(cells: &Cells) -> String {
    let cell = |cell: &Cell| {
        let weight = decimal_text(cell.weight);
        format!("Cell {{ name: {:?}, weight: {weight} }}", cell.name)
    };
    let engine =
        |pin: &EnginePin| format!("EnginePin {{ name: {:?}, cell: {:?} }}", pin.name, pin.cell);
    let tenant = |pin: &TenantPin| {
        format!(
            "TenantPin {{ name: {:?}, cell: {:?} }}",
            pin.name, pin.cells
        )
    };
    let retry_after = option_text(cells.retry_after, |ms| ms.to_string());
    let lend = option_text(cells.overflow_share, decimal_text);
    format!(
        "Cells {{ shard: {}, cell: {}, engine: {}, tenant: {}, turn_back: {retry_after}, lend: {lend} }}",
        cells.shard_size,
        list_text(&cells.cells, cell),
        list_text(&cells.engine_pins, engine),
        list_text(&cells.tenant_pins, tenant),
    )
}

fn list_text<T>(items: &[T], text: impl Fn(&T) -> String) -> String {
    let items: Vec<String> = items.iter().map(text).collect();
    format!("[{}]", items.join(", "))
}

fn option_text<T>(value: Option<T>, text: impl Fn(T) -> String) -> String {
    value.map_or("None".into(), |value| format!("Some({})", text(value)))
}

fn decimal_text<const DIGITS: u32>(decimal: Decimal<DIGITS>) -> String {
    format!("Decimal({:?})", decimal.get())
}
