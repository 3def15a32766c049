//! Which voters there are, and which history they know.

use super::Actor;
use crate::message::AgentMessage;
use ironstair::Ms;
use ironstair_coordination::history::supersedes;

/// A voter without a history asks to be let in this often.
const JOIN_REQUEST_INTERVAL: Ms = 500.0;
/// Each voter asks the others so often which history they know.
const GENERATION_CHECK_INTERVAL: Ms = 2000.0;

impl Actor {
    pub(super) fn note_generation(&mut self, history: u64) {
        if self.latest_generation == 0 || supersedes(history, self.latest_generation) {
            self.latest_generation = history;
        }
    }

    pub(super) fn leader(&self) -> Option<String> {
        match &self.voter {
            Some(k) => k.replica.leader_name().map(String::from),
            None => self.last_responder.clone(),
        }
    }

    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        let Some(k) = &mut self.voter else { return };
        let outs = k.replica.tick(now);
        let knock = k.replica.knock().filter(|_| now >= k.join_request_due);
        if let Some((_, number)) = knock {
            k.join_request_due = now + JOIN_REQUEST_INTERVAL;
            for way in self.connections.values() {
                let (way, word) = (
                    way.clone(),
                    self.identity.envelope(number.to_string().into_bytes()),
                );
                tokio::spawn(async move {
                    drop(way.request_join(word, JOIN_REQUEST_INTERVAL * 0.8).await)
                });
            }
        }
        if now >= k.generation_check_due {
            k.generation_check_due = now + GENERATION_CHECK_INTERVAL;
            for way in self.connections.values() {
                let (way, word, sender) = (
                    way.clone(),
                    self.identity.envelope(b"0".to_vec()),
                    self.sender.clone(),
                );
                tokio::spawn(async move {
                    let known = way.request_join(word, GENERATION_CHECK_INTERVAL).await;
                    if let Some(Ok(history)) = known.ok().map(|w| serde_json::from_slice(&w.body)) {
                        let _ = sender.send(AgentMessage::GenerationHeard(history)).await;
                    }
                });
            }
        }
        self.execute(outs);
    }
}
