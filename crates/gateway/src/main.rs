//! `ironstair`: one gateway on sockets. It translates, times and carries; every decision is the module's.

mod client;
mod engine;
mod link;
mod list;
mod log;
mod module;
mod places;
mod start;
mod told;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "ironstair", about = "Keeps short and long queries apart on shared engines")]
struct Line {
    #[command(subcommand)]
    job: Job,
}

#[derive(Subcommand)]
enum Job {
    /// Serves until it is told to end
    Serve(Source),
    /// Reads what serve would be told, and says what is wrong with it
    Check(Source),
    /// Prints the version
    Version,
}

#[derive(clap::Args)]
struct Source {
    /// What this gateway is told at start, as JSON
    #[arg(env = "ROUTER_CONFIG", value_name = "FILE")]
    told: PathBuf,
}

fn main() -> ExitCode {
    let done = match Line::parse().job {
        Job::Serve(from) => start::serve(&from.told),
        Job::Check(from) => told::read(&from.told).map(|t| {
            println!(
                "{}: {} bands, {} engines, listens on {}",
                t.name,
                t.bands.len(),
                t.known.len(),
                t.listen
            )
        }),
        Job::Version => {
            println!("ironstair {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ironstair: {e}");
            ExitCode::FAILURE
        }
    }
}
