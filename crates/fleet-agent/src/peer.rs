//! The connection to one voter, which is re-established after a failure. A message that can't be sent in time is
//! dropped, since every sender repeats its messages. A slow voter delays only the task that calls it.

use crate::envelope::{Identity, MAX_MESSAGE_BYTES};
use crate::message::{CommandResponse, HeartbeatReply};
use crate::proto::fleet_client::FleetClient;
use crate::proto::Envelope;
use ironstair::Millis;
use ironstair_runtime::clock::duration;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

/// Capacity of the queue of the Raft library's messages to one voter.
const MAX_QUEUED_MESSAGES: usize = 128;
/// Limit of the Raft library's messages in flight to one voter.
const MAX_MESSAGES_IN_FLIGHT: usize = 32;
/// The timeout of a message of the Raft library in ms.
const RAFT_MESSAGE_TIMEOUT: Millis = 2000.0;
/// The timeout for establishing a connection in ms.
const CONNECT_TIMEOUT: Millis = 500.0;
/// The interval of keepalive probes in ms.
const KEEPALIVE_INTERVAL: Millis = 1000.0;
/// The time in ms without an answer to a probe after which a connection is closed.
const KEEPALIVE_TIMEOUT: Millis = 1000.0;
/// The body of a join request that only asks for the cluster generation.
const GENERATION_QUERY: &[u8] = b"0";

/// The connection to one voter; clones share it.
#[derive(Clone)]
pub struct VoterConnection {
    client: FleetClient<Channel>,
    raft_messages: mpsc::Sender<Envelope>,
}

/// Why a call to a voter returned no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The call failed, or the voter rejected it.
    #[error("{}", .0.message())]
    Status(Box<Status>),
    /// The answer's body can't be decoded.
    #[error(transparent)]
    Body(#[from] serde_json::Error),
}

type TimedResponse = Result<Result<tonic::Response<Envelope>, Status>, tokio::time::error::Elapsed>;

impl VoterConnection {
    /// Creates a connection that is established with its first call. Must be called on the runtime that uses it: it
    /// spawns the task that sends the Raft library's messages, which ends with the last clone.
    ///
    /// # Errors
    /// Fails if the address is invalid.
    pub fn new(address: SocketAddr) -> Result<VoterConnection, tonic::transport::Error> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(duration(CONNECT_TIMEOUT))
            .http2_keep_alive_interval(duration(KEEPALIVE_INTERVAL))
            .keep_alive_timeout(duration(KEEPALIVE_TIMEOUT))
            .tcp_nodelay(true);
        let client = FleetClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let (raft_messages, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
        tokio::spawn(send_raft_messages(client.clone(), queue));
        Ok(VoterConnection {
            client,
            raft_messages,
        })
    }

    /// Queues a message of the Raft library; it is dropped if the queue is full.
    pub fn send_raft_message(&self, envelope: Envelope) {
        let _ = self.raft_messages.try_send(envelope);
    }

    /// Sends a heartbeat, with a timeout in ms.
    ///
    /// # Errors
    /// Fails if the voter rejects the call or does not answer in time, or its answer can't be decoded.
    pub async fn heartbeat(
        &self,
        envelope: Envelope,
        within: Millis,
    ) -> Result<HeartbeatReply, CallError> {
        let mut client = self.client.clone();
        decoded(timeout(duration(within), client.beat(envelope)).await)
    }

    /// Sends a request to join, with a timeout in ms. Returns the cluster generation that the voter knows, 0 if it
    /// knows none.
    ///
    /// # Errors
    /// Fails if the voter rejects the call or does not answer in time, or its answer can't be decoded.
    pub async fn request_join(&self, envelope: Envelope, within: Millis) -> Result<u64, CallError> {
        let mut client = self.client.clone();
        decoded(timeout(duration(within), client.knock(envelope)).await)
    }

    /// Asks for the cluster generation that the voter knows, with a timeout in ms; 0 if it knows none.
    ///
    /// # Errors
    /// Fails if the voter rejects the call or does not answer in time, or its answer can't be decoded.
    pub async fn known_generation(
        &self,
        identity: &Identity,
        within: Millis,
    ) -> Result<u64, CallError> {
        let query = identity.envelope(GENERATION_QUERY.to_vec());
        self.request_join(query, within).await
    }

    /// Sends an operator's command, with a timeout in ms.
    ///
    /// # Errors
    /// Fails if the voter rejects the call or does not answer in time, or its answer can't be decoded.
    pub async fn command(
        &self,
        envelope: Envelope,
        within: Millis,
    ) -> Result<CommandResponse, CallError> {
        let mut client = self.client.clone();
        decoded(timeout(duration(within), client.ask(envelope)).await)
    }
}

/// Decodes the body of a response that arrived in time.
fn decoded<T: DeserializeOwned>(response: TimedResponse) -> Result<T, CallError> {
    let response = response.map_err(|_| Status::new(Code::DeadlineExceeded, "no answer in time"));
    let envelope = response
        .and_then(|answered| answered)
        .map_err(|status| CallError::Status(Box::new(status)))?
        .into_inner();
    Ok(serde_json::from_slice(&envelope.body)?)
}

/// Sends the Raft library's messages in order without waiting for the answer to each, so that several are in flight on
/// a path with a high latency.
async fn send_raft_messages(client: FleetClient<Channel>, mut queue: mpsc::Receiver<Envelope>) {
    let in_flight = Arc::new(Semaphore::new(MAX_MESSAGES_IN_FLIGHT));
    while let Some(envelope) = queue.recv().await {
        // A message above the limit is dropped, so that messages to a voter that does not answer can't use up memory.
        // The library sends it again.
        let Ok(permit) = in_flight.clone().try_acquire_owned() else {
            continue;
        };
        let mut client = client.clone();
        tokio::spawn(async move {
            let _ = timeout(duration(RAFT_MESSAGE_TIMEOUT), client.agree(envelope)).await;
            drop(permit);
        });
    }
}
