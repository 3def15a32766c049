//! The command line, and the implementation of its commands.

mod runs;

use clap::{Args, Parser, Subcommand};
use ironstair_simulation::report::{compare, csv, write_chart, ChartError, Row, TABLE_HEAD};
use ironstair_simulation::{RunMetrics, Scenario, ScenarioError};
use runs::{run_seeds, RunError};
use serde_json::Value;
use std::path::{Path, PathBuf};
use thiserror::Error;

#[derive(Parser)]
#[command(
    name = "ironstair-simulate",
    about = "Simulates fault scenarios (\"days\") for hundreds of gateways in virtual time"
)]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Args)]
pub(crate) struct Seeds {
    /// Number of runs of each scenario, each with a seed of its own
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Seed of the first run; each further run uses the next number
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Folder for the metrics of each run; runs whose metrics are already there are not repeated
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Runs a scenario with each seed, and prints a summary
    Run {
        /// File of the scenario
        day: PathBuf,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Runs two scenarios with the same seeds, and prints how much more value the second one serves
    Compare {
        /// File of the scenario to compare with
        #[arg(value_name = "A")]
        reference: PathBuf,
        /// File of the scenario to assess
        #[arg(value_name = "B")]
        candidate: PathBuf,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Runs a scenario once for each of several values of one field
    Sweep {
        /// File of the scenario
        day: PathBuf,
        /// The field as a JSON pointer into the scenario, such as /load or /faults/0/what/kill_gateways/share
        #[arg(long)]
        field: String,
        /// Values of the field in JSON, separated by commas; a value that is not JSON is used as a string
        #[arg(long, value_delimiter = ',')]
        values: Vec<String>,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Runs scenarios, and writes report.md, seconds.csv and chart.svg
    Report {
        /// Files of the scenarios
        days: Vec<PathBuf>,
        /// Folder for the report's files
        #[arg(long, value_name = "FOLDER")]
        to: PathBuf,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Prints the JSON Schema of the scenario file
    Schema,
}

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error("{field}: the scenario has no field at this JSON pointer")]
    UnknownField { field: String },
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    #[error("cannot write {}: {source}", path.display())]
    Write {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error(transparent)]
    Chart(#[from] ChartError),
    #[error("seed {seed}: {}", violations.join("; "))]
    Violations { seed: u64, violations: Vec<String> },
}

/// A scenario and the metrics of its runs.
struct ScenarioRuns {
    scenario: Scenario,
    runs: Vec<RunMetrics>,
}

impl ScenarioRuns {
    fn run(scenario: Scenario, seeds: &Seeds) -> Result<ScenarioRuns, CommandError> {
        let runs = run_seeds(&scenario, seeds)?;
        Ok(ScenarioRuns { scenario, runs })
    }

    fn row(&self) -> Row<'_> {
        Row {
            name: &self.scenario.name,
            runs: &self.runs,
        }
    }
}

pub(crate) fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Schema => {
            println!("{}", Scenario::schema());
            Ok(())
        }
        Command::Run { day, seeds } => run_day(&day, &seeds),
        Command::Compare {
            reference,
            candidate,
            seeds,
        } => compare_days(&reference, &candidate, &seeds),
        Command::Sweep {
            day,
            field,
            values,
            seeds,
        } => sweep_field(&day, &field, &values, &seeds),
        Command::Report { days, to, seeds } => write_report(&days, &to, &seeds),
    }
}

fn run_day(day: &Path, seeds: &Seeds) -> Result<(), CommandError> {
    let results = [ScenarioRuns::run(Scenario::read(day)?, seeds)?];
    print!("{}", table(&results));
    check_violations(&results)
}

fn compare_days(reference: &Path, candidate: &Path, seeds: &Seeds) -> Result<(), CommandError> {
    // Both files are checked before the first run.
    let reference = Scenario::read(reference)?;
    let candidate = Scenario::read(candidate)?;
    let results = [
        ScenarioRuns::run(reference, seeds)?,
        ScenarioRuns::run(candidate, seeds)?,
    ];
    print!("{}", table(&results));
    let [reference, candidate] = &results;
    let comparison = compare(&reference.runs, &candidate.runs);
    print!(
        "\n{} beside {}: {comparison}",
        candidate.scenario.name, reference.scenario.name
    );
    check_violations(&results)
}

fn sweep_field(
    day: &Path,
    field: &str,
    values: &[String],
    seeds: &Seeds,
) -> Result<(), CommandError> {
    let scenario = Scenario::read(day)?;
    // All values are checked before the first run.
    let scenarios = values
        .iter()
        .map(|value| with_field(&scenario, field, value))
        .collect::<Result<Vec<Scenario>, CommandError>>()?;
    let results = run_all(scenarios, seeds)?;
    print!("{}", table(&results));
    check_violations(&results)
}

fn write_report(days: &[PathBuf], folder: &Path, seeds: &Seeds) -> Result<(), CommandError> {
    let scenarios = days
        .iter()
        .map(|day| Scenario::read(day))
        .collect::<Result<Vec<Scenario>, ScenarioError>>()?;
    std::fs::create_dir_all(folder).map_err(|source| CommandError::Write {
        path: folder.to_path_buf(),
        source,
    })?;
    let results = run_all(scenarios, seeds)?;
    let table = table(&results);
    let report = format!("{table}\n![served](chart.svg)\n");
    write_file(&folder.join("report.md"), &report)?;
    let seconds: String = results.iter().map(|result| csv(&result.runs)).collect();
    write_file(&folder.join("seconds.csv"), &seconds)?;
    write_chart(&folder.join("chart.svg"), &rows(&results))?;
    print!("{table}");
    check_violations(&results)
}

fn run_all(scenarios: Vec<Scenario>, seeds: &Seeds) -> Result<Vec<ScenarioRuns>, CommandError> {
    scenarios
        .into_iter()
        .map(|scenario| ScenarioRuns::run(scenario, seeds))
        .collect()
}

/// The scenario with another value of one field, which is given as a JSON pointer. A value that is not JSON is used as
/// a string.
fn with_field(scenario: &Scenario, field: &str, value: &str) -> Result<Scenario, CommandError> {
    let mut json = serde_json::to_value(scenario)?;
    let field_value = json
        .pointer_mut(field)
        .ok_or_else(|| CommandError::UnknownField {
            field: field.to_owned(),
        })?;
    *field_value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.to_owned()));
    let text = serde_json::to_vec(&json)?;
    let mut changed_scenario = Scenario::decode(&text)?;
    changed_scenario.name = format!("{}, {field} {value}", scenario.name);
    Ok(changed_scenario)
}

fn rows(results: &[ScenarioRuns]) -> Vec<Row<'_>> {
    results.iter().map(ScenarioRuns::row).collect()
}

fn table(results: &[ScenarioRuns]) -> String {
    let lines: String = rows(results).iter().map(Row::line).collect();
    format!("{TABLE_HEAD}{lines}")
}

/// Returns an error for the first run with a violation.
fn check_violations(results: &[ScenarioRuns]) -> Result<(), CommandError> {
    let mut runs = results.iter().flat_map(|result| &result.runs);
    match runs.find(|metrics| metrics.violation_count > 0) {
        None => Ok(()),
        Some(metrics) => Err(CommandError::Violations {
            seed: metrics.seed,
            violations: metrics.violations.clone(),
        }),
    }
}

fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|source| CommandError::Write {
        path: path.to_path_buf(),
        source,
    })
}

#[cfg(test)]
mod tests;
