//! A fleet's first history, and one begun anew after most voters' disks were lost.

use super::Actor;
use crate::message::{AgentMessage, CommandResponse, FleetCommand, RecoveryRequest};
use crate::prepared::random_number;
use ironstair_coordination::history::{anew, first};
use ironstair_coordination::{grace, RevisionState, RevisionSummary};
use ironstair_management::fleet_channel::Responder;
use ironstair_management::Refused;
use ironstair_raft_replica::Replica;
use ironstair_runtime::clock::span;
use serde_json::Value as Json;
use slog::warn;
use tokio::time::sleep;

impl Actor {
    pub(super) fn finish_bootstrap(
        &mut self,
        how: Result<(), String>,
        document: Json,
        answer: Responder,
    ) {
        let made = how.and_then(|()| {
            let Some(k) = self.voter.as_mut().filter(|k| k.replica.is_blank()) else {
                return Err("the fleet has a history".into());
            };
            let mut storage = k.storage.take().ok_or("the disk is being written")?;
            // Under the number that it has given to others already.
            let image = Replica::begin(
                &self.config.name,
                storage.image().id,
                first(random_number()),
                document,
                None,
            )?;
            let begun = storage.begin(image);
            self.voter = None;
            self.open_voter(storage).and(begun)
        });
        let _ = answer.send(made.map(|()| 0).map_err(Refused::Fleet));
    }

    /// After most voters' disks were lost for good, with what is left here; not while a leader answers.
    pub(super) fn start_disaster_recovery(
        &mut self,
        document: Json,
        who: String,
        answer: Responder,
    ) {
        if self.voter.is_none() {
            let why = "only a keeper begins a history anew".into();
            return drop(answer.send(Err(Refused::Fleet(why))));
        }
        let (lease, connections, own, sender) = (
            self.config.lease,
            self.connections.clone(),
            self.identity.clone(),
            self.sender.clone(),
        );
        // Twice, and between them the longest lease that a leader which ended just now can have left.
        let searches = [
            (self.leader_search(), grace(lease)),
            (self.leader_search(), 0.0),
        ];
        tokio::spawn(async move {
            let mut how = Ok(Vec::new());
            for (search, then) in searches {
                if let CommandResponse::Shown(shown) = search
                    .send_command(sender.clone(), FleetCommand::Show, lease)
                    .await
                {
                    let leader = shown["chair"].as_str().unwrap_or("one").to_string();
                    how = Err(format!(
                        "{leader} is the chair: the fleet's history is not lost"
                    ));
                    break;
                }
                sleep(span(then)).await;
            }
            if let Ok(known) = &mut how {
                for way in connections.values() {
                    let apply_heartbeat_response =
                        way.request_join(own.envelope(b"0".to_vec()), lease).await;
                    known.extend(
                        apply_heartbeat_response
                            .ok()
                            .and_then(|w| serde_json::from_slice::<u64>(&w.body).ok()),
                    );
                }
            }
            let _ = sender
                .send(AgentMessage::RecoveryChecked(
                    how,
                    RecoveryRequest {
                        document,
                        who,
                        answer,
                    },
                ))
                .await;
        });
    }

    pub(super) fn finish_disaster_recovery(
        &mut self,
        how: Result<Vec<u64>, String>,
        RecoveryRequest {
            document,
            who,
            answer,
        }: RecoveryRequest,
    ) {
        let made = how.and_then(|mut known| {
            let k = self.voter.as_mut().ok_or("this gateway is no keeper any more")?;
            if k.replica.leader().is_some() {
                return Err("this keeper is the chair: the fleet's history is not lost".into());
            }
            let left = &k.replica.state().fleet;
            let remembered = self.member.held().0;
            let silent = self.connections.len() - known.len().min(self.connections.len());
            known.extend([left.history, remembered, self.latest_generation]);
            let history = anew(known.iter().copied(), random_number())?;
            let (document, with) = match &left.running {
                Some((number, running)) => (running.clone(), format!("revision {number}")),
                None => (document, "what this gateway was told at start".to_string()),
            };
            let lost = known.iter().copied().max().unwrap_or(0);
            let what = format!(
                "begun anew after history {lost:016x} with {with}: what was decided after that is lost; {silent} keepers did not answer"
            );
            let (who, when, state) = (who, self.clock.now(), RevisionState::Running);
            let (number, token, commit, refused) = (0, 0, None, None);
            let said = (who.clone(), what.clone());
            let line = RevisionSummary { number, token, who, when, what, state, commit, refused };
            let id = random_number();
            let image = Replica::begin(&self.config.name, id, history, document, Some(line))?;
            let mut storage = k.storage.take().ok_or("the disk is being written")?;
            let begun = storage.quarantined(id).and_then(|_| storage.begin(image));
            self.voter = None;
            self.open_voter(storage).and(begun)?;
            warn!(self.log, "the fleet's history begins anew"; "who" => said.0, "what" => said.1,
                "history" => format!("{history:016x}"));
            Ok(0)
        });
        let _ = answer.send(made.map_err(Refused::Fleet));
    }
}
