//! What is kept, and its bytes: a word that says what file it is, the form, the CRC-32C of the rest, the rest.

use ironstair::Ms;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const WORD: [u8; 4] = *b"irst";
/// How the rest is written; another is of another version.
const FORM: u32 = 1;
const HEAD: usize = 12;
/// A file beyond this is none of ours.
pub const BYTES_MOST: u64 = 64 << 20;

/// One engine of the list, by the names that every process reads alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub marks: u16,
    pub draining: bool,
    /// Its latest start; Unix time in ms.
    pub since: Ms,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// Whose it is.
    pub gateway: String,
    /// When it was written, and when the list was last heard; Unix time in ms.
    pub at: Ms,
    pub heard: Ms,
    /// The number of the list's last change.
    pub rev: u32,
    /// That process ended by itself with nothing out.
    pub clean: bool,
    pub engines: Vec<Engine>,
}

/// # Errors
/// It can't be written.
pub fn encode(kept: &Kept) -> Result<Vec<u8>, String> {
    let rest = postcard::to_allocvec(kept).map_err(|e| e.to_string())?;
    let sum = crc32c::crc32c(&rest).to_le_bytes();
    Ok([&WORD[..], &FORM.to_le_bytes(), &sum, &rest].concat())
}

/// # Errors
/// The bytes are not what was written, or another version's; a sentence.
pub fn decode(bytes: &[u8]) -> Result<Kept, String> {
    let Some((head, rest)) = bytes.split_at_checked(HEAD) else {
        return Err("it ends early".into());
    };
    let number =
        |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    if head[..4] != WORD {
        return Err("it is no file of a gateway's".into());
    }
    if number(4) != FORM {
        return Err(format!(
            "its form {} is of another version than {FORM}",
            number(4)
        ));
    }
    if number(8) != crc32c::crc32c(rest) {
        return Err("it is not what was written".into());
    }
    postcard::from_bytes(rest).map_err(|e| format!("it can't be read: {e}"))
}
