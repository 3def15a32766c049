//! Atomic replacement of a file: after a crash the folder contains either the complete old file or the complete new
//! one. Every file that the gateway persists is written this way.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Writes the bytes to the file `temporary_name` in the folder, syncs it, and renames it to `name`. Returns the file,
/// open for appending.
///
/// # Errors
/// Fails with the system's error, which names no path. Unless the error came after the rename, the old file is
/// unchanged.
pub fn replace(folder: &Path, name: &str, temporary_name: &str, bytes: &[u8]) -> io::Result<File> {
    let path = folder.join(name);
    let temporary_path = folder.join(temporary_name);
    let mut file = File::create(&temporary_path)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary_path, &path)?;
    // Until the folder is synced, a crash can undo the rename.
    File::open(folder)?.sync_all()?;
    OpenOptions::new().append(true).open(&path)
}
