//! The metrics of a run: what is recorded in each second, and the statistics computed from it.

use ironstair::Millis;
use serde::{Deserialize, Serialize};

/// Service is full in a second whose served value is at least this share of the mean before the first fault.
const FULL_SERVICE_SHARE: f64 = 0.95;
/// Service has recovered when it is full for this many consecutive seconds.
const FULL_SERVICE_SECONDS: usize = 5;
/// Seconds at the beginning that are left out of the mean before the first fault, because gateways have not yet learned
/// anything about the engines.
const WARM_UP_SECONDS: usize = 3;
/// The maximum number of violations whose description is stored; further ones are only counted.
const MAX_STORED_VIOLATIONS: usize = 8;
/// The quantile of the standard normal distribution for a two-sided confidence of 95%.
const CONFIDENCE_95: f64 = 1.96;

/// The metrics of one second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondMetrics {
    /// Value of the requests that clients created in this second.
    #[serde(rename = "asked")]
    pub requested: f64,
    /// Value of the requests that were settled in this second and within their objective.
    pub served: f64,
    /// Answers that rejected a request, with advice when to retry.
    #[serde(rename = "turned_back")]
    pub rejected: u32,
    /// Answers that failed a request.
    #[serde(rename = "scrapped")]
    pub failed: u32,
    /// Engines that crashed because they received too much work while cold.
    #[serde(rename = "fell")]
    pub engine_crashes: u32,
    /// Attempts sent to engines.
    #[serde(rename = "forwards")]
    pub attempts: u32,
    /// Heartbeats that members sent.
    #[serde(rename = "beats")]
    pub heartbeats: u32,
}

/// The metrics of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunMetrics {
    /// The seed of the run.
    pub seed: u64,
    /// The metrics of each second of virtual time.
    pub seconds: Vec<SecondMetrics>,
    /// Descriptions of the first violations of guarantees and limits.
    #[serde(rename = "breaches")]
    pub violations: Vec<String>,
    /// The number of all violations.
    #[serde(rename = "broken")]
    pub violation_count: u32,
    /// When the first fault occurred, in seconds.
    #[serde(rename = "fault_s")]
    pub first_fault_s: Option<f64>,
    /// Checksum of the settled requests in their order. Two equal runs have the same checksum.
    pub digest: u32,
}

impl RunMetrics {
    /// The metrics of the second that contains `now`.
    pub fn second_mut(&mut self, now: Millis) -> &mut SecondMetrics {
        let index = (now / 1000.0).max(0.0) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondMetrics::default());
        }
        &mut self.seconds[index]
    }

    /// Counts a violation, and stores its description if it is among the first.
    pub fn record_violation(&mut self, description: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_STORED_VIOLATIONS {
            self.violations.push(description);
        }
    }

    /// Adds bytes to the checksum.
    pub fn extend_digest(&mut self, bytes: &[u8]) {
        self.digest = crc32c::crc32c_append(self.digest, bytes);
    }

    /// The served value as a share of the requested value.
    pub fn served_share(&self) -> f64 {
        let sum = |value: fn(&SecondMetrics) -> f64| self.seconds.iter().map(value).sum::<f64>();
        sum(|second| second.served) / sum(|second| second.requested).max(1e-9)
    }

    /// The number of engine crashes in all seconds.
    pub fn engine_crash_count(&self) -> u32 {
        self.seconds
            .iter()
            .map(|second| second.engine_crashes)
            .sum()
    }

    /// Seconds from the first fault to the beginning of the first five consecutive seconds that each serve at least 95%
    /// of the mean before the fault. `None` without a fault, or if the service does not recover within the run.
    pub fn seconds_to_full_service(&self) -> Option<f64> {
        let first_fault_s = self.first_fault_s?;
        let fault_second = first_fault_s as usize;
        // The last second is not complete.
        let complete_seconds = self.seconds.len().saturating_sub(1);
        let before = self
            .seconds
            .get(fault_second.min(WARM_UP_SECONDS)..fault_second)
            .filter(|before| !before.is_empty())?;
        let served_before = before.iter().map(|second| second.served).sum::<f64>();
        let mean_before = served_before / before.len() as f64;
        let is_full_from = |start: usize| {
            self.seconds[start..start + FULL_SERVICE_SECONDS]
                .iter()
                .all(|second| second.served >= FULL_SERVICE_SHARE * mean_before)
        };
        let starts = fault_second..complete_seconds.saturating_sub(FULL_SERVICE_SECONDS - 1);
        let recovered_at = starts.into_iter().find(|start| is_full_from(*start))?;
        Some((recovered_at as f64 - first_fault_s).max(0.0))
    }
}

/// An estimated mean and its uncertainty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The sample's mean.
    pub mean: f64,
    /// Half the width of the 95% confidence interval, if the samples are normally distributed.
    pub half_width: f64,
}

impl Estimate {
    /// Estimates the mean of the population from a sample.
    pub fn from_sample(sample: &[f64]) -> Estimate {
        let count = sample.len().max(1) as f64;
        let mean = sample.iter().sum::<f64>() / count;
        let squared_deviations = sample
            .iter()
            .map(|value| (value - mean).powi(2))
            .sum::<f64>();
        let variance = squared_deviations / (count - 1.0).max(1.0);
        let half_width = CONFIDENCE_95 * (variance / count).sqrt();
        Estimate { mean, half_width }
    }
}

/// The quantile of a sample by the nearest-rank method; NaN for an empty sample.
pub fn quantile(sample: &[f64], quantile: f64) -> f64 {
    let mut sorted = sample.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = ((sorted.len().max(1) - 1) as f64 * quantile).round() as usize;
    sorted.get(rank).copied().unwrap_or(f64::NAN)
}

#[cfg(test)]
mod tests;
