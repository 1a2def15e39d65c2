//! Rankings: the first rows of all ranges by a measure, and how many of them are certain to stand in the exact
//! answer at that place, whatever the rows hold that were not seen.
//!
//! Rows of one key that lie in several ranges are added up where the query is grouped; what a range did not list
//! then lies within the bounds that it gave of what follows (Fagin, Lotem and Naor, "Optimal aggregation
//! algorithms for middleware", 2003, the NRA's bounds).

use std::borrow::Cow;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap};

use serde_json::value::RawValue;

use crate::query::Order;
use crate::units::{Overflow, Units};
use crate::value::{Entry, InvalidValue, Remainder, Value};
use crate::Range;

/// The order of two measures, the better one first.
fn by_measure(order: Order, a: Units, b: Units) -> Ordering {
    match order {
        Order::Desc => b.cmp(&a),
        Order::Asc => a.cmp(&b),
    }
}

/// Whether one row stands strictly before another: by measure, ties by key in the order of its bytes.
pub fn before(order: Order, a: (Units, &str), b: (Units, &str)) -> bool {
    by_measure(order, a.0, b.0).then_with(|| a.1.cmp(b.1)) == Ordering::Less
}

/// What is known of a range that is missing, from an earlier answer at the last version known of its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RangeBounds {
    /// Nothing: any row may lie there.
    Unknown,
    /// It has no rows.
    Empty,
    /// All its rows lie between these measures; none: it is not bounded on that side.
    Within(Option<Units>, Option<Units>),
}

/// A row of a ranking.
#[derive(Debug, Clone)]
pub struct RankedRow<'a> {
    /// Its key.
    pub key: Cow<'a, str>,
    /// The measure as far as it is known.
    pub measure: Units,
    /// Between these lies the exact measure; none: not bounded on that side.
    pub low: Option<Units>,
    /// See there.
    pub high: Option<Units>,
    /// Where the row lies; none where rows of several ranges were added up.
    pub range: Option<Range>,
    /// More of it, to the letter.
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
    /// So many of them, from the first on, stand in the exact answer at that place.
    pub certain: usize,
    /// Whether further rows follow the last one.
    pub more: bool,
}

/// The best that an unseen row of one range can be.
#[derive(Debug, Clone)]
struct UnseenRows {
    best: Option<Units>,
    /// It stands behind this row, the last that the range gave.
    behind: Option<(Units, String)>,
}

impl UnseenRows {
    /// Whether a row is sure to stand before whatever lies here.
    fn is_behind(&self, order: Order, row: (Units, &str)) -> bool {
        let Some(best) = self.best else { return false };
        match by_measure(order, row.0, best) {
            Ordering::Less => true,
            Ordering::Greater => false,
            // Of equal measure: only where its key is known to come later.
            Ordering::Equal => self.behind.as_ref().is_some_and(|(m, k)| *m == best && row.1 <= k.as_str()),
        }
    }
}

/// A range's next row; the greatest in the heap is the one that stands first.
struct Head<'a, I> {
    order: Order,
    row: Entry<'a>,
    range: Range,
    left: I,
    rest: Option<Option<Units>>,
}

impl<I> Head<'_, I> {
    fn rank(&self, other: &Self) -> Ordering {
        let measures = by_measure(self.order, self.row.measure, other.row.measure);
        measures.then_with(|| self.row.key.cmp(&other.row.key)).then(self.range.cmp(&other.range))
    }
}

impl<I> PartialEq for Head<'_, I> {
    fn eq(&self, other: &Self) -> bool {
        self.rank(other) == Ordering::Equal
    }
}

impl<I> Eq for Head<'_, I> {}

impl<I> PartialOrd for Head<'_, I> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<I> Ord for Head<'_, I> {
    fn cmp(&self, other: &Self) -> Ordering {
        other.rank(self)
    }
}

/// The best of two bounds of what follows a row: what was told, and the row itself.
fn following(order: Order, told: Option<Units>, last: Units) -> Units {
    match told {
        Some(told) if by_measure(order, told, last) == Ordering::Greater => told,
        _ => last,
    }
}

/// The best side of what is known of a missing range.
fn best_of(order: Order, known: RangeBounds) -> Option<UnseenRows> {
    let best = match (known, order) {
        (RangeBounds::Empty, _) => return None,
        (RangeBounds::Unknown, _) => None,
        (RangeBounds::Within(_, most), Order::Desc) => most,
        (RangeBounds::Within(least, _), Order::Asc) => least,
    };
    Some(UnseenRows { best, behind: None })
}

/// The first `limit` rows of these values. Reads no more rows than it gives, and one of each range.
///
/// # Errors
/// A row cannot be read.
pub fn merge<'a>(
    values: &[Value<'a>],
    missing: &[RangeBounds],
    order: Order,
    limit: usize,
) -> Result<Ranking<'a>, InvalidValue> {
    let mut heads = BinaryHeap::with_capacity(values.len());
    let mut unseen: Vec<UnseenRows> = missing.iter().filter_map(|&k| best_of(order, k)).collect();
    for value in values {
        let mut left = value.rows::<Entry>();
        let told = value.header.remainder.map(|r| if order == Order::Desc { r.max } else { r.min });
        if let Some(row) = left.next().transpose()? {
            heads.push(Head { order, row, range: value.header.range, left, rest: told });
        }
    }
    let mut rows: Vec<RankedRow> = Vec::with_capacity(limit.min(1024));
    while rows.len() < limit {
        let Some(mut head) = heads.pop() else { break };
        let Entry { key, measure, body } = head.row;
        if let Some(row) = head.left.next().transpose()? {
            heads.push(Head { row, ..head });
        } else if let Some(told) = head.rest.take() {
            let best = Some(following(order, told, measure));
            unseen.push(UnseenRows { best, behind: Some((measure, key.to_string())) });
        }
        let range = Some(head.range);
        rows.push(RankedRow { key, measure, low: Some(measure), high: Some(measure), range, body });
    }
    // Ranges with given rows left: what follows those comes behind them, and they come behind what is given.
    let sure = |row: &RankedRow| unseen.iter().all(|u| u.is_behind(order, (row.measure, &row.key)));
    let certain = rows.iter().take_while(|r| sure(r)).count();
    let more = !heads.is_empty() || !unseen.is_empty();
    Ok(Ranking { rows, certain, more })
}

/// A sum of bounds of which some may be open.
#[derive(Debug, Clone, Copy, Default)]
struct Bound {
    sum: Units,
    open: usize,
}

impl Bound {
    fn add(&mut self, bound: Option<Units>) -> Result<(), Overflow> {
        match bound {
            Some(bound) => self.sum = self.sum.plus(bound)?,
            None => self.open += 1,
        }
        Ok(())
    }

    fn less(&self, other: &Self) -> Result<Option<Units>, Overflow> {
        Ok(match self.open > other.open {
            true => None,
            false => Some(self.sum.minus(other.sum)?),
        })
    }
}

/// What a group that a range did not list may have there: nothing, or a measure within the bounds.
fn unlisted(least: Option<Units>, most: Option<Units>) -> (Option<Units>, Option<Units>) {
    (least.map(|l| l.min(Units(0))), most.map(|m| m.max(Units(0))))
}

#[derive(Default)]
struct Sum {
    known: Units,
    /// The bounds of the ranges that did list it.
    low: Bound,
    high: Bound,
}

/// Why groups cannot be ranked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowError {
    /// A row cannot be read.
    InvalidValue(InvalidValue),
    /// A sum does not fit.
    Overflow,
}

impl From<InvalidValue> for RowError {
    fn from(invalid: InvalidValue) -> Self {
        Self::InvalidValue(invalid)
    }
}

impl From<Overflow> for RowError {
    fn from(_: Overflow) -> Self {
        Self::Overflow
    }
}

/// The first `limit` groups, their rows added up over all ranges. Holds each group that was listed.
///
/// # Errors
/// A row cannot be read, or a sum does not fit.
pub fn merge_groups<'a>(
    values: &[Value<'a>],
    missing: &[RangeBounds],
    order: Order,
    limit: usize,
) -> Result<Ranking<'a>, RowError> {
    let (mut low, mut high) = (Bound::default(), Bound::default());
    let mut hidden = false;
    let mut sums: HashMap<Cow<'a, str>, Sum> = HashMap::new();
    for value in values {
        let mut last = None;
        let mut listed = Vec::new();
        for row in value.rows::<Entry>() {
            let row = row?;
            last = Some(row.measure);
            listed.push(row);
        }
        let bounds = match (value.header.remainder, last, order) {
            (None, _, _) | (_, None, _) => (Some(Units(0)), Some(Units(0))),
            (Some(rest), Some(last), Order::Desc) => {
                unlisted(rest.min, Some(following(order, rest.max, last)))
            }
            (Some(rest), Some(last), Order::Asc) => {
                unlisted(Some(following(order, rest.min, last)), rest.max)
            }
        };
        hidden |= value.header.remainder.is_some();
        low.add(bounds.0)?;
        high.add(bounds.1)?;
        for row in listed {
            let sum = sums.entry(row.key).or_default();
            sum.known = sum.known.plus(row.measure)?;
            sum.low.add(bounds.0)?;
            sum.high.add(bounds.1)?;
        }
    }
    for known in missing {
        let bounds = match *known {
            RangeBounds::Empty => continue,
            RangeBounds::Unknown => (None, None),
            RangeBounds::Within(least, most) => unlisted(least, most),
        };
        hidden = true;
        low.add(bounds.0)?;
        high.add(bounds.1)?;
    }
    let mut rows = Vec::with_capacity(sums.len());
    for (key, sum) in sums {
        let bound = |all: &Bound, own: &Bound| match all.less(own)? {
            Some(bound) => sum.known.plus(bound).map(Some),
            None => Ok(None),
        };
        let (low, high) = (bound(&low, &sum.low)?, bound(&high, &sum.high)?);
        rows.push(RankedRow { key, measure: sum.known, low, high, range: None, body: None });
    }
    rows.sort_unstable_by(|a, b| by_measure(order, a.measure, b.measure).then_with(|| a.key.cmp(&b.key)));
    let none = Bound::default();
    let hidden = hidden.then_some(match order {
        Order::Desc => high.less(&none)?,
        Order::Asc => low.less(&none)?,
    });
    let certain = certain(&rows, order, hidden).min(limit);
    let more = rows.len() > limit || hidden.is_some();
    rows.truncate(limit);
    Ok(Ranking { rows, certain, more })
}

/// How many leading groups are sure of their place: at its worst each stands before all that follow at their best,
/// and before groups that no range listed, whose best is `hidden`.
fn certain(rows: &[RankedRow<'_>], order: Order, hidden: Option<Option<Units>>) -> usize {
    let sides = |r: &RankedRow| if order == Order::Desc { (r.low, r.high) } else { (r.high, r.low) };
    // From the last to the first: the best of all that follow; an open bound is better than any.
    let mut open = false;
    let mut best: Option<(Units, &str)> = None;
    let mut sure = Vec::with_capacity(rows.len());
    for row in rows.iter().rev() {
        let (worst, own_best) = sides(row);
        let safe = worst.is_some_and(|worst| {
            let beaten = best.is_none_or(|b| before(order, (worst, &row.key), b));
            let unseen = match hidden {
                None => true,
                Some(None) => false,
                Some(Some(hidden)) => by_measure(order, worst, hidden) == Ordering::Less,
            };
            beaten && unseen && !open
        });
        sure.push(safe);
        match own_best {
            None => open = true,
            Some(own) => {
                let own = (own, row.key.as_ref());
                best = Some(best.map_or(own, |b| if before(order, own, b) { own } else { b }));
            }
        }
    }
    sure.iter().rev().take_while(|s| **s).count()
}

/// Between what all rows of a range lie, as a value's first and last row and its bound of what follows say; to be
/// remembered.
pub fn bounds(ends: Option<(Units, Units)>, rest: Option<&Remainder>, order: Order) -> RangeBounds {
    let Some((first, last)) = ends else {
        return if rest.is_none() { RangeBounds::Empty } else { RangeBounds::Unknown };
    };
    match order {
        Order::Desc => RangeBounds::Within(rest.map_or(Some(last), |r| r.min), Some(first)),
        Order::Asc => RangeBounds::Within(Some(first), rest.map_or(Some(last), |r| r.max)),
    }
}

#[cfg(test)]
mod tests;
