//! Paths of the tree, and patterns that match them. Every list of the tree has exactly one key, so that a step holds
//! only the value of the key.

use crate::schema::MODULE_NAME;
use std::fmt;
use std::sync::Arc;

/// Limit on the number of steps of a pattern; the tree is less deep. Matching `...` recurses once per step.
pub const MAX_STEPS: usize = 16;

/// Limit on the text of a pattern in bytes, because clients may send any text; no path of the tree is as long.
pub const MAX_TEXT_BYTES: usize = 1024;

/// One step: the name of a node and, for an entry of a list, its key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Step {
    /// The name of the node.
    pub name: Arc<str>,
    /// The value of the key, if the step leads to an entry of a list.
    pub key: Option<Arc<str>>,
}

/// The path of a node from the root. Paths are ordered such that the nodes below a node follow it directly.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Path(pub Arc<[Step]>);

/// One step of a pattern.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StepPattern {
    /// Matches one step.
    Step {
        /// The name; `None`, written `*`, matches any name.
        name: Option<Arc<str>>,
        /// The value of the key; `None` matches any value.
        key: Option<Arc<str>>,
        /// The name of the key. [`Schema::resolve`](crate::Schema::resolve) fills it in for lists.
        key_name: Option<Arc<str>>,
    },
    /// Matches zero or more steps; written `...`.
    AnySteps,
}

/// A sequence of step patterns. It matches nodes, and covers every path that is at or below a matched node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Pattern(pub Vec<StepPattern>);

/// Why a text is not a pattern.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatternError {
    /// The text is longer than [`MAX_TEXT_BYTES`].
    #[error("the path has {0} bytes, at most {MAX_TEXT_BYTES} are allowed")]
    TooLong(usize),
    /// The pattern has more steps than [`MAX_STEPS`].
    #[error("the path has {0} steps, at most {MAX_STEPS} are allowed")]
    TooDeep(usize),
    /// A step has no name.
    #[error("{0}: a step has no name")]
    MissingName(String),
    /// A bracket contains no `=`.
    #[error("{0}: a key has no =, expected [name=value]")]
    KeyWithoutValue(String),
    /// A bracket is not closed.
    #[error("{0}: a key is not closed, expected ]")]
    UnclosedBracket(String),
    /// A step has two keys.
    #[error("{0}: a step has two keys, at most one is allowed")]
    SecondKey(String),
    /// A bracket is followed by something other than a slash.
    #[error("{0}: expected / after ]")]
    MissingSlash(String),
}

impl Path {
    /// The path of the root, which has no steps.
    pub fn root() -> Path {
        Path(Arc::new([]))
    }

    /// The path with one more step.
    pub fn child(&self, name: &Arc<str>, key: Option<Arc<str>>) -> Path {
        let last = Step {
            name: name.clone(),
            key,
        };
        Path(self.0.iter().cloned().chain([last]).collect())
    }

    /// Whether the path is `other` or below it.
    pub fn starts_with(&self, other: &Path) -> bool {
        self.0.starts_with(&other.0)
    }

    /// The first `step_count` steps of the path; the whole path if it has fewer.
    pub fn prefix(&self, step_count: usize) -> Path {
        Path(self.0[..step_count.min(self.0.len())].into())
    }
}

impl fmt::Display for Path {
    /// Writes `/settings/band[name=lookup]/expected`.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("/");
        }
        self.0.iter().try_for_each(|step| match &step.key {
            Some(key) => write_keyed_step(f, &step.name, key_name(&step.name), key),
            None => write!(f, "/{}", step.name),
        })
    }
}

fn write_keyed_step(
    formatter: &mut fmt::Formatter,
    name: &str,
    key_name: &str,
    key: &str,
) -> fmt::Result {
    let escaped = key.replace('\\', "\\\\").replace(']', "\\]");
    write!(formatter, "/{name}[{key_name}={escaped}]")
}

/// The name of the key of a list.
pub fn key_name(list: &str) -> &'static str {
    if list == "revision" {
        "number"
    } else {
        "name"
    }
}

impl Pattern {
    /// Reads `/settings/band[name=*]/expected`; the leading slash may be missing.
    ///
    /// # Errors
    /// Fails if the text is not of that form, or is too long.
    pub fn read(text: &str) -> Result<Pattern, PatternError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(PatternError::TooLong(text.len()));
        }
        let mut steps = Vec::new();
        let mut rest = text.trim().trim_start_matches('/');
        while !rest.is_empty() {
            let (step, after) = read_step(rest, text)?;
            steps.push(step);
            rest = after.strip_prefix('/').unwrap_or(after);
            if !after.is_empty() && !after.starts_with('/') {
                return Err(PatternError::MissingSlash(text.to_owned()));
            }
        }
        Pattern(steps).checked()
    }

    /// Returns the pattern if it is not too deep.
    ///
    /// # Errors
    /// Fails if it has more than [`MAX_STEPS`] steps.
    pub fn checked(self) -> Result<Pattern, PatternError> {
        if self.0.len() > MAX_STEPS {
            return Err(PatternError::TooDeep(self.0.len()));
        }
        Ok(self)
    }

    /// The pattern that matches the node at the path.
    pub fn of(path: &Path) -> Pattern {
        let step_pattern = |step: &Step| StepPattern::Step {
            name: Some(step.name.clone()),
            key: step.key.clone(),
            key_name: step.key.as_ref().map(|_| key_name(&step.name).into()),
        };
        Pattern(path.0.iter().map(step_pattern).collect())
    }

    /// The steps of this pattern followed by those of `more`.
    pub fn join(&self, more: &Pattern) -> Pattern {
        Pattern(self.0.iter().chain(&more.0).cloned().collect())
    }

    /// Whether the pattern contains `...`, so that the matched nodes may differ in depth.
    pub fn has_any_steps(&self) -> bool {
        self.0.contains(&StepPattern::AnySteps)
    }

    /// Whether the path is at or below a node that the pattern matches.
    pub fn covers(&self, path: &Path) -> bool {
        covers(&self.0, &path.0)
    }

    /// The longest path that is a prefix of every matched path. The pattern must be resolved by the schema: in an
    /// unresolved one a list without a key can't be distinguished from a container.
    pub fn stem(&self) -> Path {
        let literal_steps = self.0.iter().map_while(|step| match step {
            StepPattern::Step {
                key: None,
                key_name: Some(_),
                ..
            } => None,
            StepPattern::Step {
                name: Some(name),
                key,
                ..
            } => Some(Step {
                name: name.clone(),
                key: key.clone(),
            }),
            _ => None,
        });
        Path(literal_steps.collect())
    }
}

/// Reads the step at the start of `rest`, and returns it with the text after it. `text` is the whole pattern, which
/// errors quote.
fn read_step<'a>(rest: &'a str, text: &str) -> Result<(StepPattern, &'a str), PatternError> {
    let name_end = rest.find(['/', '[']).unwrap_or(rest.len());
    let (name, after_name) = rest.split_at(name_end);
    if name.is_empty() {
        return Err(PatternError::MissingName(text.to_owned()));
    }
    let Some(bracket) = after_name.strip_prefix('[') else {
        return Ok((StepPattern::of(name, None), after_name));
    };
    let (key_name, key_and_rest) = bracket
        .split_once('=')
        .ok_or_else(|| PatternError::KeyWithoutValue(text.to_owned()))?;
    let (key, after) =
        read_key(key_and_rest).ok_or_else(|| PatternError::UnclosedBracket(text.to_owned()))?;
    if after.starts_with('[') {
        return Err(PatternError::SecondKey(text.to_owned()));
    }
    let step = StepPattern::of(name, Some((key_name.trim(), &key)));
    Ok((step, after))
}

/// Reads the value of a key up to its closing bracket. Returns the unescaped value and the text after the bracket.
fn read_key(text: &str) -> Option<(String, &str)> {
    let mut key = String::new();
    let mut is_escaped = false;
    for (index, character) in text.char_indices() {
        match character {
            _ if is_escaped => {
                key.push(character);
                is_escaped = false;
            }
            '\\' => is_escaped = true,
            ']' => return Some((key, &text[index + 1..])),
            _ => key.push(character),
        }
    }
    None
}

impl StepPattern {
    /// The pattern of a step from its name and from the name and value of its key, in which `*` is a wildcard.
    pub fn of(name: &str, key: Option<(&str, &str)>) -> StepPattern {
        if name == "..." {
            return StepPattern::AnySteps;
        }
        let literal = |text: &str| (text != "*").then(|| text.into());
        StepPattern::Step {
            // Clients may write names with the prefix of the YANG module.
            name: literal(without_module(name)),
            key: key.and_then(|(_, value)| literal(value)),
            key_name: key.map(|(key_name, _)| key_name.into()),
        }
    }

    fn matches(&self, step: &Step) -> bool {
        let StepPattern::Step { name, key, .. } = self else {
            return false;
        };
        let name_matches = name.as_ref().is_none_or(|name| *name == step.name);
        name_matches && (key.is_none() || *key == step.key)
    }
}

fn without_module(name: &str) -> &str {
    name.strip_prefix(MODULE_NAME)
        .and_then(|rest| rest.strip_prefix(':'))
        .unwrap_or(name)
}

fn covers(pattern: &[StepPattern], steps: &[Step]) -> bool {
    let Some((first, rest)) = pattern.split_first() else {
        return true;
    };
    if *first == StepPattern::AnySteps {
        return (0..=steps.len()).any(|skipped| covers(rest, &steps[skipped..]));
    }
    let Some((step, more_steps)) = steps.split_first() else {
        return false;
    };
    first.matches(step) && covers(rest, more_steps)
}

impl fmt::Display for Pattern {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("/");
        }
        self.0.iter().try_for_each(|step| write!(f, "{step}"))
    }
}

impl fmt::Display for StepPattern {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let StepPattern::Step {
            name,
            key,
            key_name,
        } = self
        else {
            return f.write_str("/...");
        };
        let name = name.as_deref().unwrap_or("*");
        match key {
            Some(key) => write_keyed_step(f, name, key_name.as_deref().unwrap_or("name"), key),
            None => write!(f, "/{name}"),
        }
    }
}

#[cfg(test)]
mod tests;
