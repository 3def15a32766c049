//! Tests that compare the program's external formats with the files under `tests/pinned`, which an earlier version of
//! the program wrote.
//!
//! The tests guard against a renamed field, command or message that breaks operators' files, scripts and clients, or
//! the snapshot of an earlier version. They cover the schema of the operator's file, the YANG module that `yang`
//! prints, the files that `check` accepts and refuses, the JSON that `get`, `revisions` and `fleet` print, the snapshot
//! file, and the encoding of gNMI paths, extensions and requests.

#[path = "../managed/mod.rs"]
mod managed;

mod checked_files;
mod command_line;
mod gnmi_messages;
mod printed_json;
mod snapshot_file;

use ironstair_pinned_forms::PinnedForms;

/// The pinned files of this package.
const FORMS: PinnedForms = PinnedForms::of_package(env!("CARGO_MANIFEST_DIR"));
