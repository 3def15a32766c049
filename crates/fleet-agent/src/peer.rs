//! The way to one voter: words go there by a connection that is made anew when it fails, and what can't go in its
//! time is dropped, since whoever speaks says it again. Nobody waits for a peer but the task that speaks to it.

use crate::proto::fleet_client::FleetClient;
use crate::proto::Word;
use ironstair::Ms;
use ironstair_runtime::clock::span;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

/// Messages of the agreement library that may wait for a voter, that may be under way to it, and for how long.
const WAITING: usize = 128;
const UNDER_WAY: usize = 32;
const AGREE_WITHIN: Ms = 2000.0;
const CONNECT_WITHIN: Ms = 500.0;
/// A connection on which no ping comes back for so long is a broken one.
const PING_EVERY: Ms = 1000.0;
const PING_WITHIN: Ms = 1000.0;
/// Of one word: a whole log's state with hundreds of members is below a megabyte.
pub const WORD_MOST: usize = 8 << 20;

#[derive(Clone)]
pub struct Way {
    client: FleetClient<Channel>,
    agree: mpsc::Sender<Word>,
}

impl Way {
    /// Must be called on the runtime that serves it.
    ///
    /// # Errors
    /// The address can't be one.
    pub fn to(at: SocketAddr) -> Result<Way, String> {
        let endpoint = Endpoint::from_shared(format!("http://{at}")).map_err(|e| e.to_string())?;
        let endpoint = endpoint
            .connect_timeout(span(CONNECT_WITHIN))
            .http2_keep_alive_interval(span(PING_EVERY))
            .keep_alive_timeout(span(PING_WITHIN))
            .tcp_nodelay(true);
        let client = FleetClient::new(endpoint.connect_lazy());
        let client = client
            .max_decoding_message_size(WORD_MOST)
            .max_encoding_message_size(WORD_MOST);
        let (agree, waiting) = mpsc::channel(WAITING);
        tokio::spawn(pass_on(client.clone(), waiting));
        Ok(Way { client, agree })
    }

    /// A message of the agreement library, in its order after those before it; dropped where too many wait.
    pub fn agree(&self, word: Word) {
        let _ = self.agree.try_send(word);
    }

    pub async fn heartbeat(&self, word: Word, within: Ms) -> Result<Word, Status> {
        let mut client = self.client.clone();
        answered(timeout(span(within), client.beat(word)).await)
    }

    pub async fn knock(&self, word: Word, within: Ms) -> Result<Word, Status> {
        let mut client = self.client.clone();
        answered(timeout(span(within), client.knock(word)).await)
    }

    pub async fn ask(&self, word: Word, within: Ms) -> Result<Word, Status> {
        let mut client = self.client.clone();
        answered(timeout(span(within), client.ask(word)).await)
    }
}

type Timed = Result<Result<tonic::Response<Word>, Status>, tokio::time::error::Elapsed>;

fn answered(how: Timed) -> Result<Word, Status> {
    let how = how.map_err(|_| Status::new(Code::DeadlineExceeded, "no answer in time"))?;
    how.map(tonic::Response::into_inner)
}

/// In their order, and without waiting for the answer to one before the next: a way that takes long carries as many.
async fn pass_on(client: FleetClient<Channel>, mut waiting: mpsc::Receiver<Word>) {
    let under_way = Arc::new(Semaphore::new(UNDER_WAY));
    while let Some(word) = waiting.recv().await {
        // A peer that takes nothing is sent nothing more: the library says it anew.
        let Ok(place) = under_way.clone().try_acquire_owned() else {
            continue;
        };
        let mut client = client.clone();
        tokio::spawn(async move {
            let _ = timeout(span(AGREE_WITHIN), client.agree(word)).await;
            drop(place);
        });
    }
}
