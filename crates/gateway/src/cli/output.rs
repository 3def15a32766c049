//! Formatting of tables and lines, and printing to standard output.

use super::encoding::{format_time, json_value, path_text, plain_text};
use super::error::{CommandError, CommandResult};
use ironstair_data_tree::path::key_name;
use ironstair_data_tree::Schema;
use ironstair_gnmi::proto::gnmi;
use serde_json::{json, Value as Json};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{ErrorKind, Write as _};

const NANOSECONDS_PER_MS: i64 = 1_000_000;
/// Printed in a table cell without a value.
const NO_VALUE: &str = "-";

/// The values of one list entry, by column.
type Row = BTreeMap<String, String>;

/// The table of the entries of one YANG list.
struct ListTable {
    /// The path of the list, without its key.
    path: String,
    columns: Vec<String>,
    rows: Vec<Row>,
    /// The path of the last row's entry, with its key.
    last_entry: String,
}

impl ListTable {
    fn new(path: &str) -> Self {
        ListTable {
            path: path.into(),
            columns: Vec::new(),
            rows: Vec::new(),
            last_entry: String::new(),
        }
    }

    /// Begins a row unless `entry` is the entry of the last row. The key of the list is the first column.
    fn begin_entry(&mut self, entry: String, list: &gnmi::PathElem) {
        if entry == self.last_entry {
            return;
        }
        let key = list.key.values().next().cloned().unwrap_or_default();
        let column = key_name(&list.name).to_owned();
        if !self.columns.contains(&column) {
            self.columns.insert(0, column.clone());
        }
        self.rows.push(BTreeMap::from([(column, key)]));
        self.last_entry = entry;
    }

    fn add(&mut self, column: &str, value: String) {
        if !self.columns.iter().any(|known| known == column) {
            self.columns.push(column.into());
        }
        if let Some(row) = self.rows.last_mut() {
            row.insert(column.into(), value);
        }
    }

    /// Sorts the columns in the order of the YANG module, which lists the most frequently read leaves first.
    fn sort_columns(&mut self, schema: &Schema) {
        let steps = self.path.split('/').filter(|step| !step.is_empty());
        let mut names = steps.map(|step| step.split('[').next().unwrap_or(step));
        let list = names.try_fold(&schema.root, |node, name| node.child(name));
        let position = |column: &String| {
            list.and_then(|list| {
                let mut children = list.children.iter();
                children.position(|child| *child.name == **column)
            })
        };
        self.columns.sort_by_key(position);
    }

    fn text(mut self, schema: &Schema) -> String {
        self.sort_columns(schema);
        let rows = self.rows.iter().map(|row| {
            let cells = self.columns.iter().map(|column| row.get(column).cloned());
            cells.map(|cell| cell.unwrap_or(NO_VALUE.into())).collect()
        });
        let mut text = aligned_columns(&self.columns, rows.collect());
        let _ = writeln!(text, "({} of {})", self.rows.len(), self.path);
        text
    }
}

/// Formats rows below a header line; each column is padded to its widest cell, with two spaces in between.
fn aligned_columns(columns: &[String], rows: Vec<Vec<String>>) -> String {
    let widest = |nth: usize| {
        let cells = rows.iter().map(|row| row[nth].chars().count());
        cells.max().unwrap_or(0).max(columns[nth].len())
    };
    let widths: Vec<usize> = (0..columns.len()).map(widest).collect();
    let line = |cells: &[String]| {
        let cells = cells.iter().zip(&widths);
        let padded = cells.map(|(cell, width)| format!("{cell:<width$}"));
        let joined = padded.collect::<Vec<_>>().join("  ");
        format!("{}\n", joined.trim_end())
    };
    let mut text = line(columns);
    for row in &rows {
        text += &line(row);
    }
    text
}

/// Formats leaves for people: list entries as rows of a table, all other leaves as one line each.
pub(super) fn leaf_table(schema: &Schema, updates: &[gnmi::Update]) -> String {
    let mut text = String::new();
    let mut tables: Vec<ListTable> = Vec::new();
    for update in updates {
        let Some(path) = &update.path else { continue };
        let value = leaf_text(schema, path, update);
        let [.., list, leaf] = path.elem.as_slice() else {
            let _ = writeln!(text, "{} {value}", path_text(None, Some(path)));
            continue;
        };
        if list.key.is_empty() {
            let _ = writeln!(text, "{} {value}", path_text(None, Some(path)));
            continue;
        }
        let entry = entry_path(path);
        let list_path = entry
            .rsplit_once('[')
            .map_or(entry.as_str(), |(list, _)| list);
        if tables.last().is_none_or(|table| table.path != list_path) {
            tables.push(ListTable::new(list_path));
        }
        if let Some(table) = tables.last_mut() {
            table.begin_entry(entry, list);
            table.add(&leaf.name, value);
        }
    }
    for table in tables {
        text += &table.text(schema);
    }
    text
}

/// The path of the list entry that holds a leaf.
fn entry_path(leaf: &gnmi::Path) -> String {
    let parent = gnmi::Path {
        elem: leaf.elem[..leaf.elem.len() - 1].to_vec(),
        ..Default::default()
    };
    path_text(None, Some(&parent))
}

fn leaf_text(schema: &Schema, path: &gnmi::Path, update: &gnmi::Update) -> String {
    let mut steps = path.elem.iter();
    let node = steps.try_fold(&schema.root, |node, step| node.child(&step.name));
    let value = json_value(update.val.as_ref());
    if node.is_some_and(|node| node.typedef.as_deref() == Some("moment")) {
        format_time(value.as_u64().unwrap_or(0))
    } else {
        plain_text(&value)
    }
}

/// Formats a list of JSON objects as a table with these fields as columns.
pub(super) fn object_table(objects: &Json, fields: &[&str]) -> String {
    let objects = objects.as_array().map_or(&[][..], Vec::as_slice);
    let row = |object: &Json| {
        fields
            .iter()
            .map(|field| cell_text(object, field))
            .collect()
    };
    let columns: Vec<String> = fields.iter().map(|field| field.to_string()).collect();
    aligned_columns(&columns, objects.iter().map(row).collect())
}

fn cell_text(object: &Json, field: &str) -> String {
    match &object[field] {
        Json::Null => NO_VALUE.to_owned(),
        value => plain_text(value),
    }
}

/// The output format of notifications.
#[derive(Clone, Copy)]
pub(super) enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Formats a notification, one line for each leaf.
pub(super) fn notification_text(notification: &gnmi::Notification, format: Format) -> String {
    let prefix = notification.prefix.as_ref();
    let unix_ms = notification.timestamp / NANOSECONDS_PER_MS;
    let deleted = notification.delete.iter().map(|path| {
        let path = path_text(prefix, Some(path));
        deleted_line(unix_ms, &path, format)
    });
    let updated = notification.update.iter().map(|update| {
        let path = path_text(prefix, update.path.as_ref());
        updated_line(unix_ms, &path, &json_value(update.val.as_ref()), format)
    });
    deleted.chain(updated).collect::<Vec<_>>().join("\n")
}

fn deleted_line(unix_ms: i64, path: &str, format: Format) -> String {
    match format {
        Format::Json => json!({"at": unix_ms, "delete": path}).to_string(),
        Format::Text => format!("{} {path} deleted", format_time(unix_ms as u64)),
    }
}

fn updated_line(unix_ms: i64, path: &str, value: &Json, format: Format) -> String {
    match format {
        Format::Json => json!({"at": unix_ms, "path": path, "value": value}).to_string(),
        Format::Text => format!(
            "{} {path} {}",
            format_time(unix_ms as u64),
            plain_text(value)
        ),
    }
}

/// Writes a line to standard output.
///
/// # Errors
/// Standard output cannot be written. A closed pipe is reported as [`CommandError::OutputClosed`], which is not a
/// failure.
pub(super) fn print_line(text: &str) -> CommandResult {
    let mut output = std::io::stdout().lock();
    let written = writeln!(output, "{}", text.trim_end()).and_then(|()| output.flush());
    written.map_err(|error| match error.kind() {
        ErrorKind::BrokenPipe => CommandError::OutputClosed,
        _ => CommandError::Output(error),
    })
}
