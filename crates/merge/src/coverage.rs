//! Coverage of an answer: which ranges are included, which are missing and why.

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
    /// All its values were rejected; holds the error of the last one.
    InvalidValue(InvalidValue),
    /// One of its rows exceeds the size limit of a value, so no replica can return it.
    TooLarge(TooLarge),
}

impl MissingReason {
    /// The reason code written in answers.
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

/// The included and the missing ranges of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Coverage {
    /// Included ranges with the versions of their data.
    pub versions: BTreeMap<Range, Version>,
    /// Missing ranges with the reasons.
    pub missing: BTreeMap<Range, MissingReason>,
}

const MILLIONTHS_PER_UNIT: u128 = 1_000_000;

/// Tolerance of the minimum, in ranges, for rounding errors in `minimum * ranges`.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl Coverage {
    /// Whether no range is missing; false if there are no ranges.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty() && !self.versions.is_empty()
    }

    /// The ratio of included ranges in millionths, rounded down: 1,000,000 only if no range is missing.
    pub fn ratio_millionths(&self) -> u32 {
        let (included, all) =
            (self.versions.len() as u128, (self.versions.len() + self.missing.len()) as u128);
        // At most MILLIONTHS_PER_UNIT, which fits.
        (included * MILLIONTHS_PER_UNIT).checked_div(all).unwrap_or(0) as u32
    }

    /// The ratio of included ranges as a decimal with six digits, rounded down.
    pub fn decimal(&self) -> String {
        crate::units::Units(self.ratio_millionths().into()).decimal(6)
    }

    /// Whether the ratio of included ranges is at least `minimum`; false if there are no ranges.
    pub fn meets_minimum(&self, minimum: f64) -> bool {
        let all = self.versions.len() + self.missing.len();
        all > 0 && self.versions.len() as f64 >= minimum * all as f64 - ROUNDING_TOLERANCE
    }
}

#[cfg(test)]
mod tests;
