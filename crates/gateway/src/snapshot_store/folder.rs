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

/// The snapshot's file.
const SNAPSHOT_FILE: &str = "gateway.kept";
/// Written first, then renamed to `SNAPSHOT_FILE`: a crash leaves one of the two whole.
const TEMPORARY_FILE: &str = "gateway.new";
/// The start waits this long for a slow disk, then goes on as without a snapshot.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the snapshot can't be read or written.
#[derive(Debug, thiserror::Error)]
pub(super) enum SnapshotError {
    /// The file or the folder can't be read or written.
    #[error("{}: {source}", path.display())]
    Io { path: PathBuf, source: io::Error },
    /// The file is larger than any snapshot.
    #[error("{}: {bytes} bytes are none of ours", path.display())]
    TooLarge { path: PathBuf, bytes: u64 },
    /// The file is no snapshot.
    #[error("{}: {source}", path.display())]
    Decode { path: PathBuf, source: DecodeError },
    /// The folder was not read in time.
    #[error("{}: not read within {READ_TIMEOUT:?}", folder.display())]
    TimedOut { folder: PathBuf },
    /// The thread of the folder can't be started.
    #[error("{0}")]
    Thread(#[source] io::Error),
}

/// Reads the snapshot; none where there is no file.
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

/// Clears the note of a clean end before this process sends an attempt: if it is killed, the next start must not find
/// the note of the process before. Returns whether that is on disk.
fn clear_clean_end(folder: &Path, snapshot: &Snapshot) -> bool {
    let cleared = Snapshot {
        ended_cleanly: false,
        ..snapshot.clone()
    };
    encode(&cleared).is_ok_and(|bytes| write_snapshot(folder, &bytes).is_ok())
}

/// Delays the disk where a test asks for it.
fn simulate_slow_disk(folder: &Path) {
    if is_disabled(Guard::FastDisk) && folder.join("slow").exists() {
        thread::sleep(READ_TIMEOUT * 2);
    }
}

/// Replaces the file as a whole, and creates the folder if needed.
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

/// Starts the thread of the folder. Returns the snapshot that it read, and the queue of the snapshots to write, which
/// holds one: a newer snapshot replaces one that waits.
pub(super) fn open(
    folder: &Path,
) -> (
    Result<Option<Snapshot>, SnapshotError>,
    Sender<SnapshotWrite>,
) {
    let (snapshot_sender, snapshot) = mpsc::sync_channel(1);
    let (write_sender, writes) = bounded(1);
    let owned_folder = folder.to_path_buf();
    // One thread reads and writes: a read or write that a slow disk delays comes before the next write.
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

/// Writes each snapshot of the queue. Logs the first failure and the first success after it.
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
