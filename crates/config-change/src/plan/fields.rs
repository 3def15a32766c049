//! The fields of the document, as text for people, and when a change of each takes effect.

use super::TakesEffect::{self, ForNewRequests, Immediately};
use crate::decimal::Decimal;
use crate::document::{Cell, Cells, Class, Document, EnginePin, TenantPin};
use crate::registry::ClassSlot;

type ClassText = fn(&Class) -> String;

/// The fields of a class that may change. What tightens a rule binds at once, even for requests taken before: the
/// policy holds each to the intersection of the settings it was taken under and the new ones.
pub(super) const CLASS_FIELDS: [(&str, TakesEffect, ClassText); 7] = [
    ("expected", ForNewRequests, |c| c.expected.to_string()),
    ("expected-stretch", ForNewRequests, |c| {
        c.expected_stretch.to_string()
    }),
    ("hard-limit", ForNewRequests, |c| c.hard_limit.to_string()),
    ("payoff", Immediately, |c| c.value.to_string()),
    ("window", Immediately, |c| {
        c.window.map_or(String::new(), |w| w.to_string())
    }),
    ("zone", Immediately, |c| c.zone.join(" ")),
    ("kind", Immediately, |c| c.kind.join(" ")),
];

type IsSame = fn(&ClassSlot, &ClassSlot) -> bool;

/// Those that may not change: what a request was promised of repeats, order and size relies on them.
pub(super) const FIXED_FIELDS: [(&str, IsSame); 4] = [
    ("repeat", |a, b| a.repeat == b.repeat),
    ("within", |a, b| a.within == b.within),
    ("in-order", |a, b| a.in_order == b.in_order),
    ("threads", |a, b| a.threads == b.threads),
];

type DocumentText = fn(&Document) -> Option<String>;

/// The fields beside the classes, cells and log; all of them take effect at once.
pub(super) const DOCUMENT_FIELDS: [(&str, DocumentText); 10] = [
    ("gateways", |d| Some(d.gateways.to_string())),
    ("forwards-most", |d| Some(d.max_attempts.to_string())),
    ("advice", |d| Some(d.max_retry_after.to_string())),
    ("ration/spare", |d| {
        d.retry_budget.map(|r| r.spare.to_string())
    }),
    ("ration/share", |d| {
        d.retry_budget.map(|r| r.share.to_string())
    }),
    ("ration/span", |d| {
        d.retry_budget.map(|r| r.span.to_string())
    }),
    ("cold/from", |d| Some(d.slow_start.from.to_string())),
    ("cold/warm-after", |d| {
        Some(d.slow_start.slow_start_duration.to_string())
    }),
    ("cold/multiple", |d| Some(d.slow_start.multiple.to_string())),
    ("cold/span", |d| Some(d.slow_start.span.to_string())),
];

/// The cells as one text. Its form is fixed, and independent of the names that the code uses.
pub(super) fn cells_text(cells: &Cells) -> String {
    let cell = |c: &Cell| {
        let weight = decimal_text(c.weight);
        format!("Cell {{ name: {:?}, weight: {weight} }}", c.name)
    };
    let engine = |e: &EnginePin| format!("EnginePin {{ name: {:?}, cell: {:?} }}", e.name, e.cell);
    let tenant = |t: &TenantPin| format!("TenantPin {{ name: {:?}, cell: {:?} }}", t.name, t.cell);
    let retry_after = option_text(cells.retry_after, |ms| ms.to_string());
    let lend = option_text(cells.lend, decimal_text);
    format!(
        "Cells {{ shard: {}, cell: {}, engine: {}, tenant: {}, turn_back: {retry_after}, lend: {lend} }}",
        cells.shard,
        list_text(&cells.cell, cell),
        list_text(&cells.engine, engine),
        list_text(&cells.tenant, tenant),
    )
}

fn list_text<T>(items: &[T], text: impl Fn(&T) -> String) -> String {
    let items: Vec<String> = items.iter().map(text).collect();
    format!("[{}]", items.join(", "))
}

fn option_text<T>(value: Option<T>, text: impl Fn(T) -> String) -> String {
    value.map_or("None".into(), |v| format!("Some({})", text(v)))
}

fn decimal_text<const DIGITS: u32>(decimal: Decimal<DIGITS>) -> String {
    format!("Decimal({:?})", decimal.get())
}
