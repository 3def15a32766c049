//! What a process may rest on of what its last one kept.

use crate::{Engine, Kept};
use ironstair::Ms;

/// A list older than this is none: engines have moved since.
pub const OLDEST: Ms = 60_000.0;
/// A clock may go back so far without meaning anything.
const SLACK: Ms = 1000.0;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Begun {
    /// The list that holds until the name service answers: the number of its last change, its age, its engines
    /// without those that were draining.
    pub endpoints: Option<(u32, Ms, Vec<Engine>)>,
    /// What the last process had out is not known: keys rest.
    pub rests: bool,
    /// Worth a line in the log: why something was not used.
    pub note: Option<String>,
}

/// What was found and what this process knows, for the rules.
struct Found<'a> {
    kept: &'a Kept,
    gateway: &'a str,
    now: Ms,
    rev: u32,
}

/// Why a list is none, each with its condition, in order.
type Reason = (fn(&Found) -> bool, &'static str);

const NOT_OURS: Reason = (|f| f.kept.gateway != f.gateway, "it is another gateway's");
const LIST_IS_NONE: [Reason; 4] = [
    (
        |f| f.kept.at > f.now + SLACK,
        "it is of the future: a clock went back",
    ),
    (|f| f.now - f.kept.heard > OLDEST, "its list is too old"),
    (|f| f.rev > f.kept.rev, "what is told at start is newer"),
    (|f| f.kept.engines.is_empty(), "it lists no engine"),
];

/// `rev` is the number of the last change that is told at start; `now` is Unix time in ms.
pub fn begin(kept: Result<Option<Kept>, String>, gateway: &str, now: Ms, rev: u32) -> Begun {
    // Without a word of the last process it may have had anything out.
    let blank = |note: Option<String>| Begun {
        endpoints: None,
        rests: true,
        note,
    };
    let kept = match kept {
        Ok(Some(kept)) => kept,
        Ok(None) => return blank(None),
        Err(why) => return blank(Some(why)),
    };
    let found = Found {
        kept: &kept,
        gateway,
        now,
        rev,
    };
    if (NOT_OURS.0)(&found) {
        return blank(Some(NOT_OURS.1.into()));
    }
    let clean = kept.clean && kept.at <= now + SLACK;
    if let Some((_, why)) = LIST_IS_NONE.iter().find(|(so, _)| so(&found)) {
        return Begun {
            rests: !clean,
            ..blank(Some(why.to_string()))
        };
    }
    let age = (now - kept.heard).max(0.0);
    let engines = kept.engines.into_iter().filter(|e| !e.draining).collect();
    Begun {
        endpoints: Some((kept.rev, age, engines)),
        rests: !clean,
        note: None,
    }
}
