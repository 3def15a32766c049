//! `ironstair-simulate`: simulates fault scenarios in virtual time, compares them, and writes reports.

mod command;

use clap::Parser;
use command::CommandLine;
use std::process::ExitCode;

fn main() -> ExitCode {
    match command::run(CommandLine::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ironstair-simulate: {error}");
            ExitCode::FAILURE
        }
    }
}
