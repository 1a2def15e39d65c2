//! What an answer rests on: which ranges are in, which are missing and why.

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
    /// What came could not be used; the last fault seen.
    InvalidValue(InvalidValue),
    /// One of its rows is larger than any value may be: no replica can give it.
    TooLarge(TooLarge),
}

impl MissingReason {
    /// The word that answers use for it.
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

/// What an answer rests on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Coverage {
    /// The ranges that are in, with the version of their data.
    pub versions: BTreeMap<Range, Version>,
    /// The ranges that are not.
    pub missing: BTreeMap<Range, MissingReason>,
}

/// Parts of one in which shares are written.
const MILLIONTHS_PER_UNIT: u128 = 1_000_000;

impl Coverage {
    /// Whether every range is in.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty() && !self.versions.is_empty()
    }

    /// The share of the ranges that are in, in millionths, rounded down: never more than there is, and a million
    /// only where all are.
    pub fn ratio_millionths(&self) -> u32 {
        let (there, all) = (self.versions.len() as u128, (self.versions.len() + self.missing.len()) as u128);
        // At most MILLIONTHS_PER_UNIT.
        (there * MILLIONTHS_PER_UNIT).checked_div(all).unwrap_or(0) as u32
    }

    /// The same as a decimal.
    pub fn decimal(&self) -> String {
        crate::units::Units(self.ratio_millionths().into()).decimal(6)
    }

    /// Whether the share reaches this floor.
    pub fn meets_minimum(&self, floor: f64) -> bool {
        let all = self.versions.len() + self.missing.len();
        all > 0 && self.versions.len() as f64 >= floor * all as f64 - 1e-9
    }
}

#[cfg(test)]
mod tests;
