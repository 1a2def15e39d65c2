//! Rankings: the first rows of all ranges by a measure, and how many of them are certain to stand in the exact
//! answer at that place, whatever the rows that were not seen hold.

mod groups;
mod rows;
#[cfg(test)]
mod tests;

use std::borrow::Cow;

use serde_json::value::RawValue;

pub use groups::merge_groups;
pub use rows::merge;

use crate::order::compare_measures;
use crate::query::Order;
use crate::units::Units;
use crate::Range;

/// A row of a ranking.
#[derive(Debug, Clone)]
pub struct RankedRow<'a> {
    /// Its key.
    pub key: Cow<'a, str>,
    /// The measure as far as it is known.
    pub measure: Units,
    /// Lower bound of the exact measure; `None` where unbounded.
    pub low: Option<Units>,
    /// Upper bound of the exact measure; `None` where unbounded.
    pub high: Option<Units>,
    /// The range that holds the row; `None` where rows of several ranges were added up.
    pub range: Option<Range>,
    /// Its body, passed on unchanged.
    pub body: Option<&'a RawValue>,
}

impl RankedRow<'_> {
    /// Whether the measure is exact.
    pub fn is_exact(&self) -> bool {
        self.low == self.high && self.low == Some(self.measure)
    }
}

/// A ranking.
#[derive(Debug, Clone, Default)]
pub struct Ranking<'a> {
    /// Its rows, best first.
    pub rows: Vec<RankedRow<'a>>,
    /// How many of them, from the first on, stand in the exact answer at the same place.
    pub certain: usize,
    /// Whether further rows follow the last one.
    pub more: bool,
}

/// The best measure that can follow a row: its own, or the declared bound where that is worse.
fn best_following(order: Order, declared: Option<Units>, last: Units) -> Units {
    match declared {
        Some(declared) if compare_measures(order, declared, last).is_gt() => declared,
        _ => last,
    }
}
