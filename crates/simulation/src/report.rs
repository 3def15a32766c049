//! Tables, CSV files and charts of runs.

use crate::figures::{quantile, Estimate, RunMetrics};
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};
use std::error::Error;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Width and height of a chart in pixels.
const CHART_SIZE: (u32, u32) = (960, 420);
/// Upper end of a chart's share axis. It is above 1 because a second may serve more value than was requested in it.
const MAX_CHART_SHARE: f64 = 1.3;
/// Length of a line in a chart's legend, in pixels.
const LEGEND_LINE_LENGTH: i32 = 16;

/// One row of a table: a scenario and its runs.
pub struct Row<'a> {
    /// The scenario's name.
    pub name: &'a str,
    /// Its runs, one for each seed.
    pub runs: &'a [RunMetrics],
}

/// The header of a table in Markdown.
pub const TABLE_HEAD: &str = "| day | seeds | full service after, s, p50 / p95 | not back within the day | payoff kept, p50 / p5 | engines pushed over cold, most | broken promises |
| --- | --- | --- | --- | --- | --- | --- |
";

impl Row<'_> {
    /// The row as a line of a table in Markdown.
    pub fn line(&self) -> String {
        let recovery_times: Vec<f64> = self
            .runs
            .iter()
            .filter_map(RunMetrics::seconds_to_full_service)
            .collect();
        let runs_with_fault = self
            .runs
            .iter()
            .filter(|metrics| metrics.first_fault_s.is_some())
            .count();
        let served_shares: Vec<f64> = self.runs.iter().map(RunMetrics::served_share).collect();
        let max_crashes = self
            .runs
            .iter()
            .map(RunMetrics::engine_crash_count)
            .max()
            .unwrap_or(0);
        let violations: u32 = self
            .runs
            .iter()
            .map(|metrics| metrics.violation_count)
            .sum();
        let recovery_text = match recovery_times.is_empty() {
            true => "-".to_owned(),
            false => format!(
                "{:.0} / {:.0}",
                quantile(&recovery_times, 0.5),
                quantile(&recovery_times, 0.95)
            ),
        };
        format!(
            "| {} | {} | {recovery_text} | {} | {:.3} / {:.3} | {max_crashes} | {violations} |\n",
            self.name,
            self.runs.len(),
            runs_with_fault - recovery_times.len(),
            quantile(&served_shares, 0.5),
            quantile(&served_shares, 0.05),
        )
    }
}

/// Compares the runs of two scenarios with the same seed, and describes in one sentence how much more value the second
/// scenario serves and how much sooner its service recovers.
pub fn compare(first: &[RunMetrics], second: &[RunMetrics]) -> String {
    let pairs = || {
        first.iter().filter_map(|first_run| {
            second
                .iter()
                .find(|second_run| second_run.seed == first_run.seed)
                .map(|second_run| (first_run, second_run))
        })
    };
    let more_served: Vec<f64> = pairs()
        .map(|(first_run, second_run)| second_run.served_share() - first_run.served_share())
        .collect();
    let seconds_sooner: Vec<f64> = pairs()
        .filter_map(|(first_run, second_run)| {
            Some(first_run.seconds_to_full_service()? - second_run.seconds_to_full_service()?)
        })
        .collect();
    let served_estimate = Estimate::from_sample(&more_served);
    let sooner_estimate = Estimate::from_sample(&seconds_sooner);
    format!(
        "payoff kept: {:+.4} +- {:.4} over {} pairs; full service sooner by {:+.1} +- {:.1} s over {} pairs that both came back\n",
        served_estimate.mean,
        served_estimate.half_width,
        more_served.len(),
        sooner_estimate.mean,
        sooner_estimate.half_width,
        seconds_sooner.len()
    )
}

/// The runs as CSV: a header, and a line for each second of each run.
pub fn csv(runs: &[RunMetrics]) -> String {
    let mut text =
        String::from("seed,second,asked,served,turned_back,scrapped,fell,forwards,beats\n");
    for metrics in runs {
        for (index, second) in metrics.seconds.iter().enumerate() {
            // Writing to a String cannot fail.
            let _ = writeln!(
                text,
                "{},{index},{:.1},{:.1},{},{},{},{},{}",
                metrics.seed,
                second.requested,
                second.served,
                second.rejected,
                second.failed,
                second.engine_crashes,
                second.attempts,
                second.heartbeats
            );
        }
    }
    text
}

/// A chart cannot be drawn or written.
#[derive(Debug, Error)]
#[error("cannot write the chart {}: {source}", path.display())]
pub struct ChartError {
    path: PathBuf,
    source: Box<dyn Error>,
}

/// Writes an SVG chart with a line for each row. It shows, for each second, the median over the seeds of the served
/// value as a share of the requested value.
///
/// # Errors
/// The chart cannot be drawn or the file cannot be written.
pub fn write_chart(path: &Path, rows: &[Row]) -> Result<(), ChartError> {
    draw_chart(path, rows).map_err(|source| ChartError {
        path: path.to_path_buf(),
        source,
    })
}

/// The median over a row's runs of the share served in one second; `None` if no run lasted that long.
fn median_share(row: &Row, second: usize) -> Option<f64> {
    let shares: Vec<f64> = row
        .runs
        .iter()
        .filter_map(|metrics| metrics.seconds.get(second))
        .map(|second| second.served / second.requested.max(1e-9))
        .collect();
    (!shares.is_empty()).then(|| quantile(&shares, 0.5))
}

fn draw_chart(path: &Path, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    let second_count = rows
        .iter()
        .flat_map(|row| row.runs)
        .map(|metrics| metrics.seconds.len())
        .max()
        .unwrap_or(1);
    let area = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .caption(
            "served of what was asked, median of the seeds",
            ("sans-serif", 16),
        )
        .build_cartesian_2d(0.0..second_count as f64, 0.0..MAX_CHART_SHARE)?;
    chart.configure_mesh().x_desc("second").draw()?;
    for (index, row) in rows.iter().enumerate() {
        let style = Palette99::pick(index).to_rgba().stroke_width(2);
        let points = (0..second_count)
            .filter_map(|second| Some((second as f64, median_share(row, second)?)));
        let line = chart.draw_series(LineSeries::new(points, style))?;
        line.label(row.name).legend(move |(left, middle)| {
            PathElement::new([(left, middle), (left + LEGEND_LINE_LENGTH, middle)], style)
        });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}
