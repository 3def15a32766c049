//! The disk of one replica, in a folder.

use crate::error::StorageError;
use crate::format::{self, Content, Owner, FORMAT_VERSION};
use ironstair_raft_replica::{Image, Save};
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "fleet.log";
/// The temporary file of a rewrite, which then replaces the log file.
const NEW_FILE_NAME: &str = "fleet.new";
/// Limit of the number of quarantined files; a further one replaces the last.
const MAX_QUARANTINED: usize = 8;
/// The file is rewritten once it has this many appended records or this many bytes, which bounds the time that a start
/// takes to read it.
const MAX_APPENDED_RECORDS: usize = 1024;
const MAX_APPENDED_BYTES: u64 = 16 << 20;
/// Size limit of a file that is read: a larger one was not written by this package.
const MAX_FILE_BYTES: u64 = 1 << 30;

/// An open disk.
pub struct Storage {
    folder: PathBuf,
    owner: Owner,
    /// The open file. `None` after a failed write: the last record may be incomplete, so the next write must rewrite the
    /// file.
    file: Option<OpenFile>,
    image: Image,
}

/// The file to which writes are appended.
struct OpenFile {
    file: File,
    bytes: u64,
    /// The number of records appended since the file was rewritten.
    appended: usize,
}

/// The result of opening a disk.
pub struct Opened {
    /// The disk.
    pub storage: Storage,
    /// What could not be used of the file that was found, for the log.
    pub note: Option<String>,
}

/// The usable content of the file at opening, before it is rewritten.
struct Loaded {
    owner: Owner,
    image: Image,
    note: Option<String>,
}

impl Storage {
    /// Opens the disk of the gateway in the folder. A new disk is blank and has the voter id `id`, which the caller
    /// must draw at random for each call. A corrupt file is quarantined, and the disk is then blank under `id`.
    ///
    /// # Errors
    /// Fails if the folder can't be used, or the file is too large, belongs to another gateway or fleet, or has another
    /// format version; such a file is not changed.
    pub fn open(
        folder: &Path,
        fleet: &str,
        gateway: &str,
        id: u64,
    ) -> Result<Opened, StorageError> {
        std::fs::create_dir_all(folder).map_err(|error| io_error(folder, error))?;
        let path = folder.join(FILE_NAME);
        let bytes = read_file(&path)?;
        let owner = Owner {
            format_version: FORMAT_VERSION,
            fleet: fleet.into(),
            gateway: gateway.into(),
            id,
        };
        let Loaded { owner, image, note } = match format::decode_file(&bytes) {
            Ok(None) => Loaded::blank(owner, None),
            Ok(Some(content)) => {
                check_owner(&path, &content.owner, &owner)?;
                Loaded::from_content(&path, content, bytes.len())
            }
            Err(corruption) => {
                let name = quarantine_file(folder).map_err(|error| io_error(&path, error))?;
                let note = format!(
                    "{}: {corruption}; the file was quarantined as {name}",
                    path.display()
                );
                Loaded::blank(owner, Some(note))
            }
        };
        let mut storage = Storage {
            folder: folder.to_path_buf(),
            owner,
            file: None,
            image,
        };
        storage.rewrite()?;
        Ok(Opened { storage, note })
    }

    /// The folder of the disk.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The content of the disk.
    pub fn image(&self) -> &Image {
        &self.image
    }

    /// Replaces the content of the disk by the image, under the image's voter id.
    ///
    /// # Errors
    /// Fails if the file can't be written; [`Self::image`] is unchanged then.
    pub fn reset(&mut self, image: Image) -> Result<(), StorageError> {
        let previous_id = self.owner.id;
        self.owner.id = image.id;
        let previous_image = std::mem::replace(&mut self.image, image);
        self.rewrite().inspect_err(|_| {
            self.owner.id = previous_id;
            self.image = previous_image;
        })
    }

    /// Quarantines the file, so that the disk is blank under the voter id `id`. Returns the name of the quarantined file.
    ///
    /// # Errors
    /// Fails if the file can't be renamed, or a new one can't be written.
    pub fn quarantine(&mut self, id: u64) -> Result<String, StorageError> {
        let name = quarantine_file(&self.folder).map_err(|error| io_error(&self.path(), error))?;
        self.reset(Image::blank(id))?;
        Ok(name)
    }

    /// Appends one write and syncs it. The write is applied completely or not at all.
    ///
    /// # Errors
    /// Fails if the file can't be written; [`Self::image`] is unchanged then.
    pub fn save(&mut self, save: Save) -> Result<(), StorageError> {
        if !self.can_append() {
            self.rewrite()?;
        }
        let record = format::encode_save(&self.owner, &save)?;
        let path = self.path();
        let Some(open) = self.file.as_mut() else {
            return Err(StorageError::Closed { path });
        };
        let appended = open
            .file
            .write_all(&record)
            .and_then(|()| open.file.sync_data());
        if let Err(error) = appended {
            // The file may contain a part of the record, so the next write must rewrite it. A start before that may
            // find the complete record, which is safe: a replica may hold more than it has confirmed.
            self.file = None;
            return Err(io_error(&path, error));
        }
        open.bytes += record.len() as u64;
        open.appended += 1;
        self.image.apply(save);
        Ok(())
    }

    /// Whether the file is intact and below the limits at which it is rewritten.
    fn can_append(&self) -> bool {
        self.file.as_ref().is_some_and(|open| {
            open.appended < MAX_APPENDED_RECORDS && open.bytes < MAX_APPENDED_BYTES
        })
    }

    /// Replaces the file by a new one that holds the content of the disk.
    fn rewrite(&mut self) -> Result<(), StorageError> {
        let bytes = format::encode_file(&self.owner, &self.image)?;
        let file = ironstair_atomic_file::replace(&self.folder, FILE_NAME, NEW_FILE_NAME, &bytes)
            .map_err(|error| io_error(&self.path(), error))?;
        self.file = Some(OpenFile {
            file,
            bytes: bytes.len() as u64,
            appended: 0,
        });
        Ok(())
    }

    fn path(&self) -> PathBuf {
        self.folder.join(FILE_NAME)
    }
}

impl Loaded {
    fn blank(owner: Owner, note: Option<String>) -> Loaded {
        let image = Image::blank(owner.id);
        Loaded { owner, image, note }
    }

    /// The complete records of a file of `file_bytes` bytes; the note says if it ends in an incomplete one.
    fn from_content(path: &Path, content: Content, file_bytes: usize) -> Loaded {
        let incomplete_bytes = file_bytes - content.complete_bytes;
        let note = format!(
            "{}: the last {incomplete_bytes} bytes are an incomplete write and were discarded",
            path.display()
        );
        Loaded {
            owner: content.owner,
            image: content.image,
            note: (incomplete_bytes > 0).then_some(note),
        }
    }
}

fn io_error(path: &Path, source: io::Error) -> StorageError {
    StorageError::Io {
        path: path.to_path_buf(),
        source,
    }
}

/// The bytes of the file; empty if it does not exist.
fn read_file(path: &Path) -> Result<Vec<u8>, StorageError> {
    match std::fs::metadata(path) {
        Ok(metadata) if metadata.len() > MAX_FILE_BYTES => Err(StorageError::TooLarge {
            path: path.to_path_buf(),
            bytes: metadata.len(),
            limit: MAX_FILE_BYTES,
        }),
        Ok(_) => std::fs::read(path).map_err(|error| io_error(path, error)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(io_error(path, error)),
    }
}

/// Fails if the file has another format version, or belongs to another gateway or fleet.
fn check_owner(path: &Path, found: &Owner, expected: &Owner) -> Result<(), StorageError> {
    if found.format_version != expected.format_version {
        return Err(StorageError::UnsupportedVersion {
            path: path.to_path_buf(),
            found: found.format_version,
            supported: expected.format_version,
        });
    }
    if found.fleet != expected.fleet || found.gateway != expected.gateway {
        return Err(StorageError::OtherOwner {
            path: path.to_path_buf(),
            gateway: found.gateway.clone(),
            fleet: found.fleet.clone(),
            expected_gateway: expected.gateway.clone(),
            expected_fleet: expected.fleet.clone(),
        });
    }
    Ok(())
}

/// Renames the log file to the first free name for quarantined files, and returns that name.
fn quarantine_file(folder: &Path) -> io::Result<String> {
    let quarantined_name = |number: usize| format!("{FILE_NAME}.aside-{number}");
    let free_name = (1..=MAX_QUARANTINED)
        .map(quarantined_name)
        .find(|name| !folder.join(name).exists());
    // If no name is free the last file is replaced, so that quarantined files can't fill the disk.
    let name = free_name.unwrap_or_else(|| quarantined_name(MAX_QUARANTINED));
    std::fs::rename(folder.join(FILE_NAME), folder.join(&name))?;
    Ok(name)
}
