//! The way to one voter: words go there by a connection that is made anew when it fails, and what can't go in its
//! time is dropped, since whoever speaks says it again. Nobody waits for a peer but the task that speaks to it.

use crate::proto::fleet_client::FleetClient;
use crate::proto::Envelope;
use ironstair::Ms;
use ironstair_runtime::clock::span;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

/// Messages of the agreement library that may wait for a voter, that may be under way to it, and for how long.
const MAX_QUEUED_MESSAGES: usize = 128;
const MAX_MESSAGES_IN_FLIGHT: usize = 32;
const RAFT_MESSAGE_TIMEOUT: Ms = 2000.0;
const CONNECT_TIMEOUT: Ms = 500.0;
/// A connection on which no ping comes back for so long is a broken one.
const KEEPALIVE_INTERVAL: Ms = 1000.0;
const KEEPALIVE_TIMEOUT: Ms = 1000.0;
/// Of one word: a whole log's state with hundreds of members is below a megabyte.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

#[derive(Clone)]
pub struct VoterConnection {
    client: FleetClient<Channel>,
    agree: mpsc::Sender<Envelope>,
}

impl VoterConnection {
    /// Must be called on the runtime that serves it.
    ///
    /// # Errors
    /// The address can't be one.
    pub fn to(at: SocketAddr) -> Result<VoterConnection, String> {
        let endpoint = Endpoint::from_shared(format!("http://{at}")).map_err(|e| e.to_string())?;
        let endpoint = endpoint
            .connect_timeout(span(CONNECT_TIMEOUT))
            .http2_keep_alive_interval(span(KEEPALIVE_INTERVAL))
            .keep_alive_timeout(span(KEEPALIVE_TIMEOUT))
            .tcp_nodelay(true);
        let client = FleetClient::new(endpoint.connect_lazy());
        let client = client
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let (agree, waiting) = mpsc::channel(MAX_QUEUED_MESSAGES);
        tokio::spawn(pass_on(client.clone(), waiting));
        Ok(VoterConnection { client, agree })
    }

    /// A message of the agreement library, in its order after those before it; dropped where too many wait.
    pub fn agree(&self, word: Envelope) {
        let _ = self.agree.try_send(word);
    }

    pub async fn heartbeat(&self, word: Envelope, within: Ms) -> Result<Envelope, Status> {
        let mut client = self.client.clone();
        answered(timeout(span(within), client.beat(word)).await)
    }

    pub async fn request_join(&self, word: Envelope, within: Ms) -> Result<Envelope, Status> {
        let mut client = self.client.clone();
        answered(timeout(span(within), client.knock(word)).await)
    }

    pub async fn ask(&self, word: Envelope, within: Ms) -> Result<Envelope, Status> {
        let mut client = self.client.clone();
        answered(timeout(span(within), client.ask(word)).await)
    }
}

type Timed = Result<Result<tonic::Response<Envelope>, Status>, tokio::time::error::Elapsed>;

fn answered(how: Timed) -> Result<Envelope, Status> {
    let how = how.map_err(|_| Status::new(Code::DeadlineExceeded, "no answer in time"))?;
    how.map(tonic::Response::into_inner)
}

/// In their order, and without waiting for the answer to one before the next: a way that takes long carries as many.
async fn pass_on(client: FleetClient<Channel>, mut waiting: mpsc::Receiver<Envelope>) {
    let under_way = Arc::new(Semaphore::new(MAX_MESSAGES_IN_FLIGHT));
    while let Some(word) = waiting.recv().await {
        // A peer that takes nothing is sent nothing more: the library says it anew.
        let Ok(place) = under_way.clone().try_acquire_owned() else {
            continue;
        };
        let mut client = client.clone();
        tokio::spawn(async move {
            let _ = timeout(span(RAFT_MESSAGE_TIMEOUT), client.agree(word)).await;
            drop(place);
        });
    }
}
