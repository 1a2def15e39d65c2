//! Sums, counts, minimum, maximum and mean over rows.

use crate::query::Op;
use crate::units::{Overflow, Units};

/// Exact figures over some rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Aggregate {
    /// How many rows.
    pub rows: u64,
    /// Their sum.
    pub sum: Units,
    /// The minimum and the maximum; `None` where there are no rows.
    pub min_max: Option<(Units, Units)>,
}

impl Aggregate {
    /// The aggregate of one row.
    pub fn of_row(measure: Units) -> Self {
        Self { rows: 1, sum: measure, min_max: Some((measure, measure)) }
    }

    /// The aggregate of the rows of both.
    ///
    /// # Errors
    /// A figure does not fit 128 bits.
    pub fn merge(&self, other: &Self) -> Result<Self, Overflow> {
        let min_max = match (self.min_max, other.min_max) {
            (Some(a), Some(b)) => Some((a.0.min(b.0), a.1.max(b.1))),
            (a, b) => a.or(b),
        };
        let rows = self.rows.checked_add(other.rows).ok_or(Overflow)?;
        Ok(Self { rows, sum: self.sum.plus(other.sum)?, min_max })
    }
}

/// A figure in an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Figure {
    /// As a decimal. Without rows the minimum, the maximum and the mean are `None`.
    pub value: Option<String>,
    /// Whether it is exact: a mean may have been rounded.
    pub exact: bool,
}

/// The figure that an operation computes from an aggregate.
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

/// The aggregate over all ranges if those that are missing still hold what the cache has of them: `None` where the
/// cache has nothing of one of them.
///
/// # Errors
/// A figure does not fit 128 bits.
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
