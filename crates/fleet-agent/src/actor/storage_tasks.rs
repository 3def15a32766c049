//! A voter's replica and its disk. While a write is in progress, its task owns the disk.

use super::{Actor, HeartbeatSource, Voter};
use crate::error::StorageError;
use crate::fault_injection::{is_disabled, Guard};
use crate::message::{AgentMessage, LeaderHint, SaveOutcome};
use crate::prepared::random_number;
use ironstair::Millis;
use ironstair_raft_replica::{Output, Replica, Save};
use ironstair_raft_storage::Storage;
use ironstair_runtime::clock::duration;
use serde_json::Value as Json;
use slog::{error, info, warn};
use tokio::time::sleep;

/// The delay in ms before the next write after a failed one.
const STORAGE_RETRY_DELAY: Millis = 500.0;
/// The delay in ms of a write to a disk that a test has made slow.
const SLOW_DISK_DELAY: Millis = 1000.0;

impl Actor {
    /// Makes this gateway a voter with the content of its disk.
    pub(super) fn open_voter(&mut self, storage: Storage) -> Result<(), StorageError> {
        let name = &self.config.name;
        let position = self.config.voters.keys().position(|voter| voter == name);
        let lease = self.config.lease;
        let now = self.clock.now();
        let image = storage.image();
        let replica = Replica::open(name, position.unwrap_or(0), lease, image, now, &self.log)
            .map_err(StorageError::new)?;
        let generation = format!("{:016x}", replica.state().fleet.generation);
        info!(self.log, "voter opened the fleet log"; "generation" => generation);
        // The new replica can't answer heartbeats that were passed to an earlier one; their senders repeat them.
        self.pending_heartbeats.clear();
        // Revisions from before the start must not be logged again.
        self.logged_revisions
            .clone_from(&replica.state().fleet.revisions);
        self.voter = Some(Voter {
            replica,
            storage: Some(storage),
            quarantine_reason: None,
            join_request_due: now,
            generation_check_due: now,
            failure_logged: false,
        });
        Ok(())
    }

    /// Handles a message of the Raft library from another voter.
    pub(super) fn handle_raft_message(&mut self, from: &str, bytes: &[u8]) {
        let now = self.clock.now();
        if let Some(voter) = &mut self.voter {
            let outputs = voter.replica.handle_message(now, from, bytes);
            self.execute(outputs);
        }
    }

    /// Carries out the replica's outputs in their order.
    pub(super) fn execute(&mut self, outputs: Vec<Output<Json>>) {
        for output in outputs {
            match output {
                Output::Save(save) => self.start_save(save),
                Output::Send(to, bytes) => {
                    if let Some(connection) = self.connections.get(&to) {
                        connection.send_raft_message(self.identity.envelope(bytes));
                    }
                }
                Output::HeartbeatResponse(token, response) => {
                    match self.pending_heartbeats.remove(&token) {
                        Some(HeartbeatSource::Local) => self.handle_heartbeat_response(response),
                        Some(HeartbeatSource::Remote(to)) => drop(to.send(Ok(response))),
                        None => {}
                    }
                }
                Output::NotLeader(token, leader) => {
                    let source = self.pending_heartbeats.remove(&token);
                    if let Some(HeartbeatSource::Remote(to)) = source {
                        let _ = to.send(Err(LeaderHint { leader }));
                    }
                }
                Output::DiskOutdated => {
                    self.quarantine_log("the log on this disk is an older copy");
                }
            }
        }
    }

    fn start_save(&mut self, save: Save) {
        if let Some(storage) = self.take_storage() {
            self.spawn_save(storage, save, None);
        }
    }

    fn take_storage(&mut self) -> Option<Storage> {
        self.voter.as_mut().and_then(|voter| voter.storage.take())
    }

    /// Writes in a blocking task after a delay in ms. The message with the result hands the disk back.
    fn spawn_save(&self, mut storage: Storage, save: Save, delay: Option<Millis>) {
        let handle = self.handle.clone();
        tokio::spawn(async move {
            if let Some(delay) = delay {
                sleep(duration(delay)).await;
            }
            let work = tokio::task::spawn_blocking(move || {
                let result = write(&mut storage, &save);
                SaveOutcome {
                    storage,
                    save,
                    result,
                }
            });
            // If the write panics, this process no longer has the disk: the voter writes nothing and no longer votes.
            if let Ok(outcome) = work.await {
                let message = AgentMessage::SaveFinished(Box::new(outcome));
                let _ = handle.send(message).await;
            }
        });
    }

    /// Handles the end of a write. After a failure the voter does not vote or send messages that depend on the write
    /// until the write has succeeded.
    pub(super) fn finish_save(&mut self, outcome: SaveOutcome) {
        let now = self.clock.now();
        let Some(voter) = &mut self.voter else { return };
        if let Some(reason) = voter.quarantine_reason {
            voter.storage = Some(outcome.storage);
            return self.quarantine_log(reason);
        }
        if let Err(error) = outcome.result {
            if !std::mem::replace(&mut voter.failure_logged, true) {
                warn!(self.log, "fleet log can't be written, this voter does not vote until it can"; "error" => %error);
            }
            return self.spawn_save(outcome.storage, outcome.save, Some(STORAGE_RETRY_DELAY));
        }
        voter.storage = Some(outcome.storage);
        if std::mem::take(&mut voter.failure_logged) {
            info!(self.log, "fleet log is written again");
        }
        let outputs = voter.replica.save_completed(now);
        self.execute(outputs);
    }

    /// Quarantines a log that lacks entries which it has confirmed, or that belongs to a superseded generation. To
    /// continue under its replica id would lose entries that other voters rely on. Waits for a write in progress to end.
    pub(super) fn quarantine_log(&mut self, reason: &'static str) {
        let Some(voter) = &mut self.voter else { return };
        voter.quarantine_reason = Some(reason);
        let Some(mut storage) = voter.storage.take() else {
            return;
        };
        let quarantined = storage
            .quarantine(random_number())
            .map_err(StorageError::new);
        self.voter = None;
        let reopened = quarantined.and_then(|path| self.open_voter(storage).map(|()| path));
        match reopened {
            Ok(path) => {
                warn!(self.log, "fleet log quarantined, this voter starts with a blank one";
                    "reason" => reason, "path" => path);
            }
            Err(error) => {
                error!(self.log, "fleet log can't be quarantined and reopened, this gateway is no longer a voter"; "error" => %error);
            }
        }
    }
}

/// Writes to the disk. A test can make it slow or full by a file of that name in its folder.
fn write(storage: &mut Storage, save: &Save) -> Result<(), StorageError> {
    if is_disabled(Guard::FastDisk) && storage.folder().join("slow").exists() {
        std::thread::sleep(duration(SLOW_DISK_DELAY));
    }
    if is_disabled(Guard::DiskSpace) && storage.folder().join("full").exists() {
        return if is_disabled(Guard::WriteErrors) {
            Ok(())
        } else {
            Err(StorageError::new("No space left on device"))
        };
    }
    storage.save(save.clone()).map_err(StorageError::new)
}
