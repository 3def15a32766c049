//! The file of the revision journal. Each record is synced to the disk before the manager relies on it.

use crate::error::JournalError;
use ironstair_config_change::journal::{decode, encode};
use ironstair_config_change::{Document, PersistedState, Record};
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "revisions.journal";
const TEMPORARY_FILE_NAME: &str = "revisions.new";
/// The file is rewritten once it has more than this many records after the first, which holds the whole state. This
/// bounds the size of the file and the time that a start needs to read it.
const MAX_RECORDS: usize = 256;
/// The largest file that is read into memory. A larger one was not written by a gateway.
pub(crate) const MAX_FILE_BYTES: u64 = 256 << 20;

/// The journal of a gateway's revisions.
pub struct Journal {
    folder: PathBuf,
    /// The open file. `None` if the journal must be rewritten before a record can be appended.
    file: Option<File>,
    /// The length of the complete records in bytes.
    valid_bytes: u64,
    /// The number of records after the first.
    appended_records: usize,
}

impl Journal {
    /// Reads the records of the journal in the folder, which is created if it does not exist. Bytes from the first
    /// damaged record on are ignored; the second value is a sentence about them.
    ///
    /// # Errors
    /// Fails if the folder or the file can't be used.
    pub fn read(folder: &Path) -> Result<(Vec<Record<Document>>, Option<String>), JournalError> {
        std::fs::create_dir_all(folder).map_err(|source| io_error(folder, source))?;
        let path = folder.join(FILE_NAME);
        let bytes = read_file(&path)?;
        let decoded = decode(&bytes);
        let valid = decoded.valid_bytes;
        let ignored = bytes.len() - valid;
        let note = decoded.error.map(|error| {
            format!(
                "{}: ignored {ignored} bytes from offset {valid} on: {error}",
                path.display()
            )
        });
        Ok((decoded.records, note))
    }

    /// Creates a journal that begins with the state. It replaces an existing journal in the folder.
    ///
    /// # Errors
    /// Fails if the record of the state can't be encoded or the disk can't be written.
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
            appended_records: 0,
        }
    }

    /// Whether [`Journal::rewrite`] should be called before the next record.
    pub fn needs_rewrite(&self) -> bool {
        self.file.is_none() || self.appended_records > MAX_RECORDS
    }

    /// Atomically replaces the file by one that contains only the state.
    ///
    /// # Errors
    /// Fails if the disk can't be written; the old file remains then.
    pub fn rewrite(&mut self, state: &PersistedState<Document>) -> Result<(), JournalError> {
        let bytes = encode(&Record::Snapshot(state.clone()))?;
        let file =
            ironstair_atomic_file::replace(&self.folder, FILE_NAME, TEMPORARY_FILE_NAME, &bytes)
                .map_err(|source| io_error(&self.folder.join(FILE_NAME), source))?;
        self.file = Some(file);
        self.valid_bytes = bytes.len() as u64;
        self.appended_records = 0;
        Ok(())
    }

    /// Appends a record and syncs it to the disk. If that fails, the file is truncated to its length before. If that
    /// fails as well, the journal needs a rewrite before the next record.
    ///
    /// # Errors
    /// Fails if the disk can't be written, or the journal needs a rewrite.
    pub fn append(&mut self, record: &Record<Document>) -> Result<(), JournalError> {
        let bytes = encode(record)?;
        let file = self.file.as_mut().ok_or_else(|| JournalError::NotOpen {
            path: self.folder.join(FILE_NAME),
        })?;
        if let Err(source) = file.write_all(&bytes).and_then(|()| file.sync_data()) {
            let is_truncated = file
                .set_len(self.valid_bytes)
                .and_then(|()| file.sync_data())
                .is_ok();
            if !is_truncated {
                self.file = None;
            }
            return Err(io_error(&self.folder.join(FILE_NAME), source));
        }
        self.valid_bytes += bytes.len() as u64;
        self.appended_records += 1;
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
