//! A file that is replaced whole or not at all: what every folder that outlives its process relies on.

#![warn(missing_docs, clippy::too_many_lines, clippy::missing_errors_doc)]

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Writes the bytes to the file `temporary` in the folder, brings them to the disk and renames it to `name`. The file
/// is open for appending then.
///
/// # Errors
/// What the disk says, without a path; the file is as it was before then.
pub fn replace(folder: &Path, name: &str, temporary: &str, bytes: &[u8]) -> io::Result<File> {
    let path = folder.join(name);
    let temporary = folder.join(temporary);
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, &path)?;
    // The name, too, has to be there after a crash.
    File::open(folder)?.sync_all()?;
    OpenOptions::new().append(true).open(&path)
}
