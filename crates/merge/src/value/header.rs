//! The header of a value: versions, totals and the rows that the value omits.

use serde::Deserialize;

use crate::aggregate::Aggregate;
use crate::units::Units;
use crate::{Range, Version};

/// The first line of a value.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    #[serde(rename = "v")]
    pub(super) format_version: u8,
    /// Range that the value belongs to.
    pub range: Range,
    /// Version of the range's data when the data node began to read it.
    pub version: Version,
    /// Version of the data when reading ended; the value is invalid if it differs from `version`.
    #[serde(rename = "until")]
    pub(super) version_at_end: Version,
    /// Number of decimals of the measure.
    pub(super) scale: u8,
    /// Number of rows after the header.
    #[serde(default)]
    pub rows: usize,
    /// The matching rows of the range after the value's last row; `None` if there are none.
    #[serde(default, rename = "rest")]
    pub remainder: Option<Remainder>,
    /// Exact aggregate over all matching rows of the range, including those that the value omits.
    #[serde(default)]
    pub total: Option<Total>,
    /// A row that exceeds the size limit of a value, so no replica can return it.
    #[serde(default)]
    pub too_large: Option<TooLarge>,
}

/// The rows of a range after the last row of its value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "super::wire::Rest")]
pub struct Remainder {
    /// Number of rows; `None` if unknown to the data node.
    pub rows: Option<u64>,
    /// Upper bound of the measures; `None` if unbounded.
    pub max: Option<Units>,
    /// Lower bound of the measures; `None` if unbounded.
    pub min: Option<Units>,
}

/// Exact aggregate over all matching rows of a range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Total {
    /// Number of rows.
    pub rows: u64,
    /// Sum of the measure.
    pub sum: Units,
    /// Minimum of the measure; `None` if there are no rows.
    #[serde(default)]
    pub min: Option<Units>,
    /// Maximum of the measure; `None` if there are no rows.
    #[serde(default)]
    pub max: Option<Units>,
}

/// A row that exceeds the size limit of a value.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TooLarge {
    /// Key of the row.
    pub key: String,
    /// Size of the row, in bytes; 0 if not given.
    #[serde(default)]
    pub bytes: u64,
}

impl Total {
    /// Converts to an aggregate.
    pub fn aggregate(&self) -> Aggregate {
        Aggregate { rows: self.rows, sum: self.sum, min_max: self.min.zip(self.max) }
    }
}
