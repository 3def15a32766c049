//! The Set call: changes of the settings, and the commands of the commit extension.

use crate::arbitration::ArbitrationTable;
use crate::codec::{self, BootstrapCommand};
use crate::context::{check_path_count, refused, timestamp, ServiceContext};
use crate::proto::gnmi::{self, update_result::Operation};
use crate::proto::gnmi_ext::{self, commit::Action, extension::Ext, Commit, Extension};
use crate::roles::Identity;
use ironstair::Millis;
use ironstair_config_change::{confirm_within, Command, Confirmation};
use ironstair_data_tree::path::StepPattern;
use ironstair_data_tree::{Edit, Pattern};
use ironstair_management::{Change, Scope};
use std::sync::{Mutex, PoisonError};
use tonic::Status;

/// The limit on bytes of a commit's id.
const MAX_COMMIT_ID_BYTES: usize = 128;

/// The number of edits that a revision's summary names.
const MAX_SUMMARY_EDITS: usize = 3;

const MILLIS_PER_SECOND: f64 = 1000.0;
const NANOS_PER_MILLI: f64 = 1e6;

pub(crate) async fn set(
    context: &ServiceContext,
    arbitration: &Mutex<ArbitrationTable>,
    identity: Identity,
    request: gnmi::SetRequest,
) -> Result<gnmi::SetResponse, Status> {
    let scope = codec::scope(request.prefix.as_ref());
    let extensions = Extensions::read(&request.extension)?;
    if let Some(command) = bootstrap_command(&request).filter(|_| scope == Scope::Fleet) {
        return bootstrap(context, command, identity, request.prefix).await;
    }
    let edits = Edits::read(context, &request)?;
    if let Some(claim) = extensions.claim {
        let mut table = arbitration.lock().unwrap_or_else(PoisonError::into_inner);
        table
            .claim(&claim.role, claim.election_id)
            .map_err(|error| Status::permission_denied(error.to_string()))?;
    }
    let author = identity.name;
    let change = RequestedChange {
        author,
        scope,
        edits: edits.edits,
    };
    match extensions.commit {
        Some(commit) => change.run_commit_action(context, commit).await?,
        None => change.apply_without_commit(context).await?,
    }
    let tree = context.management.tree().await;
    Ok(gnmi::SetResponse {
        prefix: request.prefix,
        response: edits.results,
        timestamp: timestamp(tree.at),
        extension: Vec::new(),
    })
}

fn bootstrap_command(request: &gnmi::SetRequest) -> Option<BootstrapCommand> {
    let mut paths = request
        .update
        .iter()
        .filter_map(|update| update.path.as_ref());
    paths.find_map(codec::bootstrap_command)
}

async fn bootstrap(
    context: &ServiceContext,
    command: BootstrapCommand,
    identity: Identity,
    prefix: Option<gnmi::Path>,
) -> Result<gnmi::SetResponse, Status> {
    let is_disaster_recovery = command == BootstrapCommand::NewGeneration;
    let bootstrapped = context
        .management
        .bootstrap(is_disaster_recovery, identity.name);
    bootstrapped.await.map_err(|reason| refused(&reason))?;
    Ok(gnmi::SetResponse {
        prefix,
        ..Default::default()
    })
}

/// A client's claim to be the master of a role.
struct Claim {
    role: String,
    election_id: u128,
}

impl Claim {
    fn read(message: &gnmi_ext::MasterArbitration) -> Result<Claim, Status> {
        let id = message.election_id.as_ref();
        let id = id.ok_or_else(|| {
            Status::invalid_argument("the master_arbitration extension has no election_id")
        })?;
        let role = message.role.as_ref();
        Ok(Claim {
            role: role.map(|role| role.id.clone()).unwrap_or_default(),
            election_id: u128::from(id.high) << 64 | u128::from(id.low),
        })
    }
}

/// The extensions that a Set supports. Others are ignored, as gNMI requires.
struct Extensions<'a> {
    commit: Option<&'a Commit>,
    claim: Option<Claim>,
}

impl Extensions<'_> {
    fn read(all: &[Extension]) -> Result<Extensions<'_>, Status> {
        let mut extensions = Extensions {
            commit: None,
            claim: None,
        };
        for extension in all {
            match &extension.ext {
                Some(Ext::Commit(commit)) if extensions.commit.is_none() => {
                    extensions.commit = Some(commit);
                }
                Some(Ext::Commit(_)) => {
                    return Err(Status::invalid_argument(
                        "the request has more than one commit extension",
                    ));
                }
                Some(Ext::MasterArbitration(message)) => {
                    extensions.claim = Some(Claim::read(message)?);
                }
                _ => {}
            }
        }
        Ok(extensions)
    }
}

/// The edits of a request, and their results for the response.
struct Edits<'a> {
    context: &'a ServiceContext,
    prefix: Option<gnmi::Path>,
    edits: Vec<Edit>,
    results: Vec<gnmi::UpdateResult>,
}

impl<'a> Edits<'a> {
    fn read(context: &'a ServiceContext, request: &gnmi::SetRequest) -> Result<Edits<'a>, Status> {
        let updates = request.update.len() + request.union_replace.len();
        check_path_count(request.delete.len() + request.replace.len() + updates)?;
        let mut edits = Edits {
            context,
            prefix: request.prefix.clone().map(codec::without_scope),
            edits: Vec::new(),
            results: Vec::new(),
        };
        for path in &request.delete {
            let pattern = edits.pattern(Some(path))?;
            edits.push(Edit::Delete(pattern), Some(path), Operation::Delete);
        }
        for update in &request.replace {
            edits.push_update(update, Operation::Replace)?;
        }
        for update in &request.update {
            edits.push_update(update, Operation::Update)?;
        }
        if !request.union_replace.is_empty() {
            edits.push_union(&request.union_replace)?;
        }
        Ok(edits)
    }

    /// Replaces all settings with the union of the updates.
    fn push_union(&mut self, updates: &[gnmi::Update]) -> Result<(), Status> {
        if !self.edits.is_empty() {
            return Err(Status::invalid_argument(
                "union_replace cannot be combined with other edits",
            ));
        }
        let settings = Pattern(vec![StepPattern::of("settings", None)]);
        self.edits.push(Edit::Delete(settings));
        for update in updates {
            self.push_update(update, Operation::UnionReplace)?;
        }
        Ok(())
    }

    fn push_update(&mut self, update: &gnmi::Update, operation: Operation) -> Result<(), Status> {
        let path = update.path.as_ref();
        let pattern = self.pattern(path)?;
        let json = codec::json(update.val.as_ref(), &pattern)?;
        let edit = match operation {
            Operation::Replace => Edit::Replace(pattern, json),
            _ => Edit::Update(pattern, json),
        };
        self.push(edit, path, operation);
        Ok(())
    }

    fn push(&mut self, edit: Edit, path: Option<&gnmi::Path>, operation: Operation) {
        self.edits.push(edit);
        self.results.push(gnmi::UpdateResult {
            path: path.cloned(),
            op: operation as i32,
        });
    }

    fn pattern(&self, path: Option<&gnmi::Path>) -> Result<Pattern, Status> {
        let root = gnmi::Path::default();
        let path = path.unwrap_or(&root);
        codec::pattern(self.prefix.as_ref(), path, &self.context.gateway)
    }
}

/// A change that a client requests.
struct RequestedChange {
    author: String,
    scope: Scope,
    edits: Vec<Edit>,
}

impl RequestedChange {
    /// Changes the settings without a commit extension. A request without edits changes nothing; a client may send it
    /// for its master arbitration alone.
    async fn apply_without_commit(self, context: &ServiceContext) -> Result<(), Status> {
        if self.edits.is_empty() {
            return Ok(());
        }
        self.apply(context, None).await
    }

    /// Runs the action of a commit extension: a change that must be confirmed, or a command for a pending one.
    async fn run_commit_action(
        self,
        context: &ServiceContext,
        commit: &Commit,
    ) -> Result<(), Status> {
        let id = commit.id.clone();
        if id.is_empty() || id.len() > MAX_COMMIT_ID_BYTES {
            return Err(Status::invalid_argument(format!(
                "the commit id has {} bytes, 1 to {MAX_COMMIT_ID_BYTES} are allowed",
                id.len()
            )));
        }
        let command = match &commit.action {
            Some(Action::Commit(request)) => {
                let within = rollback_duration(request.rollback_duration.as_ref())?;
                if self.edits.is_empty() {
                    return Err(Status::invalid_argument(
                        "a commit request must change at least one setting",
                    ));
                }
                let confirmation = Confirmation { id, within };
                return self.apply(context, Some(confirmation)).await;
            }
            Some(Action::Confirm(_)) => Command::Confirm { id },
            Some(Action::Cancel(_)) => Command::Cancel { id },
            Some(Action::SetRollbackDuration(request)) => Command::Extend {
                id,
                within: rollback_duration(request.rollback_duration.as_ref())?,
            },
            None => {
                return Err(Status::invalid_argument(
                    "the commit extension has no action",
                ));
            }
        };
        if !self.edits.is_empty() {
            return Err(Status::invalid_argument(
                "confirm, cancel and set_rollback_duration cannot be combined with changes",
            ));
        }
        let commanded = context.management.command(command, self.author, self.scope);
        commanded.await.map_err(|reason| refused(&reason))?;
        Ok(())
    }

    async fn apply(
        self,
        context: &ServiceContext,
        confirmation: Option<Confirmation>,
    ) -> Result<(), Status> {
        let change = Change {
            summary: summary(&self.edits),
            edits: self.edits,
            author: self.author,
            confirmation,
            scope: self.scope,
        };
        let changed = context.management.set(change).await;
        changed.map_err(|reason| refused(&reason))?;
        Ok(())
    }
}

fn rollback_duration(requested: Option<&prost_types::Duration>) -> Result<Millis, Status> {
    let requested = requested.map(|duration| {
        duration.seconds as f64 * MILLIS_PER_SECOND + f64::from(duration.nanos) / NANOS_PER_MILLI
    });
    confirm_within(requested)
        .map_err(|reason| Status::invalid_argument(format!("rollback_duration {reason}")))
}

/// The summary of a revision for its list entry: the operations and paths of its first edits.
fn summary(edits: &[Edit]) -> String {
    let describe = |edit: &Edit| match edit {
        Edit::Delete(path) => format!("delete {path}"),
        Edit::Replace(path, _) => format!("replace {path}"),
        Edit::Update(path, _) => format!("update {path}"),
    };
    let first: Vec<String> = edits.iter().take(MAX_SUMMARY_EDITS).map(describe).collect();
    let text = first.join(", ");
    match edits.len().saturating_sub(MAX_SUMMARY_EDITS) {
        0 => text,
        more => format!("{text} and {more} more"),
    }
}
