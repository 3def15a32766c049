//! `ironstair-simulate`: plays days of faults in virtual time, sets them side by side and shows what they come to.

use clap::{Parser, Subcommand};
use ironstair_simulation::report::{chart, compared, csv, Row, HEAD};
use ironstair_simulation::world::play;
use ironstair_simulation::{Day, Figures};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};

#[derive(Parser)]
#[command(
    name = "ironstair-simulate",
    about = "Days of faults for hundreds of gateways, in virtual time"
)]
struct Line {
    #[command(subcommand)]
    job: Job,
}

#[derive(clap::Args)]
struct Seeds {
    /// How many days, each from a seed of its own
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Where each day's figures are kept: what lies there already is not played again
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Job {
    /// Plays a day, from each seed
    Run {
        day: PathBuf,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Plays two days from the same seeds, and tells what the second keeps more
    Compare {
        a: PathBuf,
        b: PathBuf,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Plays a day with other values of one field
    Sweep {
        day: PathBuf,
        /// A field of the day, as a JSON pointer: /load, /faults/0/what/kill_gateways/share
        #[arg(long)]
        field: String,
        /// JSON values
        #[arg(long, value_delimiter = ',')]
        values: Vec<String>,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Plays days, and writes report.md, seconds.csv and chart.svg
    Report {
        days: Vec<PathBuf>,
        #[arg(long, value_name = "FOLDER")]
        to: PathBuf,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Prints the JSON Schema of a day
    Schema,
}

/// The file that a day of that seed is kept in: the day's text is in its name, so that another day is played anew.
fn kept_at(folder: &Path, day: &Day, seed: u64) -> PathBuf {
    let text = serde_json::to_vec(day).unwrap_or_default();
    folder.join(format!("{:08x}-{seed}.json", crc32c::crc32c(&text)))
}

fn one(day: &Day, seed: u64, folder: Option<&Path>) -> Result<Figures, String> {
    let file = folder.map(|f| kept_at(f, day, seed));
    let kept = file.as_ref().and_then(|f| std::fs::read(f).ok());
    // One that is half written is played anew.
    if let Some(figures) = kept.and_then(|bytes| serde_json::from_slice(&bytes).ok()) {
        return Ok(figures);
    }
    let figures = play(day, seed);
    if let Some(file) = file {
        let text = serde_json::to_vec(&figures).map_err(|e| e.to_string())?;
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(figures)
}

/// On all cores; told on standard error as they come.
fn all(day: &Day, seeds: &Seeds) -> Result<Vec<Figures>, String> {
    if let Some(folder) = &seeds.out {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    let (next, played) = (AtomicU64::new(seeds.first), Mutex::new(Vec::new()));
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..cores.min(seeds.seeds as usize) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Relaxed);
                if seed >= seeds.first + seeds.seeds {
                    return;
                }
                let figures = one(day, seed, seeds.out.as_deref());
                let mut all = played.lock().unwrap_or_else(PoisonError::into_inner);
                all.push(figures);
                eprintln!("{}: {} of {} seeds", day.name, all.len(), seeds.seeds);
            });
        }
    });
    let played = played.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut played = played.into_iter().collect::<Result<Vec<_>, _>>()?;
    played.sort_by_key(|f| f.seed);
    Ok(played)
}

/// The day with another value of one field.
fn with(day: &Day, field: &str, value: &str) -> Result<Day, String> {
    let mut json = serde_json::to_value(day).map_err(|e| e.to_string())?;
    let at = json
        .pointer_mut(field)
        .ok_or(format!("{field}: a day has no such field"))?;
    *at = serde_json::from_str(value).unwrap_or(Value::String(value.into()));
    let text = serde_json::to_vec(&json).map_err(|e| e.to_string())?;
    let day = Day::decode(&text)?;
    Ok(Day {
        name: format!("{}, {field} {value}", day.name),
        ..day
    })
}

fn table(rows: &[Row]) -> String {
    let lines: String = rows.iter().map(Row::line).collect();
    format!("{HEAD}{lines}")
}

fn broken(all: &[&[Figures]]) -> Result<(), String> {
    let found = all.iter().flat_map(|d| d.iter()).find(|d| d.broken > 0);
    found.map_or(Ok(()), |d| {
        Err(format!("seed {}: {}", d.seed, d.breaches.join("; ")))
    })
}

fn run(job: Job) -> Result<(), String> {
    match job {
        Job::Schema => println!("{}", Day::schema()),
        Job::Run { day, seeds } => {
            let day = Day::read(&day)?;
            let days = all(&day, &seeds)?;
            print!(
                "{}",
                table(&[Row {
                    name: &day.name,
                    days: &days
                }])
            );
            broken(&[&days])?;
        }
        Job::Compare { a, b, seeds } => {
            let (a, b) = (Day::read(&a)?, Day::read(&b)?);
            let (of_a, of_b) = (all(&a, &seeds)?, all(&b, &seeds)?);
            print!(
                "{}",
                table(&[
                    Row {
                        name: &a.name,
                        days: &of_a
                    },
                    Row {
                        name: &b.name,
                        days: &of_b
                    }
                ])
            );
            print!("\n{} beside {}: {}", b.name, a.name, compared(&of_a, &of_b));
            broken(&[&of_a, &of_b])?;
        }
        Job::Sweep {
            day,
            field,
            values,
            seeds,
        } => {
            let day = Day::read(&day)?;
            // All of them before one is played.
            let days = values
                .iter()
                .map(|v| with(&day, &field, v))
                .collect::<Result<Vec<_>, _>>()?;
            let played = days
                .iter()
                .map(|d| all(d, &seeds))
                .collect::<Result<Vec<_>, _>>()?;
            let rows: Vec<Row> = days
                .iter()
                .zip(&played)
                .map(|(d, p)| Row {
                    name: &d.name,
                    days: p,
                })
                .collect();
            print!("{}", table(&rows));
            broken(&played.iter().map(Vec::as_slice).collect::<Vec<_>>())?;
        }
        Job::Report { days, to, seeds } => {
            let days = days
                .iter()
                .map(|d| Day::read(d))
                .collect::<Result<Vec<_>, _>>()?;
            std::fs::create_dir_all(&to).map_err(|e| format!("{}: {e}", to.display()))?;
            let played = days
                .iter()
                .map(|d| all(d, &seeds))
                .collect::<Result<Vec<_>, _>>()?;
            let rows: Vec<Row> = days
                .iter()
                .zip(&played)
                .map(|(d, p)| Row {
                    name: &d.name,
                    days: p,
                })
                .collect();
            let file = |name: &str, text: String| {
                let path = to.join(name);
                std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
            };
            file(
                "report.md",
                format!("{}\n![served](chart.svg)\n", table(&rows)),
            )?;
            file("seconds.csv", played.iter().map(|p| csv(p)).collect())?;
            chart(&to.join("chart.svg"), &rows)?;
            print!("{}", table(&rows));
            broken(&played.iter().map(Vec::as_slice).collect::<Vec<_>>())?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(Line::parse().job) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("ironstair-simulate: {why}");
            ExitCode::FAILURE
        }
    }
}
