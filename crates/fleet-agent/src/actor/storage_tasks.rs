//! A voter's log and its disk, which is elsewhere while it writes.

use super::{Actor, Kept, Waits};
use crate::fault_injection::taken_out;
use crate::message::{AgentMessage, Hint, Saved};
use crate::prepared::drawn;
use ironstair::Ms;
use ironstair_raft_replica::{Out, Replica, Save};
use ironstair_raft_storage::Storage;
use ironstair_runtime::clock::span;
use serde_json::Value as Json;
use slog::{info, warn};
use tokio::time::sleep;

/// How long a disk that took nothing is left alone.
const DISK_AGAIN: Ms = 500.0;

impl Actor {
    /// A voter with what its disk holds.
    pub(super) fn keep(&mut self, storage: Storage) -> Result<(), String> {
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
        self.answers.clear();
        // Only what comes to pass from now on is news.
        self.lines.clone_from(&replica.state().fleet.lines);
        let storage = Some(storage);
        self.kept = Some(Kept {
            replica,
            storage,
            older: None,
            join_request_due: now,
            compare_at: now,
            disk_said: false,
        });
        Ok(())
    }

    pub(super) fn carry(&mut self, outs: Vec<Out<Json>>) {
        for out in outs {
            match out {
                Out::Save(save) => self.save(save),
                Out::Send(to, bytes) => {
                    if let Some(way) = self.ways.get(&to) {
                        way.agree(self.own.word(bytes));
                    }
                }
                Out::HeartbeatResponse(token, answer) => match self.answers.remove(&token) {
                    Some(Waits::Own) => self.told(answer),
                    Some(Waits::Other(to)) => drop(to.send(Ok(answer))),
                    None => {}
                },
                Out::NotLeader(token, leader) => {
                    if let Some(Waits::Other(to)) = self.answers.remove(&token) {
                        let _ = to.send(Err(Hint { leader }));
                    }
                }
                Out::Older => self.leave_the_older("the fleet's log here is an older copy"),
            }
        }
    }

    pub(super) fn save(&mut self, save: Save) {
        let Some(mut storage) = self.kept.as_mut().and_then(|k| k.storage.take()) else {
            return;
        };
        let post = self.post.clone();
        tokio::spawn(async move {
            let work = tokio::task::spawn_blocking(move || {
                let how = write(&mut storage, &save);
                Saved { storage, save, how }
            });
            // A thread that panicked leaves no disk behind: this voter writes nothing more, and votes on nothing.
            if let Ok(saved) = work.await {
                let _ = post.send(AgentMessage::Saved(Box::new(saved))).await;
            }
        });
    }

    pub(super) fn saved(&mut self, Saved { storage, save, how }: Saved) {
        let now = self.clock.now();
        let Some(k) = &mut self.kept else { return };
        k.storage = Some(storage);
        if let Some(why) = k.older {
            return self.leave_the_older(why);
        }
        if let Err(why) = how {
            // It votes on nothing and tells nobody until the disk has it.
            if !std::mem::replace(&mut k.disk_said, true) {
                warn!(self.log, "the fleet's log can't be kept: this keeper takes no part until it can"; "why" => why);
            }
            let post = self.post.clone();
            let Some(mut storage) = k.storage.take() else {
                return;
            };
            tokio::spawn(async move {
                sleep(span(DISK_AGAIN)).await;
                let work = tokio::task::spawn_blocking(move || {
                    let how = write(&mut storage, &save);
                    Saved { storage, save, how }
                });
                if let Ok(saved) = work.await {
                    let _ = post.send(AgentMessage::Saved(Box::new(saved))).await;
                }
            });
            return;
        }
        if std::mem::take(&mut k.disk_said) {
            info!(self.log, "the fleet's log is kept again");
        }
        let outs = k.replica.saved(now);
        self.carry(outs);
    }

    // What this disk once told it had is more than it has: to go on under its number would lose what others rest on.
    pub(super) fn leave_the_older(&mut self, why: &'static str) {
        let Some(k) = &mut self.kept else { return };
        k.older = Some(why);
        let Some(mut storage) = k.storage.take() else {
            return;
        };
        let how = storage.quarantined(drawn());
        self.kept = None;
        match how.and_then(|aside| self.keep(storage).map(|()| aside)) {
            Ok(aside) => {
                warn!(self.log, "{}: put aside, and begun blank", why; "aside" => aside);
            }
            Err(why) => warn!(self.log, "this keeper takes no part any more"; "why" => why),
        }
    }
}

/// Also a disk that is slow or full, for tests.
fn write(storage: &mut Storage, save: &Save) -> Result<(), String> {
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
