//! Heartbeats of this gateway to the leader, and those of others that this voter answers.

use super::{Actor, Waits};
use crate::fault_injection::taken_out;
use crate::leader_search::Search;
use crate::message::AgentMessage;
use ironstair::Ms;
use ironstair_coordination::member::{Action, Input};
use ironstair_coordination::{Heartbeat, HeartbeatResponse};
use ironstair_management::ManagementHandle;
use ironstair_runtime::window::ManagementCommand;
use serde_json::Value as Json;
use slog::warn;

/// Heartbeats of this gateway that may be under way, and asks that may wait for their outcome here.
const MAX_HEARTBEATS_IN_FLIGHT: usize = 4;

impl Actor {
    /// Hands one input to the member, and carries out what it wants.
    pub(super) fn act(&mut self, input: Input<Json>) {
        for action in self.member.on(self.clock.now(), input) {
            match action {
                Action::Heartbeat(heartbeat) => self.send(heartbeat),
                Action::Apply {
                    mark,
                    number,
                    document,
                } => {
                    let (management, post) = (self.management.clone(), self.post.clone());
                    tokio::spawn(async move {
                        let how = match taken_out("hold") {
                            true => Ok(()),
                            false => hold(&management, mark, number, document).await,
                        };
                        let _ = post.send(AgentMessage::Held(mark, how)).await;
                    });
                }
                Action::Examine { number, document } => {
                    let (management, post) = (self.management.clone(), self.post.clone());
                    tokio::spawn(async move {
                        let how = match taken_out("examine") {
                            true => Ok(()),
                            false => readable(&document).and(management.examine(document).await),
                        };
                        let _ = post.send(AgentMessage::Examined(number, how)).await;
                    });
                }
                Action::Hold(until, share) => {
                    let until = if taken_out("tenure") {
                        Ms::INFINITY
                    } else {
                        until
                    };
                    // Against a mailbox that is full just then: a steady one is told once, and for good.
                    let share = Some(share).filter(|_| self.config.counts);
                    if let Err(full) = self
                        .requests
                        .try_send(ManagementCommand::Lease(until, share))
                    {
                        let requests = self.requests.clone();
                        tokio::spawn(async move { drop(requests.send(full.into_inner()).await) });
                    }
                }
                Action::Say(what) => warn!(self.log, "of the fleet"; "why" => what),
            }
        }
    }

    pub(super) fn told(&mut self, answer: HeartbeatResponse<Json>) {
        self.act(Input::Answered(answer));
        if let Some(done) = self.leaving.take() {
            let _ = done.send(());
        }
    }

    /// The gateway's own heartbeat goes to the leader: here, or by the way to it.
    pub(super) fn send(&mut self, mut heartbeat: Heartbeat) {
        heartbeat.steady &= !taken_out("says-steady");
        let here = self
            .kept
            .as_ref()
            .is_some_and(|k| k.replica.leader_name() == Some(&self.config.name));
        if here {
            return self.heartbeat(heartbeat, Waits::Own);
        }
        // One search at a time: while no voter is the leader, hundreds of members would ask for it together.
        if self.heartbeats
            >= if self.leader().is_some() {
                MAX_HEARTBEATS_IN_FLIGHT
            } else {
                1
            }
        {
            return;
        }
        self.heartbeats += 1;
        let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
        let (search, post) = (self.search(), self.post.clone());
        let word = self.own.word(body);
        tokio::spawn(async move {
            let found = search.heartbeat(word).await;
            let _ = post.send(AgentMessage::Answered(found)).await;
        });
    }

    pub(super) fn search(&self) -> Search {
        let first = self.leader().filter(|c| self.ways.contains_key(c));
        Search {
            own: self.own.clone(),
            ways: self.ways.clone(),
            first,
            clock: self.clock,
            lease: self.config.lease,
        }
    }

    /// A heartbeat at this voter.
    pub(super) fn heartbeat(&mut self, heartbeat: Heartbeat, waits: Waits) {
        let Some(k) = &mut self.kept else { return };
        self.tokens += 1;
        self.answers.insert(self.tokens, waits);
        let outs = k
            .replica
            .heartbeat(self.clock.now(), self.tokens, heartbeat);
        self.carry(outs);
    }
}

/// Against a version that knows less than what it is handed: the member says so, and nothing is taken over.
async fn hold(
    management: &ManagementHandle,
    mark: u64,
    number: u64,
    document: Json,
) -> Result<(), String> {
    readable(&document)?;
    management.hold(mark, number, document).await
}

/// An older version is played by one that can't read a field.
fn readable(document: &Json) -> Result<(), String> {
    let knows = !taken_out("advice") || document["advice"].as_u64().unwrap_or(0) == 0;
    knows
        .then_some(())
        .ok_or("this version can't read it: unknown field `advice`".into())
}
