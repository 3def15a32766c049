//! The handle through which other tasks and threads reach the actor.

use crate::message::AgentMessage;
use tokio::sync::{mpsc, oneshot};

/// Sends messages to the actor. Clones send to the same actor.
#[derive(Clone)]
pub struct AgentHandle {
    sender: mpsc::Sender<AgentMessage>,
}

/// Why a request got no response from the actor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The queue is full; the sender may retry.
    #[error("the message queue is full")]
    MailboxFull,
    /// The actor dropped the request, because it can no longer answer it.
    #[error("the request was dropped: this voter is no longer the leader")]
    Dropped,
}

/// The actor has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fleet agent has ended")]
pub(crate) struct ActorEnded;

impl AgentHandle {
    /// Creates a queue of that capacity, and a handle that sends to it.
    pub fn channel(capacity: usize) -> (AgentHandle, mpsc::Receiver<AgentMessage>) {
        let (sender, mailbox) = mpsc::channel(capacity);
        (AgentHandle { sender }, mailbox)
    }

    /// Announces the end of this process to the fleet. The caller must have answered all of its clients' requests. The
    /// receiver resolves once the fleet knows. `None` if the actor's queue is full or closed.
    pub fn announce_leave(&self) -> Option<oneshot::Receiver<()>> {
        let (response, left) = oneshot::channel();
        let sent = self.sender.try_send(AgentMessage::Leave(response));
        sent.is_ok().then_some(left)
    }

    /// Sends a request and waits for its response. Fails at once if the queue is full.
    pub(crate) async fn request<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> AgentMessage,
    ) -> Result<T, RequestError> {
        let (response, answered) = oneshot::channel();
        self.sender
            .try_send(message(response))
            .map_err(|_| RequestError::MailboxFull)?;
        answered.await.map_err(|_| RequestError::Dropped)
    }

    /// Sends a message, or drops it if the queue is full.
    pub(crate) fn send_or_drop(&self, message: AgentMessage) {
        let _ = self.sender.try_send(message);
    }

    /// Sends a message; waits while the queue is full.
    pub(crate) async fn send(&self, message: AgentMessage) -> Result<(), ActorEnded> {
        self.sender.send(message).await.map_err(|_| ActorEnded)
    }
}
