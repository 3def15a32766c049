//! The file of the revision journal. Each record is synced to the disk before anything relies on it.

use crate::error::JournalError;
use ironstair_config_change::journal::{decode, encode};
use ironstair_config_change::{Document, PersistedState, Record};
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

const FILE: &str = "revisions.journal";
const TEMPORARY_FILE: &str = "revisions.new";
/// The file is rewritten once it has this many records after the first, which holds the whole state: it bounds the size
/// of the file and the time of a start.
const MAX_RECORDS: usize = 256;
/// A larger file was not written by a gateway, and is not read into memory.
const MAX_FILE_BYTES: u64 = 256 << 20;

/// The journal of a gateway's revisions.
pub struct Journal {
    folder: PathBuf,
    /// The open file; `None` until the next rewrite.
    file: Option<File>,
    /// The length of the complete records in bytes.
    valid_bytes: u64,
    /// The number of records after the first.
    records: usize,
}

impl Journal {
    /// Reads the records of the folder's journal. A damaged end is left out; the second value is a sentence about it.
    ///
    /// # Errors
    /// Fails if the folder or the file can't be used.
    pub fn read(folder: &Path) -> Result<(Vec<Record<Document>>, Option<String>), JournalError> {
        std::fs::create_dir_all(folder).map_err(|source| io_error(folder, source))?;
        let path = folder.join(FILE);
        let bytes = read_file(&path)?;
        let decoded = decode(&bytes);
        let whole = decoded.valid_bytes;
        let lost = bytes.len() - whole;
        let note = decoded.error.map(|error| {
            format!(
                "{}: {lost} bytes from {whole} on are left out ({error})",
                path.display()
            )
        });
        Ok((decoded.records, note))
    }

    /// Creates a journal that begins with the state, in place of the folder's old one.
    ///
    /// # Errors
    /// The disk does not take it.
    pub fn create(
        folder: &Path,
        state: &PersistedState<Document>,
    ) -> Result<Journal, JournalError> {
        let mut journal = Journal::closed(folder);
        journal.rewrite(state)?;
        Ok(journal)
    }

    /// A journal without an open file: [`Journal::rewrite`] must succeed before a record can be appended.
    pub fn closed(folder: &Path) -> Journal {
        Journal {
            folder: folder.to_path_buf(),
            file: None,
            valid_bytes: 0,
            records: 0,
        }
    }

    /// Whether [`Journal::rewrite`] should be called before the next record.
    pub fn needs_rewrite(&self) -> bool {
        self.file.is_none() || self.records > MAX_RECORDS
    }

    /// Atomically replaces the file by one that begins with the state.
    ///
    /// # Errors
    /// Fails if the disk can't be written; the old file remains then.
    pub fn rewrite(&mut self, state: &PersistedState<Document>) -> Result<(), JournalError> {
        let bytes = encode(&Record::Snapshot(state.clone()))?;
        let file = ironstair_atomic_file::replace(&self.folder, FILE, TEMPORARY_FILE, &bytes)
            .map_err(|source| io_error(&self.folder.join(FILE), source))?;
        self.file = Some(file);
        self.valid_bytes = bytes.len() as u64;
        self.records = 0;
        Ok(())
    }

    /// Appends a record and syncs it to the disk. A record that could not be written completely is cut off again. If
    /// that fails as well, the journal needs a rewrite before the next record.
    ///
    /// # Errors
    /// Fails if the disk can't be written, or the journal needs a rewrite.
    pub fn append(&mut self, record: &Record<Document>) -> Result<(), JournalError> {
        let bytes = encode(record)?;
        let file = self.file.as_mut().ok_or(JournalError::NotOpen)?;
        if let Err(source) = file.write_all(&bytes).and_then(|()| file.sync_data()) {
            let is_cut_off = file
                .set_len(self.valid_bytes)
                .and_then(|()| file.sync_data())
                .is_ok();
            if !is_cut_off {
                self.file = None;
            }
            return Err(io_error(&self.folder.join(FILE), source));
        }
        self.valid_bytes += bytes.len() as u64;
        self.records += 1;
        Ok(())
    }
}

/// The bytes of the file; empty if it does not exist.
fn read_file(path: &Path) -> Result<Vec<u8>, JournalError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(io_error(path, error)),
    };
    let metadata = file.metadata().map_err(|error| io_error(path, error))?;
    let length = metadata.len();
    if length > MAX_FILE_BYTES {
        return Err(JournalError::TooLong {
            path: path.to_path_buf(),
            bytes: length,
        });
    }
    let mut bytes = Vec::new();
    file.take(length)
        .read_to_end(&mut bytes)
        .map_err(|error| io_error(path, error))?;
    Ok(bytes)
}

fn io_error(path: &Path, source: io::Error) -> JournalError {
    JournalError::Io {
        path: path.to_path_buf(),
        source,
    }
}
