//! Rankings: the first rows of all ranges by a measure, and how many of them are certain to have the same rank in the
//! exact answer, whatever the unseen rows contain.

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
    /// Key of the row or group.
    pub key: Cow<'a, str>,
    /// Measure of the row; for a group, the sum of its known rows.
    pub measure: Units,
    /// Lower bound of the exact measure; `None` where unbounded.
    pub low: Option<Units>,
    /// Upper bound of the exact measure; `None` where unbounded.
    pub high: Option<Units>,
    /// Range that holds the row; `None` for a group.
    pub range: Option<Range>,
    /// Body, returned unchanged; `None` for a group or a row without one.
    pub body: Option<&'a RawValue>,
}

impl RankedRow<'_> {
    /// Whether both bounds equal the measure.
    pub fn is_exact(&self) -> bool {
        self.low == self.high && self.low == Some(self.measure)
    }
}

/// The first rows or groups by a measure.
#[derive(Debug, Clone, Default)]
pub struct Ranking<'a> {
    /// Rows, best first.
    pub rows: Vec<RankedRow<'a>>,
    /// Number of leading rows that are certain to have the same rank in the exact answer.
    pub certain: usize,
    /// Whether further rows follow, or may follow, the last one.
    pub more: bool,
}

/// The best measure that a row after `last` can have: `last` itself, or the declared bound if that is worse.
fn best_following(order: Order, declared: Option<Units>, last: Units) -> Units {
    match declared {
        Some(declared) if compare_measures(order, declared, last).is_gt() => declared,
        _ => last,
    }
}
