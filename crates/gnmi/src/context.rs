//! State and helpers that all calls of the service share.

use crate::codec;
use crate::proto::gnmi;
use ironstair::Millis;
use ironstair_config_change::Refusal;
use ironstair_data_tree::Pattern;
use ironstair_management::{ManagementHandle, Refused};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tonic::Status;

const NANOS_PER_MILLI: f64 = 1e6;

/// The limit on paths in one request.
pub(crate) const MAX_PATHS: usize = 256;

/// Access to the tree, the gateway's name, and the limit on streams.
#[derive(Clone)]
pub(crate) struct ServiceContext {
    pub(crate) management: ManagementHandle,
    pub(crate) gateway: Arc<str>,
    streams: Arc<Semaphore>,
}

impl ServiceContext {
    pub(crate) fn new(management: ManagementHandle, gateway: &str, max_streams: usize) -> Self {
        ServiceContext {
            management,
            gateway: gateway.into(),
            streams: Arc::new(Semaphore::new(max_streams)),
        }
    }

    /// A permit for one stream, which is released when dropped; `None` if the limit on open streams is reached.
    pub(crate) fn acquire_stream(&self) -> Option<OwnedSemaphorePermit> {
        self.streams.clone().try_acquire_owned().ok()
    }

    /// The pattern of a path and its prefix, resolved by the schema.
    pub(crate) fn resolve(
        &self,
        prefix: Option<&gnmi::Path>,
        path: &gnmi::Path,
    ) -> Result<Pattern, Status> {
        let pattern = codec::pattern(prefix, path, &self.gateway)?;
        self.management
            .schema()
            .resolve(&pattern)
            .map_err(|error| Status::invalid_argument(error.to_string()))
    }
}

/// Refuses a request with more paths than [`MAX_PATHS`].
pub(crate) fn check_path_count(count: usize) -> Result<(), Status> {
    if count > MAX_PATHS {
        return Err(Status::invalid_argument(format!(
            "the request has {count} paths, at most {MAX_PATHS} are allowed"
        )));
    }
    Ok(())
}

/// A Unix time as a gNMI timestamp, which is in nanoseconds.
pub(crate) fn timestamp(at: Millis) -> i64 {
    (at * NANOS_PER_MILLI) as i64
}

/// The status of a refused request.
pub(crate) fn refused(reason: &Refused) -> Status {
    let text = reason.to_string();
    match reason {
        Refused::Invalid(_) => Status::invalid_argument(text),
        Refused::Tracker(Refusal::Unconfirmed { .. } | Refusal::NoSuchCommit { .. })
        | Refused::Fleet(_) => Status::failed_precondition(text),
        Refused::Tracker(Refusal::NotPersisted { .. }) => Status::resource_exhausted(text),
        Refused::Tracker(Refusal::Busy) => Status::aborted(text),
        Refused::ShuttingDown => Status::unavailable(text),
    }
}
