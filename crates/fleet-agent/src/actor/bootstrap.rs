//! A fleet's first history, and one begun anew after most voters' disks were lost.

use super::Actor;
use crate::message::{AgentMessage, Anew, CommandResponse, FleetCommand};
use crate::prepared::drawn;
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
    pub(super) fn begin(&mut self, how: Result<(), String>, document: Json, answer: Responder) {
        let made = how.and_then(|()| {
            let Some(k) = self.kept.as_mut().filter(|k| k.replica.is_blank()) else {
                return Err("the fleet has a history".into());
            };
            let mut storage = k.storage.take().ok_or("the disk is being written")?;
            // Under the number that it has given to others already.
            let image = Replica::begin(
                &self.config.name,
                storage.image().id,
                first(drawn()),
                document,
                None,
            )?;
            let begun = storage.begin(image);
            self.kept = None;
            self.keep(storage).and(begun)
        });
        let _ = answer.send(made.map(|()| 0).map_err(Refused::Fleet));
    }

    /// After most voters' disks were lost for good, with what is left here; not while a leader answers.
    pub(super) fn look_before_anew(&mut self, document: Json, who: String, answer: Responder) {
        if self.kept.is_none() {
            let why = "only a keeper begins a history anew".into();
            return drop(answer.send(Err(Refused::Fleet(why))));
        }
        let (lease, ways, own, post) = (
            self.config.lease,
            self.ways.clone(),
            self.own.clone(),
            self.post.clone(),
        );
        // Twice, and between them the longest lease that a leader which ended just now can have left.
        let searches = [(self.search(), grace(lease)), (self.search(), 0.0)];
        tokio::spawn(async move {
            let mut how = Ok(Vec::new());
            for (search, then) in searches {
                if let CommandResponse::Shown(shown) =
                    search.ask(post.clone(), FleetCommand::Show, lease).await
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
                for way in ways.values() {
                    let told = way.knock(own.word(b"0".to_vec()), lease).await;
                    known.extend(
                        told.ok()
                            .and_then(|w| serde_json::from_slice::<u64>(&w.body).ok()),
                    );
                }
            }
            let _ = post
                .send(AgentMessage::KnownAnew(
                    how,
                    Anew {
                        document,
                        who,
                        answer,
                    },
                ))
                .await;
        });
    }

    pub(super) fn begin_anew(
        &mut self,
        how: Result<Vec<u64>, String>,
        Anew {
            document,
            who,
            answer,
        }: Anew,
    ) {
        let made = how.and_then(|mut known| {
            let k = self.kept.as_mut().ok_or("this gateway is no keeper any more")?;
            if k.replica.leader().is_some() {
                return Err("this keeper is the chair: the fleet's history is not lost".into());
            }
            let left = &k.replica.state().fleet;
            let remembered = self.member.held().0;
            let silent = self.ways.len() - known.len().min(self.ways.len());
            known.extend([left.history, remembered, self.latest]);
            let history = anew(known.iter().copied(), drawn())?;
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
            let id = drawn();
            let image = Replica::begin(&self.config.name, id, history, document, Some(line))?;
            let mut storage = k.storage.take().ok_or("the disk is being written")?;
            let begun = storage.quarantined(id).and_then(|_| storage.begin(image));
            self.kept = None;
            self.keep(storage).and(begun)?;
            warn!(self.log, "the fleet's history begins anew"; "who" => said.0, "what" => said.1,
                "history" => format!("{history:016x}"));
            Ok(0)
        });
        let _ = answer.send(made.map_err(Refused::Fleet));
    }
}
