//! The commands that read and change settings: `get`, `set`, `confirm`, `cancel`, `revisions`, `cells` and `move`.

use super::arguments::{Cells, Get, Move, PendingCommit, Revisions, Set, Target};
use super::client::{connect, fleet_state, read, tree_prefix};
use super::encoding::{json_value, parse_path, path_text, proto_duration, schema};
use super::error::{CommandError, CommandResult};
use super::output::{leaf_table, object_table, print_line};
use ironstair_gnmi::proto::gnmi::{self, typed_value, TypedValue};
use ironstair_gnmi::proto::gnmi_ext::{self, commit::Action, extension::Ext, Commit, Extension};
use serde_json::{json, Value as Json};
use std::time::SystemTime;

/// The path of the revisions that a gateway retains.
const REVISIONS: &str = "/state/revision[number=*]";

/// Shows the leaves at a path.
///
/// # Errors
/// As for every command in this file: an argument is invalid, the connection fails, the gateway responds with an error
/// status, or standard output cannot be written.
pub(crate) async fn get(arguments: Get) -> CommandResult {
    let target = &arguments.target;
    if !target.json {
        let schema = schema()?;
        let leaves = read(target, &arguments.path, gnmi::Encoding::Proto).await?;
        return print_line(&leaf_table(&schema, &leaves));
    }
    let updates = read(target, &arguments.path, gnmi::Encoding::JsonIetf).await?;
    let entries = updates.iter().map(|update| {
        let path = path_text(None, update.path.as_ref());
        json!({"path": path, "value": json_value(update.val.as_ref())})
    });
    print_line(&format!("{:#}", Json::Array(entries.collect())))
}

/// Changes a setting.
///
/// # Errors
/// As for [`get`].
pub(crate) async fn set(arguments: Set) -> CommandResult {
    let mut request = change_request(&arguments)?;
    let id = arguments.id.unwrap_or_else(new_commit_id);
    if let Some(within) = arguments.confirm_within {
        let rollback_duration = Some(proto_duration(*within));
        let commit_request = gnmi_ext::CommitRequest { rollback_duration };
        request.extension = commit_extension(id.clone(), Action::Commit(commit_request));
    }
    connect(&arguments.target).await?.set(request).await?;
    match (arguments.target.json, arguments.confirm_within) {
        (true, within) => {
            print_line(&json!({"changed": true, "confirm": within.map(|_| id)}).to_string())
        }
        (_, Some(within)) => print_line(&format!(
            "changed; will be rolled back in {within} unless confirmed with: ironstair confirm {id}"
        )),
        _ => print_line("changed"),
    }
}

/// Builds the request for a change, without the commit extension.
fn change_request(arguments: &Set) -> Result<gnmi::SetRequest, CommandError> {
    let path = parse_path(&arguments.path)?;
    let value: Json = match &arguments.value {
        // Text that is not JSON is taken as a string, because quotes within quotes are awkward in a shell.
        Some(text) => serde_json::from_str(text).unwrap_or_else(|_| json!(text)),
        None => Json::Null,
    };
    let bytes = value.to_string().into_bytes();
    let update = gnmi::Update {
        path: Some(path.clone()),
        val: Some(TypedValue {
            value: Some(typed_value::Value::JsonIetfVal(bytes)),
        }),
        duplicates: 0,
    };
    let mut request = gnmi::SetRequest {
        prefix: tree_prefix(arguments.fleet),
        ..Default::default()
    };
    match (arguments.delete, arguments.replace) {
        (true, _) => request.delete = vec![path],
        (_, true) => request.replace = vec![update],
        _ => request.update = vec![update],
    }
    Ok(request)
}

/// Generates a commit id for a change for which the user gave none.
fn new_commit_id() -> String {
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    format!("c{}", unix.as_millis())
}

/// The commit extension, which starts a change that needs confirmation, or confirms or cancels one.
fn commit_extension(id: String, action: Action) -> Vec<Extension> {
    let commit = Commit {
        id,
        action: Some(action),
    };
    vec![Extension {
        ext: Some(Ext::Commit(commit)),
    }]
}

/// Confirms or cancels, as `action` says, a change that is waiting for confirmation.
///
/// # Errors
/// As for [`get`], or no change is waiting for confirmation.
pub(crate) async fn finish_commit(arguments: PendingCommit, action: Action) -> CommandResult {
    let target = &arguments.target;
    let id = match arguments.id {
        Some(id) => id,
        None if arguments.fleet => unconfirmed_fleet_commit(target).await?,
        None => unconfirmed_gateway_commit(target).await?,
    };
    let outcome = match action {
        Action::Confirm(_) => "confirmed",
        _ => "taken back",
    };
    let request = gnmi::SetRequest {
        prefix: tree_prefix(arguments.fleet),
        extension: commit_extension(id, action),
        ..Default::default()
    };
    connect(target).await?.set(request).await?;
    print_line(&match target.json {
        true => json!({"done": outcome}).to_string(),
        false => outcome.to_owned(),
    })
}

/// The commit id of the change of the fleet's settings that is waiting for confirmation.
async fn unconfirmed_fleet_commit(target: &Target) -> Result<String, CommandError> {
    let state = fleet_state(target).await?;
    let id = state["unconfirmed"].as_str().map(String::from);
    id.ok_or(CommandError::NothingUnconfirmed)
}

/// The commit id of the change of the gateway's own settings that is waiting for confirmation.
async fn unconfirmed_gateway_commit(target: &Target) -> Result<String, CommandError> {
    let revisions = read(target, REVISIONS, gnmi::Encoding::JsonIetf).await?;
    let revisions: Vec<Json> = revisions
        .iter()
        .map(|revision| json_value(revision.val.as_ref()))
        .collect();
    let field = |revision: &Json, name: &str| {
        let field = &revision[format!("ironstair-gateway:{name}")];
        field.as_str().map(String::from)
    };
    let unconfirmed = revisions
        .iter()
        .find(|revision| field(revision, "outcome").as_deref() == Some("unconfirmed"));
    let id = unconfirmed.and_then(|revision| field(revision, "commit"));
    id.ok_or(CommandError::NothingUnconfirmed)
}

/// Shows the cells with their engines and tenants.
///
/// # Errors
/// As for [`get`].
pub(crate) async fn cells(arguments: Cells) -> CommandResult {
    let result = get(Get {
        path: "/settings/cells".into(),
        target: arguments.target,
    });
    match result.await {
        Err(error) if error.is_not_found() => print_line("no cells are configured"),
        result => result,
    }
}

/// Moves a tenant to other cells.
///
/// # Errors
/// As for [`get`].
pub(crate) async fn move_tenant(arguments: Move) -> CommandResult {
    let tenant = arguments.tenant.replace('\\', "\\\\").replace(']', "\\]");
    let change = Set {
        path: format!("/settings/cells/tenant[name={tenant}]/cell"),
        value: Some(json!(arguments.cells).to_string()),
        replace: true,
        delete: false,
        confirm_within: arguments.confirm_within,
        id: None,
        fleet: arguments.fleet,
        target: arguments.target,
    };
    set(change).await
}

/// Shows the last revisions of the settings.
///
/// # Errors
/// As for [`get`].
pub(crate) async fn revisions(arguments: Revisions) -> CommandResult {
    if arguments.fleet {
        return fleet_revisions(&arguments.target).await;
    }
    let result = get(Get {
        path: REVISIONS.into(),
        target: arguments.target,
    });
    match result.await {
        Err(error) if error.is_not_found() => Ok(()),
        result => result,
    }
}

async fn fleet_revisions(target: &Target) -> CommandResult {
    let state = fleet_state(target).await?;
    let revisions = &state["revisions"];
    if target.json {
        return print_line(&format!("{revisions:#}"));
    }
    let columns = ["number", "outcome", "who", "what", "refused-by", "why"];
    print_line(&object_table(revisions, &columns))
}
