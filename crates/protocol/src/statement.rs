//! Finds the table group of an SQL statement: the number after the last underscore in the name of a schema, such as 17
//! in `sales_17.orders`.

/// After these keywords, a name with a dot is a table.
const TABLE_KEYWORDS: [&[u8]; 8] = [
    b"from", b"join", b"into", b"update", b"table", b"using", b"copy", b"only",
];
/// After these keywords, a name with a dot may be a column of a table or alias.
const COLUMN_KEYWORDS: [&[u8]; 9] = [
    b"select", b"where", b"on", b"set", b"group", b"order", b"having", b"values", b"limit",
];
/// Schemas of this name hold copies on their way into another table: their number is not a table group.
const STAGING_SCHEMA: &[u8] = b"staging";

/// Returns the statement's table group; `None` if no schema's name has a number.
///
/// The first table with a group decides. A name with a dot elsewhere may be an alias and its column: it counts only if
/// the statement names no table with a group.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let mut scan = Scan::default();
    let mut tokens = Tokens { rest: statement };
    tokens
        .find_map(|token| scan.table_group(token))
        .or(scan.column_group)
}

/// The state of the search through a statement, token by token.
#[derive(Default)]
struct Scan<'a> {
    /// Whether the last keyword is followed by tables.
    tables_follow: bool,
    /// The last name that does not follow a dot.
    name: Option<&'a [u8]>,
    previous: Option<Token<'a>>,
    /// The first group in a name that may be that of a column.
    column_group: Option<u64>,
}

impl<'a> Scan<'a> {
    /// Processes the next token. Returns the group of a table if the token ends the name of its schema.
    fn table_group(&mut self, token: Token<'a>) -> Option<u64> {
        let previous = self.previous.replace(token);
        match token {
            Token::Name(_) if previous == Some(Token::Dot) => {}
            Token::Name(name) => {
                self.update_tables_follow(name);
                self.name = Some(name);
            }
            Token::Dot => {
                let schema = self.name.take();
                let follows_name = matches!(previous, Some(Token::Name(_)));
                let group = schema.filter(|_| follows_name).and_then(group_of_schema);
                if self.tables_follow {
                    return group;
                }
                self.column_group = self.column_group.or(group);
            }
            Token::Other(_) => self.name = None,
        }
        None
    }

    fn update_tables_follow(&mut self, name: &[u8]) {
        let is_name = |keyword: &&[u8]| name.eq_ignore_ascii_case(keyword);
        if TABLE_KEYWORDS.iter().any(is_name) {
            self.tables_follow = true;
        } else if COLUMN_KEYWORDS.iter().any(is_name) {
            self.tables_follow = false;
        }
    }
}

fn group_of_schema(schema: &[u8]) -> Option<u64> {
    let underscore = schema.iter().rposition(|byte| *byte == b'_')?;
    let name = &schema[..underscore];
    let digits = &schema[underscore + 1..];
    if name.is_empty() || name.eq_ignore_ascii_case(STAGING_SCHEMA) {
        return None;
    }
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

#[derive(Clone, Copy, PartialEq)]
enum Token<'a> {
    /// A keyword or identifier, without quotes.
    Name(&'a [u8]),
    Dot,
    /// The first byte of anything else.
    Other(u8),
}

/// Splits a statement into tokens. Comments and dollar-quoted strings are skipped.
struct Tokens<'a> {
    rest: &'a [u8],
}

impl<'a> Tokens<'a> {
    /// Removes up to `length` bytes from the front.
    fn advance(&mut self, length: usize) -> &'a [u8] {
        let (removed, rest) = self.rest.split_at(length.min(self.rest.len()));
        self.rest = rest;
        removed
    }

    /// Skips text up to and including the closing quote; a doubled quote is part of the text.
    fn quoted(&mut self, quote: u8) -> &'a [u8] {
        let text = self.rest;
        let mut length = 0;
        while length < text.len() {
            if text[length] == quote {
                if text.get(length + 1) != Some(&quote) {
                    break;
                }
                length += 1;
            }
            length += 1;
        }
        self.advance(length + 1);
        &text[..length.min(text.len())]
    }

    fn line_comment(&mut self) {
        let length = self.rest.iter().take_while(|byte| **byte != b'\n').count();
        self.advance(length);
    }

    /// Skips the rest of a block comment; such comments nest.
    fn block_comment(&mut self) {
        let mut depth = 1;
        while depth > 0 && !self.rest.is_empty() {
            let length = match self.rest {
                [b'*', b'/', ..] => {
                    depth -= 1;
                    2
                }
                [b'/', b'*', ..] => {
                    depth += 1;
                    2
                }
                _ => 1,
            };
            self.advance(length);
        }
    }

    /// Skips a string `$tag$ ... $tag$`, or a lone dollar sign.
    fn dollar_quoted(&mut self) {
        let after_dollar = &self.rest[1..];
        let is_tag_byte = |byte: &&u8| byte.is_ascii_alphanumeric() || **byte == b'_';
        let tag_length = after_dollar.iter().take_while(is_tag_byte).count();
        let has_second_dollar = after_dollar.get(tag_length) == Some(&b'$');
        let starts_with_digit = after_dollar.first().is_some_and(u8::is_ascii_digit);
        if !has_second_dollar || starts_with_digit {
            self.advance(1);
            return;
        }
        let tag = self.advance(tag_length + 2);
        let end = self.rest.windows(tag.len()).position(|text| text == tag);
        let length = end.map_or(self.rest.len(), |start| start + tag.len());
        self.advance(length);
    }

    fn name(&mut self) -> &'a [u8] {
        let is_name_byte =
            |byte: &&u8| byte.is_ascii_alphanumeric() || matches!(**byte, b'_' | b'$' | 128..);
        let length = self.rest.iter().take_while(is_name_byte).count();
        self.advance(length)
    }
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            match self.rest {
                [] => return None,
                [b'-', b'-', ..] => self.line_comment(),
                [b'/', b'*', ..] => {
                    self.advance(2);
                    self.block_comment();
                }
                [b'$', ..] => self.dollar_quoted(),
                [space, ..] if space.is_ascii_whitespace() => {
                    self.advance(1);
                }
                [b'\'', ..] => {
                    self.advance(1);
                    self.quoted(b'\'');
                    return Some(Token::Other(b'\''));
                }
                [quote @ (b'"' | b'`'), ..] => {
                    self.advance(1);
                    return Some(Token::Name(self.quoted(*quote)));
                }
                [b'.', ..] => {
                    self.advance(1);
                    return Some(Token::Dot);
                }
                [b'0'..=b'9' | b'a'..=b'z' | b'A'..=b'Z' | b'_' | 128.., ..] => {
                    return Some(Token::Name(self.name()));
                }
                [other, ..] => {
                    self.advance(1);
                    return Some(Token::Other(*other));
                }
            }
        }
    }
}
