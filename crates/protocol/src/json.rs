//! A JSON reader that reads a buffer value by value. Strings without escape sequences are borrowed.

use std::borrow::Cow;

/// Maximum depth of nested objects and arrays in a value that is skipped. The clients' messages nest less; without a
/// limit, a message of opening brackets would overflow the stack.
const MAX_DEPTH: usize = 32;
/// 2^53. Numbers are read as `f64`, which represents every whole number below this one exactly.
const EXACT_INTEGER_LIMIT: f64 = 9007199254740992.0;

/// Reads JSON values from a buffer, one after the other.
///
/// Every method returns `None` if the next value is malformed or of another type. The position is then unspecified and
/// the reader must not be used any further.
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    /// Creates a reader at the start of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes, position: 0 }
    }

    /// Skips white space and returns the next byte without consuming it.
    pub fn peek(&mut self) -> Option<u8> {
        let rest = self.bytes.get(self.position..)?;
        let is_space = |byte: &&u8| b" \t\r\n".contains(byte);
        self.position += rest.iter().take_while(is_space).count();
        self.bytes.get(self.position).copied()
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.position += 1)
    }

    /// Reads an object. `on_key` is called with each key and must consume the key's value.
    pub fn object(&mut self, mut on_key: impl FnMut(&[u8], &mut Self) -> Option<()>) -> Option<()> {
        self.expect(b'{')?;
        self.items(b'}', |reader| {
            let key = reader.string()?;
            reader.expect(b':')?;
            on_key(&key, reader)
        })
    }

    /// Reads items separated by commas up to and including the byte `end`.
    fn items(&mut self, end: u8, mut on_item: impl FnMut(&mut Self) -> Option<()>) -> Option<()> {
        if self.peek()? == end {
            self.position += 1;
            return Some(());
        }
        loop {
            on_item(self)?;
            let separator = self.peek()?;
            if separator != b',' && separator != end {
                return None;
            }
            self.position += 1;
            if separator == end {
                return Some(());
            }
        }
    }

    /// Reads a string. The result is borrowed unless the string contains an escape sequence.
    pub fn string(&mut self) -> Option<Cow<'a, [u8]>> {
        self.expect(b'"')?;
        let rest = self.bytes.get(self.position..)?;
        let literal_length = rest.iter().position(|byte| matches!(byte, b'"' | b'\\'))?;
        let literal = &rest[..literal_length];
        self.position += literal_length;
        if rest[literal_length] == b'"' {
            self.position += 1;
            return Some(Cow::Borrowed(literal));
        }
        let mut decoded = literal.to_vec();
        loop {
            match self.next_byte()? {
                b'"' => return Some(Cow::Owned(decoded)),
                b'\\' => self.escape_sequence(&mut decoded)?,
                byte => decoded.push(byte),
            }
        }
    }

    /// Decodes the escape sequence after a backslash.
    fn escape_sequence(&mut self, decoded: &mut Vec<u8>) -> Option<()> {
        let byte = match self.next_byte()? {
            b'n' => b'\n',
            b't' => b'\t',
            b'r' => b'\r',
            b'b' => 8,
            b'f' => 12,
            b'u' => {
                let character = self.unicode_escape()?;
                decoded.extend(character.encode_utf8(&mut [0; 4]).as_bytes());
                return Some(());
            }
            byte @ (b'"' | b'\\' | b'/') => byte,
            _ => return None,
        };
        decoded.push(byte);
        Some(())
    }

    /// Decodes the digits after `\u`, and the second half of a surrogate pair if one follows.
    fn unicode_escape(&mut self) -> Option<char> {
        let first = self.utf16_unit()?;
        let is_high_surrogate = (0xD800..0xDC00).contains(&first);
        if !is_high_surrogate || !self.bytes.get(self.position..)?.starts_with(b"\\u") {
            return char::from_u32(first);
        }
        self.position += 2;
        let low = self.utf16_unit()?.checked_sub(0xDC00)?;
        char::from_u32(0x10000 + ((first - 0xD800) << 10) + low)
    }

    fn utf16_unit(&mut self) -> Option<u32> {
        let digits = self.bytes.get(self.position..self.position + 4)?;
        self.position += 4;
        u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
    }

    fn next_byte(&mut self) -> Option<u8> {
        let byte = self.bytes.get(self.position).copied()?;
        self.position += 1;
        Some(byte)
    }

    /// Reads a finite number.
    pub fn number(&mut self) -> Option<f64> {
        self.peek()?;
        let rest = &self.bytes[self.position..];
        let may_be_in_number = |byte: &&u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let length = rest.iter().take_while(may_be_in_number).count();
        self.position += length;
        let text = std::str::from_utf8(&rest[..length]).ok()?;
        let number: f64 = text.parse().ok()?;
        number.is_finite().then_some(number)
    }

    /// Reads a whole number from 0 up to 2^53, exclusive.
    pub fn unsigned(&mut self) -> Option<u64> {
        let number = self.number()?;
        let is_exact = number >= 0.0 && number.fract() == 0.0 && number < EXACT_INTEGER_LIMIT;
        is_exact.then_some(number as u64)
    }

    /// Skips a value of any type and returns its bytes.
    pub fn raw_value(&mut self) -> Option<&'a [u8]> {
        self.peek()?;
        let start = self.position;
        self.skip_value()?;
        self.bytes.get(start..self.position)
    }

    /// Skips a value of any type.
    pub fn skip_value(&mut self) -> Option<()> {
        self.skip_at_depth(0)
    }

    fn skip_at_depth(&mut self, depth: usize) -> Option<()> {
        if depth > MAX_DEPTH {
            return None;
        }
        match self.peek()? {
            b'{' => self.object(|_, reader| reader.skip_at_depth(depth + 1)),
            b'"' => self.string().map(drop),
            b'[' => {
                self.position += 1;
                self.items(b']', |reader| reader.skip_at_depth(depth + 1))
            }
            b't' | b'f' | b'n' => self.literal(),
            _ => self.number().map(drop),
        }
    }

    fn literal(&mut self) -> Option<()> {
        let rest = &self.bytes[self.position..];
        let literals = [&b"true"[..], b"false", b"null"];
        let literal = literals
            .into_iter()
            .find(|literal| rest.starts_with(literal))?;
        self.position += literal.len();
        Some(())
    }

    /// Whether only white space remains.
    pub fn at_end(&mut self) -> bool {
        self.peek().is_none()
    }
}
