//! Arithmetic that the decisions use and that decides nothing: fading sums, guesses, chance. Half-lives and
//! other tuned values are handed in.

use crate::Ms;

/// A sum and its weight, both fading; brought up to date when touched.
#[derive(Clone, Copy, Default)]
pub struct DecayingMean {
    sum: f64,
    pub weight: f64,
    at: Ms,
}

impl DecayingMean {
    pub fn add(&mut self, now: Ms, half: Ms, sum: f64, weight: f64) {
        let keep = 0.5f64.powf((now - self.at) / half);
        *self = DecayingMean { sum: self.sum * keep + sum, weight: self.weight * keep + weight, at: now };
    }
    /// Sum and weight as they stand by now.
    pub fn now(&self, now: Ms, half: Ms) -> (f64, f64) {
        let keep = 0.5f64.powf((now - self.at) / half);
        (self.sum * keep, self.weight * keep)
    }
    pub fn mean(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// What an estimate stands for, learnt from what answers tell: a line through the logarithms of both. They
/// scatter, so that a large one is more often too large; a slope of one and no shift while little is known.
#[derive(Clone, Copy, Default)]
pub struct Estimator {
    stats: [f64; 6], // weight, x, y, xx, xy, yy
    at: Ms,
}

impl Estimator {
    pub fn add(&mut self, now: Ms, half: Ms, estimate: f64, is: f64) {
        if estimate > 0.0 && is > 0.0 {
            let (keep, x, y) = (0.5f64.powf((now - self.at) / half), estimate.ln(), is.ln());
            let new = [1.0, x, y, x * x, x * y, y * y];
            self.stats.iter_mut().zip(new).for_each(|(s, n)| *s = *s * keep + n);
            self.at = now;
        }
    }
    /// As far above the middle as `above` makes of the deviation. `little` is what a slope of one weighs beside
    /// what was learnt.
    pub fn of(&self, estimate: f64, little: f64, above: impl Fn(f64) -> f64) -> f64 {
        let ([n, sx, sy, sxx, sxy, syy], x) = (self.stats, estimate.ln());
        if n == 0.0 {
            return estimate;
        }
        let (xx, xy, yy) = (sxx - sx * sx / n, sxy - sx * sy / n, syy - sy * sy / n);
        let slope = ((xy + little) / (xx + little)).clamp(0.0, 1.0);
        let spread = ((yy - slope * xy).max(0.0) / (n + 1.0)).sqrt();
        (x + (sy - sx) / (n + 1.0) + (slope - 1.0) * (x - sx / n) + above(spread)).exp()
    }
}

/// Permuted congruential generator, 32 bits out of 64.
#[derive(Default)]
pub struct Pcg(pub u64);

impl Pcg {
    pub fn draw(&mut self) -> u64 {
        let s = self.0;
        self.0 = s.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((((s >> 18) ^ s) >> 27) as u32).rotate_right((s >> 59) as u32) as u64
    }
}

/// Spreads an engine id and a table group over 64 bits, alike at every gateway.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 29)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    x ^ (x >> 32)
}

/// What 32 bits are of all there are: evenly in [0, 1).
pub fn part(bits: u64) -> f64 {
    bits as u32 as f64 / 4294967296.0
}
