//! The journal's file: appended to and brought to the disk before anything rests on it.

use ironstair_config_change::journal::{decode, encode, Decoded};
use ironstair_config_change::{Document, PersistedState, Record};
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

const FILE: &str = "revisions.journal";
/// Records behind the whole one at the front, after which the file is written anew.
const RECORDS_MOST: usize = 256;
/// A file beyond this is none of ours.
const FILE_MOST: u64 = 256 << 20;

pub struct Journal {
    folder: PathBuf,
    file: Option<File>,
    /// How many bytes of it are whole, and how many records they are.
    whole: u64,
    records: usize,
}

impl Journal {
    fn path(folder: &Path) -> PathBuf {
        folder.join(FILE)
    }

    /// What the folder's journal holds, and what had to be left out of it.
    ///
    /// # Errors
    /// The folder can't be used.
    pub fn read(folder: &Path) -> Result<(Vec<Record<Document>>, Option<String>), String> {
        let path = Self::path(folder);
        let fault = |e: io::Error| format!("{}: {e}", path.display());
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let mut bytes = Vec::new();
        match File::open(&path) {
            Ok(file) => {
                let most = file.metadata().map_err(fault)?.len();
                if most > FILE_MOST {
                    return Err(format!("{}: {most} bytes are no journal", path.display()));
                }
                file.take(most).read_to_end(&mut bytes).map_err(fault)?;
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(fault(e)),
        }
        let Decoded {
            records,
            whole_bytes: whole,
            error: why,
        } = decode(&bytes);
        let lost = bytes.len() - whole;
        let note = why.map(|why| {
            format!(
                "{}: {lost} bytes from {whole} on are left out ({why})",
                path.display()
            )
        });
        Ok((records, note))
    }

    /// A journal in the folder that begins with what is kept: written beside the old one, then put in its place.
    ///
    /// # Errors
    /// As the disk has it.
    pub fn begin(folder: &Path, persisted: &PersistedState<Document>) -> Result<Journal, String> {
        let mut journal = Journal {
            folder: folder.to_path_buf(),
            file: None,
            whole: 0,
            records: 0,
        };
        journal.anew(persisted)?;
        Ok(journal)
    }

    /// One that is not open yet: the next record needs [`Journal::anew`] first.
    pub fn closed(folder: &Path) -> Journal {
        Journal {
            folder: folder.to_path_buf(),
            file: None,
            whole: 0,
            records: 0,
        }
    }

    pub fn wants_anew(&self) -> bool {
        self.file.is_none() || self.records > RECORDS_MOST
    }

    pub fn anew(&mut self, persisted: &PersistedState<Document>) -> Result<(), String> {
        let bytes = encode(&Record::Whole(persisted.clone())).map_err(|e| e.to_string())?;
        let file = ironstair_atomic_file::replace(&self.folder, FILE, "revisions.new", &bytes);
        let file = file.map_err(|e| format!("{}: {e}", Self::path(&self.folder).display()))?;
        (self.file, self.whole, self.records) = (Some(file), bytes.len() as u64, 0);
        Ok(())
    }

    /// Appends a record and waits until the disk has it. One that it did not take is cut off again; where that
    /// fails too, nothing more is appended until the file could be written anew.
    pub fn append(&mut self, record: &Record<Document>) -> Result<(), String> {
        let bytes = encode(record).map_err(|e| e.to_string())?;
        let file = self.file.as_mut().ok_or("the journal is not open")?;
        match file.write_all(&bytes).and_then(|()| file.sync_data()) {
            Ok(()) => {
                self.whole += bytes.len() as u64;
                self.records += 1;
                Ok(())
            }
            Err(e) => {
                if file
                    .set_len(self.whole)
                    .and_then(|()| file.sync_data())
                    .is_err()
                {
                    self.file = None;
                }
                Err(format!("{}: {e}", Self::path(&self.folder).display()))
            }
        }
    }
}
