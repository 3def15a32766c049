//! The inputs and outputs of the revision tracker.

use crate::record::Record;
use ironstair::Millis;

/// The time in ms within which a change must be confirmed if its client does not state one.
const CONFIRM_WITHIN_DEFAULT: Millis = 600_000.0;
/// The shortest time that a client may state. A person could not check the effect of a change in less.
const CONFIRM_WITHIN_MIN: Millis = 1000.0;
/// The longest time that a client may state: one day. An operator would forget a change that stays unconfirmed longer.
const CONFIRM_WITHIN_MAX: Millis = 86_400_000.0;

/// The requested time to confirm a change, in ms, is out of bounds.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error(
    "of {} ms is outside {} s to {} s",
    .0,
    CONFIRM_WITHIN_MIN / 1000.0,
    CONFIRM_WITHIN_MAX / 1000.0
)]
pub struct ConfirmWithinError(pub Millis);

/// The time in ms within which a change must be confirmed, from the time that its client requests.
///
/// # Errors
/// Fails if the time is out of bounds. The error completes a sentence that begins with the name of the field.
pub fn confirm_within(requested: Option<Millis>) -> Result<Millis, ConfirmWithinError> {
    let within = requested.unwrap_or(CONFIRM_WITHIN_DEFAULT);
    if (CONFIRM_WITHIN_MIN..=CONFIRM_WITHIN_MAX).contains(&within) {
        return Ok(within);
    }
    Err(ConfirmWithinError(within))
}

/// How a change must be confirmed.
#[derive(Clone, Debug, PartialEq)]
pub struct Confirmation {
    /// The id by which the change is confirmed.
    pub id: String,
    /// The time within which it must be confirmed, in ms.
    pub within: Millis,
}

/// A command that a client sends.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<D> {
    /// Replaces the settings.
    Set {
        /// The author of the change.
        author: String,
        /// A summary of the change.
        summary: String,
        /// The new settings.
        document: D,
        /// How the change must be confirmed; `None` for a permanent change.
        confirmation: Option<Confirmation>,
    },
    /// Makes the unconfirmed change permanent.
    Confirm {
        /// The id of the change.
        id: String,
    },
    /// Rolls the unconfirmed change back.
    Cancel {
        /// The id of the change.
        id: String,
    },
    /// Sets another time within which the unconfirmed change must be confirmed.
    Extend {
        /// The id of the change.
        id: String,
        /// The new time to confirm, in ms from now on.
        within: Millis,
    },
}

/// A record could not be written to the disk.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct WriteError(pub String);

/// An input of the tracker.
#[derive(Clone, Debug, PartialEq)]
pub enum Input<D> {
    /// A command. The next one must wait until this one is answered.
    Command(Command<D>),
    /// The result of the write requested by [`Action::Write`].
    Written(Result<(), WriteError>),
    /// The time that [`crate::RevisionTracker::due`] returned has been reached.
    Due,
}

/// Why a command was refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// A revision is unconfirmed: only its confirmation, its cancellation or an extension of its time is accepted.
    #[error("revision {number} is unconfirmed: confirm or cancel it by its id {id:?} first")]
    Unconfirmed {
        /// The number of the revision.
        number: u64,
        /// The id under which it is confirmed.
        id: String,
    },
    /// No unconfirmed revision has that id.
    #[error("no unconfirmed change has the id {id:?}; it may have been confirmed or rolled back already")]
    NoSuchCommit {
        /// The id in the command.
        id: String,
    },
    /// The change could not be persisted; nothing has changed.
    #[error("the change was not made: it can't be persisted: {reason}")]
    NotPersisted {
        /// The error of the write.
        #[source]
        reason: WriteError,
    },
    /// An earlier command is not answered yet.
    #[error("another change is in progress")]
    Busy,
}

/// An action that the caller must carry out. The actions of one call must be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<D> {
    /// Append the record to the journal and sync it, then report [`Input::Written`].
    Write(Record<D>),
    /// Append the record to the journal; the tracker expects no report, since nothing depends on it.
    WriteUnacknowledged(Record<D>),
    /// Apply these settings.
    Apply {
        /// The number of the revision.
        number: u64,
        /// The settings.
        document: D,
    },
    /// Answer the command with the number of the revision that is running now, or with the refusal.
    Answer(Result<u64, Refusal>),
}
