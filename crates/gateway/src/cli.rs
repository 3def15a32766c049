//! Commands that read, change and watch a gateway's settings and state over its management interface.

mod arguments;
mod client;
mod encoding;
mod error;
mod fleet;
mod output;
mod settings;
mod watch;

pub(crate) use arguments::{Cells, Fleet, Get, Move, PendingCommit, Revisions, Set, Watch};
pub(crate) use error::{CommandError, CommandResult};
pub(crate) use fleet::fleet;
pub(crate) use settings::{cells, finish_commit, get, move_tenant, revisions, set};
pub(crate) use watch::watch;

/// Runs a command to completion on its own single-threaded runtime.
///
/// # Errors
/// The command fails, or the runtime cannot be started.
pub(crate) fn run(command: impl std::future::Future<Output = CommandResult>) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    runtime.block_on(command)
}

#[cfg(test)]
mod tests;
