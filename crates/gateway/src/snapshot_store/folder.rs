//! The folder of the snapshot, and the thread that reads and writes it.

use super::SnapshotWrite;
use async_channel::{bounded, Receiver, Sender};
use ironstair_fleet_agent::fault_injection::{is_disabled, Guard};
use ironstair_recovery::{decode, encode, DecodeError, Snapshot, MAX_BYTES};
use slog::{info, warn};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// The name of the snapshot file.
const SNAPSHOT_FILE: &str = "gateway.kept";
/// The name of the file that is written first and then renamed to `SNAPSHOT_FILE`, so that a crash leaves a complete
/// file.
const TEMPORARY_FILE: &str = "gateway.new";
/// How long the start waits for a slow disk before it continues without a snapshot.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the snapshot cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub(super) enum SnapshotError {
    /// The file or its folder cannot be read or written.
    #[error("cannot access snapshot file {}: {source}", path.display())]
    Io { path: PathBuf, source: io::Error },
    /// The file is larger than any snapshot.
    #[error("snapshot file {} has {bytes} bytes, at most {MAX_BYTES} are allowed", path.display())]
    TooLarge { path: PathBuf, bytes: u64 },
    /// The file is not a valid snapshot.
    #[error("invalid snapshot file {}: {source}", path.display())]
    Decode { path: PathBuf, source: DecodeError },
    /// The folder was not read in time.
    #[error("snapshot folder {} not read within {READ_TIMEOUT:?}", folder.display())]
    TimedOut { folder: PathBuf },
    /// The thread for the folder cannot be started.
    #[error("cannot start the thread for the snapshot folder: {0}")]
    Thread(#[source] io::Error),
}

/// Reads the snapshot; `None` if there is no file.
fn read_snapshot(folder: &Path) -> Result<Option<Snapshot>, SnapshotError> {
    let path = folder.join(SNAPSHOT_FILE);
    match std::fs::metadata(&path) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(SnapshotError::Io { path, source }),
        Ok(file) if file.len() > MAX_BYTES => {
            let bytes = file.len();
            return Err(SnapshotError::TooLarge { path, bytes });
        }
        Ok(_) => {}
    }
    simulate_slow_disk(folder);
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(source) => return Err(SnapshotError::Io { path, source }),
    };
    let mut snapshot = decode(&bytes).map_err(|source| SnapshotError::Decode { path, source })?;
    if snapshot.ended_cleanly {
        snapshot.ended_cleanly = clear_clean_end(folder, &snapshot);
    }
    Ok(Some(snapshot))
}

/// Clears the marker of a clean end before this process sends an attempt: if this process is killed, the next one must
/// not find the marker of the previous process. Returns whether the change is on disk.
fn clear_clean_end(folder: &Path, snapshot: &Snapshot) -> bool {
    let cleared = Snapshot {
        ended_cleanly: false,
        ..snapshot.clone()
    };
    encode(&cleared).is_ok_and(|bytes| write_snapshot(folder, &bytes).is_ok())
}

/// Delays access to the disk if fault injection requests it.
fn simulate_slow_disk(folder: &Path) {
    if is_disabled(Guard::FastDisk) && folder.join("slow").exists() {
        thread::sleep(READ_TIMEOUT * 2);
    }
}

/// Replaces the file atomically, and creates the folder if needed.
fn write_snapshot(folder: &Path, bytes: &[u8]) -> Result<(), SnapshotError> {
    simulate_slow_disk(folder);
    let created = std::fs::create_dir_all(folder);
    let written = created.and_then(|()| {
        ironstair_atomic_file::replace(folder, SNAPSHOT_FILE, TEMPORARY_FILE, bytes)
    });
    written.map(drop).map_err(|source| SnapshotError::Io {
        path: folder.join(SNAPSHOT_FILE),
        source,
    })
}

/// Starts the thread for the folder. Returns the snapshot that it has read, and the queue of snapshots to write. The
/// queue holds one snapshot; a newer one replaces it.
pub(super) fn open(
    folder: &Path,
) -> (
    Result<Option<Snapshot>, SnapshotError>,
    Sender<SnapshotWrite>,
) {
    let (snapshot_sender, snapshot) = mpsc::sync_channel(1);
    let (write_sender, writes) = bounded(1);
    let owned_folder = folder.to_path_buf();
    // A single thread reads and writes, so that a read or write that a slow disk delays still precedes the next write.
    let started = thread::Builder::new()
        .name("recovery".into())
        .spawn(move || {
            let _ = snapshot_sender.send(read_snapshot(&owned_folder));
            write_queued(&owned_folder, &writes);
        });
    let timed_out = |_| SnapshotError::TimedOut {
        folder: folder.to_path_buf(),
    };
    let read = match started {
        Ok(_) => snapshot
            .recv_timeout(READ_TIMEOUT)
            .map_err(timed_out)
            .and_then(|read| read),
        Err(error) => Err(SnapshotError::Thread(error)),
    };
    (read, write_sender)
}

/// Writes each snapshot from the queue. Logs the first failure and the first success after it.
fn write_queued(folder: &Path, writes: &Receiver<SnapshotWrite>) {
    let mut is_failing = false;
    while let Ok(SnapshotWrite { bytes, done, log }) = writes.recv_blocking() {
        match write_snapshot(folder, &bytes) {
            Err(error) if !std::mem::replace(&mut is_failing, true) => {
                warn!(log, "snapshot not written"; "error" => error.to_string());
            }
            Ok(()) if std::mem::take(&mut is_failing) => info!(log, "snapshot written again"),
            _ => {}
        }
        drop(done);
    }
}
