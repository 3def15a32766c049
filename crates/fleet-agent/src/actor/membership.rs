//! Which voters there are, and which history they know.

use super::Actor;
use crate::message::AgentMessage;
use ironstair::Ms;
use ironstair_coordination::history::supersedes;

/// A voter without a history asks to be let in this often.
const JOIN_REQUEST_INTERVAL: Ms = 500.0;
/// Each voter asks the others so often which history they know.
const COMPARE_EVERY: Ms = 2000.0;

impl Actor {
    pub(super) fn hear_of(&mut self, history: u64) {
        if self.latest == 0 || supersedes(history, self.latest) {
            self.latest = history;
        }
    }

    pub(super) fn leader(&self) -> Option<String> {
        match &self.kept {
            Some(k) => k.replica.leader_name().map(String::from),
            None => self.speaks_to.clone(),
        }
    }

    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        let Some(k) = &mut self.kept else { return };
        let outs = k.replica.tick(now);
        let knock = k.replica.knock().filter(|_| now >= k.join_request_due);
        if let Some((_, number)) = knock {
            k.join_request_due = now + JOIN_REQUEST_INTERVAL;
            for way in self.ways.values() {
                let (way, word) = (way.clone(), self.own.word(number.to_string().into_bytes()));
                tokio::spawn(
                    async move { drop(way.knock(word, JOIN_REQUEST_INTERVAL * 0.8).await) },
                );
            }
        }
        if now >= k.compare_at {
            k.compare_at = now + COMPARE_EVERY;
            for way in self.ways.values() {
                let (way, word, post) =
                    (way.clone(), self.own.word(b"0".to_vec()), self.post.clone());
                tokio::spawn(async move {
                    let known = way.knock(word, COMPARE_EVERY).await;
                    if let Some(Ok(history)) = known.ok().map(|w| serde_json::from_slice(&w.body)) {
                        let _ = post.send(AgentMessage::Heard(history)).await;
                    }
                });
            }
        }
        self.carry(outs);
    }
}
