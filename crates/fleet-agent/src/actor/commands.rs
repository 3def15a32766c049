//! What operators ask: handed to the leader, decided here where this voter is it.

use super::{Actor, PendingCommand};
use crate::fault_injection::taken_out;
use crate::message::{AgentMessage, CommandResponse, FleetCommand, LeaderHint};
use crate::outcome::{outcome, Outcome};
use crate::prepared::random_number;
use crate::status;
use ironstair::Ms;
use ironstair_coordination::leader::{Command, Refusal};
use ironstair_coordination::record::ChangeProposal;
use ironstair_management::fleet_channel::{Responder, Wanted};
use ironstair_management::Refused;
use serde_json::Value as Json;
use tokio::sync::oneshot;

/// Asks that may wait for their outcome here.
const MAX_PENDING_COMMANDS: usize = 64;
/// How long an operator waits for what becomes of a change, in leases and at least.
const OUTCOME_TIMEOUT_LEASES: f64 = 5.0;
const MIN_OUTCOME_TIMEOUT: Ms = 15_000.0;

impl Actor {
    pub(super) fn handle_manager_request(&mut self, wanted: Wanted) {
        let now = self.clock.now();
        let fail = |answer: Responder, why: &str| {
            drop(answer.send(Err(Refused::Fleet(why.into()))));
        };
        match wanted {
            Wanted::Change {
                who,
                what,
                document,
                base_revision,
                commit,
                answer,
            } => {
                let commit = commit.filter(|_| !taken_out("trial"));
                let when = now;
                let proposal = ChangeProposal {
                    token: random_number(),
                    who,
                    when,
                    what,
                    base_revision,
                    document,
                    commit,
                };
                self.forward_command(Command::Change(proposal), answer);
            }
            Wanted::Confirm { id, answer } => self.forward_command(Command::Confirm { id }, answer),
            Wanted::Cancel { id, who, answer } => {
                self.forward_command(Command::Cancel { id: Some(id), who }, answer)
            }
            Wanted::Show(answer) => {
                let (search, own) = (self.leader_search(), self.sender.clone());
                tokio::spawn(async move {
                    let _ = answer.send(
                        match search
                            .send_command(own, FleetCommand::Show, MIN_OUTCOME_TIMEOUT / 3.0)
                            .await
                        {
                            CommandResponse::Shown(json) => Ok(json),
                            CommandResponse::Refused(why) => Err(Refused::Fleet(why)),
                            _ => Err(Refused::Fleet("no chair".into())),
                        },
                    );
                });
            }
            Wanted::Anew {
                document,
                who,
                answer,
            } => self.start_disaster_recovery(document, who, answer),
            Wanted::Begin { document, answer } => {
                let first = self.config.voters.keys().next();
                let Some(k) = &self.voter else {
                    return fail(answer, "only a keeper begins a history");
                };
                if first != Some(&self.config.name) {
                    // In one place alone, so that no two can begin.
                    let why = format!(
                        "a history is begun at the keeper {}",
                        first.map_or("", |f| f)
                    );
                    return fail(answer, &why);
                }
                if !k.replica.is_blank() || k.storage.is_none() {
                    return fail(answer, "the fleet has a history");
                }
                let (connections, own, sender) = (
                    self.connections.clone(),
                    self.identity.clone(),
                    self.sender.clone(),
                );
                tokio::spawn(async move {
                    let mut how = Ok(());
                    for (name, way) in connections {
                        let known = way
                            .request_join(own.envelope(b"0".to_vec()), MIN_OUTCOME_TIMEOUT / 3.0)
                            .await;
                        how = how.and(match known.as_ref().map(|w| serde_json::from_slice::<u64>(&w.body)) {
                            Ok(Ok(0)) => Ok(()),
                            Ok(Ok(_)) => Err(format!(
                                "{name} knows of a history: this keeper's disk is lost, not the fleet's"
                            )),
                            Ok(Err(e)) => Err(format!("{name}: {e}")),
                            Err(e) => Err(format!("{name} must answer, and does not: {}", e.message())),
                        });
                    }
                    let _ = sender
                        .send(AgentMessage::BootstrapChecked(how, document, answer))
                        .await;
                });
            }
        }
    }

    /// Finds the leader for what an operator asks, and hands on the outcome.
    pub(super) fn forward_command(&mut self, ask: Command<Json>, answer: Responder) {
        let (search, own) = (self.leader_search(), self.sender.clone());
        let within = self.outcome_timeout() + MIN_OUTCOME_TIMEOUT / 3.0;
        tokio::spawn(async move {
            let apply_heartbeat_response = search
                .send_command(own, FleetCommand::Command(ask), within)
                .await;
            let _ = answer.send(match apply_heartbeat_response {
                CommandResponse::Done(number) => Ok(number),
                CommandResponse::Refused(why) => Err(Refused::Fleet(why)),
                _ => Err(Refused::Fleet("no chair".into())),
            });
        });
    }

    pub(super) fn outcome_timeout(&self) -> Ms {
        (OUTCOME_TIMEOUT_LEASES * self.config.lease).max(MIN_OUTCOME_TIMEOUT)
    }

    /// At this voter: an ask is handed to the leader, and answered once it is known what became of it.
    pub(super) fn handle_command(
        &mut self,
        asked: FleetCommand,
        to: oneshot::Sender<CommandResponse>,
    ) {
        let now = self.clock.now();
        let elsewhere = CommandResponse::NotLeader(LeaderHint {
            leader: self.leader(),
        });
        let Some(k) = &mut self.voter else {
            return drop(to.send(elsewhere));
        };
        let Some(leader) = k.replica.leader() else {
            return drop(to.send(elsewhere));
        };
        let ask = match asked {
            FleetCommand::Command(ask) => ask,
            FleetCommand::Show => {
                let shown = status::fleet(now, &self.config.name, &k.replica, leader);
                return drop(to.send(CommandResponse::Shown(shown)));
            }
        };
        if self.pending_commands.len() >= MAX_PENDING_COMMANDS {
            return drop(to.send(CommandResponse::Refused(Refusal::Busy.to_string())));
        }
        let ask = match ask {
            Command::Change(proposal) if taken_out("upon") => Command::Change(ChangeProposal {
                base_revision: k.replica.state().fleet.mark,
                ..proposal
            }),
            ask => ask,
        };
        // One that comes again by another way stands in the log already.
        if matches!(outcome(&k.replica.state().fleet, &ask), Outcome::Unknown) {
            match k.replica.ask(now, ask.clone()) {
                Ok(outs) => self.execute(outs),
                Err(why) => return drop(to.send(CommandResponse::Refused(why.to_string()))),
            }
        }
        let until = now + self.outcome_timeout();
        self.pending_commands.push(PendingCommand {
            command: ask,
            deadline: until,
            response: to,
        });
    }

    pub(super) fn answer_pending_commands(&mut self) {
        if self.pending_commands.is_empty() {
            return;
        }
        let now = self.clock.now();
        let leader = self.leader();
        let mut again = Vec::new();
        for p in std::mem::take(&mut self.pending_commands) {
            let found = self
                .voter
                .as_ref()
                .and_then(|k| Some((k, k.replica.leader()?)));
            let Some((k, sits)) = found else {
                let _ = p.response.send(CommandResponse::NotLeader(LeaderHint {
                    leader: leader.clone(),
                }));
                continue;
            };
            let fleet = &k.replica.state().fleet;
            let apply_heartbeat_response = match outcome(fleet, &p.command) {
                // Who hears that it is done finds it done wherever he looks next.
                Outcome::Final(CommandResponse::Done(_))
                    if now < p.deadline && !sits.all_hold(now, fleet) =>
                {
                    None
                }
                Outcome::Final(apply_heartbeat_response) => Some(apply_heartbeat_response),
                Outcome::Unknown if !sits.waits(&p.command) => {
                    again.push(p);
                    continue;
                }
                _ if now >= p.deadline => {
                    let names = status::waits_for(now, fleet, sits).join(", ");
                    let why = format!(
                        "it is not done yet, and waits for {names}: it goes on, and can be cancelled"
                    );
                    Some(CommandResponse::Refused(why))
                }
                _ => None,
            };
            match apply_heartbeat_response {
                Some(apply_heartbeat_response) => drop(p.response.send(apply_heartbeat_response)),
                None => self.pending_commands.push(p),
            }
        }
        // Passed over when its turn came, since something else had come before it.
        for p in again {
            let Some(k) = &mut self.voter else { return };
            match k.replica.ask(now, p.command.clone()) {
                Ok(outs) => {
                    self.execute(outs);
                    self.pending_commands.push(p);
                }
                Err(why) => drop(p.response.send(CommandResponse::Refused(why.to_string()))),
            }
        }
    }
}
