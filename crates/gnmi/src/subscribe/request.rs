//! Reads a client's subscription list.

use crate::codec::Encoding;
use crate::context::ServiceContext;
use crate::proto::gnmi::{self, subscription_list, SubscriptionMode};
use crate::update_queue::{Mode, Subscription, MAX_SAMPLE_INTERVAL, MIN_SAMPLE_INTERVAL};
use ironstair::Millis;
use ironstair_data_tree::Pattern;
use tonic::Status;

/// The limit on subscriptions of one stream.
const MAX_SUBSCRIPTIONS: usize = 64;

const NANOS_PER_MILLI: f64 = 1e6;

/// A valid subscription list.
pub(super) struct SubscriptionRequest {
    pub(super) subscriptions: Vec<Subscription>,
    pub(super) mode: subscription_list::Mode,
    pub(super) encoding: Encoding,
    pub(super) updates_only: bool,
    /// The target that is repeated in each response.
    pub(super) target: String,
}

impl SubscriptionRequest {
    pub(super) fn read(
        context: &ServiceContext,
        list: gnmi::SubscriptionList,
    ) -> Result<Self, Status> {
        let encoding = Encoding::of(list.encoding)?;
        if list.subscription.is_empty() || list.subscription.len() > MAX_SUBSCRIPTIONS {
            return Err(Status::invalid_argument(format!(
                "the subscription list has {} subscriptions, 1 to {MAX_SUBSCRIPTIONS} are allowed",
                list.subscription.len()
            )));
        }
        let prefix = list.prefix.as_ref();
        let subscriptions = list.subscription.iter().map(|requested| {
            let path = requested.path.clone().unwrap_or_default();
            subscription(requested, context.resolve(prefix, &path)?)
        });
        let subscriptions = subscriptions.collect::<Result<Vec<_>, Status>>()?;
        let mode = subscription_list::Mode::try_from(list.mode).map_err(|_| {
            Status::invalid_argument(format!(
                "mode {} of the subscription list is unknown",
                list.mode
            ))
        })?;
        Ok(SubscriptionRequest {
            subscriptions,
            mode,
            encoding,
            updates_only: list.updates_only,
            target: list.prefix.map(|prefix| prefix.target).unwrap_or_default(),
        })
    }
}

fn subscription(requested: &gnmi::Subscription, pattern: Pattern) -> Result<Subscription, Status> {
    let heartbeat = match requested.heartbeat_interval {
        0 => None,
        nanos => Some(interval(nanos, "heartbeat_interval")?),
    };
    let sample = |every| Mode::Sample {
        every,
        changed_only: requested.suppress_redundant,
    };
    let mode = match SubscriptionMode::try_from(requested.mode) {
        Ok(SubscriptionMode::OnChange) => Mode::OnChange,
        Ok(SubscriptionMode::Sample) => match requested.sample_interval {
            0 => sample(MIN_SAMPLE_INTERVAL),
            nanos => sample(interval(nanos, "sample_interval")?),
        },
        Ok(SubscriptionMode::TargetDefined) => Mode::target_defined(&pattern),
        Err(_) => {
            let mode = requested.mode;
            return Err(Status::invalid_argument(format!(
                "mode {mode} of a subscription is unknown"
            )));
        }
    };
    Ok(Subscription::new(pattern, mode, heartbeat))
}

fn interval(nanos: u64, field: &str) -> Result<Millis, Status> {
    let millis = nanos as f64 / NANOS_PER_MILLI;
    if (MIN_SAMPLE_INTERVAL..=MAX_SAMPLE_INTERVAL).contains(&millis) {
        return Ok(millis);
    }
    Err(Status::invalid_argument(format!(
        "{field} is {nanos} ns, {MIN_SAMPLE_INTERVAL} ms to {MAX_SAMPLE_INTERVAL} ms are allowed"
    )))
}
