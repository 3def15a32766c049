//! The Get call.

use crate::codec::{self, Encoding};
use crate::context::{check_path_count, refused, timestamp, ServiceContext};
use crate::proto::gnmi::{self, get_request::DataType};
use ironstair_data_tree::leaves::{nodes, select};
use ironstair_data_tree::{Path, Pattern, Value};
use ironstair_management::{Scope, Tree};
use tonic::Status;

pub(crate) async fn get(
    context: &ServiceContext,
    request: gnmi::GetRequest,
) -> Result<gnmi::GetResponse, Status> {
    if codec::scope(request.prefix.as_ref()) == Scope::Fleet {
        return fleet_state(context, request.prefix).await;
    }
    let encoding = Encoding::of(request.encoding)?;
    let data_type = DataType::try_from(request.r#type)
        .map_err(|_| Status::invalid_argument(format!("type {} is unknown", request.r#type)))?;
    check_path_count(request.path.len())?;
    let patterns = resolve_paths(context, &request)?;
    let reader = Reader {
        context,
        tree: &*context.management.tree().await,
        encoding,
        data_type,
    };
    let prefix = target_prefix(request.prefix.as_ref());
    let notifications = patterns
        .iter()
        .map(|pattern| reader.notification(pattern, prefix.clone()));
    Ok(gnmi::GetResponse {
        notification: notifications.collect::<Result<_, Status>>()?,
        extension: Vec::new(),
    })
}

/// Answers with the state of the whole fleet, as its leader knows it.
async fn fleet_state(
    context: &ServiceContext,
    prefix: Option<gnmi::Path>,
) -> Result<gnmi::GetResponse, Status> {
    let state = context.management.fleet_state().await;
    let state = state.map_err(|reason| refused(&reason))?;
    let update = gnmi::Update {
        path: Some(gnmi::Path::default()),
        val: Some(Encoding::JsonIetf.subtree(&state)),
        duplicates: 0,
    };
    let notification = gnmi::Notification {
        prefix,
        update: vec![update],
        ..Default::default()
    };
    Ok(gnmi::GetResponse {
        notification: vec![notification],
        extension: Vec::new(),
    })
}

/// The patterns of the request's paths; the whole tree if it names none.
fn resolve_paths(
    context: &ServiceContext,
    request: &gnmi::GetRequest,
) -> Result<Vec<Pattern>, Status> {
    let prefix = request.prefix.as_ref();
    if request.path.is_empty() {
        return Ok(vec![context.resolve(prefix, &gnmi::Path::default())?]);
    }
    let paths = request.path.iter();
    paths.map(|path| context.resolve(prefix, path)).collect()
}

/// The prefix of a response. Its paths are absolute, so that the prefix contains only the target.
fn target_prefix(request_prefix: Option<&gnmi::Path>) -> Option<gnmi::Path> {
    let target = request_prefix.map(|prefix| prefix.target.clone())?;
    (!target.is_empty()).then(|| gnmi::Path {
        target,
        ..Default::default()
    })
}

struct Reader<'a> {
    context: &'a ServiceContext,
    tree: &'a Tree,
    encoding: Encoding,
    data_type: DataType,
}

impl<'a> Reader<'a> {
    fn notification(
        &self,
        pattern: &Pattern,
        prefix: Option<gnmi::Path>,
    ) -> Result<gnmi::Notification, Status> {
        let update: Vec<gnmi::Update> = nodes(&self.tree.leaves, pattern)
            .iter()
            .flat_map(|node| self.updates(node))
            .collect();
        let is_exact = pattern.stem().0.len() == pattern.0.len();
        if update.is_empty() && is_exact && !pattern.0.is_empty() {
            return Err(Status::not_found(format!(
                "{pattern}: the tree has no data of the requested type at this path"
            )));
        }
        Ok(gnmi::Notification {
            timestamp: timestamp(self.tree.at),
            prefix,
            update,
            ..Default::default()
        })
    }

    /// The updates of one node: one for each leaf with encoding PROTO, otherwise one for the whole node.
    fn updates(&self, node: &Path) -> Vec<gnmi::Update> {
        let below = Pattern::of(node);
        let leaves =
            select(&self.tree.leaves, &below).filter(|(path, _)| self.has_requested_type(path));
        let leaves: Vec<(&Path, &Value)> = leaves.collect();
        if self.encoding == Encoding::Proto {
            return leaves
                .into_iter()
                .map(|(path, value)| update(path, self.encoding.leaf(value)))
                .collect();
        }
        if leaves.is_empty() {
            return Vec::new();
        }
        let schema = self.context.management.schema();
        let json = schema.json(node, leaves.into_iter());
        vec![update(node, self.encoding.subtree(&json))]
    }

    fn has_requested_type(&self, path: &Path) -> bool {
        let Some(root) = path.0.first() else {
            return false;
        };
        match self.data_type {
            DataType::All => true,
            DataType::Config => *root.name == *"settings",
            DataType::State | DataType::Operational => *root.name == *"state",
        }
    }
}

fn update(path: &Path, value: gnmi::TypedValue) -> gnmi::Update {
    gnmi::Update {
        path: Some(codec::path(path)),
        val: Some(value),
        duplicates: 0,
    }
}
