//! The command line's own client of management: reads, changes, watches.

mod arguments;
mod client;
mod encoding;
mod error;
mod fleet;
mod output;
mod settings;
mod watch;

pub use arguments::{Cells, Fleet, Get, Move, PendingCommit, Revisions, Set, Watch};
pub use error::{CommandResult, Failed};
pub use fleet::fleet;
pub use settings::{cells, finish_commit, get, move_tenant, revisions, set};
pub use watch::watch;

use error::FAILED;

/// Runs one command to its end.
pub fn run(work: impl std::future::Future<Output = CommandResult>) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .map_err(|e| Failed(e.to_string(), FAILED))?
        .block_on(work)
}

#[cfg(test)]
mod tests;
