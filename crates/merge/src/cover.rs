//! What an answer rests on: which ranges are in, which are missing and why.

use std::collections::BTreeMap;
use std::fmt;

use crate::value::{TooLarge, Unfit};
use crate::{Range, Version};

/// Why a range is missing from an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// None of its data nodes answered in time.
    NoAnswer,
    /// What came could not be used; the last fault seen.
    Unfit(Unfit),
    /// One of its rows is larger than any value may be: no replica can give it.
    TooLarge(TooLarge),
}

impl Reason {
    /// The word that answers use for it.
    pub fn word(&self) -> &'static str {
        match self {
            Self::NoAnswer => "no-answer",
            Self::Unfit(Unfit::Behind(..)) => "behind",
            Self::Unfit(_) => "spoilt",
            Self::TooLarge(_) => "row-too-large",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer => f.write_str("no data node answered in time"),
            Self::Unfit(unfit) => unfit.fmt(f),
            Self::TooLarge(row) => write!(f, "the row '{}' is larger than a value may be", row.key),
        }
    }
}

/// What an answer rests on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Cover {
    /// The ranges that are in, with the version of their data.
    pub versions: BTreeMap<Range, Version>,
    /// The ranges that are not.
    pub missing: BTreeMap<Range, Reason>,
}

/// Parts of one in which shares are written.
const PARTS: u128 = 1_000_000;

impl Cover {
    /// Whether every range is in.
    pub fn whole(&self) -> bool {
        self.missing.is_empty() && !self.versions.is_empty()
    }

    /// The share of the ranges that are in, in millionths, rounded down: never more than there is, and a million
    /// only where all are.
    pub fn share(&self) -> u32 {
        let (there, all) = (self.versions.len() as u128, (self.versions.len() + self.missing.len()) as u128);
        // At most PARTS.
        (there * PARTS).checked_div(all).unwrap_or(0) as u32
    }

    /// The same as a decimal.
    pub fn decimal(&self) -> String {
        crate::units::Units(self.share().into()).decimal(6)
    }

    /// Whether the share reaches this floor.
    pub fn reaches(&self, floor: f64) -> bool {
        let all = self.versions.len() + self.missing.len();
        all > 0 && self.versions.len() as f64 >= floor * all as f64 - 1e-9
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_are_never_rounded_up() {
        let versions = (0..999_999).map(|r| (r, 1)).collect();
        let missing = [(999_999, Reason::NoAnswer), (1_000_000, Reason::NoAnswer)].into();
        let cover = Cover { versions, missing };
        assert_eq!((cover.share(), cover.decimal().as_str()), (999_998, "0.999998"));
        let whole = Cover { versions: [(0, 1)].into(), ..Cover::default() };
        assert!(whole.whole() && whole.decimal() == "1.000000");
        assert!(!Cover::default().whole() && Cover::default().share() == 0);
        let four =
            Cover { versions: (0..4).map(|r| (r, 1)).collect(), missing: [(4, Reason::NoAnswer)].into() };
        assert!(four.reaches(0.8) && !four.reaches(0.81));
    }
}
