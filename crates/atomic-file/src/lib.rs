//! A file replaced whole or not at all: what every folder that outlives its process rests on.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Writes the bytes beside the file, brings them to the disk and puts them in its place; open for more behind them.
///
/// # Errors
/// As the disk has it; the file is as before then.
pub fn replace(folder: &Path, name: &str, beside: &str, bytes: &[u8]) -> io::Result<File> {
    let (path, beside) = (folder.join(name), folder.join(beside));
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, &path)?;
    // The name, too, is to be there after a crash.
    File::open(folder)?.sync_all()?;
    OpenOptions::new().append(true).open(&path)
}
