//! What days come to, as a table, as lines for a spreadsheet and as a chart.

use crate::figures::{mean, quantile, Figures};
use plotters::prelude::*;
use std::fmt::Write as _;
use std::path::Path;

/// One row of a table: what was played, and its figures by seed.
pub struct Row<'a> {
    pub name: &'a str,
    pub days: &'a [Figures],
}

pub const HEAD: &str = "| day | seeds | full service after, s, p50 / p95 | not back within the day | payoff kept, p50 / p5 | engines pushed over cold, most | broken promises |
| --- | --- | --- | --- | --- | --- | --- |
";

impl Row<'_> {
    pub fn line(&self) -> String {
        let full: Vec<f64> = self.days.iter().filter_map(Figures::full_after).collect();
        let faults = self.days.iter().filter(|d| d.fault_s.is_some()).count();
        let kept: Vec<f64> = self.days.iter().map(Figures::kept).collect();
        let fell = self.days.iter().map(Figures::fell).max().unwrap_or(0);
        let broken: u32 = self.days.iter().map(|d| d.broken).sum();
        let full_text = match full.is_empty() {
            true => "-".to_string(),
            false => format!("{:.0} / {:.0}", quantile(&full, 0.5), quantile(&full, 0.95)),
        };
        format!(
            "| {} | {} | {full_text} | {} | {:.3} / {:.3} | {fell} | {broken} |\n",
            self.name,
            self.days.len(),
            faults - full.len(),
            quantile(&kept, 0.5),
            quantile(&kept, 0.05),
        )
    }
}

/// B beside A, seed by seed: the mean of what B kept more, and within how much that lies in 95 of 100 such samples.
pub fn compared(a: &[Figures], b: &[Figures]) -> String {
    let pairs = || {
        a.iter()
            .filter_map(|x| b.iter().find(|y| y.seed == x.seed).map(|y| (x, y)))
    };
    let kept: Vec<f64> = pairs().map(|(x, y)| y.kept() - x.kept()).collect();
    let sooner: Vec<f64> = pairs()
        .filter_map(|(x, y)| Some(x.full_after()? - y.full_after()?))
        .collect();
    let (more, within) = mean(&kept);
    let (s, s_within) = mean(&sooner);
    format!(
        "payoff kept: {more:+.4} +- {within:.4} over {} pairs; full service sooner by {s:+.1} +- {s_within:.1} s over {} pairs that both came back\n",
        kept.len(),
        sooner.len()
    )
}

/// A line a second and seed.
pub fn csv(days: &[Figures]) -> String {
    let mut text =
        String::from("seed,second,asked,served,turned_back,scrapped,fell,forwards,beats\n");
    for d in days {
        for (n, s) in d.seconds.iter().enumerate() {
            let _ = writeln!(
                text,
                "{},{n},{:.1},{:.1},{},{},{},{},{}",
                d.seed,
                s.requested,
                s.served,
                s.rejected,
                s.failed,
                s.fell,
                s.attempts,
                s.heartbeats
            );
        }
    }
    text
}

/// The median over the seeds of what was served of what was asked, second by second, a line for each row.
///
/// # Errors
/// The file can't be written.
pub fn chart(path: &Path, rows: &[Row]) -> Result<(), String> {
    let seconds = rows
        .iter()
        .flat_map(|r| r.days)
        .map(|d| d.seconds.len())
        .max()
        .unwrap_or(1);
    let share = |row: &Row, n: usize| -> Option<f64> {
        let of = |d: &Figures| d.seconds.get(n).map(|s| s.served / s.requested.max(1e-9));
        let all: Vec<f64> = row.days.iter().filter_map(of).collect();
        (!all.is_empty()).then(|| quantile(&all, 0.5))
    };
    let fault = |e: String| format!("{}: {e}", path.display());
    let area = SVGBackend::new(path, (960, 420)).into_drawing_area();
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(16)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .caption(
                "served of what was asked, median of the seeds",
                ("sans-serif", 16),
            )
            .build_cartesian_2d(0.0..seconds as f64, 0.0..1.3)?;
        chart.configure_mesh().x_desc("second").draw()?;
        for (nth, row) in rows.iter().enumerate() {
            let colour = Palette99::pick(nth).to_rgba();
            let points = (0..seconds).filter_map(|n| Some((n as f64, share(row, n)?)));
            let line = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
            line.label(row.name).legend(move |(x, y)| {
                PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2))
            });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| fault(e.to_string()))
}
