//! Parses the statements of a YANG module (RFC 7950, section 6). Only what a single module without imports needs is
//! implemented.

/// A statement: its keyword, its argument and its substatements.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Statement {
    /// The keyword.
    pub keyword: String,
    /// The argument, empty if there is none.
    pub argument: String,
    /// The statements in its block, in order.
    pub substatements: Vec<Statement>,
    /// The line of the keyword, from 1.
    pub line: usize,
}

/// Limit on the nesting depth of statements: the parser recurses once per level and must not overflow the stack.
const MAX_DEPTH: usize = 32;

impl Statement {
    /// The substatements with that keyword.
    pub fn all<'a>(&'a self, keyword: &'a str) -> impl Iterator<Item = &'a Statement> {
        self.substatements
            .iter()
            .filter(move |statement| statement.keyword == keyword)
    }

    /// The first substatement with that keyword.
    pub fn first(&self, keyword: &str) -> Option<&Statement> {
        self.substatements
            .iter()
            .find(|statement| statement.keyword == keyword)
    }

    /// The argument of the first substatement with that keyword.
    pub fn argument_of(&self, keyword: &str) -> Option<&str> {
        self.first(keyword)
            .map(|statement| statement.argument.as_str())
    }
}

/// Why a text is not a YANG module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {fault}")]
pub struct SyntaxError {
    /// The line where parsing stopped, from 1.
    pub line: usize,
    /// The fault.
    pub fault: SyntaxFault,
}

/// A fault of the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyntaxFault {
    /// Text follows the closing brace of the YANG module.
    #[error("unexpected text after the module statement")]
    TextAfterModule,
    /// A comment is not closed.
    #[error("unterminated comment, expected */")]
    UnclosedComment,
    /// A keyword or argument is missing.
    #[error("expected a keyword or an argument")]
    MissingWord,
    /// A quoted string is not closed.
    #[error("unterminated string, expected a closing quote")]
    UnclosedString,
    /// A double-quoted string contains an unknown escape.
    #[error("unknown escape sequence in a string, expected \\n, \\t, \\\" or \\\\")]
    UnknownEscape,
    /// No quoted string follows a `+`.
    #[error("expected a quoted string after +")]
    MissingOperand,
    /// The statements are nested too deeply.
    #[error("statements are nested too deeply, at most {MAX_DEPTH} levels are allowed")]
    TooDeep,
    /// Neither a semicolon nor a block ends the statement.
    #[error("expected ; or {{ after the statement")]
    UnterminatedStatement,
}

/// Parses the text of a YANG module, which consists of one statement.
///
/// # Errors
/// Fails with the line at which the text is not YANG.
pub fn parse(text: &str) -> Result<Statement, SyntaxError> {
    let mut parser = Parser {
        rest: text,
        line: 1,
    };
    let module = parser.statement(0)?;
    parser.skip_blank()?;
    if parser.rest.is_empty() {
        Ok(module)
    } else {
        Err(parser.fault(SyntaxFault::TextAfterModule))
    }
}

struct Parser<'a> {
    /// The text that remains to be parsed.
    rest: &'a str,
    /// The line at which `rest` begins, from 1.
    line: usize,
}

impl Parser<'_> {
    fn fault(&self, fault: SyntaxFault) -> SyntaxError {
        SyntaxError {
            line: self.line,
            fault,
        }
    }

    /// Consumes and returns the next `byte_count` bytes.
    fn advance(&mut self, byte_count: usize) -> &str {
        let (consumed, rest) = self.rest.split_at(byte_count);
        self.line += consumed.matches('\n').count();
        self.rest = rest;
        consumed
    }

    /// Consumes white space and comments.
    fn skip_blank(&mut self) -> Result<(), SyntaxError> {
        loop {
            let white_space = self.rest.len() - self.rest.trim_start().len();
            self.advance(white_space);
            if self.rest.starts_with("//") {
                let length = self.rest.find('\n').unwrap_or(self.rest.len());
                self.advance(length);
            } else if self.rest.starts_with("/*") {
                let end = self.rest.find("*/");
                let end = end.ok_or_else(|| self.fault(SyntaxFault::UnclosedComment))?;
                self.advance(end + "*/".len());
            } else {
                return Ok(());
            }
        }
    }

    /// Consumes the token if it comes next, and returns whether it did.
    fn accept(&mut self, token: char) -> Result<bool, SyntaxError> {
        self.skip_blank()?;
        let is_next = self.rest.starts_with(token);
        if is_next {
            self.advance(token.len_utf8());
        }
        Ok(is_next)
    }

    /// Consumes an unquoted keyword or argument.
    fn word(&mut self) -> Result<String, SyntaxError> {
        self.skip_blank()?;
        let ends_word = |character: char| {
            character.is_whitespace() || matches!(character, ';' | '{' | '}' | '"' | '\'')
        };
        let length = self.rest.find(ends_word).unwrap_or(self.rest.len());
        if length == 0 {
            return Err(self.fault(SyntaxFault::MissingWord));
        }
        Ok(self.advance(length).to_owned())
    }

    /// Consumes a quoted string; `None` if no quote comes next.
    fn quoted(&mut self) -> Result<Option<String>, SyntaxError> {
        self.skip_blank()?;
        let first = self.rest.chars().next();
        let Some(quote) = first.filter(|character| matches!(character, '"' | '\'')) else {
            return Ok(None);
        };
        self.advance(quote.len_utf8());
        // Single-quoted strings have no escapes.
        let is_special = |character: char| character == quote || quote == '"' && character == '\\';
        let mut text = String::new();
        loop {
            let length = self.rest.find(is_special);
            let length = length.ok_or_else(|| self.fault(SyntaxFault::UnclosedString))?;
            text.push_str(self.advance(length));
            if self.rest.starts_with(quote) {
                self.advance(quote.len_utf8());
                return Ok(Some(text));
            }
            text.push(self.escape()?);
        }
    }

    /// Consumes a backslash and the character after it, and returns the character that they stand for.
    fn escape(&mut self) -> Result<char, SyntaxError> {
        let escape: String = self.rest.chars().take(2).collect();
        let character = match escape.as_str() {
            "\\n" => '\n',
            "\\t" => '\t',
            "\\\"" => '"',
            "\\\\" => '\\',
            _ => return Err(self.fault(SyntaxFault::UnknownEscape)),
        };
        self.advance(escape.len());
        Ok(character)
    }

    /// Consumes an argument: a word, or quoted strings joined by `+`.
    fn argument(&mut self) -> Result<String, SyntaxError> {
        let Some(mut text) = self.quoted()? else {
            return self.word();
        };
        while self.accept('+')? {
            let more = self.quoted()?;
            text += &more.ok_or_else(|| self.fault(SyntaxFault::MissingOperand))?;
        }
        Ok(text)
    }

    fn statement(&mut self, depth: usize) -> Result<Statement, SyntaxError> {
        if depth > MAX_DEPTH {
            return Err(self.fault(SyntaxFault::TooDeep));
        }
        let mut statement = Statement {
            keyword: self.word()?,
            line: self.line,
            ..Statement::default()
        };
        self.skip_blank()?;
        if !self.rest.starts_with([';', '{']) {
            statement.argument = self.argument()?;
        }
        if self.accept(';')? {
            return Ok(statement);
        }
        if !self.accept('{')? {
            return Err(self.fault(SyntaxFault::UnterminatedStatement));
        }
        while !self.accept('}')? {
            statement.substatements.push(self.statement(depth + 1)?);
        }
        Ok(statement)
    }
}

#[cfg(test)]
mod tests;
