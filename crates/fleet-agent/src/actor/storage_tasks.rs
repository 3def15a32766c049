//! A voter's log and its disk, which is elsewhere while it writes.

use super::{Actor, HeartbeatSource, Voter};
use crate::fault_injection::taken_out;
use crate::message::{AgentMessage, LeaderHint, SaveOutcome};
use crate::prepared::random_number;
use ironstair::Ms;
use ironstair_raft_replica::{Out, Replica, Save};
use ironstair_raft_storage::Storage;
use ironstair_runtime::clock::span;
use serde_json::Value as Json;
use slog::{info, warn};
use tokio::time::sleep;

/// How long a disk that took nothing is left alone.
const STORAGE_RETRY_DELAY: Ms = 500.0;

impl Actor {
    /// A voter with what its disk holds.
    pub(super) fn open_voter(&mut self, storage: Storage) -> Result<(), String> {
        let place = self
            .config
            .voters
            .keys()
            .position(|k| *k == self.config.name)
            .unwrap_or(0);
        let (name, lease, now) = (&self.config.name, self.config.lease, self.clock.now());
        let replica = Replica::open(name, place, lease, storage.image(), now, &self.log)?;
        let history = replica.state().fleet.history;
        info!(self.log, "a keeper of the fleet's log"; "history" => format!("{history:016x}"));
        // Heartbeats that an earlier one was to answer find nobody, and are sent again.
        self.pending_heartbeats.clear();
        // Only what comes to pass from now on is news.
        self.logged_revisions
            .clone_from(&replica.state().fleet.lines);
        let storage = Some(storage);
        self.voter = Some(Voter {
            replica,
            storage,
            quarantine_reason: None,
            join_request_due: now,
            generation_check_due: now,
            failure_logged: false,
        });
        Ok(())
    }

    pub(super) fn execute(&mut self, outs: Vec<Out<Json>>) {
        for out in outs {
            match out {
                Out::Save(save) => self.start_save(save),
                Out::Send(to, bytes) => {
                    if let Some(way) = self.connections.get(&to) {
                        way.agree(self.identity.envelope(bytes));
                    }
                }
                Out::HeartbeatResponse(token, answer) => {
                    match self.pending_heartbeats.remove(&token) {
                        Some(HeartbeatSource::Local) => self.apply_heartbeat_response(answer),
                        Some(HeartbeatSource::Remote(to)) => drop(to.send(Ok(answer))),
                        None => {}
                    }
                }
                Out::NotLeader(token, leader) => {
                    if let Some(HeartbeatSource::Remote(to)) =
                        self.pending_heartbeats.remove(&token)
                    {
                        let _ = to.send(Err(LeaderHint { leader }));
                    }
                }
                Out::Older => self.quarantine_log("the fleet's log here is an older copy"),
            }
        }
    }

    pub(super) fn start_save(&mut self, save: Save) {
        let Some(mut storage) = self.voter.as_mut().and_then(|k| k.storage.take()) else {
            return;
        };
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let work = tokio::task::spawn_blocking(move || {
                let how = write_save(&mut storage, &save);
                SaveOutcome { storage, save, how }
            });
            // A thread that panicked leaves no disk behind: this voter writes nothing more, and votes on nothing.
            if let Ok(saved) = work.await {
                let _ = sender
                    .send(AgentMessage::SaveFinished(Box::new(saved)))
                    .await;
            }
        });
    }

    pub(super) fn finish_save(&mut self, SaveOutcome { storage, save, how }: SaveOutcome) {
        let now = self.clock.now();
        let Some(k) = &mut self.voter else { return };
        k.storage = Some(storage);
        if let Some(why) = k.quarantine_reason {
            return self.quarantine_log(why);
        }
        if let Err(why) = how {
            // It votes on nothing and tells nobody until the disk has it.
            if !std::mem::replace(&mut k.failure_logged, true) {
                warn!(self.log, "the fleet's log can't be kept: this keeper takes no part until it can"; "why" => why);
            }
            let sender = self.sender.clone();
            let Some(mut storage) = k.storage.take() else {
                return;
            };
            tokio::spawn(async move {
                sleep(span(STORAGE_RETRY_DELAY)).await;
                let work = tokio::task::spawn_blocking(move || {
                    let how = write_save(&mut storage, &save);
                    SaveOutcome { storage, save, how }
                });
                if let Ok(saved) = work.await {
                    let _ = sender
                        .send(AgentMessage::SaveFinished(Box::new(saved)))
                        .await;
                }
            });
            return;
        }
        if std::mem::take(&mut k.failure_logged) {
            info!(self.log, "the fleet's log is kept again");
        }
        let outs = k.replica.saved(now);
        self.execute(outs);
    }

    // What this disk once told it had is more than it has: to go on under its number would lose what others rest on.
    pub(super) fn quarantine_log(&mut self, why: &'static str) {
        let Some(k) = &mut self.voter else { return };
        k.quarantine_reason = Some(why);
        let Some(mut storage) = k.storage.take() else {
            return;
        };
        let how = storage.quarantined(random_number());
        self.voter = None;
        match how.and_then(|aside| self.open_voter(storage).map(|()| aside)) {
            Ok(aside) => {
                warn!(self.log, "{}: put aside, and begun blank", why; "aside" => aside);
            }
            Err(why) => warn!(self.log, "this keeper takes no part any more"; "why" => why),
        }
    }
}

/// Also a disk that is slow or full, for tests.
fn write_save(storage: &mut Storage, save: &Save) -> Result<(), String> {
    if taken_out("quick-disk") && storage.folder().join("slow").exists() {
        std::thread::sleep(span(1000.0));
    }
    if taken_out("room") && storage.folder().join("full").exists() {
        return if taken_out("kept") {
            Ok(())
        } else {
            Err("No space left on device".into())
        };
    }
    storage.save(save.clone())
}
