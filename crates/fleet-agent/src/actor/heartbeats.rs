//! Heartbeats of this gateway to the leader, and those of others that this voter answers.

use super::{Actor, HeartbeatSource};
use crate::fault_injection::taken_out;
use crate::leader_search::LeaderSearch;
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
    pub(super) fn drive_member(&mut self, input: Input<Json>) {
        for action in self.member.on(self.clock.now(), input) {
            match action {
                Action::Heartbeat(heartbeat) => self.send_heartbeat(heartbeat),
                Action::Apply {
                    mark,
                    number,
                    document,
                } => {
                    let (management, sender) = (self.management.clone(), self.sender.clone());
                    tokio::spawn(async move {
                        let how = match taken_out("hold") {
                            true => Ok(()),
                            false => apply_policy(&management, mark, number, document).await,
                        };
                        let _ = sender.send(AgentMessage::PolicyApplied(mark, how)).await;
                    });
                }
                Action::Examine { number, document } => {
                    let (management, sender) = (self.management.clone(), self.sender.clone());
                    tokio::spawn(async move {
                        let how = match taken_out("examine") {
                            true => Ok(()),
                            false => {
                                check_readable(&document).and(management.examine(document).await)
                            }
                        };
                        let _ = sender
                            .send(AgentMessage::PolicyValidated(number, how))
                            .await;
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
                        .gateway_commands
                        .try_send(ManagementCommand::Lease(until, share))
                    {
                        let requests = self.gateway_commands.clone();
                        tokio::spawn(async move { drop(requests.send(full.into_inner()).await) });
                    }
                }
                Action::Say(what) => warn!(self.log, "of the fleet"; "why" => what),
            }
        }
    }

    pub(super) fn apply_heartbeat_response(&mut self, answer: HeartbeatResponse<Json>) {
        self.drive_member(Input::Answered(answer));
        if let Some(done) = self.leave_response.take() {
            let _ = done.send(());
        }
    }

    /// The gateway's own heartbeat goes to the leader: here, or by the way to it.
    pub(super) fn send_heartbeat(&mut self, mut heartbeat: Heartbeat) {
        heartbeat.steady &= !taken_out("says-steady");
        let here = self
            .voter
            .as_ref()
            .is_some_and(|k| k.replica.leader_name() == Some(&self.config.name));
        if here {
            return self.submit_heartbeat(heartbeat, HeartbeatSource::Local);
        }
        // One search at a time: while no voter is the leader, hundreds of members would ask for it together.
        if self.heartbeats_in_flight
            >= if self.leader().is_some() {
                MAX_HEARTBEATS_IN_FLIGHT
            } else {
                1
            }
        {
            return;
        }
        self.heartbeats_in_flight += 1;
        let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
        let (search, sender) = (self.leader_search(), self.sender.clone());
        let word = self.identity.envelope(body);
        tokio::spawn(async move {
            let found = search.send_heartbeat(word).await;
            let _ = sender.send(AgentMessage::HeartbeatAnswered(found)).await;
        });
    }

    pub(super) fn leader_search(&self) -> LeaderSearch {
        let first = self.leader().filter(|c| self.connections.contains_key(c));
        LeaderSearch {
            identity: self.identity.clone(),
            connections: self.connections.clone(),
            last_leader: first,
            clock: self.clock,
            lease: self.config.lease,
        }
    }

    /// A heartbeat at this voter.
    pub(super) fn submit_heartbeat(&mut self, heartbeat: Heartbeat, waits: HeartbeatSource) {
        let Some(k) = &mut self.voter else { return };
        self.last_token += 1;
        self.pending_heartbeats.insert(self.last_token, waits);
        let outs = k
            .replica
            .heartbeat(self.clock.now(), self.last_token, heartbeat);
        self.execute(outs);
    }
}

/// Against a version that knows less than what it is handed: the member says so, and nothing is taken over.
async fn apply_policy(
    management: &ManagementHandle,
    mark: u64,
    number: u64,
    document: Json,
) -> Result<(), String> {
    check_readable(&document)?;
    management.hold(mark, number, document).await
}

/// An older version is played by one that can't read a field.
fn check_readable(document: &Json) -> Result<(), String> {
    let knows = !taken_out("advice") || document["advice"].as_u64().unwrap_or(0) == 0;
    knows
        .then_some(())
        .ok_or("this version can't read it: unknown field `advice`".into())
}
