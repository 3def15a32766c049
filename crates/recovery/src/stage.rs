//! How far a gateway has come back: for who looks on, and for the oracle of a test. Nothing is decided by it.

use ironstair::Ms;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It may not decide: rejected with advice.
    #[default]
    CatchingUp,
    /// It decides, and holds something back.
    Cautious,
    Full,
}

impl Stage {
    pub fn word(self) -> &'static str {
        match self {
            Stage::CatchingUp => "catching-up",
            Stage::Cautious => "cautious",
            Stage::Full => "full",
        }
    }
}

/// What the stages go by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Facts {
    /// Whether the terms hold.
    pub lease_until: bool,
    /// Whether the list was heard since the start.
    pub heard: bool,
    /// Until when keys rest.
    pub key_quarantine: Ms,
    /// Whether it takes its share of cold engines, where the fleet counts.
    pub share: Option<bool>,
}

/// Whether it is so, where a gateway stands then, and why not further.
type Reason = (fn(Ms, &Facts) -> bool, Stage, &'static str);

/// In order; the first that holds is the reason.
const REASONS: [Reason; 4] = [
    (
        |_, f| !f.lease_until,
        Stage::CatchingUp,
        "the fleet's policy is not known",
    ),
    (
        |_, f| !f.heard,
        Stage::Cautious,
        "the list of engines was not heard since the start",
    ),
    (
        |now, f| now < f.key_quarantine,
        Stage::Cautious,
        "keys rest: what the last process had out is not known",
    ),
    (
        |_, f| f.share == Some(false),
        Stage::Cautious,
        "no share of cold engines yet",
    ),
];

/// Where it stands, and why not further; an empty reason where it is back.
pub fn stage(now: Ms, facts: &Facts) -> (Stage, &'static str) {
    let first = REASONS.iter().find(|r| r.0(now, facts));
    first.map_or((Stage::Full, ""), |r| (r.1, r.2))
}
