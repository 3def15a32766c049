//! The ways in which an action may break a rule, and the result of a check.

/// How an action breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Violation {
    TwoAnswers,
    LateAnswer,
    AttemptAfterEnd,
    Unanswered { requests: usize },
    RejectedThoughItMayHaveRun,
    TwoAttemptsInFlight,
    NonIdempotentRepeated,
    OutsideDedupScopeOrWindow,
    EngineNotReady,
    OverSlowStartShare,
    OutOfKeyOrder,
    OutsideCells,
    OutsideZonesOrMachineTypes,
    TooManyAttempts,
    OverRetryBudget,
    ClassOutOfService,
    WithdrawalNotAllowed,
}

impl Violation {
    /// The number of the broken rule, if it is one of the seven.
    pub(crate) fn rule(self) -> Option<u8> {
        match self {
            Violation::TwoAnswers
            | Violation::LateAnswer
            | Violation::AttemptAfterEnd
            | Violation::Unanswered { .. } => Some(1),
            Violation::RejectedThoughItMayHaveRun
            | Violation::TwoAttemptsInFlight
            | Violation::NonIdempotentRepeated
            | Violation::OutsideDedupScopeOrWindow => Some(2),
            Violation::EngineNotReady => Some(3),
            Violation::OverSlowStartShare => Some(4),
            Violation::OutOfKeyOrder => Some(5),
            Violation::OutsideCells | Violation::OutsideZonesOrMachineTypes => Some(6),
            Violation::TooManyAttempts | Violation::OverRetryBudget => Some(7),
            Violation::ClassOutOfService | Violation::WithdrawalNotAllowed => None,
        }
    }
}

/// The result of a check.
pub(crate) type CheckResult = Result<(), Violation>;

/// Returns the violation as an error if the rule is broken.
pub(crate) fn forbid(is_broken: bool, violation: Violation) -> CheckResult {
    if is_broken {
        return Err(violation);
    }
    Ok(())
}
