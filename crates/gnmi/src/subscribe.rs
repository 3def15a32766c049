//! The Subscribe call. Each stream has a task that follows the tree and sends updates as fast as the client accepts
//! them.

mod notification;
mod request;
mod stream;

use crate::context::ServiceContext;
use crate::proto::gnmi::{
    subscribe_request::Request as ClientMessage, subscribe_response::Response as ServerMessage,
    subscription_list, SubscribeRequest, SubscribeResponse,
};
use crate::update_queue::{Disconnected, UpdateQueue, MAX_QUEUED_PATHS, STALLED_TIMEOUT};
use ironstair::Millis;
use ironstair_runtime::clock::{duration, Clock};
use notification::NotificationWriter;
use request::SubscriptionRequest;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use stream::LiveStream;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_stream::Stream;
use tonic::{Status, Streaming};

/// The approximate number of leaves in one message.
const MAX_LEAVES_PER_MESSAGE: usize = 512;

/// The capacity of the channel to the client. One message is enough, because values are read from the newest tree when
/// they are sent.
const MESSAGE_CAPACITY: usize = 1;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// The status with which a stream ended; `None` while it runs, and after a regular end.
type FinalStatus = Arc<Mutex<Option<Status>>>;

/// The responses of one stream: messages, then the status with which it ended.
pub struct SubscriptionStream {
    messages: mpsc::Receiver<SubscribeResponse>,
    final_status: FinalStatus,
}

impl Stream for SubscriptionStream {
    type Item = Result<SubscribeResponse, Status>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = self.messages.poll_recv(context);
        polled.map(|message| match message {
            Some(message) => Some(Ok(message)),
            None => lock(&self.final_status).take().map(Err),
        })
    }
}

fn lock(status: &FinalStatus) -> std::sync::MutexGuard<'_, Option<Status>> {
    status.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a task that serves the stream until the client ends it or the task ends it with a status.
pub(crate) fn serve(
    context: ServiceContext,
    requests: Streaming<SubscribeRequest>,
) -> SubscriptionStream {
    let (sender, messages) = mpsc::channel(MESSAGE_CAPACITY);
    let final_status = FinalStatus::default();
    let task_status = final_status.clone();
    tokio::spawn(async move {
        let Some(_permit) = context.acquire_stream() else {
            let status = Status::resource_exhausted(
                "the limit on open streams (management.streams) is reached",
            );
            *lock(&task_status) = Some(status);
            return;
        };
        if let Err(status) = run(&context, requests, sender).await {
            *lock(&task_status) = Some(status);
        }
    });
    SubscriptionStream {
        messages,
        final_status,
    }
}

async fn run(
    context: &ServiceContext,
    mut requests: Streaming<SubscribeRequest>,
    sender: mpsc::Sender<SubscribeResponse>,
) -> Result<(), Status> {
    let first = requests.message().await?;
    let first = first.and_then(|message| message.request);
    let Some(ClientMessage::Subscribe(list)) = first else {
        return Err(Status::invalid_argument(
            "the first message of a stream must be a subscription list",
        ));
    };
    let request = SubscriptionRequest::read(context, list)?;
    let client = Client {
        sender,
        writer: NotificationWriter {
            encoding: request.encoding,
            target: request.target,
        },
        clock: Clock::start(),
    };
    // The watch starts before the tree is read, so that no change between the two is missed.
    let mut watch = context.management.watch();
    let tree = context.management.tree().await;
    watch.trees.mark_unchanged();
    let queue = UpdateQueue::start(
        request.subscriptions,
        client.clock.now(),
        tree.leaves.clone(),
        request.updates_only,
    );
    match request.mode {
        subscription_list::Mode::Once => client.send_all(queue, tree.at).await,
        subscription_list::Mode::Poll => {
            serve_polls(context, &mut requests, &client, queue, request.updates_only).await
        }
        subscription_list::Mode::Stream => {
            let stream = LiveStream::new(client, watch, queue, tree.at);
            stream.run(&mut requests).await
        }
    }
}

/// Answers each poll with everything that is subscribed to, or only with the changes if `updates_only` is set.
async fn serve_polls(
    context: &ServiceContext,
    requests: &mut Streaming<SubscribeRequest>,
    client: &Client,
    mut queue: UpdateQueue,
    updates_only: bool,
) -> Result<(), Status> {
    while let Some(message) = requests.message().await? {
        let Some(ClientMessage::Poll(_)) = message.request else {
            return Err(Status::invalid_argument(
                "a stream in mode POLL accepts only poll messages after the subscription list",
            ));
        };
        let tree = context.management.tree().await;
        if updates_only {
            // The error is ignored: a client that polls waits for the answer and is never stalled.
            let _ = queue.poll(client.clock.now(), &tree.leaves);
        } else {
            queue = queue.resume(client.clock.now(), tree.leaves.clone());
        }
        client.send_all(queue.clone(), tree.at).await?;
        queue.next_updates(client.clock.now(), usize::MAX);
        queue.sent(client.clock.now());
    }
    Ok(())
}

/// The client of one stream.
struct Client {
    sender: mpsc::Sender<SubscribeResponse>,
    writer: NotificationWriter,
    clock: Clock,
}

impl Client {
    /// Sends all queued updates, then a sync response.
    async fn send_all(&self, mut queue: UpdateQueue, at: Millis) -> Result<(), Status> {
        while !queue.is_empty() {
            let updates = queue.next_updates(self.clock.now(), MAX_LEAVES_PER_MESSAGE);
            for message in self.writer.messages(at, updates) {
                self.send(message).await?;
            }
        }
        self.send(sync_response()).await
    }

    /// Sends one message; a client that does not accept it in time is disconnected.
    async fn send(&self, message: SubscribeResponse) -> Result<(), Status> {
        tokio::select! {
            sent = self.sender.send(message) => sent.map_err(|_| client_gone()),
            () = sleep(duration(STALLED_TIMEOUT)) => Err(disconnected(Disconnected::Stalled)),
        }
    }
}

fn client_gone() -> Status {
    Status::cancelled("the client has closed the stream")
}

fn disconnected(reason: Disconnected) -> Status {
    Status::resource_exhausted(match reason {
        Disconnected::TooFarBehind => {
            format!(
                "the subscriber is too slow: more than {MAX_QUEUED_PATHS} changed paths are queued"
            )
        }
        Disconnected::Stalled => format!(
            "the subscriber has read nothing for {} s although messages were queued",
            STALLED_TIMEOUT / MILLIS_PER_SECOND
        ),
    })
}

fn sync_response() -> SubscribeResponse {
    SubscribeResponse {
        response: Some(ServerMessage::SyncResponse(true)),
        extension: Vec::new(),
    }
}
