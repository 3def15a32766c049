//! What operators ask: handed to the leader, decided here where this voter is it.

use super::{Actor, Pending};
use crate::fault_injection::taken_out;
use crate::message::{AgentMessage, CommandResponse, FleetCommand, Hint};
use crate::outcome::{outcome, Outcome};
use crate::prepared::drawn;
use crate::status;
use ironstair::Ms;
use ironstair_coordination::leader::{Command, Refusal};
use ironstair_coordination::record::ChangeProposal;
use ironstair_management::fleet_channel::{Responder, Wanted};
use ironstair_management::Refused;
use serde_json::Value as Json;
use tokio::sync::oneshot;

/// Asks that may wait for their outcome here.
const ASKS_MOST: usize = 64;
/// How long an operator waits for what becomes of a change, in leases and at least.
const OUTCOME_LEASES: f64 = 5.0;
const OUTCOME_LEAST: Ms = 15_000.0;

impl Actor {
    pub(super) fn want(&mut self, wanted: Wanted) {
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
                    token: drawn(),
                    who,
                    when,
                    what,
                    base_revision,
                    document,
                    commit,
                };
                self.ask(Command::Change(proposal), answer);
            }
            Wanted::Confirm { id, answer } => self.ask(Command::Confirm { id }, answer),
            Wanted::Cancel { id, who, answer } => {
                self.ask(Command::Cancel { id: Some(id), who }, answer)
            }
            Wanted::Show(answer) => {
                let (search, own) = (self.search(), self.post.clone());
                tokio::spawn(async move {
                    let _ = answer.send(
                        match search
                            .ask(own, FleetCommand::Show, OUTCOME_LEAST / 3.0)
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
            } => self.look_before_anew(document, who, answer),
            Wanted::Begin { document, answer } => {
                let first = self.config.voters.keys().next();
                let Some(k) = &self.kept else {
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
                let (ways, own, post) = (self.ways.clone(), self.own.clone(), self.post.clone());
                tokio::spawn(async move {
                    let mut how = Ok(());
                    for (name, way) in ways {
                        let known = way
                            .knock(own.word(b"0".to_vec()), OUTCOME_LEAST / 3.0)
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
                    let _ = post.send(AgentMessage::Known(how, document, answer)).await;
                });
            }
        }
    }

    /// Finds the leader for what an operator asks, and hands on the outcome.
    pub(super) fn ask(&mut self, ask: Command<Json>, answer: Responder) {
        let (search, own) = (self.search(), self.post.clone());
        let within = self.outcome_within() + OUTCOME_LEAST / 3.0;
        tokio::spawn(async move {
            let told = search.ask(own, FleetCommand::Command(ask), within).await;
            let _ = answer.send(match told {
                CommandResponse::Done(number) => Ok(number),
                CommandResponse::Refused(why) => Err(Refused::Fleet(why)),
                _ => Err(Refused::Fleet("no chair".into())),
            });
        });
    }

    pub(super) fn outcome_within(&self) -> Ms {
        (OUTCOME_LEASES * self.config.lease).max(OUTCOME_LEAST)
    }

    /// At this voter: an ask is handed to the leader, and answered once it is known what became of it.
    pub(super) fn asked(&mut self, asked: FleetCommand, to: oneshot::Sender<CommandResponse>) {
        let now = self.clock.now();
        let elsewhere = CommandResponse::Elsewhere(Hint {
            leader: self.leader(),
        });
        let Some(k) = &mut self.kept else {
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
        if self.pending.len() >= ASKS_MOST {
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
                Ok(outs) => self.carry(outs),
                Err(why) => return drop(to.send(CommandResponse::Refused(why.to_string()))),
            }
        }
        let until = now + self.outcome_within();
        self.pending.push(Pending {
            ask,
            until,
            answer: to,
        });
    }

    pub(super) fn answer_the_pending(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let now = self.clock.now();
        let leader = self.leader();
        let mut again = Vec::new();
        for p in std::mem::take(&mut self.pending) {
            let found = self
                .kept
                .as_ref()
                .and_then(|k| Some((k, k.replica.leader()?)));
            let Some((k, sits)) = found else {
                let _ = p.answer.send(CommandResponse::Elsewhere(Hint {
                    leader: leader.clone(),
                }));
                continue;
            };
            let fleet = &k.replica.state().fleet;
            let told = match outcome(fleet, &p.ask) {
                // Who hears that it is done finds it done wherever he looks next.
                Outcome::Known(CommandResponse::Done(_))
                    if now < p.until && !sits.all_hold(now, fleet) =>
                {
                    None
                }
                Outcome::Known(told) => Some(told),
                Outcome::Unknown if !sits.waits(&p.ask) => {
                    again.push(p);
                    continue;
                }
                _ if now >= p.until => {
                    let names = status::waits_for(now, fleet, sits).join(", ");
                    let why = format!(
                        "it is not done yet, and waits for {names}: it goes on, and can be cancelled"
                    );
                    Some(CommandResponse::Refused(why))
                }
                _ => None,
            };
            match told {
                Some(told) => drop(p.answer.send(told)),
                None => self.pending.push(p),
            }
        }
        // Passed over when its turn came, since something else had come before it.
        for p in again {
            let Some(k) = &mut self.kept else { return };
            match k.replica.ask(now, p.ask.clone()) {
                Ok(outs) => {
                    self.carry(outs);
                    self.pending.push(p);
                }
                Err(why) => drop(p.answer.send(CommandResponse::Refused(why.to_string()))),
            }
        }
    }
}
