//! Random numbers of the trace.

/// The host's own random numbers (xorshift): a change to the generator of the crate leaves the
/// events as they are.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }
    /// A whole number less than the limit.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 33) % limit
    }
    /// Uniform in [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }
}
