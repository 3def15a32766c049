//! Decimal numbers with a fixed count of fraction digits, as in YANG.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// A decimal64 with `DIGITS` fraction digits. In JSON it is a string (RFC 7951).
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Decimal<const DIGITS: u32>(pub(crate) f64);

impl<const DIGITS: u32> Decimal<DIGITS> {
    /// Rounds to the nearest number with at most `DIGITS` fraction digits.
    pub fn rounded(number: f64) -> Self {
        let scale = 10f64.powi(DIGITS as i32);
        Decimal((number * scale).round() / scale)
    }

    /// The value as a floating-point number.
    pub fn get(self) -> f64 {
        self.0
    }

    /// The smaller of both.
    pub(crate) fn min(self, other: Self) -> Self {
        if other < self {
            other
        } else {
            self
        }
    }
}

impl<const DIGITS: u32> fmt::Display for Decimal<DIGITS> {
    /// Writes the canonical form of RFC 7950: at least one fraction digit, and no other trailing zeros.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let text = format!("{:.*}", DIGITS as usize, self.0);
        let short = text.trim_end_matches('0');
        f.write_str(short)?;
        f.write_str(if short.ends_with('.') { "0" } else { "" })
    }
}

impl<const DIGITS: u32> Serialize for Decimal<DIGITS> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de, const DIGITS: u32> Deserialize<'de> for Decimal<DIGITS> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let number = text.parse::<f64>().ok().filter(|number| number.is_finite());
        number
            .map(Self::rounded)
            .ok_or_else(|| D::Error::custom(format!("{text:?} is not a finite decimal number")))
    }
}
