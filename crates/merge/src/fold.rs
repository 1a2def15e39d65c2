//! Sums, counts, least, greatest and mean over all ranges: each range counts once, and what is missing is said.

use std::collections::BTreeMap;

use crate::query::Op;
use crate::units::{Overflow, Units};
use crate::value::{Header, Unfit};
use crate::{Range, Version};

/// Exact figures over some rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Fold {
    /// How many rows.
    pub rows: u64,
    /// Their sum.
    pub sum: Units,
    /// The least and the greatest; none where there are no rows.
    pub ends: Option<(Units, Units)>,
}

impl Fold {
    /// Of one row.
    pub fn one(measure: Units) -> Self {
        Self { rows: 1, sum: measure, ends: Some((measure, measure)) }
    }

    /// Of the rows of both.
    ///
    /// # Errors
    /// A figure does not fit.
    pub fn join(&self, other: &Self) -> Result<Self, Overflow> {
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
pub fn figure(op: Op, fold: &Fold, scale: u8) -> Figure {
    let value = match op {
        Op::Count => Some(fold.rows.to_string()),
        Op::Min => fold.ends.map(|e| e.0.decimal(scale)),
        Op::Max => fold.ends.map(|e| e.1.decimal(scale)),
        Op::Mean => {
            let mean = fold.sum.mean(fold.rows);
            let exact = mean.is_none_or(|m| m.1);
            return Figure { value: mean.map(|m| m.0.decimal(scale)), exact };
        }
        Op::Sum | Op::Rank | Op::List => Some(fold.sum.decimal(scale)),
    };
    Figure { value, exact: true }
}

/// Adds up what ranges gave, each once.
#[derive(Debug, Clone, Default)]
pub struct Folding {
    ranges: BTreeMap<Range, (Version, Fold)>,
}

impl Folding {
    /// Takes a range's value; the first one counts, and a further one adds nothing. Returns whether it counted.
    ///
    /// # Errors
    /// The value has no total.
    pub fn add(&mut self, header: &Header) -> Result<bool, Unfit> {
        let total = header.total.ok_or_else(|| Unfit::Malformed("a total is expected".into()))?;
        let first = !self.ranges.contains_key(&header.range);
        if first {
            self.ranges.insert(header.range, (header.version, total.fold()));
        }
        Ok(first)
    }

    /// Each range's version and figures.
    pub fn ranges(&self) -> &BTreeMap<Range, (Version, Fold)> {
        &self.ranges
    }

    /// The figures over all ranges that are in.
    ///
    /// # Errors
    /// They do not fit.
    pub fn total(&self) -> Result<Fold, Overflow> {
        self.ranges.values().try_fold(Fold::default(), |sum, (_, fold)| sum.join(fold))
    }
}

/// Where the exact figure lies, if ranges that are missing hold what is remembered of them at their last version
/// known: none as soon as one of them is not remembered.
///
/// # Errors
/// A figure does not fit.
pub fn interval(known: &Fold, missing: &[Option<Fold>]) -> Result<Option<Fold>, Overflow> {
    let mut sum = *known;
    for fold in missing {
        let Some(fold) = fold else { return Ok(None) };
        sum = sum.join(fold)?;
    }
    Ok(Some(sum))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::value::Value;

    fn header(range: Range, version: Version, sum: i128) -> Header {
        let total = format!(r#"{{"rows":2,"sum":{sum},"min":{0},"max":{0}}}"#, sum / 2);
        let text = format!(
            r#"{{"v":1,"range":{range},"version":{version},"until":{version},"scale":2,"total":{total}}}"#
        );
        Value::read(&text).unwrap().header
    }

    /// Guards against adding a twin, a repeat or a late answer once more, in both orders, and against mixing
    /// versions of one range.
    #[test]
    fn a_range_that_answers_twice_counts_once() {
        for (first, second) in [((5, 100), (5, 100)), ((5, 100), (6, 120)), ((6, 120), (5, 100))] {
            let mut folding = Folding::default();
            assert!(folding.add(&header(3, first.0, first.1)).unwrap());
            assert!(!folding.add(&header(3, second.0, second.1)).unwrap());
            assert!(folding.add(&header(4, 1, 10)).unwrap());
            assert_eq!(folding.total().unwrap().sum, Units(first.1 + 10));
            assert_eq!(folding.ranges()[&3].0, first.0);
        }
    }

    #[test]
    fn an_overflow_is_an_error() {
        let huge = Fold { rows: 1, sum: Units(i128::MAX), ends: None };
        assert!(huge.join(&Fold::one(Units(1))).is_err());
        assert!(Fold { rows: u64::MAX, ..Fold::default() }.join(&Fold::one(Units(1))).is_err());
    }

    #[test]
    fn an_interval_needs_all_that_is_missing() {
        let known = Fold::one(Units(5));
        assert_eq!(interval(&known, &[Some(known), None]).unwrap(), None);
        assert_eq!(interval(&known, &[Some(known)]).unwrap().unwrap().sum, Units(10));
    }
}
