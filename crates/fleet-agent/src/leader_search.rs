//! The search for the leader, by the ways to the voters.

use crate::message::{AgentMessage, CommandResponse, FleetCommand, LeaderHint};
use crate::peer::VoterConnection;
use crate::proto::Envelope;
use crate::server::Identity;
use ironstair::Ms;
use ironstair_coordination::HeartbeatResponse;
use ironstair_runtime::clock::{span, Clock};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tonic::Code;

/// While no leader is known each voter is asked so often in a lease.
const SEARCHES_PER_LEASE: f64 = 10.0;
/// Between two tries to find the leader for what an operator asks.
const SEARCH_RETRY_DELAY: Ms = 50.0;

/// One search for the leader, by the ways to the voters.
pub(crate) struct LeaderSearch {
    pub(crate) identity: Identity,
    pub(crate) connections: BTreeMap<String, VoterConnection>,
    pub(crate) last_leader: Option<String>,
    pub(crate) clock: Clock,
    pub(crate) lease: Ms,
}

impl LeaderSearch {
    /// Who comes after whom, where nobody is named.
    fn next_after(&self, after: Option<&String>) -> Option<String> {
        let later = after.and_then(|a| self.connections.keys().find(|k| *k > a));
        later.or(self.connections.keys().next()).cloned()
    }

    /// The last leader alone first; then all voters, each asked anew once it has said that it is not the leader. Nobody
    /// is given up for being slow: what comes within the lease counts.
    pub(crate) async fn send_heartbeat(
        self,
        word: Envelope,
    ) -> Result<(String, HeartbeatResponse<Json>), String> {
        let (lease, until) = (self.lease, self.clock.now() + self.lease);
        let mut why = "there is no chair".to_string();
        let ask = |to: &String, within: Ms, after: Ms| {
            let (way, to, word) = (self.connections[to].clone(), to.clone(), word.clone());
            async move {
                sleep(span(after)).await;
                (to, way.heartbeat(word, within).await)
            }
        };
        let mut asked = JoinSet::new();
        match &self.last_leader {
            Some(first) => drop(asked.spawn(ask(first, lease / 2.0, 0.0))),
            None => self
                .connections
                .keys()
                .for_each(|to| drop(asked.spawn(ask(to, lease, 0.0)))),
        }
        while let Some(Ok((to, said))) = asked.join_next().await {
            // A sentence of the other side's is worth more than that nobody is there.
            if let Some(e) = said
                .as_ref()
                .err()
                .filter(|e| e.code() == Code::FailedPrecondition)
            {
                why = e.message().to_string();
            }
            let read = said.ok().map(|w| {
                serde_json::from_slice::<Result<HeartbeatResponse<Json>, LeaderHint>>(&w.body)
            });
            if let Some(Ok(Ok(answer))) = read {
                return Ok((to, answer));
            }
            let left = until - self.clock.now();
            if left <= 0.0 {
                break;
            }
            if asked.is_empty() && self.last_leader.as_ref() == Some(&to) {
                self.connections
                    .keys()
                    .for_each(|to| drop(asked.spawn(ask(to, left, 0.0))));
            } else {
                asked.spawn(ask(&to, left, lease / SEARCHES_PER_LEASE));
            }
        }
        Err(why)
    }

    /// Here first: this voter may be the leader.
    pub(crate) async fn send_command(
        self,
        here: mpsc::Sender<AgentMessage>,
        asked: FleetCommand,
        within: Ms,
    ) -> CommandResponse {
        let until = self.clock.now() + within;
        let body = serde_json::to_vec(&asked).unwrap_or_default();
        let mut to = self.last_leader.clone();
        let mut last = String::from("no keeper answers");
        while self.clock.now() < until {
            let (answer, told) = oneshot::channel();
            if here
                .send(AgentMessage::Command(asked.clone(), answer))
                .await
                .is_err()
            {
                break;
            }
            match told.await {
                Ok(CommandResponse::NotLeader(LeaderHint { leader })) => {
                    // Not over what was found since: this gateway may speak to one that is the leader no more.
                    to = to
                        .or(leader.filter(|c| self.connections.contains_key(c)))
                        .or_else(|| self.next_after(None));
                }
                Ok(told) => return told,
                Err(_) => {}
            }
            let Some(at) = to.clone() else { break };
            let left = until - self.clock.now();
            let said = self.connections[&at]
                .ask(self.identity.envelope(body.clone()), left)
                .await;
            let read = said.map(|w| serde_json::from_slice::<CommandResponse>(&w.body));
            to = match read {
                Ok(Ok(CommandResponse::NotLeader(LeaderHint { leader }))) => {
                    let other = leader.filter(|c| *c != at && self.connections.contains_key(c));
                    other.or_else(|| self.next_after(Some(&at)))
                }
                Ok(Ok(told)) => return told,
                Ok(Err(e)) => {
                    return CommandResponse::Refused(format!(
                        "{at} answers what can't be read: {e}"
                    ))
                }
                // The same ask may be said again: the log knows it by its token.
                Err(e) => {
                    last = format!("{at}: {}", e.message());
                    self.next_after(Some(&at))
                }
            };
            sleep(span(SEARCH_RETRY_DELAY)).await;
        }
        CommandResponse::Refused(format!(
            "the fleet has no chair that answers ({last}); what became of it, `ironstair fleet` shows"
        ))
    }
}
