//! Coverage of an answer: which ranges are in, which are missing and why.

use std::collections::BTreeMap;
use std::fmt;

use crate::error::InvalidValue;
use crate::value::TooLarge;
use crate::{Range, Version};

/// Why a range is missing from an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MissingReason {
    /// None of its data nodes answered in time.
    NoAnswer,
    /// Its values were refused; the error of the last one.
    InvalidValue(InvalidValue),
    /// One of its rows does not fit a value, so that no replica can return it.
    TooLarge(TooLarge),
}

impl MissingReason {
    /// The code that stands for it in answers.
    pub fn code(&self) -> &'static str {
        match self {
            Self::NoAnswer => "no-answer",
            Self::InvalidValue(InvalidValue::StaleVersion(..)) => "behind",
            Self::InvalidValue(_) => "spoilt",
            Self::TooLarge(_) => "row-too-large",
        }
    }
}

impl fmt::Display for MissingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer => f.write_str("no data node answered in time"),
            Self::InvalidValue(invalid) => invalid.fmt(f),
            Self::TooLarge(row) => write!(f, "the row '{}' is larger than a value may be", row.key),
        }
    }
}

/// The ranges that an answer is made of.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Coverage {
    /// The ranges that are in, with the version of their data.
    pub versions: BTreeMap<Range, Version>,
    /// The ranges that are missing.
    pub missing: BTreeMap<Range, MissingReason>,
}

/// The ratio of coverage is counted in millionths.
const MILLIONTHS_PER_UNIT: u128 = 1_000_000;

/// Ranges by which a minimum may be missed, for the rounding of its product.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl Coverage {
    /// Whether every range is in.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty() && !self.versions.is_empty()
    }

    /// The share of the ranges that are in, in millionths and rounded down: a million only where all are.
    pub fn ratio_millionths(&self) -> u32 {
        let (included, all) =
            (self.versions.len() as u128, (self.versions.len() + self.missing.len()) as u128);
        // At most MILLIONTHS_PER_UNIT, which fits.
        (included * MILLIONTHS_PER_UNIT).checked_div(all).unwrap_or(0) as u32
    }

    /// The ratio as a decimal with six digits.
    pub fn decimal(&self) -> String {
        crate::units::Units(self.ratio_millionths().into()).decimal(6)
    }

    /// Whether the ratio is at least this minimum.
    pub fn meets_minimum(&self, minimum: f64) -> bool {
        let all = self.versions.len() + self.missing.len();
        all > 0 && self.versions.len() as f64 >= minimum * all as f64 - ROUNDING_TOLERANCE
    }
}

#[cfg(test)]
mod tests;
