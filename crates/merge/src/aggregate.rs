//! Sums, counts, minimum, maximum and mean over rows.

use crate::query::Op;
use crate::units::{Overflow, Units};

/// Exact count, sum, minimum and maximum over a set of rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Aggregate {
    /// Number of rows.
    pub rows: u64,
    /// Sum of the measure over the rows.
    pub sum: Units,
    /// Minimum and maximum; `None` if the set is empty.
    pub min_max: Option<(Units, Units)>,
}

impl Aggregate {
    /// The aggregate of one row.
    pub fn of_row(measure: Units) -> Self {
        Self { rows: 1, sum: measure, min_max: Some((measure, measure)) }
    }

    /// Combines the aggregates of two disjoint sets of rows.
    ///
    /// # Errors
    /// The sum does not fit 128 bits, or the row count 64 bits.
    pub fn merge(&self, other: &Self) -> Result<Self, Overflow> {
        let min_max = match (self.min_max, other.min_max) {
            (Some(a), Some(b)) => Some((a.0.min(b.0), a.1.max(b.1))),
            (a, b) => a.or(b),
        };
        let rows = self.rows.checked_add(other.rows).ok_or(Overflow)?;
        Ok(Self { rows, sum: self.sum.plus(other.sum)?, min_max })
    }
}

/// The result of an aggregate operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Figure {
    /// The value as a decimal; `None` for the minimum, maximum and mean of an empty set.
    pub value: Option<String>,
    /// False only if a mean was rounded.
    pub exact: bool,
}

/// Computes the result of an operation from an aggregate.
pub fn figure(op: Op, aggregate: &Aggregate, scale: u8) -> Figure {
    let value = match op {
        Op::Count => Some(aggregate.rows.to_string()),
        Op::Min => aggregate.min_max.map(|e| e.0.decimal(scale)),
        Op::Max => aggregate.min_max.map(|e| e.1.decimal(scale)),
        Op::Mean => {
            let mean = aggregate.sum.mean(aggregate.rows);
            let exact = mean.is_none_or(|m| m.1);
            return Figure { value: mean.map(|m| m.0.decimal(scale)), exact };
        }
        Op::Sum | Op::Rank | Op::List => Some(aggregate.sum.decimal(scale)),
    };
    Figure { value, exact: true }
}

/// The aggregate over all ranges, assuming that the missing ones are unchanged since they were cached. `None` if a
/// missing range has no cached aggregate.
///
/// # Errors
/// The sum does not fit 128 bits, or the row count 64 bits.
pub fn interval(known: &Aggregate, missing: &[Option<Aggregate>]) -> Result<Option<Aggregate>, Overflow> {
    let mut sum = *known;
    for cached in missing {
        let Some(aggregate) = cached else { return Ok(None) };
        sum = sum.merge(aggregate)?;
    }
    Ok(Some(sum))
}

#[cfg(test)]
mod tests;
