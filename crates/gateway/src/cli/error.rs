//! What went wrong in a command, and the exit code that goes with it.

use tonic::{Code, Status};

/// The command found a usage error.
pub const USAGE: u8 = 2;
/// The gateway refused; nothing changed.
pub const REFUSED: u8 = 3;
/// No gateway is there, or it ends.
pub const UNREACHABLE: u8 = 4;
/// There is nothing at that path.
pub const NOT_FOUND: u8 = 5;
/// Anything else.
pub const FAILED: u8 = 1;

/// What went wrong, and the code that the process ends with.
pub struct Failed(pub String, pub u8);

impl From<Status> for Failed {
    fn from(s: Status) -> Failed {
        let code = match s.code() {
            Code::Unavailable | Code::Cancelled | Code::DeadlineExceeded => UNREACHABLE,
            Code::NotFound => NOT_FOUND,
            Code::Unknown | Code::Internal => FAILED,
            _ => REFUSED,
        };
        Failed(s.message().to_string(), code)
    }
}

/// What a command ends with.
pub type CommandResult = Result<(), Failed>;

/// A usage error with that sentence.
pub fn usage(text: String) -> Failed {
    Failed(text, USAGE)
}
