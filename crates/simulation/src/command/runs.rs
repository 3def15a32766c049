//! Runs a scenario with several seeds, in parallel on all cores.

use super::Seeds;
use ironstair_simulation::world::simulate;
use ironstair_simulation::{RunMetrics, Scenario};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use thiserror::Error;

/// The metrics of a run cannot be stored.
#[derive(Debug, Error)]
pub(crate) enum RunError {
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    #[error("cannot write {}: {source}", path.display())]
    Write {
        path: PathBuf,
        source: std::io::Error,
    },
}

/// Runs a scenario with each seed, and reports the progress on standard error. Returns the metrics in the order of
/// seeds.
pub(super) fn run_seeds(scenario: &Scenario, seeds: &Seeds) -> Result<Vec<RunMetrics>, RunError> {
    if let Some(folder) = &seeds.out {
        std::fs::create_dir_all(folder).map_err(|source| RunError::Write {
            path: folder.clone(),
            source,
        })?;
    }
    let next_seed = AtomicU64::new(seeds.first);
    let finished = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..cores.min(seeds.seeds as usize) {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.first + seeds.seeds {
                    return;
                }
                let result = run_or_load(scenario, seed, seeds.out.as_deref());
                let mut finished = finished.lock().unwrap_or_else(PoisonError::into_inner);
                finished.push(result);
                let count = finished.len();
                eprintln!("{}: {count} of {} seeds", scenario.name, seeds.seeds);
            });
        }
    });
    let finished = finished
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    let mut runs = finished
        .into_iter()
        .collect::<Result<Vec<RunMetrics>, RunError>>()?;
    runs.sort_by_key(|metrics| metrics.seed);
    Ok(runs)
}

/// The file of a run's metrics. Its name contains a checksum of the scenario, so that a changed scenario is run again.
fn metrics_file(folder: &Path, scenario: &Scenario, seed: u64) -> PathBuf {
    let text = serde_json::to_vec(scenario).unwrap_or_default();
    folder.join(format!("{:08x}-{seed}.json", crc32c::crc32c(&text)))
}

/// Loads a run's metrics from the folder, or runs the scenario and stores the metrics there.
fn run_or_load(
    scenario: &Scenario,
    seed: u64,
    folder: Option<&Path>,
) -> Result<RunMetrics, RunError> {
    let Some(folder) = folder else {
        return Ok(simulate(scenario, seed));
    };
    let path = metrics_file(folder, scenario, seed);
    let bytes = std::fs::read(&path).ok();
    // A file that cannot be parsed was left incomplete by an interrupted program, and is written again.
    if let Some(metrics) = bytes.and_then(|bytes| serde_json::from_slice(&bytes).ok()) {
        return Ok(metrics);
    }
    let metrics = simulate(scenario, seed);
    let text = serde_json::to_vec(&metrics)?;
    std::fs::write(&path, text).map_err(|source| RunError::Write { path, source })?;
    Ok(metrics)
}
