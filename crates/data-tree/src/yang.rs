//! Statements of a YANG module (RFC 7950, section 6), as far as one module without imports needs them.

/// A statement: keyword, argument and what stands within its braces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Statement {
    pub keyword: String,
    pub argument: String,
    pub inner: Vec<Statement>,
    pub line: usize,
}

/// Deeper than any module is meant to be.
const DEPTH_MOST: usize = 32;

impl Statement {
    pub fn all<'a>(&'a self, keyword: &'a str) -> impl Iterator<Item = &'a Statement> {
        self.inner.iter().filter(move |s| s.keyword == keyword)
    }
    pub fn one(&self, keyword: &str) -> Option<&Statement> {
        self.inner.iter().find(|s| s.keyword == keyword)
    }
    /// The argument of a statement within this.
    pub fn arg(&self, keyword: &str) -> Option<&str> {
        self.one(keyword).map(|s| s.argument.as_str())
    }
}

/// The one statement that a text holds; else what is wrong, with its line.
pub fn parse(text: &str) -> Result<Statement, String> {
    let mut r = Reader {
        rest: text,
        line: 1,
    };
    let found = r.statement(0)?;
    r.blank()?;
    if r.rest.is_empty() {
        Ok(found)
    } else {
        Err(r.fault("something behind the module"))
    }
}

struct Reader<'a> {
    rest: &'a str,
    line: usize,
}

impl Reader<'_> {
    fn fault(&self, what: &str) -> String {
        format!("line {}: {what}", self.line)
    }

    fn skip(&mut self, n: usize) -> &str {
        let (gone, rest) = self.rest.split_at(n);
        self.line += gone.matches('\n').count();
        self.rest = rest;
        gone
    }

    fn blank(&mut self) -> Result<(), String> {
        loop {
            let white = self.rest.len() - self.rest.trim_start().len();
            self.skip(white);
            if self.rest.starts_with("//") {
                let n = self.rest.find('\n').unwrap_or(self.rest.len());
                self.skip(n);
            } else if self.rest.starts_with("/*") {
                let n = self
                    .rest
                    .find("*/")
                    .ok_or_else(|| self.fault("a comment without end"))?;
                self.skip(n + 2);
            } else {
                return Ok(());
            }
        }
    }

    fn take(&mut self, token: char) -> Result<bool, String> {
        self.blank()?;
        let found = self.rest.starts_with(token);
        self.skip(if found { token.len_utf8() } else { 0 });
        Ok(found)
    }

    fn word(&mut self) -> Result<String, String> {
        self.blank()?;
        let ends = |c: char| c.is_whitespace() || matches!(c, ';' | '{' | '}' | '"' | '\'');
        let n = self.rest.find(ends).unwrap_or(self.rest.len());
        if n == 0 {
            return Err(self.fault("a word is missing"));
        }
        Ok(self.skip(n).to_string())
    }

    fn quoted(&mut self) -> Result<Option<String>, String> {
        self.blank()?;
        let Some(quote) = self.rest.chars().next().filter(|c| matches!(c, '"' | '\'')) else {
            return Ok(None);
        };
        self.skip(1);
        let mut text = String::new();
        loop {
            let stops = |c: char| c == quote || quote == '"' && c == '\\';
            let n = self
                .rest
                .find(stops)
                .ok_or_else(|| self.fault("a string without end"))?;
            text.push_str(self.skip(n));
            if self.rest.starts_with(quote) {
                self.skip(1);
                return Ok(Some(text));
            }
            let escape: String = self.rest.chars().take(2).collect();
            text.push(match escape.as_str() {
                "\\n" => '\n',
                "\\t" => '\t',
                "\\\"" => '"',
                "\\\\" => '\\',
                _ => return Err(self.fault("an escape that YANG does not have")),
            });
            self.skip(escape.len());
        }
    }

    fn argument(&mut self) -> Result<String, String> {
        let Some(mut text) = self.quoted()? else {
            return self.word();
        };
        while self.take('+')? {
            text += &self
                .quoted()?
                .ok_or_else(|| self.fault("no string behind +"))?;
        }
        Ok(text)
    }

    fn statement(&mut self, depth: usize) -> Result<Statement, String> {
        if depth > DEPTH_MOST {
            return Err(self.fault("too deep"));
        }
        let keyword = self.word()?;
        let mut found = Statement {
            keyword,
            line: self.line,
            ..Statement::default()
        };
        self.blank()?;
        if !self.rest.starts_with([';', '{']) {
            found.argument = self.argument()?;
        }
        if self.take(';')? {
            return Ok(found);
        }
        if !self.take('{')? {
            return Err(self.fault("neither ; nor {"));
        }
        while !self.take('}')? {
            found.inner.push(self.statement(depth + 1)?);
        }
        Ok(found)
    }
}

#[cfg(test)]
mod tests;
