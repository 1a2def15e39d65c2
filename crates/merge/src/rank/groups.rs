//! Rankings of groups: the measures of rows with the same key are summed over all ranges.
//!
//! If a range did not list a group, its contribution is within the bounds that the range declares for its remainder
//! (Fagin, Lotem and Naor, "Optimal aggregation algorithms for middleware", 2003, the bounds of NRA).

use std::borrow::Cow;
use std::collections::HashMap;

use super::{best_following, RankedRow, Ranking};
use crate::error::RowError;
use crate::order::{compare_measures, compare_rows, ranks_before};
use crate::query::Order;
use crate::range_bounds::RangeBounds;
use crate::units::{Overflow, Units};
use crate::value::{Entry, Value};

/// A sum of bounds, which counts those that are unbounded.
#[derive(Debug, Clone, Copy, Default)]
struct BoundSum {
    sum: Units,
    unbounded: usize,
}

impl BoundSum {
    fn add(&mut self, bound: Option<Units>) -> Result<(), Overflow> {
        match bound {
            Some(bound) => self.sum = self.sum.plus(bound)?,
            None => self.unbounded += 1,
        }
        Ok(())
    }

    /// The sum without the bounds in `part`; `None` if an unbounded one remains.
    fn without(&self, part: &Self) -> Result<Option<Units>, Overflow> {
        Ok(match self.unbounded > part.unbounded {
            true => None,
            false => Some(self.sum.minus(part.sum)?),
        })
    }

    fn total(&self) -> Result<Option<Units>, Overflow> {
        self.without(&Self::default())
    }
}

/// Lower and upper bound of a group's contribution from a range that did not list the group.
#[derive(Clone, Copy)]
struct UnlistedBounds {
    low: Option<Units>,
    high: Option<Units>,
}

impl UnlistedBounds {
    /// Bounds for a group that either has no rows in the range, and contributes 0, or has a measure between `least` and
    /// `most`.
    fn within(least: Option<Units>, most: Option<Units>) -> Self {
        Self { low: least.map(|l| l.min(Units(0))), high: most.map(|m| m.max(Units(0))) }
    }

    /// Bounds for groups that a value did not list; `last` is the measure of the value's last row.
    fn after_value(value: &Value<'_>, last: Option<Units>, order: Order) -> Self {
        match (value.header.remainder, last, order) {
            (None, _, _) | (_, None, _) => Self { low: Some(Units(0)), high: Some(Units(0)) },
            (Some(remainder), Some(last), Order::Desc) => {
                Self::within(remainder.min, Some(best_following(order, remainder.max, last)))
            }
            (Some(remainder), Some(last), Order::Asc) => {
                Self::within(Some(best_following(order, remainder.min, last)), remainder.max)
            }
        }
    }
}

/// The known sum of one group.
#[derive(Default)]
struct GroupSum {
    known: Units,
    /// Sums of the bounds for unlisted groups, over the ranges that listed this group.
    low: BoundSum,
    high: BoundSum,
}

/// The groups listed by all ranges, and the bounds for unlisted groups.
#[derive(Default)]
struct GroupTable<'a> {
    groups: HashMap<Cow<'a, str>, GroupSum>,
    /// Sums of the bounds for unlisted groups, over all ranges.
    low: BoundSum,
    high: BoundSum,
    /// Whether a range may contain groups that it did not list.
    has_unlisted: bool,
}

impl<'a> GroupTable<'a> {
    fn add_value(&mut self, value: &Value<'a>, order: Order) -> Result<(), RowError> {
        let rows = value.rows::<Entry>().collect::<Result<Vec<_>, _>>()?;
        let bounds = UnlistedBounds::after_value(value, rows.last().map(|row| row.measure), order);
        self.has_unlisted |= value.header.remainder.is_some();
        self.low.add(bounds.low)?;
        self.high.add(bounds.high)?;
        for row in rows {
            let group = self.groups.entry(row.key).or_default();
            group.known = group.known.plus(row.measure)?;
            group.low.add(bounds.low)?;
            group.high.add(bounds.high)?;
        }
        Ok(())
    }

    fn add_missing(&mut self, range: RangeBounds) -> Result<(), Overflow> {
        let bounds = match range {
            RangeBounds::Empty => return Ok(()),
            RangeBounds::Unknown => UnlistedBounds { low: None, high: None },
            RangeBounds::Within(least, most) => UnlistedBounds::within(least, most),
        };
        self.has_unlisted = true;
        self.low.add(bounds.low)?;
        self.high.add(bounds.high)
    }

    /// The best possible measure of a group that no range listed (`Some(None)` if unbounded); `None` if every group was
    /// listed.
    fn best_unlisted(&self, order: Order) -> Result<Option<Option<Units>>, Overflow> {
        let best = match order {
            Order::Desc => self.high.total()?,
            Order::Asc => self.low.total()?,
        };
        Ok(self.has_unlisted.then_some(best))
    }

    /// All listed groups, best first.
    fn into_rows(self, order: Order) -> Result<Vec<RankedRow<'a>>, Overflow> {
        let mut rows = Vec::with_capacity(self.groups.len());
        for (key, group) in self.groups {
            let bound = |all: &BoundSum, own: &BoundSum| match all.without(own)? {
                Some(bound) => group.known.plus(bound).map(Some),
                None => Ok(None),
            };
            let (low, high) = (bound(&self.low, &group.low)?, bound(&self.high, &group.high)?);
            rows.push(RankedRow { key, measure: group.known, low, high, range: None, body: None });
        }
        rows.sort_unstable_by(|a, b| compare_rows(order, (a.measure, &a.key), (b.measure, &b.key)));
        Ok(rows)
    }
}

/// Ranks groups by the sum of their measures over all ranges and returns the first `limit`. Keeps every listed group in
/// memory.
///
/// # Errors
/// A row is malformed, or a sum does not fit 128 bits.
pub fn merge_groups<'a>(
    values: &[Value<'a>],
    missing: &[RangeBounds],
    order: Order,
    limit: usize,
) -> Result<Ranking<'a>, RowError> {
    let mut table = GroupTable::default();
    for value in values {
        table.add_value(value, order)?;
    }
    for &range in missing {
        table.add_missing(range)?;
    }
    let unlisted = table.best_unlisted(order)?;
    let mut rows = table.into_rows(order)?;
    let certain = count_certain(&rows, order, unlisted).min(limit);
    let more = rows.len() > limit || unlisted.is_some();
    rows.truncate(limit);
    Ok(Ranking { rows, certain, more })
}

/// Counts the leading groups whose rank is certain: with its worst measure, such a group ranks before all later groups
/// with their best measures, and before unlisted groups, whose best measure is `unlisted`.
fn count_certain(rows: &[RankedRow<'_>], order: Order, unlisted: Option<Option<Units>>) -> usize {
    let before_unlisted = |worst| match unlisted {
        None => true,
        Some(None) => false,
        Some(Some(best)) => compare_measures(order, worst, best).is_lt(),
    };
    // Iterates from the last row to the first and tracks the best bound of the rows after the current one.
    let mut later_is_unbounded = false;
    let mut best_of_later: Option<(Units, &str)> = None;
    let mut certain = Vec::with_capacity(rows.len());
    for row in rows.iter().rev() {
        let (worst, best) = match order {
            Order::Desc => (row.low, row.high),
            Order::Asc => (row.high, row.low),
        };
        certain.push(worst.is_some_and(|worst| {
            let before_later = best_of_later.is_none_or(|b| ranks_before(order, (worst, &row.key), b));
            before_later && before_unlisted(worst) && !later_is_unbounded
        }));
        match best {
            None => later_is_unbounded = true,
            Some(best) => {
                let own = (best, row.key.as_ref());
                best_of_later =
                    Some(best_of_later.map_or(own, |b| if ranks_before(order, own, b) { own } else { b }));
            }
        }
    }
    certain.iter().rev().take_while(|certain| **certain).count()
}
