//! A voter's disk: a file to which each step is appended and brought to the disk before anything rests on it, and
//! that is written anew beside itself now and then.
//!
//! A record is its length, the CRC-32C of that and one of the step (4 bytes each, little end first; both take in
//! whose disk it is), and the step. A file that ends within a record, or in zeros, was being written when its
//! process or machine ended: nobody was told of that step, and it is cut off. Any other fault means that steps which
//! others rest on may be lost: the file is put aside, and the voter begins blank under another voter's number.

use ironstair_raft_replica::{Image, Save};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

const FILE: &str = "fleet.log";
const BESIDE: &str = "fleet.new";
/// Of what is put aside, so many stay.
const MAX_QUARANTINED: usize = 8;
/// How the records are written; another is of another version.
const FORM: u32 = 1;
const HEAD: usize = 12;
/// Steps behind the first, and bytes, after which the file is written anew.
const STEPS_MOST: usize = 1024;
const BYTES_MOST: u64 = 16 << 20;
/// A file beyond this is none of ours.
const FILE_MOST: u64 = 1 << 30;

/// Whose disk it is; the first record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    form: u32,
    fleet: String,
    gateway: String,
    /// The voter's number that belongs to this disk.
    id: u64,
}

pub struct Storage {
    folder: PathBuf,
    owner: Owner,
    /// None where the last step may be half there: the next one writes all anew.
    file: Option<File>,
    /// How many bytes of it are whole, and how many steps they are.
    whole: u64,
    steps: usize,
    image: Image,
}

/// A disk as a start finds it.
pub struct Opened {
    pub storage: Storage,
    /// Worth a line in the log: what was there could not be used, or not all of it.
    pub note: Option<String>,
}

/// One record from the front of what is left.
enum Next<'a> {
    Whole(&'a [u8], &'a [u8]),
    /// It was being written.
    Torn,
    Wrong,
    End,
}

fn sum(owner: u64, value: &[u8]) -> [u8; 4] {
    crc32c::crc32c_append(crc32c::crc32c(&owner.to_le_bytes()), value).to_le_bytes()
}

fn record(owner: u64, what: &impl Serialize) -> Result<Vec<u8>, String> {
    let value = postcard::to_allocvec(what).map_err(|e| e.to_string())?;
    let length = u32::try_from(value.len())
        .map_err(|_| "a step is too long")?
        .to_le_bytes();
    Ok([
        &length[..],
        &sum(owner, &length),
        &sum(owner, &value),
        &value,
    ]
    .concat())
}

fn next(owner: u64, bytes: &[u8]) -> Next<'_> {
    if bytes.is_empty() {
        return Next::End;
    }
    // A machine that ends may leave a file longer than what was written to it.
    if bytes.iter().all(|b| *b == 0) {
        return Next::Torn;
    }
    let Some((head, rest)) = bytes.split_at_checked(HEAD) else {
        return Next::Torn;
    };
    // Against a length that points behind the end: what stands there looked as if it were being written.
    if sum(owner, &head[..4]) != head[4..8] {
        return Next::Wrong;
    }
    let long = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let Some((value, rest)) = rest.split_at_checked(long) else {
        return Next::Torn;
    };
    match sum(owner, value) == head[8..] {
        true => Next::Whole(value, rest),
        false => Next::Wrong,
    }
}

/// What a file's bytes come to: whose, the image, how many bytes and steps are whole.
type Read = (Owner, Image, usize, usize);

fn read(bytes: &[u8]) -> Result<Option<Read>, String> {
    let wrong = |at: usize| format!("what stands at byte {at} is not what was written");
    let (value, mut rest) = match next(0, bytes) {
        Next::Whole(value, rest) => (value, rest),
        // It ended before the first step: nobody rests on it.
        Next::Torn | Next::End => return Ok(None),
        Next::Wrong => return Err(wrong(0)),
    };
    let owner: Owner = postcard::from_bytes(value).map_err(|_| "it does not say whose it is")?;
    let (mut image, mut steps) = (Image::blank(owner.id), 0);
    loop {
        let at = bytes.len() - rest.len();
        match next(owner.id, rest) {
            Next::Whole(value, then) => {
                let save: Save = postcard::from_bytes(value).map_err(|_| wrong(at))?;
                image.take(save);
                (rest, steps) = (then, steps + 1);
            }
            Next::Wrong => return Err(wrong(at)),
            Next::Torn | Next::End => return Ok(Some((owner, image, at, steps))),
        }
    }
}

impl Storage {
    /// The disk in that folder; one without a history begins under `number`, which is to be drawn anew at each call.
    ///
    /// # Errors
    /// The folder can't be used, or the file is another gateway's, another fleet's or another version's: one
    /// sentence with its path. Nothing was changed then.
    pub fn open(folder: &Path, fleet: &str, gateway: &str, number: u64) -> Result<Opened, String> {
        let path = folder.join(FILE);
        let fault = |e: String| format!("{}: {e}", path.display());
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let bytes = match std::fs::metadata(&path) {
            Ok(m) if m.len() > FILE_MOST => {
                return Err(fault(format!("{} bytes are no log", m.len())))
            }
            Ok(_) => std::fs::read(&path).map_err(|e| fault(e.to_string()))?,
            Err(e) if e.kind() == ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(fault(e.to_string())),
        };
        let wanted = Owner {
            form: FORM,
            fleet: fleet.into(),
            gateway: gateway.into(),
            id: number,
        };
        let blank = Image::blank(number);
        let (owner, image, note) = match read(&bytes) {
            Ok(None) => (wanted, blank, None),
            Ok(Some((is, ..))) if is.form != FORM => {
                return Err(fault(format!(
                    "its form {} is of another version than {FORM}",
                    is.form
                )));
            }
            Ok(Some((is, ..))) if (&is.fleet, &is.gateway) != (&wanted.fleet, &wanted.gateway) => {
                return Err(fault(format!(
                    "it is of gateway {} in fleet {}, not of {gateway} in {fleet}",
                    is.gateway, is.fleet
                )));
            }
            Ok(Some((owner, image, whole, _))) => {
                let lost = bytes.len() - whole;
                let torn = || {
                    format!(
                        "{}: the last {lost} bytes were being written and are cut off",
                        path.display()
                    )
                };
                (owner, image, (lost > 0).then(torn))
            }
            Err(why) => {
                let aside = quarantined(folder, &path).map_err(|e| fault(e.to_string()))?;
                (
                    wanted,
                    blank,
                    Some(fault(format!(
                        "can't be trusted ({why}) and is put aside as {aside}"
                    ))),
                )
            }
        };
        let folder = folder.to_path_buf();
        let mut storage = Storage {
            folder,
            owner,
            file: None,
            whole: 0,
            steps: 0,
            image,
        };
        storage.anew().map_err(fault)?;
        Ok(Opened { storage, note })
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// What the disk holds.
    pub fn image(&self) -> &Image {
        &self.image
    }

    /// Begins a history: the disk holds this image from now on, under its number.
    ///
    /// # Errors
    /// As the disk has it; it is as before then.
    pub fn begin(&mut self, image: Image) -> Result<(), String> {
        let was = (self.owner.id, std::mem::replace(&mut self.image, image));
        self.owner.id = self.image.id;
        self.anew()
            .inspect_err(|_| (self.owner.id, self.image) = was)
    }

    /// Puts aside what the disk holds, and begins blank under `number`; where it lies now.
    ///
    /// # Errors
    /// As the disk has it.
    pub fn quarantined(&mut self, number: u64) -> Result<String, String> {
        let path = self.folder.join(FILE);
        let aside =
            quarantined(&self.folder, &path).map_err(|e| format!("{}: {e}", path.display()))?;
        self.begin(Image::blank(number)).map(|()| aside)
    }

    /// Brings a step to the disk, all of it or none.
    ///
    /// # Errors
    /// As the disk has it; nothing of the step counts then.
    pub fn save(&mut self, save: Save) -> Result<(), String> {
        if self.file.is_none() || self.steps >= STEPS_MOST || self.whole >= BYTES_MOST {
            self.anew()?;
        }
        let bytes = record(self.owner.id, &save)?;
        let file = self.file.as_mut().ok_or("the log is not open")?;
        if let Err(e) = file.write_all(&bytes).and_then(|()| file.sync_data()) {
            // How much of it is there is not known: all is written anew next. A start before that may find the step
            // whole, which harms nobody: a voter may have kept more than it told.
            self.file = None;
            return Err(format!("{}: {e}", self.folder.join(FILE).display()));
        }
        (self.whole, self.steps) = (self.whole + bytes.len() as u64, self.steps + 1);
        self.image.take(save);
        Ok(())
    }

    /// Writes all beside the file, and puts it in its place.
    fn anew(&mut self) -> Result<(), String> {
        let bytes = [
            record(0, &self.owner)?,
            record(self.owner.id, &self.image.step())?,
        ]
        .concat();
        let file = ironstair_atomic_file::replace(&self.folder, FILE, BESIDE, &bytes);
        let file = file.map_err(|e| format!("{}: {e}", self.folder.join(FILE).display()))?;
        (self.file, self.whole, self.steps) = (Some(file), bytes.len() as u64, 0);
        Ok(())
    }
}

fn quarantined(folder: &Path, file: &Path) -> io::Result<String> {
    let free = (1..MAX_QUARANTINED)
        .map(|n| format!("{FILE}.aside-{n}"))
        .find(|n| !folder.join(n).exists());
    // The last is written over: what fills a disk helps nobody.
    let name = free.unwrap_or(format!("{FILE}.aside-{MAX_QUARANTINED}"));
    std::fs::rename(file, folder.join(&name))?;
    Ok(name)
}
