//! Rankings of groups: rows of one key that lie in several ranges are added up.
//!
//! What a range did not list of a group lies within the bounds that the range declares for its remainder (Fagin,
//! Lotem and Naor, "Optimal aggregation algorithms for middleware", 2003, the bounds of NRA).

use std::borrow::Cow;
use std::collections::HashMap;

use super::{best_following, RankedRow, Ranking};
use crate::error::RowError;
use crate::order::{compare_measures, compare_rows, ranks_before};
use crate::query::Order;
use crate::range_bounds::RangeBounds;
use crate::units::{Overflow, Units};
use crate::value::{Entry, Value};

/// A sum of bounds, some of which may be unbounded.
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

    /// The sum without the bounds of `part`; `None` where one that is unbounded remains.
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

/// The least and the greatest measure that a group can have in a range that did not list it.
#[derive(Clone, Copy)]
struct UnlistedBounds {
    low: Option<Units>,
    high: Option<Units>,
}

impl UnlistedBounds {
    /// The group has no rows there, or a measure within these bounds.
    fn within(least: Option<Units>, most: Option<Units>) -> Self {
        Self { low: least.map(|l| l.min(Units(0))), high: most.map(|m| m.max(Units(0))) }
    }

    /// For a range whose last listed row has this measure.
    fn after_value(value: &Value<'_>, last: Option<Units>, order: Order) -> Self {
        match (value.header.remainder, last, order) {
            (None, _, _) | (_, None, _) => Self { low: Some(Units(0)), high: Some(Units(0)) },
            (Some(rest), Some(last), Order::Desc) => {
                Self::within(rest.min, Some(best_following(order, rest.max, last)))
            }
            (Some(rest), Some(last), Order::Asc) => {
                Self::within(Some(best_following(order, rest.min, last)), rest.max)
            }
        }
    }
}

/// What is known of one group.
#[derive(Default)]
struct GroupSum {
    known: Units,
    /// Sums of the unlisted bounds of those ranges that did list the group.
    low: BoundSum,
    high: BoundSum,
}

/// The groups of all ranges.
#[derive(Default)]
struct GroupTable<'a> {
    groups: HashMap<Cow<'a, str>, GroupSum>,
    /// Sums of the unlisted bounds of all ranges.
    low: BoundSum,
    high: BoundSum,
    /// Whether a range may hold groups that it did not list.
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

    /// The best measure of a group that no range listed; `None` where there is no such group.
    fn best_unlisted(&self, order: Order) -> Result<Option<Option<Units>>, Overflow> {
        let best = match order {
            Order::Desc => self.high.total()?,
            Order::Asc => self.low.total()?,
        };
        Ok(self.has_unlisted.then_some(best))
    }

    /// All groups that were listed, best first.
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

/// The first `limit` groups, their rows added up over all ranges. Holds each group that was listed.
///
/// # Errors
/// A row cannot be read, or a sum does not fit 128 bits.
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

/// How many leading groups are certain of their place: at its worst each ranks before all that follow at their best,
/// and before groups that no range listed, whose best measure is `unlisted`.
fn count_certain(rows: &[RankedRow<'_>], order: Order, unlisted: Option<Option<Units>>) -> usize {
    let before_unlisted = |worst| match unlisted {
        None => true,
        Some(None) => false,
        Some(Some(best)) => compare_measures(order, worst, best).is_lt(),
    };
    // From the last row to the first: the best of all that follow.
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
