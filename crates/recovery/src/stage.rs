//! The stage of a gateway's recovery, for operators and for the invariant checker of a test. No decision relies on it.

use ironstair::Millis;

/// The stage of a gateway's recovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// The gateway has no lease: requests are rejected with a retry-after.
    #[default]
    CatchingUp,
    /// The gateway serves with at least one restriction.
    Cautious,
    /// The gateway serves without restrictions.
    Full,
}

impl Stage {
    /// The name of the stage in the tree.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::CatchingUp => "catching-up",
            Stage::Cautious => "cautious",
            Stage::Full => "full",
        }
    }
}

/// The inputs from which the stage is derived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageInputs {
    /// Whether its lease is valid.
    pub has_lease: bool,
    /// Whether the endpoint list was heard since the start.
    pub has_received_list: bool,
    /// The end of the quarantine of idempotency keys; Unix time in ms.
    pub key_quarantine_until: Millis,
    /// Whether it uses its share of the slow-start limits; `None` if the fleet does not count its members.
    pub has_slow_start_share: Option<bool>,
}

/// A condition that keeps the gateway at a stage.
struct Restriction {
    applies: fn(Millis, &StageInputs) -> bool,
    stage: Stage,
    reason: &'static str,
}

/// The conditions in order; the first that applies gives the stage and the reason.
const RESTRICTIONS: [Restriction; 4] = [
    Restriction {
        applies: |_, inputs| !inputs.has_lease,
        stage: Stage::CatchingUp,
        reason: "the fleet's policy is not known",
    },
    Restriction {
        applies: |_, inputs| !inputs.has_received_list,
        stage: Stage::Cautious,
        reason: "the list of engines was not heard since the start",
    },
    Restriction {
        applies: |now, inputs| now < inputs.key_quarantine_until,
        stage: Stage::Cautious,
        reason: "keys rest: what the last process had out is not known",
    },
    Restriction {
        applies: |_, inputs| inputs.has_slow_start_share == Some(false),
        stage: Stage::Cautious,
        reason: "no share of cold engines yet",
    },
];

/// The stage at `now` (Unix time in ms), and the reason why it is not [`Stage::Full`].
pub fn stage(now: Millis, inputs: &StageInputs) -> (Stage, Option<&'static str>) {
    let first = RESTRICTIONS
        .iter()
        .find(|restriction| (restriction.applies)(now, inputs));
    first.map_or((Stage::Full, None), |restriction| {
        (restriction.stage, Some(restriction.reason))
    })
}
