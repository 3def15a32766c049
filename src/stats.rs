//! Decaying means and estimators. Half-lives and other tuned values are parameters; no decision is
//! made here.

use crate::Millis;

/// The factor by which a value has decayed after `elapsed`.
fn decay(elapsed: Millis, half_life: Millis) -> f64 {
    0.5f64.powf(elapsed / half_life)
}

/// A weighted sum and its total weight, by which to divide it.
#[derive(Clone, Copy, Default)]
pub(crate) struct WeightedSum {
    pub(crate) sum: f64,
    pub(crate) weight: f64,
}

impl WeightedSum {
    /// Adds both parts.
    pub(crate) fn plus(self, other: WeightedSum) -> WeightedSum {
        WeightedSum {
            sum: self.sum + other.sum,
            weight: self.weight + other.weight,
        }
    }
}

/// A weighted mean whose samples lose half of their weight with each half-life.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingMean {
    sum: f64,
    /// The weight of all samples at the time of the last one.
    weight: f64,
    updated_at: Millis,
}

impl DecayingMean {
    /// Adds a sample: `sum` is its value times its weight.
    pub(crate) fn add(&mut self, now: Millis, half_life: Millis, sum: f64, weight: f64) {
        let keep = decay(now - self.updated_at, half_life);
        self.sum = self.sum * keep + sum;
        self.weight = self.weight * keep + weight;
        self.updated_at = now;
    }

    /// Sum and weight, decayed to `now`.
    pub(crate) fn decayed(&self, now: Millis, half_life: Millis) -> WeightedSum {
        let keep = decay(now - self.updated_at, half_life);
        WeightedSum {
            sum: self.sum * keep,
            weight: self.weight * keep,
        }
    }

    /// The weight of all samples at the time of the last one.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// The mean, which decay does not change; none before the first sample with a weight.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// Corrects estimates by comparison with earlier actual values: a straight line through the
/// logarithms of estimates and actual values, fitted by least squares over decaying samples. It
/// uses logarithms because the ratio of the two scatters, so that a large estimate is more often
/// too large than too small.
#[derive(Clone, Copy, Default)]
pub(crate) struct Estimator {
    sums: RegressionSums,
    updated_at: Millis,
}

/// The sums for a least-squares fit of `y`, the logarithm of the actual value, against `x`, that of
/// the estimate.
#[derive(Clone, Copy, Default)]
struct RegressionSums {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
}

impl RegressionSums {
    /// Multiplies the weight of the earlier samples by `keep` and adds a sample.
    fn decay_and_add(&mut self, keep: f64, x: f64, y: f64) {
        self.count = self.count * keep + 1.0;
        self.x = self.x * keep + x;
        self.y = self.y * keep + y;
        self.xx = self.xx * keep + x * x;
        self.xy = self.xy * keep + x * y;
        self.yy = self.yy * keep + y * y;
    }
}

impl Estimator {
    /// Adds an estimate and its actual value. Values that are not positive are ignored, because
    /// they have no logarithm.
    pub(crate) fn add(&mut self, now: Millis, half_life: Millis, estimate: f64, actual: f64) {
        if estimate > 0.0 && actual > 0.0 {
            let keep = decay(now - self.updated_at, half_life);
            self.sums.decay_and_add(keep, estimate.ln(), actual.ln());
            self.updated_at = now;
        }
    }

    /// The corrected estimate. `prior_weight` is the weight of a slope of one, which prevails while
    /// little is known. `margin` maps the standard deviation of the logarithms to the distance
    /// above the line at which the result is read.
    pub(crate) fn corrected(
        &self,
        estimate: f64,
        prior_weight: f64,
        margin: impl Fn(f64) -> f64,
    ) -> f64 {
        let sums = &self.sums;
        let count = sums.count;
        if count == 0.0 {
            return estimate;
        }
        let x = estimate.ln();
        let xx = sums.xx - sums.x * sums.x / count;
        let xy = sums.xy - sums.x * sums.y / count;
        let yy = sums.yy - sums.y * sums.y / count;
        let slope = ((xy + prior_weight) / (xx + prior_weight)).clamp(0.0, 1.0);
        let deviation = ((yy - slope * xy).max(0.0) / (count + 1.0)).sqrt();
        let shift = (sums.y - sums.x) / (count + 1.0);
        let tilt = (slope - 1.0) * (x - sums.x / count);
        (x + shift + tilt + margin(deviation)).exp()
    }
}
