//! `ironstair`: one gateway on sockets. It translates, times and carries; every decision is the module's.

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
mod log;
mod management;
mod operator_config;
mod server;
mod shutdown;
mod signals;
mod snapshot_store;

use clap::{Parser, Subcommand};
use cli::Failed;
use ironstair_gnmi::proto::gnmi_ext::{commit::Action, CommitCancel, CommitConfirm};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "ironstair",
    about = "Keeps short and long queries apart on shared engines"
)]
struct Line {
    #[command(subcommand)]
    job: Job,
}

#[derive(Subcommand)]
enum Job {
    /// Serves until it is told to end
    Serve(Serve),
    /// Reads what serve would be told, and says what is wrong with it
    Check(Source),
    /// Prints the JSON Schema of a file
    Schema { of: Schema },
    /// Prints the YANG module of settings and state
    Yang,
    /// Shows what a gateway is set to and what it knows
    Get(cli::Get),
    /// Changes a gateway's settings while it serves
    Set(cli::Set),
    /// Keeps a change that waits to be confirmed
    Confirm(cli::PendingCommit),
    /// Takes back a change that waits to be confirmed
    Cancel(cli::PendingCommit),
    /// Shows changes as they come
    Watch(cli::Watch),
    /// Shows the cells, and who is kept to which
    Cells(cli::Cells),
    /// Moves a tenant to other cells under traffic
    Move(cli::Move),
    /// Shows the last changes of the settings, who made them and what became of them
    Revisions(cli::Revisions),
    /// Shows the fleet: who is in it, which revision holds, who lacks what; or begins its history
    Fleet(cli::Fleet),
    /// Prints the version
    Version,
}

#[derive(clap::Args)]
struct Source {
    /// What this gateway is told at start, as JSON
    #[arg(env = "ROUTER_CONFIG", value_name = "FILE")]
    config: PathBuf,
    /// What the operator turns on beyond that, as JSON
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

#[derive(clap::Args)]
struct Serve {
    #[command(flatten)]
    from: Source,
    /// How the log is written
    #[arg(long, value_enum, default_value_t)]
    log: log::LogFormat,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Schema {
    /// The operator's file
    Operator,
}

impl Source {
    fn operator(&self) -> Result<Option<operator_config::Operator>, String> {
        self.operator
            .as_deref()
            .map(operator_config::read)
            .transpose()
    }
}

fn check(from: &Source, operator: Option<operator_config::Operator>) -> Result<(), String> {
    let t = config::read(&from.config)?;
    let (classes, engines) = (t.classes.len(), t.known.len());
    println!(
        "{}: {classes} bands, {engines} engines, listens on {}",
        t.name, t.listen
    );
    let Some(o) = operator else { return Ok(()) };
    if let Some(m) = &o.management {
        management::fits(&t, &o)?;
        println!("management: gNMI on {}", m.listen);
    }
    if let Some(r) = &o.recovery {
        println!("recovery: in {}", r.state.display());
    }
    if let Some(f) = &o.fleet {
        let part = if f.voters.contains_key(&t.name) {
            "a keeper"
        } else {
            "a member"
        };
        println!("fleet: {part} of {}, on {}", f.name, f.listen);
    }
    Ok(())
}

fn main() -> ExitCode {
    let plain = |how: Result<(), String>| how.map_err(|e| Failed(e, 1));
    let done = match Line::parse().job {
        Job::Serve(Serve { from, log }) => plain(
            from.operator()
                .and_then(|operator| server::serve(&from.config, operator, log)),
        ),
        Job::Check(from) => plain(from.operator().and_then(|operator| check(&from, operator))),
        Job::Schema {
            of: Schema::Operator,
        } => {
            println!("{}", operator_config::schema());
            Ok(())
        }
        Job::Yang => {
            print!("{}", ironstair_data_tree::MODULE);
            Ok(())
        }
        Job::Version => {
            println!("ironstair {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Job::Get(g) => cli::run(cli::get(g)),
        Job::Set(s) => cli::run(cli::set(s)),
        Job::Confirm(t) => cli::run(cli::finish_commit(t, Action::Confirm(CommitConfirm {}))),
        Job::Cancel(t) => cli::run(cli::finish_commit(t, Action::Cancel(CommitCancel {}))),
        Job::Watch(w) => cli::run(cli::watch(w)),
        Job::Cells(l) => cli::run(cli::cells(l)),
        Job::Move(m) => cli::run(cli::move_tenant(m)),
        Job::Revisions(l) => cli::run(cli::revisions(l)),
        Job::Fleet(f) => cli::run(cli::fleet(f)),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failed(why, code)) => {
            if !why.is_empty() {
                eprintln!("ironstair: {why}");
            }
            ExitCode::from(code)
        }
    }
}
