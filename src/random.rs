//! Pseudo-random draws and hashes. Every gateway computes the same values from the same seed or id.

/// Multiplier and increment of the generator's state, as published for PCG32.
const PCG_MULTIPLIER: u64 = 6364136223846793005;
const PCG_INCREMENT: u64 = 1442695040888963407;
/// The number of values of 32 bits.
const VALUES_OF_32_BITS: f64 = 4294967296.0;

/// The permuted congruential generator PCG32 (XSH-RR): 32 bits for each step of a 64-bit state.
#[derive(Default)]
pub struct Pcg(
    /// The state; initially the seed.
    pub u64,
);

impl Pcg {
    /// The next 32 random bits.
    pub fn draw(&mut self) -> u64 {
        let state = self.0;
        self.0 = state
            .wrapping_mul(PCG_MULTIPLIER)
            .wrapping_add(PCG_INCREMENT);
        let xor_shifted = (((state >> 18) ^ state) >> 27) as u32;
        let rotation = (state >> 59) as u32;
        u64::from(xor_shifted.rotate_right(rotation))
    }
}

/// Hashes 64 bits to 64 bits, so that ids that differ in one bit give unrelated values.
pub fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    bits = (bits ^ (bits >> 29)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    bits ^ (bits >> 32)
}

/// Maps the low 32 bits evenly to [0, 1).
pub fn to_unit_interval(bits: u64) -> f64 {
    f64::from(bits as u32) / VALUES_OF_32_BITS
}
