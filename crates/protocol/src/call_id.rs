//! Finds the id of a call in a message that arrives in parts and is not kept.

use crate::json::Reader;

/// Longest number that is read as an id, in characters; ids have fewer.
const MAX_ID_CHARACTERS: usize = 24;
/// The name of the member that holds the id.
const ID_NAME: &[u8] = b"id";

/// Looks for the member `id` of a message's outermost object. It keeps a few bytes, however long the message is.
#[derive(Debug, Default)]
pub(crate) struct CallIdScanner {
    depth: usize,
    string: StringState,
    /// The name of the current member of the outermost object, up to one byte more than [`ID_NAME`].
    name: Vec<u8>,
    is_value: bool,
    /// The characters of the id's number so far.
    number: Vec<u8>,
    call_id: Option<u64>,
}

#[derive(Debug, Default, PartialEq)]
enum StringState {
    #[default]
    Outside,
    Inside,
    AfterBackslash,
}

impl CallIdScanner {
    /// Reads the next part of the message.
    pub(crate) fn read(&mut self, part: &[u8]) {
        for &byte in part {
            if self.call_id.is_some() {
                return;
            }
            self.read_byte(byte);
        }
    }

    /// The id, once it was read completely.
    pub(crate) fn call_id(&self) -> Option<u64> {
        self.call_id
    }

    fn read_byte(&mut self, byte: u8) {
        match self.string {
            StringState::Outside => self.read_outside_string(byte),
            StringState::Inside => self.read_in_string(byte),
            StringState::AfterBackslash => self.string = StringState::Inside,
        }
    }

    fn read_in_string(&mut self, byte: u8) {
        match byte {
            b'"' => self.string = StringState::Outside,
            b'\\' => self.string = StringState::AfterBackslash,
            _ => {}
        }
        let is_name = self.depth == 1 && !self.is_value;
        if is_name && byte != b'"' && self.name.len() <= ID_NAME.len() {
            self.name.push(byte);
        }
    }

    fn read_outside_string(&mut self, byte: u8) {
        if self.depth == 1 && self.is_value && self.name == ID_NAME {
            self.read_id(byte);
        }
        match byte {
            b'"' => self.string = StringState::Inside,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            b':' if self.depth == 1 => self.is_value = true,
            b',' if self.depth == 1 => {
                self.is_value = false;
                self.name.clear();
            }
            _ => {}
        }
    }

    fn read_id(&mut self, byte: u8) {
        let is_number = byte.is_ascii_digit() || b"+-.eE".contains(&byte);
        if is_number && self.number.len() < MAX_ID_CHARACTERS {
            self.number.push(byte);
        }
        if !is_number && !self.number.is_empty() {
            self.call_id = Reader::new(&self.number).unsigned();
            self.number.clear();
        }
    }
}
