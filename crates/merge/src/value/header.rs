//! The header of a value: versions, totals and what is left out.

use serde::Deserialize;

use crate::aggregate::Aggregate;
use crate::units::Units;
use crate::{Range, Version};

/// The first line of a value.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    pub(super) v: u8,
    /// The range that the value speaks for.
    pub range: Range,
    /// The version of the range's data when reading began.
    pub version: Version,
    /// The version when reading ended; another one than `version` makes the value invalid.
    pub(super) until: Version,
    /// Decimals of the measure.
    pub(super) scale: u8,
    /// Rows that follow this line.
    #[serde(default)]
    pub rows: usize,
    /// Rows of the range that follow the value's last one.
    #[serde(default, rename = "rest")]
    pub remainder: Option<Remainder>,
    /// All rows of the range that match, whatever the value holds of them.
    #[serde(default)]
    pub total: Option<Total>,
    /// A row that does not fit a value, so that no replica can return it.
    #[serde(default)]
    pub too_large: Option<TooLarge>,
}

/// The rows of a range that follow the last row of its value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "super::wire::Rest")]
pub struct Remainder {
    /// How many, where the range knows.
    pub rows: Option<u64>,
    /// Upper bound of their measures.
    pub max: Option<Units>,
    /// Lower bound of their measures.
    pub min: Option<Units>,
}

/// Exact figures over all rows of a range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Total {
    /// How many rows.
    pub rows: u64,
    /// The sum of the measure.
    pub sum: Units,
    /// The least; none where there are no rows.
    #[serde(default)]
    pub min: Option<Units>,
    /// The greatest; none where there are no rows.
    #[serde(default)]
    pub max: Option<Units>,
}

/// A row that does not fit a value.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TooLarge {
    /// Its key.
    pub key: String,
    /// Its bytes.
    #[serde(default)]
    pub bytes: u64,
}

impl Total {
    /// The same figures as an aggregate.
    pub fn aggregate(&self) -> Aggregate {
        Aggregate { rows: self.rows, sum: self.sum, min_max: self.min.zip(self.max) }
    }
}
