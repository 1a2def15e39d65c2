//! Sums, counts, least, greatest and mean over all ranges: each range counts once, and what is missing is said.

use crate::query::Op;
use crate::units::{Overflow, Units};

/// Exact figures over some rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Aggregate {
    /// How many rows.
    pub rows: u64,
    /// Their sum.
    pub sum: Units,
    /// The least and the greatest; none where there are no rows.
    pub ends: Option<(Units, Units)>,
}

impl Aggregate {
    /// Of one row.
    pub fn of_row(measure: Units) -> Self {
        Self { rows: 1, sum: measure, ends: Some((measure, measure)) }
    }

    /// Of the rows of both.
    ///
    /// # Errors
    /// A figure does not fit.
    pub fn merge(&self, other: &Self) -> Result<Self, Overflow> {
        let ends = match (self.ends, other.ends) {
            (Some(a), Some(b)) => Some((a.0.min(b.0), a.1.max(b.1))),
            (a, b) => a.or(b),
        };
        let rows = self.rows.checked_add(other.rows).ok_or(Overflow)?;
        Ok(Self { rows, sum: self.sum.plus(other.sum)?, ends })
    }
}

/// A figure as an answer gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Figure {
    /// As a decimal; none where there are no rows, for the least, the greatest and the mean.
    pub value: Option<String>,
    /// Whether it is exact as it stands; a mean may have been rounded.
    pub exact: bool,
}

/// What an operation makes of figures.
pub fn figure(op: Op, aggregate: &Aggregate, scale: u8) -> Figure {
    let value = match op {
        Op::Count => Some(aggregate.rows.to_string()),
        Op::Min => aggregate.ends.map(|e| e.0.decimal(scale)),
        Op::Max => aggregate.ends.map(|e| e.1.decimal(scale)),
        Op::Mean => {
            let mean = aggregate.sum.mean(aggregate.rows);
            let exact = mean.is_none_or(|m| m.1);
            return Figure { value: mean.map(|m| m.0.decimal(scale)), exact };
        }
        Op::Sum | Op::Rank | Op::List => Some(aggregate.sum.decimal(scale)),
    };
    Figure { value, exact: true }
}

/// Where the exact figure lies, if ranges that are missing hold what is remembered of them at their last version
/// known: none as soon as one of them is not remembered.
///
/// # Errors
/// A figure does not fit.
pub fn interval(known: &Aggregate, missing: &[Option<Aggregate>]) -> Result<Option<Aggregate>, Overflow> {
    let mut sum = *known;
    for aggregate in missing {
        let Some(aggregate) = aggregate else { return Ok(None) };
        sum = sum.merge(aggregate)?;
    }
    Ok(Some(sum))
}

#[cfg(test)]
mod tests;
