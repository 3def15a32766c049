//! A stream in mode STREAM, which sends changes until the client ends it.

use super::{client_gone, disconnected, sync_response, Client, MAX_LEAVES_PER_MESSAGE};
use crate::proto::gnmi::{SubscribeRequest, SubscribeResponse};
use crate::update_queue::UpdateQueue;
use ironstair::Millis;
use ironstair_management::{Tree, Watch};
use ironstair_runtime::clock::duration;
use std::collections::VecDeque;
use tokio::time::sleep;
use tonic::{Status, Streaming};

pub(super) struct LiveStream {
    client: Client,
    watch: Watch,
    queue: UpdateQueue,
    /// The time of the tree in the queue.
    tree_time: Millis,
    /// The messages of one batch of updates. Paths that change while it is sent are queued again.
    batch: VecDeque<SubscribeResponse>,
    is_synced: bool,
}

enum Step {
    Continue,
    Ended,
}

impl LiveStream {
    pub(super) fn new(client: Client, watch: Watch, queue: UpdateQueue, tree_time: Millis) -> Self {
        LiveStream {
            client,
            watch,
            queue,
            tree_time,
            batch: VecDeque::new(),
            is_synced: false,
        }
    }

    pub(super) async fn run(
        mut self,
        requests: &mut Streaming<SubscribeRequest>,
    ) -> Result<(), Status> {
        loop {
            if self.batch.is_empty() {
                self.fill_batch();
            }
            if let Step::Ended = self.step(requests).await? {
                return Ok(());
            }
        }
    }

    /// Fills the batch with queued updates. Once the initial updates are sent, it adds the sync response.
    fn fill_batch(&mut self) {
        let now = self.client.clock.now();
        let updates = self.queue.next_updates(now, MAX_LEAVES_PER_MESSAGE);
        let messages = self.client.writer.messages(self.tree_time, updates);
        self.batch.extend(messages);
        if self.batch.is_empty() && !self.is_synced {
            self.is_synced = true;
            self.batch.push_back(sync_response());
        }
    }

    /// Waits for the first of these events: the channel has capacity for a message, the tree changes, the queue is due,
    /// or the client sends a message or closes the stream.
    async fn step(&mut self, requests: &mut Streaming<SubscribeRequest>) -> Result<Step, Status> {
        let until_due = self.queue.next_due_at() - self.client.clock.now();
        // `None` after a message was sent.
        let tree = tokio::select! {
            permit = self.client.sender.reserve(), if !self.batch.is_empty() => {
                let permit = permit.map_err(|_| client_gone())?;
                if let Some(message) = self.batch.pop_front() {
                    permit.send(message);
                }
                None
            }
            changed = self.watch.trees.changed() => {
                changed.map_err(|_| Status::unavailable("the gateway is shutting down"))?;
                Some(self.watch.trees.borrow_and_update().clone())
            }
            () = sleep(duration(until_due.max(0.0))) => {
                Some(self.watch.trees.borrow().clone())
            }
            request = requests.message() => {
                if request?.is_some() {
                    return Err(Status::invalid_argument(
                        "a stream in mode STREAM accepts no message after the subscription list",
                    ));
                }
                return Ok(Step::Ended);
            }
            () = self.client.sender.closed() => return Ok(Step::Ended),
        };
        match tree {
            Some(tree) => self.poll_tree(&tree)?,
            None => self.record_progress(),
        }
        Ok(Step::Continue)
    }

    fn record_progress(&mut self) {
        let now = self.client.clock.now();
        if self.batch.is_empty() {
            self.queue.sent(now);
        } else {
            self.queue.on_reader_progress(now);
        }
    }

    fn poll_tree(&mut self, tree: &Tree) -> Result<(), Status> {
        self.tree_time = tree.at;
        let now = self.client.clock.now();
        self.queue.poll(now, &tree.leaves).map_err(disconnected)
    }
}
