//! The command `watch`, which subscribes to a path and prints one line for each changed leaf.

use super::arguments::Watch;
use super::client::connect;
use super::encoding::parse_path;
use super::error::{CommandError, CommandResult};
use super::output::{notification_text, print_line, Format};
use ironstair_gnmi::proto::gnmi::{self, subscribe_request, subscribe_response};
use serde_json::json;

/// Prints changes or samples until the stream ends or the requested number of notifications is printed.
///
/// # Errors
/// The connection fails, the gateway ends the stream with an error status, or standard output cannot be written.
pub(crate) async fn watch(arguments: Watch) -> CommandResult {
    let first = subscribe_request(&arguments)?;
    // The request stream must stay open: the gateway ends the subscription when the stream closes.
    let requests =
        tokio_stream::StreamExt::chain(tokio_stream::once(first), tokio_stream::pending());
    let mut client = connect(&arguments.target).await?;
    let mut responses = client.subscribe(requests).await?.into_inner();
    let format = match arguments.target.json {
        true => Format::Json,
        false => Format::Text,
    };
    let mut remaining = arguments.count.unwrap_or(usize::MAX);
    while remaining > 0 {
        let Some(response) = responses.message().await? else {
            return Ok(());
        };
        match response.response {
            Some(subscribe_response::Response::Update(update)) => {
                remaining -= 1;
                print_line(&notification_text(&update, format))?;
            }
            Some(subscribe_response::Response::SyncResponse(_)) if arguments.target.json => {
                print_line(&json!({"sync": true}).to_string())?;
            }
            _ => {}
        }
    }
    Ok(())
}

fn subscribe_request(arguments: &Watch) -> Result<gnmi::SubscribeRequest, CommandError> {
    let mode = match arguments.every {
        Some(_) => gnmi::SubscriptionMode::Sample,
        None => gnmi::SubscriptionMode::OnChange,
    };
    let subscription = gnmi::Subscription {
        path: Some(parse_path(&arguments.path)?),
        mode: mode as i32,
        sample_interval: arguments.every.map_or(0, |every| every.as_nanos() as u64),
        ..Default::default()
    };
    let list = gnmi::SubscriptionList {
        subscription: vec![subscription],
        encoding: gnmi::Encoding::Proto as i32,
        ..Default::default()
    };
    Ok(gnmi::SubscribeRequest {
        request: Some(subscribe_request::Request::Subscribe(list)),
        extension: Vec::new(),
    })
}
