//! The program `ironstair`: the gateway process and its command line. The gateway owns sockets, timers and buffers; the
//! policy in the root package makes every decision about a request.

mod accept;
mod cli;
mod client;
mod config;
mod connection;
mod connection_limiter;
mod descriptors;
mod discovery;
mod dispatcher;
mod engine;
mod error;
mod log;
mod management;
mod operator_config;
mod server;
mod shutdown;
mod signals;
mod snapshot_store;

use clap::{Parser, Subcommand};
use cli::CommandError;
use error::StartError;
use ironstair_gnmi::proto::gnmi_ext::{commit::Action, CommitCancel, CommitConfirm};
use operator_config::OperatorConfig;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code if the gateway cannot start, or one of its files cannot be used.
const START_FAILED: u8 = 1;

#[derive(Parser)]
#[command(
    name = "ironstair",
    about = "Gateway that keeps short and long queries apart on shared query engines"
)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the gateway until SIGTERM or SIGINT
    Serve(Serve),
    /// Validate the files that `serve` would read, and print a summary
    Check(ConfigFiles),
    /// Print the JSON Schema of a file
    Schema { of: Schema },
    /// Print the YANG module of the settings and state
    Yang,
    /// Show a gateway's settings and state
    Get(cli::Get),
    /// Change a gateway's settings while it runs
    Set(cli::Set),
    /// Confirm a change that is waiting for confirmation
    Confirm(cli::PendingCommit),
    /// Roll back a change that is waiting for confirmation
    Cancel(cli::PendingCommit),
    /// Print changes of settings and state as they occur
    Watch(cli::Watch),
    /// Show the cells, with the engines and tenants pinned to them
    Cells(cli::Cells),
    /// Move a tenant to other cells while it sends requests
    Move(cli::Move),
    /// Show the latest changes of the settings, with author and outcome
    Revisions(cli::Revisions),
    /// Show the fleet's members, revision and pending change, or bootstrap the fleet
    Fleet(cli::Fleet),
    /// Print the version
    Version,
}

/// The files that the gateway reads at start.
#[derive(clap::Args)]
struct ConfigFiles {
    /// Configuration file of the gateway (JSON)
    #[arg(env = "ROUTER_CONFIG", value_name = "FILE")]
    config: PathBuf,
    /// Operator file, which configures optional features (JSON)
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

/// Arguments of `serve`.
#[derive(clap::Args)]
struct Serve {
    #[command(flatten)]
    files: ConfigFiles,
    /// Format of log lines on standard error
    #[arg(long, value_enum, default_value_t)]
    log: log::LogFormat,
}

/// The files that have a JSON Schema.
#[derive(Clone, Copy, clap::ValueEnum)]
enum Schema {
    /// The operator file
    Operator,
}

impl ConfigFiles {
    /// Reads the operator file, if one is named.
    fn operator(&self) -> Result<Option<OperatorConfig>, StartError> {
        let operator = self.operator.as_deref().map(operator_config::read);
        Ok(operator.transpose()?)
    }
}

/// Validates the files as at start, and prints a summary.
fn check(files: &ConfigFiles, operator: Option<OperatorConfig>) -> Result<(), StartError> {
    let config = config::read(&files.config)?;
    println!(
        "{}: {} bands, {} engines, listens on {}",
        config.name,
        config.class_names.len(),
        config.endpoints.len(),
        config.listen
    );
    let Some(operator) = operator else {
        return Ok(());
    };
    if let Some(section) = &operator.management {
        management::check(&config, &operator)?;
        println!("management: gNMI on {}", section.listen);
    }
    if let Some(section) = &operator.recovery {
        println!("recovery: in {}", section.state.display());
    }
    if let Some(section) = &operator.fleet {
        let role = match section.voters.contains_key(&config.name) {
            true => "a keeper",
            false => "a member",
        };
        println!("fleet: {role} of {}, on {}", section.name, section.listen);
    }
    Ok(())
}

/// Why the process failed.
#[derive(Debug, thiserror::Error)]
enum Failure {
    /// The gateway cannot start, or one of its files cannot be used.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A command to a running gateway failed.
    #[error(transparent)]
    Command(#[from] CommandError),
}

impl Failure {
    /// The exit code of the process.
    fn exit_code(&self) -> u8 {
        match self {
            Failure::Start(_) => START_FAILED,
            Failure::Command(error) => error.exit_code(),
        }
    }

    /// The message for the user, unless the exit code is that of a success.
    fn message(&self) -> Option<String> {
        let message = self.to_string();
        let is_failure = self.exit_code() != 0;
        Some(message).filter(|message| is_failure && !message.is_empty())
    }
}

fn main() -> ExitCode {
    let Err(failure) = run(CommandLine::parse().command) else {
        return ExitCode::SUCCESS;
    };
    if let Some(message) = failure.message() {
        eprintln!("ironstair: {message}");
    }
    ExitCode::from(failure.exit_code())
}

fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Serve(Serve { files, log }) => {
            let operator = files.operator()?;
            server::serve(&files.config, operator, log)?;
        }
        Command::Check(files) => {
            let operator = files.operator()?;
            check(&files, operator)?;
        }
        Command::Schema {
            of: Schema::Operator,
        } => println!("{}", operator_config::schema()),
        Command::Yang => print!("{}", ironstair_data_tree::MODULE),
        Command::Version => println!("ironstair {}", env!("CARGO_PKG_VERSION")),
        Command::Get(arguments) => cli::run(cli::get(arguments))?,
        Command::Set(arguments) => cli::run(cli::set(arguments))?,
        Command::Confirm(arguments) => {
            let action = Action::Confirm(CommitConfirm {});
            cli::run(cli::finish_commit(arguments, action))?;
        }
        Command::Cancel(arguments) => {
            let action = Action::Cancel(CommitCancel {});
            cli::run(cli::finish_commit(arguments, action))?;
        }
        Command::Watch(arguments) => cli::run(cli::watch(arguments))?,
        Command::Cells(arguments) => cli::run(cli::cells(arguments))?,
        Command::Move(arguments) => cli::run(cli::move_tenant(arguments))?,
        Command::Revisions(arguments) => cli::run(cli::revisions(arguments))?,
        Command::Fleet(arguments) => cli::run(cli::fleet(arguments))?,
    }
    Ok(())
}
